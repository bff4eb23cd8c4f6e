// Package exchange makes HTTP/1.1 exchanges with an upstream over pooled connections, one exchange
// at a time on each, and reports exactly how far a failed exchange got.
//
// The parsing is net/http's. Its Transport isn't used: it retries by its own rules, hides bytes
// that follow a response, and doesn't report how much of the request was written.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/tacktally/tacktally/internal/tcp"
)

// Errors that show how far an exchange got.
var (
	// ErrNotSent means that no byte of the request was written. It can't have run.
	ErrNotSent = errors.New("the request was not sent")
	// ErrNoResponse means that the request was written, at least in part, and the connection ended before
	// the whole head of a response had arrived. It may have run.
	ErrNoResponse = errors.New("no response arrived after the request was sent")
	// ErrInvalidResponse means that the bytes that arrived are no response to the request. It may
	// have run.
	ErrInvalidResponse = errors.New("the received bytes are no response to the request")
	// ErrTruncated means that the response ended early.
	ErrTruncated = errors.New("the response ended early")
)

// MaxHeadBytes bounds the head of a response, together with those of the interim responses before it.
const MaxHeadBytes = 64 << 10

const (
	// maxInlineBodyBytes is the body size up to which the request is written before the response is
	// read; it fits any socket buffer. A larger body is written concurrently.
	maxInlineBodyBytes = 8 << 10
	// readBufferBytes is the size of a connection's read buffer: most heads and events fit.
	readBufferBytes = 4 << 10
	// maxStrayResponses bounds the responses to other requests that are skipped on one connection.
	maxStrayResponses = 2
	// maxStrayBytes bounds the body of a skipped response.
	maxStrayBytes = 64 << 10
	// maxInterimResponses bounds the 1xx responses that are skipped.
	maxInterimResponses = 4
	// protocolPrefix begins each response.
	protocolPrefix = "HTTP/"
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the request target, written as given.
	Target string
	Host   string
	// Header must not contain Host, Content-Length or hop-by-hop headers.
	Header http.Header
	Body   []byte
	// IsResponse reports whether a response header belongs to this request; nil accepts any.
	IsResponse func(http.Header) bool
	// BeforeSend is called on an established connection, right before the first byte is written. If
	// it returns an error, nothing is sent. It may be nil.
	BeforeSend func() error
}

// Response is the head of a response. Its body is read with Read; the caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body, -1 if the head doesn't contain it.
	ContentLength int64
	// Framing is how the response states where its body ends.
	Framing Framing
	// Reused reports whether the connection had served an earlier exchange.
	Reused bool
	// Closing reports whether the upstream announces that it closes the connection after the
	// response, as an upstream that is leaving does.
	Closing bool

	ctx      context.Context // of the exchange
	conn     *conn
	response *http.Response
	detach   func() bool // detaches the connection from the context
	complete bool
}

// Read reads the body. It returns io.EOF at the end of the body, or an error that wraps
// ErrTruncated.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err != io.EOF { //nolint:errorlint // net/http returns it bare
		r.conn.recordBroken(r.ctx, err)
		if errors.Is(err, io.EOF) {
			return n, fmt.Errorf("%w: %v", ErrTruncated, err) // readers that use errors.Is would take it for the end
		}
		return n, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if err := checkFields(r.response.Trailer); err != nil {
		return n, fmt.Errorf("%w: %w in a trailer", ErrTruncated, err)
	}
	r.complete = true
	return n, io.EOF
}

// AbortAfter makes reads fail, also one that blocks, from d on until stop is called. The connection isn't kept if that
// has happened.
func (r *Response) AbortAfter(d time.Duration) (stop func()) {
	timer := time.AfterFunc(d, func() { _ = r.conn.net.SetDeadline(time.Unix(1, 0)) })
	return func() {
		if !timer.Stop() {
			r.complete = false
		}
	}
}

// Conn returns the connection on which the response arrives. It is only to be inspected.
func (r *Response) Conn() net.Conn { return r.conn.net }

// Close ends the exchange. The connection is kept if the response was read to its end and nothing
// followed it; otherwise it is closed, which signals the upstream to stop.
func (r *Response) Close() {
	detached := r.detach()
	switch {
	case !r.complete || !detached:
		r.conn.abort()
	case r.conn.reusable(r.response):
		r.conn.keep(r.Header)
	default:
		r.conn.close()
	}
}

// conn is one connection to an upstream.
type conn struct {
	net         net.Conn
	stream      net.Conn // net, for reads and writes
	source      *boundedReader
	reader      *bufio.Reader // of source
	pool        *Pool
	used        bool       // it has served an exchange
	expires     time.Time  // when idle, it isn't used from then on
	bodyWritten chan error // result of a body written concurrently; nil if it was written inline
	strays      int        // responses to other requests that arrived
}

func (c *conn) close() {
	_ = c.net.Close() // the connection is abandoned in any case
	c.pool.connClosed()
}

// abort closes the connection with a reset, so that the kernel discards unsent and unacknowledged
// bytes. Otherwise a request that is delayed on the network path would reach its upstream after it
// was given up, when the upstream may have left.
func (c *conn) abort() {
	if t, ok := c.net.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // a closed connection needs no reset
	}
	c.close()
}

// do writes the request and reads the head of its response.
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
		c.recordBroken(ctx, err)
		return nil, err
	}
	c.pool.onResponse(c.net)
	framing := framingOf(response)
	return &Response{
		ctx:           ctx,
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		Framing:       framing,
		Reused:        c.used,
		Closing:       response.Close && framing != UntilClose, // without a length or chunks net/http always sets Close
		conn:          c,
		response:      response,
		detach:        stop,
	}, nil
}

// recordBroken reports that the connection has failed with an error, unless the caller has cancelled the
// exchange or nothing was sent.
func (c *conn) recordBroken(ctx context.Context, err error) {
	if ctx.Err() == nil && !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrInvalidResponse) {
		c.pool.onBroken(c.net)
	}
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
		if r.Method == http.MethodHead {
			return nil, fmt.Errorf("%w: a response to another request, which may have a body", ErrInvalidResponse)
		}
		if err := c.skipStray(response); err != nil {
			return nil, err
		}
	}
}

// skipStray reads and discards the response to another request.
func (c *conn) skipStray(response *http.Response) error {
	c.strays++
	if c.strays > maxStrayResponses {
		return fmt.Errorf("%w: too many responses to other requests", ErrInvalidResponse)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes+1))
	switch {
	case err != nil:
		return c.parseError(fmt.Errorf("the response to another request broke off: %w", err))
	case n > maxStrayBytes:
		return fmt.Errorf("%w: a response to another request has over %d bytes", ErrInvalidResponse, maxStrayBytes)
	default:
		return checkFields(response.Trailer)
	}
}

// readHead reads the head of a final response.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.source.bound(MaxHeadBytes)
	defer c.source.unbound()
	for range maxInterimResponses {
		response, err := c.readAnyHead(method)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode >= http.StatusOK:
			return response, nil
		case response.StatusCode == http.StatusSwitchingProtocols: // no request asks for it
			return nil, fmt.Errorf("%w: status %s", ErrInvalidResponse, response.Status)
		}
	}
	return nil, fmt.Errorf("%w: too many interim responses", ErrInvalidResponse)
}

// readAnyHead reads the head of an interim or final response.
func (c *conn) readAnyHead(method string) (*http.Response, error) {
	begin, _ := c.reader.Peek(len(protocolPrefix))
	if !strings.HasPrefix(protocolPrefix, string(begin)) {
		return nil, fmt.Errorf("%w: they begin with %q", ErrInvalidResponse, begin)
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.source.startRecord(buffered)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	head := c.source.endRecord()
	if err != nil {
		return nil, c.parseError(err)
	}
	if response.ProtoMajor != 1 {
		return nil, fmt.Errorf("%w: a response of %s", ErrInvalidResponse, response.Proto)
	}
	if err := checkHead(response.StatusCode, response.Header); err != nil {
		return nil, err
	}
	if hasFoldedLine(head) {
		return nil, fmt.Errorf("%w: a line of the head begins with a blank", ErrInvalidResponse)
	}
	if !response.ProtoAtLeast(1, 1) && hasTransferEncoding(head) {
		return nil, fmt.Errorf("%w: a Transfer-Encoding in %s", ErrInvalidResponse, response.Proto)
	}
	return response, nil
}

// hasTransferEncoding reports whether a head, which a part of the body may follow, has a Transfer-Encoding. net/http drops the header
// from responses of HTTP/1.0 and takes the encoded body for the body.
func hasTransferEncoding(head []byte) bool {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	_, _ = reader.ReadLine()             // the status line
	header, _ := reader.ReadMIMEHeader() // http.ReadResponse has accepted it
	return header.Get("Transfer-Encoding") != ""
}

// parseError returns the error of an exchange whose response can't be parsed, given that of the parser, which doesn't
// tell a head that was cut from an invalid one.
func (c *conn) parseError(err error) error {
	if c.source.err != nil {
		return fmt.Errorf("%w (%v): %w", ErrNoResponse, err, c.source.err)
	}
	return fmt.Errorf("%w: %w", ErrInvalidResponse, err)
}

// write sends the request. If nothing was written the error wraps ErrNotSent.
func (c *conn) write(r *Request) error {
	head := encodeHead(r)
	c.bodyWritten = nil
	if len(r.Body) <= maxInlineBodyBytes {
		return writeError(c.stream.Write(append(head, r.Body...)))
	}
	if err := writeError(c.stream.Write(head)); err != nil {
		return err
	}
	done := make(chan error, 1)
	c.bodyWritten = done
	go func() {
		_, err := c.stream.Write(r.Body)
		done <- err
	}()
	return nil
}

func writeError(n int, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
}

// reusable reports whether the next exchange may use the connection.
func (c *conn) reusable(response *http.Response) bool {
	if response.Close || c.strays > 0 || c.reader.Buffered() > 0 {
		return false
	}
	if c.bodyWritten == nil {
		return true
	}
	select {
	case err := <-c.bodyWritten:
		return err == nil
	default: // a part of the body is not written yet
		return false
	}
}

// errHeadTooLarge means that a head exceeds MaxHeadBytes.
var errHeadTooLarge = fmt.Errorf("the head of the response has over %d bytes", MaxHeadBytes)

// boundedReader reads from a connection, only up to a bound while one is set.
type boundedReader struct {
	from    io.Reader
	bounded bool
	left    int   // bytes, if bounded
	err     error // the first one of from

	recording bool
	record    []byte // what was read between startRecord and endRecord
}

func (b *boundedReader) bound(bytes int) { b.bounded, b.left = true, bytes }

func (b *boundedReader) unbound() { b.bounded = false }

// startRecord starts to record what is read, after the bytes that were read but not consumed.
func (b *boundedReader) startRecord(unconsumed []byte) {
	b.recording, b.record = true, bytes.Clone(unconsumed)
}

// endRecord returns the record.
func (b *boundedReader) endRecord() []byte {
	record := b.record
	b.recording, b.record = false, nil
	return record
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.bounded && b.left == 0 {
		return 0, errHeadTooLarge
	}
	if b.bounded {
		p = p[:min(len(p), b.left)]
	}
	n, err := b.from.Read(p)
	if b.bounded {
		b.left -= n
	}
	if b.recording {
		b.record = append(b.record, p[:n]...)
	}
	if b.err == nil {
		b.err = err
	}
	return n, err
}

// newConnOn returns the connection that sends and receives over n.
func newConnOn(n net.Conn, p *Pool) *conn {
	stream := tcp.NewConn(n)
	source := &boundedReader{from: stream}
	return &conn{net: n, stream: stream, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), pool: p}
}
