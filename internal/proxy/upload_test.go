package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	// uploadBytes is more than the buffers of two sockets take.
	uploadBytes = 16 << 20
	// uploadTries is how often a reset meets an upload: which call learns of it isn't determined.
	uploadTries = 8
)

// resetsDuringUpload answers before it has read the request, and resets the connection once relayed is closed.
func resetsDuringUpload(raw string, relayed <-chan struct{}) http.HandlerFunc {
	return hijack(func(c net.Conn) {
		_, _ = io.WriteString(c, raw)
		<-relayed
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

// Guards against a part of a response until close that reaches the caller as the whole, since the reset of its connection was
// reported to the goroutine that writes a long request.
func TestResponseThatIsResetDuringAnUploadIsBroken(t *testing.T) {
	large := strings.Repeat("x", maxBufferedBytes+1)
	for name, c := range map[string]struct {
		route, raw string
		relayed    int // bytes that the caller has before the reset
		retried    bool
	}{
		"nothing relayed, once":       {"once", untilCloseHead + "part", 0, false},
		"nothing relayed, idempotent": {"safe", untilCloseHead + "part", 0, true},
		"large body, once":            {"once", untilCloseHead + large, len(large), false},
		"stream":                      {"stream", events("", "1"), len(eventLines("", "1")), false},
		"resumable":                   {"resumable", events("", "1"), len(eventLines("", "1")), true},
	} {
		t.Run(name, func(t *testing.T) {
			for range uploadTries {
				is := is.New(t)
				r := newHarnessWith(t, harnessRetries, 64*uploadBytes)
				r.document.Limits.MaxBodyBytes = uploadBytes
				r.publish(0)
				relayed := make(chan struct{})
				r.addUpstream("a", resetsDuringUpload(c.raw, relayed))
				r.addUpstream("b", func(w http.ResponseWriter, q *http.Request) {
					_, _ = io.Copy(io.Discard, q.Body)
					_, _ = io.WriteString(w, eventLines("", "2"))
				})
				q := r.request("POST", "/"+c.route+"/x", strings.Repeat("x", uploadBytes))
				if c.relayed == 0 {
					close(relayed)
				}
				response, err := http.DefaultTransport.RoundTrip(q)
				is.NoErr(err)
				defer response.Body.Close()
				_, err = io.ReadFull(response.Body, make([]byte, c.relayed))
				is.NoErr(err)
				if c.relayed > 0 {
					close(relayed)
				}
				rest, err := io.ReadAll(response.Body)
				switch {
				case c.retried:
					is.NoErr(err)
					is.Equal(string(rest), eventLines("", "2"))
					is.Equal(r.arrivedIDs(), "a b")
				case c.relayed == 0:
					is.Equal(response.StatusCode, http.StatusBadGateway)
					is.Equal(r.arrivedIDs(), "a")
				default:
					is.True(err != nil) // it must not look complete
					is.Equal(r.arrivedIDs(), "a")
				}
			}
		})
	}
}
