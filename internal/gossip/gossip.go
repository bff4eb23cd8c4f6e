// Package gossip picks what one message tells peers: what is new, repeated for a while since messages get lost, and of
// the rest some in turn, so that a peer that knows nothing hears of all.
package gossip

import "slices"

// Select returns the first of what is fresh, mostFresh at most, and the next inTurn of the rest. Turn counts what was
// picked of the rest; the caller keeps it from one message to the next.
func Select[T any](fresh, rest []T, mostFresh, inTurn int, turn *int) []T {
	out := slices.Clone(fresh[:min(len(fresh), mostFresh)])
	for range min(inTurn, len(rest)) {
		*turn++
		out = append(out, rest[*turn%len(rest)])
	}
	return out
}
