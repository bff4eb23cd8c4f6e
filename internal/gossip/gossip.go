// Package gossip selects what one message to peers contains: recent changes, which are repeated for a while
// since messages get lost, and a few older ones round-robin, so that a peer that has just started
// eventually receives all of them.
package gossip

import "slices"

// Select returns the first maxRecent of the recent items and the next olderPerMessage of the older ones. cursor
// is the round-robin position among the older items; the caller keeps it from one message to the next.
func Select[T any](recent, older []T, maxRecent, olderPerMessage int, cursor *int) []T {
	out := slices.Clone(recent[:min(len(recent), maxRecent)])
	for range min(olderPerMessage, len(older)) {
		*cursor++
		out = append(out, older[*cursor%len(older)])
	}
	return out
}
