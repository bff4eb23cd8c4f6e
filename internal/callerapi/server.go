// Package callerapi is the HTTP interface that callers use.
//
//	POST /v1/chat/completions, /v1/completions   OpenAI-compatible model requests
//	GET  /v1/models                              the models served
//	POST /v1/idempotency-keys                    issued keys, ?count=N of them
//	ANY  /services/NAME/PATH                     calls to plain services
//
// Every answer carries its outcome; errors are RFC 9457 problems.
package callerapi

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/gateway"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/upstream"
)

// maxKeysPerCall bounds the keys issued by one call.
const maxKeysPerCall = 100

// Server is the callers' API. Safe for concurrent use.
type Server struct {
	gateway  *gateway.Gateway
	metrics  *telemetry.Metrics
	settings settings.Callers
	instance string
	inFlight atomic.Int64
	mux      *http.ServeMux
}

// New returns the callers' API of an instance.
func New(g *gateway.Gateway, m *telemetry.Metrics, s settings.Callers, instance string) *Server {
	srv := &Server{gateway: g, metrics: m, settings: s, instance: instance, mux: http.NewServeMux()}
	srv.mux.HandleFunc("POST /v1/chat/completions", srv.serve)
	srv.mux.HandleFunc("POST /v1/completions", srv.serve)
	srv.mux.HandleFunc(request.ServicePrefix, srv.serve)
	srv.mux.HandleFunc("GET /v1/models", srv.models)
	srv.mux.HandleFunc("POST /v1/idempotency-keys", srv.keys)
	srv.mux.HandleFunc("/", srv.unknownPath)
	return srv
}

// InFlight returns how many requests of callers are held.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, h *http.Request) { s.mux.ServeHTTP(w, h) }

func (s *Server) unknownPath(w http.ResponseWriter, h *http.Request) {
	p := api.Refuse(api.ReasonInvalidRequest, "%s %s is no call of this API; see /v1/chat/completions, /v1/completions, /v1/models, /v1/idempotency-keys and /services/NAME/", h.Method, h.URL.Path)
	p.Status = http.StatusNotFound
	s.refuse(w, h, request.NewID(), p)
}

// refuse counts and writes a refusal made before the gateway was asked. Whether a
// request under a key ran, only the key's issuer knows.
func (s *Server) refuse(w http.ResponseWriter, h *http.Request, id string, p *api.Problem) {
	if h.Header.Get(api.HeaderIdempotencyKey) != "" {
		p = p.WithUnknownOutcome()
	}
	s.metrics.Refused(p.Reason)
	s.writeProblem(w, id, p)
}

func (s *Server) writeProblem(w http.ResponseWriter, id string, p *api.Problem) {
	c := *p
	c.RequestID = id
	header := w.Header()
	header.Set("Content-Type", api.ProblemContentType)
	header.Set(api.HeaderOutcome, string(c.Outcome))
	header.Set(api.HeaderReason, string(c.Reason))
	header.Set(api.HeaderRequestID, id)
	header.Set(api.HeaderInstance, s.instance)
	if c.AttemptOutcome != "" {
		header.Set(api.HeaderAttemptOutcome, string(c.AttemptOutcome))
	}
	if c.IdempotencyKey != "" {
		header.Set(api.HeaderIssuedKey, c.IdempotencyKey)
	}
	if c.RetryAfterSeconds > 0 {
		header.Set("Retry-After", strconv.Itoa(c.RetryAfterSeconds))
	}
	w.WriteHeader(c.Status)
	_ = json.MarshalWrite(w, &c)
}

// serve serves a model request or a call to a service.
func (s *Server) serve(w http.ResponseWriter, h *http.Request) {
	held := int(s.inFlight.Add(1))
	defer s.inFlight.Add(-1)
	if held > hardFactor*s.settings.MaxInFlight {
		s.refuse(w, h, request.NewID(), refuseFull(held))
		return
	}
	snapshot := s.gateway.Snapshot(h.Context())
	if snapshot == nil {
		s.refuse(w, h, request.NewID(), api.Refuse(api.ReasonNoConfiguration, "this instance has no accepted configuration yet; come back shortly").WithRetryAfter(time.Second))
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(time.Duration(s.settings.ReadTimeout)))
	r, problem := request.Decode(time.Now(), h, snapshot, s.settings.MaxBodyBytes)
	if problem != nil {
		s.refuse(w, h, r.ID, problem)
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	if held > s.settings.MaxInFlight && !s.makeRoom(snapshot, r) {
		s.refuse(w, h, r.ID, refuseFull(held))
		return
	}
	b := s.gateway.Handle(h.Context(), snapshot, r)
	out := &writer{server: s, response: w, control: control, request: r}
	if last, err := upstream.ParseResumeToken(r.LastEventID); err == nil {
		out.resumed = &last
	}
	out.follow(h.Context(), b)
}

// hardFactor is how many times callers.maxInFlight requests are read at once, so
// that their tiers are known, before any is refused unread.
const hardFactor = 2

func refuseFull(held int) *api.Problem {
	return api.Refuse(api.ReasonQueueFull, "this instance holds %d requests; come back later", held-1).WithRetryAfter(time.Second)
}

// makeRoom gives up a waiting request of a lower tier for one of a higher.
func (s *Server) makeRoom(snapshot *config.Snapshot, r *request.Request) bool {
	tier, ok := snapshot.Tier(r.Tier)
	return ok && s.gateway.Displace(tier.Rank)
}

// models lists the models in OpenAI's form.
func (s *Server) models(w http.ResponseWriter, h *http.Request) {
	snapshot, _, problem := s.caller(h)
	if problem != nil {
		s.refuse(w, h, request.NewID(), problem)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range snapshot.Models() {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "tacktally"})
	}
	writeJSON(w, list)
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// KeyList is the answer of POST /v1/idempotency-keys.
type KeyList struct {
	Keys []string `json:"keys"`
}

func (s *Server) keys(w http.ResponseWriter, h *http.Request) {
	_, org, problem := s.caller(h)
	if problem != nil {
		s.refuse(w, h, request.NewID(), problem)
		return
	}
	count := 1
	if text := h.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxKeysPerCall {
			s.refuse(w, h, request.NewID(), api.Refuse(api.ReasonInvalidRequest, "count is %q; ask for 1 to %d keys", text, maxKeysPerCall))
			return
		}
		count = n
	}
	list := KeyList{}
	for range count {
		key, problem := s.gateway.Issue(org.Name, "")
		if problem != nil && len(list.Keys) == 0 {
			s.refuse(w, h, request.NewID(), problem)
			return
		}
		if problem == nil {
			list.Keys = append(list.Keys, key)
		}
	}
	writeJSON(w, list)
}

func (s *Server) caller(h *http.Request) (*config.Snapshot, *config.Organisation, *api.Problem) {
	snapshot := s.gateway.Snapshot(h.Context())
	if snapshot == nil {
		return nil, nil, api.Refuse(api.ReasonNoConfiguration, "this instance has no accepted configuration yet; come back shortly").WithRetryAfter(time.Second)
	}
	org, problem := request.Authenticate(h, snapshot)
	return snapshot, org, problem
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, v)
}

// writer passes one answer to its caller.
type writer struct {
	server   *Server
	response http.ResponseWriter
	control  *http.ResponseController
	request  *request.Request
	headed   bool
	stream   bool
	// resumed is the event that the caller had last, nil for a new stream.
	resumed *upstream.ResumeToken
}

// follow writes the answer as it is made, until it ends or the caller has gone.
func (w *writer) follow(ctx context.Context, b *answer.Buffer) {
	reader := b.Reader()
	for {
		event, err := reader.Next(ctx)
		if err != nil {
			return
		}
		switch {
		case event.Head != nil:
			w.head(event.Head, b.Ended())
		case event.Chunk != nil:
			if !w.piece(event.Chunk) {
				return
			}
		case event.End != nil:
			w.end(event.End)
			return
		}
	}
}

func (w *writer) head(h *answer.Head, end *answer.End) {
	w.headed = true
	w.stream = h.ContentType == "text/event-stream" || w.request.Stream
	header := w.response.Header()
	for field, values := range h.Header {
		header[http.CanonicalHeaderKey(field)] = values
	}
	if h.ContentType != "" {
		header.Set("Content-Type", h.ContentType)
	}
	header.Set(api.HeaderRequestID, w.request.ID)
	header.Set(api.HeaderInstance, h.Instance)
	header.Set(api.HeaderUpstream, h.Upstream)
	header.Set(api.HeaderRevision, strconv.FormatInt(h.Revision, 10))
	if end != nil && end.Problem == nil {
		header.Set(api.HeaderOutcome, string(api.Answered))
	} else {
		header.Add("Trailer", api.HeaderOutcome)
		header.Add("Trailer", api.HeaderReason)
	}
	w.response.WriteHeader(h.Status)
	w.flush()
}

func (w *writer) piece(p []byte) bool {
	if w.alreadySeen(p) {
		return true
	}
	_ = w.control.SetWriteDeadline(time.Now().Add(time.Duration(w.server.settings.WriteTimeout)))
	if _, err := w.response.Write(p); err != nil {
		return false
	}
	w.flush()
	return true
}

// alreadySeen tells an event that the caller had before the one it resumes from.
// Such events come when a repeat joins a run whose answer is held from its start.
func (w *writer) alreadySeen(event []byte) bool {
	if w.resumed == nil {
		return false
	}
	t, ok := upstream.EventToken(event)
	return ok && t.StreamID == w.resumed.StreamID && t.Events <= w.resumed.Events
}

func (w *writer) flush() { _ = w.control.Flush() }

// end closes the answer. One that broke off after its head must not look whole:
// a stream gets an error event, any other has its connection cut.
func (w *writer) end(e *answer.End) {
	if e.Problem == nil {
		w.response.Header().Set(api.HeaderOutcome, string(api.Answered))
		return
	}
	if !w.headed {
		w.server.writeProblem(w.response, w.request.ID, e.Problem)
		return
	}
	if !w.stream {
		panic(http.ErrAbortHandler)
	}
	w.response.Header().Set(api.HeaderOutcome, string(e.Problem.Outcome))
	w.response.Header().Set(api.HeaderReason, string(e.Problem.Reason))
	p := *e.Problem
	p.RequestID = w.request.ID
	content, err := json.Marshal(errorEvent{Error: &p})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.piece(append(append([]byte("event: error\ndata: "), content...), "\n\n"...))
}

// errorEvent closes a stream that broke off. OpenAI's clients read the field error.
type errorEvent struct {
	Error *api.Problem `json:"error"`
}
