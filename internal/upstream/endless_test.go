package upstream

import (
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/answer"
)

// Guards against an instance that runs out of memory: a body that came byte by byte was held with a read buffer for each.
func TestBodyInSmallPiecesIsHeldWithoutReadBuffers(t *testing.T) {
	is := is.New(t)
	const pieces = 4000 // 16 MB with read buffers
	body := iotest.OneByteReader(strings.NewReader(strings.Repeat("x", pieces)))
	b := answer.New(false)
	before := heapBytes()
	is.Equal(relayBody(t.Context(), body, b).Status, Done)
	held := heapBytes() - before
	is.Equal(b.Written(), pieces)
	t.Logf("%d bytes are held", held)
	is.True(held < pieces*chunkBytes/4)
}

// heapBytes returns the size of the reachable heap.
func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Guards against an instance that runs out of memory: an event or a model's response without an end.
func TestEndlessEventOrResponseIsInvalid(t *testing.T) {
	endless := func(begin string) io.Reader { return io.MultiReader(strings.NewReader(begin), endlessReader{}) }
	for name, relayed := range map[string]func(io.Reader, *answer.Buffer) Result{
		"event": func(r io.Reader, b *answer.Buffer) Result {
			e := &eventRelay{buffer: b, call: Call{OnFirstOutput: func() {}}}
			return e.run(t.Context(), r)
		},
		"response": func(r io.Reader, b *answer.Buffer) Result { return relayJSON(t.Context(), r, b, answer.Head{}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := answer.New(true)
			is.Equal(relayed(endless("data: "), b).Status, InvalidResponse)
			is.Equal(b.Written(), 0)
		})
	}
}

// endlessReader returns the same byte without an end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
