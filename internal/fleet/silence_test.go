package fleet

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// silenceHarness is a fleet whose links hold everything that is sent for a while, at any instances and again and
// again, while callers ask for several times what all instances together may grant. It runs in a synctest bubble.
type silenceHarness struct {
	random  *rand.Rand
	quota   Allowance
	retries retrybudget.Bound
	members []*silentMember
	end     time.Time
	// nextReplaced are the members in the order in which they are replaced.
	nextReplaced []*silentMember

	mu      sync.Mutex
	cutAt   time.Time // since when the zones below cutZone are cut off from the others
	cut     time.Time // until when
	cutZone int
	granted []time.Time // when the tokens or retries that callers got were granted
}

// silentMember is one instance. Its fields are those of the network and the process; what it knows of the others it
// learns at each tick.
type silentMember struct {
	harness *silenceHarness
	address string
	zone    int // of zones
	// lag is how much later than needed it notices that a link is silent, or back.
	lag time.Duration

	mu       sync.Mutex
	fleet    *Fleet
	quotas   *Quotas
	started  time.Time
	leaving  bool
	heldFrom time.Time // since when its links hold what is sent
	held     time.Time // until when
	frozenAt time.Time // since when its process is stopped
	frozen   time.Time // until when
}

// silenceSeeds is the number of simulation runs of each disturbance, each with its own seed.
var silenceSeeds = flag.Uint64("silence-seeds", 1, "simulation runs of instances that don't hear from each other")

const (
	// zones is the number of availability zones.
	zones = 3
	// silentTick is the interval at which instances take over what they know of the others.
	silentTick = 200 * time.Millisecond
	// linkLatency is the time that a frame takes.
	linkLatency = time.Millisecond
	// silenceNoticed is how long a link is silent until it ends; an instance notices up to silenceLag later.
	silenceNoticed = 600 * time.Millisecond
	silenceLag     = 600 * time.Millisecond
	// leavingNoticed is how long at most it takes until others know that an instance is leaving.
	leavingNoticed = 400 * time.Millisecond
	silentWindow   = 8 * time.Second
)

// silentOrganisation may make 100 requests in a second, and 20 at once.
var silentOrganisation = &routing.Organisation{Name: "crews", TokensPerSecond: 100, BurstTokens: 20, CountsRequests: true}

func newSilenceHarness(seed uint64, size int) *silenceHarness {
	h := &silenceHarness{
		random:  rand.New(rand.NewPCG(seed, 73)),
		quota:   Allowance{Share: 0.25, Window: silentWindow},
		retries: retrybudget.Bound{Share: 0.2, Extra: 60, Window: silentWindow},
	}
	for i := range size {
		m := &silentMember{harness: h, address: fmt.Sprintf("10.0.0.%d:1", i), zone: i % zones, lag: time.Duration(h.random.Int64N(int64(silenceLag)))}
		h.members = append(h.members, m)
	}
	h.nextReplaced = h.members
	for _, m := range h.members {
		m.start()
	}
	return h
}

// start starts the process, which knows no earlier use.
func (m *silentMember) start() {
	f := New(Options{
		Instance: m.address, Cores: 0.4, Limits: queue.Limits{MaxItems: 1}, RetryBudget: m.harness.retries,
		Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test"),
	})
	f.SetSlotClient(silentClient{m})
	f.SetUpstreams(view.List{Version: 1, Upstreams: []view.Upstream{{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1 << 20}}})
	q := NewQuotas(time.Now(), m.harness.quota, f)
	q.SetClient(silentClient{m})
	m.mu.Lock()
	m.fleet, m.quotas, m.started, m.leaving = f, q, time.Now(), false
	m.mu.Unlock()
}

// silentFor returns for how long nothing has got through between two instances; 0 if it does.
func (m *silentMember) silentFor(other *silentMember, now time.Time) (longest time.Duration) {
	for _, one := range []*silentMember{m, other} {
		one.mu.Lock()
		if now.Before(one.held) {
			longest = max(longest, now.Sub(one.heldFrom))
		}
		if one != m && now.Before(one.frozen) {
			longest = max(longest, now.Sub(one.frozenAt))
		}
		one.mu.Unlock()
	}
	if from, until := m.harness.cutBetween(m, other); now.Before(until) {
		longest = max(longest, now.Sub(from))
	}
	return longest
}

// cutBetween returns since when and until when two instances are, or were last, cut off from each other.
func (h *silenceHarness) cutBetween(a, b *silentMember) (from, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if (a.zone < h.cutZone) == (b.zone < h.cutZone) {
		return time.Time{}, time.Time{}
	}
	return h.cutAt, h.cut
}

// tick lets an instance learn what it knows of the others by now.
func (m *silentMember) tick(now time.Time) {
	m.mu.Lock()
	fleet, frozen := m.fleet, now.Before(m.frozen)
	m.mu.Unlock()
	if frozen {
		return
	}
	fleet.RecordRunning()
	var all []Instance
	for _, other := range m.harness.members {
		other.mu.Lock()
		started, leaving := other.started, other.leaving
		other.mu.Unlock()
		reachable := other == m || m.silentFor(other, now) < silenceNoticed+m.lag
		all = append(all, Instance{
			Address: other.address, Cores: 0.4, Reachable: reachable, MayOwn: reachable && !leaving,
			Settled: now.Sub(started) >= 500*time.Millisecond,
		})
	}
	fleet.SetInstances(all)
}

// renewLeases lets an instance renew its leases.
func (m *silentMember) renewLeases(ctx context.Context) {
	m.mu.Lock()
	quotas, frozen := m.quotas, time.Now().Before(m.frozen)
	m.mu.Unlock()
	if !frozen {
		quotas.RenewLeases(ctx)
	}
}

// passes blocks until a frame has got through from one instance to the other.
func (m *silentMember) passes(other *silentMember) {
	<-time.After(linkLatency)
	for {
		now := time.Now()
		_, until := m.harness.cutBetween(m, other)
		for _, one := range []*silentMember{m, other} {
			one.mu.Lock()
			for _, at := range []time.Time{one.held, one.frozen} {
				if at.After(until) {
					until = at
				}
			}
			one.mu.Unlock()
		}
		if !until.After(now) {
			return
		}
		<-time.After(until.Sub(now))
	}
}

// hold lets the links of instances hold what is sent for a time.
func (h *silenceHarness) hold(d time.Duration, members ...*silentMember) {
	now := time.Now()
	for _, m := range members {
		m.mu.Lock()
		if !now.Before(m.held) {
			m.heldFrom = now
		}
		m.held = now.Add(d)
		m.mu.Unlock()
	}
}

// someOf returns each instance with the given probability, one at least.
func (h *silenceHarness) someOf(share float64) (out []*silentMember) {
	for _, m := range h.members {
		if h.random.Float64() < share {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		out = append(out, h.members[h.random.IntN(len(h.members))])
	}
	return out
}

// first returns the first n in the ranking for what the callers ask for.
func (h *silenceHarness) first(k shardKey, n int) (out []*silentMember) {
	var all []Instance
	for _, m := range h.members {
		all = append(all, Instance{Address: m.address, Cores: 0.4, Reachable: true, MayOwn: true, Settled: true})
	}
	for _, address := range rank(k, all)[:n] {
		out = append(out, h.members[slices.IndexFunc(h.members, func(m *silentMember) bool { return m.address == address })])
	}
	return out
}

// run lets callers ask perSecond times in a second at random instances, and disturbs the fleet each time that it has
// had some time to recover, until the end. It begins once the fleet has been calm for a while.
func (h *silenceHarness) run(t *testing.T, length time.Duration, perSecond int, ask func(m *silentMember) bool, disturb func(h *silenceHarness)) {
	const calm = 12 * time.Second
	asked := rand.New(rand.NewPCG(h.random.Uint64(), 1))
	h.end = time.Now().Add(calm + length)
	for _, m := range h.members {
		go func() {
			for time.Now().Before(h.end) {
				m.tick(time.Now())
				<-time.After(silentTick)
			}
		}()
		go func() {
			for time.Now().Before(h.end) {
				m.renewLeases(t.Context())
				<-time.After(LeaseInterval)
			}
		}()
	}
	if disturb != nil {
		go func() {
			<-time.After(calm)
			for time.Now().Before(h.end) {
				disturb(h)
				<-time.After(time.Duration(h.random.Int64N(int64(time.Second))))
			}
		}()
	}
	var all sync.WaitGroup
	for time.Now().Before(h.end) {
		<-time.After(time.Second / time.Duration(perSecond))
		m := h.members[asked.IntN(len(h.members))]
		all.Go(func() {
			m.awaitRunning()
			if ask(m) {
				h.mu.Lock()
				h.granted = append(h.granted, time.Now())
				h.mu.Unlock()
			}
		})
	}
	all.Wait()
	<-time.After(time.Minute) // until what is still held has got through
}

// awaitRunning blocks while the process is stopped.
func (m *silentMember) awaitRunning() {
	for {
		m.mu.Lock()
		left := time.Until(m.frozen)
		m.mu.Unlock()
		if left <= 0 {
			return
		}
		<-time.After(left)
	}
}

// worstWindow returns the most that was granted in any window.
func (h *silenceHarness) worstWindow(window time.Duration) (worst int) {
	slices.SortFunc(h.granted, time.Time.Compare)
	from := 0
	for to, at := range h.granted {
		for at.Sub(h.granted[from]) > window {
			from++
		}
		worst = max(worst, to-from+1)
	}
	return worst
}

// silences are the disturbances, for what k is the owner of.
func silences(k shardKey) map[string]func(h *silenceHarness) {
	held := func(d time.Duration, share float64) func(h *silenceHarness) {
		return func(h *silenceHarness) { h.hold(d, h.someOf(share)...) }
	}
	out := map[string]func(h *silenceHarness){
		"one instance is held for 200 ms": held(200*time.Millisecond, 0),
		"a third is held for 300 ms":      held(300*time.Millisecond, 0.3),
		"all are held for 300 ms":         held(300*time.Millisecond, 1),
		"a third is held for 600 ms":      held(600*time.Millisecond, 0.3),
		"all are held for 600 ms":         held(600*time.Millisecond, 1),
		"one is held for 1,500 ms":        held(1500*time.Millisecond, 0),
		"a third is held for 1,500 ms":    held(1500*time.Millisecond, 0.3),
		"all are held for 1,500 ms":       held(1500*time.Millisecond, 1),
		"any number is held for any time": func(h *silenceHarness) {
			h.hold(time.Duration(h.random.Int64N(int64(3*time.Second))), h.someOf(h.random.Float64())...)
		},
		"one process is stopped for a time": func(h *silenceHarness) {
			h.freeze(time.Duration(h.random.Int64N(int64(4*time.Second))), h.someOf(0)...)
		},
		"the owner is stopped for a time": func(h *silenceHarness) {
			h.freeze(time.Duration(h.random.Int64N(int64(4*time.Second))), h.first(k, 1)...)
		},
		"each instance is replaced in turn": func(h *silenceHarness) { h.replaceNext(1) },
		"four are replaced at once":         func(h *silenceHarness) { h.replaceNext(4) },
		"all are replaced at once, twice in a window": func(h *silenceHarness) {
			h.replaceNext(len(h.members))
			<-time.After(silentWindow / 2)
		},
		"a zone is cut off":     func(h *silenceHarness) { h.cutOff(1) },
		"two zones are cut off": func(h *silenceHarness) { h.cutOff(2) },
	}
	for n, name := range map[int]string{1: "owner", 2: "first two", 3: "first three"} {
		out["the "+name+" are silent for any time"] = func(h *silenceHarness) {
			h.hold(time.Duration(h.random.Int64N(int64(2*time.Second))), h.first(k, n)...)
		}
	}
	return out
}

// freeze stops processes.
func (h *silenceHarness) freeze(d time.Duration, members ...*silentMember) {
	for _, m := range members {
		m.mu.Lock()
		m.frozenAt, m.frozen = time.Now(), time.Now().Add(d)
		m.mu.Unlock()
	}
	<-time.After(d)
}

// replaceNext terminates instances, which are leaving for a second, and starts them anew.
func (h *silenceHarness) replaceNext(n int) {
	next := h.nextReplaced[:n]
	for _, m := range next {
		m.mu.Lock()
		m.leaving = true
		m.mu.Unlock()
	}
	<-time.After(time.Second)
	for _, m := range next {
		m.start()
	}
	h.nextReplaced = slices.Concat(h.nextReplaced[n:], next)
}

// cutOff cuts zones off from the others for a time, and lets the fleet recover.
func (h *silenceHarness) cutOff(zones int) {
	d := time.Duration(h.random.Int64N(int64(6 * time.Second)))
	h.mu.Lock()
	h.cutAt, h.cut, h.cutZone = time.Now(), time.Now().Add(d), zones
	h.mu.Unlock()
	<-time.After(d + 3*time.Second)
}

// The callers of an organisation ask for four times its quota while the instance that keeps its bucket doesn't reply
// in time. Each instance that was asked in its place granted the whole quota, up to 2,100 where 1,025 are allowed.
func TestQuotaHoldsWhileItsOwnerIsSilent(t *testing.T) {
	for name, disturb := range silences(quotaKey(silentOrganisation.Name)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range *silenceSeeds {
				virtualtime.Test(t, func(t *testing.T) {
					h := newSilenceHarness(seed, 12)
					h.run(t, 30*time.Second, 400, h.takeToken(t), disturb)
					worst := h.worstWindow(silentWindow)
					t.Logf("seed %d: %d in the worst window", seed, worst)
					if worst > 1025 {
						t.Errorf("seed %d: %d requests in %s; the limit is 1025", seed, worst, silentWindow)
					}
				})
			}
		})
	}
}

// Guards against owners of a bucket that are killed, come back at once and grant a part of the burst each time that they, or
// the standby, take the role, six times in a window; and against such a part of what is reserved for the standby.
func TestQuotaHoldsWhileInstancesAreKilledAgainAndAgain(t *testing.T) {
	for name, n := range map[string]int{"the owner": 1, "the first two": 2, "all": 12} {
		for _, burst := range []float64{20, 800} {
			t.Run(fmt.Sprintf("%s, a burst of %g", name, burst), func(t *testing.T) {
				t.Parallel()
				o := &routing.Organisation{Name: "crews", TokensPerSecond: 100, BurstTokens: burst, CountsRequests: true}
				allowed := int(1.25 * (100*silentWindow.Seconds() + burst))
				for seed := range *silenceSeeds {
					virtualtime.Test(t, func(t *testing.T) {
						h := newSilenceHarness(seed, 12)
						h.run(t, 30*time.Second, 400, h.takeTokenOf(t, o), killAgain(quotaKey(o.Name), n))
						worst := h.worstWindow(silentWindow)
						t.Logf("seed %d: %d in the worst window", seed, worst)
						if worst > allowed {
							t.Errorf("seed %d: %d requests in %s; the limit is %d", seed, worst, silentWindow, allowed)
						}
					})
				}
			})
		}
	}
}

// killAgain returns a disturbance that kills the first n in the ranking for k, which come back at once: about six times in a
// window.
func killAgain(k shardKey, n int) func(h *silenceHarness) {
	return func(h *silenceHarness) {
		for _, m := range h.first(k, n) {
			m.start()
		}
		<-time.After(silentWindow / 8)
	}
}

// takeToken returns a function that takes a token for a request at an instance.
func (h *silenceHarness) takeToken(t *testing.T) func(m *silentMember) bool {
	return h.takeTokenOf(t, silentOrganisation)
}

// takeTokenOf is takeToken for a request of an organisation.
func (h *silenceHarness) takeTokenOf(t *testing.T, o *routing.Organisation) func(m *silentMember) bool {
	return func(m *silentMember) bool {
		taken, _ := m.current().quotas.Take(t.Context(), "1", o, 1, 0)
		return taken != nil
	}
}

// An organisation that asks for its quota while nothing is disturbed gets all of it.
func TestOrganisationGetsItsWholeQuotaInCalm(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newSilenceHarness(1, 12)
		h.run(t, 10*time.Second, 100, h.takeToken(t), nil)
		is.True(h.worstWindow(silentWindow) >= 790) // of 800, for the time that requests take
	})
}

// Half of all requests fail, and each is tried again, while the owner of their shard doesn't reply in time. Each
// instance that was asked in its place had a retry budget of its own.
func TestRetryBudgetHoldsWhileTheOwnerOfAShardIsSilent(t *testing.T) {
	const perSecond = 100
	allowed := int(0.2*perSecond*silentWindow.Seconds()) + 60
	for name, disturb := range silences(shardKey{service: "s"}) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range *silenceSeeds {
				virtualtime.Test(t, func(t *testing.T) {
					h := newSilenceHarness(seed, 12)
					h.run(t, 30*time.Second, perSecond, h.retryOnce(t), disturb)
					worst := h.worstWindow(silentWindow)
					t.Logf("seed %d: %d in the worst window", seed, worst)
					if worst > allowed {
						t.Errorf("seed %d: %d retries in %s; the limit is %d", seed, worst, silentWindow, allowed)
					}
				})
			}
		})
	}
}

// Guards against instances that come back with a retry budget of which others, or they themselves, have used a part within the
// window.
func TestRetryBudgetHoldsWhileInstancesAreKilledAgainAndAgain(t *testing.T) {
	const perSecond = 100
	allowed := int(0.2*perSecond*silentWindow.Seconds()) + 60
	for name, n := range map[string]int{"the owner": 1, "the first two": 2, "all": 12} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range *silenceSeeds {
				virtualtime.Test(t, func(t *testing.T) {
					h := newSilenceHarness(seed, 12)
					h.run(t, 30*time.Second, perSecond, h.retryOnce(t), killAgain(shardKey{service: "s"}, n))
					worst := h.worstWindow(silentWindow)
					t.Logf("seed %d: %d in the worst window", seed, worst)
					if worst > allowed {
						t.Errorf("seed %d: %d retries in %s; the limit is %d", seed, worst, silentWindow, allowed)
					}
				})
			}
		})
	}
}

// retryOnce returns a function that sends a request which fails, and reports whether it was sent again.
func (h *silenceHarness) retryOnce(t *testing.T) func(m *silentMember) bool {
	return func(m *silentMember) bool {
		attempt := func(kind peer.AttemptKind) bool {
			now := time.Now()
			g, problem := m.current().fleet.Acquire(t.Context(), &AcquireRequest{ID: "1", Service: "s", Attempt: kind, Request: &scheduler.Request{
				Arrived: now, Deadline: now.Add(time.Minute), MaxWait: time.Nanosecond, AllowLate: true, PromptTokens: 100,
			}})
			if problem == nil && g.Owner() == "" {
				g.End(scheduler.Completed, 9)
			}
			return problem == nil
		}
		return attempt(peer.FirstAttempt) && attempt(peer.RetryAttempt)
	}
}
