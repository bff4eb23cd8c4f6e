package peer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/virtualtime"
	"github.com/tacktally/tacktally/internal/wait"
)

// buildingHandler counts the heartbeats that are built to be sent.
type buildingHandler struct {
	handler
	built atomic.Int32
}

func (b *buildingHandler) Heartbeat() *Heartbeat {
	b.built.Add(1)
	return b.handler.Heartbeat()
}

// A crash of an upstream changes at once what is known of the requests and segments that were there. A message to
// each peer for each change would fill the links of a large fleet.
func TestChangesAtOnceAreAnnouncedTogether(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &buildingHandler{}
		m := NewMesh(Options{Address: "127.0.0.1:1", Heartbeat: time.Hour, SuspectAfter: time.Hour, Handler: h, Log: &log.Logger{Level: log.FatalLevel}})
		defer m.Close()
		wait.For(t.Context(), time.Second)
		before := h.built.Load()
		for range 50 {
			m.AnnounceSoon()
		}
		wait.For(t.Context(), announceDelay)
		synctest.Wait()
		is.Equal(h.built.Load(), before+1)
		m.AnnounceSoon()
		wait.For(t.Context(), announceDelay)
		synctest.Wait()
		is.Equal(h.built.Load(), before+2) // the next one isn't lost
	})
}
