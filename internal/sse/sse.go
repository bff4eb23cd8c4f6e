// Package sse reads server-sent events as they stand, byte for byte.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// ErrTooLarge: an event passes the bound.
var ErrTooLarge = errors.New("an event is too large")

// Read reads up to and with the blank line that ends an event. Blank lines before it
// are part of it. At the end of the stream it returns io.EOF, together with what came
// after the last event; at any other error what came is left out.
func Read(r *bufio.Reader, maxBytes int) ([]byte, error) {
	var event []byte
	content := false
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxBytes {
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, maxBytes)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			content = true
			continue
		case errors.Is(err, io.EOF):
			return event, io.EOF
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			content = true
			continue
		}
		if content {
			return event, nil
		}
	}
}

// HasBufferedEvent tells whether a whole event is in the reader's buffer already, so that
// reading it won't block.
func HasBufferedEvent(r *bufio.Reader) bool {
	held, err := r.Peek(r.Buffered())
	return err == nil && (bytes.Contains(held, []byte("\n\n")) || bytes.Contains(held, []byte("\r\n\r\n")))
}

var idField = []byte("id:")

// ID returns the number in an event's id field; ok is false where it has none.
func ID(event []byte) (id int64, ok bool) {
	for line := range bytes.Lines(event) {
		text, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
