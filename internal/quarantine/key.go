package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Key identifies what may crash upstreams. Requests with the same key of kind WholeRequest are the same
// request to an upstream, whichever instance receives them and however often.
type Key struct {
	// Organisation that sent the request; empty on public routes. It isn't part of the digest, so
	// that the requests of two organisations never share a key, even by a deliberate hash
	// collision.
	Organisation string `cbor:"1,keyasint,omitempty"`
	// Digest is a hash of method, host, target and body; of a segment its ID, of a set a hash of its segments.
	Digest uint64 `cbor:"2,keyasint"`
	Kind   Kind   `cbor:"3,keyasint,omitempty"`
}

// Kind is what a Key identifies.
type Kind uint8

// The kinds.
const (
	// WholeRequest: a request by its whole content.
	WholeRequest Kind = iota
	// Segment: a segment in the prompts of one organisation.
	Segment
	// SegmentSet: the prompts of one organisation that have certain segments.
	SegmentSet
	// SharedSegmentSet: the prompts of any organisation that have certain segments.
	SharedSegmentSet
)

// KeyOf returns the key of a request. IDs, deadlines and other headers are left out, since they
// differ between retries. Each field is preceded by its length, so that field boundaries count.
func KeyOf(organisation, method, host, target string, body []byte) Key {
	d := xxhash.New()
	var length [8]byte
	for _, field := range []string{method, host, target} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = d.Write(length[:]) // never fails
		_, _ = d.WriteString(field)
	}
	_, _ = d.Write(body)
	return Key{Organisation: organisation, Digest: d.Sum64()}
}

// String returns the digest as logs show it.
func (k Key) String() string { return fmt.Sprintf("%016x", k.Digest) }
