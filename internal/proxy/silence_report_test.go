package proxy

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/wait"
)

// Guards against requests that are sent to an upstream which is known to be silent, since an attempt there goes on.
func TestSilentUpstreamGetsNoFurtherRequests(t *testing.T) {
	is := is.New(t)
	r := newHarnessWithRetries(t, retrybudget.Bound{Window: time.Hour})
	r.shorten()
	blocks := func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }
	r.addUpstream("a", blocks)
	r.addUpstream("b", blocks)
	begin := func(route string, requests int) {
		go func() { _ = r.get(route, "Timeout", "5s") }()
		for len(strings.Fields(r.arrivedIDs())) < requests {
			wait.For(t.Context(), time.Millisecond)
		}
	}
	begin("safe", 1)
	silent := r.arrivedIDs()
	for {
		var metrics bytes.Buffer
		r.handler.o.Metrics.Write(&metrics)
		if strings.Contains(metrics.String(), `tacktally_silent_attempts_total 1`) {
			break
		}
		wait.For(t.Context(), time.Millisecond)
	}
	for n := range 3 {
		begin("once", n+2)
	}
	is.Equal(strings.Count(r.arrivedIDs(), silent), 1)
}
