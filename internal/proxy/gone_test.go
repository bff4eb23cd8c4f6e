package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/peer"
)

// settles waits until so many requests are being served.
func (r *rig) settles(inFlight int) {
	r.t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	late := time.After(20 * time.Second)
	for r.handler.InFlight() != inFlight {
		select {
		case <-tick.C:
		case <-late:
			r.t.Fatalf("%d in flight, not %d", r.handler.InFlight(), inFlight)
		}
	}
}

// leave makes a request whose caller leaves once reached is closed, and returns when the
// request has ended and only others are in flight.
func (r *rig) leave(q *http.Request, reached <-chan struct{}, others int) {
	r.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(q.WithContext(ctx))
		failed <- err
	}()
	<-reached
	cancel()
	if err := <-failed; err == nil {
		r.t.Error("the caller had left, and got an answer")
	}
	r.settles(others)
}

// fill takes all eight slots of an upstream until release is called.
func (r *rig) fill(id string) (release func()) {
	held, all := make(chan struct{}), make(chan struct{}, 8)
	r.upstream(id, func(http.ResponseWriter, *http.Request) {
		all <- struct{}{}
		<-held
	})
	ended := make(chan struct{}, 8)
	for range 8 {
		go func() {
			r.get("safe")
			ended <- struct{}{}
		}()
	}
	for range 8 {
		<-all
	}
	return func() {
		close(held)
		for range 8 {
			<-ended
		}
	}
}

func TestACallerThatLeavesBeforeItsBodyIsInIsSentNowhere(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	r.upstream("a", says("ok"))
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nContent-Length: 9\r\n\r\nbody")
	is.NoErr(err)
	r.settles(1)
	is.NoErr(c.Close())
	r.settles(0)
	is.Equal(r.arrived(), "")
}

func TestACallerThatLeavesWhileItWaitsForASlotIsSentNowhere(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	release := r.fill("a")
	waits := make(chan struct{})
	go func() {
		r.settles(9)
		close(waits)
	}()
	r.leave(r.request("POST", "/once/x", "body"), waits, 8)
	release()
	r.settles(0)
	is.Equal(r.arrived(), "a a a a a a a a")
}

func TestACallerThatLeavesBetweenTwoTriesIsSentNowhereElse(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	release := r.fill("a")
	failed := make(chan struct{})
	r.upstream("b", hijack(func(net.Conn) { close(failed) })) // its answer is lost, and all others are full
	r.leave(r.request("GET", "/safe/x", ""), failed, 8)
	release()
	r.settles(0)
	is.Equal(r.arrived(), "a a a a a a a a b")
}

// waitingPeers is a mesh whose peers never answer.
type waitingPeers struct{ asked chan struct{} }

func (p waitingPeers) AcquireSlot(ctx context.Context, _ string, _ *peer.SlotRequest, _ time.Duration) (*peer.Slot, *peer.SlotRefusal, error) {
	close(p.asked)
	<-ctx.Done()
	return nil, nil, ctx.Err()
}

func (p waitingPeers) TakeQuota(ctx context.Context, _ string, _ *peer.QuotaRequest, _ time.Duration) (*peer.QuotaReply, error) {
	close(p.asked)
	<-ctx.Done()
	return nil, ctx.Err()
}

func (waitingPeers) ReturnQuota(string, *peer.QuotaReturn) {}
func (waitingPeers) FleetSize() int                        { return 2 }

// another makes some other instance own everything.
func (r *rig) another() {
	r.fleet.SetInstances([]fleet.Instance{{Address: "", Reachable: true, Settled: true}, {Address: "10.0.0.1:1", Reachable: true, MayOwn: true, Settled: true}})
}

func TestACallerThatLeavesWhileAPeerDecidesIsSentNowhere(t *testing.T) {
	for name, c := range map[string]struct {
		tokensPerSecond float64
		ask             func(r *rig, peers waitingPeers)
	}{
		"on its slot":  {0, func(*rig, waitingPeers) {}},
		"on its quota": {1000, func(r *rig, peers waitingPeers) { r.handler.o.Quotas.SetClient(peers) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			r.document.Organisations[0].TokensPerSecond = c.tokensPerSecond
			r.publish(0)
			r.upstream("a", says("ok"))
			peers := waitingPeers{make(chan struct{})}
			r.fleet.SetSlotClient(peers)
			c.ask(r, peers)
			r.another()
			r.leave(r.request("POST", "/once/x", "body", "Prompt", "9"), peers.asked, 0)
			is.Equal(r.arrived(), "")
		})
	}
}

// The upstream sees the end of its connection, which stops its work.
func TestACallerThatLeavesAStreamEndsTheWorkUpstream(t *testing.T) {
	for name, events := range map[string]string{"before its first event": "", "midway": "id: 1\ndata: a\n\n"} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.publish(0)
			begun, ended := make(chan struct{}), make(chan struct{})
			r.upstream("a", func(w http.ResponseWriter, q *http.Request) {
				_, _ = io.WriteString(w, events)
				_ = http.NewResponseController(w).Flush()
				close(begun)
				<-q.Context().Done()
				close(ended)
			})
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-begun
				cancel()
			}()
			a := r.do(r.request("GET", "/resumable/x", "").WithContext(ctx))
			if a.err == nil {
				t.Error("the caller had left, and got a whole answer")
			}
			<-ended
			r.settles(0)
		})
	}
}
