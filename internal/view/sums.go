package view

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// parts is the number of parts that a list is compared in, where two lists of one version are unlike.
const parts = 64

// Checksums are sums of a list's content, by parts: lists that are alike have the same. What is missing for
// the time being doesn't count, since each instance gives it up in its own time.
type Checksums [parts]uint64

// sums are kept up to date with each change.
type sums struct {
	listed Checksums
	lapsed uint64 // of what is missing
}

// partOf returns the part of a list that an upstream is in.
func partOf(id string) int { return int(xxhash.Sum64String(id) % parts) }

// sumOf is what an entry adds to the sum of its part.
func sumOf(u Upstream) uint64 {
	b := append([]byte(u.ID), 0)
	b = strconv.AppendInt(b, u.Revision, 10)
	b = strconv.AppendInt(append(b, 0), u.Incarnation, 10)
	b = strconv.AppendBool(append(b, 0), u.Leaving)
	return xxhash.Sum64(b)
}

// replace takes an upstream as it is after a step, in place of as it was.
func (s *sums) replace(before *former, u Upstream, after state) {
	*s.of(before.entry, before.state) -= sumOf(before.entry)
	*s.of(u, after) += sumOf(u)
}

// of returns the sum that an entry counts in.
func (s *sums) of(u Upstream, state state) *uint64 {
	switch state {
	case unlisted:
		return new(uint64)
	case lapsed:
		return &s.lapsed
	default:
		return &s.listed[partOf(u.ID)]
	}
}

// Digest is one sum of all parts.
func (s *Checksums) Digest() uint64 {
	b := make([]byte, 0, 8*parts)
	for _, part := range s {
		b = strconv.AppendUint(b, part, 36)
		b = append(b, ' ')
	}
	return xxhash.Sum64(b)
}

// text is a short sum of the list's content, what is missing included, so that logs of two instances show
// whether lists of one version are alike.
func (s *sums) text() string { return fmt.Sprintf("%08x", uint32(s.listed.Digest()+s.lapsed)) }

// unlike returns the parts in which lists differ by their sums.
func (s *Checksums) unlike(other []uint64) (out []int) {
	for part, sum := range s {
		if part >= len(other) || other[part] != sum {
			out = append(out, part)
		}
	}
	return out
}

// isIn tells whether an upstream is in one of some parts.
func isIn(parts []int, id string) bool { return slices.Contains(parts, partOf(id)) }
