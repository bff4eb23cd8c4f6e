package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/loadreport"
)

const (
	// reportLifetime is the time after which a load report has no effect.
	reportLifetime = time.Second
	// inTransitGain is the weight of one report in the number of requests in transit. A single
	// comparison is off by the requests that were granted or released while the report was on its
	// way. A fully loaded plain upstream sends a hundred reports per second, so ten are a tenth of
	// a second there.
	inTransitGain = 0.1
	// workHalfLife is the time in which a deviation from the usual work time halves. Disturbances
	// last about 600 ms.
	workHalfLife = 300 * time.Millisecond
	// maxWorkFactor bounds the reported work time relative to the usual one, up and down.
	maxWorkFactor = 10.0
	// workSampleInterval is the shortest time between two samples of the work time. One disturbance
	// takes two samples at most, so that the median of minWorkSamples is that of the usual state.
	workSampleInterval = 400 * time.Millisecond
	// minWorkSamples is the number of samples from which on the usual work time is known.
	minWorkSamples = 4
	// maxWorkSamples bounds the samples. Half of them, about 3 s, is the time after which a lasting
	// change of the work time counts as usual.
	maxWorkSamples = 16
	// minWorkPercent and maxWorkPercent bound the reported work times. Values beyond them are false.
	minWorkPercent, maxWorkPercent = 10, 10_000
	// maxOrdinaryTime bounds the time that plain work takes on an ordinary machine relative to a fast
	// one. Without it, an upstream that falsely reports to be very fast would attract all requests.
	maxOrdinaryTime = 2.0
	// plainTimeGain is the weight of one response in the response time of a plain upstream.
	plainTimeGain = 0.1
)

// loadState is what one process of an upstream has reported of its load. The zero loadState is that
// of a process without reports.
type loadState struct {
	last loadreport.Report
	at   time.Time // arrival of last
	// inTransit is the smoothed number of requests that are counted at the upstream but not held by
	// it. It is negative if the upstream holds requests that are not counted here.
	inTransit float64
	// workExcess is the relative deviation of the reported work time from the usual one at the time
	// of last; 0 if either is unknown.
	workExcess float64
	// faded is what is left of workExcess at fadedAt. A choice needs it several times.
	faded   float64
	fadedAt time.Time
	usual   usualWork
	// plainTime is the smoothed response time to requests without prompt, in the usual state; 0 if
	// unknown.
	plainTime time.Duration
	// hold is the smoothed time for which a request holds a slot; 0 if unknown.
	hold time.Duration
}

// isCurrent reports whether the last report is recent enough to have an effect.
func (l *loadState) isCurrent(now time.Time) bool {
	return !l.at.IsZero() && now.Sub(l.at) <= reportLifetime
}

// ObserveLoad records a valid load report of the upstream. It compares the report with the requests
// counted now, so it must be called before the request with which the report came has ended.
func (u *Upstream) ObserveLoad(now time.Time, r loadreport.Report) {
	u.observeBrittle(now, r)
	if r.Slots == 0 {
		return // it says nothing about the load
	}
	l := &u.load
	if !l.isCurrent(now) {
		l.inTransit = 0 // it described another load
	}
	difference := u.Running + u.RunningElsewhere - r.Running - r.Waiting
	difference = min(max(difference, -r.Slots), r.Slots) // more is an error of one of the counts
	l.inTransit += inTransitGain * (float64(difference) - l.inTransit)
	l.last, l.at, l.fadedAt = r, now, time.Time{}
	u.observeWork(now, r.WorkPercent)
}

// DropReports removes the effect of earlier reports. It is called after failures, since the process
// may have restarted and lost the requests that it held.
func (u *Upstream) DropReports() {
	u.load.last, u.load.at = loadreport.Report{}, time.Time{}
	u.load.inTransit, u.load.workExcess = 0, 0
}

// InTransit returns the number of requests that are counted at the upstream but not held by it, on
// average over the latest reports; 0 without a recent report.
func (u *Upstream) InTransit(now time.Time) float64 {
	if !u.load.isCurrent(now) {
		return 0
	}
	return max(u.load.inTransit, 0)
}

// HasRecentReport reports whether the last load report is recent enough to have an effect.
func (u *Upstream) HasRecentReport(now time.Time) bool { return u.load.isCurrent(now) }

// WorkPercent returns the work time of the last load report in percent of that of an ordinary
// machine; 0 without a recent report of it.
func (u *Upstream) WorkPercent(now time.Time) int {
	if !u.load.isCurrent(now) {
		return 0
	}
	return u.load.last.WorkPercent
}

// TypicalWorkPercent returns the work time of the machine's usual state in percent of that of an
// ordinary machine, or that of the last report until the usual one is known; 0 if none was reported.
func (u *Upstream) TypicalWorkPercent() int {
	if u.load.usual.percent > 0 {
		return u.load.usual.percent
	}
	if u.load.last.WorkPercent == 0 {
		return 0
	}
	return min(max(u.load.last.WorkPercent, minWorkPercent), maxWorkPercent)
}

// knowsInterval reports whether the time between output tokens is known, by observation or, while
// the upstream reports its load, by prediction from other upstreams.
func (u *Upstream) knowsInterval(now time.Time) bool {
	return u.Speed.KnowsInterval() || u.Speed.AssumesInterval() && u.load.isCurrent(now)
}

// observeWork records a reported work time. If the usual one turns out to be shorter, the learned
// times are shortened with it. They are not lengthened: an upstream that falsely appears slow could
// get no more requests by which to correct its speed.
func (u *Upstream) observeWork(now time.Time, percent int) {
	l := &u.load
	l.workExcess = 0
	if percent == 0 {
		return
	}
	percent = min(max(percent, minWorkPercent), maxWorkPercent)
	before := l.usual.percent
	l.usual.observe(now, percent)
	if l.usual.percent == 0 {
		return
	}
	if l.usual.percent < before {
		scaling := float64(l.usual.percent) / float64(before)
		u.Speed.ScaleTimes(scaling)
		l.plainTime = scale(scaling, l.plainTime)
	}
	factor := float64(percent) / float64(l.usual.percent)
	l.workExcess = min(max(factor, 1/maxWorkFactor), maxWorkFactor) - 1
}

// WorkFactor returns how long work takes over the next time span, relative to what the learned speed
// predicts. It is 1 unless the upstream reports its work time.
func (u *Upstream) WorkFactor(now time.Time, over time.Duration) float64 {
	l := &u.load
	if l.workExcess == 0 || !l.isCurrent(now) {
		return 1
	}
	if !l.fadedAt.Equal(now) {
		l.faded, l.fadedAt = l.workExcess*math.Exp2(-float64(now.Sub(l.at))/float64(workHalfLife)), now
	}
	return MeanWorkFactor(1+l.faded, over)
}

// MeanWorkFactor returns the average, over the next time span, of a work factor that is initial now
// and fades towards 1 with a half-life of workHalfLife.
func MeanWorkFactor(initial float64, over time.Duration) float64 {
	if initial == 1 || over <= 0 {
		return initial
	}
	halfLives := float64(over) / float64(workHalfLife)
	return 1 + (initial-1)*(1-math.Exp2(-halfLives))/(halfLives*math.Ln2)
}

// InUsualState converts a time that the upstream took from a moment with the given work factor to
// the time that it would have taken in the usual state.
func InUsualState(took time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return took
	}
	return scale(1/MeanWorkFactor(factor, took), took)
}

// PredictFirstToken predicts the time to the first token if the given number of prompt tokens is to
// be prefilled before it.
func (u *Upstream) PredictFirstToken(now time.Time, tokens int) time.Duration {
	usual := u.Speed.PredictFirstToken(tokens)
	if u.load.workExcess == 0 {
		return usual
	}
	return scale(u.WorkFactor(now, usual), usual)
}

// predictInterval predicts the time between output tokens, on average over a response of the given
// number of tokens, with one more sequence running.
func (u *Upstream) predictInterval(now time.Time, tokens int) time.Duration {
	usual := u.Speed.PredictDecode(1, 1)
	if u.load.workExcess == 0 {
		return usual
	}
	return scale(u.WorkFactor(now, usual*time.Duration(max(tokens, 1))), usual)
}

// ObservePlainResponse records the time that a response to a request without prompt took, converted
// to the usual state.
func (u *Upstream) ObservePlainResponse(took time.Duration) {
	l := &u.load
	if l.plainTime == 0 {
		l.plainTime = took
		return
	}
	l.plainTime += scale(plainTimeGain, took-l.plainTime)
}

// extraPlainTime returns by how much longer than on an ordinary machine a request without prompt is
// predicted to take; negative on a faster one, and 0 if it is unknown.
func (u *Upstream) extraPlainTime(now time.Time) time.Duration {
	l := &u.load
	if l.usual.percent == 0 || l.last.WorkPercent == 0 || !l.isCurrent(now) {
		return 0
	}
	ordinary := min(100/float64(l.usual.percent), maxOrdinaryTime)
	return scale(u.WorkFactor(now, l.plainTime)-ordinary, l.plainTime)
}

// usualWork estimates the usual work time of a machine as the median of samples. The median ignores
// disturbances, which slow a machine for less than half of the time, and single false reports.
type usualWork struct {
	percent int // the median; 0 if unknown
	samples [maxWorkSamples]int32
	taken   int // number of samples ever taken
	at      time.Time
}

// observe takes a sample of the reported work time if the last one is old enough.
func (w *usualWork) observe(now time.Time, percent int) {
	if w.taken > 0 && now.Sub(w.at) < workSampleInterval {
		return
	}
	w.samples[w.taken%maxWorkSamples] = int32(percent)
	w.taken++
	w.at = now
	if w.taken >= minWorkSamples {
		w.percent = w.median()
	}
}

// median returns the lower median of the samples.
func (w *usualWork) median() int {
	sorted := w.samples
	n := min(w.taken, maxWorkSamples)
	slices.Sort(sorted[:n])
	return int(sorted[(n-1)/2])
}
