package slopes

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/request"
)

var meshSizes = []int{4, 8, 16, 24}

const (
	// heartbeatsPerSecond is the heartbeat rate of the measured meshes. It is higher than the daemon's
	// rate of 2 per second, so that heartbeats outweigh other work.
	heartbeatsPerSecond = 50
	// observationTime is the length of the measurement of a mesh.
	observationTime = time.Second
	// setsPerHeartbeat is the number of engine sets in each heartbeat.
	setsPerHeartbeat = 30
)

// heartbeat returns a heartbeat that reports queued work for the given number of engine sets.
func heartbeat(sets int) *peer.Heartbeat {
	h := &peer.Heartbeat{Revision: 1 << 30, ListVersion: 1 << 30, InFlight: 200, Queued: map[string][]int{}}
	for i := range sets {
		h.Queued[fmt.Sprintf("engine-set-%d", i)] = []int{0, 10, 200, 1000}
	}
	return h
}

func heartbeatBytes() Slope {
	return measure("heartbeat", "bytes", "set with work waiting", []int{0, 10, 30}, func(n int) float64 {
		b, err := peer.Encode(&peer.Frame{Type: peer.TypeHeartbeat, Heartbeat: heartbeat(n)})
		if err != nil {
			panic("slopes: a heartbeat always encodes: " + err.Error())
		}
		return float64(len(b))
	})
}

// quietHandler sends heartbeats and ignores everything that it receives.
type quietHandler struct{}

func (quietHandler) Serve(context.Context, *request.Request) *answer.Buffer { return answer.New(true) }
func (quietHandler) State(*peer.FetchRequest) *peer.State                   { return &peer.State{} }
func (quietHandler) FetchRequest() *peer.FetchRequest                       { return &peer.FetchRequest{} }
func (quietHandler) MergeState(string, time.Time, *peer.State)              {}
func (quietHandler) Heartbeat() *peer.Heartbeat                             { return heartbeat(setsPerHeartbeat) }
func (quietHandler) HandleHeartbeat(string, *peer.Heartbeat)                {}
func (quietHandler) HandlePressure(peer.Pressure)                           {}
func (quietHandler) PeerLost(string)                                        {}
func (quietHandler) HandleOrigins([]peer.StreamOrigin)                      {}
func (quietHandler) ServeLeases(string, []int) []int                        { return nil }
func (quietHandler) ServeOrigin(*peer.OriginQuery) *peer.OriginReply        { return &peer.OriginReply{} }
func (quietHandler) HandleQuotaReturn(*peer.QuotaReturn)                    {}
func (quietHandler) ServeQuota(*peer.QuotaRequest) *peer.QuotaReply         { return &peer.QuotaReply{} }
func (quietHandler) LinkLost(string)                                        {}
func (quietHandler) ServeSlot(context.Context, *peer.SlotRequest, *peer.SlotStream) {
}

// fullMesh is a full mesh of instances in this process.
type fullMesh struct {
	all     []*peer.Mesh
	servers []*http.Server
}

// newFullMesh returns a mesh of n instances. It blocks until all of them are linked.
func newFullMesh(n int) *fullMesh {
	m := &fullMesh{}
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic("slopes: no free port on loopback: " + err.Error())
		}
		address := l.Addr().String()
		mesh := peer.NewMesh(peer.Options{
			Address: address, Heartbeat: time.Second / heartbeatsPerSecond, SuspectAfter: time.Minute, Incarnation: 1,
			Handler: quietHandler{}, Log: &log.Logger{Level: log.FatalLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		})
		s := &http.Server{Handler: mesh, ReadHeaderTimeout: time.Second}
		go s.Serve(l) //nolint:errcheck // ends with Close
		m.all = append(m.all, mesh)
		m.servers = append(m.servers, s)
		addresses = append(addresses, address)
	}
	for _, mesh := range m.all {
		mesh.SetPeers(addresses)
	}
	m.waitLinked()
	return m
}

func (m *fullMesh) waitLinked() {
	for _, mesh := range m.all {
		for {
			linked := 0
			for _, p := range mesh.Peers() {
				if p.Linked {
					linked++
				}
			}
			if linked == len(m.all)-1 {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func (m *fullMesh) close() {
	for _, mesh := range m.all {
		mesh.Close()
	}
	for _, s := range m.servers {
		s.Close()
	}
}

// peerProcessorTime measures the processor time of one heartbeat to one peer, for sending and receiving
// together, by the number of peers.
func peerProcessorTime() Slope {
	return measure("heartbeats of one instance, a round", "µs", "peer", meshSizes, func(n int) float64 {
		m := newFullMesh(n)
		defer m.close()
		before := processorTime()
		time.Sleep(observationTime)
		spent := processorTime() - before
		rounds := observationTime.Seconds() * heartbeatsPerSecond * float64(n)
		return float64(spent.Microseconds()) / rounds
	})
}

func peerMemory() Slope {
	return measure("links of one instance, both directions", "bytes", "peer", meshSizes, func(n int) float64 {
		var m *fullMesh
		total := memoryOf(func() any {
			m = newFullMesh(n)
			return m
		})
		m.close()
		return total / float64(n)
	})
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
