package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/virtualtime"
)

// countingStateHandler numbers the states that its heartbeats carry. Building the first one takes a second.
type countingStateHandler struct {
	handler
	built int64
}

func (c *countingStateHandler) Heartbeat() *Heartbeat {
	c.built++
	h := &Heartbeat{Revision: c.built}
	if h.Revision == 1 {
		<-time.After(time.Second)
	}
	return h
}

// Guards against a peer that takes an older state for the current one, since a heartbeat that was built first is sent
// last.
func TestHeartbeatsAreSentInTheOrderOfTheirStates(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		const peer = "127.0.0.1:2"
		m := NewMesh(Options{Address: "127.0.0.1:1", Heartbeat: time.Hour, SuspectAfter: time.Hour, Handler: &countingStateHandler{}, Log: &log.Logger{Level: log.FatalLevel}})
		defer m.Close()
		ctx, cancel := context.WithCancelCause(t.Context())
		l := &link{out: make(chan []byte, outboxFrames), ctx: ctx, cancel: cancel}
		m.mu.Lock()
		m.peers[peer] = &peerState{hello: Hello{Address: peer}, link: l, listed: true, stop: func() {}}
		m.mu.Unlock()
		go m.Announce()
		synctest.Wait()
		go m.SendHeartbeat(peer)
		go m.Announce()
		<-time.After(3 * time.Second)
		synctest.Wait()
		is.Equal(len(l.out), 2) // the peer isn't seen, so that none is sent to it alone
		for n := range int64(2) {
			f, err := Decode(<-l.out)
			is.NoErr(err)
			is.Equal([]int64{f.Heartbeat.Revision, int64(f.Heartbeat.Sequence)}, []int64{n + 1, n + 1})
		}
	})
}

// recordingHandler records the heartbeats of peers.
type recordingHandler struct {
	handler
	got []Heartbeat
}

func (r *recordingHandler) HandleHeartbeat(_ string, h *Heartbeat) { r.got = append(r.got, *h) }

// Guards against a load, a revision or the state of an instance that goes back to what an overtaken heartbeat says, as
// those that wait on a link which another one has replaced.
func TestOvertakenHeartbeatReplacesNoState(t *testing.T) {
	newer := Heartbeat{Sequence: 5, Revision: 9, InFlight: 3, Draining: true, Running: map[string]int{"i-1": 2}, Leaving: []string{"i-7"}}
	older := Heartbeat{Sequence: 4, Revision: 8, InFlight: 1, Running: map[string]int{"i-2": 2}, Leaving: []string{"i-8"}, SourceReachableMS: 50}
	unnumbered, restarted := older, older
	unnumbered.Sequence = 0
	restarted.Sequence = 1
	for name, c := range map[string]struct {
		incarnation uint64
		second      Heartbeat
		overtaken   bool
	}{
		"overtaken":                             {1, older, true},
		"the same one":                          {1, newer, true},
		"of a peer that doesn't number its own": {1, unnumbered, false},
		"of a process that has started since":   {2, restarted, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const peer = "127.0.0.1:2"
			h := &recordingHandler{}
			m := NewMesh(Options{Address: "127.0.0.1:1", Heartbeat: time.Hour, SuspectAfter: time.Hour, Handler: h, Log: &log.Logger{Level: log.FatalLevel}})
			defer m.Close()
			m.mu.Lock()
			m.peers[peer] = &peerState{hello: Hello{Address: peer}, listed: true, stop: func() {}}
			m.mu.Unlock()
			first := newer
			m.receiveHeartbeat(peer, 1, &first)
			m.receiveHeartbeat(peer, c.incarnation, &c.second)
			status := m.Peers()[0]
			is.Equal(len(h.got), 2)
			is.Equal(h.got[1].Leaving, c.second.Leaving) // what is merged counts in any case
			is.Equal(h.got[1].Brief, c.overtaken)        // without the load
			is.Equal(len(h.got[1].Running) == 0, c.overtaken)
			is.Equal(h.got[1].SourceReachableMS == 0, c.overtaken)
			is.Equal(status.Revision == 9, c.overtaken)
			is.Equal(status.InFlight == 3, c.overtaken)
			is.Equal(status.Draining, c.overtaken)
		})
	}
}
