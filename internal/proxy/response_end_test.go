package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/exchange"
)

// The head of a response that states no end, and of one in chunks.
const (
	untilCloseHead = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: a\r\n\r\n"
	chunkedHead    = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// ending is how an upstream ends the connection of a response.
type ending bool

const (
	closes ending = false
	resets ending = true
)

// ends writes a raw response and ends the connection: with a reset once relayed is closed, or at once.
func ends(raw string, by ending, relayed <-chan struct{}) http.HandlerFunc {
	if by == resets {
		return truncatesAfter(raw, relayed)
	}
	return writesRaw(raw)
}

// A response must not look more complete to its caller than its upstream stated: with a length or a last
// chunk in place of none, or with an orderly close in place of a reset or of an end inside an event.
func TestResponseLooksNoMoreCompleteThanItsUpstreamStated(t *testing.T) {
	large := strings.Repeat("x", maxBufferedBytes+1)
	for name, c := range map[string]struct {
		route, response string
		after           string // ID of the last event that the caller has
		by              ending
		second          string // raw response of the second upstream; empty if it must receive nothing
		framing         exchange.Framing
		body            string
		broken          bool
	}{
		"body, close, idempotent": {
			route: "safe", response: untilCloseHead + "body", framing: exchange.UntilClose, body: "body",
		},
		"body, close, once": {
			route: "once", response: untilCloseHead + "body", framing: exchange.UntilClose, body: "body",
		},
		"no byte of a body, close": {
			route: "once", response: untilCloseHead, framing: exchange.UntilClose,
		},
		"failure, close": {
			route: "once", response: "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\nSigned: a\r\n\r\nsorry", framing: exchange.UntilClose, body: "sorry",
		},
		"failure that is kept, close": {
			route: "safe", response: "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\nSigned: a\r\n\r\nsorry",
			second: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", framing: exchange.UntilClose, body: "sorry",
		},
		"large body, close": {
			route: "once", response: untilCloseHead + large, framing: exchange.UntilClose, body: large,
		},
		"large body, reset": {
			route: "once", response: untilCloseHead + large, by: resets, framing: exchange.UntilClose, body: large, broken: true,
		},
		"body in chunks": {
			route: "once", response: chunkedHead + "4\r\nbody\r\n0\r\n\r\n", framing: exchange.ByLength, body: "body",
		},
		"stream, close after an event": {
			route: "stream", response: events("", "1", "2"), framing: exchange.UntilClose, body: eventLines("", "1", "2"),
		},
		"stream, close after blank lines": {
			route: "stream", response: events("\r\n\n", "1"), framing: exchange.UntilClose, body: eventLines("\r\n\n", "1"),
		},
		"stream, close inside an event": {
			route: "stream", response: events("id: 2\nda", "1"), framing: exchange.UntilClose, body: eventLines("", "1"), broken: true,
		},
		"stream, close before the blank line of an event": {
			route: "stream", response: events("id: 2\ndata: 2\n", "1"), framing: exchange.UntilClose, body: eventLines("", "1"), broken: true,
		},
		"stream, close before an event": {
			route: "stream", response: events(""), framing: exchange.ByLength, // refused by the instance
		},
		"resumable, resumed after its last event": {
			route: "resumable", after: "2", response: events(""), framing: exchange.UntilClose,
		},
		"resumable, close before an event": {
			route: "resumable", response: events(""), second: events("", "1"), framing: exchange.UntilClose, body: eventLines("", "1"),
		},
		"stream, reset inside an event": {
			route: "stream", response: events("id: 2\nda", "1"), by: resets, framing: exchange.UntilClose, body: eventLines("", "1"), broken: true,
		},
		"stream, reset after an event": {
			route: "stream", response: events("", "1"), by: resets, framing: exchange.UntilClose, body: eventLines("", "1"), broken: true,
		},
		"stream in chunks, close after an event": {
			route: "stream", response: chunkedHead + chunk(eventLines("", "1")), framing: exchange.ByChunks, body: eventLines("", "1"), broken: true,
		},
		"stream in chunks, last chunk": {
			route: "stream", response: chunkedHead + chunk(eventLines("", "1")) + "0\r\n\r\n", framing: exchange.ByChunks, body: eventLines("", "1"),
		},
		"resumable, close inside an event": {
			route: "resumable", response: events("id: 2\nda", "1"), second: events("", "2", "3"),
			framing: exchange.UntilClose, body: eventLines("", "1", "2", "3"),
		},
		"resumable, close inside the first event": {
			route: "resumable", response: untilCloseHead + "id: 1\nda", second: events("", "1", "2"),
			framing: exchange.UntilClose, body: eventLines("", "1", "2"),
		},
		"resumable, resumed in chunks": {
			route: "resumable", response: events("id: 2\nda", "1"), second: chunkedHead + chunk(eventLines("", "2")) + "0\r\n\r\n",
			framing: exchange.UntilClose, body: eventLines("", "1", "2"),
		},
		"resumable, in chunks, resumed until close": {
			route: "resumable", response: chunkedHead + chunk(eventLines("", "1")), second: events("", "2"),
			framing: exchange.ByChunks, body: eventLines("", "1", "2"), broken: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			relayed := make(chan struct{})
			r.addUpstream("a", ends(c.response, c.by, relayed))
			arrived := "a"
			if c.second != "" {
				arrived = "a b"
				r.addUpstream("b", writesRaw(c.second))
			}
			got := r.read("/"+c.route+"/x", c.after, len(c.body), relayed)
			is.Equal(got.framing, c.framing)
			is.Equal(got.body, c.body)
			is.Equal(errors.Is(got.err, exchange.ErrTruncated), c.broken)
			is.Equal(got.err == nil, !c.broken)
			is.Equal(r.arrivedIDs(), arrived)
		})
	}
}

// chunk returns the body as one chunk.
func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

// framedResponse is a response as a caller received it, with its framing.
type framedResponse struct {
	framing exchange.Framing
	body    string
	err     error // from reading the body
}

// read requests a target, after an event if it isn't empty. It closes relayed once it has received the given number of bytes of the body,
// and reads on to the end.
func (r *harness) read(target, after string, bytes int, relayed chan<- struct{}) framedResponse {
	p := exchange.NewPool(exchange.Options{Address: r.server.Listener.Addr().String(), ConnectTimeout: time.Second})
	defer p.Close()
	header := http.Header{"Id": {"1"}, "Key": {"k"}}
	if after != "" {
		header.Set("After", after)
	}
	response, err := p.Do(r.t.Context(), &exchange.Request{Method: "GET", Target: target, Host: "h.example", Header: header})
	if err != nil {
		r.t.Fatal(err)
	}
	defer response.Close()
	var body strings.Builder
	_, err = io.CopyN(&body, response, int64(bytes))
	close(relayed)
	if err == nil {
		_, err = io.Copy(&body, response)
	}
	return framedResponse{framing: response.Framing, body: body.String(), err: err}
}

// A caller of HTTP/1.0 has no other end of a body than that of its connection, so that a broken response
// must be reset.
func TestBrokenResponseIsResetForCallersOfHTTP10(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	relayed := make(chan struct{})
	r.addUpstream("a", truncatesAfter(chunkedHead+chunk(eventLines("", "1")), relayed))
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /stream/x HTTP/1.0\r\nHost: h.example\r\nId: 1\r\nKey: k\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, err = io.ReadFull(response.Body, make([]byte, len(eventLines("", "1"))))
	is.NoErr(err)
	close(relayed)
	_, err = io.ReadAll(response.Body)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// A response to HEAD states the length that GET would have, if its upstream does; another one would be wrong.
func TestResponseToHEADStatesTheUpstreamsLength(t *testing.T) {
	for stated, want := range map[string]int64{"Content-Length: 123\r\n": 123, "": -1} {
		t.Run(stated, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", writesRaw("HTTP/1.1 200 OK\r\nId: 1\r\nSigned: a\r\n"+stated+"\r\n"))
			response, err := http.DefaultClient.Do(r.request("HEAD", "/once/x", ""))
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(response.ContentLength, want)
		})
	}
}

// A response to HEAD, or with status 204 or 304, has no body, so that nothing about its end is in doubt:
// the caller's connection is kept.
func TestResponsesWithoutBodyKeepTheCallersConnection(t *testing.T) {
	for name, c := range map[string]struct{ method, status string }{
		"HEAD": {"HEAD", "200 OK"},
		"204":  {"GET", "204 No Content"},
		"304":  {"GET", "304 Not Modified"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", writesRaw("HTTP/1.1 "+c.status+"\r\nId: 1\r\nSigned: a\r\n\r\n"))
			p := exchange.NewPool(exchange.Options{Address: r.server.Listener.Addr().String(), ConnectTimeout: time.Second})
			defer p.Close()
			for n := range 2 {
				response, err := p.Do(context.Background(), &exchange.Request{Method: c.method, Target: "/once/x", Host: "h.example", Header: http.Header{"Id": {"1"}, "Key": {"k"}}})
				is.NoErr(err)
				body, err := io.ReadAll(response)
				is.NoErr(err)
				is.Equal(len(body), 0)
				is.Equal(response.Reused, n == 1)
				response.Close()
			}
		})
	}
}
