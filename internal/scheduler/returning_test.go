package scheduler

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/queue"
)

// retryRequest returns a request with a digest that arrives at a time, with the objective and the
// deadline of deployment A's rank 2.
func retryRequest(now time.Time, rank int, digest uint64) *Request {
	return &Request{
		Rank: rank, Organisation: "a", Share: 1, Arrived: now, Deadline: now.Add(12 * time.Second), AllowLate: true,
		LatencyObjective: 600 * time.Millisecond, MaxWait: 132 * time.Millisecond, Digest: digest,
	}
}

// newRetryCore returns a Core with the option and upstreams of the given slots in total.
func newRetryCore(retrySchedule bool, slots, maxItems int) *Core {
	c := New(Options{
		Picker:        &balancer.ObjectivePicker{Weights: balancer.DefaultObjectiveWeights},
		Limits:        queue.Limits{MaxItems: maxItems, MaxBytes: 1 << 20},
		MinRetryAfter: 100 * time.Millisecond,
		RetrySchedule: retrySchedule,
	})
	var members []Member
	for i := 0; i < slots; i += 5 {
		members = append(members, Member{ID: fmt.Sprint(i), Zone: "bole", Slots: min(5, slots-i)})
	}
	c.SetMembers(members)
	return c
}

// refuseMost makes the Core count a rank as mostly refused, as in a burst.
func refuseMost(c *Core, now time.Time, rank int) {
	for range 60 {
		c.grantShares.record(now, rank, false)
	}
}

// queueReturned has a request refused in a burst and queues its retry. It returns the retry and the
// time at which it returned.
func queueReturned(t *testing.T, c *Core, rank int, digest uint64) (*Request, time.Time) {
	is := is.New(t)
	refuseMost(c, start, rank)
	var d Decisions
	c.shed(start, &d, retryRequest(start, rank, digest), api.ReasonDeadlineExpired, "")
	back := start.Add(d.Sheds[0].Problem.RetryAfter)
	r := retryRequest(back, rank, digest)
	r.Deadline = start.Add(12 * time.Second)
	d = c.Submit(back, r)
	is.Equal(len(d.Sheds)+len(d.Grants), 0) // it waits
	return r, back
}

// callers submits the requests of a load to a Core in virtual time. A caller that is refused
// retries once, at the time told or after a third of the time that it has left.
type callers struct {
	core     *Core
	now      time.Time
	due      eventQueue
	refused  [3]int // requests that were refused at least once, by rank
	twice    [3]int // requests that were refused and refused again
	inTime   [3]int
	late     [3]int
	inverted int // grants of a returning request while a new one of its rank or a higher one waited
}

// caller is the sender of one request.
type caller struct {
	sentAt  time.Time // of the first attempt
	retried bool
}

const (
	// retrySlots and retryHold give a capacity of 100 requests per second.
	retrySlots = 50
	retryHold  = 500 * time.Millisecond
	// transit is the time of a message between caller and instance.
	transit = 3 * time.Millisecond
)

func (l *callers) later(d time.Duration, run func()) {
	heap.Push(&l.due, scheduledEvent{l.now.Add(d), run})
}

// runCallers runs a load of the given number of requests per second in each second.
func runCallers(retrySchedule bool, perSecond []int) *callers {
	l := &callers{core: newRetryCore(retrySchedule, retrySlots, 2000), now: start}
	digest := uint64(0)
	for second, n := range perSecond {
		for i := range n {
			digest++
			at := time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(n)
			rank, id := []int{0, 1, 2, 1, 2}[i%5], digest
			l.later(at, func() {
				l.submit(retryRequest(l.now, rank, id), &caller{sentAt: l.now})
			})
		}
	}
	for len(l.due) > 0 || l.core.waiting() > 0 {
		if expiry, waits := l.core.NextExpiry(); waits && (len(l.due) == 0 || expiry.Before(l.due[0].at)) {
			l.now = expiry.Add(1)
		} else {
			next := heap.Pop(&l.due).(scheduledEvent)
			l.now = next.at
			next.run()
		}
		l.carryOut(l.core.Poll(l.now))
	}
	return l
}

func (l *callers) submit(r *Request, from *caller) {
	r.Value = from
	l.carryOut(l.core.Submit(l.now, r))
}

func (l *callers) carryOut(d Decisions) {
	for _, s := range d.Sheds {
		l.retry(s)
	}
	for _, g := range d.Grants {
		l.run(g)
	}
}

func (l *callers) retry(s Shed) {
	from, r := s.Request.Value.(*caller), s.Request
	if from.retried {
		l.twice[r.Rank]++
		return
	}
	from.retried = true
	l.refused[r.Rank]++
	delay := min(s.Problem.RetryAfter, r.Deadline.Sub(l.now)/3)
	l.later(delay+2*transit, func() {
		again := retryRequest(l.now, r.Rank, r.Digest)
		again.Deadline = r.Deadline
		l.submit(again, from)
	})
}

func (l *callers) run(g *Grant) {
	r := g.Request
	if r.inReturningQueue && l.newOnesWait(r.Rank) {
		l.inverted++
	}
	if l.now.Sub(r.Value.(*caller).sentAt) < r.LatencyObjective {
		l.inTime[r.Rank]++
	} else {
		l.late[r.Rank]++
	}
	l.later(retryHold, func() {
		l.carryOut(l.core.RecordFirstToken(l.now, g))
		l.carryOut(l.core.End(l.now, g, Completed, 0))
	})
}

// newOnesWait reports whether new requests of a rank or a more important one wait.
func (l *callers) newOnesWait(rank int) bool {
	return l.core.queue.CountAhead(rank) > 0
}

func sum(counts [3]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// retryValues are the values of a response in time by rank, those of deployment A. A late one is
// worth 0.3 of that.
var retryValues = [3]float64{5.3, 2.4, 0.34}

// value returns what the responses are worth.
func (l *callers) value() (v float64) {
	for rank, worth := range retryValues {
		v += worth * (float64(l.inTime[rank]) + 0.3*float64(l.late[rank]))
	}
	return v
}

// seconds returns a rate of requests for each of n seconds.
func seconds(n, perSecond int) []int { return slices.Repeat([]int{perSecond}, n) }

// Callers that are refused in a burst and told 0.1 s come back into the same burst and are refused
// again. With a capacity of 100 requests per second, fewer are refused twice when their returns are
// scheduled, no rank loses by it, and no new request waits while a returning one of its rank or a
// lower one is granted.
func TestFewerCallersAreRefusedTwiceInBurst(t *testing.T) {
	loads := map[string][]int{"5 s at 2.0 times the capacity": slices.Concat(seconds(3, 80), seconds(5, 200), seconds(8, 80))}
	for _, perSecond := range []int{130, 145, 160, 175, 190, 210} {
		for _, n := range []int{2, 4, 6} {
			name := fmt.Sprintf("two bursts of %d s at %.2f times the capacity", n, float64(perSecond)/100)
			loads[name] = slices.Concat(seconds(3, 80), seconds(n, perSecond), seconds(3, 80), seconds(n, perSecond), seconds(8, 80))
		}
	}
	totalOff, totalOn := 0.0, 0.0
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			off, on := runCallers(false, load), runCallers(true, load)
			off.print(t, "off")
			on.print(t, "on")
			is.True(sum(on.twice) < sum(off.twice))
			for rank := range on.twice {
				is.True(on.twice[rank] <= off.twice[rank])
			}
			is.True(on.value() > off.value())
			is.Equal(on.inverted, 0)
			totalOff += off.value()
			totalOn += on.value()
		})
	}
	t.Logf("value of all loads: %.1f off, %.1f on", totalOff, totalOn)
}

// print logs the outcomes by rank.
func (l *callers) print(t *testing.T, name string) {
	t.Helper()
	t.Logf("%-3s refused %v, twice %v, in time %v, late %v, value %.1f", name, l.refused, l.twice, l.inTime, l.late, l.value())
}

// When a request of a higher rank is refused, all waiting ones of lower ranks are refused at the
// same moment. Told the same time, they would return together.
func TestCallersDisplacedTogetherReturnSpread(t *testing.T) {
	for _, c := range []struct {
		name          string
		retrySchedule bool
		grantedBefore bool
		most          int // callers told the same step of 100 ms
	}{
		{"without the schedule", false, false, 40},
		{"few of the rank are granted", true, false, 2},
		{"most of the rank are granted", true, true, 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			core := newRetryCore(c.retrySchedule, 1, 100)
			fillUpstreams(core)
			if !c.grantedBefore {
				refuseMost(core, start, 2)
			} else {
				for range 500 {
					core.grantShares.record(start, 2, true)
				}
			}
			for digest := range uint64(40) {
				is.Equal(len(core.Submit(start, retryRequest(start, 2, digest+1)).Sheds), 0)
			}
			told := map[time.Duration]int{}
			for _, s := range core.ShedLower(start, 1).Sheds {
				told[s.Problem.RetryAfter/(100*time.Millisecond)]++
			}
			most := 0
			for _, n := range told {
				most = max(most, n)
			}
			is.Equal(most, c.most)
		})
	}
}

// A returning request waits behind new ones of its rank, and before new ones of lower ranks.
func TestReturningRequestWaitsBehindNewOnesOfItsRank(t *testing.T) {
	is := is.New(t)
	c := newRetryCore(true, 1, 100)
	c.options.StrictTiers = true // no backfill
	running := c.Submit(start, retryRequest(start, 0, 0)).Grants
	returned, now := queueReturned(t, c, 1, 7)
	lower, same, higher := retryRequest(now, 2, 0), retryRequest(now, 1, 0), retryRequest(now, 0, 0)
	for _, r := range []*Request{lower, same, higher} {
		is.Equal(len(c.Submit(now, r).Grants), 0)
	}
	for _, want := range []*Request{higher, same, returned, lower} {
		running = c.End(now, running[0], Completed, 0).Grants
		is.Equal(len(running), 1)
		is.Equal(running[0].Request, want)
	}
}

// A caller retries once, so a request that has returned is not shed for the sake of others: it waits
// for up to maxReturningWait, also if a request of a higher rank is refused meanwhile.
func TestReturningRequestStaysWhenHigherRankIsRefused(t *testing.T) {
	is := is.New(t)
	c := newRetryCore(true, 1, 100)
	c.Submit(start, retryRequest(start, 0, 0))
	returned, now := queueReturned(t, c, 2, 7)
	c.Submit(now, retryRequest(now, 2, 0))
	is.Equal(len(c.ShedLower(now, 1).Sheds), 1)                   // the new one
	is.Equal(len(c.Poll(now.Add(900*time.Millisecond)).Sheds), 0) // 10 s are left
	d := c.Poll(now.Add(1001 * time.Millisecond))
	is.Equal(len(d.Sheds), 1)
	is.Equal(d.Sheds[0].Request, returned)
	is.True(d.Sheds[0].Problem.RetryAfter > 0)
	is.Equal(c.RetryCounts()[2].RefusedAgain, int64(1))
}

// A caller that was told an early time may still be served in time. Behind all new requests of its
// rank it would be late, so it competes with them first, and stays as a late one when it would be
// refused: after its wait limit, or when a request of a higher rank is refused.
func TestReturnInTimeCompetesWithNewRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		refuse func(c *Core, now time.Time) Decisions
	}{
		{"the wait limit passes", func(c *Core, now time.Time) Decisions { return c.Poll(now.Add(133 * time.Millisecond)) }},
		{"a request of a higher rank is refused", func(c *Core, now time.Time) Decisions { return c.ShedLower(now, 0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			core := newRetryCore(true, 1, 100)
			running := core.Submit(start, retryRequest(start, 0, 0)).Grants
			var d Decisions
			core.shed(start, &d, retryRequest(start, 1, 7), api.ReasonDeadlineExpired, "")
			is.Equal(d.Sheds[0].Problem.RetryAfter, 100*time.Millisecond)
			now := start.Add(106 * time.Millisecond)
			r := retryRequest(now, 1, 7)
			core.Submit(now, r)
			is.True(!r.inReturningQueue)
			d = c.refuse(core, now)
			is.Equal(len(d.Sheds), 0)
			is.True(r.inReturningQueue)
			is.Equal(core.waiting(), 1)
			running = core.End(now.Add(time.Second), running[0], Completed, 0).Grants
			is.Equal(running[0].Request, r)
		})
	}
}

// What counts as a return at the time told, and what as a new request.
func TestOnlyReturnsAtTheTimeToldWaitLonger(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Request)
		early  time.Duration
		want   bool
	}{
		{"at the time told", func(*Request) {}, 0, true},
		{"a caller that ignores the time", func(*Request) {}, 1900 * time.Millisecond, false},
		{"another content", func(r *Request) { r.Digest = 8 }, 0, false},
		{"without a digest", func(r *Request) { r.Digest = 0 }, 0, false},
		{"the same content from another organisation", func(r *Request) { r.Organisation = "b" }, 0, false},
		{"sent again by its instance after a failure", func(r *Request) { r.FailedUpstream = "u" }, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			core := newRetryCore(true, 1, 100)
			core.Submit(start, retryRequest(start, 0, 0))
			refuseMost(core, start, 2)
			var d Decisions
			core.shed(start, &d, retryRequest(start, 2, 7), api.ReasonDisplaced, "")
			back := start.Add(d.Sheds[0].Problem.RetryAfter - c.early)
			r := retryRequest(back, 2, 7)
			c.change(r)
			core.Submit(back, r)
			is.Equal(r.inReturningQueue, c.want)
		})
	}
}

// Without latency objective a request may wait until its deadline. Returning must not shorten that.
func TestReturningDoesNotShortenTheWait(t *testing.T) {
	is := is.New(t)
	c := newRetryCore(true, 1, 100)
	r := retryRequest(start, 2, 7)
	r.MaxWait = 0
	is.Equal(c.returningStartBy(start, r), r.Deadline)
	r.MaxWait = 5 * time.Second
	is.Equal(c.returningStartBy(start, r), start.Add(5*time.Second))
	r.MaxWait = 500 * time.Millisecond
	is.Equal(c.returningStartBy(start, r), start.Add(time.Second))
	r.Deadline = start.Add(3 * time.Second)
	is.Equal(c.returningStartBy(start, r), start.Add(750*time.Millisecond))
}

// Returning requests wait long and must leave space for new ones: beyond a quarter of the queue they
// are treated as new.
func TestReturningRequestsLeaveSpaceForNewOnes(t *testing.T) {
	is := is.New(t)
	c := newRetryCore(true, 1, 8)
	c.Submit(start, retryRequest(start, 0, 0))
	for digest := range uint64(3) {
		refuseMost(c, start, 2)
		var d Decisions
		c.shed(start, &d, retryRequest(start, 2, digest+1), api.ReasonDisplaced, "")
	}
	now := start.Add(2200 * time.Millisecond)
	for digest := range uint64(3) {
		r := retryRequest(now, 2, digest+1)
		is.Equal(len(c.Submit(now, r).Sheds), 0)
		is.Equal(r.inReturningQueue, digest < 2)
	}
	for range 5 {
		is.Equal(len(c.Submit(now, retryRequest(now, 2, 0)).Sheds), 0)
	}
	is.Equal(c.Submit(now, retryRequest(now, 2, 0)).Sheds[0].Problem.Reason, api.ReasonQueueFull)
	is.Equal(c.Queued(3), []int{0, 0, 8})
}

// A caller that leaves takes its request out of the queue.
func TestReturningRequestIsCancelled(t *testing.T) {
	is := is.New(t)
	c := newRetryCore(true, 1, 100)
	c.Submit(start, retryRequest(start, 0, 0))
	r, _ := queueReturned(t, c, 2, 7)
	is.True(c.Cancel(r))
	is.True(!c.Cancel(r))
	_, waits := c.NextExpiry()
	is.True(!waits)
}

// Refusals that don't depend on load keep their delay and are not booked.
func TestOnlyRefusalsForLoadAreScheduled(t *testing.T) {
	is := is.New(t)
	c := newRetryCore(true, 1, 100)
	c.SetMembers(nil)
	refuseMost(c, start, 2)
	d := c.Submit(start, retryRequest(start, 2, 7))
	is.Equal(d.Sheds[0].Problem.Reason, api.ReasonNoUpstream)
	is.Equal(d.Sheds[0].Problem.RetryAfter, 100*time.Millisecond)
	is.Equal(c.RetryCounts(), New(Options{}).RetryCounts())
}

// For random loads and callers that retry at random times: each request is decided once, a
// returning one is granted only if no new one of its rank or a higher one waits, a higher rank is
// not shed while a new request of a lower one waits, and nothing stays behind.
func TestReturningRequestsNeverGoFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRetryCore(true, 5, 40)
		now := start
		decided := map[*Request]bool{}
		var running []*Grant
		var refused []Shed
		check := func(d Decisions) {
			for _, g := range d.Grants {
				if decided[g.Request] {
					t.Fatal("a request was decided twice")
				}
				decided[g.Request] = true
				if g.Request.inReturningQueue && c.queue.CountAhead(g.Request.Rank) > 0 {
					t.Fatalf("a returning request of rank %d was granted while new ones wait", g.Request.Rank)
				}
				running = append(running, g)
			}
			for _, s := range d.Sheds {
				if decided[s.Request] {
					t.Fatal("a request was decided twice")
				}
				decided[s.Request] = true
				if s.Problem.RetryAfter < 20*time.Millisecond {
					t.Fatalf("shed with a retry delay of %v", s.Problem.RetryAfter)
				}
				if lowest := c.queue.LowestRank(); lowest > s.Request.Rank && s.Problem.Reason != api.ReasonDisplaced {
					t.Fatalf("rank %d was shed with %s while rank %d waits", s.Request.Rank, s.Problem.Reason, lowest)
				}
				refused = append(refused, s)
			}
		}
		for i := range rapid.IntRange(1, 150).Draw(t, "operations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			check(c.Poll(now))
			switch operation := rapid.IntRange(0, 4).Draw(t, "operation"); {
			case operation == 0 && len(running) > 0:
				g := running[0]
				running = running[1:]
				check(c.End(now, g, Completed, 0))
			case operation == 1 && len(refused) > 0:
				s := refused[0]
				refused = refused[1:]
				r := retryRequest(now, s.Request.Rank, s.Request.Digest)
				r.Deadline = s.Request.Deadline
				check(c.Submit(now, r))
			default:
				check(c.Submit(now, retryRequest(now, rapid.IntRange(0, 3).Draw(t, "rank"), uint64(i+1))))
			}
		}
		check(c.Poll(now.Add(time.Hour)))
		for len(running) > 0 {
			g := running[0]
			running = running[1:]
			check(c.End(now, g, Cancelled, 0))
		}
		if c.waiting() > 0 || c.Running() > 0 {
			t.Fatalf("%d requests wait and %d run at the end", c.waiting(), c.Running())
		}
	})
}
