// Package operatorapi is the HTTP API for operators. It reads, watches, explains and validates. It
// doesn't store anything, since the configuration is published at the platform.
//
//	GET  /v1/resources/KIND            resources of a kind with their status
//	GET  /v1/resources/KIND/NAME       one resource
//	GET  /v1/watch?kind=KIND&after=REV changes as JSON lines
//	POST /v1/validate                  whether an instance would accept a document
//	GET  /v1/explain?...               how a request would be served now
//	GET  /v1/status                    status of this instance
//	POST /v1/drain                     begins a graceful shutdown
//	GET  /metrics, /healthz, /readyz
package operatorapi

import (
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/pool"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/watch"
)

// Instance is the daemon as this API uses it.
type Instance interface {
	// Status returns the current status of the instance.
	Status() Status
	// Upstreams returns the upstreams of a set or service, as this instance knows them.
	Upstreams(set string) []pool.UpstreamStatus
	// Queued returns the number of queued requests of a set or service by rank.
	Queued(set string, ranks int) []int
	// Validate reports as an error why a document wouldn't be accepted. It doesn't apply the
	// document, and reads its parts from the platform.
	Validate(ctx context.Context, content []byte) error
	// Drain begins a graceful shutdown.
	Drain()
}

// Status is the status of an instance.
type Status struct {
	Address     string            `json:"address"`
	Zone        string            `json:"zone"`
	Incarnation uint64            `json:"incarnation,string"`
	Version     string            `json:"version"`
	Started     time.Time         `json:"started"`
	Revision    int64             `json:"revision"`
	Since       time.Time         `json:"since,omitzero"`
	Rejected    *config.Rejection `json:"rejected,omitzero"`
	ListVersion int64             `json:"listVersion"`
	Draining    bool              `json:"draining"`
	InFlight    int               `json:"inFlight"`
	Keys        idempotency.Stats `json:"keys"`
	Peers       []peer.Status     `json:"peers"`
}

// Server is the API for operators. It is safe for concurrent use.
type Server struct {
	instance Instance
	holder   *config.Holder
	log      *watch.Log
	metrics  *telemetry.Metrics
	token    string
	mux      *http.ServeMux
}

// New returns the API for operators. With an empty token, requests aren't authenticated.
func New(i Instance, h *config.Holder, l *watch.Log, m *telemetry.Metrics, token string) *Server {
	s := &Server{instance: i, holder: h, log: l, metrics: m, token: token, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/resources/{kind}", s.list)
	s.mux.HandleFunc("GET /v1/resources/{kind}/{name}", s.get)
	s.mux.HandleFunc("GET /v1/watch", s.watch)
	s.mux.HandleFunc("POST /v1/validate", s.validate)
	s.mux.HandleFunc("GET /v1/explain", s.explain)
	s.mux.HandleFunc("GET /v1/status", s.status)
	s.mux.HandleFunc("POST /v1/drain", s.drain)
	s.mux.HandleFunc("GET /metrics", s.writeMetrics)
	s.mux.HandleFunc("GET /healthz", s.healthy)
	s.mux.HandleFunc("GET /readyz", s.ready)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	if strings.HasPrefix(h.URL.Path, "/v1/") && !s.authorised(h) {
		fail(w, http.StatusUnauthorized, "send the header Authorization: Bearer TOKEN with the token of operators.tokenFile")
		return
	}
	s.mux.ServeHTTP(w, h)
}

func (s *Server) authorised(h *http.Request) bool {
	if s.token == "" {
		return true
	}
	given := strings.TrimPrefix(h.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(given), []byte(s.token)) == 1
}

func fail(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", api.ProblemContentType)
	w.WriteHeader(status)
	_ = json.MarshalWrite(w, &api.Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, v)
}

// Resource is a declared resource with its status.
type Resource struct {
	Kind     api.Kind       `json:"kind"`
	Metadata api.Metadata   `json:"metadata"`
	Revision int64          `json:"revision"`
	Spec     any            `json:"spec"`
	Status   ResourceStatus `json:"status"`
}

// ResourceStatus is where a resource is in force, and which upstreams serve it.
type ResourceStatus struct {
	// Since is when the current configuration came into force at this instance.
	Since time.Time `json:"since"`
	// Instances are the reachable instances with the revisions that they reported last.
	Instances []InstanceRevision `json:"instances"`
	// Upstreams are the upstreams of an engine set or service, and Queued is the length of its
	// queue by tier rank.
	Upstreams []pool.UpstreamStatus `json:"upstreams,omitempty"`
	Queued    []int                 `json:"queued,omitempty"`
}

// InstanceRevision is the revision in force at one instance.
type InstanceRevision struct {
	Address  string `json:"address"`
	Revision int64  `json:"revision"`
	InForce  bool   `json:"inForce"`
}

// ResourceList is the response to a list request. A watch after its revision continues from it.
type ResourceList struct {
	Revision int64      `json:"revision"`
	Items    []Resource `json:"items"`
}

func (s *Server) list(w http.ResponseWriter, h *http.Request) {
	snapshot, items, ok := s.resources(w, h)
	if !ok {
		return
	}
	writeJSON(w, ResourceList{Revision: snapshot.Revision, Items: items})
}

func (s *Server) get(w http.ResponseWriter, h *http.Request) {
	_, items, ok := s.resources(w, h)
	if !ok {
		return
	}
	for _, r := range items {
		if r.Metadata.Name == h.PathValue("name") {
			writeJSON(w, r)
			return
		}
	}
	fail(w, http.StatusNotFound, h.PathValue("kind")+" "+strconv.Quote(h.PathValue("name"))+" isn't declared; list the kind to see those that are")
}

func (s *Server) resources(w http.ResponseWriter, h *http.Request) (*config.Snapshot, []Resource, bool) {
	kind, ok := parseKind(h.PathValue("kind"))
	if !ok {
		fail(w, http.StatusNotFound, "there is no kind named "+strconv.Quote(h.PathValue("kind"))+"; use Organisation, Tier, EngineSet or Service")
		return nil, nil, false
	}
	snapshot, since, _ := s.holder.Status()
	if snapshot == nil {
		fail(w, http.StatusServiceUnavailable, "no configuration is accepted yet; publish one at the platform")
		return nil, nil, false
	}
	l := lister{server: s, snapshot: snapshot, base: ResourceStatus{Since: since, Instances: s.revisions(snapshot.Revision)}}
	return snapshot, l.items(kind), true
}

func parseKind(text string) (api.Kind, bool) {
	for _, k := range api.Kinds {
		if strings.EqualFold(text, string(k)) || strings.EqualFold(text, string(k)+"s") {
			return k, true
		}
	}
	return "", false
}

func (s *Server) revisions(wanted int64) []InstanceRevision {
	st := s.instance.Status()
	out := []InstanceRevision{{Address: st.Address, Revision: st.Revision, InForce: st.Revision >= wanted}}
	for _, p := range st.Peers {
		if p.Reachable && p.Report != nil {
			out = append(out, InstanceRevision{Address: p.Address, Revision: p.Revision, InForce: p.Revision >= wanted})
		}
	}
	return out
}

type lister struct {
	server   *Server
	snapshot *config.Snapshot
	base     ResourceStatus
}

func (l *lister) items(kind api.Kind) []Resource {
	d := l.snapshot.Document
	items := []Resource{}
	switch kind {
	case api.KindOrganisation:
		for _, o := range d.Organisations {
			items = append(items, l.item(kind, o.Metadata, watch.Redact(o).Spec, ""))
		}
	case api.KindTier:
		for _, t := range d.Tiers {
			items = append(items, l.item(kind, t.Metadata, t.Spec, ""))
		}
	case api.KindEngineSet:
		for _, e := range d.EngineSets {
			items = append(items, l.item(kind, e.Metadata, e.Spec, e.Metadata.Name))
		}
	case api.KindService:
		for _, svc := range d.Services {
			items = append(items, l.item(kind, svc.Metadata, svc.Spec, svc.Metadata.Name))
		}
	}
	return items
}

func (l *lister) item(kind api.Kind, m api.Metadata, spec any, set string) Resource {
	status := l.base
	if set != "" {
		status.Upstreams = l.server.instance.Upstreams(set)
		status.Queued = l.server.instance.Queued(set, len(l.snapshot.Document.Tiers))
	}
	return Resource{Kind: kind, Metadata: m, Revision: l.snapshot.Revision, Spec: spec, Status: status}
}

// watch writes one JSON line for each change after the given revision.
func (s *Server) watch(w http.ResponseWriter, h *http.Request) {
	var kind api.Kind
	if text := h.URL.Query().Get("kind"); text != "" {
		k, ok := parseKind(text)
		if !ok {
			fail(w, http.StatusNotFound, "there is no kind named "+strconv.Quote(text)+"; use Organisation, Tier, EngineSet or Service")
			return
		}
		kind = k
	}
	after := s.holder.Revision()
	if text := h.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			fail(w, http.StatusBadRequest, "after is "+strconv.Quote(text)+"; use the revision of a list")
			return
		}
		after = n
	}
	s.follow(w, h, kind, after)
}

func (s *Server) follow(w http.ResponseWriter, h *http.Request, kind api.Kind, after int64) {
	control := http.NewResponseController(w)
	started := false
	for {
		events, revision, err := s.log.Next(h.Context(), kind, after)
		if errors.Is(err, watch.ErrTooOld) && !started {
			fail(w, http.StatusGone, err.Error())
			return
		}
		if err != nil {
			return
		}
		if !started {
			started = true
			w.Header().Set("Content-Type", "application/jsonl")
		}
		for _, e := range events {
			if json.MarshalWrite(w, e) != nil {
				return
			}
			_, _ = io.WriteString(w, "\n")
		}
		_ = control.Flush()
		after = revision
	}
}

// Validation is the response to POST /v1/validate.
type Validation struct {
	Accepted bool                `json:"accepted"`
	Faults   []config.FieldError `json:"faults,omitempty"`
}

func (s *Server) validate(w http.ResponseWriter, h *http.Request) {
	content, err := io.ReadAll(io.LimitReader(h.Body, config.MaxDocumentBytes+1))
	if err != nil {
		fail(w, http.StatusBadRequest, "the document could not be read completely; send it again")
		return
	}
	err = s.instance.Validate(h.Context(), content)
	var rejected *config.RejectedError
	switch {
	case errors.As(err, &rejected):
		writeJSON(w, Validation{Faults: rejected.Faults})
	case err != nil:
		writeJSON(w, Validation{Faults: []config.FieldError{{Path: "/parts", Message: err.Error()}}})
	default:
		writeJSON(w, Validation{Accepted: true})
	}
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.instance.Status()) }

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusAccepted)
	_ = http.NewResponseController(w).Flush() // an idle instance closes its connections right after
	s.instance.Drain()
}

func (s *Server) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.metrics.Write(w)
}

func (s *Server) healthy(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	st := s.instance.Status()
	switch {
	case st.Draining:
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case st.Revision == 0:
		http.Error(w, "no accepted configuration yet", http.StatusServiceUnavailable)
	case st.ListVersion == 0:
		http.Error(w, "no instance list yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}
