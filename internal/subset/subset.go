// Package subset selects which upstreams an instance uses if a zone has many, so that
// the state it keeps for them stays bounded.
//
// Each upstream is held by the few instances that rank highest in a hash of the two
// (rendezvous hashing). So every upstream is held by the same number of instances,
// all instances with the same list agree without communication, and an instance that is
// added or removed moves only the upstreams that it holds. Lists that differ for a while do no harm:
// a subset is a selection, not an exclusive claim.
package subset

import (
	"github.com/cespare/xxhash/v2"
)

// MinHolders is the minimum number of instances that hold an upstream, so that it stays
// in use after the loss of one or two.
const MinHolders = 3

// Select returns the upstreams, in their order, that self holds among the instances.
// It aims at want upstreams for each instance; with fewer upstreams self holds all.
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

// holders returns the number of instances that hold each upstream.
func holders(instances, upstreams, want int) int {
	if upstreams == 0 {
		return instances
	}
	k := (want*instances + upstreams - 1) / upstreams
	return max(k, MinHolders)
}

// ranksAmong reports whether self is among the k instances that rank highest for the upstream.
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
