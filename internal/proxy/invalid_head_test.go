package proxy

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a head that isn't one and reaches the caller as the upstream's response: with a status that doesn't exist, or
// with a line whose field name holds a blank, which changes where the body ends.
func TestInvalidHeadsAreNotRelayed(t *testing.T) {
	const signed = "Id: 1\r\nSigned: a\r\n"
	for name, raw := range map[string]string{
		"status 000":                     "HTTP/1.1 000 None\r\n" + signed + "Content-Length: 2\r\n\r\nok",
		"status 600":                     "HTTP/1.1 600 Odd\r\n" + signed + "Content-Length: 2\r\n\r\nok",
		"status 999":                     "HTTP/1.1 999 Odd\r\n" + signed + "Content-Length: 2\r\n\r\nok",
		"blank in a name":                "HTTP/1.1 200 OK\r\n" + signed + "Na me: value\r\nContent-Length: 2\r\n\r\nok",
		"blank in the name of a length":  "HTTP/1.1 200 OK\r\n" + signed + "Content-Length : 2\r\n\r\nok, and more",
		"blank in an encoding's name":    "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank before a name":            "HTTP/1.1 200 OK\r\n" + signed + " Content-Length: 2\r\n\r\nok",
		"control byte in a name":         "HTTP/1.1 200 OK\r\n" + signed + "Na\x02me: value\r\nContent-Length: 2\r\n\r\nok",
		"blank in an interim response":   "HTTP/1.1 103 Early Hints\r\nLi nk: a\r\n\r\nHTTP/1.1 200 OK\r\n" + signed + "Content-Length: 2\r\n\r\nok",
		"blank in a stray response":      "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length : 2\r\n\r\nokHTTP/1.1 200 OK\r\n" + signed + "Content-Length: 2\r\n\r\nok",
		"blank in trailers":              "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nLa st: 1\r\n\r\n",
		"blank in the head of a failure": "HTTP/1.1 500 Internal Server Error\r\n" + signed + "Na me: value\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			for _, route := range []string{"once", "stream"} {
				is := is.New(t)
				r := newHarness(t)
				r.publish(0)
				r.addUpstream("a", writesRaw(raw))
				r.addUpstream("b", respondsWith("b"))
				got := r.get(route)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(got.header.Get("Outcome"), "unknown")
				is.Equal(r.arrivedIDs(), "a")
			}
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", writesRaw(raw))
			r.addUpstream("b", respondsWith("b"))
			got := r.get("safe")
			is.NoErr(got.err)
			is.Equal(got.body, "b")
			is.Equal(r.arrivedIDs(), "a b")
		})
	}
}
