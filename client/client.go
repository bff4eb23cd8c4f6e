// Package client is the Go client of tacktally.
//
// It keeps issued idempotency keys in hand, retries only what may be retried,
// obeys Retry-After, resumes a broken stream where it broke, and hands the
// outcome to its user as a typed value.
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
	"github.com/tacktally/tacktally/internal/wait"
)

// Defaults of Options.
const (
	DefaultKeysInHand  = 8
	DefaultMaxAttempts = 4
	// defaultRetryDelay is waited where an answer names no time to come back.
	defaultRetryDelay = 200 * time.Millisecond
)

// Options of a Client.
type Options struct {
	// URL of the balancer or of an instance. Required.
	URL string
	// APIKey of the organisation. Required.
	APIKey string
	// HTTP makes the calls; a client of its own by default.
	HTTP *http.Client
	// KeysInHand is how many issued keys are fetched at once. Default 8.
	KeysInHand int
	// MaxAttempts bounds the attempts of one request. Default 4.
	MaxAttempts int
}

// Client calls tacktally. Safe for concurrent use.
type Client struct {
	o Options

	mu   sync.Mutex
	keys []string
}

// New returns a client.
func New(o Options) (*Client, error) {
	if o.URL == "" || o.APIKey == "" {
		return nil, errors.New("client: URL or APIKey is empty; give both")
	}
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	if o.KeysInHand == 0 {
		o.KeysInHand = DefaultKeysInHand
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	return &Client{o: o}, nil
}

// Request is one request.
type Request struct {
	// Method defaults to POST.
	Method string
	// Path such as /v1/chat/completions or /services/bookings/confirm.
	Path string
	Body []byte
	// ContentType defaults to application/json.
	ContentType string
	// Tier is the organisation's default where empty.
	Tier string
	// Timeout for the whole answer; the tier's where 0.
	Timeout time.Duration
	// NonIdempotent requests run at most once, whatever fails.
	NonIdempotent bool
}

// Result is an answer and what is known of the run.
type Result struct {
	// Outcome is answered, also when the upstream answered with an error status.
	Outcome  api.Outcome
	Status   int
	Header   http.Header
	Body     []byte
	Attempts int
}

// Error tells how a request ended that wasn't answered. Its Outcome is not-run
// when the request surely didn't run, else unknown.
type Error struct {
	Outcome api.Outcome
	// Problem is the last one told; nil when no instance answered.
	Problem *api.Problem
	// Err is the last failure of a connection, if any.
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

// Unwrap returns the failure of the connection, if any.
func (e *Error) Unwrap() error { return e.Err }

// Do sends a request until it is answered or given up. The error is an *Error.
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
		pause, again := s.handleFailure(err)
		if !again || !wait.For(ctx, pause) {
			return nil, s.newError(ctx)
		}
	}
}

// requestState is the state of one request over its attempts.
type requestState struct {
	client   *Client
	request  Request
	key      string
	lastID   string // of the last event received, for a stream
	attempts int
	used     bool // the key was sent
	// uncertain is set once an attempt under the key may have reached an upstream.
	uncertain bool
	problem   *api.Problem
	err       error
}

func (s *requestState) newError(ctx context.Context) *Error {
	e := &Error{Outcome: api.NotRun, Problem: s.problem, Err: s.err, Attempts: s.attempts}
	if e.Err == nil {
		e.Err = ctx.Err()
	}
	if s.uncertain {
		e.Outcome = api.Unknown
	}
	return e
}

// finish gives back a key that was never used.
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
		return nil, fmt.Errorf("client: the request can't be built; check URL and path: %w", err)
	}
	h.GetBody = nil // net/http must not repeat it by itself
	return h, nil
}

// errIncomplete: an answer broke off.
var errIncomplete = errors.New("the answer broke off")

// read takes in a whole answer, or the problem in its place.
func (s *requestState) read(response *http.Response) (*Result, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.uncertain = true
		return nil, fmt.Errorf("%w: %w", errIncomplete, err)
	}
	if response.Header.Get("Content-Type") == api.ProblemContentType {
		return nil, s.readProblem(response, body)
	}
	return &Result{Outcome: api.Answered, Status: response.StatusCode, Header: response.Header, Body: body, Attempts: s.attempts}, nil
}

func (s *requestState) readProblem(response *http.Response, body []byte) error {
	var p api.Problem
	if err := json.Unmarshal(body, &p); err != nil {
		s.uncertain = true
		return fmt.Errorf("the instance answered %s without a readable problem: %w", response.Status, err)
	}
	if p.RetryAfterSeconds == 0 {
		p.RetryAfterSeconds, _ = strconv.Atoi(response.Header.Get("Retry-After"))
	}
	return &p
}

// handleFailure decides after a failed attempt whether to send again, and when.
func (s *requestState) handleFailure(err error) (pause time.Duration, again bool) {
	pause = defaultRetryDelay
	var p *api.Problem
	if errors.As(err, &p) {
		s.problem, s.err = p, nil
		if p.RetryAfterSeconds > 0 {
			pause = time.Duration(p.RetryAfterSeconds) * time.Second
		}
		again = s.handleProblem(p)
	} else {
		s.err = err
		again = true // the same key, so that it joins an earlier attempt
	}
	return pause, again && s.attempts < s.client.o.MaxAttempts
}

func (s *requestState) handleProblem(p *api.Problem) bool {
	switch {
	case p.Reason == api.ReasonKeyRequired && p.IdempotencyKey != "":
		s.request.NonIdempotent = true // the operator declared it so
		s.key = p.IdempotencyKey
		return true
	case p.Outcome == api.NotRun:
		// The key is void: nothing ran, and nothing will under it.
		s.key = ""
		s.uncertain = false
		return p.RetryAfterSeconds > 0
	case p.AttemptOutcome == api.NotRun && !s.uncertain && p.Reason == api.ReasonIssuerGone:
		s.key = "" // no attempt under it was ever dispatched
		return true
	case p.AttemptOutcome == api.NotRun && p.Reason == api.ReasonIssuerUnreachable:
		return true
	case p.AttemptOutcome == api.NotRun:
		return p.RetryAfterSeconds > 0 // under the same key, which may have been sent before
	}
	s.uncertain = true
	if !s.request.NonIdempotent {
		return true
	}
	return p.Reason == api.ReasonIssuerUnreachable
}

// acquireKey returns an issued key, and fetches more when none is in hand.
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
	if response.StatusCode != http.StatusOK {
		var p api.Problem
		if err := json.UnmarshalRead(response.Body, &p); err != nil {
			return nil, fmt.Errorf("no keys: the instance answered %s", response.Status)
		}
		return nil, &p
	}
	var list struct {
		Keys []string `json:"keys"`
	}
	if err := json.UnmarshalRead(response.Body, &list); err != nil {
		return nil, err
	}
	if len(list.Keys) == 0 {
		return nil, errors.New("no keys were issued; come back later")
	}
	return list.Keys, nil
}
