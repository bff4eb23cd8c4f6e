package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/request"
)

// rawUpstream handles each connection with a function and counts the requests read.
type rawUpstream struct {
	listener net.Listener
	read     atomic.Int32
}

func listenRaw(t *testing.T, serve func(u *rawUpstream, n int, c net.Conn, r *bufio.Reader)) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u := &rawUpstream{listener: l}
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(u, n, c, bufio.NewReader(c))
			}()
		}
	}()
	return u
}

// readRequest reads one whole request and counts it.
func (u *rawUpstream) readRequest(r *bufio.Reader) bool {
	h, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, h.Body)
	u.read.Add(1)
	return true
}

func allow() error { return nil }

func service(method string, nonIdempotent bool) *request.Request {
	return &request.Request{ID: "req-1", Kind: request.Service, Service: "s", Method: method, Path: "/release", Body: []byte("x"), NonIdempotent: nonIdempotent}
}

func model(stream bool) *request.Request {
	return &request.Request{ID: "req-1", Kind: request.Chat, Model: "m", Stream: stream, Body: []byte(`{}`)}
}

func do(t *testing.T, c *Client, address string, r *request.Request, beforeWrite func() error) (Result, *answer.Buffer) {
	t.Helper()
	b := answer.New(true)
	res := c.Do(t.Context(), Call{Address: address, Request: r, BeforeWrite: beforeWrite, OnFirstOutput: func() {}}, b)
	return res, b
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A non-idempotent request is written at most once, whatever the upstream does and whichever method
// the request has.
func TestNonIdempotentRequestIsWrittenOnce(t *testing.T) {
	closeAfterRequest := func(u *rawUpstream, _ int, _ net.Conn, r *bufio.Reader) { u.readRequest(r) }
	for name, c := range map[string]struct {
		method string
		serve  func(u *rawUpstream, n int, c net.Conn, r *bufio.Reader)
		status Status
	}{
		"closed after the request": {"POST", closeAfterRequest, Lost},
		"GET closed after request": {"GET", closeAfterRequest, Lost},
		"reset": {"POST", func(u *rawUpstream, _ int, c net.Conn, r *bufio.Reader) {
			u.readRequest(r)
			_ = c.(*net.TCPConn).SetLinger(0)
		}, Lost},
		"redirected to itself": {"POST", func(u *rawUpstream, _ int, c net.Conn, r *bufio.Reader) {
			u.readRequest(r)
			fmt.Fprintf(c, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /release\r\nContent-Length: 0\r\n\r\n")
		}, Done},
		"asked to retry later": {"POST", func(u *rawUpstream, _ int, c net.Conn, r *bufio.Reader) {
			u.readRequest(r)
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n")
		}, Done},
		"misdirected": {"POST", func(u *rawUpstream, _ int, c net.Conn, r *bufio.Reader) {
			u.readRequest(r)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		}, Done},
		"truncated response": {"POST", func(u *rawUpstream, _ int, c net.Conn, r *bufio.Reader) {
			u.readRequest(r)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nok")
		}, Truncated},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := listenRaw(t, c.serve)
			client := NewClient(time.Second)
			defer client.Close()
			// An idempotent call first, so that an idle connection exists that could be reused.
			_, _ = do(t, client, u.listener.Addr().String(), service("POST", false), allow)
			before := u.read.Load()
			res, _ := do(t, client, u.listener.Addr().String(), service(c.method, true), allow)
			is.Equal(res.Status, c.status)
			is.Equal(u.read.Load()-before, int32(1)) // written once
		})
	}
}

// The upstream closes an idle connection while the next request is written. In this case net/http
// retries requests that it considers idempotent.
func TestNonIdempotentRequestDoesNotReuseAConnection(t *testing.T) {
	is := is.New(t)
	u := listenRaw(t, func(u *rawUpstream, n int, c net.Conn, r *bufio.Reader) {
		if u.readRequest(r) && n == 0 {
			_, _ = io.WriteString(c, okResponse)
			u.readRequest(r) // reads a second request on the connection and closes
		}
	})
	client := NewClient(time.Second)
	defer client.Close()
	address := u.listener.Addr().String()
	res, _ := do(t, client, address, service("POST", false), allow)
	is.Equal(res.Status, Done)
	res, _ = do(t, client, address, service("POST", true), allow)
	is.Equal(res.Status, Lost)
	is.Equal(u.read.Load(), int32(2))
}

func TestBeforeWriteRunsBeforeTheFirstByte(t *testing.T) {
	is := is.New(t)
	u := listenRaw(t, func(u *rawUpstream, _ int, _ net.Conn, r *bufio.Reader) { u.readRequest(r) })
	stale := errors.New("stale")
	client := NewClient(time.Second)
	defer client.Close()
	for _, nonIdempotent := range []bool{true, false} {
		res, _ := do(t, client, u.listener.Addr().String(), service("POST", nonIdempotent), func() error { return stale })
		is.Equal(res.Status, NotWritten)
		is.True(errors.Is(res.Err, stale))
	}
	is.Equal(u.read.Load(), int32(0))
}

func TestRefusedConnectionCountsAsNotWritten(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l.Close()
	for _, nonIdempotent := range []bool{true, false} {
		res, _ := do(t, NewClient(time.Second), l.Addr().String(), service("POST", nonIdempotent), allow)
		is.Equal(res.Status, NotWritten)
	}
}

// Valid and invalid responses of engines.
func TestEngineResponses(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nConnection: close\r\n%s\r\n%s"
	for name, c := range map[string]struct {
		stream   bool
		response string
		status   Status
		output   int
	}{
		"whole":              {false, fmt.Sprintf(head, "application/json", "", `{"usage":{"completion_tokens":3}}`), Done, 3},
		"stream":             {true, fmt.Sprintf(head, "text/event-stream", "", "data: a\n\ndata: b\n\ndata: [DONE]\n\n"), Done, 2},
		"broken JSON":        {false, fmt.Sprintf(head, "application/json", "", `{"usage":`), InvalidResponse, 0},
		"not JSON":           {false, fmt.Sprintf(head, "text/html", "", `<html>`), InvalidResponse, 0},
		"truncated JSON":     {false, fmt.Sprintf(head, "application/json", "Content-Length: 50\r\n", `{}`), Lost, 0},
		"stream without end": {true, fmt.Sprintf(head, "text/event-stream", "", "data: a\n\n"), Truncated, 1},
		"half an event":      {true, fmt.Sprintf(head, "text/event-stream", "", "data: a\n\ndata: b"), Truncated, 1},
		"comments and ids":   {true, fmt.Sprintf(head, "text/event-stream", "", ": hello\n\nid: 7\nevent: x\ndata:a\n\n: still here\n\ndata: b\r\n\r\ndata: [DONE]\n\n"), Done, 2},
		"not a field":        {true, fmt.Sprintf(head, "text/event-stream", "", "hello\n\n"), InvalidResponse, 0},
		"busy":               {true, "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", Busy, 0},
		"not HTTP":           {true, "SSH-2.0-OpenSSH\r\n", Lost, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := listenRaw(t, func(u *rawUpstream, _ int, conn net.Conn, r *bufio.Reader) {
				if u.readRequest(r) {
					_, _ = io.WriteString(conn, c.response)
				}
			})
			client := NewClient(time.Second)
			defer client.Close()
			res, _ := do(t, client, u.listener.Addr().String(), model(c.stream), allow)
			is.Equal(res.Status, c.status)
			is.Equal(res.OutputTokens, c.output)
		})
	}
}

// Guards against an upstream that switches protocols, which nobody asked for: its caller got the head, and whatever
// followed, as a whole response.
func TestSwitchOfProtocolsIsNoResponse(t *testing.T) {
	for name, raw := range map[string]string{
		"and closes":     "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"and goes on":    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\nConnection: Upgrade\r\n\r\nhello",
		"and responds":   "HTTP/1.1 101 Switching Protocols\r\n\r\n" + okResponse,
		"no such status": "HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := listenRaw(t, func(u *rawUpstream, _ int, conn net.Conn, r *bufio.Reader) {
				if u.readRequest(r) {
					_, _ = io.WriteString(conn, raw)
				}
			})
			client := NewClient(time.Second)
			defer client.Close()
			result, b := do(t, client, u.listener.Addr().String(), service("POST", true), allow)
			if result.Status != InvalidResponse || b.Started() {
				t.Errorf("%+v, head passed on: %t", result, b.Started())
			}
		})
	}
}

// A path reaches the service as the caller wrote it, and never names another host.
func TestPathsAreForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	var seen []string
	u := listenRaw(t, func(u *rawUpstream, _ int, c net.Conn, r *bufio.Reader) {
		h, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		seen = append(seen, h.Method+" "+h.RequestURI)
		_, _ = io.WriteString(c, okResponse)
	})
	client := NewClient(time.Second)
	for _, c := range []struct{ method, path, raw, query, want string }{
		{"GET", "/a b", "/a%20b", "x=1&y=%26", "GET /a%20b?x=1&y=%26"},
		{"POST", "/a?b", "/a%3Fb", "", "POST /a%3Fb"},
		{"PUT", "/a/b", "/a%2Fb", "", "PUT /a%2Fb"},
		{"DELETE", "//example.org/x", "//example.org/x", "", "DELETE //example.org/x"},
	} {
		r := service(c.method, true)
		r.Path, r.RawPath, r.Query, r.Body = c.path, c.raw, c.query, nil
		res, _ := do(t, client, u.listener.Addr().String(), r, allow)
		is.Equal(res.Status, Done)
		is.Equal(seen[len(seen)-1], c.want)
	}
}

func TestResumeTokensAreDecodedAndChecked(t *testing.T) {
	is := is.New(t)
	token := ResumeToken{Upstream: "10.0.0.9:9002", StreamID: "abc-1", Events: 7}
	decoded, err := ParseResumeToken(token.String())
	is.NoErr(err)
	is.Equal(decoded, token)
	for _, bad := range []ResumeToken{
		{Upstream: "example.org:80", StreamID: "a"}, {Upstream: "10.0.0.9:1", StreamID: "../x"},
		{Upstream: "10.0.0.9:1", StreamID: "a", Events: -1}, {},
	} {
		_, err := ParseResumeToken(bad.String())
		is.Equal(err, ErrBadResumeToken)
	}
	got, ok := EventToken([]byte("id: " + token.String() + "\ndata: x\n\n"))
	is.True(ok)
	is.Equal(got, token)
}

func FuzzParseResumeToken(f *testing.F) {
	f.Add(ResumeToken{Upstream: "10.0.0.9:9002", StreamID: "abc", Events: 7}.String())
	f.Fuzz(func(t *testing.T, text string) {
		if token, err := ParseResumeToken(text); err == nil && !isValidStreamID(token.StreamID) {
			t.Error("accepted a token with an invalid stream ID")
		}
	})
}

// Guards against a stream that is ended by one of its events, or by a part of one, since that contains the text of
// the last event.
func TestOnlyTheLastEventEndsAStream(t *testing.T) {
	for name, c := range map[string]struct {
		events string
		status Status
		output int
	}{
		"the last event":              {"data: [DONE]\n\n", Done, 1},
		"without a space":             {"data:[DONE]\n\n", Done, 1},
		"with CR LF":                  {"data: [DONE]\r\n\r\n", Done, 1},
		"after a comment":             {": so far\ndata: [DONE]\n\n", Done, 1},
		"with a name":                 {"event: end\ndata: [DONE]\n\n", Done, 1},
		"in the text of an event":     {`data: {"text":"ends with data: [DONE]"}` + "\n\ndata: b\n\ndata: [DONE]\n\n", Done, 3},
		"begins the text of an event": {"data: [DONE] and more\n\ndata: b\n\ndata: [DONE]\n\n", Done, 3},
		"first line of an event":      {"data: [DONE]\ndata: more\n\ndata: [DONE]\n\n", Done, 2},
		"last line of an event":       {"data: more\ndata: [DONE]\n\ndata: [DONE]\n\n", Done, 2},
		"in a comment":                {": data: [DONE]\ndata: b\n\ndata: [DONE]\n\n", Done, 2},
		"in a comment alone":          {": data: [DONE]\n\ndata: b\n\ndata: [DONE]\n\n", Done, 2},
		"in the name of an event":     {"event: data: [DONE]\ndata: b\n\ndata: [DONE]\n\n", Done, 2},
		"with another space":          {"data:  [DONE]\n\n", Truncated, 2},
		"inside an event":             {"data: b\n\ndata: [DONE]", Truncated, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := listenRaw(t, func(u *rawUpstream, _ int, conn net.Conn, r *bufio.Reader) {
				if u.readRequest(r) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: a\n\n"+c.events)
				}
			})
			client := NewClient(time.Second)
			defer client.Close()
			res, _ := do(t, client, u.listener.Addr().String(), model(true), allow)
			is.Equal(res.Status, c.status)
			is.Equal(res.OutputTokens, c.output)
			is.Equal(res.Position.Events, c.output)
		})
	}
}

// Guards against a caller that has the ID of an event and not its data: blank lines that an engine sends before
// an event must not separate the two.
func TestIDOfAnEventIsNotSeparatedFromItsData(t *testing.T) {
	is := is.New(t)
	u := listenRaw(t, func(u *rawUpstream, _ int, conn net.Conn, r *bufio.Reader) {
		if u.readRequest(r) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEngine-Stream-Id: s\r\nConnection: close\r\n\r\n"+
				"data: a\n\n\ndata: b\n\n\r\n\r\nevent: x\r\ndata: c\r\n\r\n\ndata: [DONE]\n\n")
		}
	})
	client := NewClient(time.Second)
	defer client.Close()
	res, b := do(t, client, u.listener.Addr().String(), model(true), allow)
	is.Equal(res.Status, Done)
	is.Equal(res.Position.Events, 3)
	b.Finish(answer.End{})
	reader, chunks := b.Reader(), 0
	for {
		event, err := reader.Next(t.Context())
		is.NoErr(err)
		if event.End != nil {
			break
		}
		if event.Chunk == nil {
			continue
		}
		chunks++
		lines := strings.Split(strings.ReplaceAll(string(event.Chunk), "\r", ""), "\n")
		is.True(len(lines) > 2 && !slices.Contains(lines[:len(lines)-2], "")) // one event, ended by the only blank line
	}
	is.Equal(chunks, 4)
}

// Guards against an ID that a caller can't resume with, and by which an instance doesn't know what the caller has: a
// stream whose engine gives it an ID that no token may have gets none.
func TestStreamWithAnInvalidIDCannotBeResumed(t *testing.T) {
	for _, id := range []string{"a.b", "a/b", "a b", "a?b", strings.Repeat("a", 129)} {
		is := is.New(t)
		u := listenRaw(t, func(u *rawUpstream, _ int, conn net.Conn, r *bufio.Reader) {
			if u.readRequest(r) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEngine-Stream-Id: "+id+"\r\nConnection: close\r\n\r\ndata: a\n\n")
			}
		})
		client := NewClient(time.Second)
		res, b := do(t, client, u.listener.Addr().String(), model(true), allow)
		client.Close()
		is.Equal(res.Status, Truncated)
		is.Equal(res.Position.StreamID, "")
		is.Equal(b.Written(), len("data: a\n\n"))
	}
}
