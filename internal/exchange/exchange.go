// Package exchange makes one HTTP/1.1 exchange with an upstream at a time, on
// connections that it keeps, and says exactly how far an exchange that failed got.
//
// The parsing is net/http's. Its Transport isn't used: it sends again by its own
// rules, hides bytes that follow an answer, and doesn't tell what was written.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Errors that tell how far an exchange got.
var (
	// ErrNotSent: no byte of the request was written. It can't have run.
	ErrNotSent = errors.New("the request was not sent")
	// ErrNoResponse: the request was written, in part at least, and no answer came.
	// It may have run.
	ErrNoResponse = errors.New("no answer came after the request was sent")
	// ErrInvalidResponse: what came is no answer to the request. It may have run.
	ErrInvalidResponse = errors.New("what came is no answer to the request")
	// ErrTruncated: the answer ended early.
	ErrTruncated = errors.New("the answer ended early")
)

const (
	// inlineBody is the body size up to which the request is written before the
	// answer is read; it fits any socket buffer. A larger one is written beside.
	inlineBody = 8 << 10
	// readBuffer is the size of a connection's read buffer: most heads and events
	// fit.
	readBuffer = 4 << 10
	// maxStrays bounds the answers of other requests skipped on one connection.
	maxStrays = 2
	// maxStrayBytes bounds the body of one that is read over.
	maxStrayBytes = 64 << 10
	// maxInterim bounds the 1xx answers skipped.
	maxInterim = 4
)

// Request is what is sent.
type Request struct {
	Method string
	// Target as it stands in the request line.
	Target string
	Host   string
	// Header without Host, Content-Length and what concerns one connection only.
	Header http.Header
	Body   []byte
	// IsResponse tells whether a head answers this request; nil takes any.
	IsResponse func(http.Header) bool
	// BeforeSend is asked once a connection is there, right before the first byte is written: an
	// error of it means that nothing is sent. Nil always may.
	BeforeSend func() error
}

// Response is the head of an answer, with the body to be read.
type Response struct {
	Status int
	Header http.Header
	// ContentLength of the body, -1 where the head doesn't say.
	ContentLength int64
	// Reused tells that the connection had served before.
	Reused bool
	// Closing tells that the upstream says it closes the connection after the answer, as one that
	// leaves does.
	Closing bool

	conn     *conn
	response *http.Response
	stop     func() bool // detaches the connection from the context
	ended    bool
}

// Read reads the body. It returns io.EOF at its end, or an error that wraps ErrCut.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err != io.EOF { //nolint:errorlint // net/http returns it bare
		return n, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	a.ended = true
	return n, io.EOF
}

// Close ends the exchange. The connection is kept if the answer was read to its end
// and nothing else came; otherwise it is closed, which tells the upstream to stop.
func (a *Response) Close() {
	detached := a.stop()
	switch {
	case !a.ended || !detached:
		a.conn.abort()
	case a.conn.reusable(a.response):
		a.conn.keep(a.Header)
	default:
		a.conn.close()
	}
}

// conn is one connection to an upstream.
type conn struct {
	net     net.Conn
	reader  *bufio.Reader
	pool    *Pool
	used    bool       // it has served an exchange
	expires time.Time  // idle ones aren't used from then on
	written chan error // of a body written beside; nil when written inline
	strays  int        // answers of other requests that came
}

func (c *conn) close() {
	_ = c.net.Close() // it is given up whatever it says
	c.pool.closed()
}

// abort closes the connection with a reset, so that the kernel discards what hasn't arrived.
// Otherwise a request that a path has held up would reach its upstream, which may have left
// meanwhile, after it was given up.
func (c *conn) abort() {
	if t, ok := c.net.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // one that is gone already needs none
	}
	c.close()
}

// do writes the request and reads the head of its answer.
func (c *conn) do(ctx context.Context, r *Request) (*Response, error) {
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			c.close()
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	response, err := c.roundTrip(r)
	if err != nil {
		stop()
		c.abort()
		return nil, err
	}
	return &Response{
		Status:   response.StatusCode,
		Header:   response.Header,
		ContentLength:   response.ContentLength,
		Reused:   c.used,
		Closing:  saysClose(response),
		conn:     c,
		response: response,
		stop:     stop,
	}, nil
}

func (c *conn) roundTrip(r *Request) (*http.Response, error) {
	if err := c.write(r); err != nil {
		return nil, err
	}
	for {
		response, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if r.IsResponse == nil || r.IsResponse(response.Header) {
			return response, nil
		}
		if err := c.skip(response); err != nil {
			return nil, err
		}
	}
}

// skip reads over the answer of another request.
func (c *conn) skip(response *http.Response) error {
	c.strays++
	if c.strays > maxStrays {
		return fmt.Errorf("%w: answers of other requests came", ErrInvalidResponse)
	}
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
	if err != nil {
		return fmt.Errorf("%w: the answer of another request broke off: %w", ErrInvalidResponse, err)
	}
	return nil
}

func (c *conn) readHead(method string) (*http.Response, error) {
	for range maxInterim {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, fmt.Errorf("%w: too many interim answers", ErrInvalidResponse)
}

// write sends the request. Where nothing was written the error wraps ErrNotSent.
func (c *conn) write(r *Request) error {
	head := encodeHead(r)
	c.written = nil
	if len(r.Body) <= inlineBody {
		return sent(c.net.Write(append(head, r.Body...)))
	}
	if err := sent(c.net.Write(head)); err != nil {
		return err
	}
	done := make(chan error, 1)
	c.written = done
	go func() {
		_, err := c.net.Write(r.Body)
		done <- err
	}()
	return nil
}

func sent(n int, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
}

// saysClose tells whether an answer says that its connection is closed. That net/http tells so of
// one without a length, too, says nothing.
func saysClose(response *http.Response) bool {
	hasEnd := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return response.Close && hasEnd
}

// reusable tells whether the next exchange may use the connection.
func (c *conn) reusable(response *http.Response) bool {
	if response.Close || c.strays > 0 || c.reader.Buffered() > 0 {
		return false
	}
	if c.written == nil {
		return true
	}
	select {
	case err := <-c.written:
		return err == nil
	default: // the rest of the body is still due
		return false
	}
}

func newReader(n net.Conn) *bufio.Reader { return bufio.NewReaderSize(n, readBuffer) }
