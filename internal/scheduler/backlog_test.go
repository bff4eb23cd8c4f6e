package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/queue"
)

const (
	// backlogEngines engines have backlogSlots slots each. Every third one is slow.
	backlogEngines = 30
	backlogSlots   = 5
	// backlogPrefill is the number of prompt tokens per second, and backlogInterval the time between
	// output tokens, of an engine with a work time of 1.
	backlogPrefill  = 50_000.0
	backlogInterval = 2500 * time.Microsecond
	// The burst multiplies the capacity by backlogBurst from backlogBurstAt to backlogBurstEnd; else
	// the load is backlogUsual of it.
	backlogBurst    = 1.5
	backlogUsual    = 0.8
	backlogBurstAt  = 6 * time.Second
	backlogBurstEnd = 11 * time.Second
	backlogLength   = 14 * time.Second
	// backlogMaxWait is the share of the objective for which a request waits in the queue.
	backlogMaxWait = 0.22
	// backlogLeg is the longest time of a message.
	backlogLeg = 10 * time.Millisecond
)

// backlogSeeds is the number of bursts of each kind. Two take 20 s with the race detector.
var backlogSeeds = flag.Uint64("backlog-seeds", 2, "simulated bursts with and without a backlog")

// backlogKinds are streams like those of a deployment with long, medium and short prompts.
var backlogKinds = []struct {
	share    float64 // of all requests
	prompt   int
	output   int
	deadline time.Duration
}{
	{0.25, 3780, 70, 12 * time.Second},
	{0.35, 2950, 80, 6 * time.Second},
	{0.4, 1170, 200, 12 * time.Second},
}

// backlogWork returns the work time of an engine relative to an ordinary one.
func backlogWork(engine int) float64 {
	if engine%3 == 2 {
		return 3
	}
	return 0.68
}

// engineBurst is a burst of streams at engines.
type engineBurst struct {
	*transitLoad
	engines      map[*transitUpstream]float64 // work times
	inTimeOfRank [3]int
	lateOfRank   [3]int
	objectives   [3]time.Duration
	arrivals     *rand.Rand // apart from that of messages, so that equal seeds have equal arrivals
}

// runBurst runs a burst at engines of which each holds as many requests beyond its slots as maxBacklog
// says.
func runBurst(maxBacklog int, objectives [3]time.Duration, seed uint64) *engineBurst {
	b := &engineBurst{transitLoad: newTransitLoad(maxBacklog, backlogLeg, nil), engines: map[*transitUpstream]float64{}, objectives: objectives, arrivals: rand.New(rand.NewPCG(seed, 3))}
	var members []Member
	for i := range backlogEngines {
		id := fmt.Sprint(i)
		members = append(members, Member{ID: id, Zone: "bole", Slots: backlogSlots})
		b.upstreams[id] = &transitUpstream{slots: backlogSlots}
		b.engines[b.upstreams[id]] = backlogWork(i)
	}
	b.core.SetMembers(members)
	b.run = b.stream
	b.arrive(b.capacity())
	b.runEvents()
	return b
}

// capacity returns the requests per second that keep all slots busy without gaps.
func (b *engineBurst) capacity() (perSecond float64) {
	mean := 0.0
	for _, k := range backlogKinds {
		mean += k.share * (float64(k.prompt)/backlogPrefill + (backlogInterval * time.Duration(k.output)).Seconds())
	}
	for _, work := range b.engines {
		perSecond += backlogSlots / mean / work
	}
	return perSecond
}

// arrive lets requests arrive at the rate of the moment until the end.
func (b *engineBurst) arrive(capacity float64) {
	passed := b.now.Sub(start)
	if passed > backlogLength {
		return
	}
	rate := backlogUsual * capacity
	if passed >= backlogBurstAt && passed < backlogBurstEnd {
		rate = backlogBurst * capacity
	}
	b.later(time.Duration(b.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		b.submit()
		b.arrive(capacity)
	})
}

// submit submits a request of a random kind. The rank of a kind is its index.
func (b *engineBurst) submit() {
	rank, at := 0, b.arrivals.Float64()
	for at >= backlogKinds[rank].share && rank < len(backlogKinds)-1 {
		at -= backlogKinds[rank].share
		rank++
	}
	k, objective := backlogKinds[rank], b.objectives[rank]
	b.arrived++
	d := b.core.Submit(b.now, &Request{
		Rank: rank, Organisation: "a", Share: 1, Arrived: b.now, Deadline: b.now.Add(k.deadline), LatencyObjective: objective,
		MaxWait: time.Duration(backlogMaxWait * float64(objective)), AllowLate: true, PromptTokens: k.prompt, MaxOutput: 2 * k.output, ExpectedOutput: k.output,
	})
	b.carryOut(d)
}

// stream runs a request that has got a slot: its first token is sent after the prefill, with the report
// of the moment, and the slot is free after the last one.
func (b *engineBurst) stream(u *transitUpstream, g *Grant) {
	u.running++
	r := g.Request
	work := b.engines[u]
	first := time.Duration(work * float64(r.PromptTokens) / backlogPrefill * float64(time.Second))
	whole := first + time.Duration(work*float64(backlogInterval)*float64(r.ExpectedOutput))
	b.later(first, func() { b.sendFirst(g, b.reportOf(u)) })
	b.later(whole, func() {
		b.release(u, g)
		b.message(func() {
			b.message(func() { b.carryOut(b.core.End(b.now, g, Completed, r.ExpectedOutput)) })
		})
	})
}

// sendFirst sends the first token by way of the instance to the owner.
func (b *engineBurst) sendFirst(g *Grant, r loadreport.Report) {
	b.message(func() {
		if b.now.Sub(g.Request.Arrived) <= g.Request.LatencyObjective {
			b.inTime++
			b.inTimeOfRank[g.Request.Rank]++
		} else {
			b.lateOfRank[g.Request.Rank]++
		}
		b.message(func() {
			b.core.RecordLoad(b.now, g, r)
			b.carryOut(b.core.RecordFirstToken(b.now, g))
		})
	})
}

// Engines with streams in a burst at 1.5 times the capacity: more requests must be in time with a
// backlog than without, and the most important ones must not be late because of it.
func TestBacklogOfEnginesInABurst(t *testing.T) {
	for name, objectives := range map[string][3]time.Duration{
		"long objectives":                       {time.Second, 800 * time.Millisecond, 600 * time.Millisecond},
		"short objective of the most important": {400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range *backlogSeeds {
				without, with := runBurst(0, objectives, seed), runBurst(2, objectives, seed)
				is := is.New(t)
				for _, b := range []*engineBurst{without, with} {
					t.Logf("seed %d: %d arrived, in time %d %v, late %v, refused %v, beyond %d, at most %d counted and %d waiting", seed, b.arrived, b.inTime, b.inTimeOfRank, b.lateOfRank, b.refused, b.core.LoadReports(b.now).BeyondSlots, b.worst, b.worstQueued)
				}
				is.True(float64(with.inTime) > 1.02*float64(without.inTime))
				is.True(with.inTimeOfRank[0] >= without.inTimeOfRank[0])
				is.Equal(with.lateOfRank[0], 0)
				is.Equal(without.worst, backlogSlots)
				is.True(with.worst <= backlogSlots+2)
				is.Equal(without.core.LoadReports(without.now).BeyondSlots, int64(0))
			}
		})
	}
}

// newBacklogCore returns a Core with one upstream of the given slots at which two requests may wait. A
// request holds a slot for 100 ms.
func newBacklogCore(slots int) (*Core, *balancer.Upstream) {
	c := New(Options{Picker: &balancer.ObjectivePicker{Weights: balancer.DefaultObjectiveWeights}, Limits: queue.Limits{MaxItems: 9, MaxBytes: 1 << 20}, MaxBacklog: 2})
	c.SetMembers([]Member{{ID: "u", Slots: slots}})
	u := c.Upstreams()[0]
	u.ObserveHold(100 * time.Millisecond)
	u.ObserveLoad(start, loadreport.Report{Slots: slots})
	return c, u
}

// grantPlain submits a plain request without objective, and returns its grant.
func grantPlain(t *testing.T, c *Core, now time.Time) *Grant {
	is := is.New(t)
	d := c.Submit(now, &Request{Organisation: "a", Share: 1, Arrived: now, Deadline: now.Add(time.Minute), AllowLate: true})
	is.Equal(len(d.Grants), 1)
	return d.Grants[0]
}

// A request has its slot when as many of those granted before it have ended as were ahead of it. Ends of
// those granted after it, or a first token that overtakes an end, must not be taken for its slot.
func TestTimeInSlotStartsWithTheSlot(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at    time.Duration
		grant int // the one that ends, or has its first token if first is set
		first bool
	}
	for name, c := range map[string]struct {
		steps []step
		known bool
		want  time.Duration // in the slot of the last grant, at 100 ms
	}{
		"two ended before it":                 {[]step{{20 * ms, 0, false}, {50 * ms, 1, false}}, true, 50 * ms},
		"one ended before it":                 {[]step{{20 * ms, 0, false}}, false, 0},
		"one waiting before it was given up":  {[]step{{20 * ms, 2, false}, {50 * ms, 0, false}}, true, 50 * ms},
		"its first token comes before an end": {[]step{{20 * ms, 0, false}, {30 * ms, 3, true}, {50 * ms, 1, false}}, false, 0},
		"a third end changes nothing":         {[]step{{20 * ms, 0, false}, {50 * ms, 1, false}, {70 * ms, 2, false}}, true, 50 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core, _ := newBacklogCore(2)
			var grants []*Grant
			for range 4 {
				grants = append(grants, grantPlain(t, core, start))
			}
			for _, s := range c.steps {
				if s.first {
					core.RecordFirstToken(start.Add(s.at), grants[s.grant])
					continue
				}
				core.End(start.Add(s.at), grants[s.grant], Cancelled, 0)
			}
			got, known := grants[3].inSlot(start.Add(100 * ms))
			is.Equal(known, c.known)
			if known {
				is.Equal(got, c.want)
			}
			is.True(len(core.slotWaits) <= 1)
		})
	}
}

// The end of a request that was granted later doesn't free the slot of one that waits before it.
func TestEndBehindAWaitingRequestLeavesItWaiting(t *testing.T) {
	is := is.New(t)
	c, u := newBacklogCore(2)
	grants := []*Grant{grantPlain(t, c, start), grantPlain(t, c, start), grantPlain(t, c, start), grantPlain(t, c, start)}
	is.Equal(grants[2].Running, 3)
	c.End(start, grants[3], Cancelled, 0)
	_, known := grants[2].inSlot(start)
	is.True(!known)
	c.End(start, grants[0], Cancelled, 0)
	_, known = grants[2].inSlot(start)
	is.True(known)
	is.Equal(len(c.slotWaits), 0)
	is.Equal(u.Running, 2)
}

// Prompts behind a request that waits aren't prefilled before its own. If they counted, engines would be
// learned as faster than they are.
func TestPromptsOfRequestsBehindItDoNotCount(t *testing.T) {
	is := is.New(t)
	c, _ := newBacklogCore(1)
	var grants []*Grant
	for range 3 {
		d := c.Submit(start, &Request{Organisation: "a", Share: 1, Arrived: start, Deadline: start.Add(time.Minute), AllowLate: true, PromptTokens: 1000})
		is.Equal(len(d.Grants), 1)
		grants = append(grants, d.Grants...)
	}
	is.Equal(grants[1].tokensAhead, 2000)
	c.RecordFirstToken(start, grants[0])
	c.End(start, grants[0], Completed, 1)
	is.Equal(grants[1].tokensAhead, 1000)
	c.End(start, grants[1], Cancelled, 0)
	is.Equal(grants[2].tokensAhead, 1000)
}

// The learned hold is that of the usual state: one during a disturbance is converted.
func TestHoldIsThatOfTheUsualState(t *testing.T) {
	is := is.New(t)
	c := New(Options{Picker: &balancer.ObjectivePicker{Weights: balancer.DefaultObjectiveWeights}, Limits: queue.Limits{MaxItems: 9, MaxBytes: 1 << 20}, MaxBacklog: 2})
	c.SetMembers([]Member{{ID: "u", Slots: 1}})
	u := c.Upstreams()[0]
	for i := range 10 {
		u.ObserveLoad(start.Add(time.Duration(i-10)*time.Second), loadreport.Report{Slots: 1, WorkPercent: 100})
	}
	u.ObserveLoad(start, loadreport.Report{Slots: 1, WorkPercent: 250})
	const took = 200 * time.Millisecond
	c.End(start.Add(took), grantPlain(t, c, start), Completed, 0)
	u.Running = 1
	is.Equal(u.SlotWait(start.Add(time.Minute)), balancer.InUsualState(took, 2.5)) // the disturbance is over
	is.True(u.SlotWait(start.Add(took)) > u.SlotWait(start.Add(time.Minute)))
}

// Only completed requests tell for how long a slot is held: others may never have had one.
func TestHoldIsLearnedFromCompletedRequestsAlone(t *testing.T) {
	for result := range resultCount {
		t.Run(fmt.Sprint(result), func(t *testing.T) {
			is := is.New(t)
			c, u := newBacklogCore(1)
			g := grantPlain(t, c, start)
			before := u.SlotWait(start)
			is.Equal(before, 100*time.Millisecond)
			c.End(start.Add(time.Second), g, result, 0)
			u.Running = 1
			is.Equal(u.SlotWait(start) != before, result == Completed)
		})
	}
}

// The timeout for the first token is a multiple of the prediction, which must include the wait.
func TestPredictedFirstTokenIncludesTheWait(t *testing.T) {
	is := is.New(t)
	c, _ := newBacklogCore(1)
	first, second := grantPlain(t, c, start), grantPlain(t, c, start)
	is.Equal(second.PredictedFirstToken()-first.PredictedFirstToken(), 100*time.Millisecond)
}

// Without the setting, nothing is recorded of the slots, and decisions are those without reports (see
// TestReportsAloneChangeNoDecision).
func TestNoRequestWaitsWithoutTheSetting(t *testing.T) {
	is := is.New(t)
	c, u := newBacklogCore(1)
	c.options.MaxBacklog, u.MaxBacklog = 0, 0
	grantPlain(t, c, start)
	is.True(!u.HasCapacity(start, 1))
	is.Equal(c.LoadReports(start).BeyondSlots, int64(0))
	is.Equal(len(c.slotWaits), 0)
}
