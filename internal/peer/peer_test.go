package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/request"
)

// handler is a Handler whose responses depend on the request: it echoes the body in chunks, and
// holds a request for the path /held.
type handler struct {
	hold   chan struct{}
	begun  chan struct{} // receives a value when a held request has arrived
	served atomic.Int32
	merged chan *State
	slots  chan string // what happened to slots
}

func (h *handler) Serve(ctx context.Context, r *request.Request) *answer.Buffer {
	h.served.Add(1)
	b := answer.New(false)
	go func() {
		if r.Path == "/held" {
			h.begun <- struct{}{}
			select {
			case <-h.hold:
			case <-ctx.Done():
				return
			}
		}
		b.Start(answer.Head{Status: 200})
		for _, chunk := range strings.SplitAfter(string(r.Body), ";") {
			_ = b.Write(ctx, []byte(chunk))
		}
		b.Finish(answer.End{})
	}()
	return b
}

func (h *handler) State(*FetchRequest) *State                 { return &State{Revision: 7, Content: []byte("seven")} }
func (h *handler) FetchRequest() *FetchRequest                { return &FetchRequest{} }
func (h *handler) MergeState(_ string, _ time.Time, s *State) { h.merged <- s }
func (h *handler) Heartbeat() *Heartbeat                      { return &Heartbeat{Revision: 7} }
func (h *handler) HandleHeartbeat(string, *Heartbeat)         {}
func (h *handler) HandleOrigins(list []StreamOrigin)          { h.slots <- fmt.Sprint("origins ", len(list)) }
func (h *handler) ServeLeases(_ string, groups []int) []int   { return groups[:1] }

func (h *handler) ServeOrigin(q *OriginQuery) *OriginReply {
	return &OriginReply{Known: q.Request == 7, Version: "v1"}
}
func (h *handler) HandlePressure(Pressure)          {}
func (h *handler) PeerLost(string)                  {}
func (h *handler) LinkLost(string)                  {}
func (h *handler) HandleQuotaReturn(r *QuotaReturn) { h.slots <- fmt.Sprint("returned ", r.Tokens) }
func (h *handler) ServeQuota(r *QuotaRequest) *QuotaReply {
	if r.Organisation == "held" {
		<-h.hold
	}
	return &QuotaReply{Granted: r.Tokens < 100, Wait: time.Duration(r.Tokens)}
}

// ServeSlot decides by the name of the service, and records how the slot ended.
func (h *handler) ServeSlot(ctx context.Context, r *SlotRequest, s *SlotStream) {
	switch r.Service {
	case "silent":
		<-ctx.Done()
		h.slots <- "gone"
		return
	case "full":
		_ = s.SendRefusal(ctx, SlotRefusal{Reason: "queue_full", RetryAfter: time.Second})
		return
	case "ending":
		s.SendQueued()
		close(h.begun)
		<-ctx.Done()
		_ = s.SendRefusal(ctx, SlotRefusal{Reason: "caller_gone"})
		return
	case "busy":
		s.SendQueued()
		<-h.hold
	}
	if s.SendGrant(ctx, SlotGrant{Upstream: "u"}) != nil {
		return
	}
	for {
		event, err := s.Next(ctx)
		switch release := event.Release; {
		case err != nil:
			h.slots <- "gone"
			return
		case release == nil && event.Load.IsSet():
			h.slots <- fmt.Sprint("started ", event.Load)
		case release == nil:
			h.slots <- "started"
		case event.Load.IsSet():
			h.slots <- fmt.Sprint("released ", release.Result, release.Output, event.Load)
			return
		default:
			h.slots <- fmt.Sprint("released ", release.Result, release.Output)
			return
		}
	}
}

// pair is two instances with a link in each direction.
type pair struct {
	a, b     *Mesh
	ha, hb   *handler
	addressB string
}

func newMesh(t *testing.T, h Handler) (*Mesh, string) {
	t.Helper()
	return newMeshOf(t, h, false)
}

func newMeshOf(t *testing.T, h Handler, sparse bool) (*Mesh, string) {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	m := NewMesh(Options{Address: address, Heartbeat: 20 * time.Millisecond, SuspectAfter: time.Minute, Handler: h, Sparse: sparse, Log: &log.Logger{Level: log.FatalLevel, Writer: &log.IOWriter{Writer: io.Discard}}, Incarnation: 1})
	server.Config.Handler = m
	server.Start()
	t.Cleanup(func() {
		m.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return m, address
}

func newPair(t *testing.T) *pair {
	p := &pair{ha: &handler{merged: make(chan *State, 9)}, hb: &handler{hold: make(chan struct{}), begun: make(chan struct{}), slots: make(chan string, 9)}}
	var addressA string
	p.a, addressA = newMesh(t, p.ha)
	p.b, p.addressB = newMesh(t, p.hb)
	p.a.SetPeers([]string{p.addressB})
	p.b.SetPeers([]string{addressA})
	p.waitLinked(t)
	return p
}

func (p *pair) waitLinked(t *testing.T) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for p.a.reachableLink(p.addressB) == nil {
		select {
		case <-tick.C:
		case <-t.Context().Done():
			t.Fatal("never linked")
		}
	}
}

// newRequest returns a request that has just been received.
func newRequest(path string, body []byte) *request.Request {
	r := &request.Request{ID: "r", Path: path, Body: body, Timeout: time.Minute}
	r.SetTimes(time.Now())
	return r
}

func (p *pair) forward(ctx context.Context, path, body string) (string, error) {
	b := answer.New(true)
	_, err := p.a.Forward(ctx, p.addressB, newRequest(path, []byte(body)), b)
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	reader := b.Reader()
	for {
		event, err := reader.Next(ctx)
		if err != nil {
			return "", err
		}
		out.Write(event.Chunk)
		if event.End != nil {
			return out.String(), nil
		}
	}
}

// Concurrent responses on one link, larger than the window and in many small chunks, each reach
// their own request completely.
func TestForwardKeepsConcurrentResponsesApart(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() {
			body := strings.Repeat(fmt.Sprintf("answer %d;", i), 3_000)
			if i%2 == 0 {
				body = strings.Repeat(fmt.Sprint(i), 700_000)
			}
			got, err := p.forward(t.Context(), "/", body)
			if err != nil || got != body {
				t.Errorf("answer %d: %d of %d bytes, %v", i, len(got), len(body), err)
			}
		})
	}
	all.Wait()
	is.Equal(p.hb.served.Load(), int32(40))
}

// A stream whose response isn't read doesn't block the others on the link.
func TestSlowReaderDoesNotBlockOtherStreams(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	unread := answer.New(false)
	result := make(chan error, 1)
	go func() {
		_, err := p.a.Forward(ctx, p.addressB, newRequest("/", bytes.Repeat([]byte("x;"), 1<<20)), unread)
		result <- err
	}()
	for range 10 {
		got, err := p.forward(t.Context(), "/", "hello")
		is.NoErr(err)
		is.Equal(got, "hello")
	}
	cancel()
	is.True(<-result != nil)
}

func TestFetchPassesStateToHandler(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	is.NoErr(p.a.Fetch(t.Context(), p.addressB))
	s := <-p.ha.merged
	is.Equal(s.Revision, int64(7))
	is.Equal(string(s.Content), "seven")
}

// stuckHandler doesn't return its state until hold is closed.
type stuckHandler struct {
	handler
	requested chan struct{}
}

func (s *stuckHandler) State(*FetchRequest) *State {
	close(s.requested)
	<-s.hold
	return &State{}
}

// A fetch on a link that went silent doesn't delay an update that another peer has.
func TestUnresponsivePeerDoesNotDelayFetchFromAnother(t *testing.T) {
	is := is.New(t)
	h := &handler{merged: make(chan *State, 9)}
	a, _ := newMesh(t, h)
	silent := &stuckHandler{handler: handler{hold: make(chan struct{})}, requested: make(chan struct{})}
	_, silentAt := newMesh(t, silent)
	_, answersAt := newMesh(t, &handler{})
	defer close(silent.hold)
	a.SetPeers([]string{silentAt, answersAt})
	eventually(t, func() bool { return a.reachableLink(silentAt) != nil && a.reachableLink(answersAt) != nil })
	a.ScheduleFetch(silentAt)
	<-silent.requested
	eventually(t, func() bool {
		a.ScheduleFetch(answersAt)
		return len(h.merged) > 0
	})
	is.Equal((<-h.merged).Revision, int64(7))
	is.Equal(a.reachableLink(silentAt).unansweredNow(), 0) // its fetch is still in progress
}

// Two instances announce a change one right after the other, one of the configuration and one of
// the list. The second one's state is fetched as soon as the first has replied, not at its next
// heartbeat half a second or a second later.
func TestFetchScheduledDuringAFetchRunsNext(t *testing.T) {
	is := is.New(t)
	h := &handler{merged: make(chan *State, 9)}
	a, _ := newMesh(t, h)
	slow := &stuckHandler{handler: handler{hold: make(chan struct{})}, requested: make(chan struct{})}
	_, slowAt := newMesh(t, slow)
	_, answersAt := newMesh(t, &handler{})
	a.SetPeers([]string{slowAt, answersAt})
	eventually(t, func() bool { return a.reachableLink(slowAt) != nil && a.reachableLink(answersAt) != nil })
	a.ScheduleFetch(slowAt)
	<-slow.requested
	a.ScheduleFetch(answersAt)
	close(slow.hold)
	eventually(t, func() bool { return len(h.merged) == 2 })
	is.Equal((<-h.merged).Revision, int64(0))
	is.Equal((<-h.merged).Revision, int64(7))
}

func (l *link) unansweredNow() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unanswered
}

// When a link ends, requests that wait on it fail, and the link is dialled again.
func TestLinkIsRedialledAfterItEnds(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	failed := make(chan error, 1)
	go func() {
		_, err := p.forward(t.Context(), "/held", "x")
		failed <- err
	}()
	l := p.a.reachableLink(p.addressB)
	<-p.hb.begun
	l.cancel(errSilent)
	is.True(errors.Is(<-failed, errSilent))
	p.waitLinked(t)
	got, err := p.forward(t.Context(), "/", "again")
	is.NoErr(err)
	is.Equal(got, "again")
}

// An invalid frame closes its link, whichever side sent it, and nothing else.
func TestInvalidFrameClosesItsLink(t *testing.T) {
	old, _ := Encode(&Frame{Type: TypeCancel, Stream: 1})
	for name, message := range map[string][]byte{
		"garbage":           []byte("garbage"),
		"unknown version":   bytes.Replace(old, []byte{1, Version}, []byte{1, 99 & 0x17}, 1),
		"open without body": mustEncode(t, &Frame{Type: TypeOpen, Stream: 1}),
		"too large":         make([]byte, MaxFrameBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &handler{}
			_, address := newMesh(t, h)
			conn, _, err := websocket.Dial(t.Context(), "ws://"+address+Path, nil)
			is.NoErr(err)
			defer conn.CloseNow()
			_ = conn.Write(t.Context(), websocket.MessageBinary, message)
			_, _, err = conn.Read(t.Context())
			is.True(err != nil) // closed by the other side
			is.Equal(h.served.Load(), int32(0))
		})
	}
}

func TestDecodeReportsTheKindOfError(t *testing.T) {
	is := is.New(t)
	version := mustEncode(t, &Frame{Type: TypeCancel, Stream: 1})
	version[2] = 9
	for want, message := range map[error][]byte{
		ErrMalformedFrame: []byte("x"),
		ErrUnknownVersion: version,
		ErrUnknownType:    mustEncode(t, &Frame{Type: typeLast, Stream: 1}),
	} {
		_, err := Decode(message)
		is.True(errors.Is(err, want))
	}
}

func mustEncode(t testing.TB, f *Frame) []byte {
	t.Helper()
	b, err := Encode(f)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func FuzzDecode(f *testing.F) {
	p := api.Refuse(api.ReasonDraining, "draining")
	for _, frame := range []*Frame{
		{Type: TypeHello, Hello: &Hello{Address: "10.0.0.1:1", Incarnation: 3}},
		{Type: TypeHeartbeat, Heartbeat: &Heartbeat{Queued: map[string][]int{"a": {1, 2}}}},
		{Type: TypeOpen, Stream: 1, Request: &request.Request{ID: "r", Body: []byte("x")}},
		{Type: TypeEnd, Stream: 1, End: &answer.End{Problem: p}},
		{Type: TypeSlotStarted, Stream: 1, Load: &Load{Running: 3, Slots: 5, WorkPercent: 68}},
	} {
		f.Add(mustEncode(f, frame))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(frame)
		if err != nil {
			t.Fatalf("decoded frame does not encode: %v", err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("encoded frame does not decode: %v", err)
		}
	})
}

var _ http.Handler = (*Mesh)(nil)

// An instance that shuts down must not close its links before the response to a forwarded request is
// written: it closed them 3 ms after the request had ended, and the peer lost the response.
func TestIsRespondingUntilForwardedResponseIsWritten(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	result := make(chan string, 1)
	go func() {
		got, err := p.forward(t.Context(), "/held", "late")
		if err != nil {
			got = err.Error()
		}
		result <- got
	}()
	<-p.hb.begun
	is.True(p.b.IsResponding())
	close(p.hb.hold)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for p.b.IsResponding() {
		select {
		case <-tick.C:
		case <-t.Context().Done():
			t.Fatal("responds for ever")
		}
	}
	p.b.Close() // as a shutdown does
	is.Equal(<-result, "late")
}
