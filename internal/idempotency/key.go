// Package idempotency makes a non-idempotent request run at most once, without shared state.
//
// An Issuer signs keys that name it and its incarnation, with a secret that only exists in the
// memory of this process. A request under an issued key is dispatched only by its issuer; all other
// instances forward it there. A Registry remembers each key in use until it expires: retries join
// the first use or get its response, and a key whose request was refused stays refused.
//
// The proof, the alternatives and a table of what is served in each situation are in
// docs/design/at-most-once.md.
package idempotency

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	keyPrefix   = "ttk1."
	secretBytes = 32
	macBytes    = 16
	nonceBytes  = 12
	// MaxKeyLength bounds an issued key or a caller-chosen ID, in bytes.
	MaxKeyLength = 512
)

// ErrNotIssued: the text doesn't have the form of an issued key.
var ErrNotIssued = errors.New("not an issued key")

// ErrForged: the key names this incarnation, but its signature is invalid.
var ErrForged = errors.New("signature is invalid; use the key exactly as it was issued")

// Incarnation identifies one run of a process. It is generated at random at the start.
type Incarnation uint64

// NewIncarnation returns a random incarnation, which is never 0.
func NewIncarnation() Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return Incarnation(binary.BigEndian.Uint64(b[:]) | 1)
}

// Claims are the contents of an issued key.
type Claims struct {
	// Issuer is the peer address of the issuing instance.
	Issuer string `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the issuing process.
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Organisation is the organisation to which the key was issued.
	Organisation string `cbor:"3,keyasint"`
	// RequestID is the caller's own ID to which the key is bound; may be empty.
	RequestID string `cbor:"4,keyasint,omitempty"`
	// Expiry is the time at which the key expires, as the time since the start of the issuer's
	// incarnation on its monotonic clock. It doesn't depend on any wall clock.
	Expiry time.Duration `cbor:"5,keyasint"`
	// Nonce makes each key unique.
	Nonce []byte `cbor:"6,keyasint"`
}

// Parse returns the claims of an issued key without verifying them.
func Parse(key string) (Claims, error) {
	claims, _, _, err := split(key)
	return claims, err
}

func split(key string) (c Claims, payload, mac []byte, err error) {
	rest, ok := strings.CutPrefix(key, keyPrefix)
	if !ok || len(key) > MaxKeyLength {
		return c, nil, nil, ErrNotIssued
	}
	left, right, ok := strings.Cut(rest, ".")
	if !ok {
		return c, nil, nil, ErrNotIssued
	}
	payload, err = base64.RawURLEncoding.DecodeString(left)
	if err != nil {
		return c, nil, nil, ErrNotIssued
	}
	mac, err = base64.RawURLEncoding.DecodeString(right)
	if err != nil || cbor.Unmarshal(payload, &c) != nil {
		return c, nil, nil, ErrNotIssued
	}
	return c, payload, mac, nil
}

// Issuer issues the keys of one incarnation and verifies them. It is safe for concurrent use.
type Issuer struct {
	address     string
	incarnation Incarnation
	secret      []byte
	clock       *Clock
}

// NewIssuer returns an issuer with a new random secret.
func NewIssuer(address string, incarnation Incarnation, clock *Clock) *Issuer {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	return &Issuer{address: address, incarnation: incarnation, secret: secret, clock: clock}
}

// Issue returns a key for the organisation that expires after the given lifetime. It is bound to
// the caller's own request ID unless that is empty.
func (i *Issuer) Issue(organisation, requestID string, lifetime time.Duration) string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	payload, err := cbor.Marshal(Claims{
		Issuer:       i.address,
		Incarnation:  i.incarnation,
		Organisation: organisation,
		RequestID:    requestID,
		Expiry:       i.clock.Elapsed() + lifetime,
		Nonce:        nonce,
	})
	if err != nil {
		panic("idempotency: claims must always encode: " + err.Error())
	}
	enc := base64.RawURLEncoding
	return keyPrefix + enc.EncodeToString(payload) + "." + enc.EncodeToString(i.mac(payload))
}

func (i *Issuer) mac(payload []byte) []byte {
	h := hmac.New(sha256.New, i.secret)
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

// Address returns the peer address of the issuer.
func (i *Issuer) Address() string { return i.address }

// Incarnation returns the issuer's incarnation.
func (i *Issuer) Incarnation() Incarnation { return i.incarnation }

// Owns reports whether the claims name this incarnation of this instance.
func (i *Issuer) Owns(c Claims) bool {
	return c.Issuer == i.address && c.Incarnation == i.incarnation
}

// Verify checks the signature of a key that names this incarnation, and returns its claims. It
// doesn't check the expiry, which the Registry does under its lock.
func (i *Issuer) Verify(key string) (Claims, error) {
	c, payload, mac, err := split(key)
	if err != nil {
		return c, err
	}
	if !hmac.Equal(mac, i.mac(payload)) {
		return c, ErrForged
	}
	return c, nil
}
