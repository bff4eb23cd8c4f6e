package client_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/client"
)

// streamScript responds to each request with the next body, of a stream unless it is empty: then with a problem that
// promises that the request wasn't run. The connection breaks after each of them but the last.
type streamScript struct {
	bodies  []string
	resumed []string // the ID of the last event in each request
}

func (s *streamScript) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	body := s.bodies[len(s.resumed)]
	s.resumed = append(s.resumed, h.Header.Get(api.HeaderLastEventID))
	if body == "" {
		w.Header().Set("Content-Type", api.ProblemContentType)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"status":503,"outcome":"not-run","reason":"draining"}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, body)
	if len(s.resumed) < len(s.bodies) {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// read returns the pieces of a scripted stream and its error; nil after the last event.
func (s *streamScript) read(t *testing.T) (pieces []string, err error) {
	t.Helper()
	server := httptest.NewServer(s)
	defer server.Close()
	stream, err := connect(t, server.URL).Stream(t.Context(), client.Request{Path: "/v1/chat/completions"})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return pieces, nil
		}
		if err != nil {
			return pieces, err
		}
		pieces = append(pieces, string(data))
	}
}

const end = "data: [DONE]\n\n"

// Guards against pieces that are missing, split or repeated where a stream breaks: the client must read events by
// the standard of server-sent events.
func TestPiecesOfAStreamAreWhole(t *testing.T) {
	for name, c := range map[string]struct {
		bodies  []string
		pieces  []string
		resumed []string
	}{
		"plain":                     {[]string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n" + end}, []string{"a", "b"}, []string{""}},
		"broken between events":     {[]string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" + end}, []string{"a", "b"}, []string{"", "1"}},
		"broken inside an event":    {[]string{"id: 1\ndata: a\n\nid: 2\ndata: b\n", "id: 2\ndata: b\n\n" + end}, []string{"a", "b"}, []string{"", "1"}},
		"broken before the last":    {[]string{"id: 1\ndata: a\n\n" + end[:len(end)-1], end}, []string{"a"}, []string{"", "1"}},
		"CR LF":                     {[]string{"id: 1\r\ndata: a\r\n\r\n" + end}, []string{"a"}, []string{""}},
		"comment between events":    {[]string{"id: 1\ndata: a\n\n: alive\n\n:\n\nid: 2\ndata: b\n\n" + end}, []string{"a", "b"}, []string{""}},
		"empty comment in an event": {[]string{"id: 1\ndata: a\n:\ndata: b\n\n" + end}, []string{"a\nb"}, []string{""}},
		"ID after an empty comment": {[]string{"data: a\n:\nid: 1\n\n", "id: 2\ndata: b\n\n" + end}, []string{"a", "b"}, []string{"", "1"}},
		"several lines":             {[]string{"id: 1\ndata: a\ndata: b\n\n" + end}, []string{"a\nb"}, []string{""}},
		"empty data":                {[]string{"id: 1\ndata:\n\n", "id: 2\ndata: b\n\n" + end}, []string{"", "b"}, []string{"", "1"}},
		"a name without data":       {[]string{"event: error\n\nid: 1\ndata: a\n\n" + end}, []string{"a"}, []string{""}},
		"ends at the last event":    {[]string{"id: 1\ndata: [DONE] soon\n\nid: 2\ndata: b\n\n" + end}, []string{"[DONE] soon", "b"}, []string{""}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := &streamScript{bodies: c.bodies}
			pieces, err := s.read(t)
			is.NoErr(err)
			is.Equal(pieces, c.pieces)
			is.Equal(s.resumed, c.resumed)
		})
	}
}

// Guards against a stream that looks as if it had never run, after pieces of it were returned: the promise that an
// attempt didn't run is about its resumption alone.
func TestStreamThatBeganDoesNotEndAsNotRun(t *testing.T) {
	is := is.New(t)
	s := &streamScript{bodies: []string{"id: 1\ndata: a\n\n", ""}}
	pieces, err := s.read(t)
	is.Equal(pieces, []string{"a"})
	var e *client.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Outcome, api.Unknown)
	is.Equal(s.resumed, []string{"", "1"})
}

// Guards against a stream that looks whole because its resumption fails: where a connection is closed before a response,
// the error was one of io.EOF, with which Next reports the end.
func TestFailedResumptionIsNotTheEnd(t *testing.T) {
	is := is.New(t)
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if sent++; sent == 1 {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	c, err := client.New(client.Options{URL: server.URL, APIKey: "k", MaxAttempts: 2})
	is.NoErr(err)
	stream, err := c.Stream(t.Context(), client.Request{Path: "/v1/chat/completions"})
	is.NoErr(err)
	defer stream.Close()
	_, err = stream.Next()
	is.NoErr(err)
	_, err = stream.Next()
	var e *client.Error
	is.True(errors.As(err, &e))
	is.True(!errors.Is(err, io.EOF))
	is.Equal(e.Outcome, api.Unknown)
	is.Equal(e.Attempts, 2)
}

// A stream without IDs isn't resumed, nor is one that ends without its last event taken for complete.
func TestStreamWithoutIDsIsNotRepeated(t *testing.T) {
	is := is.New(t)
	s := &streamScript{bodies: []string{"data: a\n\n"}}
	pieces, err := s.read(t)
	is.Equal(pieces, []string{"a"})
	is.True(err != nil)
	is.Equal(len(s.resumed), 1)
}

// Guards against a stream that ran and is reported as not run, since its engine names the character set: the client must
// read it.
func TestStreamWithACharacterSetIsRead(t *testing.T) {
	for contentType, want := range map[string]string{
		"text/event-stream; charset=utf-8": "",
		"Text/Event-Stream":                "",
		"application/json":                 "unknown",
	} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n"+end)
		}))
		stream, err := connect(t, server.URL).Stream(t.Context(), client.Request{Path: "/v1/chat/completions"})
		var e *client.Error
		if errors.As(err, &e) {
			is.Equal(string(e.Outcome), want)
		} else {
			is.Equal(want, "")
			data, err := stream.Next()
			is.NoErr(err)
			is.Equal(string(data), "a")
			is.NoErr(stream.Close())
		}
		server.Close()
	}
}

// Guards against a stream that its client gives up though its engine goes on with it: a resumption runs nothing, so that
// it is made under a new key where the one of the request can't be used any more, as after a restart of its issuer, or
// retains a refusal.
func TestStreamIsResumedUnderANewKey(t *testing.T) {
	for name, problem := range map[string]*api.Problem{
		"issuer gone":        api.UnknownOutcome(api.ReasonIssuerGone, "gone").WithAttemptNotRun(),
		"issuer unreachable": api.UnknownOutcome(api.ReasonIssuerUnreachable, "cut").WithAttemptNotRun().WithRetryAfter(time.Millisecond),
		"key expired":        api.UnknownOutcome(api.ReasonKeyExpired, "expired").WithAttemptNotRun(),
		"resumption refused": api.Refuse(api.ReasonQueueFull, "full").WithRetryAfter(time.Millisecond).WithUnknownOutcome(),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			issued := 0
			var keys []string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
				if strings.HasSuffix(h.URL.Path, "idempotency-keys") {
					issued++
					_, _ = fmt.Fprintf(w, `{"keys":["%d-1","%d-2"]}`, issued, issued)
					return
				}
				key := h.Header.Get(api.HeaderIdempotencyKey)
				keys = append(keys, key)
				switch {
				case len(keys) == 1:
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				case key == keys[0]:
					(&script{answers: []*api.Problem{problem}, keys: map[string]bool{}}).ServeHTTP(w, h)
				default:
					is.Equal(h.Header.Get(api.HeaderLastEventID), "1")
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, "id: 2\ndata: b\n\n"+end)
				}
			}))
			defer server.Close()
			stream, err := connect(t, server.URL).Stream(t.Context(), client.Request{Path: "/v1/chat/completions", NonIdempotent: true})
			is.NoErr(err)
			defer stream.Close()
			for _, want := range []string{"a", "b"} {
				data, err := stream.Next()
				is.NoErr(err)
				is.Equal(string(data), want)
			}
			_, err = stream.Next()
			is.Equal(err, io.EOF)
			is.Equal(len(keys), 3)
		})
	}
}

// Guards against a stream that its client gives up though its engine goes on with it: the instance that relayed it has shut
// down, or couldn't resume it. Its key retains the part that was relayed.
func TestStreamThatWasCutIsResumedUnderANewKey(t *testing.T) {
	is := is.New(t)
	issued := 0
	var keys, resumed []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		if strings.HasSuffix(h.URL.Path, "idempotency-keys") {
			issued++
			_, _ = fmt.Fprintf(w, `{"keys":["%d-1","%d-2"]}`, issued, issued)
			return
		}
		keys = append(keys, h.Header.Get(api.HeaderIdempotencyKey))
		resumed = append(resumed, h.Header.Get(api.HeaderLastEventID))
		w.Header().Set("Content-Type", "text/event-stream")
		if len(keys) == 1 || keys[len(keys)-1] == keys[0] {
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\nevent: error\ndata: {\"error\":{\"status\":502,\"outcome\":\"unknown\",\"reason\":\"upstream_cut\"}}\n\n")
			return
		}
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n"+end)
	}))
	defer server.Close()
	stream, err := connect(t, server.URL).Stream(t.Context(), client.Request{Path: "/v1/chat/completions", NonIdempotent: true})
	is.NoErr(err)
	defer stream.Close()
	for _, want := range []string{"a", "b"} {
		data, err := stream.Next()
		is.NoErr(err)
		is.Equal(string(data), want)
	}
	_, err = stream.Next()
	is.Equal(err, io.EOF)
	is.Equal(resumed, []string{"", "1"})
}
