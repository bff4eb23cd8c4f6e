package answer

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
)

// read reads a buffer to its end.
func read(ctx context.Context, b *Buffer) (body string, end *End, err error) {
	r := b.Reader()
	for {
		e, err := r.Next(ctx)
		if err != nil {
			return body, nil, err
		}
		body += string(e.Chunk)
		if e.End != nil {
			return body, e.End, nil
		}
	}
}

// Readers that start before, during and after the production of a retained response each get the
// whole response.
func TestRetainedResponseIsReadWholeByEveryReader(t *testing.T) {
	is := is.New(t)
	b := New(true)
	var all sync.WaitGroup
	check := func() {
		body, end, err := read(t.Context(), b)
		if err != nil || body != strings.Repeat("piece ", 100) || end.Outcome() != api.Answered {
			t.Errorf("%q %v %v", body, end, err)
		}
	}
	for range 5 {
		all.Go(check)
	}
	b.Start(Head{Status: 200})
	for i := range 100 {
		is.NoErr(b.Write(t.Context(), []byte("piece ")))
		if i%20 == 0 {
			all.Go(check)
		}
	}
	b.Finish(End{})
	b.Finish(End{Problem: api.Refuse(api.ReasonDraining, "too late")}) // ignored
	check()
	all.Wait()
}

// A writer waits for the reader of a response that isn't retained, and its memory is freed as it is
// read.
func TestWriterOfAnUnretainedResponseWaitsForItsReader(t *testing.T) {
	is := is.New(t)
	b := New(false)
	ctx, cancel := context.WithCancel(t.Context())
	chunk := make([]byte, StreamWindowBytes)
	is.NoErr(b.Write(ctx, chunk))
	cancel()
	is.True(errors.Is(b.Write(ctx, chunk), context.Canceled)) // nothing was read yet
	r := b.Reader()
	_, err := r.Next(t.Context())
	is.NoErr(err)
	is.Equal(b.bytes, 0)
	is.NoErr(b.Write(t.Context(), chunk))
	is.Equal(b.Written(), 2*StreamWindowBytes)
}

func TestRetainedResponseIsBounded(t *testing.T) {
	is := is.New(t)
	b := New(true)
	is.NoErr(b.Write(t.Context(), make([]byte, MaxRetainedBytes)))
	is.Equal(b.Write(t.Context(), []byte("x")), ErrTooLarge)
}

// Guards against an instance that runs out of memory: many small chunks took a multiple of the window, since only their
// bytes were counted.
func TestSmallChunksCountWithTheirOverhead(t *testing.T) {
	is := is.New(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	b := New(false)
	chunks := 0
	for b.Write(ended, []byte("x")) == nil && chunks < StreamWindowBytes {
		chunks++
	}
	is.Equal(chunks, StreamWindowBytes/minCharge)
	r := b.Reader()
	for range chunks {
		_, err := r.Next(t.Context())
		is.NoErr(err)
	}
	is.Equal(b.charged, 0)

	retained := New(true)
	chunks = 0
	for retained.Write(t.Context(), []byte("x")) == nil && chunks < MaxRetainedBytes/minCharge+1 {
		chunks++
	}
	is.Equal(chunks, MaxRetainedBytes/minCharge)
}
