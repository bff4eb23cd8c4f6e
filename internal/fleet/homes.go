package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// preferredShardCount is how many shards of a service an instance asks while they have room. It meets the owners
	// of these again and again, over links that are up, however many shards there are. Two, since shards
	// get unlike numbers of instances and one alone would show it.
	preferredShardCount = 2
	// spreadFor is how long an instance asks all shards after one of its own had no room at once.
	spreadFor = time.Second
)

// preferredShardsOf returns the shards, of so many, that an instance asks first: a draw that is the same each time, so
// that a shard more takes the place of few.
func preferredShardsOf(instance, service string, shards int) []int {
	drawn := xxhash.Sum64String(instance + "\x00" + service)
	all := make([]int, shards)
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int {
		if mix(drawn^mix(uint64(a)+1)) > mix(drawn^mix(uint64(b)+1)) {
			return -1
		}
		return 1
	})
	return all[:min(preferredShardCount, shards)]
}

// selectShard returns the shard to be asked for a slot: one of the instance's own, or any while these are short of
// room. The caller holds the lock.
func (s *service) selectShard(now time.Time) *shard {
	if now.Before(s.spreadUntil) {
		return s.shards[rand.IntN(len(s.shards))]
	}
	return s.shards[s.preferredShards[rand.IntN(len(s.preferredShards))]]
}

// spreadRequests notes that a shard of a service had no room at once.
func (f *Fleet) spreadRequests(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serviceOf(service).spreadUntil = time.Now().Add(spreadFor)
}
