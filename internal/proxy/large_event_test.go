package proxy

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// Guards against upstreams that take the processor time of all other requests: their events have no end, and were read as
// fast as they came.
func TestLargeEventsAreReadAtACommonPace(t *testing.T) {
	is := is.New(t)
	large := "data: " + strings.Repeat("x", 50<<10) + "\n\n"
	r, end := unfinishedHarness(t, large)
	r.handler.largeEvents = rate.NewLimiter(0, 2*len(large)) // nothing more after the burst
	r.addUpstreamOf("other", "c", "", respondsWith(large))
	r.addUpstreamOf("endless", "d", "", func(w http.ResponseWriter, _ *http.Request) { writeEndlessly(w, strings.Repeat("x", 8<<10)) })
	for _, name := range []string{"other", "endless"} {
		service := r.document.Services[0]
		service.Name = name
		r.document.Services = append(r.document.Services, service)
		route := r.document.Routes[2]
		route.Name, route.Prefix = name, "/"+name+"/"
		route.Split = []routing.WeightedService{{Service: name, Weight: 1}}
		r.document.Routes = append(r.document.Routes, route)
	}
	r.document.Version++
	r.publish(0)
	is.Equal(r.get("other").body, large)
	a := r.get("endless", "Timeout", "300ms")
	is.Equal(a.header.Get("Reason"), string(api.ReasonUpstreamTimeout)) // not that of an event that was read to the limit
	is.Equal(r.get("sound").body, "data: ok\n\n")
	end()
}

// Guards against a stream that is sent once more since this instance reads a large event slowly: that is no silence of its
// upstream.
func TestPaceOfLargeEventsIsNoSilence(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		const idle = 2 * time.Second
		j := &job{handler: &Handler{largeEvents: rate.NewLimiter(100, 100)}, route: &routing.Route{MaxAttempts: 2}}
		searched := time.AfterFunc(idle, func() { t.Error("the upstream counts as silent") })
		s := &silenceWatch{job: j, ctx: t.Context(), timer: searched, timeout: idle, awaiting: true, due: time.Now().Add(idle)}
		r := &relay{job: j, ctx: t.Context(), silence: s}
		is.NoErr(r.awaitLargeEventPace(100)) // the burst
		began := time.Now()
		for range 3 {
			is.NoErr(r.awaitLargeEventPace(100)) // for a second each
		}
		is.True(time.Since(began) >= idle)
		is.Equal(s.due, time.Now().Add(idle)) // it listens from now on
		searched.Stop()

		ended, cancel := context.WithCancel(t.Context())
		cancel()
		r.ctx = ended
		is.Equal(r.awaitLargeEventPace(100), context.Canceled)
	})
}
