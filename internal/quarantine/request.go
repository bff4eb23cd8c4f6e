package quarantine

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/internal/prefix"
)

// maxSegments bounds the segments of a request that are suspected, since evidence is sent to all instances.
// Those after them are never found to be a cause.
const maxSegments = 16

// Request identifies a request by what may crash an upstream: its whole content, or segments of its prompt.
type Request struct {
	Key
	// Segments are the IDs of the segments that other requests may share, ascending, each once.
	Segments []uint64 `cbor:"4,keyasint,omitempty"`
}

// RequestOf returns a request with the given key and prompt. The last segment is left out: it belongs to the
// request itself.
func RequestOf(k Key, prompt []prefix.Segment) Request {
	q := Request{Key: k}
	if len(prompt) < 2 {
		return q
	}
	for _, s := range prompt[:min(len(prompt)-1, maxSegments)] {
		q.Segments = append(q.Segments, s.ID)
	}
	slices.Sort(q.Segments)
	q.Segments = slices.Compact(q.Segments)
	return q
}

// contains reports whether the prompt has all the given segments.
func (q Request) contains(segments []uint64) bool {
	return isSubset(segments, q.Segments)
}

// matches reports whether a quarantined cause applies to the request.
func (q Request) matches(k Key, p period) bool {
	switch k.Kind {
	case SegmentSet:
		return q.Organisation == k.Organisation && q.contains(p.segments)
	case SharedSegmentSet:
		return q.contains(p.segments)
	default:
		return q.Key == k
	}
}

// segmentKey returns the key of one segment in the prompts of an organisation.
func segmentKey(organisation string, id uint64) Key {
	return Key{Organisation: organisation, Digest: id, Kind: Segment}
}

// segmentSetKey returns the key of a set of segments, ascending. Without an organisation the set is shared by
// the prompts of all.
func segmentSetKey(kind Kind, organisation string, segments []uint64) Key {
	d := xxhash.New()
	var field [8]byte
	for _, id := range segments {
		binary.LittleEndian.PutUint64(field[:], id)
		_, _ = d.Write(field[:]) // never fails
	}
	return Key{Organisation: organisation, Digest: d.Sum64(), Kind: kind}
}

// isSubset reports whether an ascending list has all elements of another one.
func isSubset(small, large []uint64) bool {
	for _, id := range small {
		if _, found := slices.BinarySearch(large, id); !found {
			return false
		}
	}
	return true
}

// SegmentName returns the ID of a segment as callers write it.
func SegmentName(id uint64) string { return fmt.Sprintf("%08x", id) }

func segmentNames(segments []uint64) string {
	names := make([]string, 0, len(segments))
	for _, id := range segments {
		names = append(names, SegmentName(id))
	}
	return joined(names)
}
