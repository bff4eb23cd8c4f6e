package view

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// chunkCount is the number of chunkCount that a list is compared in, where two lists of one version are unlike.
const chunkCount = 64

// Checksums are sums of a list's content, by parts: lists that are alike have the same. What is missing for
// the time being doesn't count, since each instance gives it up in its own time.
type Checksums [chunkCount]uint64

// rosterChecksums are kept up to date with each change.
type rosterChecksums struct {
	listed Checksums
	lapsed uint64 // of what is missing
}

// chunkOf returns the part of a list that an upstream is in.
func chunkOf(id string) int { return int(xxhash.Sum64String(id) % chunkCount) }

// checksumOf is what an entry adds to the sum of its part.
func checksumOf(u Upstream) uint64 {
	b := append([]byte(u.ID), 0)
	b = strconv.AppendInt(b, u.Revision, 10)
	b = strconv.AppendInt(append(b, 0), u.Incarnation, 10)
	b = strconv.AppendBool(append(b, 0), u.Leaving)
	return xxhash.Sum64(b)
}

// replace takes an upstream as it is after a step, in place of as it was.
func (s *rosterChecksums) replace(before *previousState, u Upstream, after state) {
	*s.target(before.entry, before.state) -= checksumOf(before.entry)
	*s.target(u, after) += checksumOf(u)
}

// target returns the sum that an entry counts in.
func (s *rosterChecksums) target(u Upstream, state state) *uint64 {
	switch state {
	case unlisted:
		return new(uint64)
	case lapsed:
		return &s.lapsed
	default:
		return &s.listed[chunkOf(u.ID)]
	}
}

// Digest is one sum of all parts.
func (s *Checksums) Digest() uint64 {
	b := make([]byte, 0, 8*chunkCount)
	for _, part := range s {
		b = strconv.AppendUint(b, part, 36)
		b = append(b, ' ')
	}
	return xxhash.Sum64(b)
}

// short is a short sum of the list's content, what is missing included, so that logs of two instances show
// whether lists of one version are alike.
func (s *rosterChecksums) short() string {
	return fmt.Sprintf("%08x", uint32(s.listed.Digest()+s.lapsed))
}

// differingChunks returns the parts in which lists differ by their sums.
func (s *Checksums) differingChunks(other []uint64) (out []int) {
	for part, sum := range s {
		if part >= len(other) || other[part] != sum {
			out = append(out, part)
		}
	}
	return out
}

// inChunks tells whether an upstream is in one of some parts.
func inChunks(parts []int, id string) bool { return slices.Contains(parts, chunkOf(id)) }
