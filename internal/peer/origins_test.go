package peer

import (
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
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
