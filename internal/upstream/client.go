// Package upstream sends one request to one upstream and relays the response.
//
// It never retries a request, and it prevents net/http from doing so: a non-idempotent request gets
// its own transport and connection, and redirects aren't followed. The Result reports whether a
// byte was written, so that the dispatcher knows what may be retried elsewhere.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/tcp"
)

// Headers between the daemon and engines.
const (
	// HeaderStreamID identifies a stream at its engine, for resuming and cancelling.
	HeaderStreamID = "Engine-Stream-Id"
	// HeaderLeaving is "true" in responses of an upstream that is leaving.
	HeaderLeaving = "Upstream-Leaving"
	// HeaderForwardedID carries the request ID to the upstream. It isn't named Idempotency-Key,
	// since net/http retries requests with that header.
	HeaderForwardedID = "Tacktally-Request-Id"
	// HeaderOwner names the organisation that a stream belongs to. An engine gives a stream only to
	// its owner.
	HeaderOwner = "Stream-Owner"
)

const (
	// maxResponseBytes bounds the body of a model's response that is not streamed.
	maxResponseBytes = 16 << 20
	// chunkBytes is the size of the read buffer for a response.
	chunkBytes = 4 << 10
	// maxIdlePerHost and idleConnTimeout bound the idle connections to one upstream.
	maxIdlePerHost  = 64
	idleConnTimeout = 90 * time.Second
)

// Status is how a call ended.
type Status uint8

// The statuses.
const (
	// Done: the whole response was relayed.
	Done Status = iota
	// NotWritten: no byte of the request was written.
	NotWritten
	// Busy: the upstream refused the request for lack of capacity, before running anything.
	Busy
	// Lost: the connection failed after the request was written, before the response began.
	Lost
	// Truncated: the response ended early.
	Truncated
	// InvalidResponse: the response violates its protocol.
	InvalidResponse
	// NotResumed: the engine responded to a resumption with something else than the stream, of which
	// nothing was relayed.
	NotResumed
	// Timeout: the deadline passed after the request was written.
	Timeout
	// Cancelled: the caller disconnected after the request was written.
	Cancelled
)

// Result is how a call ended.
type Result struct {
	Status Status
	// Err is the cause, for logs and problem details; nil if Status is Done.
	Err error
	// Aborted reports that this instance or its caller stopped the call before a byte was written, so that it says
	// nothing of the upstream.
	Aborted bool
	// OutputTokens is the number of output tokens relayed in this call.
	OutputTokens int
	// Position is that at which a truncated stream can be resumed; it has no StreamID if it can't be.
	Position ResumeToken
	// EndUnstated reports that the response is complete only as far as its connection shows: it has neither
	// a length nor chunks.
	EndUnstated bool
	// ErrorStatus reports that the response has an HTTP status of 400 or more.
	ErrorStatus bool
	// RetryAfter is the retry delay that a busy upstream requested; 0 if it named none.
	RetryAfter time.Duration
}

// Call is one attempt of a request.
type Call struct {
	Address string
	Request *request.Request
	// Instance and Revision are set in the head of the response.
	Instance string
	Revision int64
	// Resume is the position after which a stream is resumed. It has no StreamID for a new request.
	Resume ResumeToken
	// BeforeWrite is called before the first byte is written: right before it for a non-idempotent
	// request, before a connection is selected for an idempotent one. An error stops the call with
	// NotWritten. It must not block.
	BeforeWrite func() error
	// OnFirstOutput is called at the first event of a stream, or at the head of a service's
	// response.
	OnFirstOutput func()
	// OnLeaving is called at the head of a response in which the upstream announces that it leaves. May be nil.
	OnLeaving func()
}

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	dialer *net.Dialer
	pooled *exchange.StrictTransport
}

// NewClient returns a client that waits for at most connectTimeout to open a connection.
func NewClient(connectTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{
		dialer: dialer,
		pooled: exchange.Strict(&http.Transport{
			DialContext:            tcp.Dial(dialer.DialContext),
			MaxIdleConnsPerHost:    maxIdlePerHost,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: exchange.MaxHeadBytes,
		}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// CheckConnection opens a connection to an upstream and closes it. It blocks for at most the
// connection timeout.
func (c *Client) CheckConnection(ctx context.Context, address string) error {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
	}
	return err
}

// Do sends the request once and relays the response into the buffer, which it doesn't finish. It
// blocks until the response ends or ctx is done.
func (c *Client) Do(ctx context.Context, call Call, b *answer.Buffer) Result {
	if !call.Resume.isCheckable() {
		return Result{Status: NotResumed, Err: errNotCheckable}
	}
	h, err := newRequest(ctx, call)
	if err != nil {
		return Result{Status: NotWritten, Err: err}
	}
	response, wrote, err := c.roundTrip(h, call)
	if err != nil {
		status := statusOfError(ctx, wrote, statusOfResponseError(err))
		return Result{Status: status, Err: err, Aborted: status == NotWritten && (ctx.Err() != nil || errors.As(err, new(*abortError)))}
	}
	defer response.Body.Close()
	if call.OnLeaving != nil && response.Header.Get(HeaderLeaving) == "true" {
		call.OnLeaving()
	}
	return relay(ctx, call, response, b)
}

// roundTrip returns the response, or an error and whether a byte may have been written.
func (c *Client) roundTrip(h *http.Request, call Call) (*http.Response, bool, error) {
	if !call.Request.NonIdempotent {
		if err := call.BeforeWrite(); err != nil {
			return nil, false, &abortError{err}
		}
		response, err := c.pooled.RoundTrip(h)
		return response, !isDialError(err), err
	}
	h.GetBody = nil
	guarded := &guardedConn{beforeWrite: call.BeforeWrite}
	transport := &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: exchange.MaxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := c.dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return guarded.wrap(tcp.NewConn(conn))
		},
	}
	response, err := exchange.Strict(transport).RoundTrip(h)
	if aborted := guarded.aborted.Load(); err != nil && aborted != nil {
		return nil, guarded.wrote.Load(), aborted // the transport may return another error of the connection instead
	}
	return response, guarded.wrote.Load(), err
}

// abortError is the error of BeforeWrite.
type abortError struct{ cause error }

func (e *abortError) Error() string { return e.cause.Error() }

func (e *abortError) Unwrap() error { return e.cause }

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func statusOfError(ctx context.Context, wrote bool, fallback Status) Status {
	switch {
	case !wrote:
		return NotWritten
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return Timeout
	case ctx.Err() != nil:
		return Cancelled
	default:
		return fallback
	}
}

// statusOfResponseError returns the status of a call that was written and has no response.
func statusOfResponseError(err error) Status {
	if errors.Is(err, exchange.ErrInvalidResponse) {
		return InvalidResponse
	}
	return Lost
}

var errSecondConnection = errors.New("refused a second connection for a non-idempotent request")

// guardedConn allows a single connection to be opened, and calls beforeWrite before its first byte.
type guardedConn struct {
	net.Conn
	beforeWrite func() error
	used        atomic.Bool
	checked     bool // only accessed by Write, which one goroutine of the transport calls
	wrote       atomic.Bool
	aborted     atomic.Pointer[abortError]
}

func (o *guardedConn) wrap(conn net.Conn) (net.Conn, error) {
	if o.used.Swap(true) {
		conn.Close()
		return nil, errSecondConnection
	}
	o.Conn = conn
	return o, nil
}

// Write implements net.Conn.
func (o *guardedConn) Write(p []byte) (int, error) {
	if !o.checked {
		o.checked = true
		if err := o.beforeWrite(); err != nil {
			o.aborted.Store(&abortError{err})
			return 0, err
		}
	}
	o.wrote.Store(true)
	return o.Conn.Write(p)
}

// newRequest returns the HTTP request of a call.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	r := call.Request
	s := sling.New().Base("http://" + call.Address)
	switch {
	case call.Resume.StreamID != "":
		s = s.Get("/v1/streams/" + call.Resume.StreamID + "?offset=0") // from its start, to compare it with what the caller has
	case r.Kind == request.Service:
		s = serviceCall(s, call.Address, r)
	case r.Kind == request.Chat:
		s = s.Post("/v1/chat/completions").Body(bytes.NewReader(r.Body)).Set("Content-Type", "application/json")
	default:
		s = s.Post("/v1/completions").Body(bytes.NewReader(r.Body)).Set("Content-Type", "application/json")
	}
	h, err := s.Set(HeaderForwardedID, r.ID).Set(HeaderOwner, r.Organisation).Request()
	if err != nil {
		return nil, fmt.Errorf("build request %s for upstream %s: %w", r.ID, call.Address, err)
	}
	return h.WithContext(ctx), nil
}

// serviceCall returns the call to a service. The URL is built from its components and not resolved
// against the base URL, so that no path can name another host.
func serviceCall(s *sling.Sling, address string, r *request.Request) *sling.Sling {
	u := url.URL{Scheme: "http", Host: address, Path: r.Path, RawPath: r.RawPath, RawQuery: r.Query}
	target := u.String()
	switch r.Method {
	case http.MethodGet:
		s = s.Get(target)
	case http.MethodHead:
		s = s.Head(target)
	case http.MethodPut:
		s = s.Put(target)
	case http.MethodPatch:
		s = s.Patch(target)
	case http.MethodDelete:
		s = s.Delete(target)
	default:
		s = s.Post(target)
	}
	if len(r.Body) > 0 {
		s = s.Body(bytes.NewReader(r.Body))
	}
	for field, values := range r.Header {
		for _, v := range values {
			s = s.Add(field, v)
		}
	}
	return s
}

// CancelStream asks an engine to stop a stream of an organisation. Errors are ignored: the only
// effect of a failure is that the engine runs the stream to its end.
func (c *Client) CancelStream(ctx context.Context, address, streamID, organisation string) {
	h, err := sling.New().Base("http://"+address).Delete("/v1/streams/"+streamID).Set(HeaderOwner, organisation).Request()
	if err != nil {
		return
	}
	response, err := c.pooled.RoundTrip(h.WithContext(ctx))
	if err == nil {
		response.Body.Close()
	}
}
