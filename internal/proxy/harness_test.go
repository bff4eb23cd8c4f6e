package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/listen"
	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/ratelimit"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
)

// fakeProtocol is a second implementation of Protocol, with short header names.
type fakeProtocol struct{}

func (fakeProtocol) ParseRequest(r *http.Request) (RequestInfo, error) {
	c := RequestInfo{ID: r.Header.Get("Id"), APIKey: r.Header.Get("Key"), LastEventID: r.Header.Get("After"), OriginID: r.Header.Get("Origin-Id")}
	if c.ID == "" {
		return c, errors.New("the Id header is missing")
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
		c.HasTokenCounts, c.PromptTokens = true, n
	}
	return c, nil
}

func (fakeProtocol) ForwardHeaders(h http.Header) http.Header {
	out := exchange.EndToEndHeaders(h)
	out.Del("Key")
	return out
}

func (fakeProtocol) SetAttemptHeaders(h http.Header, a Attempt) {
	h.Set("Upstream", a.Upstream)
	h.Set("Organisation", a.Organisation)
	h.Set("Timeout", a.Remaining.String())
	if a.LastEventID != "" {
		h.Set("After", a.LastEventID)
	}
}

func (fakeProtocol) IsResponseTo(h http.Header, id string) bool {
	return h.Get("Id") == "" || h.Get("Id") == id
}

func (fakeProtocol) ParseResponse(status int, h http.Header) ResponseInfo {
	after, err := time.ParseDuration(h.Get("Retry-After"))
	if err != nil {
		after = 0 // not announced
	}
	load, loadError := loadIn(h)
	load.Brittle = h.Get("Brittle") != ""
	return ResponseInfo{Load: load, LoadError: loadError, Limit: limitIn(h), RetryAfter: after, Signed: h.Get("Signed") != "", Identified: h.Get("Id") != "", NotRun: h.Get("Not-Run") != "", ImpliesNotRun: slices.Contains(notRunStatuses, status), Misdirected: status == http.StatusMisdirectedRequest, Leaving: h.Get("Leaving") != ""}
}

// notRunStatuses are the statuses that the callers of fakeProtocol take for refusals.
var notRunStatuses = []int{408, 421, 429, 503}

// loadIn returns the load report, of which the header has the running requests only.
func loadIn(h http.Header) (loadreport.Report, error) {
	if h.Get("Load") == "" {
		return loadreport.Report{}, nil
	}
	running, err := strconv.Atoi(h.Get("Load"))
	if err != nil {
		return loadreport.Report{}, err
	}
	return loadreport.Report{Running: running, Slots: 8}, nil
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

func (fakeProtocol) WriteProblem(w http.ResponseWriter, p *api.Problem) {
	w.Header().Set("Reason", string(p.Reason))
	w.Header().Set("Outcome", string(p.Outcome))
	w.Header().Set("Detail", p.Detail)
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", p.RetryAfter.String())
	}
	w.WriteHeader(p.Status)
}

// fakeSource is a source whose contents are CBOR documents.
type fakeSource struct{}

func (fakeSource) BytesRead() int64 { return 0 }

func (fakeSource) ReadEntry(_ context.Context, id string) (view.Change, error) {
	return view.Change{Removed: true, Upstream: view.Upstream{ID: id}}, nil
}
func (fakeSource) Run(ctx context.Context, _ view.Sink) { <-ctx.Done() }

func (fakeSource) Decode(content []byte) (*routing.Document, error) {
	var d routing.Document
	return &d, cbor.Unmarshal(content, &d)
}

// harness is a handler with scripted upstreams.
type harness struct {
	t         testing.TB
	view      *view.View
	fleet     *fleet.Fleet
	handler   *Handler
	server    *httptest.Server
	document  routing.Document
	upstreams []view.Upstream
	revision  int64       // revision of the list of upstreams
	closing   chan string // upstreams that announced the end of their connection
	servers   map[string]*httptest.Server
	onDial    func() // called before each connection to an upstream is opened; may be nil
	registry  *quarantine.Registry
	followed  time.Duration // for which peers have followed the list before this instance

	mu       sync.Mutex
	arrivals []*http.Request // requests at all upstreams, in order
}

const (
	leaseTime  = 5 * time.Second
	staleAfter = 2 * time.Second
	// harnessMemoryBytes is the memory setting of the harness.
	harnessMemoryBytes = 8 << 20
)

// newHarness returns a harness with a route of each kind and an organisation with the key k. One retry is allowed for each
// first attempt.
func newHarness(t testing.TB) *harness { return newHarnessWithRetries(t, harnessRetries) }

// harnessRetries is the bound for retries of a harness.
var harnessRetries = retrybudget.Bound{Share: 2, Extra: 20, Window: 10 * time.Second}

// newHarnessWithRetries returns the same harness with another bound for retries.
func newHarnessWithRetries(t testing.TB, retries retrybudget.Bound) *harness {
	return newHarnessWith(t, retries, harnessMemoryBytes)
}

// newHarnessWith returns the same harness with another bound for retries and another memory setting.
func newHarnessWith(t testing.TB, retries retrybudget.Bound, memoryBytes int64) *harness {
	r := &harness{t: t, closing: make(chan string, 99), servers: map[string]*httptest.Server{}, followed: time.Hour}
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
	r.registry = quarantine.New(log, func(quarantine.Key) bool { return true })
	dial := exchange.Dialer(nil)
	r.fleet = fleet.New(fleet.Options{
		DialUpstream: func(ctx context.Context, address string) (net.Conn, error) {
			if r.onDial != nil {
				r.onDial()
			}
			return dial(ctx, address)
		},
		Quarantine:     r.registry,
		ConnectTimeout: time.Second,
		Limits:         queue.Limits{MaxItems: 100, MaxBytes: memoryBytes / 8},
		RetryBudget:    retries,
		Metrics:        metrics,
		Log:            log,
	})
	r.view = view.New(view.Options{Source: fakeSource{}, Lease: leaseTime, SettlePeriod: time.Second, OnUpstreams: r.fleet.ApplyListChange, Metrics: metrics, Log: log})
	r.handler = New(Options{
		MemoryBytes: memoryBytes,
		View:        r.view, Fleet: r.fleet, Protocol: fakeProtocol{}, Quotas: fleet.NewQuotas(time.Now().Add(-time.Hour), fleet.Allowance{}, r.fleet),
		Quarantine: r.registry, Announce: func() {}, AnnounceSoon: func() {},
		OnClosing:  func(upstream string) { r.closing <- upstream },
		StaleAfter: staleAfter, Metrics: metrics, Log: log,
	})
	r.server = httptest.NewUnstartedServer(r.handler)
	r.server.Config.ConnContext = listen.ConnContext
	r.server.Start()
	t.Cleanup(func() {
		r.server.Close()
		r.fleet.Close()
	})
	return r
}

// publish applies the document, with a proof of the given age.
func (r *harness) publish(age time.Duration) {
	content, err := cbor.Marshal(r.document)
	if err != nil {
		r.t.Fatal(err)
	}
	r.view.SetEvacuations(nil, 1)
	r.view.SetConfiguration(r.document.Version, content, time.Now().Add(-age))
	r.view.MergeRouteHistory(&view.RouteHistory{Revision: r.document.Version, Followed: r.followed}, "peer")
}

// addUpstream adds an upstream with the handler f. The first one added is selected first.
func (r *harness) addUpstream(id string, f http.HandlerFunc) { r.addVersion(id, "", f) }

// addVersion adds an upstream of a software version.
func (r *harness) addVersion(id, version string, f http.HandlerFunc) {
	r.addUpstreamOf("s", id, version, f)
}

// addUpstreamOf adds an upstream of a service and a software version.
func (r *harness) addUpstreamOf(service, id, version string, f http.HandlerFunc) {
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
	r.upstreams = append(r.upstreams, view.Upstream{ID: id, Service: service, Address: s.Listener.Addr().String(), Slots: 8, Revision: int64(len(r.upstreams) + 1), Version: version})
	r.publishUpstreams()
}

// removeUpstream removes an upstream from the list.
func (r *harness) removeUpstream(id string) {
	r.upstreams = slices.DeleteFunc(r.upstreams, func(u view.Upstream) bool { return u.ID == id })
	r.publishUpstreams()
}

// crash ends an upstream's process: its port refuses connections, and open connections break.
func (r *harness) crash(id string) {
	_ = r.servers[id].Listener.Close() // may be closed already
	r.servers[id].CloseClientConnections()
}

// publishUpstreams publishes the upstreams, each time at a higher revision.
func (r *harness) publishUpstreams() {
	for _, u := range r.upstreams {
		r.revision = max(r.revision, u.Revision)
	}
	r.revision++
	r.view.SetUpstreams(r.upstreams, r.revision, time.Now())
	r.fleet.MergeListHistory("peer", &peer.ListHistory{Followed: r.followed})
}

// arrivedIDs returns the IDs of the upstreams that received a request, in order.
func (r *harness) arrivedIDs() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, q := range r.arrivals {
		ids = append(ids, q.Header.Get("Upstream"))
	}
	return strings.Join(ids, " ")
}

func (r *harness) request(method, target, body string, header ...string) *http.Request {
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

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error // from reading the body
}

func (r *harness) do(q *http.Request) callerResponse {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	response, err := client.Do(q)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// get requests a path below a route.
func (r *harness) get(route string, header ...string) callerResponse {
	return r.do(r.request("GET", "/"+route+"/x", "", header...))
}

// respondsWith responds with a body.
func respondsWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
}

// refusesRequest responds that it hasn't run the request.
func refusesRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respondsWithFailure responds with a failure of its own, after it has run the request.
func respondsWithFailure(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "sorry")
}

// hijack takes over the connection after the request was read.
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

// dropsConnection closes the connection without a response.
var dropsConnection = hijack(func(net.Conn) {})

// writesRaw writes bytes to the connection and closes it.
func writesRaw(raw string) http.HandlerFunc {
	return hijack(func(c net.Conn) { _, _ = io.WriteString(c, raw) })
}
