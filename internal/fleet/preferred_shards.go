package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// preferredShardCount is how many shards of a service an instance uses while they have free capacity.
	// It sends to the same few owners again and again, over links that are up, however many shards there
	// are. With one alone the shards would be loaded unevenly, since they are preferred by different
	// numbers of instances.
	preferredShardCount = 2
	// spreadFor is how long an instance uses all shards after one of its preferred ones had no free slot.
	spreadFor = time.Second
)

// preferredShardsOf returns the indexes of the shards that an instance uses first. The selection is
// deterministic, and an additional shard changes it for few instances.
func preferredShardsOf(instance, service string, shards int) []int {
	hash := xxhash.Sum64String(instance + "\x00" + service)
	all := make([]int, shards)
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int {
		if mix(hash^mix(uint64(a)+1)) > mix(hash^mix(uint64(b)+1)) {
			return -1
		}
		return 1
	})
	return all[:min(preferredShardCount, shards)]
}

// selectShard returns the shard to request a slot from: a preferred one, or any while these are short of
// capacity. The caller holds the lock.
func (s *service) selectShard(now time.Time) *shard {
	if now.Before(s.spreadUntil) {
		return s.shards[rand.IntN(len(s.shards))]
	}
	return s.shards[s.preferredShards[rand.IntN(len(s.preferredShards))]]
}

// spreadRequests records that a shard of a service had no free slot, so that requests go to all shards
// for a while.
func (f *Fleet) spreadRequests(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serviceOf(service).spreadUntil = time.Now().Add(spreadFor)
}
