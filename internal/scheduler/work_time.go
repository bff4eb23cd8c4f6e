package scheduler

import (
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/estimate"
	"github.com/tacktally/tacktally/internal/loadreport"
)

// ordinaryGain is the weight of one observation in the rates of an ordinary machine.
const ordinaryGain = 0.05

// LoadReports summarises the load reports of the upstreams of one or more Cores.
type LoadReports struct {
	// WithWork and WithoutWork count the valid reports with and without a work time.
	WithWork    int64
	WithoutWork int64
	// BeyondSlots counts the requests that were granted to wait at their upstream for a slot.
	BeyondSlots int64
	// Upstreams is the number of upstreams with a recent report, and InTransit the sum of their
	// requests in transit.
	Upstreams int
	InTransit float64
	// Newest is the arrival of the newest report; zero if there was none.
	Newest time.Time
}

// Add adds the reports of another Core.
func (l *LoadReports) Add(other LoadReports) {
	l.WithWork += other.WithWork
	l.WithoutWork += other.WithoutWork
	l.BeyondSlots += other.BeyondSlots
	l.Upstreams += other.Upstreams
	l.InTransit += other.InTransit
	if other.Newest.After(l.Newest) {
		l.Newest = other.Newest
	}
}

// MeanInTransit returns the mean number of requests in transit for each upstream with a recent
// report; 0 if there is none.
func (l LoadReports) MeanInTransit() float64 {
	if l.Upstreams == 0 {
		return 0
	}
	return l.InTransit / float64(l.Upstreams)
}

// Age returns the age of the newest report, or -1 if there was none.
func (l LoadReports) Age(now time.Time) time.Duration {
	if l.Newest.IsZero() {
		return -1
	}
	return now.Sub(l.Newest)
}

// count counts a valid report.
func (l *LoadReports) count(now time.Time, r loadreport.Report) {
	if r.WorkPercent > 0 {
		l.WithWork++
	} else {
		l.WithoutWork++
	}
	l.Newest = now
}

// LoadReports summarises the load reports of the upstreams.
func (c *Core) LoadReports(now time.Time) LoadReports {
	out := c.loadReports
	for _, u := range c.upstreams {
		if u.HasRecentReport(now) {
			out.Upstreams++
			out.InTransit += u.InTransit(now)
		}
	}
	return out
}

// RecordLoad records the load report of a response, before its first token. An invalid report is
// ignored.
func (c *Core) RecordLoad(now time.Time, g *Grant, r loadreport.Report) {
	if !r.IsValid() {
		return
	}
	if r.Slots > 0 {
		c.loadReports.count(now, r)
	}
	g.Upstream.ObserveLoad(now, r)
	c.ordinary.assume(g.Upstream)
}

// LearnBrittle records that another instance has seen upstreams say that they are brittle: how many refusals
// in a second they survive, by ID.
func (c *Core) LearnBrittle(now time.Time, maxRefusals map[string]int) {
	for _, u := range c.upstreams {
		if n, brittle := maxRefusals[u.ID]; brittle {
			u.LearnBrittle(now, n)
		}
	}
}

// observeFirstToken updates the speed of a grant's upstream with the time to its first token or, on a
// plain service, to its response.
func (c *Core) observeFirstToken(g *Grant, took time.Duration) {
	u := g.Upstream
	took = balancer.InUsualState(took, g.workFactor)
	if g.Request.PromptTokens == 0 {
		u.ObservePlainResponse(took)
	}
	u.Speed.ObserveFirstToken(g.tokensAhead, took)
	c.ordinary.observe(u)
}

// observeInterval updates the speed of a grant's upstream with the interval between the output tokens
// of a response that ends now.
func (c *Core) observeInterval(now time.Time, g *Grant, interval time.Duration) {
	if g.workFactor != 1 {
		mean := balancer.MeanWorkFactor(g.workFactor, now.Sub(g.GrantedAt))
		interval = time.Duration(float64(interval) / mean)
	}
	g.Upstream.Speed.ObserveInterval(interval)
	c.ordinary.observe(g.Upstream)
}

// ordinaryRates are the smoothed rates of an ordinary machine, one that reports a work time of 100
// percent; 0 if unknown. They are learned from all upstreams that report their work time.
type ordinaryRates struct {
	prefill  float64 // tokens per second
	interval float64 // time between output tokens in nanoseconds
}

// observe updates the rates with the observed speed of an upstream.
func (o *ordinaryRates) observe(u *balancer.Upstream) {
	percent := float64(u.TypicalWorkPercent())
	if percent == 0 {
		return
	}
	rates := u.Speed.Rates()
	smooth(&o.prefill, rates.Prefill*percent/100)
	smooth(&o.interval, float64(rates.Interval)*100/percent)
}

// smooth moves an estimate towards an observed value. 0 means unknown for both.
func smooth(estimate *float64, observed float64) {
	switch {
	case observed == 0:
	case *estimate == 0:
		*estimate = observed
	default:
		*estimate += ordinaryGain * (observed - *estimate)
	}
}

// assume predicts the speed of an upstream that was not observed but reports its work time.
func (o *ordinaryRates) assume(u *balancer.Upstream) {
	percent := float64(u.TypicalWorkPercent())
	if percent == 0 {
		return
	}
	u.Speed.Assume(estimate.Rates{Prefill: o.prefill * 100 / percent, Interval: time.Duration(o.interval * percent / 100)})
}
