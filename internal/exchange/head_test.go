package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"
)

// invalidFields are header lines that no response has.
var invalidFields = map[string]string{
	"blank before the colon of a length":    "Content-Length : 2",
	"blank before the colon of an encoding": "Transfer-Encoding : chunked",
	"blank in the name of a length":         "Content Length: 2",
	"blank before the colon":                "Name : value",
	"tab before the colon":                  "Name\t: value",
	"tab in a name":                         "Na\tme: value",
	"control byte in a name":                "Na\x01me: value",
	"NUL in a name":                         "Na\x00me: value",
	"DEL in a name":                         "Na\x7fme: value",
	"byte above ASCII in a name":            "Na\x80me: value",
	"bracket in a name":                     "Na(me: value",
	"no name":                               ": value",
	"no colon":                              "Name",
	"control byte in a value":               "Name: va\x01lue",
	"NUL in a value":                        "Name: va\x00lue",
	"DEL in a value":                        "Name: va\x7flue",
}

// exchangeRaw makes an exchange with an upstream that sends raw bytes and closes the connection.
func exchangeRaw(t *testing.T, raw string) (string, error) {
	t.Helper()
	p := newPool(server(t, func(c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		_, _ = io.WriteString(c, raw)
	}))
	defer p.Close()
	return exchangeOnce(p, get("1"))
}

// Guards against a head that isn't one, which reaches the caller with the line in question or with a body that isn't the
// upstream's.
func TestInvalidHeadsAreNoResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	heads := map[string]string{}
	for name, line := range invalidFields {
		heads[name] = "HTTP/1.1 200 OK\r\nFirst: 1\r\n" + line + "\r\n\r\nok"
		heads[name+", in an interim response"] = "HTTP/1.1 103 Early Hints\r\nFirst: 1\r\n" + line + "\r\n\r\n" + ok
		heads[name+", in a response to another request"] = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n" + line + "\r\n\r\n" + ok
		heads[name+", in trailers"] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nFirst: 1\r\n" + line + "\r\n\r\n"
		heads[name+", in trailers of a response to another request"] = "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nFirst: 1\r\n" + line + "\r\n\r\n" + ok
	}
	for _, status := range []string{"000", "001", "099", "600", "999", "0", "20", "2000", "-20", "+20", "2x0", "\x01\x0200"} {
		heads["status "+strconv.Quote(status)] = "HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok"
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/2.7", "HTTP/3.0"} {
		heads["version "+version] = version + " 200 OK\r\nContent-Length: 2\r\n\r\nok"
	}
	for name, line := range map[string]string{"blank": " Content-Length: 2", "blanks": "  b", "tab": "\tContent-Length: 2", "blank and no name": " : value"} {
		heads["line after a "+name] = "HTTP/1.1 200 OK\r\nFirst: 1\r\n" + line + "\r\n\r\nok"
		heads["first line after a "+name] = "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nok"
		heads["line after a "+name+", late"] = "HTTP/1.1 200 OK\r\nFirst: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n" + line + "\r\n\r\nok"
		heads["line after a "+name+", in an interim response"] = "HTTP/1.1 103 Early Hints\r\nFirst: 1\r\n" + line + "\r\n\r\n" + ok
		heads["line after a "+name+", in a response to another request"] = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n" + line + "\r\n\r\n" + ok
	}
	for name, raw := range heads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := exchangeRaw(t, raw)
			is.True(errors.Is(err, ErrInvalidResponse) || errors.Is(err, ErrTruncated))
			is.True(!errors.Is(err, io.EOF))
		})
	}
}

// Guards against a head with a folded line, cut anywhere, that is taken for a response.
func TestFoldedHeadCutAtAnyByteIsNoResponse(t *testing.T) {
	const raw = "HTTP/1.1 200 OK\r\nName: a\r\n  b\r\n\tc\r\nSigned: a\r\n d\r\nContent-Length: 5\r\n\r\nhello"
	for at := range len(raw) + 1 {
		for _, perRead := range []int{1, 1 << 20} {
			r := readCut(t, &cutConn{responses: []string{raw[:at]}, perRead: perRead, end: io.EOF}, http.MethodGet, false)
			if r.framing != NoResponse || !(errors.Is(r.err, ErrNoResponse) || errors.Is(r.err, ErrInvalidResponse)) {
				t.Errorf("cut to %q, %d bytes a read: %+v", raw[:at], perRead, r)
			}
		}
	}
}

// Heads that are unusual and valid are still accepted.
func TestUnusualHeadsAreAccepted(t *testing.T) {
	for name, head := range map[string]string{
		"no reason":                      "HTTP/1.1 200\r\nContent-Length: 2\r\n",
		"empty value":                    "HTTP/1.1 200 OK\r\nName:\r\nContent-Length: 2\r\n",
		"blanks around a value":          "HTTP/1.1 200 OK\r\nContent-Length: \t 2 \t\r\n",
		"no blank after a colon":         "HTTP/1.1 200 OK\r\nContent-Length:2\r\n",
		"all characters a name may have": "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 2\r\n",
		"bytes above ASCII in a value":   "HTTP/1.1 200 OK\r\nName: caf\xe9\r\nContent-Length: 2\r\n",
		"status 599":                     "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n",
		"interim response with a length": "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
		"version 1.2":                    "HTTP/1.2 200 OK\r\nContent-Length: 2\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := exchangeRaw(t, head+"\r\nok")
			is.NoErr(err)
			is.Equal(body, "ok")
		})
	}
}

// Guards against a transport of net/http that accepts such heads.
func TestStrictTransportFailsOnInvalidHeads(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	heads := map[string]string{
		"status 000": "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok",
		"status 099": "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok",
		"status 600": "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok",
	}
	for name, line := range invalidFields {
		heads[name] = "HTTP/1.1 200 OK\r\nFirst: 1\r\n" + line + "\r\n\r\nok"
		heads[name+", in an interim response"] = "HTTP/1.1 103 Early Hints\r\nFirst: 1\r\n" + line + "\r\n\r\n" + ok
		heads[name+", in trailers"] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nFirst: 1\r\n" + line + "\r\n\r\n"
	}
	for name, raw := range heads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
				readRequest(r)
				_, _ = io.WriteString(c, raw)
			})
			client := &http.Client{Transport: Strict(&http.Transport{DisableKeepAlives: true})}
			response, err := client.Get("http://" + address)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			is.True(err != nil)
		})
	}
}

// A strict transport passes on what it doesn't refuse.
func TestStrictTransportPassesResponsesOn(t *testing.T) {
	is := is.New(t)
	address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Last\r\n\r\n2\r\nok\r\n0\r\nLast: 1\r\n\r\n")
	})
	client := &http.Client{Transport: Strict(&http.Transport{DisableKeepAlives: true})}
	response, err := client.Get("http://" + address)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "ok")
	is.Equal(response.Trailer.Get("Last"), "1")
}

// parsedHead is a final head as RFC 9112 defines it, of which bare line feeds and superfluous blanks in the status line are
// tolerated.
type parsedHead struct {
	status  int
	framing Framing
	length  int64
}

// parseHead parses the final head among the bytes of a response; false if they have none.
func parseHead(raw, method string) (parsedHead, bool) {
	for {
		status, fields, rest, ok := cutHead(raw)
		if !ok {
			return parsedHead{}, false
		}
		if status >= 200 {
			return frame(status, fields, method)
		}
		raw = rest
	}
}

// cutHead parses the first head of raw. It returns the values of each field, by its name in lower case, and what follows.
func cutHead(raw string) (status int, fields map[string][]string, rest string, ok bool) {
	line, rest, ok := cutLine(raw)
	version, after, found := strings.Cut(line, " ")
	code, _, _ := strings.Cut(strings.TrimLeft(after, " "), " ")
	status, err := strconv.Atoi(code)
	if !ok || !found || !strings.HasPrefix(version, "HTTP/1.") || len(version) != len("HTTP/1.1") || len(code) != 3 || err != nil || status < 100 || status > 599 {
		return 0, nil, "", false
	}
	fields = map[string][]string{}
	for {
		if line, rest, ok = cutLine(rest); !ok {
			return 0, nil, "", false
		}
		name, value, found := strings.Cut(line, ":")
		name = strings.ToLower(name)
		switch {
		case line == "":
			return status, fields, rest, true
		case !found || !httpguts.ValidHeaderFieldName(name):
			return 0, nil, "", false
		default:
			fields[name] = append(fields[name], strings.Trim(value, " \t"))
		}
	}
}

// cutLine cuts the first line of raw, without its end.
func cutLine(raw string) (line, rest string, ok bool) {
	line, rest, ok = strings.Cut(raw, "\n")
	return strings.TrimSuffix(line, "\r"), rest, ok
}

// frame returns how a response is framed (RFC 9112, section 6.3).
func frame(status int, fields map[string][]string, method string) (parsedHead, bool) {
	encodings, lengths := fields["transfer-encoding"], fields["content-length"]
	switch {
	case method == http.MethodHead, status == http.StatusNoContent, status == http.StatusNotModified:
		return parsedHead{status, ByLength, -1}, true // whatever length is stated
	case len(encodings) > 0:
		return parsedHead{status, ByChunks, -1}, len(encodings) == 1 && strings.EqualFold(encodings[0], "chunked")
	case len(lengths) == 0:
		return parsedHead{status, UntilClose, -1}, true
	}
	for _, l := range lengths {
		if strings.Trim(l, " \t") != strings.Trim(lengths[0], " \t") {
			return parsedHead{}, false
		}
	}
	length, err := strconv.ParseUint(strings.Trim(lengths[0], " \t"), 10, 63)
	return parsedHead{status, ByLength, int64(length)}, err == nil
}

// Guards against any head that is accepted and isn't one, or whose body is taken to end elsewhere.
func FuzzAcceptedHeadsAreThoseOfTheProtocol(f *testing.F) {
	for _, c := range cutResponses {
		f.Add(c.raw, c.method == http.MethodHead)
	}
	for _, line := range invalidFields {
		f.Add("HTTP/1.1 200 OK\r\nFirst: 1\r\n"+line+"\r\n\r\nok", false)
		f.Add("HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n\r\nok", false)
	}
	for _, head := range []string{
		"HTTP/1.1 000 None\r\n", "HTTP/1.1 099 Odd\r\n", "HTTP/1.1 600 Odd\r\n", "HTTP/0.9 200 OK\r\n", "HTTP/1.2 200 OK\r\n", "HTTP/2.7 200 OK\r\n",
		"HTTP/1.1 200 O\x01K\r\n", "HTTP/1.1  200 OK\r\n", "HTTP/1.1 200\r\n", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n", "HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 2\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		f.Add(head+"\r\nok", false)
	}
	f.Fuzz(func(t *testing.T, raw string, isHead bool) {
		method := map[bool]string{false: http.MethodGet, true: http.MethodHead}[isHead]
		p := NewPool(Options{Dial: nil, Address: "127.0.0.1:1"})
		c := newConnOn(&cutConn{responses: []string{raw}, perRead: len(raw) + 1, end: io.EOF}, p)
		response, err := c.do(t.Context(), &Request{Method: method, Target: "/x", Host: "h.example"})
		if err != nil {
			return
		}
		defer response.Close()
		want, ok := parseHead(raw, method)
		if !ok {
			t.Fatalf("accepted %q: status %d, %v", raw, response.Status, response.Header)
		}
		if response.Status != want.status || response.Framing != want.framing {
			t.Errorf("%q: status %d and framing %s, want %d and %s", raw, response.Status, response.Framing, want.status, want.framing)
		}
		if want.length >= 0 && response.ContentLength != want.length {
			t.Errorf("%q: length %d, want %d", raw, response.ContentLength, want.length)
		}
		for name, values := range response.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("%q: a field is named %q", raw, name)
			}
			for _, value := range values {
				if !httpguts.ValidHeaderFieldValue(value) {
					t.Errorf("%q: the field %s is %q", raw, name, value)
				}
			}
		}
	})
}
