package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// An instance with few requests sends to few owners, however many shards a service has, and always to the
// same, so that the links to them stay up.
func TestInstanceUsesFewShards(t *testing.T) {
	for _, upstreams := range []int{60, 3_000, 6_000} {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			is := is.New(t)
			s := newSizedFleet(upstreams, 0)
			is.Equal(len(s.fleet.all()), shardCount(upstreams))
			used := map[*shard]bool{}
			for range 200 {
				used[s.fleet.services["s"].selectShard(time.Now())] = true
			}
			is.Equal(len(used), min(preferredShardCount, shardCount(upstreams)))
		})
	}
}

// Each shard is preferred by a similar number of instances, and an additional shard changes the
// preference of few.
func TestPreferredShardsAreBalanced(t *testing.T) {
	is := is.New(t)
	const instances, shards = 1_200, 24
	used := make([]int, shards)
	moved := 0
	for i := range instances {
		address := fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		before, after := preferredShardsOf(address, "s", shards), preferredShardsOf(address, "s", shards+1)
		for _, shard := range before {
			used[shard]++
		}
		if before[0] != after[0] || before[1] != after[1] {
			moved++
		}
	}
	mean := instances * preferredShardCount / shards
	for _, n := range used {
		is.True(n > mean*6/10 && n < mean*14/10)
	}
	is.True(moved < 3*preferredShardCount*instances/(shards+1)/2)
}

// While the preferred shards of an instance have no free slot, it uses all.
func TestInstanceUsesAllShardsWhilePreferredOnesAreFull(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSizedFleet(3_000, 0)
		served, refused := map[string]int{}, 0
		for range 3_000 * 8 {
			req := generation()
			req.Request.MaxWait = time.Nanosecond
			g, problem := s.fleet.Acquire(t.Context(), req)
			if problem != nil {
				is.Equal(problem.Outcome, api.NotRun)
				refused++
				continue
			}
			served[g.Upstream()]++
		}
		is.True(len(served) > 2_900) // far more than in two shards
		is.True(refused < 3_000*8/2)
		<-time.After(spreadFor)
		used := map[*shard]bool{}
		for range 200 {
			used[s.fleet.services["s"].selectShard(time.Now())] = true
		}
		is.Equal(len(used), preferredShardCount) // preferred ones again
	})
}
