// Package request defines a caller's request inside the daemon and decodes it from HTTP.
package request

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/prefix"
)

// Kind is the API that a request uses.
type Kind uint8

// The kinds.
const (
	Chat Kind = iota + 1
	Completion
	Service
)

// Attempt is how the caller marked an attempt under a caller-chosen ID.
type Attempt uint8

// The attempts.
const (
	// AttemptUnmarked: the caller didn't mark the attempt; it may be a retry.
	AttemptUnmarked Attempt = iota
	// AttemptFirst: the caller sends it for the first time.
	AttemptFirst
	// AttemptRetry: the caller has sent the request before.
	AttemptRetry
)

// Request is one request of a caller. It is sent between instances as CBOR and isn't changed once
// decoded.
type Request struct {
	// ID identifies the request in logs and responses.
	ID   string `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	// Organisation is the organisation that the API key belongs to.
	Organisation string `cbor:"3,keyasint"`
	Tier         string `cbor:"4,keyasint"`
	// Timeout is the time that was left when the request was sent to this instance. It is sent
	// instead of a deadline, so that clocks needn't agree.
	Timeout time.Duration `cbor:"5,keyasint"`
	// NonIdempotent requests run at most once, under Key.
	NonIdempotent bool `cbor:"6,keyasint,omitempty"`
	// Key is an issued key or a caller-chosen ID. Attempt only matters for a caller-chosen ID.
	Key     string  `cbor:"7,keyasint,omitempty"`
	Attempt Attempt `cbor:"8,keyasint,omitempty"`
	// JoinOnly limits the request to the response of an earlier attempt; Body is empty.
	JoinOnly bool `cbor:"9,keyasint,omitempty"`
	// Fingerprint is a hash of everything that affects what an upstream does.
	Fingerprint idempotency.Fingerprint `cbor:"10,keyasint"`
	// Body is the body as the caller sent it.
	Body []byte `cbor:"11,keyasint,omitempty"`

	// For model requests: the model, whether the response is streamed, the length of the prompt
	// and the limit of the output in tokens, and the resume token.
	Model           string `cbor:"12,keyasint,omitempty"`
	Stream          bool   `cbor:"13,keyasint,omitempty"`
	PromptTokens    int    `cbor:"14,keyasint,omitempty"`
	MaxOutputTokens int    `cbor:"15,keyasint,omitempty"`
	LastEventID     string `cbor:"16,keyasint,omitempty"`

	// For service requests: the service, the call below its prefix, and its header fields.
	Service string              `cbor:"17,keyasint,omitempty"`
	Method  string              `cbor:"18,keyasint,omitempty"`
	Path    string              `cbor:"19,keyasint,omitempty"`
	Query   string              `cbor:"20,keyasint,omitempty"`
	Header  map[string][]string `cbor:"21,keyasint,omitempty"`

	// PrefixHashes are the hashes of the prompt's prefixes.
	PrefixHashes []uint64 `cbor:"22,keyasint,omitempty"`
	// RawPath is Path as the caller escaped it.
	RawPath string `cbor:"25,keyasint,omitempty"`

	// MessageIDs are hashes of a chat's messages, in order.
	MessageIDs []uint64 `cbor:"26,keyasint,omitempty"`

	// Age is the time between the arrival of the caller's attempt and the sending to this instance.
	Age time.Duration `cbor:"23,keyasint,omitempty"`
	// Spilled requests came from another availability zone that had no free capacity. They are not
	// spilled again.
	Spilled bool `cbor:"24,keyasint,omitempty"`
	// Resent requests may have reached the issuer of their key before, in the same attempt of the caller.
	Resent bool `cbor:"27,keyasint,omitempty"`

	// Arrived and Deadline are on this instance's clock; SetTimes sets them.
	Arrived  time.Time `cbor:"-"`
	Deadline time.Time `cbor:"-"`
}

// SetTimes sets Arrived and Deadline for a request that this instance received now.
func (r *Request) SetTimes(now time.Time) {
	r.Arrived = now.Add(-r.Age)
	r.Deadline = now.Add(r.Timeout)
}

// ForPeer returns a copy to be sent to another instance now.
func (r *Request) ForPeer(now time.Time) *Request {
	c := *r
	c.Timeout = r.Deadline.Sub(now)
	c.Age = now.Sub(r.Arrived)
	return &c
}

// computeFingerprint hashes everything that affects what an upstream does.
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

// maxMessageIDs bounds the number of hashed messages of one chat.
const maxMessageIDs = 64

// hashMessages sets the hashes of a chat's messages. It leaves them out if the messages are no array.
func (r *Request) hashMessages(messages []byte) {
	var list []jsontext.Value
	if json.Unmarshal(messages, &list) != nil {
		return // the engine decides whether it accepts them
	}
	for _, m := range list[:min(len(list), maxMessageIDs)] {
		r.MessageIDs = append(r.MessageIDs, xxhash.Sum64(m))
	}
}

// hashPrompt sets the hashes of the prompt's prefixes and estimates its length in tokens.
func (r *Request) hashPrompt(prompt []byte) {
	r.PrefixHashes = prefix.Hashes(prompt)
	r.PromptTokens = max(len(prompt)/prefix.BytesPerToken, 1)
}
