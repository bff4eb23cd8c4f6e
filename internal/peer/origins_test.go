package peer

import (
	"errors"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/boottime"
)

func TestOriginsAreSentAndQueried(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.a.SendOrigins(p.addressB, []StreamOrigin{{Request: 1, Service: "s", Version: "v1", Remaining: time.Minute}, {Request: 2, Service: "s", Version: "v1", Remaining: time.Minute}})
	is.Equal(<-p.hb.slots, "origins 2")
	reply, err := p.a.QueryOrigin(t.Context(), p.addressB, &OriginQuery{Request: 7, Service: "s"}, time.Minute)
	is.NoErr(err)
	is.Equal(*reply, OriginReply{Known: true, Version: "v1"})
	reply, err = p.a.QueryOrigin(t.Context(), p.addressB, &OriginQuery{Request: 8, Service: "s"}, time.Minute)
	is.NoErr(err)
	is.True(!reply.Known)
	_, err = p.a.QueryOrigin(t.Context(), "127.0.0.1:1", &OriginQuery{Request: 7, Service: "s"}, time.Minute)
	is.True(errors.Is(err, ErrUnreachable))
}

// A peer that is restarting must get the origins once its link is up, all those that wait.
func TestOriginsWaitForALink(t *testing.T) {
	is := is.New(t)
	hb := &handler{slots: make(chan string, 9)}
	a, _ := newMesh(t, &handler{merged: make(chan *State, 9)})
	_, addressB := newMesh(t, hb)
	a.SendOrigins(addressB, []StreamOrigin{{Request: 1, Service: "s"}})
	a.SendOrigins(addressB, []StreamOrigin{{Request: 2, Service: "s"}})
	is.Equal(len(hb.slots), 0)
	a.SetPeers([]string{addressB})
	is.Equal(<-hb.slots, "origins 2")
}

// stalledHandler handles heartbeats only once resume is closed.
type stalledHandler struct {
	*handler
	stalled, resume chan struct{}
}

func (h *stalledHandler) HandleHeartbeat(string, *Heartbeat) {
	select {
	case h.stalled <- struct{}{}:
	default:
	}
	<-h.resume
}

// Guards against refusals of streams that an instance knew which was killed: what it had written of their origins to a link was lost
// with the link, which a keeper that had got no processor time ended unread.
func TestOriginsAreSentAnewAfterTheirLinkHasEnded(t *testing.T) {
	for name, c := range map[string]struct{ sparse, dialledByPeer bool }{
		"full":                        {},
		"sparse":                      {sparse: true},
		"sparse, the peer dialled it": {sparse: true, dialledByPeer: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			hb := &stalledHandler{&handler{slots: make(chan string, 9)}, make(chan struct{}, 1), make(chan struct{})}
			a, addressA := newMeshOf(t, &handler{merged: make(chan *State, 9)}, c.sparse)
			b, addressB := newMeshOf(t, hb, c.sparse)
			if c.dialledByPeer {
				b.SetPeers([]string{addressA})
			} else {
				a.SetPeers([]string{addressB})
			}
			<-hb.stalled
			link := a.reachableLink(addressB)
			a.SendOrigins(addressB, []StreamOrigin{{Request: 1, Service: "s", Remaining: time.Minute}, {Request: 2, Service: "s", Remaining: time.Minute}})
			eventually(t, func() bool { return link.unwritten.Load() == 0 })
			b.mu.Lock()
			unread := b.accepted[addressA]
			if c.dialledByPeer {
				unread = b.peers[addressA].link
			}
			b.mu.Unlock()
			unread.cancel(errSilent)
			is.NoErr(unread.conn.CloseNow())
			close(hb.resume)
			select {
			case received := <-hb.slots:
				is.Equal(received, "origins 2")
			case <-time.After(originDelivery):
				t.Error("the origins are lost")
			}
		})
	}
}

// What is sent anew after the end of a link is bounded in number and time, and is taken once.
func TestLinkKeepsTheLastOriginsOnly(t *testing.T) {
	is := is.New(t)
	start := boottime.Now()
	origins := func(n int) []StreamOrigin {
		return slices.Repeat([]StreamOrigin{{Request: uint64(n), Service: "s", Remaining: time.Minute}}, n)
	}
	l := &link{}
	is.True(l.keepOrigins(start, origins(3)))
	is.True(l.keepOrigins(start.Add(time.Second), origins(2)))
	is.True(l.keepOrigins(start.Add(originDelivery+time.Second/2), []StreamOrigin{{Request: 9, Service: "s", Remaining: time.Millisecond}}))
	is.Equal(l.takeOrigins(start.Add(originDelivery+3*time.Second/4)), []StreamOrigin{
		{Request: 2, Service: "s", Remaining: time.Minute - originDelivery + time.Second/4},
		{Request: 2, Service: "s", Remaining: time.Minute - originDelivery + time.Second/4},
	})
	is.True(!l.keepOrigins(start, origins(1)))
	is.Equal(len(l.takeOrigins(start)), 0)
	full := &link{}
	for range 3 {
		is.True(full.keepOrigins(start, origins(maxOrigins-1)))
	}
	is.True(full.keepOrigins(start, origins(1)))
	is.Equal(len(full.takeOrigins(start)), maxOrigins)
}

// A peer of an earlier version would end the link at a frame that it doesn't know.
func TestPeerThatKnowsNoOriginsIsNotAsked(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	for p.b.reachableLink(p.a.o.Address) == nil { // its hello comes on both links
		runtime.Gosched()
	}
	p.a.mu.Lock()
	p.a.peers[p.addressB].hello.KnowsOrigins = false
	p.a.mu.Unlock()
	_, err := p.a.QueryOrigin(t.Context(), p.addressB, &OriginQuery{Request: 7, Service: "s"}, time.Minute)
	is.True(errors.Is(err, errNoOrigins))
	link := p.a.reachableLink(p.addressB)
	p.a.SendOrigins(p.addressB, []StreamOrigin{{Request: 1, Service: "s"}})
	_, err = p.a.TakeQuota(t.Context(), p.addressB, &QuotaRequest{Organisation: "crews", Rate: 1, Tokens: 9}, time.Minute, nil) // sent after it
	is.NoErr(err)
	is.Equal(p.a.reachableLink(p.addressB), link)
	is.Equal(len(p.hb.slots), 0)
}

func TestMalformedOriginsAreRejected(t *testing.T) {
	for name, f := range map[string]*Frame{
		"no origin":         {Type: TypeOrigins},
		"negative lifetime": {Type: TypeOrigins, Origins: []StreamOrigin{{Request: 1, Service: "s", Remaining: -1}}},
		"too many":          {Type: TypeOrigins, Origins: make([]StreamOrigin, maxOrigins+1)},
		"query, no service": {Type: TypeOriginQuery, Stream: 1, OriginQuery: &OriginQuery{Request: 1}},
		"query, no stream":  {Type: TypeOriginQuery, OriginQuery: &OriginQuery{Request: 1, Service: "s"}},
		"empty reply":       {Type: TypeOriginReply, Stream: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, err := Encode(f)
			is.NoErr(err)
			_, err = Decode(b)
			is.True(errors.Is(err, ErrMalformedFrame))
		})
	}
}
