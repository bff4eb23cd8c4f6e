// Package subset chooses which upstreams an instance uses where a zone has many, so
// that what it remembers of each stays bounded.
//
// Each upstream is held by the few instances that rank highest in a hash of the two
// (rendezvous hashing). So every upstream is held by the same number of instances,
// all instances that see one list agree without talking, and an instance that comes
// or goes changes only what it holds. Lists that differ for a while do no harm:
// holding is no right, only a choice.
package subset

import (
	"github.com/cespare/xxhash/v2"
)

// MinHolders is the least number of instances that hold an upstream, so that the
// loss of one or two leaves it in use.
const MinHolders = 3

// Select returns the upstreams, in their order, that self holds among the instances.
// Want is how many it should hold about; with fewer upstreams it holds all.
func Select(self string, instances, upstreams []string, want int) []string {
	k := holders(len(instances), len(upstreams), want)
	if k >= len(instances) {
		return upstreams
	}
	var out []string
	for _, u := range upstreams {
		if ranksAmong(k, self, u, instances) {
			out = append(out, u)
		}
	}
	return out
}

// holders is how many instances hold each upstream.
func holders(instances, upstreams, want int) int {
	if upstreams == 0 {
		return instances
	}
	k := (want*instances + upstreams - 1) / upstreams
	return max(k, MinHolders)
}

// ranksAmong tells whether self is among the k highest of the instances.
func ranksAmong(k int, self, upstream string, instances []string) bool {
	own := weight(self, upstream)
	above := 0
	for _, i := range instances {
		if i == self {
			continue
		}
		if w := weight(i, upstream); w > own || (w == own && i > self) {
			above++
			if above >= k {
				return false
			}
		}
	}
	return true
}

func weight(instance, upstream string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + upstream)
}
