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

// Whose word it is that an upstream leaves: its own, in any answer, but not another process's at its address,
// nor what nobody has signed.
func TestWhichAnswersSayThatAnUpstreamLeaves(t *testing.T) {
	leaving := func(f http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Leaving", "1")
			f(w, q)
		}
	}
	unsigned := func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("Signed") }
	another := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		route  string
		leaves bool
	}{
		"a success":            {leaving(says("ok")), "once", true},
		"a refusal":            {leaving(refuses), "once", true},
		"a failure":            {leaving(fails), "once", true},
		"the head of a stream": {leaving(says("id: 1\ndata: x\n\n")), "stream", true},
		"without the word":     {says("ok"), "once", false},
		"unsigned":             {leaving(unsigned), "once", false},
		"another process":      {leaving(another), "once", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			r.publish(0)
			r.upstream("a", c.answer)
			r.get(c.route)
			is.Equal(len(r.fleet.NextLeavingNotices()) == 1, c.leaves)
			is.Equal(errors.Is(r.fleet.CheckUsable("a"), fleet.ErrLeaving), c.leaves)
		})
	}
}

// Which answers name a limit, and which end one.
func TestWhichAnswersNameALimit(t *testing.T) {
	limiting := func(f http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Limit", "1.9")
			f(w, q)
		}
	}
	unsigned := func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("Signed") }
	refusesUnsigned := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Del("Signed")
		refuses(w, q)
	}
	another := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	for name, c := range map[string]struct {
		answer          http.HandlerFunc
		begins, remains bool // a limit begins with it; one that was named before remains with it
	}{
		"a success":               {limiting(says("ok")), true, true},
		"a refusal":               {limiting(refuses), true, true},
		"a failure":               {limiting(fails), true, true},
		"the head of a stream":    {limiting(says("id: 1\ndata: x\n\n")), true, true},
		"a success without it":    {says("ok"), false, false},
		"a failure without it":    {fails, false, false},
		"unsigned":                {limiting(unsigned), false, true},
		"unsigned without it":     {unsigned, false, true},
		"refused unsigned":        {refusesUnsigned, false, true},
		"another process":         {limiting(another), false, true},
		"another process without": {another, false, true},
	} {
		for _, before := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, limited before: %v", name, before), func(t *testing.T) {
				is := is.New(t)
				r := newRig(t)
				r.publish(0)
				r.upstream("a", c.answer)
				if before {
					r.fleet.ObserveLimit("a", time.Now(), ratelimit.Observation{Kind: ratelimit.Limited, PerSecond: 1e6})
				}
				r.get("once")
				_, limited := r.fleet.Limit("a")
				is.Equal(limited, before && c.remains || !before && c.begins)
			})
		}
	}
}

// rests turns a request away and asks for rest.
func rests(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "30s")
	refuses(w, nil)
}

// What asks for rest, what doesn't, and what becomes of the request.
func TestWhatAsksForRest(t *testing.T) {
	after := func(f http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Retry-After", "30s")
			f(w, q)
		}
	}
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		rests  bool
	}{
		"turned away, with a time":    {rests, true},
		"turned away, without one":    {refuses, false},
		"a failure with a time":       {after(fails), false},
		"a success with a time":       {after(says("ok")), false},
		"another process with a time": {after(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			r.publish(0)
			r.upstream("a", c.answer)
			r.get("once")
			is.Equal(errors.Is(r.fleet.CheckUsable("a"), fleet.ErrBackingOff), c.rests)
			is.Equal(r.fleet.ShortestBackoff("s") > 0, c.rests)
		})
	}
}

// While one rests the others are used, and its time to come back is nobody's. Where all rest, nothing is
// sent, and the caller is told when the first is back.
func TestNothingIsSentToAnUpstreamThatRests(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	r.upstream("a", rests)
	r.upstream("b", says("ok"))
	for range 5 {
		is.Equal(r.get("safe").status, http.StatusOK)
	}
	is.Equal(r.arrived(), "a b b b b b")
	r.upstreams[1].Leaving = true
	r.list()
	refused := r.get("once")
	is.Equal(refused.header.Get("Reason"), string(api.ReasonUpstreamRefused))
	is.Equal(refused.header.Get("Outcome"), "not-run")
	is.True(refused.header.Get("Retry-After") > "29s") // "29.9..s" to "36s"
	is.Equal(r.arrived(), "a b b b b b")
}
