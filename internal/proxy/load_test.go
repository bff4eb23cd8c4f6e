package proxy

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// recordedLoadReports is the counter of the reports that the owner of the shard recorded, of the kind
// that fakeProtocol returns.
const recordedLoadReports = `tacktally_load_reports_total{work="missing"}`

// reporting adds a load header to the response of f.
func reporting(load string, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Load", load)
		f(w, q)
	}
}

// Another process at the upstream's address must not change what is known of the upstream's load.
func TestWhichResponsesReportLoad(t *testing.T) {
	unsigned := func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("Signed") }
	another := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	for name, c := range map[string]struct {
		respond           http.HandlerFunc
		route             string
		recorded, invalid uint64
	}{
		"a success":                       {reporting("3", respondsWith("ok")), "once", 1, 0},
		"a large success":                 {reporting("3", respondsWith(strings.Repeat("x", 2*maxBufferedBytes))), "once", 1, 0},
		"a stream":                        {reporting("3", respondsWith("id: 1\ndata: x\n\nid: 2\ndata: y\n\n")), "stream", 1, 0},
		"a refusal, of both attempts":     {reporting("3", refusesRequest), "once", 2, 0},
		"a failure":                       {reporting("3", respondsWithFailure), "once", 1, 0},
		"a response without a report":     {respondsWith("ok"), "once", 0, 0},
		"unsigned":                        {reporting("3", unsigned), "once", 0, 0},
		"another process":                 {reporting("3", another), "once", 0, 0},
		"malformed":                       {reporting("few", respondsWith("ok")), "once", 0, 1},
		"malformed, a stream":             {reporting("few", respondsWith("id: 1\ndata: x\n\n")), "stream", 0, 1},
		"malformed and unsigned":          {reporting("few", unsigned), "once", 0, 0},
		"malformed, of another process":   {reporting("few", another), "once", 0, 0},
		"impossible, by another protocol": {reporting("9", respondsWith("ok")), "once", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", c.respond)
			r.get(c.route)
			is.Equal(r.handler.o.Metrics.Value(recordedLoadReports), c.recorded)
			is.Equal(r.handler.o.Metrics.Value(invalidLoadReports), c.invalid)
		})
	}
}

// A caller gets the same response with each load header.
func TestLoadReportsDoNotChangeTheResponse(t *testing.T) {
	for _, load := range []string{"", "3", "few", "-1"} {
		for route, body := range map[string]string{"once": "ok", "stream": "id: 1\ndata: x\n\n"} {
			t.Run(route+" "+load, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(t)
				r.publish(0)
				r.addUpstream("a", reporting(load, respondsWith(body)))
				got := r.get(route)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, body)
				is.Equal(got.header.Values("Load"), []string{load}) // callers receive the header as it is
			})
		}
	}
}

// An upstream that sends invalid reports sends them in every response, thousands in a second.
func TestInvalidLoadReportsAreLoggedOnceASecond(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines bytes.Buffer
		h := New(Options{Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(&lines, "warn", "test")})
		j := &job{handler: h, upstream: "i-1"}
		for _, want := range []int{1, 2, 3} {
			for range 100 {
				j.recordInvalidLoad(errors.New("the header is few"))
			}
			is.Equal(strings.Count(lines.String(), "load_report_invalid"), want)
			<-time.After(invalidLoadLogInterval)
		}
		is.True(strings.Contains(lines.String(), "i-1"))
		is.True(strings.Contains(lines.String(), "the header is few"))
		is.Equal(h.o.Metrics.Value(invalidLoadReports), uint64(300))
	})
}
