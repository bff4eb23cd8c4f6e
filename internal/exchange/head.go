package exchange

import (
	"bytes"
	"fmt"
	"net/http"

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
