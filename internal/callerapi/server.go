// Package callerapi is the HTTP API for callers.
//
//	POST /v1/chat/completions, /v1/completions   OpenAI-compatible model requests
//	GET  /v1/models                              the models that are served
//	POST /v1/idempotency-keys                    issues keys; ?count=N issues N of them
//	ANY  /services/NAME/PATH                     calls to plain services
//
// Every response carries its outcome. Errors are RFC 9457 problems.
package callerapi

import (
	"bytes"
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
	"github.com/tacktally/tacktally/internal/listen"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/upstream"
)

// maxKeysPerCall bounds the keys issued by one call.
const maxKeysPerCall = 100

// Server is the API for callers. It is safe for concurrent use.
type Server struct {
	gateway  *gateway.Gateway
	metrics  *telemetry.Metrics
	settings settings.Callers
	instance string
	inFlight atomic.Int64
	mux      *http.ServeMux
}

// New returns the API for the callers of an instance.
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

// InFlight returns the number of callers' requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, h *http.Request) { s.mux.ServeHTTP(w, h) }

func (s *Server) unknownPath(w http.ResponseWriter, h *http.Request) {
	p := api.Refuse(api.ReasonInvalidRequest, "%s %s is no call of this API; see /v1/chat/completions, /v1/completions, /v1/models, /v1/idempotency-keys and /services/NAME/", h.Method, h.URL.Path)
	p.Status = http.StatusNotFound
	s.refuse(w, h, request.NewID(), p)
}

// refuse counts and writes a refusal that was made without the gateway. Only the issuer of a key
// knows whether a request under the key ran.
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
	s.closeIfDraining(header)
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

// closeIfDraining makes a response of an instance that is shutting down close its connection, so that the caller's next
// request may reach another instance.
func (s *Server) closeIfDraining(header http.Header) {
	if s.gateway.Draining() {
		header.Set("Connection", "close")
	}
}

// serve serves a model request or a call to a service. It blocks until the response is written.
func (s *Server) serve(w http.ResponseWriter, h *http.Request) {
	inFlight := int(s.inFlight.Add(1))
	defer s.inFlight.Add(-1)
	if inFlight > hardLimitFactor*s.settings.MaxInFlight {
		s.refuse(w, h, request.NewID(), refuseOverloaded(inFlight))
		return
	}
	snapshot := s.gateway.Snapshot(h.Context())
	if snapshot == nil {
		s.refuse(w, h, request.NewID(), api.Refuse(api.ReasonNoConfiguration, "this instance has no accepted configuration or no instance list yet; retry after the given time").WithRetryAfter(time.Second))
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
	last, err := lastEvent(r)
	if err != nil {
		s.refuse(w, h, r.ID, api.Refuse(api.ReasonInvalidRequest, "%v", err))
		return
	}
	if inFlight > s.settings.MaxInFlight && !s.gateway.Draining() && !s.displaceLower(snapshot, r) {
		s.refuse(w, h, r.ID, refuseOverloaded(inFlight))
		return
	}
	b := s.gateway.Handle(h.Context(), snapshot, r)
	out := &writer{server: s, response: w, control: control, request: r, conn: listen.CallerConnOf(h.Context()), http10: !h.ProtoAtLeast(1, 1), last: last}
	out.follow(h.Context(), b)
}

// lastEvent returns the last event that the caller of a request has; the zero value if it names none.
func lastEvent(r *request.Request) (upstream.ResumeToken, error) {
	if r.LastEventID == "" {
		return upstream.ResumeToken{}, nil
	}
	return upstream.ParseResumeToken(r.LastEventID)
}

// hardLimitFactor is the multiple of callers.maxInFlight up to which requests in flight are decoded,
// so that their tiers are known. Requests beyond it are refused without being read.
const hardLimitFactor = 2

func refuseOverloaded(inFlight int) *api.Problem {
	return api.Refuse(api.ReasonQueueFull, "this instance has %d requests in flight; retry after the given time", inFlight-1).WithRetryAfter(time.Second)
}

// displaceLower sheds a waiting request of a lower tier than r. It returns false if there is none.
func (s *Server) displaceLower(snapshot *config.Snapshot, r *request.Request) bool {
	tier, ok := snapshot.Tier(r.Tier)
	return ok && s.gateway.Displace(tier.Rank)
}

// models lists the models in OpenAI's format.
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

// KeyList is the response to POST /v1/idempotency-keys.
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
			s.refuse(w, h, request.NewID(), api.Refuse(api.ReasonInvalidRequest, "count is %q; request 1 to %d keys", text, maxKeysPerCall))
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

// caller returns the current configuration and the organisation of the caller.
func (s *Server) caller(h *http.Request) (*config.Snapshot, *config.Organisation, *api.Problem) {
	snapshot := s.gateway.Snapshot(h.Context())
	if snapshot == nil {
		return nil, nil, api.Refuse(api.ReasonNoConfiguration, "this instance has no accepted configuration or no instance list yet; retry after the given time").WithRetryAfter(time.Second)
	}
	org, problem := request.Authenticate(h, snapshot)
	return snapshot, org, problem
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, v)
}

// writer writes one response to its caller.
type writer struct {
	server      *Server
	response    http.ResponseWriter
	control     *http.ResponseController
	request     *request.Request
	conn        listen.CallerConn
	http10      bool
	headWritten bool
	stream      bool
	// endsByClose reports that the response ends with the caller's connection.
	endsByClose bool
	// last is the last event that the caller had when it sent the request; the zero value for a new stream.
	// continued reports whether the next one was found. Those after it follow one another.
	last      upstream.ResumeToken
	continued bool
	// insideEvent reports whether the last chunk ended inside an event, received whether the caller has
	// that event. tail is the end of what came so far.
	insideEvent bool
	received    bool
	tail        []byte
}

// follow writes the response as it arrives, until it ends or the caller has disconnected.
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
			if !w.writeChunk(event.Chunk) {
				return
			}
		case event.End != nil:
			w.end(event.End)
			return
		}
	}
}

func (w *writer) head(h *answer.Head, end *answer.End) {
	w.headWritten = true
	w.stream = h.ContentType == "text/event-stream" || w.request.Stream
	header := w.response.Header()
	w.server.closeIfDraining(header)
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
	w.endsByClose = h.EndUnstated || w.http10
	if w.endsByClose {
		w.conn.ResetOnClose()
	}
	switch {
	case h.EndUnstated:
		header.Set("Transfer-Encoding", "identity") // makes net/http end the body with the connection; it isn't sent
		header.Set(api.HeaderOutcome, string(api.Unknown))
		header.Set(api.HeaderReason, string(api.ReasonUpstreamEndUnstated))
	case end != nil && end.Outcome() == api.Answered && !w.stream: // a stream may turn out not to be what the caller asked for
		header.Set(api.HeaderOutcome, string(api.Answered))
	default:
		header.Add("Trailer", api.HeaderOutcome)
		header.Add("Trailer", api.HeaderReason)
	}
	w.response.WriteHeader(h.Status)
	w.flush()
}

// writeChunk writes a chunk, unless the caller has received its event before. It ends the response at an event that
// doesn't follow the last one.
func (w *writer) writeChunk(chunk []byte) bool {
	if !w.placeChunk(chunk) {
		w.end(&answer.End{Problem: notContinued()})
		return false
	}
	return w.received || w.write(chunk)
}

func notContinued() *api.Problem {
	return api.UnknownOutcome(api.ReasonAnswerEvicted, "the response retained under this key doesn't continue the stream after the given event; send the Last-Event-ID with which the key was first used, or a later one of its stream")
}

func (w *writer) write(p []byte) bool {
	_ = w.control.SetWriteDeadline(time.Now().Add(time.Duration(w.server.settings.WriteTimeout)))
	if _, err := w.response.Write(p); err != nil {
		return false
	}
	w.flush()
	return true
}

// placeChunk finds out where in the stream the next chunk is, and reports whether it continues what the caller has. A
// chunk is an event or, through a peer, a part of a large one; the ID is in its first part.
func (w *writer) placeChunk(chunk []byte) bool {
	if !w.insideEvent && !w.continued {
		t, ok := upstream.EventToken(chunk)
		if ok && (t.Events > w.last.Events+1 || (w.last.StreamID != "" && t.StreamID != w.last.StreamID)) {
			return false
		}
		w.received = ok && t.Events <= w.last.Events // a retry that joins a run gets its response from the start
		w.continued = ok && !w.received
	}
	w.tail = append(w.tail, chunk[max(0, len(chunk)-len(blankLineCRLF)):]...)
	w.tail = w.tail[max(0, len(w.tail)-len(blankLineCRLF)):]
	w.insideEvent = !bytes.HasSuffix(w.tail, blankLine) && !bytes.HasSuffix(w.tail, blankLineCRLF)
	return true
}

// The end of a line and the blank line that ends an event.
var blankLine, blankLineCRLF = []byte("\n\n"), []byte("\n\r\n")

func (w *writer) flush() { _ = w.control.Flush() }

// end ends the response. A response that failed after its head must not look complete: a stream
// gets an error event; any other response, and a stream that ends inside an event, has its
// connection closed.
func (w *writer) end(e *answer.End) {
	if e.Problem == nil {
		w.setOutcome(e)
		if w.endsByClose {
			w.conn.CloseInOrder()
		}
		return
	}
	if !w.headWritten {
		w.server.writeProblem(w.response, w.request.ID, e.Problem)
		return
	}
	if !w.stream || (w.insideEvent && !w.received) {
		if w.endsByClose {
			w.conn.Reset()
		}
		panic(http.ErrAbortHandler)
	}
	w.setOutcome(e)
	p := *e.Problem
	p.RequestID = w.request.ID
	content, err := json.Marshal(errorEvent{Error: &p})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.write(append(append([]byte("event: error\ndata: "), content...), "\n\n"...))
	if w.endsByClose {
		w.conn.CloseInOrder() // the event says that the stream failed
	}
}

// setOutcome sets the trailers.
func (w *writer) setOutcome(e *answer.End) {
	w.response.Header().Set(api.HeaderOutcome, string(e.Outcome()))
	if reason := e.Reason(); reason != api.ReasonNone {
		w.response.Header().Set(api.HeaderReason, string(reason))
	}
}

// errorEvent ends a stream that failed. OpenAI's clients read the field error.
type errorEvent struct {
	Error *api.Problem `json:"error"`
}
