package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/client"
	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/rig"
	"github.com/tacktally/tacktally/internal/standin/service"
)

var fast = engine.Spec{PrefillPerSecond: 1e6, StepBase: time.Millisecond, Slots: 32, ChunkTokens: 4096, CacheBlocks: 64}

func start(t *testing.T, daemons int) *rig.Harness {
	t.Helper()
	r, err := rig.Start(rig.Options{Engines: []engine.Spec{fast}, Daemons: daemons})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func connect(t *testing.T, url string) *client.Client {
	t.Helper()
	c, err := client.New(client.Options{URL: url, APIKey: rig.APIKey})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// The official OpenAI client works against the callers' API.
func TestOpenAIClientIsSupported(t *testing.T) {
	is := is.New(t)
	r := start(t, 1)
	c := openai.NewClient(option.WithBaseURL(r.URL(0)+"/v1"), option.WithAPIKey(rig.APIKey))
	params := openai.ChatCompletionNewParams{
		Model:     rig.Model,
		MaxTokens: openai.Int(5),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("two sofas")},
	}
	whole, err := c.Chat.Completions.New(t.Context(), params)
	is.NoErr(err)
	is.Equal(whole.Usage.CompletionTokens, int64(5))
	is.Equal(strings.Count(whole.Choices[0].Message.Content, "."), 5)
	stream := c.Chat.Completions.NewStreaming(t.Context(), params)
	tokens := 0
	for stream.Next() {
		tokens++
	}
	is.NoErr(stream.Err())
	is.Equal(tokens, 5)
	models, err := c.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(models.Data[0].ID, rig.Model)
	params.Model = "none"
	_, err = c.Chat.Completions.New(t.Context(), params)
	var e *openai.Error
	is.True(errors.As(err, &e))
	is.Equal(e.StatusCode, http.StatusNotFound)
}

func TestDoAndStream(t *testing.T) {
	is := is.New(t)
	r := start(t, 2)
	c := connect(t, r.URL(1))
	booked, err := c.Do(t.Context(), client.Request{Path: "/services/bookings/confirm", Body: []byte("7"), NonIdempotent: true})
	is.NoErr(err)
	is.Equal(string(booked.Body), service.ResponseBody("7"))
	booked, err = c.Do(t.Context(), client.Request{Path: "/services/bookings/confirm", Body: []byte("8")}) // the response with status 428 carries the key
	is.NoErr(err)
	is.Equal(booked.Attempts, 2)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":4,"messages":[]}`, rig.Model)
	s, err := c.Stream(t.Context(), client.Request{Path: "/v1/chat/completions", Body: []byte(body), Tier: rig.TierUrgent})
	is.NoErr(err)
	defer s.Close()
	is.Equal(readAll(t, s, body), 4)
	_, err = c.Do(t.Context(), client.Request{Path: "/services/none/x"})
	var e *client.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Problem.Reason, api.ReasonUnknownService)
	is.Equal(e.Outcome, api.NotRun)
}

// readAll reads a stream, checks that it is the whole response to the body, and
// returns the number of tokens.
func readAll(t *testing.T, s *client.Stream, body string) int {
	t.Helper()
	for n := 1; ; n++ {
		data, err := s.Next()
		if errors.Is(err, io.EOF) {
			return n - 1
		}
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(data), engine.Token([]byte(body), n)) {
			t.Fatalf("token %d is %s", n, data)
		}
	}
}

// brokenProxy is a load balancer that breaks connections to the caller.
type brokenProxy struct {
	url    string
	breaks atomic.Int32 // number of connections to break
	after  int          // bytes of the response that are passed on first
	sent   atomic.Int32
}

func (f *brokenProxy) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	f.sent.Add(1)
	out, err := http.NewRequestWithContext(h.Context(), h.Method, f.url+h.URL.Path, h.Body)
	if err != nil {
		return
	}
	out.Header = h.Header.Clone()
	response, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if !strings.HasSuffix(h.URL.Path, "idempotency-keys") && f.breaks.Add(-1) >= 0 {
		w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
		_, _ = io.CopyN(w, response.Body, int64(f.after))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

// The connection breaks after the request ran. The retry under the same key gets the response,
// and the request ran once.
func TestRetryUnderSameKeyRunsOnce(t *testing.T) {
	is := is.New(t)
	r := start(t, 1)
	f := &brokenProxy{url: r.URL(0)}
	f.breaks.Store(2)
	server := httptest.NewServer(f)
	defer server.Close()
	booked, err := connect(t, server.URL).Do(t.Context(), client.Request{Path: "/services/bookings/confirm", Body: []byte("7"), NonIdempotent: true})
	is.NoErr(err)
	is.Equal(string(booked.Body), service.ResponseBody("7"))
	is.Equal(booked.Attempts, 3)
	is.Equal(len(r.Service.Calls()), 1)
}

// A stream whose connection to the caller breaks is resumed where it broke, with or without a
// key, and the engine runs it once.
func TestInterruptedStreamIsResumed(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		t.Run(fmt.Sprintf("non-idempotent %t", nonIdempotent), func(t *testing.T) {
			is := is.New(t)
			r := start(t, 1)
			body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":6,"messages":[{"role":"user","content":"dossier"}]}`, rig.Model)
			f := &brokenProxy{url: r.URL(0), after: 900}
			f.breaks.Store(1)
			server := httptest.NewServer(f)
			defer server.Close()
			s, err := connect(t, server.URL).Stream(t.Context(), client.Request{Path: "/v1/chat/completions", Body: []byte(body), NonIdempotent: nonIdempotent})
			is.NoErr(err)
			defer s.Close()
			is.Equal(readAll(t, s, body), 6)
			is.Equal(len(r.Engines[0].Runs()), 1)
		})
	}
}

// The outcome of a request, its attempts and its keys, by the problems that instances return.
// A script lists the responses in order; the last one is repeated.
func TestRetriesByProblem(t *testing.T) {
	retryAfter := func(p *api.Problem) *api.Problem { return p.WithRetryAfter(time.Second) }
	for name, c := range map[string]struct {
		nonIdempotent bool
		script        []*api.Problem // nil answers with 200
		outcome       api.Outcome
		attempts      int
		keys          int // number of different keys sent
	}{
		"not-run uses a new key":                                      {true, []*api.Problem{retryAfter(api.Refuse(api.ReasonQueueFull, "full")), nil}, api.Answered, 2, 2},
		"not-run without a retry time ends":                           {true, []*api.Problem{api.Refuse(api.ReasonPromptTooLong, "long")}, api.NotRun, 1, 1},
		"unknown ends a non-idempotent":                               {true, []*api.Problem{api.UnknownOutcome(api.ReasonUpstreamLost, "lost"), nil}, api.Unknown, 1, 1},
		"unknown retries an idempotent":                               {false, []*api.Problem{api.UnknownOutcome(api.ReasonUpstreamLost, "lost"), nil}, api.Answered, 2, 0},
		"issuer unreachable keeps the key":                            {true, []*api.Problem{retryAfter(api.UnknownOutcome(api.ReasonIssuerUnreachable, "cut")), nil}, api.Answered, 2, 1},
		"issuer gone and nothing sent uses a new key":                 {true, []*api.Problem{api.UnknownOutcome(api.ReasonIssuerGone, "gone").WithAttemptNotRun(), nil}, api.Answered, 2, 2},
		"issuer unreachable and nothing sent uses a new key":          {true, []*api.Problem{retryAfter(api.UnknownOutcome(api.ReasonIssuerUnreachable, "cut").WithAttemptNotRun()), nil}, api.Answered, 2, 2},
		"issuer unreachable after an uncertain attempt keeps the key": {true, []*api.Problem{retryAfter(api.UnknownOutcome(api.ReasonIssuerUnreachable, "cut")), retryAfter(api.UnknownOutcome(api.ReasonIssuerUnreachable, "cut").WithAttemptNotRun()), nil}, api.Answered, 3, 1},
		"an expired key that was never sent is replaced":              {true, []*api.Problem{api.UnknownOutcome(api.ReasonKeyExpired, "expired").WithAttemptNotRun(), nil}, api.Answered, 2, 2},
		"an expired key after an uncertain attempt ends":              {true, []*api.Problem{retryAfter(api.UnknownOutcome(api.ReasonIssuerUnreachable, "cut")), api.UnknownOutcome(api.ReasonKeyExpired, "expired").WithAttemptNotRun()}, api.Unknown, 2, 1},
		"an expired key that may have been sent ends":                 {true, []*api.Problem{api.UnknownOutcome(api.ReasonKeyExpired, "expired")}, api.Unknown, 1, 1},
		"issuer gone and perhaps sent ends":                           {true, []*api.Problem{api.UnknownOutcome(api.ReasonIssuerGone, "gone")}, api.Unknown, 1, 1},
		"issuer gone after an uncertain attempt ends":                 {true, []*api.Problem{retryAfter(api.UnknownOutcome(api.ReasonIssuerUnreachable, "cut")), api.UnknownOutcome(api.ReasonIssuerGone, "gone").WithAttemptNotRun()}, api.Unknown, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := &script{answers: c.script, keys: map[string]bool{}}
			server := httptest.NewServer(s)
			defer server.Close()
			result, err := connect(t, server.URL).Do(t.Context(), client.Request{Path: "/x", NonIdempotent: c.nonIdempotent})
			var e *client.Error
			if errors.As(err, &e) {
				is.Equal(e.Outcome, c.outcome)
				is.Equal(e.Attempts, c.attempts)
			} else {
				is.Equal(result.Outcome, c.outcome)
				is.Equal(result.Attempts, c.attempts)
			}
			delete(s.keys, "")
			is.Equal(len(s.keys), c.keys)
		})
	}
}

// Guards against requests that fail though all instances serve, or all but one that is shutting down: the keys in hand of
// that one, or of an issuer that has restarted, or that have expired, took up all attempts.
func TestKeysInHandOfAnIssuerThatRestartedAreReplaced(t *testing.T) {
	for _, problem := range []*api.Problem{
		api.UnknownOutcome(api.ReasonIssuerGone, "gone").WithAttemptNotRun(),
		api.UnknownOutcome(api.ReasonKeyExpired, "gone").WithAttemptNotRun(),
		api.Refuse(api.ReasonDraining, "leaves").WithRetryAfter(time.Second),
	} {
		t.Run(string(problem.Reason), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			issuers, batch := 1, 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
				if strings.HasSuffix(h.URL.Path, "idempotency-keys") {
					batch++
					fmt.Fprintf(w, `{"keys":["%d-%d-1","%d-%d-2","%d-%d-3","%d-%d-4","%d-%d-5","%d-%d-6"]}`,
						issuers, batch, issuers, batch, issuers, batch, issuers, batch, issuers, batch, issuers, batch)
					return
				}
				if !strings.HasPrefix(h.Header.Get(api.HeaderIdempotencyKey), fmt.Sprint(issuers)+"-") {
					(&script{answers: []*api.Problem{problem}, keys: map[string]bool{}}).ServeHTTP(w, h)
				}
			}))
			defer server.Close()
			c := connect(t, server.URL)
			r := client.Request{Path: "/x", NonIdempotent: true}
			_, err := c.Do(t.Context(), r)
			is.NoErr(err)
			issuers++
			result, err := c.Do(t.Context(), r)
			is.NoErr(err)
			is.Equal(result.Attempts, 2)
			is.Equal(batch, 2)
		})
	}
}

// script answers requests with its responses in order.
type script struct {
	answers []*api.Problem
	keys    map[string]bool
	issued  int
	next    int
}

func (s *script) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	if strings.HasSuffix(h.URL.Path, "idempotency-keys") {
		s.issued++
		fmt.Fprintf(w, `{"keys":["key-%d"]}`, s.issued)
		return
	}
	s.keys[h.Header.Get(api.HeaderIdempotencyKey)] = true
	p := s.answers[min(s.next, len(s.answers)-1)]
	s.next++
	if p == nil {
		return
	}
	w.Header().Set("Content-Type", api.ProblemContentType)
	w.WriteHeader(p.Status)
	fmt.Fprintf(w, `{"type":%q,"title":"t","status":%d,"detail":%q,"outcome":%q,"attemptOutcome":%q,"reason":%q,"retryAfterSeconds":%d}`,
		p.Type, p.Status, p.Detail, p.Outcome, p.AttemptOutcome, p.Reason, p.RetryAfterSeconds)
}

func TestDoEndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := connect(t, "http://127.0.0.1:1").Do(ctx, client.Request{Path: "/x", NonIdempotent: true})
	var e *client.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Outcome, api.NotRun) // there was no key, so nothing was sent
}
