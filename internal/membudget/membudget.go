// Package membudget bounds the memory that the buffers of all requests of a process take together.
package membudget

import (
	"errors"
	"io"
	"math"
	"sync/atomic"
)

// ErrExhausted means that a buffer can't grow, since others have taken the budget.
var ErrExhausted = errors.New("the memory for unfinished responses is exhausted")

// FreeBytes is the capacity of a Buffer that takes nothing from the budget.
const FreeBytes = 4 << 10

// Budget is memory, in bytes, that buffers share. A nil Budget has no bound. It is safe for concurrent use.
type Budget struct {
	total int64
	taken atomic.Int64
}

// New returns a budget of the given size in bytes.
func New(bytes int64) *Budget { return &Budget{total: bytes} }

// Taken returns how many bytes buffers have taken.
func (b *Budget) Taken() int64 {
	if b == nil {
		return 0
	}
	return b.taken.Load()
}

// take takes n bytes and reports whether that many were left.
func (b *Budget) take(n int) bool {
	if b == nil || n == 0 {
		return true
	}
	if b.taken.Add(int64(n)) <= b.total {
		return true
	}
	b.taken.Add(-int64(n))
	return false
}

func (b *Budget) giveBack(n int) {
	if b != nil && n > 0 {
		b.taken.Add(-int64(n))
	}
}

// Buffer is a byte slice whose capacity beyond FreeBytes is taken from a budget until Release. The zero Buffer has
// no bound. It must be used by one goroutine at a time.
type Buffer struct {
	Budget *Budget // set before the first use

	bytes []byte
	taken int
}

// Bytes returns the content. It is valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Len returns the length of the content.
func (b *Buffer) Len() int { return len(b.bytes) }

// Append appends p. The error is ErrExhausted, and the content unchanged, if the budget is exhausted.
func (b *Buffer) Append(p []byte) error {
	if err := b.grow(len(b.bytes)+len(p), math.MaxInt); err != nil {
		return err
	}
	b.bytes = append(b.bytes, p...)
	return nil
}

// minReadBytes is the least room for one read.
const minReadBytes = 512

// ReadAtMost appends what r has up to its end, or until the content has limit bytes. The error is that of r, or
// ErrExhausted; the content is what was read until then.
func (b *Buffer) ReadAtMost(r io.Reader, limit int) error {
	room := minReadBytes
	if limit <= FreeBytes {
		room = limit
	}
	for len(b.bytes) < limit {
		if cap(b.bytes) == len(b.bytes) {
			if err := b.grow(min(len(b.bytes)+room, limit), limit); err != nil {
				return err
			}
		}
		n, err := r.Read(b.bytes[len(b.bytes):min(cap(b.bytes), limit)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// grow makes room for need bytes, and for no more than limit. While the content is copied, both copies are taken from the budget.
func (b *Buffer) grow(need, limit int) error {
	if need <= cap(b.bytes) {
		return nil
	}
	size := max(need, cap(b.bytes)+cap(b.bytes)/2)
	if cap(b.bytes) < FreeBytes {
		size = max(need, min(2*cap(b.bytes), FreeBytes))
	}
	size = min(size, limit)
	taken := size
	if size <= FreeBytes {
		taken = 0
	}
	if !b.Budget.take(taken) {
		return ErrExhausted
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	b.Budget.giveBack(b.taken)
	b.taken = taken
	return nil
}

// Reset empties the buffer. It keeps only memory that it hasn't taken from the budget.
func (b *Buffer) Reset() {
	if b.taken > 0 || cap(b.bytes) > FreeBytes {
		b.Release()
		return
	}
	b.bytes = b.bytes[:0]
}

// Release empties the buffer and gives back what it has taken. It may be used again.
func (b *Buffer) Release() {
	b.bytes = nil
	b.Budget.giveBack(b.taken)
	b.taken = 0
}
