package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/membership"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// restartHarness passes the frames of a peer's processes to a mesh, on links of either side.
type restartHarness struct {
	*testing.T
	mesh    *Mesh
	handler *recordingHandler
}

const restartedPeer = "127.0.0.1:2"

// forMeshes calls f for either kind of mesh, with peers that number their heartbeats and updates and with peers of
// earlier versions.
func forMeshes(t *testing.T, f func(h *restartHarness, sequence uint64)) {
	for name, c := range map[string]struct {
		sparse   bool
		sequence uint64
	}{
		"full":                     {false, 1},
		"sparse":                   {true, 1},
		"full, earlier versions":   {false, 0},
		"sparse, earlier versions": {true, 0},
		"full, many heartbeats":    {false, 9},
		"sparse, many heartbeats":  {true, 9},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				h := &recordingHandler{}
				m := NewMesh(Options{Address: "127.0.0.1:1", Zone: "z", Heartbeat: time.Hour, SuspectAfter: time.Hour, Handler: h, Sparse: c.sparse, Log: &log.Logger{Level: log.FatalLevel}})
				defer m.Close()
				m.mu.Lock()
				m.peers[restartedPeer] = &peerState{hello: Hello{Address: restartedPeer}, listed: true, stop: func() {}}
				m.mu.Unlock()
				f(&restartHarness{t, m, h}, c.sequence)
			})
		})
	}
}

// newLink returns a link without a connection.
func (h *restartHarness) newLink() *servedLink {
	ctx, cancel := context.WithCancelCause(h.mesh.ctx)
	l := &link{out: make(chan []byte, outboxFrames), ctx: ctx, cancel: cancel, lastFrame: boottime.Now(), upSince: boottime.Now()}
	return newServedLink(h.mesh, l, "", h.mesh.linksBegun.Add(1))
}

// hello passes the hello of a process, on a link that the peer dialled, or this side.
func (h *restartHarness) hello(s *servedLink, incarnation uint64, dialled bool) error {
	hello := &Hello{Address: restartedPeer, Zone: "z", Incarnation: incarnation}
	if dialled {
		return h.mesh.handleDialled(s, restartedPeer, &Frame{Type: TypeHello, Hello: hello})
	}
	hello.DialledAddress = "127.0.0.1:1"
	return s.handle(&Frame{Type: TypeHello, Hello: hello})
}

func (h *restartHarness) heartbeat(s *servedLink, beat Heartbeat) {
	if err := s.handle(&Frame{Type: TypeHeartbeat, Heartbeat: &beat}); err != nil {
		h.Error(err)
	}
}

// revision returns what the peer's last heartbeat says, 0 if it isn't known.
func (h *restartHarness) revision() int64 {
	for _, p := range h.mesh.Peers() {
		if p.Address == restartedPeer && p.Report != nil {
			return p.Revision
		}
	}
	return 0
}

// Guards against a load, a revision or the state of a restarted instance that goes back to what a heartbeat of its
// former process says, which was delayed.
func TestHeartbeatOfAFormerProcessReplacesNoState(t *testing.T) {
	forMeshes(t, func(h *restartHarness, sequence uint64) {
		for _, dialled := range []bool{true, false} {
			is := is.New(h)
			former, successor := h.newLink(), h.newLink()
			base := h.mesh.Incarnation(restartedPeer)
			is.NoErr(h.hello(former, base+1, false))
			h.heartbeat(former, Heartbeat{Revision: 8, Sequence: sequence})
			is.Equal(h.revision(), int64(8))
			is.NoErr(h.hello(successor, base+2, dialled))
			h.heartbeat(successor, Heartbeat{Revision: 9, InFlight: 3, Running: map[string]int{"i-1": 2}, Sequence: min(sequence, 1)})
			h.heartbeat(former, Heartbeat{Revision: 8, Draining: true, Running: map[string]int{"i-2": 2}, Leaving: []string{"i-8"}, Sequence: min(sequence*2, sequence+1)})
			status := h.mesh.Peers()[0]
			is.Equal(h.revision(), int64(9))
			is.Equal(status.InFlight, 3)
			is.True(!status.Draining)
			is.Equal(status.Incarnation, base+2)
			last := h.handler.got[len(h.handler.got)-1]
			is.Equal(last.Leaving, []string{"i-8"}) // what is merged counts in any case
			is.True(last.Brief)                     // without the load
			is.Equal(len(last.Running), 0)
			h.heartbeat(successor, Heartbeat{Revision: 10, Sequence: min(sequence*2, 2)})
			is.Equal(h.revision(), int64(10))
		}
	})
}

// Guards against an instance that counts as reachable, or not, by an update of a former process of its hub.
func TestMembershipUpdateOfAFormerProcessIsIgnored(t *testing.T) {
	forMeshes(t, func(h *restartHarness, sequence uint64) {
		if h.mesh.sparse == nil {
			return
		}
		is := is.New(h)
		const lost = "127.0.0.1:3"
		update := func(s *servedLink, n uint64, records ...membership.Record) {
			is.NoErr(s.handle(&Frame{Type: TypeMembership, Membership: &membership.Update{Kind: membership.Direct, Full: true, Sequence: n, Records: records}}))
		}
		former, successor := h.newLink(), h.newLink()
		is.NoErr(h.hello(former, 1, false))
		is.NoErr(h.hello(successor, 2, true))
		update(successor, min(sequence, 1))
		update(former, min(sequence*2, sequence+1), membership.Record{Address: lost, Zone: "z", Incarnation: 9})
		for _, p := range h.mesh.Peers() {
			is.True(p.Address != lost || !p.Reachable)
		}
	})
}

// Guards against a restarted instance that is taken for its former process, whose hello was delayed: its keys were
// refused, and its heartbeats would be ignored.
func TestHelloOfAFormerProcessIsRefused(t *testing.T) {
	forMeshes(t, func(h *restartHarness, sequence uint64) {
		is := is.New(h)
		for _, dialled := range []bool{true, false} {
			former, successor := h.newLink(), h.newLink()
			base := h.mesh.Incarnation(restartedPeer)
			is.NoErr(h.hello(successor, base+2, false))
			h.heartbeat(successor, Heartbeat{Revision: 9, Sequence: sequence})
			err := h.hello(former, base+1, dialled)
			is.True(errors.Is(err, errFormerProcess)) // ends the link
			is.NoErr(context.Cause(successor.link.ctx))
			is.Equal(h.mesh.Incarnation(restartedPeer), base+2)
			is.Equal(h.revision(), int64(9))
		}
	})
}

// Guards against a restarted instance whose state is ignored for ever, since a link of its former process was
// accepted last, as after a pause of this instance.
func TestLiveProcessReplacesItsPredecessorAtItsNextLink(t *testing.T) {
	forMeshes(t, func(h *restartHarness, sequence uint64) {
		is := is.New(h)
		for _, dialled := range []bool{true, false} {
			live, former := h.newLink(), h.newLink()
			base := h.mesh.Incarnation(restartedPeer)
			is.NoErr(h.hello(live, base+2, dialled))
			is.NoErr(h.hello(former, base+1, false))
			if h.mesh.sparse != nil || !dialled { // in a full mesh, no heartbeats come on dialled links
				is.True(live.link.ctx.Err() != nil) // so that one of the sides dials again
			}
			h.heartbeat(former, Heartbeat{Revision: 8, Sequence: sequence})
			next := h.newLink()
			is.NoErr(h.hello(next, base+2, false))
			h.heartbeat(next, Heartbeat{Revision: 9, Sequence: sequence})
			h.heartbeat(former, Heartbeat{Revision: 8, Sequence: sequence * 2})
			is.Equal(h.mesh.Incarnation(restartedPeer), base+2)
			is.Equal(h.revision(), int64(9))
		}
	})
}

// Guards against a restarted instance that is taken for its former process, which was dialled before the successor
// sent its hello, and whose own comes after it.
func TestFormerProcessThatRepliesLateToADialIsRefused(t *testing.T) {
	is := is.New(t)
	m := NewMesh(Options{Address: "127.0.0.1:1", Heartbeat: time.Hour, SuspectAfter: time.Hour, Handler: &handler{}, Log: &log.Logger{Level: log.FatalLevel}})
	defer m.Close()
	h := &restartHarness{T: t, mesh: m}
	var address string
	former := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := h.newLink().handle(&Frame{Type: TypeHello, Hello: &Hello{Address: address, Incarnation: 2, DialledAddress: "127.0.0.1:1"}})
		conn, acceptErr := websocket.Accept(w, r, nil)
		if err = errors.Join(err, acceptErr); err != nil {
			t.Error(err)
			return
		}
		b, err := Encode(&Frame{Type: TypeHello, Hello: &Hello{Address: address, Incarnation: 1}})
		if err = errors.Join(err, conn.Write(r.Context(), websocket.MessageBinary, b)); err != nil {
			t.Error(err)
		}
		<-conn.CloseRead(r.Context()).Done()
	}))
	defer former.Close()
	address = former.Listener.Addr().String()
	m.mu.Lock()
	m.peers[address] = &peerState{hello: Hello{Address: address}, listed: true, stop: func() {}}
	m.mu.Unlock()
	_, err := m.dial(t.Context(), address)
	is.True(errors.Is(err, errFormerProcess))
	is.Equal(m.Incarnation(address), uint64(2))
}

// heldResponse holds an upgrade before its 101 is sent.
type heldResponse struct {
	http.ResponseWriter
	held    chan<- struct{}
	release <-chan struct{}
}

func (h heldResponse) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	close(h.held)
	<-h.release
	return http.NewResponseController(h.ResponseWriter).Hijack()
}

// Guards against a restarted instance that is taken for its former process, whose link was accepted first and
// served last.
func TestLinkThatIsServedLateKeepsItsOrder(t *testing.T) {
	is := is.New(t)
	m := NewMesh(Options{Address: "127.0.0.1:1", Heartbeat: time.Hour, SuspectAfter: time.Hour, Handler: &handler{}, Log: &log.Logger{Level: log.FatalLevel}})
	defer m.Close()
	m.mu.Lock()
	m.peers[restartedPeer] = &peerState{hello: Hello{Address: restartedPeer}, listed: true, stop: func() {}}
	m.mu.Unlock()
	held, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Held") != "" {
			w = heldResponse{w, held, release}
		}
		m.ServeHTTP(w, r)
	}))
	defer server.Close()
	// reply sends a hello and returns the error of reading the reply.
	reply := func(incarnation uint64, header http.Header) error {
		conn, _, err := websocket.Dial(t.Context(), server.URL, &websocket.DialOptions{HTTPHeader: header})
		if err != nil {
			return err
		}
		b, err := Encode(&Frame{Type: TypeHello, Hello: &Hello{Address: restartedPeer, Incarnation: incarnation, DialledAddress: "127.0.0.1:1"}})
		if err = errors.Join(err, conn.Write(t.Context(), websocket.MessageBinary, b)); err != nil {
			return err
		}
		_, _, err = conn.Read(t.Context())
		return err
	}
	former := make(chan error, 1)
	go func() { former <- reply(1, http.Header{"Held": {"1"}}) }()
	<-held
	is.NoErr(reply(2, nil))
	close(release)
	is.True(<-former != nil) // refused
	is.Equal(m.Incarnation(restartedPeer), uint64(2))
}

// Guards against requests that are sent to the former process of an instance on the link that it dialled, once the
// successor's link has ended.
func TestLinksOfAFormerProcessAreEnded(t *testing.T) {
	forMeshes(t, func(h *restartHarness, _ uint64) {
		is := is.New(h)
		former, successor := h.newLink(), h.newLink()
		is.NoErr(h.hello(former, 1, false))
		is.NoErr(h.hello(successor, 2, true))
		is.True(errors.Is(context.Cause(former.link.ctx), errFormerProcess))
		is.NoErr(context.Cause(successor.link.ctx))
		is.True(h.mesh.IsLinked(restartedPeer))
		h.mesh.mu.Lock()
		h.mesh.peers[restartedPeer].link = nil // the successor's has ended
		h.mesh.mu.Unlock()
		is.True(!h.mesh.IsLinked(restartedPeer))
	})
}

// Guards against state that goes back to that of a process replaced long ago, whose link is still open.
func TestNoFormerProcessReplacesState(t *testing.T) {
	forMeshes(t, func(h *restartHarness, sequence uint64) {
		is := is.New(h)
		first := h.newLink()
		is.NoErr(h.hello(first, 1, false))
		last := first
		for n := range uint64(9) {
			last = h.newLink()
			is.NoErr(h.hello(last, 2+n, true))
		}
		h.heartbeat(last, Heartbeat{Revision: 9, Sequence: sequence})
		h.heartbeat(first, Heartbeat{Revision: 3, Sequence: sequence * 2})
		is.Equal(h.revision(), int64(9))
	})
}

// Guards against state that goes back where the first frame on a dialled link isn't the hello, so that its process
// isn't known: an accepted link is in use before its hello is sent.
func TestStateOfAnUnidentifiedProcessIsIgnored(t *testing.T) {
	forMeshes(t, func(h *restartHarness, sequence uint64) {
		is := is.New(h)
		successor, dialled := h.newLink(), h.newLink()
		dialled.peer = restartedPeer
		is.NoErr(h.hello(successor, 2, false))
		h.heartbeat(successor, Heartbeat{Revision: 9, Sequence: sequence})
		is.NoErr(h.mesh.handleDialled(dialled, restartedPeer, &Frame{Type: TypeHeartbeat, Heartbeat: &Heartbeat{Revision: 8, Sequence: sequence + 1}}))
		is.Equal(h.revision(), int64(9))
		update := &Frame{Type: TypeMembership, Membership: &membership.Update{Kind: membership.Direct, Full: true, Sequence: sequence}}
		is.True(errors.Is(h.mesh.handleDialled(dialled, restartedPeer, update), errUpdateBeforeHello))
		is.NoErr(h.hello(dialled, 2, true))
		is.NoErr(h.mesh.handleDialled(dialled, restartedPeer, update))
	})
}
