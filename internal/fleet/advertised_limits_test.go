package fleet

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/ratelimit"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// Bounds for an upstream that advertises a limit: in any limitWindow, from limitSettleTime after it first
// advertised the limit, it may get limitOverage times what the limit allows, plus limitSlack requests.
// Only requests of instances that received the limit at least limitPropagation earlier count.
const (
	limitWindow          = 4 * time.Second
	limitSettleTime      = 3 * time.Second
	limitPropagation     = 500 * time.Millisecond
	limitOverage         = 1.5
	limitSlack           = 5
	limitRunLength       = 16 * time.Second
	limitStep            = 10 * time.Millisecond
	limitUpstreams       = 4
	limitRequestTime     = 200 * time.Millisecond
	limitSlots           = 400
	limitDemandFactor    = 4.0 // demand per upstream, as a multiple of the limit
	minDemandPerUpstream = 20  // requests per second
)

// limitRunCount is the number of simulation runs of each kind, each with its own seed.
var limitRunCount = flag.Uint64("limit-plays", 1, "simulation runs of upstreams that advertise a limit")

// runLargeLimits enables the largest limit for the larger fleets, too.
var runLargeLimits = flag.Bool("limit-large", false, "run a limit of 500 requests per second with 60 and 584 instances")

// limitHarness simulates a fleet and upstreams of which the first advertises a limit. Instances are
// partitioned, freeze, and restart without state; all of them can reach all upstreams.
type limitHarness struct {
	random          *rand.Rand
	limit           float64
	demand          float64 // requests per second
	members         []*limitMember
	addresses       map[string]*limitMember
	list            []view.Upstream
	firstAdvertised time.Time     // when the limit was first advertised
	informed        arrivalWindow // arrivals from instances that know the limit
	all             arrivalWindow // arrivals from all instances
	served          int           // requests to the upstreams without a limit
	limitEnded      bool          // the upstream no longer advertises a limit
	undisturbed     bool          // no faults
	eventQueue
}

// arrivalWindow counts the arrivals in the last limitWindow, and their maximum.
type arrivalWindow struct {
	recent []time.Time
	worst  int
	n      int
}

func (a *arrivalWindow) add(now time.Time) {
	old := slices.IndexFunc(a.recent, func(at time.Time) bool { return now.Sub(at) <= limitWindow })
	if old < 0 {
		old = len(a.recent)
	}
	a.recent = append(a.recent[old:], now)
	a.worst = max(a.worst, len(a.recent))
	a.n++
}

// limitMember is one instance of the harness.
type limitMember struct {
	harness   *limitHarness
	address   string
	fleet     *Fleet
	started   time.Time
	frozen    time.Time // until when
	informed  time.Time // when it got a response with the limit; zero before
	side      int       // of the network partition; different sides are disconnected
	knownSide int       // its side, as far as it has detected
}

func (m *limitMember) isFrozen() bool { return time.Now().Before(m.frozen) }

func newLimitHarness(seed uint64, fleet int, limit float64) *limitHarness {
	h := &limitHarness{random: rand.New(rand.NewPCG(seed, 11)), limit: limit, addresses: map[string]*limitMember{}}
	h.demand = limitUpstreams * max(minDemandPerUpstream, limitDemandFactor*limit)
	for i := range limitUpstreams {
		h.list = append(h.list, view.Upstream{ID: fmt.Sprint("u-", i), Service: "s", Address: "127.0.0.1:1", Slots: limitSlots, Incarnation: 1})
	}
	for i := range fleet {
		m := &limitMember{harness: h, address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
		h.members = append(h.members, m)
		h.addresses[m.address] = m
	}
	for _, m := range h.members {
		h.start(m)
	}
	return h
}

// start restarts an instance, which then knows only the list.
func (h *limitHarness) start(m *limitMember) {
	m.started, m.informed = time.Now(), time.Time{}
	m.fleet = New(Options{
		Instance: m.address, Limits: queue.Limits{MaxItems: 50},
		Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test"),
	})
	m.fleet.SetSlotClient(m)
	m.fleet.SetUpstreams(view.List{Version: 1, Upstreams: slices.Clone(h.list)})
	m.knownSide = m.side
	h.updateInstances(m)
}

// updateInstances sets the instances that a member can reach, as far as it has detected.
func (h *limitHarness) updateInstances(m *limitMember) {
	all := make([]Instance, 0, len(h.members))
	for i, other := range h.members {
		reachable := other == m || other.side == m.knownSide
		settled := time.Since(other.started) >= 500*time.Millisecond
		all = append(all, Instance{Address: other.address, Cores: 0.4 + 0.1*float64(i%3), Reachable: reachable, MayOwn: reachable, Settled: settled})
	}
	m.fleet.SetInstances(all)
}

// AcquireSlot implements SlotClient with another member's scheduler.
func (m *limitMember) AcquireSlot(_ context.Context, address string, r *peer.SlotRequest, _ time.Duration) (*peer.Slot, *peer.SlotRefusal, error) {
	other := m.harness.addresses[address]
	if other.isFrozen() || other.side != m.side {
		return nil, nil, peer.ErrNoReply
	}
	other.fleet.MergeLimits(m.address, r.Limits)
	pool := other.fleet.shardAt(r.Service, r.Shard).pool
	decision, decided := pool.Submit(schedulerRequest(time.Now(), r)).TryWait()
	if !decided || decision.Grant == nil {
		return nil, &peer.SlotRefusal{Reason: "full"}, nil
	}
	m.harness.schedule(limitRequestTime, func() { pool.End(decision.Grant, scheduler.Completed, 9) })
	return &peer.Slot{Grant: peer.SlotGrant{Upstream: decision.Grant.Upstream.ID, Limited: decision.Grant.Limited}}, nil, nil
}

// FleetSize implements SlotClient.
func (m *limitMember) FleetSize() int { return len(m.harness.members) }

// disturb starts random faults.
func (h *limitHarness) disturb() {
	chance := func(perSecond float64) bool { return h.random.Float64() < perSecond*limitStep.Seconds() }
	if chance(0.25) { // a network partition into up to three sides begins or ends
		sides := 1 + h.random.IntN(3)
		for _, m := range h.members {
			m.side = h.random.IntN(sides)
			h.schedule(time.Duration(200+h.random.IntN(1000))*time.Millisecond, func() {
				m.knownSide = m.side
				h.updateInstances(m)
			})
		}
	}
	if m := h.members[h.random.IntN(len(h.members))]; chance(0.5) {
		h.freeze(m)
	}
	if m := h.members[h.random.IntN(len(h.members))]; chance(0.5) && !m.isFrozen() {
		h.start(m)
	}
	if chance(0.5) { // the instance that grants most
		h.freeze(h.owner())
	}
}

func (h *limitHarness) freeze(m *limitMember) {
	if !m.isFrozen() {
		m.frozen = time.Now().Add(time.Duration(300+h.random.IntN(2000)) * time.Millisecond)
	}
}

// owner returns the owner of the shard, as a random member sees it.
func (h *limitHarness) owner() *limitMember {
	m := h.members[h.random.IntN(len(h.members))]
	if owners := m.fleet.ownersOf(shardKey{service: "s"}); len(owners) > 0 {
		return h.addresses[owners[0]]
	}
	return m
}

// step sends requests and exchanges updates.
func (h *limitHarness) step(t *testing.T) {
	h.runDue()
	if !h.undisturbed {
		h.disturb()
	}
	if m := h.members[h.random.IntN(len(h.members))]; !m.isFrozen() {
		h.updateInstances(m)
		h.gossip(m)
	}
	wanted := h.demand * limitStep.Seconds()
	for range int(wanted + h.random.Float64()) {
		if m := h.members[h.random.IntN(len(h.members))]; !m.isFrozen() {
			h.request(t, m)
		}
	}
}

func (h *limitHarness) request(t *testing.T, m *limitMember) {
	now := time.Now()
	g, problem := m.fleet.Acquire(t.Context(), &AcquireRequest{ID: "1", Service: "s", Request: &scheduler.Request{
		Arrived: now, Deadline: now.Add(time.Minute), MaxWait: time.Nanosecond, AllowLate: true, PromptTokens: 100,
	}})
	if problem != nil {
		return
	}
	f := m.fleet
	u := g.Upstream()
	if g.Owner() == "" {
		h.schedule(limitRequestTime, func() { g.End(scheduler.Completed, 9) })
	}
	if f.BeginAttempt(g) != nil {
		return
	}
	h.schedule(time.Duration(h.random.IntN(30))*time.Millisecond, func() { h.arrive(m, f, u, now) })
}

// arrive counts a request to the limited upstream, and schedules its response.
func (h *limitHarness) arrive(m *limitMember, f *Fleet, u string, sent time.Time) {
	if u != "u-0" {
		h.served++
		return
	}
	now := time.Now()
	counts := !m.informed.IsZero() && now.Sub(m.informed) >= limitPropagation
	if h.firstAdvertised.IsZero() {
		h.firstAdvertised = now
	}
	if now.Sub(h.firstAdvertised) >= limitSettleTime {
		h.all.add(now)
		if counts {
			h.informed.add(now)
		}
	}
	h.schedule(limitRequestTime, func() {
		if f.ObserveLimit(processName(u, 1), sent, h.observation()) {
			h.gossip(m)
		}
		if f == m.fleet && m.informed.IsZero() {
			m.informed = time.Now()
		}
	})
}

// observation returns what the limited upstream advertises now.
func (h *limitHarness) observation() ratelimit.Observation {
	if h.limitEnded {
		return ratelimit.Observation{Kind: ratelimit.Unlimited}
	}
	return ratelimit.Observation{Kind: ratelimit.Limited, PerSecond: h.limit}
}

// gossip sends the limits that a member knows to the others. Half of the messages are lost.
func (h *limitHarness) gossip(m *limitMember) {
	updates := m.fleet.NextLimitUpdates()
	for _, other := range h.members {
		if h.random.IntN(2) == 0 {
			continue
		}
		h.schedule(time.Duration(5+h.random.IntN(50))*time.Millisecond, func() {
			if other.side == m.side && !other.isFrozen() {
				other.fleet.MergeLimits(m.address, updates)
			}
		})
	}
}

func (h *limitHarness) run(t *testing.T, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		h.step(t)
		<-time.After(limitStep)
	}
	synctest.Wait()
}

// An upstream advertises a limit that is small relative to the number of instances, or large; the owner
// of its shard freezes and recovers, instances restart, and the fleet is partitioned into up to three
// sides. The requests of all instances that know the limit stay, together, within what it allows.
func TestAdvertisedLimitHoldsDuringFaults(t *testing.T) {
	for _, fleet := range []int{6, 60, 584} {
		for _, limit := range []float64{0.2, 1.7, 500} {
			if fleet > 6 && limit == 500 && !*runLargeLimits {
				continue // minutes under the race detector
			}
			t.Run(fmt.Sprintf("%v a second, %d instances", limit, fleet), func(t *testing.T) {
				for seed := range *limitRunCount {
					runLimit(t, seed, fleet, limit)
				}
			})
		}
	}
}

func runLimit(t *testing.T, seed uint64, fleet int, limit float64) {
	virtualtime.Test(t, func(t *testing.T) {
		h := newLimitHarness(seed, fleet, limit)
		h.run(t, limitRunLength)
		allowed := int(limitOverage*limit*limitWindow.Seconds()) + limitSlack
		t.Logf("seed %d: %d in the worst %v of %d allowed, %d from all instances; the other upstreams served %d", seed, h.informed.worst, limitWindow, allowed, h.all.worst, h.served)
		if h.informed.worst > allowed {
			t.Errorf("seed %d: an upstream with a limit of %v requests per second got %d in %v; %d are allowed", seed, limit, h.informed.worst, limitWindow, allowed)
		}
	})
}

// newUndisturbedHarness returns a fleet of six without faults and an upstream with a limit, after some
// time.
func newUndisturbedHarness(t *testing.T, limit float64) *limitHarness {
	h := newLimitHarness(1, 6, limit)
	h.undisturbed = true
	h.run(t, 8*time.Second)
	return h
}

// With all instances reachable an upstream gets most of the rate that it advertises, and the others get
// the remaining requests.
func TestAdvertisedLimitIsUsed(t *testing.T) {
	for _, limit := range []float64{1.7, 50, 500} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newUndisturbedHarness(t, limit)
				h.all = arrivalWindow{}
				h.run(t, 10*time.Second)
				is.True(float64(h.all.n) >= 0.7*10*limit)
				is.True(float64(h.all.n) <= 10*limit)
				is.True(h.served > 3*h.all.n)
			})
		})
	}
}

// The requests that a limit lets through discover that it has risen or ended.
func TestRaisedOrEndedLimitIsDiscovered(t *testing.T) {
	for name, change := range map[string]func(h *limitHarness){
		"rises": func(h *limitHarness) { h.limit = 50 },
		"ends":  func(h *limitHarness) { h.limitEnded = true },
	} {
		for _, limit := range []float64{0, 0.2, 1.9} {
			t.Run(fmt.Sprintf("%s from %v", name, limit), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					is := is.New(t)
					h := newUndisturbedHarness(t, limit)
					change(h)
					h.run(t, 25*time.Second) // at least one request every 10 s
					for _, m := range h.members {
						perSecond, limited := m.fleet.Limit("u-0")
						is.Equal(limited, !h.limitEnded)
						is.True(h.limitEnded || perSecond == 50)
					}
					h.all = arrivalWindow{}
					h.run(t, 4*time.Second)
					is.True(h.all.n > 4*10)
				})
			})
		}
	}
}

// An owner that doesn't know a limit yet, or runs an older version, may grant an upstream that this
// instance knows to be limited.
func TestGrantThatIgnoresLimitIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(3))
	f.SetSlotClient(grantingSlots{peer.SlotGrant{Upstream: "i-7"}})
	g, problem := f.Acquire(t.Context(), generation())
	is.True(problem == nil)
	is.NoErr(f.BeginAttempt(g))
	f.RecordResponse("i-7", "i-7")
	is.True(f.ObserveLimit("i-7", time.Now(), ratelimit.Observation{Kind: ratelimit.Limited, PerSecond: 2}))
	is.Equal(f.BeginAttempt(g), ErrLimitUnknown)
	f.SetSlotClient(grantingSlots{peer.SlotGrant{Upstream: "i-7", Limited: true}})
	g, problem = f.Acquire(t.Context(), generation())
	is.True(problem == nil)
	is.NoErr(f.BeginAttempt(g))
}

// A slot request carries the limits of the upstreams of its service, and no others.
func TestSlotRequestsCarryLimits(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(3))
	is.Equal(len(f.slotRequest(time.Now(), f.services["s"].shards[0], generation()).Limits), 0)
	f.ObserveLimit("i-7", time.Now(), ratelimit.Observation{Kind: ratelimit.Limited, PerSecond: 2})
	limits := f.slotRequest(time.Now(), f.services["s"].shards[0], generation()).Limits
	is.Equal(len(limits), 1)
	is.Equal(limits[0].PerSecond, 2.0)
	is.Equal(len(f.limitsForOwner("other")), 0)
	other := fleetOf("10.0.0.2:1", instances(3))
	is.True(other.MergeLimits("10.0.0.1:1", limits))
	is.True(!other.MergeLimits("10.0.0.1:1", limits)) // known already
	perSecond, limited := other.Limit("i-7")
	is.True(limited)
	is.Equal(perSecond, 2.0)
}

// A limit belongs to a process: it doesn't apply to another one under the same ID, and still applies to
// an entry that comes back.
func TestAdvertisedLimitBelongsToProcess(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	f.ObserveLimit("i-7", time.Now(), ratelimit.Observation{Kind: ratelimit.Limited, PerSecond: 2})
	entry := view.Upstream{ID: "i-7", Service: "s", Address: "127.0.0.1:1", Slots: 9}
	f.ApplyListChange(view.ListChange{Version: 2, Removed: []string{"i-7"}})
	f.ApplyListChange(view.ListChange{Version: 3, Changed: []view.Upstream{entry}})
	_, limited := f.Limit("i-7")
	is.True(limited)
	entry.Incarnation = 9
	f.ApplyListChange(view.ListChange{Version: 4, Changed: []view.Upstream{entry}})
	_, limited = f.Limit("i-7")
	is.True(!limited)
}
