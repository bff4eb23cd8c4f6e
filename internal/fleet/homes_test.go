package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
)

// An instance with few requests meets few owners, however many shards a service has: the same ones again and
// again, so that the links to them stay up.
func TestAnInstanceAsksFewShards(t *testing.T) {
	for _, upstreams := range []int{60, 3_000, 6_000} {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			is := is.New(t)
			s := newSized(upstreams, 0)
			is.Equal(len(s.fleet.all()), shardsOf(upstreams))
			asked := map[*shard]bool{}
			for range 200 {
				asked[s.fleet.services["s"].drawShard(time.Now())] = true
			}
			is.Equal(len(asked), min(homeShards, shardsOf(upstreams)))
		})
	}
}

// All shards get their part of the instances, and one shard more changes few instances' choice.
func TestShardsGetLikeNumbersOfInstances(t *testing.T) {
	is := is.New(t)
	const instances, shards = 1_200, 24
	asked := make([]int, shards)
	moved := 0
	for i := range instances {
		address := fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		before, after := homesOf(address, "s", shards), homesOf(address, "s", shards+1)
		for _, home := range before {
			asked[home]++
		}
		if before[0] != after[0] || before[1] != after[1] {
			moved++
		}
	}
	mean := instances * homeShards / shards
	for _, n := range asked {
		is.True(n > mean*6/10 && n < mean*14/10)
	}
	is.True(moved < 3*homeShards*instances/(shards+1)/2)
}

// While the shards that an instance asks first have no room, it asks all.
func TestAnInstanceWhoseShardsAreFullAsksAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSized(3_000, 0)
		served, refused := map[string]int{}, 0
		for range 3_000 * 8 {
			w := generation()
			w.Request.MaxWait = time.Nanosecond
			l, problem := s.fleet.Acquire(t.Context(), w)
			if problem != nil {
				is.Equal(problem.Outcome, api.NotRun)
				refused++
				continue
			}
			served[l.Upstream()]++
		}
		is.True(len(served) > 2_900) // far more than two shards have
		is.True(refused < 3_000*8/2)
		<-time.After(shortFor)
		asked := map[*shard]bool{}
		for range 200 {
			asked[s.fleet.services["s"].drawShard(time.Now())] = true
		}
		is.Equal(len(asked), homeShards) // again
	})
}
