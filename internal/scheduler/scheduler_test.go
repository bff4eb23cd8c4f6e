package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/queue"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newCore(maxItems int, addresses ...string) *Core {
	c := New(Options{
		Picker:            balancer.NewPredictive(1, rand.New(rand.NewPCG(1, 2))),
		Limits:            queue.Limits{MaxItems: maxItems, MaxBytes: 1 << 20},
		PrefixIndexBlocks: 100,
	})
	var members []Member
	for _, a := range addresses {
		members = append(members, Member{Address: a, Zone: "bole"})
	}
	c.SetMembers(members)
	return c
}

// newRequest returns a request of a rank whose deadline is the given number of seconds from start.
func newRequest(rank int, seconds int) *Request {
	return &Request{Rank: rank, Organisation: "a", Share: 1, Arrived: start, Deadline: start.Add(time.Duration(seconds) * time.Second), PromptTokens: 100, MaxOutput: 10}
}

// fillUpstreams submits requests until one of them is queued, and returns the grants.
func fillUpstreams(c *Core) (running []*Grant) {
	for {
		d := c.Submit(start, newRequest(0, 3600))
		if len(d.Grants) == 0 {
			return running
		}
		running = append(running, d.Grants...)
	}
}

func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	c := newCore(100, "a", "b")
	c.SetMembers([]Member{{Address: "a", Leaving: true}, {Address: "b"}})
	for _, g := range fillUpstreams(c) {
		is.Equal(g.Upstream.Address, "b")
	}
	c = newCore(100, "a")
	c.MarkLeaving("a")
	d := c.Submit(start, newRequest(0, 9))
	is.Equal(d.Sheds[0].Problem.Reason, api.ReasonNoUpstream)
}

// A request to a plain service has no prompt. It must not wait until it becomes urgent.
func TestRequestWithoutPromptIsGrantedImmediately(t *testing.T) {
	is := is.New(t)
	c := newCore(100, "a")
	r := newRequest(0, 3600)
	r.PromptTokens, r.MaxOutput = 0, 0
	is.Equal(len(c.Submit(start, r).Grants), 1)
}

func TestSlotsBoundRequestsOfAllInstances(t *testing.T) {
	is := is.New(t)
	c := newCore(100)
	c.SetMembers([]Member{{ID: "u", Address: "a", Slots: 10}})
	c.SetPeerLoad("p", Load{Running: map[string]int{"u": 7, "other": 9}})
	is.Equal(len(fillUpstreams(c)), 3)
	c.SetPeerLoad("p", Load{})
	is.Equal(len(c.Poll(start).Grants), 1) // the one that was queued
}

func TestNewUpstreamAtSameAddressStartsWithFreshState(t *testing.T) {
	is := is.New(t)
	c := newCore(100)
	c.SetMembers([]Member{{ID: "old", Address: "a", Slots: 2}})
	is.Equal(len(fillUpstreams(c)), 2)
	c.SetMembers([]Member{{ID: "new", Address: "a", Slots: 2}})
	is.Equal(c.Upstreams()[0].Running, 0)
}

func TestMaxWaitBoundsTheWait(t *testing.T) {
	is := is.New(t)
	c := newCore(100)
	c.SetMembers([]Member{{ID: "u", Address: "a", Slots: 1}})
	fillUpstreams(c)
	r := newRequest(0, 3600)
	r.AllowLate = true
	r.MaxWait = 200 * time.Millisecond
	is.Equal(len(c.Submit(start, r).Sheds), 0)
	is.Equal(len(c.Poll(start.Add(100*time.Millisecond)).Sheds), 0)
	d := c.Poll(start.Add(201 * time.Millisecond))
	is.Equal(d.Sheds[0].Problem.Reason, api.ReasonDeadlineExpired)
}

// Slot requests to other instances took longer than MaxWait. The request is granted immediately if
// there is capacity and shed otherwise.
func TestRequestPastMaxWaitIsGrantedImmediatelyOrShed(t *testing.T) {
	is := is.New(t)
	c := newCore(100)
	c.SetMembers([]Member{{ID: "u", Address: "a", Slots: 1}})
	late := func() *Request {
		r := newRequest(0, 3600)
		r.AllowLate, r.MaxWait = true, 200*time.Millisecond
		return r
	}
	now := start.Add(time.Second)
	is.Equal(len(c.Submit(now, late()).Grants), 1)
	is.Equal(len(c.Submit(now, late()).Grants), 0)
	is.Equal(c.Poll(now.Add(1)).Sheds[0].Problem.Reason, api.ReasonDeadlineExpired)
	over := late()
	over.Deadline = start
	is.Equal(c.Submit(now, over).Sheds[0].Problem.Reason, api.ReasonPredictedLate)
}

func TestQueuedRequestsAreGrantedInTierOrder(t *testing.T) {
	is := is.New(t)
	c := newCore(100, "a")
	running := fillUpstreams(c)
	low, high := newRequest(2, 3600), newRequest(1, 3600)
	is.Equal(len(c.Submit(start, low).Grants), 0)
	is.Equal(len(c.Submit(start, high).Grants), 0)
	var order []*Request
	for _, g := range running {
		c.RecordFirstToken(start.Add(time.Millisecond), g)
		for _, next := range c.RecordCompleted(start.Add(time.Second), g, 10).Grants {
			order = append(order, next.Request)
		}
	}
	is.True(len(order) >= 3)
	is.Equal(order[1], high) // after the one that fillUpstreams left waiting
	is.Equal(order[2], low)
}

func TestInfeasibleDeadlineIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	c := newCore(100, "a")
	for i := range 10 { // until the upstream's speed is known
		now := start.Add(time.Duration(i) * time.Second)
		g := c.Submit(now, newRequest(0, 3600)).Grants[0]
		c.RecordFirstToken(now.Add(30*time.Millisecond), g)
		c.RecordCompleted(now.Add(300*time.Millisecond), g, 10)
	}
	long := newRequest(0, 1)
	long.PromptTokens = 1_000_000
	d := c.Submit(start, long)
	is.Equal(d.Sheds[0].Problem.Reason, api.ReasonDeadlineTooShort)
	is.True(d.Sheds[0].Problem.RetryAfterSeconds > 0)
	fillUpstreams(c)
	waiting := newRequest(0, 2)
	is.Equal(len(c.Submit(start, waiting).Sheds), 0)
	d = c.Poll(start.Add(2 * time.Second))
	is.Equal(d.Sheds[0].Request, waiting)
	is.Equal(d.Sheds[0].Problem.Reason, api.ReasonDeadlineExpired)
}

// A request that the work ahead would make late is refused on arrival, not when its deadline has
// passed.
func TestPredictedLateRequestIsRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	c := newCore(1000, "a")
	running := fillUpstreams(c)
	for range 200 {
		c.Submit(start, newRequest(0, 3600))
	}
	now := start
	for range 40 { // one request leaves the queue every 100 ms
		now = now.Add(100 * time.Millisecond)
		g := running[0]
		running = append(running[1:], c.RecordFirstToken(now, g).Grants...)
		running = append(running, c.RecordCompleted(now, g, 10).Grants...)
	}
	short := newRequest(0, 0)
	short.Arrived, short.Deadline = now, now.Add(2*time.Second)
	d := c.Submit(now, short)
	is.Equal(len(d.Sheds), 1)
	is.Equal(d.Sheds[0].Request, short)
	is.Equal(d.Sheds[0].Problem.Reason, api.ReasonPredictedLate)
	is.True(d.Sheds[0].Problem.RetryAfterSeconds >= 10) // 160 wait, 10 leave per second
	long := newRequest(0, 0)
	long.Arrived, long.Deadline = now, now.Add(time.Minute)
	is.Equal(len(c.Submit(now, long).Sheds), 0)
}

func TestCircuitOpensOnFailureAndIsProbed(t *testing.T) {
	is := is.New(t)
	c := newCore(100, "a")
	g := c.Submit(start, newRequest(0, 3600)).Grants[0]
	c.RecordFailure(start, g)
	is.Equal(len(c.Submit(start, newRequest(0, 3600)).Grants), 0)
	is.Equal(len(c.Submit(start, newRequest(0, 3600)).Grants), 0)
	d := c.Poll(start.Add(minOpenPeriod))
	is.Equal(len(d.Grants), 1) // a single probe request
	c.RecordFirstToken(start.Add(minOpenPeriod+time.Millisecond), d.Grants[0])
	is.Equal(c.upstreams[0].Failures, 0)
}

// One lost response is no failure of an upstream that continues to send others.
func TestLostResponseDoesNotOpenCircuitOfLiveUpstream(t *testing.T) {
	is := is.New(t)
	c := newCore(100, "a")
	first := c.Submit(start, newRequest(0, 3600)).Grants[0]
	lost := c.Submit(start, newRequest(0, 3600)).Grants[0]
	first.Upstream.MarkSeen(start.Add(10 * time.Millisecond))
	c.RecordLostResponse(start.Add(20*time.Millisecond), lost)
	is.Equal(len(c.Submit(start.Add(20*time.Millisecond), newRequest(0, 3600)).Grants), 1)
	is.True(first.Upstream.FailureShare > 0) // the loss still counts
	silent := start.Add(20*time.Millisecond + aliveFor)
	c.RecordLostResponse(silent, first)
	is.Equal(len(c.Submit(silent, newRequest(0, 3600)).Grants), 0) // nothing else was received
}

// An upstream with an open circuit that still runs requests is used again as soon as one of them
// shows that it is alive.
func TestActivityClosesOpenCircuit(t *testing.T) {
	is := is.New(t)
	c := newCore(100)
	c.SetMembers([]Member{{ID: "u", Address: "a", Slots: 10}})
	running := c.Submit(start, newRequest(0, 3600)).Grants[0]
	c.RecordFailure(start, c.Submit(start, newRequest(0, 3600)).Grants[0])
	is.Equal(len(c.Submit(start, newRequest(0, 3600)).Grants), 0)
	running.Upstream.MarkSeen(start.Add(time.Millisecond))
	is.Equal(len(c.Poll(start.Add(2*time.Millisecond)).Grants), 1)
}

// Requests that run concurrently fail together. The upstream is probed as soon as after a single
// failure.
func TestFailuresWithOneCauseCountOnce(t *testing.T) {
	is := is.New(t)
	c := newCore(100)
	c.SetMembers([]Member{{ID: "u", Address: "a", Slots: 10}})
	var running []*Grant
	for range 10 {
		running = append(running, c.Submit(start, newRequest(0, 3600)).Grants[0])
	}
	failedAt := start.Add(time.Second)
	for _, g := range running {
		c.RecordFailure(failedAt, g)
	}
	is.Equal(len(c.Submit(failedAt, newRequest(0, 3600)).Grants), 0)
	is.Equal(len(c.Poll(failedAt.Add(minOpenPeriod)).Grants), 1)
}

// A sound upstream may fall silent for a second. It was unused for longer than that, and what was known of
// its prompts was dropped.
func TestSilenceOpensTheCircuitBrieflyAndDropsNothing(t *testing.T) {
	is := is.New(t)
	c := newCore(100)
	c.SetMembers([]Member{{ID: "u", Address: "a", Slots: 10}})
	u := c.upstreams[0]
	u.Window.RecordOnTime(10)
	window := u.Window.Size()
	now := start
	for range 5 {
		g := c.Submit(now, newRequest(0, 3600)).Grants[0]
		c.End(now, g, Silent, 0)
		is.Equal(len(c.Submit(now, newRequest(0, 3600)).Grants), 0)
		now = now.Add(minOpenPeriod)
		probe := c.Poll(now).Grants
		is.Equal(len(probe), 1)
		c.RecordCancelled(now, probe[0])
	}
	is.Equal(u.Window.Size(), window)
	alive := c.Submit(now, newRequest(0, 3600)).Grants[0]
	u.MarkSeen(now)
	c.End(now, alive, Silent, 0)
	is.Equal(len(c.Submit(now, newRequest(0, 3600)).Grants), 1)
}

// An upstream that has recovered is used again within maxOpenPeriod, however often it failed.
func TestCircuitOpenPeriodIsBounded(t *testing.T) {
	is := is.New(t)
	c := newCore(100)
	c.SetMembers([]Member{{ID: "u", Address: "a", Slots: 10}})
	now := start
	for range 20 {
		c.RecordFailure(now, c.Submit(now, newRequest(0, 3600)).Grants[0])
		now = now.Add(maxOpenPeriod)
	}
	is.Equal(len(c.Submit(now, newRequest(0, 3600)).Grants), 1)
}

// When a network partition may have healed, an upstream with an open circuit gets one probe
// request.
func TestOpenCircuitIsProbedWhenPartitionMayHaveHealed(t *testing.T) {
	is := is.New(t)
	c := newCore(100)
	c.SetMembers([]Member{{ID: "u", Address: "a", Slots: 10}})
	c.RecordFailure(start, c.Submit(start, newRequest(0, 3600)).Grants[0])
	c.Submit(start, newRequest(0, 3600))
	c.Submit(start, newRequest(0, 3600))
	healed := start.Add(time.Millisecond)
	d := c.ProbeOpenCircuits(healed)
	is.Equal(len(d.Grants), 1)
	is.Equal(len(c.RecordFirstToken(healed, d.Grants[0]).Grants), 1) // it is alive
}

// An error response arrives quickly and shows that the upstream is alive.
func TestErrorResponseDoesNotOpenCircuit(t *testing.T) {
	is := is.New(t)
	c := newCore(100, "a")
	c.RecordUpstreamError(start, c.Submit(start, newRequest(0, 3600)).Grants[0])
	is.Equal(len(c.Submit(start, newRequest(0, 3600)).Grants), 1)
}

func TestCancelledRequestsLeaveNothingOutstanding(t *testing.T) {
	is := is.New(t)
	c := newCore(100, "a")
	running := fillUpstreams(c)
	r := newRequest(1, 3600)
	c.Submit(start, r)
	is.True(c.Cancel(r))
	is.True(!c.Cancel(r))
	for len(running) > 0 {
		d := c.RecordCancelled(start, running[0])
		running = append(running[1:], d.Grants...)
	}
	is.Equal(c.upstreams[0].Running, 0)
	is.Equal(c.upstreams[0].PendingTokens, 0)
}

// For random operations: a higher tier is never shed for load while a lower one waits, no request
// is decided twice, and upstreams end with nothing outstanding.
func TestLowestTierIsShedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCore(rapid.IntRange(1, 6).Draw(t, "queue size"), "a", "b")
		now := start
		var running []*Grant
		decided := map[*Request]bool{}
		check := func(d Decisions) {
			for _, g := range d.Grants {
				if decided[g.Request] {
					t.Fatal("a request was decided twice")
				}
				decided[g.Request] = true
				running = append(running, g)
			}
			for _, s := range d.Sheds {
				if decided[s.Request] {
					t.Fatal("a request was decided twice")
				}
				decided[s.Request] = true
				if s.Problem.Outcome != api.NotRun || s.Problem.RetryAfterSeconds < 1 {
					t.Fatalf("shed without a retry delay: %v", s.Problem)
				}
				if lowest := c.queue.LowestRank(); lowest > s.Request.Rank && s.Problem.Reason != api.ReasonDisplaced && s.Problem.Reason != api.ReasonDeadlineTooShort {
					t.Fatalf("rank %d was shed with %s while rank %d waits", s.Request.Rank, s.Problem.Reason, lowest)
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "operations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch {
			case rapid.IntRange(0, 2).Draw(t, "operation") > 0 || len(running) == 0:
				r := newRequest(rapid.IntRange(0, 3).Draw(t, "rank"), 0)
				r.Arrived = now
				r.Deadline = now.Add(time.Duration(rapid.IntRange(500, 5000).Draw(t, "deadline")) * time.Millisecond)
				check(c.Submit(now, r))
			default:
				g := running[0]
				running = running[1:]
				switch rapid.IntRange(0, 3).Draw(t, "end") {
				case 0:
					check(c.RecordFailure(now, g))
				case 1:
					check(c.RecordBusy(now, g))
				default:
					check(c.RecordFirstToken(now, g))
					check(c.RecordCompleted(now, g, 10))
				}
			}
			check(c.Poll(now))
		}
		check(c.Poll(now.Add(time.Hour)))
		for len(running) > 0 {
			g := running[0]
			running = running[1:]
			check(c.RecordCancelled(now, g))
		}
		for _, u := range c.upstreams {
			if u.Running != 0 || u.PendingTokens != 0 {
				t.Fatalf("%s ends with %d running, %d pending", u.Address, u.Running, u.PendingTokens)
			}
		}
	})
}
