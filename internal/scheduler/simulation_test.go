package scheduler

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/queue"
)

// requestKind is one kind of requests of a load, as in a deployment's data sheet.
type requestKind struct {
	name      string
	rank      int
	perSecond float64
	prompt    float64 // tokens, mean
	events    float64 // in the response, mean
	maxEvents float64 // events
	value     float64
	objective time.Duration
	deadline  time.Duration
}

// bookingDesk is the load of a booking desk, for half of its engines: plans, answers and tags.
var bookingDesk = []requestKind{
	{"plan", 0, 42.7, 6670, 55, 550, 9.2, time.Second, 15 * time.Second},
	{"answer", 1, 116.5, 688, 42, 420, 1, 800 * time.Millisecond, 12 * time.Second},
	{"tag", 2, 61, 1860, 3, 32, 0.31, 1500 * time.Millisecond, 3 * time.Second},
}

const (
	// loadEngines engines have loadSlots slots each; a third of them is slow, a third medium, a
	// third fast.
	loadEngines = 30
	loadSlots   = 10
	// loadEventTokens is the number of tokens in an event. loadSpread is the spread of lengths and
	// loadEstimateSpread that of callers' estimates, as standard deviations of the logarithm:
	// responses with a mean of 42 events have a median of 15, and one in a hundred has over 300.
	loadEventTokens    = 7
	loadSpread         = 1.4
	loadEstimateSpread = 0.48
	// loadMaxWait is the share of the objective for which a request waits.
	loadMaxWait = 0.22
	// loadLate is the value of a response whose first token arrives past the objective.
	loadLate   = 0.3
	loadLength = 30 * time.Second
)

// loadIntervals are the times between two events by speed, and loadPrefill the prompt tokens per
// millisecond.
var (
	loadIntervals = []time.Duration{85 * time.Millisecond, 31 * time.Millisecond, 18 * time.Millisecond}
	loadPrefill   = []float64{31, 57, 158}
)

// scheduledEvent is an event of the simulation.
type scheduledEvent struct {
	at  time.Time
	run func()
}

// eventQueue orders events by time.
type eventQueue []scheduledEvent

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// job is one request of a load.
type job struct {
	kind   *requestKind
	events int
	size   float64 // value relative to the mean of its kind
}

// goodput counts the outcomes of one kind.
type goodput struct{ arrived, served, late, truncated, refused int }

func (g goodput) share() float64 { return float64(g.served) / float64(g.arrived) }

// load runs a load against a Core in virtual time.
type load struct {
	core         *Core
	random       *rand.Rand
	now          time.Time
	due          eventQueue
	byKind       map[string]*goodput
	prefillUntil map[string]time.Time // time until which each engine prefills prompts
	// Value earned and offered; slot seconds spent on truncated responses, and in total.
	earned, offered, wasted, slotSeconds float64
}

// runLoad runs kinds at their rate times the given factor.
func runLoad(kinds []requestKind, factor float64, o Options, seed uint64) *load {
	o.Limits = queue.Limits{MaxItems: 2000, MaxBytes: 1 << 30}
	o.MinRetryAfter = 100 * time.Millisecond
	l := &load{core: New(o), random: rand.New(rand.NewPCG(seed, 5)), now: start, byKind: map[string]*goodput{}, prefillUntil: map[string]time.Time{}}
	var members []Member
	for i := range loadEngines {
		members = append(members, Member{ID: string(rune('a' + i)), Zone: "bole", Slots: loadSlots})
	}
	l.core.SetMembers(members)
	for i := range kinds {
		l.byKind[kinds[i].name] = &goodput{}
		l.arrivals(&kinds[i], factor)
	}
	for len(l.due) > 0 {
		next := heap.Pop(&l.due).(scheduledEvent)
		l.now = next.at
		next.run()
		l.carryOut(l.core.Poll(l.now))
	}
	return l
}

func (l *load) later(d time.Duration, run func()) {
	heap.Push(&l.due, scheduledEvent{l.now.Add(d), run})
}

// arrivals schedules random arrivals of a kind until the end.
func (l *load) arrivals(k *requestKind, factor float64) {
	gap := time.Duration(l.random.ExpFloat64() / (k.perSecond * factor) * float64(time.Second))
	if l.now.Add(gap).Sub(start) > loadLength {
		return
	}
	l.later(gap, func() {
		l.submit(k)
		l.arrivals(k, factor)
	})
}

// logNormal draws a log-normal number with the given mean.
func (l *load) logNormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*l.random.NormFloat64()-spread*spread/2)
}

func (l *load) submit(k *requestKind) {
	events := int(min(max(l.logNormal(k.events, loadSpread), 1), k.maxEvents))
	prompt := l.logNormal(k.prompt, 0.8)
	j := &job{kind: k, events: events}
	mean := k.prompt + 10*k.events*loadEventTokens
	j.size = min(0.3+0.7*(prompt+10*float64(events*loadEventTokens))/mean, 4)
	l.byKind[k.name].arrived++
	l.offered += k.value * j.size
	l.carryOut(l.core.Submit(l.now, &Request{
		Rank: k.rank, Organisation: "a", Share: 1, Arrived: l.now, Deadline: l.now.Add(k.deadline),
		MaxWait: time.Duration(loadMaxWait * float64(k.objective)), LatencyObjective: k.objective, AllowLate: true,
		PromptTokens: int(prompt), MaxOutput: int(k.maxEvents) * loadEventTokens, Value: j,
		ExpectedOutput: max(int(float64(events*loadEventTokens)*math.Exp(loadEstimateSpread*l.random.NormFloat64())), 1),
	}))
}

func (l *load) carryOut(d Decisions) {
	for _, s := range d.Sheds {
		l.byKind[s.Request.Value.(*job).kind.name].refused++
	}
	for _, g := range d.Grants {
		l.run(g)
	}
}

// run simulates a request on its engine: its prompt, after those ahead of it, and then its events,
// until the deadline.
func (l *load) run(g *Grant) {
	j := g.Request.Value.(*job)
	speed := int(g.Upstream.ID[0]) % len(loadIntervals)
	begin := l.now
	if busy := l.prefillUntil[g.Upstream.ID]; busy.After(begin) {
		begin = busy
	}
	l.prefillUntil[g.Upstream.ID] = begin.Add(time.Duration(float64(g.Request.PromptTokens) / loadPrefill[speed] * float64(time.Millisecond)))
	first := l.prefillUntil[g.Upstream.ID].Sub(l.now) + loadIntervals[speed]
	whole := first + time.Duration(j.events-1)*loadIntervals[speed]
	left := g.Request.Deadline.Sub(l.now)
	l.slotSeconds += min(whole, left).Seconds()
	if first < left {
		l.later(first, func() { l.carryOut(l.core.RecordFirstToken(l.now, g)) })
	}
	kind := l.byKind[j.kind.name]
	if whole > left {
		kind.truncated++
		l.wasted += left.Seconds()
		l.later(left, func() { l.carryOut(l.core.End(l.now, g, Cancelled, 0)) })
		return
	}
	kind.served++
	value := j.kind.value * j.size
	if l.now.Add(first).After(g.Request.Arrived.Add(j.kind.objective)) {
		kind.late++
		value *= loadLate
	}
	l.earned += value
	l.later(whole, func() { l.carryOut(l.core.End(l.now, g, Completed, j.events*loadEventTokens)) })
}

// print logs the goodput of each kind under a name.
func (l *load) print(t *testing.T, name string) {
	t.Helper()
	for _, k := range bookingDesk {
		if g := l.byKind[k.name]; g != nil {
			t.Logf("%-28s %-7s %5d arrived, served %.3f, late %d, truncated %d, refused %d", name, k.name, g.arrived, g.share(), g.late, g.truncated, g.refused)
		}
	}
	t.Logf("%-28s value %.3f, slot seconds wasted %.3f", name, l.earned/l.offered, l.wasted/l.slotSeconds)
}

// objectivePicker returns the default picker with the given Unfinished weight.
func objectivePicker(unfinished time.Duration) *balancer.ObjectivePicker {
	w := balancer.DefaultObjectiveWeights
	w.Unfinished = unfinished
	return &balancer.ObjectivePicker{Weights: w}
}

// Lengths spread so far that one response in thirty exceeds its deadline on a slow engine, whose
// events take five times as long, but would complete on others. Each such response holds a slot for
// twelve seconds, eight times as long as an ordinary one, and earns nothing. In a deployment these
// took 8% of all slot seconds on a quiet day and over a tenth under a burst.
func TestLongResponsesGoWhereTheyCanEnd(t *testing.T) {
	for name, factor := range map[string]float64{"quiet": 0.6, "burst": 1.7} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := runLoad(bookingDesk, factor, Options{Picker: &balancer.ObjectivePicker{Weights: balancer.ObjectiveWeights{Late: 5, Prefill: 0.3, Occupancy: 300 * time.Millisecond, Failure: time.Second, Margin: 1}, IgnoreCompletionProbability: true}}, 1)
			after := runLoad(bookingDesk, factor, Options{Picker: objectivePicker(balancer.DefaultObjectiveWeights.Unfinished)}, 1)
			before.print(t, "ignoring completion")
			after.print(t, "by completion probability")
			is.True(after.wasted/after.slotSeconds < 0.5*before.wasted/before.slotSeconds)
			is.True(after.earned/after.offered > before.earned/before.offered)
		})
	}
}

// In a burst, work of the lowest tier takes a tenth of the time of what waits ahead of it. In
// strict tier order most of it is refused for lack of a few slots.
func TestBackfillServesShortWorkDuringBurst(t *testing.T) {
	is := is.New(t)
	for _, factor := range []float64{1.6, 1.9, 2.2} {
		strict := runLoad(bookingDesk, factor, Options{Picker: objectivePicker(balancer.DefaultObjectiveWeights.Unfinished), StrictTiers: true}, 1)
		backfilled := runLoad(bookingDesk, factor, Options{Picker: objectivePicker(balancer.DefaultObjectiveWeights.Unfinished)}, 1)
		strict.print(t, "strict tiers")
		backfilled.print(t, "with backfill")
		share := func(l *load, name string) float64 { return l.byKind[name].share() }
		is.True(share(backfilled, "tag") > share(strict, "tag")+0.1)
		is.True(share(backfilled, "tag") < share(backfilled, "answer")) // backfill does not serve a lower tier more often
		is.True(share(backfilled, "answer") > share(strict, "answer")-0.05)
		is.True(share(backfilled, "plan") > share(strict, "plan")-0.02)
		is.True(backfilled.earned/backfilled.offered > strict.earned/strict.offered-0.01)
	}
}

// An event carries several tokens, so a response of a few events is a poor sample of the
// inter-token latency.
func TestShortResponsesDoNotSetTheInterval(t *testing.T) {
	is := is.New(t)
	c := newCore(9, "a")
	for _, output := range []int{21, 70} {
		d := c.Submit(start, newRequest(0, 60))
		c.RecordFirstToken(start, d.Grants[0])
		c.End(start.Add(200*time.Millisecond), d.Grants[0], Completed, output)
		is.Equal(c.Upstreams()[0].Speed.KnowsInterval(), output == 70)
	}
}

// The estimate converges to the spread of lengths around the expected ones.
func TestLengthErrorConvergesToSpread(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	l := newLengthError()
	for range 2000 {
		l.observe(1000, int(1000*math.Exp(0.9*random.NormFloat64())))
	}
	is.True(math.Abs(l.spread.Deviation-0.9) < 0.15)
}
