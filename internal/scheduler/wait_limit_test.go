package scheduler

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/queue"
)

// The plain service of deployment A in docs/HARD-LOAD.md, and the wait that an instance sets.
const (
	plainSlots     = 6
	plainWork      = 60 * time.Millisecond
	plainTransit   = 5 * time.Millisecond // from the grant to the upstream, and from there to the release
	plainObjective = 300 * time.Millisecond
	plainDeadline  = 800 * time.Millisecond
	plainMaxWait   = 66 * time.Millisecond
)

func newPlainCore(waitForObjective bool, slots int) *Core {
	c := New(Options{
		Picker:           &balancer.ObjectivePicker{Weights: balancer.DefaultObjectiveWeights},
		Limits:           queue.Limits{MaxItems: 2000, MaxBytes: 1 << 30},
		MinRetryAfter:    100 * time.Millisecond,
		WaitForObjective: waitForObjective,
	})
	c.SetMembers([]Member{{ID: "plain", Zone: "bole", Slots: slots}})
	return c
}

func newPlainRequest(arrived time.Time) *Request {
	return &Request{
		Rank: 2, Organisation: "a", Share: 1, Arrived: arrived, Deadline: arrived.Add(plainDeadline), MaxWait: plainMaxWait,
		LatencyObjective: plainObjective, AllowLate: true,
	}
}

// learn lets the upstream complete requests that take the given time, and returns the time at the
// end.
func learn(c *Core, now time.Time, took time.Duration, requests int) time.Time {
	for range requests {
		g := c.Submit(now, newPlainRequest(now)).Grants[0]
		now = now.Add(took)
		c.RecordFirstToken(now, g)
		c.RecordCompleted(now, g, 0)
	}
	return now
}

// The plain service of deployment A, with one of its three upstreams left. The limits follow from its objective of 300 ms
// and its typical response time, and requests that the setting doesn't concern keep their own.
func TestWaitLimit(t *testing.T) {
	typical := plainWork + plainTransit
	for _, test := range []struct {
		name    string
		off     bool
		typical time.Duration // 0: nothing has been learned
		age     time.Duration
		change  func(*Request)
		want    time.Duration
	}{
		{name: "option off", off: true, typical: typical, want: plainMaxWait},
		{name: "nothing learned", want: plainMaxWait},
		{name: "half of the objective", typical: typical, want: 150 * time.Millisecond},
		{name: "slow service", typical: 160 * time.Millisecond, want: 100 * time.Millisecond},
		{name: "service too slow for more than the own limit", typical: 200 * time.Millisecond, want: plainMaxWait},
		{name: "service slower than the objective", typical: time.Second, want: plainMaxWait},
		{name: "longer own limit", typical: typical, change: func(r *Request) { r.MaxWait = 200 * time.Millisecond }, want: 200 * time.Millisecond},
		{name: "deadline before the objective", typical: typical, change: func(r *Request) { r.Deadline = r.Arrived.Add(200 * time.Millisecond) }, want: 100 * time.Millisecond},
		{name: "shorter deadline than a response needs", typical: typical, change: func(r *Request) { r.Deadline = r.Arrived.Add(70 * time.Millisecond) }, want: plainMaxWait},
		{name: "stream", typical: typical, change: func(r *Request) { r.PromptTokens, r.MaxOutput = 1170, 100 }, want: plainMaxWait},
		{name: "no objective", typical: typical, change: func(r *Request) { r.LatencyObjective = 0 }, want: plainMaxWait},
		{name: "arrived at another instance before", typical: typical, age: 100 * time.Millisecond, want: 150 * time.Millisecond},
		{name: "objective has passed", typical: typical, age: plainObjective, want: plainMaxWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newPlainCore(!test.off, plainSlots)
			if test.typical > 0 {
				learn(c, start, test.typical, 3)
			}
			r := newPlainRequest(start)
			if test.change != nil {
				test.change(r)
			}
			is.Equal(c.waitLimit(start.Add(test.age), r), test.want)
		})
	}
}

// A request to the plain service was refused after 66 ms although a slot would have become free in
// time for it.
func TestResponseThatWouldBeInTimeIsNotRefusedEarly(t *testing.T) {
	for _, waitForObjective := range []bool{false, true} {
		is := is.New(t)
		c := newPlainCore(waitForObjective, 1)
		now := learn(c, start, plainWork, 3)
		running := c.Submit(now, newPlainRequest(now)).Grants[0]
		waiting := newPlainRequest(now)
		is.Equal(len(c.Submit(now, waiting).Sheds), 0)
		is.Equal(len(c.Poll(now.Add(plainMaxWait+1)).Sheds) == 0, waitForObjective)
		d := c.RecordCompleted(now.Add(150*time.Millisecond), running, 0)
		is.Equal(len(d.Grants) == 1, waitForObjective)
	}
}

// Half of the objective remains for a retry, so a request without a slot is refused then.
func TestRequestIsRefusedAtTheWaitLimit(t *testing.T) {
	is := is.New(t)
	c := newPlainCore(true, 1)
	now := learn(c, start, plainWork, 3)
	c.Submit(now, newPlainRequest(now))
	c.Submit(now, newPlainRequest(now))
	d := c.Poll(now.Add(150*time.Millisecond + 1))
	is.Equal(len(d.Sheds), 1)
	is.Equal(d.Sheds[0].Problem.Reason, api.ReasonDeadlineExpired)
}

// A request whose objective has passed waits no longer with the option than without it.
func TestRequestPastItsObjectiveIsRefusedAsBefore(t *testing.T) {
	for _, waitForObjective := range []bool{false, true} {
		is := is.New(t)
		c := newPlainCore(waitForObjective, 1)
		now := learn(c, start, plainWork, 3)
		c.Submit(now, newPlainRequest(now))
		late := newPlainRequest(now.Add(-plainObjective))
		is.Equal(len(c.Submit(now, late).Sheds), 0)
		d := c.Poll(now.Add(1))
		is.Equal(len(d.Sheds), 1)
		is.Equal(d.Sheds[0].Request, late)
		is.Equal(d.Sheds[0].Problem.Reason, api.ReasonDeadlineExpired)
	}
}

// A request that an instance sends again after a failure waits until its deadline.
func TestRequestAfterFailureWaitsUntilItsDeadline(t *testing.T) {
	is := is.New(t)
	c := newPlainCore(true, 1)
	now := learn(c, start, plainWork, 3)
	c.Submit(now, newPlainRequest(now))
	again := newPlainRequest(now)
	again.MaxWait = 0
	c.Submit(now, again)
	is.Equal(len(c.Poll(now.Add(plainDeadline)).Sheds), 0)
	is.Equal(len(c.Poll(now.Add(plainDeadline+1)).Sheds), 1)
}

// The typical response time follows a service that becomes slower, and one response of an upstream
// that was paused changes it little.
func TestResponseTimeFollowsTheService(t *testing.T) {
	is := is.New(t)
	var r responseTime
	is.True(!r.isKnown())
	for range 100 {
		r.observe(plainWork)
	}
	is.Equal(r.mean, plainWork)
	r.observe(10 * time.Second)
	is.Equal(r.mean, plainWork+plainWork*(maxResponseTimeStep-1)/responseTimeWindow)
	for range 100 {
		r.observe(150 * time.Millisecond)
	}
	is.True(r.mean > 149*time.Millisecond && r.mean <= 150*time.Millisecond)
}

// Streams and failures don't count as responses of a plain service.
func TestStreamsDoNotSetTheResponseTime(t *testing.T) {
	is := is.New(t)
	c := newPlainCore(true, plainSlots)
	stream := newRequest(0, 3600)
	c.RecordFirstToken(start.Add(time.Second), c.Submit(start, stream).Grants[0])
	c.RecordUpstreamError(start.Add(time.Millisecond), c.Submit(start, newPlainRequest(start)).Grants[0])
	is.True(!c.responses.isKnown())
}

func TestWaitLimitDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	c := newPlainCore(true, plainSlots)
	now := learn(c, start, plainWork, 3)
	r := newPlainRequest(now)
	g := &Grant{Request: r}
	is.Equal(testing.AllocsPerRun(100, func() {
		c.startBy(now, r)
		c.observeResponse(g, plainWork)
	}), 0.0)
}

// plainLoad runs a load of plain requests against a Core in virtual time.
type plainLoad struct {
	core   *Core
	random *rand.Rand
	now    time.Time
	due    eventQueue
	// retries: callers send a refused request once more, at the time they are told.
	retries                   bool
	arrived, answered, onTime int
}

// plainCall is a request of a caller.
type plainCall struct {
	at      time.Time
	work    time.Duration // up to a quarter more or less than usual
	retried bool
}

// runPlainLoads submits requests at a mean rate for loadLength, with several seeds, and returns the
// sums.
func runPlainLoads(perSecond float64, waitForObjective, retries bool) (sum plainLoad) {
	for seed := range uint64(5) {
		l := runPlainLoad(perSecond, waitForObjective, retries, seed)
		sum.arrived += l.arrived
		sum.answered += l.answered
		sum.onTime += l.onTime
	}
	return sum
}

func runPlainLoad(perSecond float64, waitForObjective, retries bool, seed uint64) *plainLoad {
	l := &plainLoad{core: newPlainCore(waitForObjective, plainSlots), retries: retries, random: rand.New(rand.NewPCG(seed, 7)), now: start}
	l.arrivals(perSecond)
	for len(l.due) > 0 {
		next := heap.Pop(&l.due).(scheduledEvent)
		l.now = next.at
		next.run()
		l.carryOut(l.core.Poll(l.now))
	}
	return l
}

func (l *plainLoad) later(d time.Duration, run func()) {
	heap.Push(&l.due, scheduledEvent{l.now.Add(d), run})
}

func (l *plainLoad) arrivals(perSecond float64) {
	gap := time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second))
	if l.now.Add(gap).Sub(start) > loadLength {
		return
	}
	l.later(gap, func() {
		l.arrived++
		l.submit(&plainCall{at: l.now, work: time.Duration((0.75 + 0.5*l.random.Float64()) * float64(plainWork))})
		l.arrivals(perSecond)
	})
}

func (l *plainLoad) submit(call *plainCall) {
	r := newPlainRequest(l.now)
	r.Deadline = call.at.Add(plainDeadline)
	r.Value = call
	l.carryOut(l.core.Submit(l.now, r))
	if expiry, waits := l.core.NextExpiry(); waits {
		l.later(max(expiry.Sub(l.now), 0)+1, func() {})
	}
}

func (l *plainLoad) carryOut(d Decisions) {
	for _, s := range d.Sheds {
		call := s.Request.Value.(*plainCall)
		if call.retried || !l.retries {
			continue
		}
		call.retried = true
		l.later(s.Problem.RetryAfter, func() { l.submit(call) })
	}
	for _, g := range d.Grants {
		l.run(g)
	}
}

// run simulates a request at its upstream.
func (l *plainLoad) run(g *Grant) {
	call := g.Request.Value.(*plainCall)
	l.later(plainTransit+call.work, func() {
		l.answered++
		if l.now.Sub(call.at) <= plainObjective {
			l.onTime++
		}
		l.carryOut(l.core.RecordFirstToken(l.now, g))
		l.carryOut(l.core.RecordCompleted(l.now, g, 0))
	})
}

// With one of three upstreams left, the plain service gets 130 requests a second against 92 that it
// can serve, and it gets less at other times. A wait limit shorter than the objective allows leaves
// slots idle between two arrivals although requests were refused.
func TestMoreIsAnsweredInTimeWithWaitForObjective(t *testing.T) {
	for _, perSecond := range []float64{80, 92, 110, 130} {
		is := is.New(t)
		off, on := runPlainLoads(perSecond, false, false), runPlainLoads(perSecond, true, false)
		logPlainLoads(t, perSecond, off, on)
		is.True(on.onTime > off.onTime)
		is.Equal(on.answered, on.onTime) // none waits so long that it is late
	}
}

// Callers that return 100 ms after a refusal are answered more often, though not more often in time
// above the capacity: those refused at half of their objective are late, counted from their first
// request, and take slots that others need. See docs/design/wait-limit.md.
func TestNoFewerReturningCallersAreAnsweredWithWaitForObjective(t *testing.T) {
	for _, perSecond := range []float64{80, 92, 110, 130} {
		is := is.New(t)
		off, on := runPlainLoads(perSecond, false, true), runPlainLoads(perSecond, true, true)
		logPlainLoads(t, perSecond, off, on)
		is.True(on.answered > off.answered)
	}
}

func logPlainLoads(t *testing.T, perSecond float64, off, on plainLoad) {
	t.Helper()
	t.Logf("%3.0f a second: off %d of %d answered, %d in time; on %d of %d answered, %d in time",
		perSecond, off.answered, off.arrived, off.onTime, on.answered, on.arrived, on.onTime)
}

// BenchmarkWaitLimit decides how long a plain request may wait, and records one response.
func BenchmarkWaitLimit(b *testing.B) {
	c := newPlainCore(true, plainSlots)
	now := learn(c, start, plainWork, 3)
	r := newPlainRequest(now)
	g := &Grant{Request: r}
	b.ReportAllocs()
	for b.Loop() {
		c.startBy(now, r)
		c.observeResponse(g, plainWork)
	}
}
