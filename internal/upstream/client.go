// Package upstream sends one request to one upstream and relays its answer.
//
// It never repeats a request by itself, and it keeps net/http from doing so: a
// non-idempotent request gets a transport and a connection of its own, and no
// redirect is followed. The Result tells whether anything was written, so that
// the dispatcher knows what may be tried elsewhere.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/request"
)

// Headers between the daemon and engines.
const (
	// HeaderStreamID names a stream at its engine, for resuming and cancelling.
	HeaderStreamID = "Engine-Stream-Id"
	// HeaderLeaving is "true" on answers of an upstream that is leaving.
	HeaderLeaving = "Upstream-Leaving"
	// HeaderForwardedID carries the request ID to the upstream. It isn't named
	// Idempotency-Key, which would make net/http repeat the request.
	HeaderForwardedID = "Tacktally-Request-Id"
	// HeaderOwner names the organisation a stream belongs to. An engine gives a
	// stream only to its owner.
	HeaderOwner = "Stream-Owner"
)

const (
	maxResponseBytes = 16 << 20
	chunkBytes       = 4 << 10
	maxIdlePerHost   = 64
	idleConnTimeout  = 90 * time.Second
)

// Status says how a call ended.
type Status uint8

// The statuses.
const (
	// Done: the whole answer was relayed.
	Done Status = iota
	// NotWritten: not a byte of the request was written.
	NotWritten
	// Busy: the upstream refused for lack of room before it ran anything.
	Busy
	// Lost: the connection broke after writing, before the answer began.
	Lost
	// Truncated: the answer ended before its end.
	Truncated
	// InvalidResponse: the answer breaks its protocol.
	InvalidResponse
	// Timeout: the deadline passed after the request was written.
	Timeout
	// Cancelled: the caller went away.
	Cancelled
)

// Result is the end of a call.
type Result struct {
	Status Status
	// Err says what went wrong, for the log.
	Err error
	// OutputTokens is the number of output tokens relayed in this call.
	OutputTokens int
	// StreamID and Events let a cut stream be resumed.
	StreamID string
	Events   int
	// Leaving is the upstream's own word that it leaves.
	Leaving bool
	// RetryAfter of a busy upstream.
	RetryAfter time.Duration
}

// Call is one attempt of a request.
type Call struct {
	Address string
	Request *request.Request
	// Instance and Revision are put into the answer's head.
	Instance string
	Revision int64
	// StreamID resumes a stream after so many Events.
	StreamID   string
	SkipEvents int
	// BeforeWrite is asked right before the first byte is written; an error stops the
	// call with NotWritten. It must not block.
	BeforeWrite func() error
	// OnFirstOutput is called at the first token or the head of an answer.
	OnFirstOutput func()
}

// Client calls upstreams. Safe for concurrent use.
type Client struct {
	dialer *net.Dialer
	pooled *http.Transport
}

// NewClient returns a client.
func NewClient(connectTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{
		dialer: dialer,
		pooled: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// CheckConnection makes a connection to an upstream and closes it.
func (c *Client) CheckConnection(ctx context.Context, address string) error {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // nothing was said on it
	}
	return err
}

// Do sends the request once and relays the answer into the buffer. It doesn't
// finish the buffer. It blocks until the answer ends or ctx does.
func (c *Client) Do(ctx context.Context, call Call, b *answer.Buffer) Result {
	h, err := newRequest(ctx, call)
	if err != nil {
		return Result{Status: NotWritten, Err: err}
	}
	response, wrote, err := c.roundTrip(h, call)
	if err != nil {
		return Result{Status: statusOfError(ctx, wrote, Lost), Err: err}
	}
	defer response.Body.Close()
	result := relay(ctx, call, response, b)
	result.Leaving = response.Header.Get(HeaderLeaving) == "true"
	return result
}

// roundTrip returns whether anything was written when it fails.
func (c *Client) roundTrip(h *http.Request, call Call) (*http.Response, bool, error) {
	if !call.Request.NonIdempotent {
		if err := call.BeforeWrite(); err != nil {
			return nil, false, err
		}
		response, err := c.pooled.RoundTrip(h)
		return response, !isDialError(err), err
	}
	h.GetBody = nil
	guarded := &guardedConn{beforeWrite: call.BeforeWrite}
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := c.dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return guarded.wrap(conn)
		},
	}
	response, err := transport.RoundTrip(h)
	return response, guarded.wrote.Load(), err
}

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

var errSecondConnection = errors.New("a non-idempotent request asked for a second connection; this is refused")

// onceConn lets one connection be made, and asks the guard before its first byte.
type guardedConn struct {
	net.Conn
	beforeWrite func() error
	used        atomic.Bool
	checked     bool // Write is only called by one goroutine of the transport
	wrote       atomic.Bool
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
			return 0, err
		}
	}
	o.wrote.Store(true)
	return o.Conn.Write(p)
}

// newRequest builds the HTTP request of a call.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	r := call.Request
	s := sling.New().Base("http://" + call.Address)
	switch {
	case call.StreamID != "":
		s = s.Get("/v1/streams/" + call.StreamID + "?offset=" + strconv.Itoa(call.SkipEvents))
	case r.Kind == request.Service:
		s = serviceCall(s, call.Address, r)
	case r.Kind == request.Chat:
		s = s.Post("/v1/chat/completions").Body(bytes.NewReader(r.Body)).Set("Content-Type", "application/json")
	default:
		s = s.Post("/v1/completions").Body(bytes.NewReader(r.Body)).Set("Content-Type", "application/json")
	}
	h, err := s.Set(HeaderForwardedID, r.ID).Set(HeaderOwner, r.Organisation).Request()
	if err != nil {
		return nil, fmt.Errorf("request %s can't be built for %s: %w", r.ID, call.Address, err)
	}
	return h.WithContext(ctx), nil
}

// serviceCall passes a call on. Its URL is built from parts and not resolved against
// the base, so that no path can name another host.
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

// CancelStream tells an engine to stop an organisation's stream. A failure is of no
// consequence but for the engine's time.
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
