package client_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/client"
)

// connectEndless returns a client, with a bound of 1 MiB for responses, of a server that writes a block again and again
// for 8 MiB, and how many requests it has had.
func connectEndless(t *testing.T, status int, contentType, block string) (c *client.Client, requests *int) {
	t.Helper()
	requests = new(int)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		*requests++
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		for sent := 0; sent < 8<<20; sent += len(block) {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
		}
	}))
	t.Cleanup(s.Close)
	c, err := client.New(client.Options{URL: s.URL, APIKey: "k", MaxResponseBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	return c, requests
}

// Guards against a caller that runs out of memory: a response without an end was read on, and then once more.
func TestResponseBeyondTheLimitIsNotReadOn(t *testing.T) {
	for name, c := range map[string]struct {
		status      int
		contentType string
		request     client.Request
		outcome     api.Outcome
	}{
		"body":    {200, "text/plain", client.Request{Path: "/x"}, api.Unknown},
		"problem": {503, api.ProblemContentType, client.Request{Path: "/x"}, api.Unknown},
		"keys":    {200, "application/json", client.Request{Path: "/x", NonIdempotent: true}, api.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			caller, requests := connectEndless(t, c.status, c.contentType, strings.Repeat(" ", 1<<10))
			_, err := caller.Do(t.Context(), c.request)
			is.True(errors.Is(err, client.ErrTooLarge))
			var e *client.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Outcome, c.outcome)
			is.Equal(*requests, 1)
		})
	}
}

// Guards against a caller that runs out of memory: only the lines of an event were bounded, and it may have any number.
func TestEventBeyondTheLimitIsNotReadOn(t *testing.T) {
	for name, line := range map[string]string{
		"one line": strings.Repeat("x", 1<<10),
		"data":     "data: " + strings.Repeat("x", 1<<10) + "\n",
		"empty":    "data:\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			caller, requests := connectEndless(t, 200, "text/event-stream", line)
			s, err := caller.Stream(t.Context(), client.Request{Path: "/x"})
			is.NoErr(err)
			_, err = s.Next()
			is.True(errors.Is(err, client.ErrTooLarge))
			is.Equal(*requests, 1)
		})
	}
}
