package peer

import (
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// countingHandler counts the heartbeats it receives, by kind.
type countingHandler struct {
	handler
	whole, brief atomic.Int32
}

func (c *countingHandler) HandleHeartbeat(_ string, h *Heartbeat) {
	if h.Brief {
		c.brief.Add(1)
	} else {
		c.whole.Add(1)
	}
}

// Peers of other availability zones get whole heartbeats, with the load, less often, but are sent
// as many heartbeats in total.
func TestOtherZonesGetBriefHeartbeatsBetweenWholeOnes(t *testing.T) {
	is := is.New(t)
	otherZone := &countingHandler{}
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	quiet := &log.Logger{Level: log.FatalLevel}
	m := NewMesh(Options{Address: address, Zone: "merkato", Heartbeat: time.Hour, SuspectAfter: time.Hour, Handler: otherZone, Log: quiet})
	server.Config.Handler = m
	server.Start()
	t.Cleanup(func() { m.Close(); server.CloseClientConnections(); server.Close() })
	own := NewMesh(Options{Address: "127.0.0.1:1", Zone: "bole", Heartbeat: time.Hour, SuspectAfter: time.Hour, CrossZoneEvery: 2, Handler: &handler{}, Log: quiet})
	t.Cleanup(own.Close)
	own.SetPeers([]string{address})
	eventually(t, func() bool { return own.reachableLink(address) != nil && otherZone.whole.Load() == 1 }) // the first one is whole
	own.broadcastHeartbeat(false)
	own.Announce()
	eventually(t, func() bool { return otherZone.brief.Load() == 2 })
	own.broadcastHeartbeat(true)
	eventually(t, func() bool { return otherZone.whole.Load() == 2 })
	is.Equal(otherZone.brief.Load(), int32(2))
}

// eventually polls until f returns true.
func eventually(t *testing.T, f func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !f() {
		select {
		case <-tick.C:
		case <-t.Context().Done():
			t.Fatal("condition never became true")
		}
	}
}

// Instances that know only a seed discover all others, although links exist only to and between
// hubs.
func TestInstancesDiscoverEachOtherThroughASeed(t *testing.T) {
	const n = 36
	all := []*sparseMesh{newSparseMesh(t, "bole")}
	for range n - 1 {
		all = append(all, newSparseMesh(t, "bole", all[0].o.Address))
	}
	for _, m := range all {
		eventually(t, func() bool { return m.reachablePeers() == n-1 })
	}
}

// An instance that has just started knows only its seeds, and takes the fleet size from their
// reports.
func TestFleetSizeIsTheLargestReportedCount(t *testing.T) {
	is := is.New(t)
	m := NewMesh(Options{Address: "127.0.0.1:1", Heartbeat: time.Hour, SuspectAfter: time.Hour, Handler: &handler{}, Log: &log.Logger{Level: log.FatalLevel}})
	t.Cleanup(m.Close)
	is.Equal(m.FleetSize(), 1) // no peers
	m.SetPeers([]string{"127.0.0.1:2", "127.0.0.1:3"})
	is.Equal(m.FleetSize(), 0) // no peer has reported a count
	m.recordHello(Hello{Address: "127.0.0.1:2", KnownPeers: 80}, nil)
	is.Equal(m.FleetSize(), 81)
	m.receiveHeartbeat("127.0.0.1:2", 1, &Heartbeat{KnownPeers: 86})
	is.Equal(m.FleetSize(), 87)
}
