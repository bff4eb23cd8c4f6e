package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/queue"
)

const (
	transitPlainSlots     = 6
	transitPlainUpstreams = 3
	transitPlainWork      = 60 * time.Millisecond
	transitPlainObjective = 300 * time.Millisecond
	transitPlainLength    = 10 * time.Second
)

// transitUpstream is a simulated upstream that runs as many requests at once as it has slots and queues
// the others.
type transitUpstream struct{ running, waiting, slots int }

// transitLoad runs an open load of plain requests against a Core in virtual time. Each message between
// owner, instance and upstream takes a random time of up to leg.
type transitLoad struct {
	core      *Core
	random    *rand.Rand
	now       time.Time
	due       eventQueue
	upstreams map[string]*transitUpstream
	queued    map[string][]func()
	leg       time.Duration
	// run runs a request that has got a slot.
	run func(u *transitUpstream, g *Grant)
	// report changes the reports; nil leaves them as they are.
	report func(r loadreport.Report) loadreport.Report

	arrived, inTime    int
	refused            [3]int // by rank
	worst, worstQueued int    // most requests counted and waiting at one upstream
	grants             []*Grant
	log                []string
}

// runTransit runs a load of the given factor of the capacity.
func runTransit(maxBacklog int, factor float64, leg time.Duration, report func(loadreport.Report) loadreport.Report) *transitLoad {
	l := newTransitLoad(maxBacklog, leg, report)
	l.runPlain(factor)
	return l
}

func newTransitLoad(maxBacklog int, leg time.Duration, report func(loadreport.Report) loadreport.Report) *transitLoad {
	return &transitLoad{
		core:      New(Options{Picker: &balancer.ObjectivePicker{Weights: balancer.DefaultObjectiveWeights}, Limits: queue.Limits{MaxItems: 2000, MaxBytes: 1 << 30}, MinRetryAfter: 100 * time.Millisecond, MaxBacklog: maxBacklog}),
		random:    rand.New(rand.NewPCG(1, 9)),
		now:       start,
		upstreams: map[string]*transitUpstream{},
		queued:    map[string][]func(){},
		leg:       leg,
		report:    report,
	}
}

// runPlain runs plain requests at the given factor of the capacity.
func (l *transitLoad) runPlain(factor float64) {
	var members []Member
	for i := range transitPlainUpstreams {
		id := fmt.Sprint(i)
		members = append(members, Member{ID: id, Zone: "bole", Slots: transitPlainSlots})
		l.upstreams[id] = &transitUpstream{slots: transitPlainSlots}
	}
	l.core.SetMembers(members)
	l.run = l.work
	l.arrive(factor * transitPlainUpstreams * transitPlainSlots / transitPlainWork.Seconds())
	l.runEvents()
}

// runEvents runs all events that are due, and those that they cause.
func (l *transitLoad) runEvents() {
	for len(l.due) > 0 {
		next := heap.Pop(&l.due).(scheduledEvent)
		l.now = next.at
		next.run()
		l.carryOut(l.core.Poll(l.now))
	}
}

func (l *transitLoad) later(d time.Duration, run func()) {
	heap.Push(&l.due, scheduledEvent{l.now.Add(d), run})
}

// message runs a step after the time of one message.
func (l *transitLoad) message(run func()) {
	l.later(time.Duration(l.random.Float64()*float64(l.leg)), run)
}

func (l *transitLoad) arrive(perSecond float64) {
	if l.now.Sub(start) > transitPlainLength {
		return
	}
	l.later(time.Duration(l.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		l.arrived++
		l.carryOut(l.core.Submit(l.now, &Request{Organisation: "a", Share: 1, Arrived: l.now, Deadline: l.now.Add(1500 * time.Millisecond), MaxWait: 66 * time.Millisecond, LatencyObjective: transitPlainObjective, AllowLate: true}))
		l.arrive(perSecond)
	})
}

func (l *transitLoad) carryOut(d Decisions) {
	for _, s := range d.Sheds {
		l.log = append(l.log, fmt.Sprint(l.now.Sub(start), " ", s.Problem))
		l.refused[s.Request.Rank]++
	}
	for _, g := range d.Grants {
		l.log = append(l.log, fmt.Sprint(l.now.Sub(start), " ", g.Upstream.ID))
		l.worst = max(l.worst, g.Running)
		l.grants = append(l.grants, g)
		l.message(func() { l.message(func() { l.reach(g) }) })
	}
}

// reach lets a request arrive at its upstream.
func (l *transitLoad) reach(g *Grant) {
	u := l.upstreams[g.Upstream.ID]
	if u.running == u.slots {
		u.waiting++
		l.worstQueued = max(l.worstQueued, u.waiting)
		l.queued[g.Upstream.ID] = append(l.queued[g.Upstream.ID], func() { l.run(u, g) })
		return
	}
	l.run(u, g)
}

// work runs a request and sends its response, with the report of the moment, by way of its instance to
// the owner.
func (l *transitLoad) work(u *transitUpstream, g *Grant) {
	u.running++
	l.later(transitPlainWork, func() {
		r := l.reportOf(u)
		l.release(u, g)
		l.message(func() {
			if l.now.Sub(g.Request.Arrived) <= transitPlainObjective {
				l.inTime++
			}
			l.message(func() {
				l.core.RecordLoad(l.now, g, r)
				l.carryOut(l.core.RecordFirstToken(l.now, g))
				l.carryOut(l.core.End(l.now, g, Completed, 0))
			})
		})
	})
}

// reportOf returns the report of an upstream at this moment.
func (l *transitLoad) reportOf(u *transitUpstream) loadreport.Report {
	r := loadreport.Report{Running: u.running, Waiting: u.waiting, Slots: u.slots}
	if l.report == nil {
		return r
	}
	return l.report(r)
}

// release ends a request at its upstream. The first one that waits there gets the slot.
func (l *transitLoad) release(u *transitUpstream, g *Grant) {
	u.running--
	if q := l.queued[g.Upstream.ID]; len(q) > 0 {
		u.waiting--
		l.queued[g.Upstream.ID] = q[1:]
		q[0]()
	}
}

// A plain service of short work at saturation: while messages are on their way, slots are idle although
// requests are refused. Requests that wait at the upstream use them.
func TestBacklogUsesIdleSlots(t *testing.T) {
	is := is.New(t)
	slots, more := runTransit(0, 1.3, 8*time.Millisecond, nil), runTransit(2, 1.3, 8*time.Millisecond, nil)
	t.Logf("in time %d and %d of %d, at most %d counted and %d waiting at an upstream", slots.inTime, more.inTime, more.arrived, more.worst, more.worstQueued)
	is.Equal(slots.worst, transitPlainSlots)
	is.True(more.worst > transitPlainSlots && more.worst <= transitPlainSlots+2)
	is.True(float64(more.inTime) > 1.05*float64(slots.inTime))
	is.Equal(slots.core.LoadReports(slots.now).BeyondSlots, int64(0))
	is.True(more.core.LoadReports(more.now).BeyondSlots > 0)
}

// Requests that reach the upstream at once leave no slot idle. A backlog gains nothing there, and must
// cost nothing.
func TestBacklogCostsNothingWithoutTransit(t *testing.T) {
	is := is.New(t)
	slots, more := runTransit(0, 1.3, 0, nil), runTransit(2, 1.3, 0, nil)
	t.Logf("in time %d and %d of %d", slots.inTime, more.inTime, more.arrived)
	is.Equal(slots.worst, transitPlainSlots)
	is.True(more.worst <= transitPlainSlots+2)
	is.True(float64(more.inTime) > 0.99*float64(slots.inTime))
}

// The wait at the upstream must not count as part of the time that a request holds a slot, or of the
// response time to learn: with it, the backlog would shrink by its own effect. Messages take up to four
// legs, and two of different times lie at either end of a hold after a wait.
func TestWaitsAtTheUpstreamDoNotLengthenLearnedTimes(t *testing.T) {
	is := is.New(t)
	const leg = 8 * time.Millisecond
	for _, backlog := range []int{0, 2, 8} {
		l := runTransit(backlog, 1.5, leg, nil)
		for _, u := range l.core.Upstreams() {
			u.Running = u.Slots
			hold := u.SlotWait(l.now) * time.Duration(u.Slots)
			t.Logf("backlog %d: a slot is held for %v", backlog, hold)
			is.True(hold > transitPlainWork-leg/2 && hold < transitPlainWork+4*leg)
		}
	}
}

// An upstream that falsely reports to be idle queues at most as many requests as the setting says.
func TestFalselyIdleUpstreamQueuesAtMostMaxBacklog(t *testing.T) {
	is := is.New(t)
	idle := func(r loadreport.Report) loadreport.Report { return loadreport.Report{Slots: r.Slots} }
	l := runTransit(2, 1.5, 4*time.Millisecond, idle)
	is.Equal(l.worst, transitPlainSlots+2)
	is.True(l.worstQueued <= 2)
}

// An upstream that stops reporting, here after 5 s, must get its slots alone from 1 s later on.
func TestUpstreamThatStopsReportingGetsItsSlotsAlone(t *testing.T) {
	is := is.New(t)
	var l *transitLoad
	l = newTransitLoad(2, 8*time.Millisecond, func(r loadreport.Report) loadreport.Report {
		if l.now.Sub(start) > transitPlainLength/2 {
			return loadreport.Report{}
		}
		return r
	})
	l.runPlain(1.3)
	beyond := map[bool]int{}
	for _, g := range l.grants {
		if g.Running > transitPlainSlots {
			beyond[g.GrantedAt.Sub(start) > transitPlainLength/2+time.Second+2*l.leg]++
		}
	}
	t.Logf("%d requests beyond the slots with reports, %d without", beyond[false], beyond[true])
	is.True(beyond[false] > 0)
	is.Equal(beyond[true], 0)
}

// Without the setting and without a reported work time, decisions are the same as without reports.
func TestReportsAloneChangeNoDecision(t *testing.T) {
	is := is.New(t)
	none := func(loadreport.Report) loadreport.Report { return loadreport.Report{} }
	without, with := runTransit(0, 1.3, 8*time.Millisecond, none), runTransit(0, 1.3, 8*time.Millisecond, nil)
	is.Equal(with.log, without.log)
	is.Equal(without.core.LoadReports(without.now).Newest, time.Time{})
}

const (
	disturbedEngines = 6
	disturbedRate    = 10_000.0 // prompt tokens per second in the usual state
	disturbedPrompt  = 1500
	disturbedFactor  = 2.5
	disturbedTime    = 600 * time.Millisecond
	disturbedOverall = 4 * time.Second // each engine is disturbed once in this time
)

// isDisturbed reports whether an engine is disturbed at a time; each in turn.
func isDisturbed(engine int, at time.Duration) bool {
	shift := disturbedOverall / disturbedEngines * time.Duration(engine)
	return (at+shift)%disturbedOverall < disturbedTime
}

// prefillTime returns the time that an engine takes to prefill a prompt from a time on.
func prefillTime(engine int, at time.Duration) time.Duration {
	const step = time.Millisecond
	took := time.Duration(0)
	for done := 0.0; done < disturbedPrompt/disturbedRate; took += step {
		work := step.Seconds()
		if isDisturbed(engine, at+took) {
			work /= disturbedFactor
		}
		done += work
	}
	return took
}

// runDisturbed sends a request at a time to engines that are disturbed in turn, and returns the mean
// time to the first token and the Core. Reports have the work time if report is true.
func runDisturbed(t *testing.T, report bool) (time.Duration, *Core) {
	is := is.New(t)
	c := New(Options{Picker: &balancer.ObjectivePicker{Weights: balancer.DefaultObjectiveWeights}, Limits: queue.Limits{MaxItems: 2000, MaxBytes: 1 << 30}})
	var members []Member
	for i := range disturbedEngines {
		members = append(members, Member{ID: fmt.Sprint(i), Zone: "bole", Slots: 5})
	}
	c.SetMembers(members)
	var due eventQueue
	total, n := time.Duration(0), 0
	for at := time.Duration(0); at < 60*time.Second; at += 8 * time.Millisecond {
		for len(due) > 0 && due[0].at.Before(start.Add(at)) {
			heap.Pop(&due).(scheduledEvent).run()
		}
		now := start.Add(at)
		d := c.Submit(now, &Request{Organisation: "a", Share: 1, Arrived: now, Deadline: now.Add(12 * time.Second), LatencyObjective: 200 * time.Millisecond, AllowLate: true, PromptTokens: disturbedPrompt, MaxOutput: 10})
		is.Equal(len(d.Grants), 1)
		g := d.Grants[0]
		engine := int(g.Upstream.ID[0] - '0')
		took := prefillTime(engine, at)
		total, n = total+took, n+1
		first := now.Add(took)
		heap.Push(&due, scheduledEvent{first, func() {
			r := loadreport.Report{Running: 1, Slots: 5}
			if report {
				r.WorkPercent = 100
				if isDisturbed(engine, first.Sub(start)) {
					r.WorkPercent = 100 * disturbedFactor
				}
			}
			c.RecordLoad(first, g, r)
			c.RecordFirstToken(first, g)
			c.End(first, g, Completed, 5)
		}})
	}
	return total / time.Duration(n), c
}

// Engines that are disturbed for 600 ms get fewer requests meanwhile.
func TestReportedWorkTimeAvoidsDisturbedEngines(t *testing.T) {
	is := is.New(t)
	without, _ := runDisturbed(t, false)
	with, c := runDisturbed(t, true)
	t.Logf("mean time to the first token %v without and %v with reports", without, with)
	is.True(with < without)
	for _, u := range c.Upstreams() {
		is.Equal(u.TypicalWorkPercent(), 100)
	}
}

// The learned speed is that of the usual state: times observed during a disturbance are divided by the
// work factor.
func TestLearnedSpeedIsThatOfTheUsualState(t *testing.T) {
	is := is.New(t)
	c := New(Options{Picker: &balancer.ObjectivePicker{Weights: balancer.DefaultObjectiveWeights}, Limits: queue.Limits{MaxItems: 9, MaxBytes: 1 << 20}})
	c.SetMembers([]Member{{ID: "u", Slots: 5}})
	serve := func(now time.Time, first, interval time.Duration, percent int) {
		g := c.Submit(now, &Request{Arrived: now, Deadline: now.Add(time.Minute), AllowLate: true, PromptTokens: 1000, MaxOutput: 200}).Grants[0]
		c.RecordLoad(now.Add(first), g, loadreport.Report{Running: 1, Slots: 5, WorkPercent: percent})
		c.RecordFirstToken(now.Add(first), g)
		c.End(now.Add(first+99*interval), g, Completed, 100)
	}
	const first, interval = 110 * time.Millisecond, 10 * time.Millisecond
	now := start
	for range 60 {
		serve(now, first, interval, 300)
		now = now.Add(2 * time.Second)
	}
	u := c.Upstreams()[0]
	rate := u.Speed.Prefill()
	u.ObserveLoad(now, loadreport.Report{Running: 1, Slots: 5, WorkPercent: 750})
	slow := func(d time.Duration, mean float64) time.Duration { return time.Duration(float64(d) * mean) }
	took := slow(first, 2.2) // about the mean of 2.5 fading over that time
	whole := took + 99*interval
	is.True(math.Abs(float64(u.PredictFirstToken(now, 1000))/float64(took)-1) < 0.1)
	serve(now, took, slow(interval, balancer.MeanWorkFactor(2.5, whole)), 750)
	is.True(math.Abs(u.Speed.Prefill()/rate-1) < 0.02)
	is.True((u.Speed.Interval() - interval).Abs() < interval/20)
}

// The speed of an engine that hasn't been observed is predicted from that of the others and the work
// times. An engine that falsely reports to be slow must get requests again once its reports stop.
func TestUnknownSpeedIsPredictedFromWorkTimes(t *testing.T) {
	is := is.New(t)
	c := New(Options{Picker: &balancer.ObjectivePicker{Weights: balancer.DefaultObjectiveWeights}, Limits: queue.Limits{MaxItems: 9, MaxBytes: 1 << 20}})
	c.SetMembers([]Member{{ID: "known", Slots: 5}, {ID: "new", Slots: 5}})
	known, unknown := c.byID["known"], c.byID["new"]
	for i := range 100 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		g := &Grant{Request: &Request{PromptTokens: 1000}, Upstream: known, GrantedAt: at, tokensAhead: 1000, workFactor: 1}
		c.RecordLoad(at, g, loadreport.Report{Running: 1, Slots: 5, WorkPercent: 50})
		c.observeInterval(at, g, 5*time.Millisecond)
		c.observeFirstToken(g, 105*time.Millisecond)
	}
	now := start.Add(10 * time.Second)
	c.RecordLoad(now, &Grant{Upstream: unknown}, loadreport.Report{Running: 1, Slots: 5, WorkPercent: 300})
	is.True((unknown.Speed.Interval() - 30*time.Millisecond).Abs() < time.Millisecond)
	is.True((unknown.PredictFirstToken(now, 1000) - 630*time.Millisecond).Abs() < 20*time.Millisecond)
	is.True(!unknown.Speed.KnowsInterval())

	c.RecordLoad(now, &Grant{Upstream: unknown}, loadreport.Report{Running: 1, Slots: 5, WorkPercent: loadreport.MaxFigure})
	long := balancer.Work{PromptTokens: 10, ExpectedOutput: 500, MaxOutput: 1000, EndWithin: 12 * time.Second}
	is.Equal(c.options.Picker.Pick(now, c.upstreams, long).Upstream, known)
	known.Running = 5
	is.Equal(c.options.Picker.Pick(now, c.upstreams, long).Upstream, nil)
	is.Equal(c.options.Picker.Pick(now.Add(1001*time.Millisecond), c.upstreams, long).Upstream, unknown)
}

// Reports of one process must not apply to the next one under its ID, nor may those from before a
// failure, after which the process may have restarted unnoticed.
func TestReportsAreDroppedWithTheProcess(t *testing.T) {
	is := is.New(t)
	c := New(Options{Picker: &balancer.ObjectivePicker{Weights: balancer.DefaultObjectiveWeights}, Limits: queue.Limits{MaxItems: 9, MaxBytes: 1 << 20}, MaxBacklog: 2})
	plain := func() *Request { return &Request{Arrived: start, Deadline: start.Add(time.Minute), AllowLate: true} }
	fill := func(members []Member) (grants []*Grant) {
		c.SetMembers(members)
		for range 9 {
			if !c.Upstreams()[0].HasCapacity(start, 0) {
				break
			}
			grants = append(grants, c.Submit(start, plain()).Grants...)
		}
		return grants
	}
	idle := loadreport.Report{Slots: 3}
	old := fill([]Member{{ID: "u", Slots: 3, Incarnation: 1}})
	is.Equal(len(old), 3)
	old[0].Upstream.ObserveHold(50 * time.Millisecond)
	c.RecordLoad(start, old[0], idle)
	more := fill([]Member{{ID: "u", Slots: 3, Incarnation: 1}})
	is.Equal(len(more), 2)

	is.Equal(len(fill([]Member{{ID: "u", Slots: 3, Incarnation: 2}})), 3)
	c.RecordLoad(start, old[0], idle) // a late report of the old process
	is.True(!c.Upstreams()[0].HasRecentReport(start))

	fresh := c.Upstreams()[0]
	g := &Grant{Upstream: fresh, Request: plain(), GrantedAt: start}
	c.RecordLoad(start, g, idle)
	is.True(fresh.HasRecentReport(start))
	c.RecordFailure(start, g)
	is.True(!fresh.HasRecentReport(start))
}

// An invalid report must change nothing. The metrics count the valid ones by kind.
func TestLoadReportMetrics(t *testing.T) {
	is := is.New(t)
	c := newCore(9, "a", "b", "c")
	a, b := c.Upstreams()[0], c.Upstreams()[1]
	a.Running = 4
	is.Equal(c.LoadReports(start).Age(start), time.Duration(-1))
	c.RecordLoad(start, &Grant{Upstream: a}, loadreport.Report{Running: 9, Slots: 3})
	c.RecordLoad(start, &Grant{Upstream: a}, loadreport.Report{})
	is.Equal(c.LoadReports(start), LoadReports{})
	for range 200 {
		c.RecordLoad(start, &Grant{Upstream: a}, loadreport.Report{Running: 2, Slots: 6, WorkPercent: 100})
	}
	later := start.Add(900 * time.Millisecond)
	c.RecordLoad(later, &Grant{Upstream: b}, loadreport.Report{Slots: 6})
	r := c.LoadReports(later)
	is.Equal(r.WithWork, int64(200))
	is.Equal(r.WithoutWork, int64(1))
	is.Equal(r.Upstreams, 2)
	is.True(math.Abs(r.MeanInTransit()-1) < 1e-6)
	is.Equal(r.Age(later.Add(time.Minute)), time.Minute)
	is.Equal(c.LoadReports(start.Add(time.Hour)).Upstreams, 0)

	sum := LoadReports{}
	is.Equal(sum.MeanInTransit(), 0.0)
	sum.Add(r)
	sum.Add(LoadReports{WithWork: 1, Upstreams: 2, Newest: start})
	is.Equal(sum.WithWork, int64(201))
	is.True(math.Abs(sum.MeanInTransit()-0.5) < 1e-6)
	is.Equal(sum.Newest, later)
}
