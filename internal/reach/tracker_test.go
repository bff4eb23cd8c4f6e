package reach

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Operators must see how many upstreams an instance reaches, and how many it fails to reach.
func TestCounts(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	r := New()
	r.Reached(start, "a")
	r.Reached(start, "b")
	r.Failed(start.Add(time.Second), "b")
	reached, failing := r.Counts(start.Add(time.Second))
	is.Equal([]int{reached, failing}, []int{2, 1})
	reached, failing = r.Counts(start.Add(recentFor))
	is.Equal([]int{reached, failing}, []int{0, 1}) // only the failure is recent
	r.Reached(start.Add(recentFor), "b")
	reached, failing = r.Counts(start.Add(recentFor))
	is.Equal([]int{reached, failing}, []int{1, 0})
	r.Prune(func(upstream string) bool { return upstream == "a" })
	reached, _ = r.Counts(start.Add(recentFor))
	is.Equal(reached, 0)
}
