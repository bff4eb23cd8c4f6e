package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

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
