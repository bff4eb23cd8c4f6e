package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/wait"
)

// shorten gives all routes short objectives, so that an upstream is soon silent for too long.
func (r *harness) shorten() {
	for i := range r.document.Routes {
		r.document.Routes[i].LatencyObjective = 20 * time.Millisecond
		r.document.Routes[i].MaxEventInterval = 20 * time.Millisecond
	}
	r.publish(0)
}

// writesParts writes parts of a response, and is silent after each of them for a time.
func writesParts(silence time.Duration, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		for _, part := range parts {
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
			wait.For(q.Context(), silence)
		}
	}
}

// Guards against a long body that is cut since it takes longer than an upstream may take to begin its response.
func TestLongBodyOfAnIdempotentRequestIsNotCut(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.shorten()
	part := strings.Repeat("a", maxBufferedBytes+1)
	r.addUpstream("a", writesParts(200*time.Millisecond, part, part, ""))
	r.addUpstream("b", respondsWith("never"))
	got := r.get("safe")
	is.NoErr(got.err)
	is.Equal(len(got.body), 2*len(part))
	is.Equal(r.arrivedIDs(), "a")
}

// Guards against a stream that is cut since its caller reads slowly: that is no silence of the upstream.
func TestStreamIsNotCutWhileItsCallerReadsSlowly(t *testing.T) {
	is := is.New(t)
	r := newHarnessWithRetries(t, retrybudget.Bound{Window: time.Hour})
	r.shorten()
	const events = 800
	var stream strings.Builder // larger than the buffers of all sockets
	for n := range events {
		fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("a", 64<<10))
	}
	r.addUpstream("a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(stream.Len()))
		_, _ = io.WriteString(w, stream.String()) // the other side may have closed
	})
	response, err := http.DefaultClient.Do(r.request("GET", "/resumable/x", ""))
	is.NoErr(err)
	defer response.Body.Close()
	wait.For(t.Context(), minIdleTimeout+300*time.Millisecond)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(strings.Count(string(body), "id: "), events)
}
