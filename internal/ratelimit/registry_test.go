package ratelimit

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/telemetry"
)

var (
	begin = time.Now()
	none  = Observation{Kind: Unlimited}
)

func at(seconds float64) time.Time {
	return begin.Add(time.Duration(seconds * float64(time.Second)))
}

func limitOf(perSecond float64) Observation { return Observation{Kind: Limited, PerSecond: perSecond} }

func newRegistry() *Registry { return New(telemetry.NewLogger(io.Discard, "error", "test")) }

// A response to an attempt that was sent before the limit was received may be older or newer than the limit: it may
// lower the limit, but neither raise nor end it.
func TestObserveLateResponseOnlyLowersLimit(t *testing.T) {
	for name, c := range map[string]struct {
		sent    float64
		seen    Observation
		limit   float64
		limited bool
	}{
		"the same again":           {6, limitOf(2), 2, true},
		"a higher one":             {6, limitOf(50), 50, true},
		"a lower one":              {6, limitOf(0.2), 0.2, true},
		"zero":                     {6, limitOf(0), 0, true},
		"none any more":            {6, none, 0, false},
		"unreadable":               {6, Observation{}, 2, true},
		"a higher one from before": {4, limitOf(50), 2, true},
		"a lower one from before":  {4, limitOf(1), 1, true},
		"none, from before":        {4, none, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRegistry()
			is.True(r.Observe(at(5), at(4.5), "a@1", limitOf(2)))
			r.Observe(at(7), at(c.sent), "a@1", c.seen)
			limit, limited := r.Limit("a@1")
			is.Equal(limited, c.limited)
			is.Equal(limit, c.limit)
		})
	}
}

func TestLimitBelongsToOneProcess(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	is.True(r.Observe(at(0), at(0), "a@1", limitOf(2)))
	is.True(!r.Observe(at(1), at(1), "a@1", limitOf(2))) // unchanged
	_, limited := r.Limit("a@2")
	is.True(!limited)
}

func TestPruneRemovesUnlistedAndEndedLimits(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	r.Observe(at(0), at(0), "removed@1", limitOf(2))
	r.Observe(at(0), at(0), "ended@1", limitOf(2))
	r.Observe(at(1), at(1), "ended@1", none)
	r.Observe(at(0), at(0), "stays@1", limitOf(2))
	r.Prune(at(61), time.Minute, func(process string) bool { return process != "removed@1" })
	is.Equal(len(r.entries), 1)
	_, limited := r.Limit("stays@1")
	is.True(limited)
}
