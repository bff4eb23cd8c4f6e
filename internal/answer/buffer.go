// Package answer buffers a response while it is being produced.
//
// One writer fills a Buffer (the dispatcher, or the link to the instance that dispatches); any
// number of readers read it from the start (the caller, its retries, a peer). A retained Buffer
// keeps its chunks, so that a later retry gets the whole response; one that isn't retained drops
// the chunks that its only reader has read.
package answer

import (
	"context"
	"errors"
	"sync"

	"github.com/tacktally/tacktally/api"
)

// StreamWindowBytes is the number of unread bytes from which the writer of a Buffer that isn't
// retained blocks.
const StreamWindowBytes = 256 << 10

// MaxRetainedBytes bounds one retained response, in bytes.
const MaxRetainedBytes = 32 << 20

// minCharge is the least that a chunk counts against these bounds, in bytes: its memory is more than its content.
const minCharge = 64

// charge returns how many bytes a chunk counts against the bounds.
func charge(chunk []byte) int { return max(len(chunk), minCharge) }

// ErrTooLarge means that a retained response exceeds MaxRetainedBytes.
var ErrTooLarge = errors.New("the response to a non-idempotent request is larger than 32 MiB, more than an instance retains for retries; let the service respond with less, such as a reference")

// Head is the head of a response.
type Head struct {
	// Status is the HTTP status, 200 to 599.
	Status int `cbor:"1,keyasint"`
	// ContentType is the media type of the body.
	ContentType string `cbor:"2,keyasint,omitempty"`
	// Upstream is the address of the upstream that responded.
	Upstream string `cbor:"3,keyasint,omitempty"`
	// Instance is the address of the instance that dispatched the request.
	Instance string `cbor:"4,keyasint,omitempty"`
	// Revision is the revision of the configuration under which the request was served.
	Revision int64 `cbor:"5,keyasint,omitempty"`
	// Header holds further header fields of a plain service's response.
	Header map[string][]string `cbor:"6,keyasint,omitempty"`
	// EndUnstated reports that the response ends with its connection, so that its end won't show whether it
	// is complete.
	EndUnstated bool `cbor:"7,keyasint,omitempty"`
}

// End is the end of a response. Problem is nil if the response is complete, as far as its upstream states
// that.
type End struct {
	Problem *api.Problem `cbor:"1,keyasint,omitempty"`
	// Unstated reports that the response ended with its connection, so that it may have broken off.
	Unstated bool `cbor:"2,keyasint,omitempty"`
}

// Outcome returns the outcome of the request.
func (e End) Outcome() api.Outcome {
	switch {
	case e.Problem != nil:
		return e.Problem.Outcome
	case e.Unstated:
		return api.Unknown
	default:
		return api.Answered
	}
}

// Reason returns why the outcome isn't answered.
func (e End) Reason() api.Reason {
	switch {
	case e.Problem != nil:
		return e.Problem.Reason
	case e.Unstated:
		return api.ReasonUpstreamEndUnstated
	default:
		return api.ReasonNone
	}
}

// Buffer is one response being produced. It is safe for concurrent use.
type Buffer struct {
	mu       sync.Mutex
	retained bool
	head     *Head
	chunks   [][]byte
	dropped  int // chunks that the reader of a Buffer that isn't retained has read
	bytes    int // bytes in chunks
	charged  int // bytes that chunks count against the bounds
	written  int // total bytes written
	end      *End
	changed  chan struct{}
	onEnd    func(End, int)
}

// New returns an empty Buffer. A retained Buffer keeps all chunks.
func New(retained bool) *Buffer {
	return &Buffer{retained: retained, changed: make(chan struct{})}
}

// Refused returns a finished Buffer that contains only a Problem.
func Refused(p *api.Problem) *Buffer {
	b := New(true)
	b.Finish(End{Problem: p})
	return b
}

// OnEnd registers a function that is called once with the end and the size of the response. It is
// called without locks held, before readers see the end; if the Buffer has ended already, it is
// called at once.
func (b *Buffer) OnEnd(f func(End, int)) {
	b.mu.Lock()
	end, size := b.end, b.bytes
	b.onEnd = f
	b.mu.Unlock()
	if end != nil {
		f(*end, size)
	}
}

func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Start sets the head. A second head is ignored.
func (b *Buffer) Start(h Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head != nil || b.end != nil {
		return
	}
	b.head = &h
	b.wake()
}

// Started reports whether the head was set.
func (b *Buffer) Started() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.head != nil
}

// Written returns the total number of bytes written.
func (b *Buffer) Written() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written
}

// Write appends a chunk, which the Buffer then owns. If the Buffer isn't retained, Write blocks
// while the reader is StreamWindowBytes behind, until ctx ends; if it is, Write returns ErrTooLarge
// beyond MaxRetainedBytes.
func (b *Buffer) Write(ctx context.Context, chunk []byte) error {
	for {
		b.mu.Lock()
		if b.end != nil {
			b.mu.Unlock()
			return nil
		}
		if b.retained && b.charged+charge(chunk) > MaxRetainedBytes {
			b.mu.Unlock()
			return ErrTooLarge
		}
		if b.retained || b.charged < StreamWindowBytes {
			b.chunks = append(b.chunks, chunk)
			b.bytes += len(chunk)
			b.charged += charge(chunk)
			b.written += len(chunk)
			b.wake()
			b.mu.Unlock()
			return nil
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Finish ends the response. A second end is ignored.
func (b *Buffer) Finish(e End) {
	b.mu.Lock()
	if b.end != nil {
		b.mu.Unlock()
		return
	}
	f, size := b.onEnd, b.bytes
	b.mu.Unlock()
	if f != nil {
		f(e, size)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil {
		b.end = &e
		b.wake()
	}
}

// Ended returns the end, or nil while the response is being produced.
func (b *Buffer) Ended() *End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// Wait blocks until the response or ctx has ended.
func (b *Buffer) Wait(ctx context.Context) (*End, error) {
	for {
		b.mu.Lock()
		end, changed := b.end, b.changed
		b.mu.Unlock()
		if end != nil {
			return end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Reader reads a Buffer. It must not be used concurrently.
type Reader struct {
	buffer   *Buffer
	next     int
	headRead bool
}

// Reader returns a reader at the start. A Buffer that isn't retained allows only one.
func (b *Buffer) Reader() *Reader { return &Reader{buffer: b} }

// Event is one step of a response; exactly one field is set.
type Event struct {
	Head  *Head
	Chunk []byte
	End   *End
}

// Next blocks until the next step: the head, then the chunks, then the end. A Problem may be the
// first step. If ctx ends first, Next returns its error.
func (r *Reader) Next(ctx context.Context) (Event, error) {
	for {
		event, changed, ok := r.tryNext()
		if ok {
			return event, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Event{}, ctx.Err()
		}
	}
}

func (r *Reader) tryNext() (Event, <-chan struct{}, bool) {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.headRead && b.head != nil {
		r.headRead = true
		return Event{Head: b.head}, nil, true
	}
	if at := r.next - b.dropped; at < len(b.chunks) {
		chunk := b.chunks[at]
		r.next++
		if !b.retained {
			b.chunks[at] = nil
			b.chunks = b.chunks[at+1:]
			b.dropped = r.next
			b.bytes -= len(chunk)
			b.charged -= charge(chunk)
			b.wake()
		}
		return Event{Chunk: chunk}, nil, true
	}
	if b.end != nil {
		return Event{End: b.end}, nil, true
	}
	return Event{}, b.changed, false
}
