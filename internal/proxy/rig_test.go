package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/ratelimit"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
)

// plain is a protocol of short headers: the second one behind the seam.
type plain struct{}

func (plain) ReadCall(r *http.Request) (Call, error) {
	c := Call{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), After: r.Header.Get("After")}
	if c.ID == "" {
		return c, errors.New("no ID; give one")
	}
	if text := r.Header.Get("Timeout"); text != "" {
		var err error
		if c.Timeout, err = time.ParseDuration(text); err != nil {
			return c, err
		}
	}
	if text := r.Header.Get("Prompt"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return c, err
		}
		c.Sized, c.Prompt = true, n
	}
	return c, nil
}

func (plain) Forward(h http.Header) http.Header {
	out := exchange.EndToEnd(h)
	out.Del("Key")
	return out
}

func (plain) Prepare(h http.Header, a Attempt) {
	h.Set("Upstream", a.Upstream)
	h.Set("Organisation", a.Organisation)
	h.Set("Timeout", a.Left.String())
	if a.After != "" {
		h.Set("After", a.After)
	}
}

func (plain) Answers(h http.Header, id string) bool { return h.Get("Id") == "" || h.Get("Id") == id }

func (plain) ReadHead(status int, h http.Header) Head {
	after, err := time.ParseDuration(h.Get("Retry-After"))
	if err != nil {
		after = 0 // it doesn't say
	}
	return Head{Limit: limitIn(h), RetryAfter: after, Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest, Leaving: h.Get("Leaving") != ""}
}

func limitIn(h http.Header) ratelimit.Observation {
	if h.Get("Limit") == "" {
		return ratelimit.Observation{Kind: ratelimit.Unlimited}
	}
	perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64)
	if err != nil {
		return ratelimit.Observation{}
	}
	return ratelimit.Observation{Kind: ratelimit.Limited, PerSecond: perSecond}
}

func (plain) WriteProblem(w http.ResponseWriter, p *api.Problem) {
	w.Header().Set("Reason", string(p.Reason))
	w.Header().Set("Outcome", string(p.Outcome))
	w.Header().Set("Detail", p.Detail)
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", p.RetryAfter.String())
	}
	w.WriteHeader(p.Status)
}

// documents is a source whose contents are documents in CBOR.
type documents struct{}

func (documents) ReadEntry(_ context.Context, id string) (view.Change, error) {
	return view.Change{Removed: true, Upstream: view.Upstream{ID: id}}, nil
}
func (documents) Run(ctx context.Context, _ view.Sink) { <-ctx.Done() }

func (documents) Decode(content []byte) (*routing.Document, error) {
	var d routing.Document
	return &d, cbor.Unmarshal(content, &d)
}

// rig is a handler with upstreams that tests script.
type rig struct {
	t         *testing.T
	view      *view.View
	fleet     *fleet.Fleet
	handler   *Handler
	server    *httptest.Server
	document  routing.Document
	upstreams []view.Upstream
	revision  int64       // of the list
	closing   chan string // upstreams that said that they close their connections
	servers   map[string]*httptest.Server
	book      *quarantine.Book

	mu       sync.Mutex
	arrivals []*http.Request // at all upstreams, in order
}

const (
	leaseTime = 5 * time.Second
	doubt     = 2 * time.Second
)

// newRig returns a rig with a route of each kind and an organisation with the key k.
func newRig(t *testing.T) *rig {
	r := &rig{t: t, closing: make(chan string, 99), servers: map[string]*httptest.Server{}}
	route := func(name string, kind routing.Kind) routing.Route {
		return routing.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 20 * time.Second,
			LatencyObjective: 5 * time.Second, MaxEventInterval: 5 * time.Second, MaxAttempts: 2, Split: []routing.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	r.document = routing.Document{
		Version:  1,
		Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{
			route("safe", routing.Idempotent), route("once", routing.NonIdempotent),
			route("stream", routing.Stream), route("resumable", routing.Stream), route("open", routing.Idempotent),
		},
		Organisations: []routing.Organisation{{Name: "crews", Keys: []string{"k"}}},
		Limits:        routing.Limits{MaxBodyBytes: 1000},
	}
	r.document.Routes[3].Resumable = true
	r.document.Routes[4].Public = true
	metrics := telemetry.NewMetrics()
	log := telemetry.NewLogger(io.Discard, "error", "test")
	r.book = quarantine.New(log, func(quarantine.Key) bool { return true })
	r.fleet = fleet.New(fleet.Options{
		Quarantine:     r.book,
		ConnectTimeout: time.Second,
		Limits:         queue.Limits{MaxItems: 100, MaxBytes: 1 << 20},
		Repeats:        retrybudget.Slack{Share: 2, Extra: 20, Window: 10 * time.Second}, // a first attempt earns a repeat
		Metrics:        metrics,
		Log:            log,
	})
	r.view = view.New(view.Options{Source: documents{}, Lease: leaseTime, SettlePeriod: time.Second, OnUpstreams: r.fleet.ChangeUpstreams, Metrics: metrics, Log: log})
	r.handler = New(Options{
		View: r.view, Fleet: r.fleet, Protocol: plain{}, Quotas: fleet.NewQuotas(time.Now().Add(-time.Hour), fleet.Allowance{}, r.fleet),
		Quarantine: r.book, Announce: func() {},
		Closing: func(upstream string) { r.closing <- upstream },
		Doubt:   doubt, Metrics: metrics, Log: log,
	})
	r.server = httptest.NewServer(r.handler)
	t.Cleanup(func() {
		r.server.Close()
		r.fleet.Close()
	})
	return r
}

// publish puts the document in force, proved so long ago.
func (r *rig) publish(age time.Duration) {
	content, err := cbor.Marshal(r.document)
	if err != nil {
		r.t.Fatal(err)
	}
	r.view.SetEvacuations(nil, 1)
	r.view.SetConfiguration(r.document.Version, content, time.Now().Add(-age))
}

// upstream adds an upstream that answers by f. The first one added is chosen first.
func (r *rig) upstream(id string, f http.HandlerFunc) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		r.arrivals = append(r.arrivals, q)
		r.mu.Unlock()
		w.Header().Set("Id", q.Header.Get("Id"))
		w.Header().Set("Signed", id)
		f(w, q)
	}))
	r.t.Cleanup(func() {
		r.fleet.Close()
		s.CloseClientConnections()
		s.Close()
	})
	r.servers[id] = s
	r.upstreams = append(r.upstreams, view.Upstream{ID: id, Service: "s", Address: s.Listener.Addr().String(), Slots: 8, Revision: int64(len(r.upstreams) + 1)})
	r.list()
}

// crash ends an upstream's process: its port refuses, its connections break.
func (r *rig) crash(id string) {
	_ = r.servers[id].Listener.Close() // ended already
	r.servers[id].CloseClientConnections()
}

// list publishes the upstreams, each time at a higher revision.
func (r *rig) list() {
	for _, u := range r.upstreams {
		r.revision = max(r.revision, u.Revision)
	}
	r.revision++
	r.view.SetUpstreams(r.upstreams, r.revision, time.Now())
}

// arrived returns the IDs of the upstreams that were sent something, in order.
func (r *rig) arrived() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, q := range r.arrivals {
		ids = append(ids, q.Header.Get("Upstream"))
	}
	return strings.Join(ids, " ")
}

func (r *rig) request(method, target, body string, header ...string) *http.Request {
	q, err := http.NewRequest(method, r.server.URL, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	q.URL.Opaque = target
	q.Host = "h.example"
	q.Header.Set("Id", "1")
	q.Header.Set("Key", "k")
	for i := 0; i < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	return q
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (r *rig) do(q *http.Request) answer {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	response, err := client.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// get asks for a path below a route.
func (r *rig) get(route string, header ...string) answer {
	return r.do(r.request("GET", "/"+route+"/x", "", header...))
}

// says answers with a body.
func says(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
}

// refuses answers that it hasn't run the request.
func refuses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fails answers with a failure of its own, after it has run the request.
func fails(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "sorry")
}

// hijack takes the connection over after the request was read.
func hijack(f func(c net.Conn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		f(c)
	}
}

// drops closes the connection without an answer.
var drops = hijack(func(net.Conn) {})

// writes puts bytes on the connection and closes it.
func writes(raw string) http.HandlerFunc {
	return hijack(func(c net.Conn) { _, _ = io.WriteString(c, raw) })
}
