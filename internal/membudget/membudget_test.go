package membudget

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

func TestBufferWithinTheFreeBytesTakesNothing(t *testing.T) {
	is := is.New(t)
	budget := New(0)
	b := Buffer{Budget: budget}
	for range FreeBytes {
		is.NoErr(b.Append([]byte("x")))
	}
	is.Equal(b.Len(), FreeBytes)
	is.Equal(budget.Taken(), int64(0))
	is.True(errors.Is(b.Append([]byte("y")), ErrExhausted))
	is.Equal(string(b.Bytes()), strings.Repeat("x", FreeBytes)) // unchanged
}

func TestBufferTakesItsCapacityAndGivesItBack(t *testing.T) {
	is := is.New(t)
	budget := New(1 << 20)
	b := Buffer{Budget: budget}
	for range 100 {
		is.NoErr(b.Append(make([]byte, 1000)))
		is.True(b.Len() <= FreeBytes || budget.Taken() >= int64(b.Len()))
	}
	b.Reset()
	is.Equal(b.Len(), 0)
	is.Equal(budget.Taken(), int64(0))
	is.NoErr(b.Append(make([]byte, 100_000)))
	b.Release()
	b.Release()
	is.Equal(budget.Taken(), int64(0))
}

func TestZeroBufferHasNoBound(t *testing.T) {
	is := is.New(t)
	var b Buffer
	is.NoErr(b.Append(make([]byte, 10<<20)))
	is.Equal(b.Len(), 10<<20)
}

func TestReadAtMostEndsAtTheEndTheLimitAnErrorOrTheBudget(t *testing.T) {
	broken := io.MultiReader(strings.NewReader("abc"), brokenReader{})
	for name, c := range map[string]struct {
		reader io.Reader
		limit  int
		budget int64
		length int
		err    error
	}{
		"end":    {strings.NewReader("abc"), 10, 0, 3, nil},
		"limit":  {strings.NewReader("abcdef"), 4, 0, 4, nil},
		"error":  {broken, 10, 0, 3, io.ErrUnexpectedEOF},
		"large":  {strings.NewReader(strings.Repeat("x", 50_000)), 100_000, 1 << 20, 50_000, nil},
		"budget": {strings.NewReader(strings.Repeat("x", 50_000)), 100_000, 0, FreeBytes, ErrExhausted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := Buffer{Budget: New(c.budget)}
			is.Equal(b.ReadAtMost(c.reader, c.limit), c.err)
			is.Equal(b.Len(), c.length)
		})
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a bound that holds only for each request: buffers that grow at once take more than there is.
func TestBuffersThatGrowAtOnceStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	const total = 1 << 20
	budget := New(total)
	buffers := make([]Buffer, 64)
	var group sync.WaitGroup
	for i := range buffers {
		buffers[i].Budget = budget
		group.Go(func() {
			for buffers[i].Append(make([]byte, 1000)) == nil && buffers[i].Len() < total {
			}
		})
	}
	group.Wait()
	held := 0
	for i := range buffers {
		held += cap(buffers[i].bytes)
	}
	is.True(held <= total+len(buffers)*FreeBytes)
	is.True(budget.Taken() <= total)
	for i := range buffers {
		buffers[i].Release()
	}
	is.Equal(budget.Taken(), int64(0))
}
