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

func (c *counting) HandleHeartbeat(_ string, h *Heartbeat) {
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
	own := NewMesh(Options{Address: "127.0.0.1:1", Zone: "bole", Heartbeat: time.Hour, SuspectAfter: time.Hour, CrossZoneEvery: 2, Handler: &handler{}, Log: quiet})
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

// Instances that know a seed alone find all others, though no two of them link to each other
// but hubs and those that link to hubs.
func TestInstancesFindEachOtherBySeeds(t *testing.T) {
	const n = 36
	all := []*sparseMesh{newSparseMesh(t, "bole")}
	for range n - 1 {
		all = append(all, newSparseMesh(t, "bole", all[0].o.Address))
	}
	for _, m := range all {
		eventually(t, func() bool { return m.inReach() == n-1 })
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
	m.heard(Hello{Address: "127.0.0.1:2", KnownPeers: 80}, nil)
	is.Equal(m.FleetSize(), 81)
	m.heartbeat("127.0.0.1:2", &Heartbeat{KnownPeers: 86})
	is.Equal(m.FleetSize(), 87)
}
