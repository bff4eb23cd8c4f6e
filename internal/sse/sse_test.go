package sse

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestEventsAreReadWholeAndUnchanged(t *testing.T) {
	is := is.New(t)
	r := bufio.NewReaderSize(strings.NewReader("id: 1\ndata: a\n\n\r\nid: 2\r\ndata: "+strings.Repeat("b", 40)+"\r\n\r\nid: 3\ndata"), 16)
	first, err := Read(r, 100)
	is.NoErr(err)
	is.Equal(string(first), "id: 1\ndata: a\n\n")
	second, err := Read(r, 100)
	is.NoErr(err)
	is.Equal(string(second), "\r\nid: 2\r\ndata: "+strings.Repeat("b", 40)+"\r\n\r\n")
	rest, err := Read(r, 100)
	is.Equal(err, io.EOF)
	is.Equal(string(rest), "id: 3\ndata")
}

// Guards against events that are split inside: the end of a line that fills the read buffer was taken for a blank line.
func TestEventWithALineOfTheBufferSizeIsNotSplit(t *testing.T) {
	const bufferBytes = 16
	for _, lineEnd := range []string{"\n", "\r\n"} {
		for size := bufferBytes - 2; size <= 2*bufferBytes+2; size++ {
			t.Run(fmt.Sprintf("%d bytes and %q", size, lineEnd), func(t *testing.T) {
				is := is.New(t)
				event := "data: " + strings.Repeat("a", size-len("data: ")) + lineEnd + "id: 1" + lineEnd + lineEnd
				r := bufio.NewReaderSize(strings.NewReader(event+"id: 2\n\n"), bufferBytes)
				got, err := Read(r, 100)
				is.NoErr(err)
				is.Equal(string(got), event)
			})
		}
	}
}

func TestEventBeyondTheLimitIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := Read(bufio.NewReader(strings.NewReader("data: 123456789\n\n")), 8)
	is.True(errors.Is(err, ErrTooLarge))
}

func TestBrokenStreamReturnsNoPartialEvent(t *testing.T) {
	is := is.New(t)
	r := bufio.NewReader(io.MultiReader(strings.NewReader("data: x\n"), brokenReader{}))
	part, err := Read(r, 100)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(len(part), 0)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestIDOfAnEvent(t *testing.T) {
	is := is.New(t)
	id, ok := ID([]byte("data: x\nid: 12\n\n"))
	is.True(ok)
	is.Equal(id, int64(12))
	_, ok = ID([]byte("data: x\n\n"))
	is.True(!ok)
	_, ok = ID([]byte("id: x\n\n"))
	is.True(!ok)
	_, ok = ID([]byte("idx: 1\n\n"))
	is.True(!ok)
}

// Guards against a position that isn't the upstream's: the first of several id lines was taken.
func TestLastIDLineOfAnEventCounts(t *testing.T) {
	for event, want := range map[string]int64{
		"\ufeffid: 2\ndata: x\n\n":        2,
		"id: 1\nid: 2\ndata: x\n\n":       2,
		"id:1\r\ndata: x\r\nid:2\r\n\r\n": 2,
		"id: x\nid: 2\ndata: x\n\n":       2,
		"id: 2\nid: 3\x00\ndata: x\n\n":   2,
		"id: 1\nid: x\ndata: x\n\n":       0,
		"id: 1\nid\ndata: x\n\n":          0,
		"id: 1\nid: \ndata: x\n\n":        0,
		"id: 1\ndata: id: 2\nidle: 3\n\n": 1,
	} {
		t.Run(event, func(t *testing.T) {
			is := is.New(t)
			id, ok := ID([]byte(event))
			is.Equal(id, want)
			is.Equal(ok, want > 0)
		})
	}
}

func TestOnlyEventsWithADataFieldHaveData(t *testing.T) {
	is := is.New(t)
	for event, want := range map[string]bool{
		"data: x\n\n": true, "\ufeffdata: x\n\n": true, "id: 1\r\ndata:x\r\n\r\n": true, "data\n\n": true,
		": data: x\n\n": false, "retry: 10\n\n": false, "id: 1\n\n": false, "database: x\n\n": false, "\r\n": false,
	} {
		is.Equal(HasData([]byte(event)), want)
	}
}

func TestHasBufferedEventCountsOnlyWholeEvents(t *testing.T) {
	is := is.New(t)
	r := bufio.NewReader(strings.NewReader("data: x\n\ndata: y\n"))
	is.True(!HasBufferedEvent(r)) // nothing was read yet
	_, err := r.Peek(1)
	is.NoErr(err)
	is.True(HasBufferedEvent(r))
	_, err = Read(r, 100)
	is.NoErr(err)
	is.True(!HasBufferedEvent(r))
}

// Guards against events that are relayed only with the next one: blank lines after an event were taken for a whole event.
func TestBlankLinesAreNoBufferedEvent(t *testing.T) {
	is := is.New(t)
	for _, rest := range []string{"\n\n", "\r\n\r\n", "\n\nid: 2\nda"} {
		r := bufio.NewReader(strings.NewReader("id: 1\ndata: x\n\n" + rest))
		_, err := Read(r, 1000)
		is.NoErr(err)
		is.True(!HasBufferedEvent(r))
	}
}
