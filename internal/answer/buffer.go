// Package answer holds an answer while it is being made.
//
// One writer fills a Buffer (the dispatcher, or the link to the instance that
// dispatches); any number of readers follow it from its start (the caller, its
// repeats, a peer). A held Buffer keeps its pieces, so that a later repeat gets
// the whole answer; one that isn't held drops what its only reader has taken.
package answer

import (
	"context"
	"errors"
	"sync"

	"github.com/tacktally/tacktally/api"
)

// StreamWindowBytes is how many bytes a writer may be ahead of the reader of a
// Buffer that isn't held.
const StreamWindowBytes = 256 << 10

// MaxRetainedBytes bounds one answer that is held whole, in bytes.
const MaxRetainedBytes = 32 << 20

// ErrTooLarge: a held answer passes MaxHeld.
var ErrTooLarge = errors.New("the answer to a non-idempotent request is larger than 32 MiB, more than an instance holds for repeats; let the service answer with less, such as a reference")

// Head is the start of an answer.
type Head struct {
	// Status is the HTTP status, 200 to 599.
	Status int `cbor:"1,keyasint"`
	// ContentType of the body.
	ContentType string `cbor:"2,keyasint,omitempty"`
	// Upstream is the address that answered.
	Upstream string `cbor:"3,keyasint,omitempty"`
	// Instance is the address of the instance that dispatched.
	Instance string `cbor:"4,keyasint,omitempty"`
	// Revision of the configuration the request was served under.
	Revision int64 `cbor:"5,keyasint,omitempty"`
	// Header holds further fields of a plain service's answer.
	Header map[string][]string `cbor:"6,keyasint,omitempty"`
}

// End is the close of an answer. Problem is nil when the whole answer was given.
type End struct {
	Problem *api.Problem `cbor:"1,keyasint,omitempty"`
}

// Outcome returns the outcome that the end stands for.
func (e End) Outcome() api.Outcome {
	if e.Problem == nil {
		return api.Answered
	}
	return e.Problem.Outcome
}

// Buffer is one answer in the making. Safe for concurrent use.
type Buffer struct {
	mu      sync.Mutex
	held    bool
	head    *Head
	pieces  [][]byte
	dropped int // pieces already taken by the reader of a Buffer that isn't held
	bytes   int // bytes in pieces
	written int // bytes ever written
	end     *End
	changed chan struct{}
	onEnd   func(End, int)
}

// New returns an empty Buffer. Held buffers keep all pieces.
func New(held bool) *Buffer {
	return &Buffer{held: held, changed: make(chan struct{})}
}

// Refused returns a finished Buffer that holds only a Problem.
func Refused(p *api.Problem) *Buffer {
	b := New(true)
	b.Finish(End{Problem: p})
	return b
}

// OnEnd registers the function called once when the answer has ended, with its
// end and its size. It is called without locks held, before readers see the end
// of a Buffer that hasn't ended yet; at once on one that has.
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

// Started tells whether the head was set.
func (b *Buffer) Started() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.head != nil
}

// Written returns how many bytes were ever written.
func (b *Buffer) Written() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written
}

// Write appends a piece, which the Buffer then owns. On a Buffer that isn't held
// it blocks while the reader is UnheldWindow bytes behind, until ctx ends; on one
// that is, it returns ErrTooLarge past MaxHeld.
func (b *Buffer) Write(ctx context.Context, piece []byte) error {
	for {
		b.mu.Lock()
		if b.end != nil {
			b.mu.Unlock()
			return nil
		}
		if b.held && b.bytes+len(piece) > MaxRetainedBytes {
			b.mu.Unlock()
			return ErrTooLarge
		}
		if b.held || b.bytes < StreamWindowBytes {
			b.pieces = append(b.pieces, piece)
			b.bytes += len(piece)
			b.written += len(piece)
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

// Finish ends the answer. A second end is ignored.
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

// Ended returns the end, or nil while the answer is being made.
func (b *Buffer) Ended() *End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// Wait blocks until the answer has ended or ctx has.
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

// Reader follows a Buffer. It is for one goroutine.
type Reader struct {
	buffer *Buffer
	next   int
	headed bool
}

// Reader returns a reader at the start. A Buffer that isn't held takes one only.
func (b *Buffer) Reader() *Reader { return &Reader{buffer: b} }

// Event is one step of an answer: exactly one field is set.
type Event struct {
	Head  *Head
	Chunk []byte
	End   *End
}

// Next blocks for the next step: the head, then pieces, then the end. A Problem
// may be the first step. It returns ctx's error when ctx ends first.
func (r *Reader) Next(ctx context.Context) (Event, error) {
	for {
		event, changed, ok := r.take()
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

func (r *Reader) take() (Event, <-chan struct{}, bool) {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.headed && b.head != nil {
		r.headed = true
		return Event{Head: b.head}, nil, true
	}
	if at := r.next - b.dropped; at < len(b.pieces) {
		piece := b.pieces[at]
		r.next++
		if !b.held {
			b.pieces[at] = nil
			b.pieces = b.pieces[at+1:]
			b.dropped = r.next
			b.bytes -= len(piece)
			b.wake()
		}
		return Event{Chunk: piece}, nil, true
	}
	if b.end != nil {
		return Event{End: b.end}, nil, true
	}
	return Event{}, b.changed, false
}
