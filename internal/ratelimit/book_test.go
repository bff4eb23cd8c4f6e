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

func named(perSecond float64) Observation { return Observation{Kind: Limited, PerSecond: perSecond} }

func newBook() *Registry { return New(telemetry.NewLogger(io.Discard, "error", "test")) }

// An answer to an attempt from before the limit was heard was written before, or after: it may lower the limit,
// but neither raise nor end it.
func TestWhichAnswersChangeALimit(t *testing.T) {
	for name, c := range map[string]struct {
		sent    float64
		seen    Observation
		limit   float64
		limited bool
	}{
		"the same again":           {6, named(2), 2, true},
		"a higher one":             {6, named(50), 50, true},
		"a lower one":              {6, named(0.2), 0.2, true},
		"zero":                     {6, named(0), 0, true},
		"none any more":            {6, none, 0, false},
		"unreadable":               {6, Observation{}, 2, true},
		"a higher one from before": {4, named(50), 2, true},
		"a lower one from before":  {4, named(1), 1, true},
		"none, from before":        {4, none, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBook()
			is.True(b.Observe(at(5), at(4.5), "a@1", named(2)))
			b.Observe(at(7), at(c.sent), "a@1", c.seen)
			limit, limited := b.Limit("a@1")
			is.Equal(limited, c.limited)
			is.Equal(limit, c.limit)
		})
	}
}

func TestALimitIsOfOneProcess(t *testing.T) {
	is := is.New(t)
	b := newBook()
	is.True(b.Observe(at(0), at(0), "a@1", named(2)))
	is.True(!b.Observe(at(1), at(1), "a@1", named(2))) // no news
	_, limited := b.Limit("a@2")
	is.True(!limited)
}

func TestNothingIsKeptForEver(t *testing.T) {
	is := is.New(t)
	b := newBook()
	b.Observe(at(0), at(0), "gone@1", named(2))
	b.Observe(at(0), at(0), "ended@1", named(2))
	b.Observe(at(1), at(1), "ended@1", none)
	b.Observe(at(0), at(0), "stays@1", named(2))
	b.Prune(at(61), time.Minute, func(process string) bool { return process != "gone@1" })
	is.Equal(len(b.by), 1)
	_, limited := b.Limit("stays@1")
	is.True(limited)
}
