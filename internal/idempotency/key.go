// Package idempotency makes a non-idempotent request run at most once, without
// shared state.
//
// An Issuer signs keys that name it and its incarnation, under a secret that
// only this process's memory holds. A request under an issued key is dispatched
// by its issuer alone; every other instance forwards it there. A Register
// remembers each key in use until it expires: repeats join the first use or get
// its answer, and a key whose request was refused stays refused.
//
// The argument, the ways weighed and the table of what is served in each
// situation stand in docs/design/at-most-once.md.
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
	// MaxKeyLength bounds an Idempotency-Key of either sort, in characters.
	MaxKeyLength = 512
)

// ErrNotIssued: the text has not the form of an issued key.
var ErrNotIssued = errors.New("no issued key")

// ErrForged: the key names this incarnation, but its signature is not ours.
var ErrForged = errors.New("signature does not fit; use a key exactly as it was issued")

// Incarnation names one life of a process. It is drawn at random at start.
type Incarnation uint64

// NewIncarnation draws an incarnation.
func NewIncarnation() Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails.
	return Incarnation(binary.BigEndian.Uint64(b[:]) | 1)
}

// Claims is what an issued key says.
type Claims struct {
	// Issuer is the peer address of the issuing instance.
	Issuer string `cbor:"1,keyasint"`
	// Incarnation of the issuing process.
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Organisation it was issued to.
	Organisation string `cbor:"3,keyasint"`
	// RequestID is the caller's own ID that it is bound to; may be empty.
	RequestID string `cbor:"4,keyasint,omitempty"`
	// Expiry is the end of its life, counted on the issuer's monotonic clock
	// from the start of its incarnation, so that no wall clock matters.
	Expiry time.Duration `cbor:"5,keyasint"`
	// Nonce sets it apart.
	Nonce []byte `cbor:"6,keyasint"`
}

// Parse reads the claims of an issued key without trusting them.
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

// Issuer issues the keys of one incarnation and verifies them.
// Safe for concurrent use.
type Issuer struct {
	address     string
	incarnation Incarnation
	secret      []byte
	clock       *Clock
}

// NewIssuer returns an issuer with a secret of its own.
func NewIssuer(address string, incarnation Incarnation, clock *Clock) *Issuer {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	return &Issuer{address: address, incarnation: incarnation, secret: secret, clock: clock}
}

// Issue returns a key for the organisation, bound to the caller's own request
// ID unless that is empty, that can be used for the given lifetime.
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
		panic("idempotency: claims always encode: " + err.Error())
	}
	enc := base64.RawURLEncoding
	return keyPrefix + enc.EncodeToString(payload) + "." + enc.EncodeToString(i.mac(payload))
}

func (i *Issuer) mac(payload []byte) []byte {
	h := hmac.New(sha256.New, i.secret)
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

// Address returns the issuer's peer address.
func (i *Issuer) Address() string { return i.address }

// Incarnation returns the issuer's incarnation.
func (i *Issuer) Incarnation() Incarnation { return i.incarnation }

// Owns tells whether the claims name this very incarnation.
func (i *Issuer) Owns(c Claims) bool {
	return c.Issuer == i.address && c.Incarnation == i.incarnation
}

// Verify checks the signature of a key that names this incarnation. It doesn't
// check the expiry, which the Register does under its lock.
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
