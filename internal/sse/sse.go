// Package sse reads server-sent events unchanged, byte for byte.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/tacktally/tacktally/internal/membudget"
)

// ErrTooLarge means that an event exceeds the size limit.
var ErrTooLarge = errors.New("event is too large")

// Read reads one event up to and including the blank line that ends it. Blank lines before the
// event are part of it. At the end of the stream it returns io.EOF with the bytes after the last
// event; on any other error it returns no bytes.
func Read(r *bufio.Reader, maxBytes int) ([]byte, error) {
	return ReadInto(new(membudget.Buffer), r, maxBytes)
}

// ReadInto is like Read, with the event in a buffer, which must be empty. The error may also be membudget.ErrExhausted.
func ReadInto(b *membudget.Buffer, r *bufio.Reader, maxBytes int) ([]byte, error) {
	content := false
	lineStart := 0 // of the current line in the event
	for {
		part, err := r.ReadSlice('\n') // a part of a line if that is longer than the reader's buffer
		if b.Len()+len(part) > maxBytes {
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, maxBytes)
		}
		if err := b.Append(part); err != nil {
			return nil, err
		}
		event := b.Bytes()
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return event, io.EOF
		case err != nil:
			return nil, err
		}
		line := event[lineStart:]
		lineStart = len(event)
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			content = true
			continue
		}
		if content {
			return event, nil
		}
	}
}

// IsPartial reports whether the bytes that Read returned at the end of a stream begin an event.
func IsPartial(rest []byte) bool { return len(bytes.TrimRight(rest, "\r\n")) > 0 }

// HasBufferedEvent reports whether the reader's buffer contains a whole event, so that reading it
// won't block.
func HasBufferedEvent(r *bufio.Reader) bool {
	buffered, err := r.Peek(r.Buffered())
	buffered = bytes.TrimLeft(buffered, "\r\n") // blank lines before an event
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\r\n\r\n")))
}

var idField, dataField, byteOrderMark = []byte("id"), []byte("data"), []byte("\ufeff")

// HasData reports whether an event has data. One without any, such as a comment, is no piece of its stream.
func HasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _ := field(line)
		if bytes.Equal(name, dataField) {
			return true
		}
	}
	return false
}

// ID returns the number in an event's id field; ok is false if it has none. Of several id fields the last one
// counts, as the standard of server-sent events says.
func ID(event []byte) (id int64, ok bool) {
	for line := range bytes.Lines(event) {
		name, value := field(line)
		if !bytes.Equal(name, idField) || bytes.IndexByte(value, 0) >= 0 {
			continue // the standard ignores an ID that contains NUL
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		id, ok = n, err == nil
	}
	if !ok {
		return 0, false
	}
	return id, true
}

// field returns the name and the value of a line. A stream may begin with a byte order mark.
func field(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(bytes.TrimPrefix(bytes.TrimRight(line, "\r\n"), byteOrderMark), []byte(":"))
	return name, value
}
