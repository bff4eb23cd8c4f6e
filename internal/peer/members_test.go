package peer

import (
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// counting counts the heartbeats that come, by kind.
type counting struct {
	handler
	whole, brief atomic.Int32
}

func (c *counting) Heard(_ string, h *Heartbeat) {
	if h.Brief {
		c.brief.Add(1)
	} else {
		c.whole.Add(1)
	}
}

// Peers of other availability zones are told of load less often, and are heard of as often.
func TestFarPeersAreSentBriefHeartbeatsBetweenWholeOnes(t *testing.T) {
	is := is.New(t)
	far := &counting{}
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	quiet := &log.Logger{Level: log.FatalLevel}
	m := NewMesh(Options{Address: address, Zone: "merkato", Heartbeat: time.Hour, SuspectAfter: time.Hour, Handler: far, Log: quiet})
	server.Config.Handler = m
	server.Start()
	t.Cleanup(func() { m.Close(); server.CloseClientConnections(); server.Close() })
	own := NewMesh(Options{Address: "127.0.0.1:1", Zone: "bole", Heartbeat: time.Hour, SuspectAfter: time.Hour, FarEvery: 2, Handler: &handler{}, Log: quiet})
	t.Cleanup(own.Close)
	own.SetPeers([]string{address})
	eventually(t, func() bool { return own.linkTo(address) != nil && far.whole.Load() == 1 }) // the first one is whole
	own.announce(false)
	own.Announce()
	eventually(t, func() bool { return far.brief.Load() == 2 })
	own.announce(true)
	eventually(t, func() bool { return far.whole.Load() == 2 })
	is.Equal(far.brief.Load(), int32(2))
}

// eventually asks again and again until what is asked for is so.
func eventually(t *testing.T, f func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !f() {
		select {
		case <-tick.C:
		case <-t.Context().Done():
			t.Fatal("never")
		}
	}
}

// telling tells members to whoever says that it knows fewer.
type telling struct {
	handler
	mesh atomic.Pointer[Mesh] // nil until it is made
}

func (h *telling) Heartbeat() *Heartbeat {
	if m := h.mesh.Load(); m != nil {
		return &Heartbeat{Known: m.Known()}
	}
	return &Heartbeat{}
}

func (h *telling) Heard(from string, b *Heartbeat) {
	if m := h.mesh.Load(); m != nil {
		m.TellMembers(from, b.Known)
	}
}

// Instances that know a seed alone find all others, though none is told a whole list.
func TestInstancesFindEachOtherBySeeds(t *testing.T) {
	const n = 2*membersTold + 4
	var all []*Mesh
	seed := ""
	for range n {
		h := &telling{}
		server := httptest.NewUnstartedServer(nil)
		address := server.Listener.Addr().String()
		m := NewMesh(Options{Address: address, Heartbeat: 30 * time.Millisecond, SuspectAfter: time.Minute, Handler: h, Log: &log.Logger{Level: log.FatalLevel}})
		h.mesh.Store(m)
		server.Config.Handler = m
		server.Start()
		t.Cleanup(func() { m.Close(); server.CloseClientConnections(); server.Close() })
		if seed == "" {
			seed = address
		}
		m.SetPeers([]string{seed})
		all = append(all, m)
	}
	for _, m := range all {
		eventually(t, func() bool {
			linked := 0
			for _, s := range m.Peers() {
				if s.Reachable {
					linked++
				}
			}
			return linked == n-1
		})
	}
}

// An instance that has just started knows its seeds, and by their word how many there are.
func TestTheSizeOfAFleetIsToldByWhoKnowsMost(t *testing.T) {
	is := is.New(t)
	m := NewMesh(Options{Address: "127.0.0.1:1", Heartbeat: time.Hour, SuspectAfter: time.Hour, Handler: &handler{}, Log: &log.Logger{Level: log.FatalLevel}})
	t.Cleanup(m.Close)
	is.Equal(m.FleetSize(), 1) // alone
	m.SetPeers([]string{"127.0.0.1:2", "127.0.0.1:3"})
	is.Equal(m.FleetSize(), 0) // nobody has said anything
	m.heard(Hello{Address: "127.0.0.1:2", Known: 80}, nil)
	is.Equal(m.FleetSize(), 81)
	m.heartbeat("127.0.0.1:2", &Heartbeat{Known: 86})
	is.Equal(m.FleetSize(), 87)
}
