package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// cutConn is a connection whose upstream sends one response for each request, and ends it after the last one.
type cutConn struct {
	net.Conn // nil

	mu        sync.Mutex
	arrived   []byte
	responses []string
	perRead   int   // bytes at most
	end       error // of the first read after the last response; io.EOF from then on, as after a reset
	closed    bool
}

// Write takes a whole request.
func (c *cutConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = append(c.arrived, c.responses[0]...)
	c.responses = c.responses[1:]
	return len(p), nil
}

func (c *cutConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if len(c.arrived) > 0 {
		n := copy(p[:min(len(p), c.perRead)], c.arrived)
		c.arrived = c.arrived[n:]
		return n, nil
	}
	if len(c.responses) > 0 {
		return 0, os.ErrDeadlineExceeded // nothing more before the next request
	}
	end := c.end
	c.end = io.EOF
	return 0, end
}

func (c *cutConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

func (c *cutConn) SetDeadline(time.Time) error { return nil }

// cutResponses are whole responses, to be cut at each byte.
var cutResponses = map[string]struct {
	method, raw string
	framing     Framing
	body        string
}{
	"length":          {"GET", "HTTP/1.1 200 OK\r\nSigned: a\r\nContent-Length: 12\r\n\r\nhello, world", ByLength, "hello, world"},
	"length first":    {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nKeep-Alive: timeout=9\r\nSigned: a\r\n\r\nhello, world", ByLength, "hello, world"},
	"empty":           {"GET", "HTTP/1.1 200 OK\r\nSigned: a\r\nContent-Length: 0\r\n\r\n", ByLength, ""},
	"chunks":          {"GET", "HTTP/1.1 200 OK\r\nSigned: a\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n5;name=value\r\nhello\r\n0\r\n\r\n", ByChunks, "abcdefghijklmnopqrstuvwxyzhello"},
	"trailer":         {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Last, Signed\r\n\r\n2\r\nok\r\n000;x\r\nLast: 12\r\nSigned: a\r\n\r\n", ByChunks, "ok"},
	"length, chunks":  {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", ByChunks, "hello"},
	"until close":     {"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nSigned: a\r\n\r\nhello", UntilClose, "hello"},
	"events":          {"GET", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nSigned: a\r\n\r\nid: 1\ndata: 1\n\n", UntilClose, "id: 1\ndata: 1\n\n"},
	"100":             {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", ByLength, "hello"},
	"102, 103":        {"GET", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 3\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhello", UntilClose, "hello"},
	"late, then own":  {"GET", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\notherHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello", ByLength, "hello"},
	"204":             {"GET", "HTTP/1.1 204 No Content\r\nSigned: a\r\nContent-Length: 12\r\n\r\n", ByLength, ""},
	"304":             {"GET", "HTTP/1.1 304 Not Modified\r\nEtag: \"a\"\r\nContent-Length: 1234\r\nSigned: a\r\n\r\n", ByLength, ""},
	"HEAD":            {"HEAD", "HTTP/1.1 200 OK\r\nSigned: a\r\nContent-Length: 1234\r\n\r\n", ByLength, ""},
	"HEAD, chunks":    {"HEAD", "HTTP/1.1 200 OK\r\nSigned: a\r\nTransfer-Encoding: chunked\r\n\r\n", ByLength, ""},
	"promise":         {"GET", "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 10\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", ByLength, "full"},
	"1.0, length":     {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\nSigned: a\r\n\r\nhello", ByLength, "hello"},
	"1.0":             {"GET", "HTTP/1.0 200 OK\r\nSigned: a\r\n\r\nhello", UntilClose, "hello"},
	"bare LF":         {"GET", "HTTP/1.1 200 OK\nSigned: a\nContent-Length: 5\n\nhello", ByLength, "hello"},
	"LF and CR LF":    {"GET", "HTTP/1.1 200 OK\nSigned: a\r\nContent-Length: 5\n\r\nhello", ByLength, "hello"},
	"CR LF and LF":    {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\nhello", ByLength, "hello"},
	"bare LF, chunks": {"GET", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n", ByChunks, "abcdefghijklmnopqrstuvwxyz"},
}

// finalHeadBytes returns the size of everything before the body of the response.
func finalHeadBytes(raw, body string, framing Framing) int {
	if framing != ByChunks {
		return len(raw) - len(body)
	}
	blank := "\r\n\r\n"
	if !strings.Contains(raw[:strings.IndexByte(raw, '\n')], "\r") {
		blank = "\n\n"
	}
	return strings.Index(raw, blank) + len(blank)
}

// Guards against a response that stops anywhere in its head or framing and is taken for a whole one, since a shorter
// length, another framing or a missing header follows from the part that arrived.
func TestResponseCutAtAnyByteIsNotComplete(t *testing.T) {
	for name, c := range cutResponses {
		t.Run(name, func(t *testing.T) {
			head := finalHeadBytes(c.raw, c.body, c.framing)
			for _, end := range []error{io.EOF, syscall.ECONNRESET} {
				for _, perRead := range []int{1, 1 << 20} {
					for _, kept := range []bool{false, true} {
						for at := range len(c.raw) + 1 {
							conn := &cutConn{responses: []string{c.raw[:at]}, perRead: perRead, end: end}
							r := readCut(t, conn, c.method, kept)
							ok := !r.complete && errors.Is(r.err, ErrTruncated) && !errors.Is(r.err, io.EOF) && strings.HasPrefix(c.body, r.body)
							switch {
							case at < head:
								ok = r.framing == NoResponse && errors.Is(r.err, ErrNoResponse)
							case c.framing == UntilClose && end == io.EOF:
								ok = r.complete && r.framing == UntilClose && r.body == c.raw[head:at]
							case c.framing != UntilClose && at == len(c.raw):
								ok = r.complete && r.framing == c.framing && r.body == c.body
							}
							if !ok || (at < len(c.raw) && !conn.closed) {
								t.Errorf("cut to %q by %v, %d bytes a read, kept %t: %+v, closed %t", c.raw[:at], end, perRead, kept, r, conn.closed)
							}
						}
					}
				}
			}
		})
	}
}

// cutResult is what an exchange returned.
type cutResult struct {
	framing  Framing // NoResponse without a head
	body     string
	complete bool
	err      error
}

// readCut makes an exchange on a connection, after an earlier one if it is kept.
func readCut(t *testing.T, conn *cutConn, method string, kept bool) cutResult {
	t.Helper()
	p := NewPool(Options{Dial: func(context.Context) (net.Conn, error) { return conn, nil }})
	if kept {
		conn.responses = append([]string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"}, conn.responses...)
		if body, err := exchangeOnce(p, get("1")); err != nil || body != "ok" {
			t.Fatalf("earlier exchange: %q, %v", body, err)
		}
	}
	r := get("1")
	r.Method = method
	response, err := p.Do(t.Context(), r)
	if err != nil {
		return cutResult{err: err}
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return cutResult{framing: response.Framing, body: string(body), complete: err == nil, err: err}
}
