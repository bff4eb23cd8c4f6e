package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the greatest status code that has a meaning (RFC 9110, section 15).
const maxStatus = 599

// checkHead returns an error if a head that net/http has parsed isn't one of RFC 9112. Net/http takes any number of three
// digits for a status, and lets the names of header fields hold blanks: a Content-Length or Transfer-Encoding with a blank in
// its name is another field to it, so that the body ends elsewhere.
func checkHead(status int, header http.Header) error {
	if status < http.StatusContinue || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrInvalidResponse, status)
	}
	return checkFields(header)
}

// checkFields returns an error if a field of a header, or of the trailers, has an invalid name or value.
func checkFields(header http.Header) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: a field is named %q", ErrInvalidResponse, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: the field %s is %q", ErrInvalidResponse, name, value)
			}
		}
	}
	return nil
}

// hasFoldedLine reports whether a line of a head, which a part of the body may follow, begins with a blank. Net/http takes it for
// a part of the value before, as HTTP/1.0 did; it may as well be a field whose name is damaged.
func hasFoldedLine(head []byte) bool {
	for line := range bytes.Lines(head) {
		switch {
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return false
		case line[0] == ' ', line[0] == '\t':
			return true
		}
	}
	return false
}

// Strict returns a transport that fails with ErrInvalidResponse where next accepts a response that isn't one of RFC 9112: see
// checkHead. Reading a body to its end fails so if its trailers are invalid.
func Strict(next http.RoundTripper) *StrictTransport { return &StrictTransport{next: next} }

// StrictTransport is a transport that Strict has returned.
type StrictTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *StrictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r.WithContext(checkInterim(r.Context())))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close() // not read
		return nil, err
	}
	if len(response.TransferEncoding) > 0 { // otherwise there are no trailers, and a switch of protocols needs its own body
		response.Body = &strictBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// checkInterim returns a context in which interim responses are checked.
func checkInterim(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error { return checkHead(status, http.Header(header)) },
	})
}

// CloseIdleConnections closes the idle connections of the transport below.
func (t *StrictTransport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// strictBody checks the trailers at the end of a body.
type strictBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *strictBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := checkFields(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
