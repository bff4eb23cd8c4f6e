// Package client is the Go client of tacktally.
//
// It fetches idempotency keys in advance, retries only requests that may be retried,
// obeys Retry-After, resumes interrupted streams, and returns the outcome of each
// request as a typed value.
package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/tcp"
	"github.com/tacktally/tacktally/internal/wait"
)

// Defaults of Options.
const (
	DefaultKeysInHand  = 8
	DefaultMaxAttempts = 4
	// DefaultMaxResponseBytes is 64 MiB.
	DefaultMaxResponseBytes = 64 << 20
	// defaultRetryDelay is the retry delay if the response gives none.
	defaultRetryDelay = 200 * time.Millisecond
)

// Options configures a Client.
type Options struct {
	// URL is the base URL of a load balancer or of an instance. Required.
	URL string
	// APIKey is an API key of the organisation. Required.
	APIKey string
	// HTTP is the HTTP client to use. Default: a new one.
	HTTP *http.Client
	// KeysInHand is the number of idempotency keys that are fetched at once. Default 8.
	KeysInHand int
	// MaxAttempts is the maximum number of attempts of a request. Default 4.
	MaxAttempts int
	// MaxResponseBytes bounds the body of a response that isn't a stream, in bytes. Default 64 MiB.
	MaxResponseBytes int64
}

// ErrTooLarge is the Err of a request whose response has more than MaxResponseBytes, or an event of more than 1 MiB. It
// isn't retried.
var ErrTooLarge = errors.New("the response is too large")

// Client sends requests to tacktally. It is safe for concurrent use.
type Client struct {
	o Options

	mu   sync.Mutex
	keys []string
}

// New returns a Client.
func New(o Options) (*Client, error) {
	if o.URL == "" || o.APIKey == "" {
		return nil, errors.New("client: URL or APIKey is empty; set both")
	}
	if o.HTTP == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.DialContext = tcp.Dial(transport.DialContext)
		o.HTTP = &http.Client{Transport: exchange.Strict(transport)}
	}
	if o.KeysInHand == 0 {
		o.KeysInHand = DefaultKeysInHand
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return &Client{o: o}, nil
}

// Request is a request to an engine or a service.
type Request struct {
	// Method is GET, POST, PUT, PATCH or DELETE. Default POST.
	Method string
	// Path is a path such as /v1/chat/completions or /services/bookings/confirm.
	Path string
	Body []byte
	// ContentType is the media type of the body. Default application/json.
	ContentType string
	// Tier is the tier of the request. Default: the organisation's default tier.
	Tier string
	// Timeout is the time for the whole response. Default: the timeout of the tier.
	Timeout time.Duration
	// NonIdempotent marks a request that must run at most once, regardless of failures.
	NonIdempotent bool
}

// Result is the response to a request that was answered.
type Result struct {
	// Outcome is answered, also if the upstream answered with an error status. It is unknown if the upstream,
	// or a load balancer, didn't state where its response ends, so that Body may be a part of it.
	Outcome  api.Outcome
	Status   int
	Header   http.Header
	Body     []byte
	Attempts int
}

// Error is the error of a request that wasn't answered.
type Error struct {
	// Outcome is not-run if the request certainly didn't run, and unknown otherwise.
	Outcome api.Outcome
	// Problem is the last problem that an instance returned; nil if none did.
	Problem *api.Problem
	// Err is the last failure without a problem, such as a broken connection, or else the
	// error of the context; nil if there was neither.
	Err      error
	Attempts int
}

// Error implements error.
func (e *Error) Error() string {
	if e.Problem != nil {
		return fmt.Sprintf("%s after %d attempts: %s", e.Outcome, e.Attempts, e.Problem.Detail)
	}
	return fmt.Sprintf("%s after %d attempts: %v", e.Outcome, e.Attempts, e.Err)
}

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

// Do sends a request, with retries where they are allowed, and blocks until it is answered, has
// failed or ctx is done. The error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (*Result, error) {
	s := &requestState{client: c, request: r}
	defer s.finish()
	for {
		response, err := s.attempt(ctx)
		if err == nil {
			var result *Result
			if result, err = s.read(response); err == nil {
				return result, nil
			}
		}
		delay, retry := s.handleFailure(err)
		if !retry || !wait.For(ctx, delay) {
			return nil, s.newError(ctx)
		}
	}
}

// requestState is the state of a request across its attempts.
type requestState struct {
	client   *Client
	request  Request
	key      string
	lastID   string // ID of the last event received from a stream
	attempts int
	used     bool // whether the key was sent
	// uncertain reports whether an attempt under the key may have reached an upstream.
	uncertain bool
	problem   *api.Problem
	err       error
}

// newError returns the error of the request after its last attempt.
func (s *requestState) newError(ctx context.Context) *Error {
	e := &Error{Outcome: api.NotRun, Problem: s.problem, Err: s.err, Attempts: s.attempts}
	if e.Err == nil {
		e.Err = ctx.Err()
	}
	if s.uncertain || s.lastID != "" { // the request of a stream that began has run
		e.Outcome = api.Unknown
	}
	return e
}

// finish returns the key to the client if it was never sent.
func (s *requestState) finish() {
	if s.key != "" && !s.used {
		s.client.releaseKey(s.key)
	}
}

// attempt sends the request once.
func (s *requestState) attempt(ctx context.Context) (*http.Response, error) {
	s.attempts++
	if s.request.NonIdempotent && s.key == "" {
		key, err := s.client.acquireKey(ctx)
		if err != nil {
			return nil, err
		}
		s.key = key
	}
	h, err := s.build()
	if err != nil {
		return nil, err
	}
	s.used = true
	response, err := s.client.o.HTTP.Do(h.WithContext(ctx))
	if err != nil {
		s.uncertain = true
		return nil, err
	}
	return response, nil
}

func (s *requestState) build() (*http.Request, error) {
	r := s.request
	b := sling.New().Base(s.client.o.URL).Set("Authorization", "Bearer "+s.client.o.APIKey)
	switch r.Method {
	case "", http.MethodPost:
		b = b.Post(r.Path)
	case http.MethodGet:
		b = b.Get(r.Path)
	case http.MethodPut:
		b = b.Put(r.Path)
	case http.MethodPatch:
		b = b.Patch(r.Path)
	case http.MethodDelete:
		b = b.Delete(r.Path)
	default:
		return nil, fmt.Errorf("client: method %q isn't supported; use GET, POST, PUT, PATCH or DELETE", r.Method)
	}
	if len(r.Body) > 0 {
		contentType := r.ContentType
		if contentType == "" {
			contentType = "application/json"
		}
		b = b.Body(bytes.NewReader(r.Body)).Set("Content-Type", contentType)
	}
	set := func(name, value string) {
		if value != "" {
			b = b.Set(name, value)
		}
	}
	set(api.HeaderTier, r.Tier)
	set(api.HeaderIdempotencyKey, s.key)
	set(api.HeaderLastEventID, s.lastID)
	if r.Timeout > 0 {
		set(api.HeaderTimeout, r.Timeout.String())
	}
	h, err := b.Request()
	if err != nil {
		return nil, fmt.Errorf("client: build the request; check URL and path: %w", err)
	}
	h.GetBody = nil // prevents net/http from retrying on its own
	return h, nil
}

// errIncomplete is the error of a response that was truncated.
var errIncomplete = errors.New("the response was truncated")

// read reads a whole response. A problem is returned as the error.
func (s *requestState) read(response *http.Response) (*Result, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(s.client.bound(response.Body))
	if err != nil {
		s.uncertain = true
		return nil, fmt.Errorf("%w: %w", errIncomplete, err)
	}
	if response.Header.Get("Content-Type") == api.ProblemContentType {
		return nil, s.readProblem(response, body)
	}
	outcome := api.Answered
	if response.Header.Get(api.HeaderOutcome) == string(api.Unknown) || response.Trailer.Get(api.HeaderOutcome) == string(api.Unknown) || endsWithConnection(response) {
		outcome = api.Unknown
	}
	return &Result{Outcome: outcome, Status: response.StatusCode, Header: response.Header, Body: body, Attempts: s.attempts}, nil
}

// bound returns a reader of at most MaxResponseBytes. If there are more, it returns ErrTooLarge.
func (c *Client) bound(body io.Reader) io.Reader {
	return &boundedReader{reader: body, left: c.o.MaxResponseBytes}
}

// boundedReader returns ErrTooLarge after left bytes.
type boundedReader struct {
	reader io.Reader
	left   int64
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if int64(n) > r.left {
		n, err = int(r.left), ErrTooLarge
	}
	r.left -= int64(n)
	return n, err
}

// endsWithConnection reports whether nothing but the close of its connection ends a response: whoever closes it may not
// have passed on all of it. A compressed body states its own end.
func endsWithConnection(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed
}

func (s *requestState) readProblem(response *http.Response, body []byte) error {
	var p api.Problem
	if err := json.Unmarshal(body, &p); err != nil {
		s.uncertain = true
		return fmt.Errorf("decode the problem of a response with status %s: %w", response.Status, err)
	}
	if p.RetryAfterSeconds == 0 {
		p.RetryAfterSeconds, _ = strconv.Atoi(response.Header.Get("Retry-After"))
	}
	return &p
}

// handleFailure records the failure of an attempt. It reports whether to retry, and after which delay.
func (s *requestState) handleFailure(err error) (delay time.Duration, retry bool) {
	delay = defaultRetryDelay
	var p *api.Problem
	if errors.As(err, &p) {
		s.problem, s.err = p, nil
		if p.RetryAfterSeconds > 0 {
			delay = time.Duration(p.RetryAfterSeconds) * time.Second
		}
		retry = s.handleProblem(p)
	} else {
		s.err = err
		if errors.Is(err, io.EOF) {
			s.err = fmt.Errorf("%w: %v", errIncomplete, err) // readers of a stream would take it for the end
		}
		retry = !errors.Is(err, ErrTooLarge) // under the same key, so that it joins an earlier attempt
	}
	return delay, retry && s.attempts < s.client.o.MaxAttempts
}

// handleProblem updates the key and the certainty after a problem, and reports whether to retry.
func (s *requestState) handleProblem(p *api.Problem) bool {
	switch {
	case p.Reason == api.ReasonKeyRequired && p.IdempotencyKey != "":
		s.request.NonIdempotent = true // as the operator declared
		s.key = p.IdempotencyKey
		return true
	case p.Outcome == api.NotRun:
		// The key is void: no attempt under it ran, and none will.
		if s.key != "" && p.Reason == api.ReasonDraining {
			s.client.dropKeys() // its issuer refuses those in hand too
		}
		s.key = ""
		s.uncertain = false
		return p.RetryAfterSeconds > 0
	case p.AttemptOutcome == api.NotRun && isKeyUnusable(p.Reason) && (!s.uncertain || s.lastID != ""):
		s.key = "" // no attempt under it was ever dispatched, or the stream is resumed, which runs nothing
		s.client.dropKeys()
		return true
	case p.AttemptOutcome == api.NotRun && s.lastID != "":
		s.key = "" // under which the refusal is retained
		return p.RetryAfterSeconds > 0
	case p.AttemptOutcome == api.NotRun && p.Reason == api.ReasonIssuerUnreachable:
		return true
	case p.AttemptOutcome == api.NotRun:
		return p.RetryAfterSeconds > 0 // under the same key, which may have been sent before
	}
	s.uncertain = true
	if p.Reason == api.ReasonUpstreamCut && s.lastID != "" {
		s.key = "" // which retains what was relayed; the stream is resumed, which runs nothing
		return true
	}
	if !s.request.NonIdempotent {
		return true
	}
	return p.Reason == api.ReasonIssuerUnreachable
}

// isKeyUnusable reports whether a key can't be used with its issuer, now or any more.
func isKeyUnusable(r api.Reason) bool {
	return r == api.ReasonIssuerGone || r == api.ReasonIssuerUnreachable || r == api.ReasonKeyExpired
}

// acquireKey returns an issued key. It fetches KeysInHand keys if the client has none left.
func (c *Client) acquireKey(ctx context.Context) (string, error) {
	c.mu.Lock()
	if n := len(c.keys); n > 0 {
		key := c.keys[n-1]
		c.keys = c.keys[:n-1]
		c.mu.Unlock()
		return key, nil
	}
	c.mu.Unlock()
	keys, err := c.fetchKeys(ctx)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = append(c.keys, keys[1:]...)
	return keys[0], nil
}

// dropKeys drops the keys in hand, which were likely issued together with one that can't be used.
func (c *Client) dropKeys() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = nil
}

// releaseKey returns an unused key to the client.
func (c *Client) releaseKey(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = append(c.keys, key)
}

func (c *Client) fetchKeys(ctx context.Context) ([]string, error) {
	h, err := sling.New().Base(c.o.URL).Post("/v1/idempotency-keys?count="+strconv.Itoa(c.o.KeysInHand)).
		Set("Authorization", "Bearer "+c.o.APIKey).Request()
	if err != nil {
		return nil, err
	}
	response, err := c.o.HTTP.Do(h.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body := c.bound(response.Body)
	if response.StatusCode != http.StatusOK {
		var p api.Problem
		if err := json.UnmarshalRead(body, &p); err != nil {
			return nil, fmt.Errorf("fetch idempotency keys: the instance answered %s: %w", response.Status, err)
		}
		return nil, &p
	}
	var list struct {
		Keys []string `json:"keys"`
	}
	if err := json.UnmarshalRead(body, &list); err != nil {
		return nil, err
	}
	if len(list.Keys) == 0 {
		return nil, errors.New("no idempotency keys were issued; retry later")
	}
	return list.Keys, nil
}
