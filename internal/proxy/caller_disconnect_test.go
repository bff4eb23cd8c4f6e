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

// waitForInFlight waits until the given number of requests is being served.
func (r *harness) waitForInFlight(inFlight int) {
	r.t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	late := time.After(20 * time.Second)
	for r.handler.InFlight() != inFlight {
		select {
		case <-tick.C:
		case <-late:
			r.t.Fatalf("%d requests in flight, want %d", r.handler.InFlight(), inFlight)
		}
	}
}

// cancelRequest makes a request whose caller disconnects once reached is closed. It returns when
// the request has ended and the given number of other requests is in flight.
func (r *harness) cancelRequest(q *http.Request, reached <-chan struct{}, others int) {
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
		r.t.Error("the caller had disconnected, and got a response")
	}
	r.waitForInFlight(others)
}

// fillSlots occupies all eight slots of an upstream until release is called.
func (r *harness) fillSlots(id string) (release func()) {
	held, all := make(chan struct{}), make(chan struct{}, 8)
	r.addUpstream(id, func(http.ResponseWriter, *http.Request) {
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

func TestCallerDisconnectBeforeTheBodyIsReadSendsNothing(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", respondsWith("ok"))
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nContent-Length: 9\r\n\r\nbody")
	is.NoErr(err)
	r.waitForInFlight(1)
	is.NoErr(c.Close())
	r.waitForInFlight(0)
	is.Equal(r.arrivedIDs(), "")
}

func TestCallerDisconnectWhileWaitingForASlotSendsNothing(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	release := r.fillSlots("a")
	waiting := make(chan struct{})
	go func() {
		r.waitForInFlight(9)
		close(waiting)
	}()
	r.cancelRequest(r.request("POST", "/once/x", "body"), waiting, 8)
	release()
	r.waitForInFlight(0)
	is.Equal(r.arrivedIDs(), "a a a a a a a a")
}

func TestCallerDisconnectBetweenAttemptsSendsNothingMore(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	release := r.fillSlots("a")
	failed := make(chan struct{})
	r.addUpstream("b", hijack(func(net.Conn) { close(failed) })) // its response is lost, and all slots of a are occupied
	r.cancelRequest(r.request("GET", "/safe/x", ""), failed, 8)
	release()
	r.waitForInFlight(0)
	is.Equal(r.arrivedIDs(), "a a a a a a a a b")
}

// blockedPeers is a mesh whose peers never respond.
type blockedPeers struct{ requested chan struct{} }

func (p blockedPeers) AcquireSlot(ctx context.Context, _ string, _ *peer.SlotRequest, _ time.Duration) (*peer.Slot, *peer.SlotRefusal, error) {
	close(p.requested)
	<-ctx.Done()
	return nil, nil, ctx.Err()
}

func (p blockedPeers) LeaseBuckets(ctx context.Context, _ string, _ []int, _ time.Duration) ([]int, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (p blockedPeers) TakeQuota(ctx context.Context, _ string, _ *peer.QuotaRequest, _ time.Duration, _ func(*peer.QuotaReply)) (*peer.QuotaReply, error) {
	close(p.requested)
	<-ctx.Done()
	return nil, ctx.Err()
}

func (blockedPeers) ReturnQuota(string, *peer.QuotaReturn) {}
func (blockedPeers) FleetSize() int                        { return 2 }

// makePeerOwner makes another instance the owner of every shard and quota.
func (r *harness) makePeerOwner() {
	r.fleet.SetInstances([]fleet.Instance{{Address: "", Reachable: true, Settled: true}, {Address: "10.0.0.1:1", Reachable: true, MayOwn: true, Settled: true}})
}

func TestCallerDisconnectDuringAPeerRequestSendsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		tokensPerSecond float64
		ask             func(r *harness, peers blockedPeers)
	}{
		"on its slot":  {0, func(*harness, blockedPeers) {}},
		"on its quota": {1000, func(r *harness, peers blockedPeers) { r.handler.o.Quotas.SetClient(peers) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.document.Organisations[0].TokensPerSecond = c.tokensPerSecond
			r.publish(0)
			r.addUpstream("a", respondsWith("ok"))
			peers := blockedPeers{make(chan struct{})}
			r.fleet.SetSlotClient(peers)
			c.ask(r, peers)
			r.makePeerOwner()
			r.cancelRequest(r.request("POST", "/once/x", "body", "Prompt", "9"), peers.requested, 0)
			is.Equal(r.arrivedIDs(), "")
		})
	}
}

// The upstream sees its connection close, which stops its work.
func TestCallerDisconnectDuringAStreamCancelsTheUpstreamRequest(t *testing.T) {
	for name, events := range map[string]string{"before its first event": "", "midway": "id: 1\ndata: a\n\n"} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.publish(0)
			begun, ended := make(chan struct{}), make(chan struct{})
			r.addUpstream("a", func(w http.ResponseWriter, q *http.Request) {
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
				t.Error("the caller had disconnected, and got a whole response")
			}
			<-ended
			r.waitForInFlight(0)
		})
	}
}
