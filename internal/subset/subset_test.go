package subset

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s.%d.%d:7003", prefix, i/250, i%250)
	}
	return out
}

// countHolders counts the holders of each upstream and the size of each subset.
func countHolders(instances, upstreams []string, want int) (holders map[string]int, sizes []int) {
	holders = map[string]int{}
	for _, i := range instances {
		own := Select(i, instances, upstreams, want)
		sizes = append(sizes, len(own))
		for _, u := range own {
			holders[u]++
		}
	}
	return holders, sizes
}

func TestEveryUpstreamHasTheSameNumberOfHolders(t *testing.T) {
	for _, c := range []struct{ instances, upstreams, want, holders int }{
		{2, 14, 48, 2},     // a zone today: all
		{7, 55, 48, 7},     // a deployment today: all
		{81, 1430, 48, 3},  // a zone at target scale
		{81, 100, 48, 39},  // few upstreams, many instances
		{200, 5000, 48, 3}, // beyond target scale
	} {
		t.Run(fmt.Sprintf("%d of %d", c.instances, c.upstreams), func(t *testing.T) {
			is := is.New(t)
			instances, upstreams := names("10.1", c.instances), names("10.2", c.upstreams)
			holders, sizes := countHolders(instances, upstreams, c.want)
			is.Equal(len(holders), c.upstreams) // every upstream is held
			for _, n := range holders {
				is.Equal(n, c.holders)
			}
			mean := c.holders * c.upstreams / c.instances
			for _, n := range sizes {
				is.True(n <= 2*mean)
			}
		})
	}
}

// A removed instance leaves its upstreams to the others; no other assignment changes.
func TestRemovedInstanceMovesOnlyItsUpstreams(t *testing.T) {
	is := is.New(t)
	instances, upstreams := names("10.1", 81), names("10.2", 1430)
	removed, others := instances[0], instances[1:]
	lost := len(Select(removed, instances, upstreams, 48))
	gained := 0
	for _, i := range others {
		before, after := Select(i, instances, upstreams, 48), Select(i, others, upstreams, 48)
		is.True(len(after) >= len(before))
		gained += len(after) - len(before)
	}
	is.Equal(gained, lost)
}
