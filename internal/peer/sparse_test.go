package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/phuslu/log"
	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/loadreport"

	"github.com/tacktally/tacktally/internal/membership"
	"github.com/tacktally/tacktally/internal/reach"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// sparseMesh is an instance with a sparse mesh.
type sparseMesh struct {
	*Mesh
	handler *handler
	server  *httptest.Server
}

// newSparseMesh starts an instance that knows the given seeds. Its heartbeats come once an hour, so
// that tests see only what is sent otherwise.
func newSparseMesh(t *testing.T, zone string, seeds ...string) *sparseMesh {
	t.Helper()
	h := &handler{hold: make(chan struct{}), slots: make(chan string, 9)}
	close(h.hold)
	server := httptest.NewUnstartedServer(nil)
	s := &sparseMesh{handler: h, server: server}
	s.Mesh = NewMesh(Options{
		Address: server.Listener.Addr().String(), Zone: zone, Incarnation: 1, Heartbeat: time.Hour, SuspectAfter: time.Hour,
		Sparse: true, Handler: h, Log: &log.Logger{Level: log.FatalLevel},
	})
	server.Config.Handler = s.Mesh
	server.Start()
	t.Cleanup(s.end)
	s.SetPeers(append([]string{s.o.Address}, seeds...))
	return s
}

func (s *sparseMesh) end() {
	s.Close()
	s.server.CloseClientConnections()
	s.server.Close()
}

// reachablePeers returns the number of peers that this instance considers reachable.
func (s *sparseMesh) reachablePeers() (n int) {
	for _, p := range s.Peers() {
		if p.Reachable {
			n++
		}
	}
	return n
}

// One link serves a pair of instances: both sides can request slots on it, whichever dialled it.
func TestOneLinkServesBothDirections(t *testing.T) {
	is := is.New(t)
	a := newSparseMesh(t, "bole")
	b := newSparseMesh(t, "merkato", a.o.Address)
	eventually(t, func() bool { return a.IsLinked(b.o.Address) && b.IsLinked(a.o.Address) })
	for _, pair := range [][2]*sparseMesh{{a, b}, {b, a}} {
		slot, _, err := pair[0].AcquireSlot(t.Context(), pair[1].o.Address, &SlotRequest{Service: "free"}, time.Minute)
		is.NoErr(err)
		slot.Release(SlotRelease{Result: 3, Output: 40}, loadreport.Report{})
		is.Equal(<-pair[1].handler.slots, "released 3 40")
		reply, err := pair[0].TakeQuota(t.Context(), pair[1].o.Address, &QuotaRequest{Organisation: "crews", Rate: 1, Tokens: 1}, time.Minute, nil)
		is.NoErr(err)
		is.True(reply != nil)
		origin, err := pair[0].QueryOrigin(t.Context(), pair[1].o.Address, &OriginQuery{Request: 7, Service: "s"}, time.Minute)
		is.NoErr(err)
		is.True(origin.Known)
		pair[0].SendOrigins(pair[1].o.Address, []StreamOrigin{{Request: 1, Service: "s"}})
		is.Equal(<-pair[1].handler.slots, "origins 1")
	}
}

// Instances of one zone link only to its hubs and discover all others through them. A link to
// another instance is dialled on use.
func TestLinkIsDialledOnUse(t *testing.T) {
	is := is.New(t)
	const n = 12
	all := []*sparseMesh{newSparseMesh(t, "bole")}
	for range n - 1 {
		all = append(all, newSparseMesh(t, "bole", all[0].o.Address))
	}
	for _, m := range all {
		eventually(t, func() bool { return m.reachablePeers() == n-1 })
	}
	var from, to *sparseMesh
	eventually(t, func() bool {
		for _, a := range all {
			for _, b := range all {
				if a != b && a.Role().HubRank < 0 && b.Role().HubRank < 0 && !a.IsLinked(b.o.Address) {
					from, to = a, b
					return true
				}
			}
		}
		return false
	})
	for _, p := range from.Peers() {
		is.True(p.Report == nil || p.Linked) // what one without a link reports isn't known, and not zero
	}
	slot, _, err := from.AcquireSlot(t.Context(), to.o.Address, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	slot.Release(SlotRelease{Result: 3}, loadreport.Report{})
	is.Equal(<-to.handler.slots, "released 3 0")
	is.True(from.IsLinked(to.o.Address))
	is.True(to.IsLinked(from.o.Address))
}

// No process listens at the address: the caller gets the error at once.
func TestRefusedDialFailsAtOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	refusing := l.Addr().String()
	l.Close()
	a := newSparseMesh(t, "bole")
	for range 2 { // the second attempt comes before the redial delay has passed
		_, _, err = a.AcquireSlot(t.Context(), refusing, &SlotRequest{Service: "free"}, time.Hour)
		is.True(errors.Is(err, ErrUnreachable))
	}
}

// The peer accepts connections and then sends nothing.
func TestHangingDialTimesOutLikeAMissingReply(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { l.Close() })
	a := newSparseMesh(t, "bole")
	_, _, err = a.AcquireSlot(t.Context(), l.Addr().String(), &SlotRequest{Service: "free"}, 10*time.Millisecond)
	is.True(errors.Is(err, ErrNoReply))
}

// Two instances that dial each other at the same time keep a link.
func TestCrossingDialsKeepALink(t *testing.T) {
	is := is.New(t)
	for range 20 {
		a := newSparseMesh(t, "bole")
		b := newSparseMesh(t, "merkato")
		errs := make(chan error, 2)
		acquire := func(from, to *sparseMesh) {
			_, _, err := from.AcquireSlot(t.Context(), to.o.Address, &SlotRequest{Service: "free"}, time.Minute)
			errs <- err
		}
		go acquire(a, b)
		go acquire(b, a)
		is.NoErr(<-errs)
		is.NoErr(<-errs)
		is.True(a.IsLinked(b.o.Address))
		is.True(b.IsLinked(a.o.Address))
		a.end()
		b.end()
	}
}

// A link that the peer has lost would keep the slots that the peer held on it. The new link that
// the peer dials ends it.
func TestLinkThatThePeerLostIsEnded(t *testing.T) {
	is := is.New(t)
	a := newSparseMesh(t, "bole")
	b := newSparseMesh(t, "merkato")
	_, _, err := a.AcquireSlot(t.Context(), b.o.Address, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	a.mu.Lock()
	old := a.peers[b.o.Address].link
	old.upSince = old.upSince.Add(-crossedDialWindow) // too old for crossing dials
	a.mu.Unlock()
	b.mu.Lock()
	delete(b.accepted, a.o.Address)
	b.mu.Unlock()
	_, _, err = b.AcquireSlot(t.Context(), a.o.Address, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	<-old.ctx.Done()
	is.True(a.IsLinked(b.o.Address))
}

// The side that dialled a link ends it when it is unused, but not while a request is open on it.
func TestUnusedLinkIsEnded(t *testing.T) {
	is := is.New(t)
	a := newSparseMesh(t, "bole")
	b := newSparseMesh(t, "bole")
	slot, _, err := a.AcquireSlot(t.Context(), b.o.Address, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	endUnused := func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		later := time.Now().Add(2 * unusedAfter)
		a.sparse.overlay = membership.NewOverlay(time.Now(), membership.Member{Address: a.o.Address, Zone: "elsewhere"}, nil) // it wants no links
		a.closeIfUnused(later, b.o.Address, a.peers[b.o.Address], false)
	}
	endUnused()
	is.True(!slot.Lost())
	slot.Release(SlotRelease{Result: 3}, loadreport.Report{})
	is.Equal(<-b.handler.slots, "released 3 0")
	endUnused()
	is.True(slot.Lost())
}

// A link that only the peer uses is kept by the side that dialled it: the peer holds a slot on it,
// or has just sent a request.
func TestLinkThatThePeerUsesIsKept(t *testing.T) {
	is := is.New(t)
	a := newSparseMesh(t, "bole")
	b := newSparseMesh(t, "bole")
	own, _, err := a.AcquireSlot(t.Context(), b.o.Address, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	own.Release(SlotRelease{Result: 3}, loadreport.Report{})
	is.Equal(<-b.handler.slots, "released 3 0")
	slot, _, err := b.AcquireSlot(t.Context(), a.o.Address, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	endUnused := func(later time.Time) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.sparse.overlay = membership.NewOverlay(time.Now(), membership.Member{Address: a.o.Address, Zone: "elsewhere"}, nil) // it wants no links
		p := a.peers[b.o.Address]
		p.control.lastUsed, p.knownSince = time.Time{}, time.Time{}
		a.closeIfUnused(later, b.o.Address, p, false)
	}
	endUnused(time.Now().Add(2 * unusedAfter))
	is.True(!slot.Lost()) // the peer holds a slot
	slot.Release(SlotRelease{Result: 3}, loadreport.Report{})
	is.Equal(<-a.handler.slots, "released 3 0")
	endUnused(time.Now())
	is.True(a.IsLinked(b.o.Address)) // the peer used it just now
}

// A new process under the same address is recognised as soon as it is linked.
func TestRestartedPeerHasANewIncarnation(t *testing.T) {
	is := is.New(t)
	a := newSparseMesh(t, "bole")
	for incarnation := range uint64(3) {
		now := time.Now()
		a.mu.Lock()
		a.sparse.overlay.LinkUp(now, membership.Member{Address: "10.0.0.7:1", Zone: "merkato", Incarnation: incarnation + 1, Started: now})
		a.mu.Unlock()
		is.Equal(a.Incarnation("10.0.0.7:1"), incarnation+1)
		is.Equal(a.Zone("10.0.0.7:1"), "merkato")
	}
}

// A membership update survives encoding and decoding.
func TestMembershipUpdateRoundTrip(t *testing.T) {
	is := is.New(t)
	update := &membership.Update{Kind: membership.Indirect, Full: true, Records: []membership.Record{
		{Address: "10.0.0.7:1", Zone: "bole", Incarnation: 5, Cores: 0.4, Age: time.Second, Draining: true, Reach: reach.Isolated}, {Address: "10.0.0.8:1", Removed: true},
	}}
	b, err := Encode(&Frame{Type: TypeMembership, Membership: update})
	is.NoErr(err)
	f, err := Decode(b)
	is.NoErr(err)
	is.Equal(fmt.Sprint(*f.Membership), fmt.Sprint(*update))
	_, err = Decode(mustEncode(t, &Frame{Type: TypeMembership}))
	is.True(errors.Is(err, ErrMalformedFrame))
}

// Guards against an instance that counts as reachable for good though its hub has withdrawn it, since an older update
// came after a newer one, on a link that another one had replaced.
func TestOvertakenMembershipUpdateIsIgnored(t *testing.T) {
	const hub, lost = "127.0.0.1:2", "127.0.0.1:3"
	with := func(sequence uint64, kind membership.Kind, full bool) *membership.Update {
		return &membership.Update{Kind: kind, Full: full, Sequence: sequence, Records: []membership.Record{{Address: lost, Zone: "z", Incarnation: 9, Age: time.Second}}}
	}
	for name, c := range map[string]struct {
		incarnation uint64
		update      *membership.Update
		reachable   bool
	}{
		"changes that were overtaken":            {1, with(6, membership.Direct, false), false},
		"a full update that was overtaken":       {1, with(6, membership.Direct, true), false},
		"of another kind":                        {1, with(6, membership.Indirect, true), false},
		"later changes":                          {1, with(8, membership.Direct, false), true},
		"of a process that has started since":    {2, with(1, membership.Direct, true), true},
		"of a peer that doesn't number its own":  {1, with(0, membership.Direct, false), true},
		"for an instance that starts, at a time": {1, with(6, membership.Bootstrap, false), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMesh(Options{Address: "127.0.0.1:1", Zone: "z", Heartbeat: time.Hour, SuspectAfter: time.Hour, Handler: &handler{}, Sparse: true, Log: &log.Logger{Level: log.FatalLevel}})
			t.Cleanup(m.Close)
			m.recordHello(Hello{Address: hub, Zone: "z", Incarnation: 1}, nil)
			m.mergeMembership(hub, 1, &membership.Update{Kind: membership.Direct, Full: true, Sequence: 7})
			m.recordHello(Hello{Address: hub, Zone: "z", Incarnation: c.incarnation}, nil)
			m.mergeMembership(hub, c.incarnation, c.update)
			reachable := false
			for _, p := range m.Peers() {
				reachable = reachable || p.Address == lost && p.Reachable
			}
			is.Equal(reachable, c.reachable)
		})
	}
}

// Guards against a former hub whose members count as reachable at a peer until its link ends, since the update that
// withdraws them wasn't sent on the link that replaced the one before, or didn't fit in the outbox.
func TestFormerHubWithdrawsItsMembers(t *testing.T) {
	const peer = "127.0.0.1:2"
	for name, c := range map[string]struct {
		replaced, full bool
	}{
		"on the same link":               {},
		"on another one":                 {replaced: true},
		"the outbox was full":            {full: true},
		"on another one, and it is full": {replaced: true, full: true},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) { // so that the mesh sends no updates itself
				is := is.New(t)
				m := NewMesh(Options{Address: "127.0.0.1:1", Zone: "z", Heartbeat: time.Hour, SuspectAfter: time.Hour, Handler: &handler{}, Sparse: true, Log: &log.Logger{Level: log.FatalLevel}})
				defer m.Close()
				newLink := func() *link {
					ctx, cancel := context.WithCancelCause(m.ctx)
					return &link{out: make(chan []byte, 1), ctx: ctx, cancel: cancel, lastFrame: boottime.Now()}
				}
				first, l := newLink(), newLink()
				if !c.replaced {
					l = first
				}
				m.recordHello(Hello{Address: peer, Zone: "z", Incarnation: 1}, l)
				m.mu.Lock()
				control := &m.peers[peer].control
				control.updateLink, control.updatesSent = first, updateCursor{kind: membership.Direct, change: 1}
				m.mu.Unlock()
				m.setDraining(true) // so that it is no hub any more
				if c.full {
					l.out <- nil
					m.sendUpdates(boottime.Now())
					<-l.out
				}
				m.sendUpdates(boottime.Now())
				is.Equal(len(l.out), 1)
				f, err := Decode(<-l.out)
				is.NoErr(err)
				is.Equal(f.Membership.Kind, membership.None)
				is.True(f.Membership.Full)
				m.sendUpdates(boottime.Now())
				is.Equal(len(l.out), 0) // once
			})
		})
	}
}
