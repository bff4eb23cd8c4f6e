package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/routing"
)

// newTwoServices returns a harness with a service s and a service t, whose upstreams respond with the two events after the
// one that the request has. The route "resumable" is split over the given services.
func newTwoServices(t *testing.T, split ...routing.WeightedService) *harness {
	r := newHarness(t)
	r.document.Services = append(r.document.Services, routing.Service{Name: "t"})
	r.document.Routes[3].Split = split
	r.publish(0)
	for _, service := range []string{"s", "t"} {
		r.addUpstreamOf(service, service, "", func(w http.ResponseWriter, q *http.Request) {
			after, _ := strconv.Atoi(q.Header.Get("After")) // 0 for a new run
			_, _ = fmt.Fprint(w, versionedBody(service, after+1, after+2))
		})
	}
	return r
}

// Guards against streams of two services: the service of a caller's resumption was drawn anew.
func TestCallersResumptionStaysAtTheServiceThatBeganTheStream(t *testing.T) {
	is := is.New(t)
	r := newTwoServices(t, routing.WeightedService{Service: "s", Weight: 1}, routing.WeightedService{Service: "t", Weight: 1})
	begun := map[string]int{}
	joined := 0
	for n := range 40 {
		first := strconv.Itoa(n)
		got := r.get("resumable", "Id", first)
		service := "s"
		if got.body != versionedBody(service, 1, 2) {
			service = "t"
		}
		is.Equal(got.body, versionedBody(service, 1, 2))
		begun[service]++
		got = r.get("resumable", "Id", first+"-again", "After", "2", "Origin-Id", first)
		if got.body != versionedBody(service, 3, 4) {
			joined++
		}
	}
	is.Equal(joined, 0)
	is.True(begun["s"] > 8 && begun["t"] > 8) // the split holds
}

// Guards against streams of two services at an instance that doesn't know which one began the stream: its draw must be
// that of the first request.
func TestResumptionDrawsAsItsFirstRequestDid(t *testing.T) {
	is := is.New(t)
	route := &routing.Route{Kind: routing.Stream, Resumable: true}
	drawn := map[float64]bool{}
	for n := range 40 {
		first := &job{route: route, info: RequestInfo{ID: strconv.Itoa(n)}}
		resumption := &job{route: route, info: RequestInfo{ID: "other", OriginID: first.info.ID}, position: newStreamPosition(true, "2")}
		draw := first.serviceDraw()
		is.True(draw >= 0 && draw < 1)
		is.Equal(resumption.serviceDraw(), draw)
		drawn[draw] = true
	}
	is.Equal(len(drawn), 40)
}

// Guards against streams of two services: a resumption went to the service that the route has been moved to since.
func TestStreamIsNotResumedAtAServiceThatDidNotBeginIt(t *testing.T) {
	is := is.New(t)
	r := newTwoServices(t, routing.WeightedService{Service: "s", Weight: 1})
	is.Equal(r.get("resumable", "Id", "1").body, versionedBody("s", 1, 2))
	r.document.Version++
	r.document.Routes[3].Split = []routing.WeightedService{{Service: "t", Weight: 1}}
	r.publish(0)
	got := r.get("resumable", "Id", "2", "After", "2", "Origin-Id", "1")
	is.Equal(got.body, "")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.header.Get("Outcome"), "not-run")
	is.Equal(r.arrivedIDs(), "s")
}

// Guards against streams of two services: the service of a resumption that doesn't name its stream's first request was
// drawn.
func TestResumptionOfAnUnnamedStreamOfASplitRouteIsRefused(t *testing.T) {
	is := is.New(t)
	r := newTwoServices(t, routing.WeightedService{Service: "s", Weight: 1}, routing.WeightedService{Service: "t", Weight: 1})
	got := r.get("resumable", "Id", "2", "After", "2")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.header.Get("Outcome"), "not-run")
	is.Equal(r.arrivedIDs(), "")
}

// Guards against streams of two services: where nobody knows the origin, a resumption went on at the service to which the
// route leads now, though it had led to another one while the stream can have begun.
func TestStreamOfUnknownOriginIsRefusedAfterItsRouteChanged(t *testing.T) {
	toS, toT := []routing.WeightedService{{Service: "s", Weight: 1}}, []routing.WeightedService{{Service: "t", Weight: 1}}
	split := func(s, t int) []routing.WeightedService {
		return []routing.WeightedService{{Service: "s", Weight: s}, {Service: "t", Weight: t}}
	}
	specific := func(split []routing.WeightedService) func(d *routing.Document) {
		return func(d *routing.Document) {
			r := d.Routes[3]
			r.Name, r.Prefix, r.Split = "specific", "/resumable/x/", split
			d.Routes = append(d.Routes, r)
		}
	}
	for _, c := range []struct {
		name   string
		before func(d *routing.Document)
		after  func(d *routing.Document)
		status int
	}{
		{"moved", func(d *routing.Document) { d.Routes[3].Split = toS }, func(d *routing.Document) { d.Routes[3].Split = toT }, http.StatusServiceUnavailable},
		{"weights changed", func(d *routing.Document) { d.Routes[3].Split = split(1, 9) }, func(d *routing.Document) { d.Routes[3].Split = split(9, 1) }, http.StatusServiceUnavailable},
		{"a more specific route was added", func(d *routing.Document) { d.Routes[3].Split = toS }, specific(toT), http.StatusServiceUnavailable},
		{"a more specific route was removed", specific(toT), func(d *routing.Document) { d.Routes = d.Routes[:5] }, http.StatusServiceUnavailable},
		{"its service is the same", func(d *routing.Document) { d.Routes[3].Split = toS }, func(d *routing.Document) { d.Routes[3].MaxAttempts = 1 }, http.StatusOK},
		{"another route was moved", func(d *routing.Document) { d.Routes[2].Split = toS }, func(d *routing.Document) { d.Routes[2].Split = toT }, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newTwoServices(t, toS...)
			for _, change := range []func(*routing.Document){c.before, c.after} {
				r.document.Version++
				change(&r.document)
				r.publish(0)
			}
			got := r.do(r.request("GET", "/resumable/x/y", "", "Id", "2", "After", "2", "Origin-Id", "1"))
			is.Equal(got.status, c.status)
			is.Equal(r.arrivedIDs() == "", c.status != http.StatusOK)
		})
	}
}
