package exchange

import "net/http"

// Framing is how a response states where its body ends (RFC 9112, section 6.3).
type Framing uint8

const (
	// NoResponse: there is no response whose framing is known.
	NoResponse Framing = iota
	// ByLength: the head states the length of the body, or the response has none.
	ByLength
	// ByChunks: the body ends with its last chunk.
	ByChunks
	// UntilClose: the body ends with its connection. Whether it is complete isn't stated: a sender that
	// crashes closes the connection as well.
	UntilClose
)

// String returns the framing as logs show it.
func (f Framing) String() string {
	return [...]string{NoResponse: "none", ByLength: "length", ByChunks: "chunks", UntilClose: "until_close"}[f]
}

func framingOf(response *http.Response) Framing {
	switch {
	case response.Body == http.NoBody, response.ContentLength >= 0:
		return ByLength
	case len(response.TransferEncoding) > 0:
		return ByChunks
	default:
		return UntilClose
	}
}
