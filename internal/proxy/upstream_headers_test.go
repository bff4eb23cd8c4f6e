package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/ratelimit"
)

// A leaving notice counts in any response of the upstream itself, but not in one of another process
// at its address, nor in an unsigned success.
func TestLeavingNoticeCountsOnlyFromTheUpstreamItself(t *testing.T) {
	leaving := func(f http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Leaving", "1")
			f(w, q)
		}
	}
	unsigned := func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("Signed") }
	another := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	for name, c := range map[string]struct {
		respond http.HandlerFunc
		route   string
		leaves  bool
	}{
		"a success":            {leaving(respondsWith("ok")), "once", true},
		"a refusal":            {leaving(refusesRequest), "once", true},
		"a failure":            {leaving(respondsWithFailure), "once", true},
		"the head of a stream": {leaving(respondsWith("id: 1\ndata: x\n\n")), "stream", true},
		"without a notice":     {respondsWith("ok"), "once", false},
		"unsigned":             {leaving(unsigned), "once", false},
		"another process":      {leaving(another), "once", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", c.respond)
			r.get(c.route)
			is.Equal(len(r.fleet.NextLeavingNotices()) == 1, c.leaves)
			is.Equal(errors.Is(r.fleet.CheckUsable("a"), fleet.ErrLeaving), c.leaves)
		})
	}
}

// Checks which responses set an advertised limit, and which lift it.
func TestWhichResponsesSetOrLiftAnAdvertisedLimit(t *testing.T) {
	limiting := func(f http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Limit", "1.9")
			f(w, q)
		}
	}
	unsigned := func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("Signed") }
	refusesUnsigned := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Del("Signed")
		refusesRequest(w, q)
	}
	another := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	for name, c := range map[string]struct {
		respond     http.HandlerFunc
		sets, keeps bool // whether the response sets a limit, and whether an earlier limit stays in force after it
	}{
		"a success":                 {limiting(respondsWith("ok")), true, true},
		"a refusal":                 {limiting(refusesRequest), true, true},
		"a failure":                 {limiting(respondsWithFailure), true, true},
		"the head of a stream":      {limiting(respondsWith("id: 1\ndata: x\n\n")), true, true},
		"a success without a limit": {respondsWith("ok"), false, false},
		"a failure without a limit": {respondsWithFailure, false, false},
		"unsigned":                  {limiting(unsigned), false, true},
		"unsigned without a limit":  {unsigned, false, true},
		"refused unsigned":          {refusesUnsigned, false, true},
		"another process":           {limiting(another), false, true},
		"another process without":   {another, false, true},
	} {
		for _, before := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, limited previously: %v", name, before), func(t *testing.T) {
				is := is.New(t)
				r := newHarness(t)
				r.publish(0)
				r.addUpstream("a", c.respond)
				if before {
					r.fleet.ObserveLimit("a", time.Now(), ratelimit.Observation{Kind: ratelimit.Limited, PerSecond: 1e6})
				}
				r.get("once")
				_, limited := r.fleet.Limit("a")
				is.Equal(limited, before && c.keeps || !before && c.sets)
			})
		}
	}
}

// requestsBackoff refuses a request and requests backoff.
func requestsBackoff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "30s")
	refusesRequest(w, nil)
}

// Checks which responses start a requested backoff.
func TestOnlyARefusalWithRetryAfterStartsBackoff(t *testing.T) {
	after := func(f http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Retry-After", "30s")
			f(w, q)
		}
	}
	for name, c := range map[string]struct {
		respond  http.HandlerFunc
		backsOff bool
	}{
		"a refusal with a time":       {requestsBackoff, true},
		"a refusal without one":       {refusesRequest, false},
		"a failure with a time":       {after(respondsWithFailure), false},
		"a success with a time":       {after(respondsWith("ok")), false},
		"another process with a time": {after(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", c.respond)
			r.get("once")
			is.Equal(errors.Is(r.fleet.CheckUsable("a"), fleet.ErrBackingOff), c.backsOff)
			is.Equal(r.fleet.ShortestBackoff("s") > 0, c.backsOff)
		})
	}
}

// While one upstream is backing off the others are used, and its retry delay isn't passed to
// callers. While all are backing off nothing is sent, and the caller gets the delay until the first
// one is back.
func TestNothingIsSentToAnUpstreamThatIsBackingOff(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", requestsBackoff)
	r.addUpstream("b", respondsWith("ok"))
	for range 5 {
		is.Equal(r.get("safe").status, http.StatusOK)
	}
	is.Equal(r.arrivedIDs(), "a b b b b b")
	r.upstreams[1].Leaving = true
	r.publishUpstreams()
	refused := r.get("once")
	is.Equal(refused.header.Get("Reason"), string(api.ReasonUpstreamRefused))
	is.Equal(refused.header.Get("Outcome"), "not-run")
	after, err := time.ParseDuration(refused.header.Get("Retry-After"))
	is.NoErr(err)
	is.True(after > 29*time.Second && after <= 36*time.Second) // 30 s less what has passed, and up to a fifth more
	is.Equal(r.arrivedIDs(), "a b b b b b")
}
