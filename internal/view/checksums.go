package view

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// chunkCount is the number of chunks by which two lists of one version are compared where they
// differ.
const chunkCount = 64

// Checksums are checksums of a list's content, by chunk: equal lists have equal checksums. Missing
// upstreams don't count, since each instance drops them at a different time.
type Checksums [chunkCount]uint64

// rosterChecksums are the checksums of a roster, updated with each change.
type rosterChecksums struct {
	listed Checksums
	lapsed uint64 // of missing upstreams
}

// chunkOf returns the chunk that an upstream is in.
func chunkOf(id string) int { return int(xxhash.Sum64String(id) % chunkCount) }

// checksumOf returns what an entry adds to the checksum of its chunk.
func checksumOf(u Upstream) uint64 {
	b := append([]byte(u.ID), 0)
	b = strconv.AppendInt(b, u.Revision, 10)
	b = strconv.AppendInt(append(b, 0), u.Incarnation, 10)
	b = strconv.AppendBool(append(b, 0), u.Leaving)
	return xxhash.Sum64(b)
}

// replace replaces what an upstream adds before an update by what it adds after it.
func (s *rosterChecksums) replace(before *previousState, u Upstream, after state) {
	*s.target(before.entry, before.state) -= checksumOf(before.entry)
	*s.target(u, after) += checksumOf(u)
}

// target returns the checksum that an entry is added to, by its state.
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

// Digest returns one hash of all checksums.
func (s *Checksums) Digest() uint64 {
	b := make([]byte, 0, 8*chunkCount)
	for _, sum := range s {
		b = strconv.AppendUint(b, sum, 36)
		b = append(b, ' ')
	}
	return xxhash.Sum64(b)
}

// short returns a short hash of the list's content, missing upstreams included, so that the logs of
// two instances show whether their lists of one version are equal.
func (s *rosterChecksums) short() string {
	return fmt.Sprintf("%08x", uint32(s.listed.Digest()+s.lapsed))
}

// differingChunks returns the chunks whose checksums differ from those of another list.
func (s *Checksums) differingChunks(other []uint64) (out []int) {
	for chunk, sum := range s {
		if chunk >= len(other) || other[chunk] != sum {
			out = append(out, chunk)
		}
	}
	return out
}

// inChunks reports whether an upstream is in one of the given chunks.
func inChunks(chunks []int, id string) bool { return slices.Contains(chunks, chunkOf(id)) }
