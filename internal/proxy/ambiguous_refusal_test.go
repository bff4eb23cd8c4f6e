package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// refusal returns a raw response with a status, further header lines and a body of the given framing.
func refusal(status int, lines, body, framing string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Refused\r\nId: 1\r\nSigned: a\r\n%s", status, lines)
	switch framing {
	case "chunks":
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
	case "until close":
		return head + "\r\n" + body
	default:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
}

// Guards against a refusal that an upstream sends after it has run the request, and that reaches a caller, who then sends the
// request again.
func TestRefusalThatMayHaveRunIsNotRelayed(t *testing.T) {
	large := strings.Repeat("x", maxBufferedBytes+1)
	for _, status := range []int{408, 429, 503} {
		for _, framing := range []string{"length", "chunks", "until close"} {
			for size, body := range map[string]string{"empty": "", "small": "sorry", "large": large} {
				if framing == "chunks" && body == "" {
					continue // it would be the last chunk
				}
				raw := refusal(status, "", body, framing)
				for _, route := range []string{"once", "stream"} {
					t.Run(fmt.Sprint(status, " ", framing, " ", size, " ", route), func(t *testing.T) {
						is := is.New(t)
						r := newHarness(t)
						r.publish(0)
						r.addUpstream("a", writesRaw(raw))
						r.addUpstream("b", respondsWith("ok"))
						got := r.get(route)
						is.Equal(r.arrivedIDs(), "a")
						is.Equal(got.status, http.StatusBadGateway)
						is.Equal(got.header.Get("Outcome"), "unknown")
						is.Equal(got.header.Get("Signed"), "") // it isn't the upstream's response
						is.Equal(got.header.Get("Retry-After"), "")
					})
				}
				for _, route := range []string{"safe", "resumable"} {
					t.Run(fmt.Sprint(status, " ", framing, " ", size, " ", route), func(t *testing.T) {
						is := is.New(t)
						r := newHarness(t)
						r.publish(0)
						r.addUpstream("a", writesRaw(raw))
						r.addUpstream("b", respondsWith("ok"))
						is.Equal(r.get(route).status, http.StatusOK)
						is.Equal(r.arrivedIDs(), "a b")
					})
				}
			}
		}
	}
}

// Guards against the refusal of a second upstream that takes the place of the failure of the first one, or is relayed itself.
func TestRefusalsThatMayHaveRunDuringRetries(t *testing.T) {
	ambiguous := writesRaw(refusal(503, "", "busy", "length"))
	for name, c := range map[string]struct {
		first, second http.HandlerFunc
		status        int
		outcome       string
	}{
		"both":                   {ambiguous, ambiguous, http.StatusBadGateway, "unknown"},
		"after a failure":        {respondsWithFailure, ambiguous, http.StatusInternalServerError, ""},
		"before a failure":       {ambiguous, respondsWithFailure, http.StatusInternalServerError, ""},
		"before a refusal":       {ambiguous, refusesRequest, http.StatusBadGateway, "unknown"},
		"after a refusal":        {refusesRequest, ambiguous, http.StatusBadGateway, "unknown"},
		"before a lost response": {ambiguous, dropsConnection, http.StatusBadGateway, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", c.first)
			r.addUpstream("b", c.second)
			got := r.get("safe")
			is.Equal(r.arrivedIDs(), "a b")
			is.Equal(got.status, c.status)
			is.Equal(got.header.Get("Outcome"), c.outcome)
		})
	}
}

// A refusal that an upstream marks as not run remains one, whatever its status.
func TestRefusalThatHasNotRunIsReportedAsNotRun(t *testing.T) {
	for _, status := range []int{400, 408, 421, 429, 503} {
		for _, route := range []string{"once", "safe", "stream", "resumable"} {
			t.Run(fmt.Sprint(status, " ", route), func(t *testing.T) {
				is := is.New(t)
				r := newHarness(t)
				r.publish(0)
				r.addUpstream("a", writesRaw(refusal(status, "Not-Run: 1\r\n", "busy", "length")))
				got := r.get(route)
				is.Equal(got.header.Get("Outcome"), "not-run")
				is.True(got.header.Get("Retry-After") != "")
			})
		}
	}
}

// Guards against callers of idempotent requests that lose the time for which all upstreams want no requests.
func TestBackoffOfARefusalThatMayHaveRunReachesCallers(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", writesRaw(refusal(503, "Retry-After: 9s\r\n", "busy", "length")))
	got := r.get("safe")
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(got.header.Get("Outcome"), "unknown")
	after, err := time.ParseDuration(got.header.Get("Retry-After"))
	is.NoErr(err)
	is.True(after > 8*time.Second)
}
