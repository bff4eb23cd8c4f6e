package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Key names a request by what it asks for, whoever takes it and however often it comes. Requests
// with one key are the same request to an upstream.
type Key struct {
	// Organisation that asks; empty on public routes. It is kept beside the digest, so that no
	// organisation's requests are taken for another's, even by a collision that was sought.
	Organisation string `cbor:"1,keyasint,omitempty"`
	// Digest of method, host, target and body.
	Digest uint64 `cbor:"2,keyasint"`
}

// KeyOf returns the key of a request. IDs, deadlines and other headers aren't part of it: they differ
// from one try to the next. Each field is preceded by its length, so that none runs into the next.
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
