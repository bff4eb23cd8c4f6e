// Package request holds the type of a caller's request inside the daemon, and
// reads it from HTTP.
package request

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/prefix"
)

// Kind tells which protocol a request speaks.
type Kind uint8

// The kinds.
const (
	Chat Kind = iota + 1
	Completion
	Service
)

// Attempt tells what the caller says of a caller-chosen ID.
type Attempt uint8

// The attempts.
const (
	// AttemptUnmarked: the caller doesn't say; it may be a repeat.
	AttemptUnmarked Attempt = iota
	// AttemptFirst: the caller sends it for the first time.
	AttemptFirst
	// AttemptRetry: the caller has sent it before.
	AttemptRetry
)

// Request is one request of a caller. It travels between instances as CBOR.
// It is not changed once decoded.
type Request struct {
	// ID names the request in logs and answers.
	ID   string `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	// Organisation that the API key belongs to.
	Organisation string `cbor:"3,keyasint"`
	Tier         string `cbor:"4,keyasint"`
	// Timeout is the time left when the request was sent to this instance. It
	// travels instead of a deadline, so that clocks needn't agree.
	Timeout time.Duration `cbor:"5,keyasint"`
	// NonIdempotent requests run at most once, under Key.
	NonIdempotent bool `cbor:"6,keyasint,omitempty"`
	// Key is an issued key or a caller-chosen ID; Attempt goes with the latter.
	Key     string  `cbor:"7,keyasint,omitempty"`
	Attempt Attempt `cbor:"8,keyasint,omitempty"`
	// JoinOnly asks only for the answer of an earlier attempt; the body is absent.
	JoinOnly bool `cbor:"9,keyasint,omitempty"`
	// Fingerprint is the fingerprint of what is asked.
	Fingerprint idempotency.Fingerprint `cbor:"10,keyasint"`
	// Body as the caller sent it.
	Body []byte `cbor:"11,keyasint,omitempty"`

	// Model requests: the model, whether the answer is streamed, the length of
	// the prompt and the limit of the output in tokens, and the resume token.
	Model           string `cbor:"12,keyasint,omitempty"`
	Stream          bool   `cbor:"13,keyasint,omitempty"`
	PromptTokens    int    `cbor:"14,keyasint,omitempty"`
	MaxOutputTokens int    `cbor:"15,keyasint,omitempty"`
	LastEventID     string `cbor:"16,keyasint,omitempty"`

	// Service requests: the service, the call below its prefix, and its header.
	Service string              `cbor:"17,keyasint,omitempty"`
	Method  string              `cbor:"18,keyasint,omitempty"`
	Path    string              `cbor:"19,keyasint,omitempty"`
	Query   string              `cbor:"20,keyasint,omitempty"`
	Header  map[string][]string `cbor:"21,keyasint,omitempty"`

	// PrefixHashes is the prompt's prefix sums.
	PrefixHashes []uint64 `cbor:"22,keyasint,omitempty"`
	// RawPath is Path as the caller escaped it.
	RawPath string `cbor:"25,keyasint,omitempty"`

	// Age is the time since the caller's attempt arrived, when it was sent to this
	// instance.
	Age time.Duration `cbor:"23,keyasint,omitempty"`
	// Spilled requests came from another availability zone that had no room; they
	// are not sent on again.
	Spilled bool `cbor:"24,keyasint,omitempty"`

	// Arrived and Deadline on this instance's clock; set when it is received.
	Arrived  time.Time `cbor:"-"`
	Deadline time.Time `cbor:"-"`
}

// SetTimes sets the times on this instance's clock.
func (r *Request) SetTimes(now time.Time) {
	r.Arrived = now.Add(-r.Age)
	r.Deadline = now.Add(r.Timeout)
}

// ForPeer returns a copy to send to another instance now.
func (r *Request) ForPeer(now time.Time) *Request {
	c := *r
	c.Timeout = r.Deadline.Sub(now)
	c.Age = now.Sub(r.Arrived)
	return &c
}

// seal sums what is asked: all that changes what an upstream would do.
func (r *Request) computeFingerprint() {
	h := sha256.New()
	for _, part := range []string{r.Organisation, r.Model, r.Service, r.Method, r.Path, r.RawPath, r.Query} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write([]byte{byte(r.Kind)})
	h.Write(r.Body)
	h.Sum(r.Fingerprint[:0])
}

// chain sums the prompt's prefixes and estimates its length in tokens.
func (r *Request) hashPrompt(prompt []byte) {
	r.PrefixHashes = prefix.Hashes(prompt)
	r.PromptTokens = max(len(prompt)/prefix.BytesPerToken, 1)
}
