package peer

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/request"
)

// retainingHandler retains the response to each key, as an issuer of keys does. Each has 60 pieces of its own.
type retainingHandler struct {
	handler
	mu        sync.Mutex
	responses map[string]*answer.Buffer
}

func (h *retainingHandler) Serve(_ context.Context, r *request.Request) *answer.Buffer {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.responses[r.Key]
	if b == nil {
		b = answer.New(true)
		h.responses[r.Key] = b
		go func() {
			b.Start(answer.Head{Status: 200})
			for n := range 60 {
				_ = b.Write(context.Background(), []byte(piece(r.Key, n)))
			}
			b.Finish(answer.End{})
		}()
	}
	return b
}

// piece returns a piece of a response. Every fifth one takes several frames.
func piece(key string, n int) string {
	size := 9
	if n%5 == 0 {
		size = 2_000
	}
	return strings.Repeat(fmt.Sprintf("%s piece %d;", key, n), size)
}

// Guards against pieces that are missing, repeated or out of order where a response is followed over several links:
// each of them breaks while pieces of several responses are under way.
func TestForwardedResponseIsWholeOverSeveralLinks(t *testing.T) {
	is := is.New(t)
	h := &retainingHandler{handler: handler{merged: make(chan *State, 9)}, responses: map[string]*answer.Buffer{}}
	p := &pair{}
	p.a, _ = newMesh(t, &handler{merged: make(chan *State, 9)})
	p.b, p.addressB = newMesh(t, h)
	p.a.SetPeers([]string{p.addressB})
	p.waitLinked(t)
	var all sync.WaitGroup
	var chunks, broken atomic.Int32
	for i := range 8 {
		key := fmt.Sprint("response ", i)
		b := answer.New(false)
		all.Go(func() {
			for {
				r := newRequest("/", nil)
				r.Key = key
				_, err := p.a.Forward(t.Context(), p.addressB, r, b)
				if err == nil || t.Context().Err() != nil {
					return
				}
				p.waitLinked(t)
			}
		})
		all.Go(func() {
			var got, want bytes.Buffer
			for n := range 60 {
				want.WriteString(piece(key, n))
			}
			reader := b.Reader()
			for {
				event, err := reader.Next(t.Context())
				if err != nil {
					t.Error(err)
					return
				}
				got.Write(event.Chunk)
				if event.End != nil {
					break
				}
				if l := p.a.reachableLink(p.addressB); l != nil && chunks.Add(1)%60 == 0 {
					broken.Add(1)
					l.cancel(errSilent)
				}
			}
			if !bytes.Equal(got.Bytes(), want.Bytes()) {
				t.Errorf("%s: %d of %d bytes, or others", key, got.Len(), want.Len())
			}
		})
	}
	all.Wait()
	is.True(broken.Load() > 3) // links
}
