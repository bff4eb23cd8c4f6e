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
)

// What an upstream that names a limit may get: in any limitWindow, from limitSettles after it first named it, so many
// times what the limit allows, and so many requests more. Instances that it told limitKnown before or earlier count.
const (
	limitWindow   = 4 * time.Second
	limitSettles  = 3 * time.Second
	limitKnown    = 500 * time.Millisecond
	limitOverage  = 1.5
	limitSlack    = 5
	limitLength   = 16 * time.Second
	limitStep     = 10 * time.Millisecond
	limitServers  = 4
	limitRuns     = 200 * time.Millisecond
	limitSlots    = 400
	limitSpare    = 4.0 // how many times the limit callers want of each upstream
	limitPressure = 20  // requests a second for each upstream, at least
)

// limitPlays is how many plays are made of each kind, each with a seed of its own.
var limitPlays = flag.Uint64("limit-plays", 1, "plays of upstreams that name a limit")

// limitLarge plays the largest limit before the larger fleets, too.
var limitLarge = flag.Bool("limit-large", false, "play a limit of 500 a second before 60 and 584 instances")

// limitWorld is a fleet before upstreams of which the first names a limit. Instances are cut from each other,
// freeze, and start again knowing nothing; all of them reach all upstreams.
type limitWorld struct {
	random    *rand.Rand
	limit     float64
	pressure  float64 // requests a second
	members   []*limitMember
	addresses map[string]*limitMember
	list      []view.Upstream
	named     time.Time     // when the limit was named first
	told      arrivalWindow // from instances that were told
	all       arrivalWindow // from all of them
	served    int           // by the upstreams without a limit
	ended     bool          // its limit has
	calm      bool          // nothing but requests happens
	agenda
}

// arrivalWindow counts the arrivals of the last limitWindow, and the most there were.
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

// limitMember is one instance.
type limitMember struct {
	world   *limitWorld
	address string
	fleet   *Fleet
	started time.Time
	frozen  time.Time // until when
	told    time.Time // when it had an answer that names the limit; zero before
	side    int       // those of unlike sides don't reach each other
	reaches int       // its side, as far as it has noticed
}

func (m *limitMember) isFrozen() bool { return time.Now().Before(m.frozen) }

func newLimitWorld(seed uint64, fleet int, limit float64) *limitWorld {
	w := &limitWorld{random: rand.New(rand.NewPCG(seed, 11)), limit: limit, addresses: map[string]*limitMember{}}
	w.pressure = limitServers * max(limitPressure, limitSpare*limit)
	for i := range limitServers {
		w.list = append(w.list, view.Upstream{ID: fmt.Sprint("u-", i), Service: "s", Address: "127.0.0.1:1", Slots: limitSlots, Incarnation: 1})
	}
	for i := range fleet {
		m := &limitMember{world: w, address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
		w.members = append(w.members, m)
		w.addresses[m.address] = m
	}
	for _, m := range w.members {
		w.start(m)
	}
	return w
}

// start lets an instance start anew, knowing the list alone.
func (w *limitWorld) start(m *limitMember) {
	m.started, m.told = time.Now(), time.Time{}
	m.fleet = New(Options{
		Instance: m.address, Limits: queue.Limits{MaxItems: 50},
		Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test"),
	})
	m.fleet.UseSlots(m)
	m.fleet.SetUpstreams(view.List{Version: 1, Upstreams: slices.Clone(w.list)})
	m.reaches = m.side
	w.tell(m)
}

// tell lets a member know whom it reaches.
func (w *limitWorld) tell(m *limitMember) {
	all := make([]Instance, 0, len(w.members))
	for i, other := range w.members {
		reached := other == m || other.side == m.reaches
		settled := time.Since(other.started) >= 500*time.Millisecond
		all = append(all, Instance{Address: other.address, Cores: 0.4 + 0.1*float64(i%3), InReach: reached, MayOwn: reached, Settled: settled})
	}
	m.fleet.SetInstances(all)
}

// AcquireSlot implements Slots: it asks another member's scheduler.
func (m *limitMember) AcquireSlot(_ context.Context, address string, r *peer.SlotRequest, _ time.Duration) (*peer.Slot, *peer.SlotRefusal, error) {
	other := m.world.addresses[address]
	if other.isFrozen() || other.side != m.side {
		return nil, nil, peer.ErrNoReply
	}
	other.fleet.LearnLimits(m.address, r.Limits)
	pool := other.fleet.shardAt(r.Service, r.Shard).pool
	turn, decided := pool.Submit(requestOf(time.Now(), r)).Decided()
	if !decided || turn.Grant == nil {
		return nil, &peer.SlotRefusal{Reason: "full"}, nil
	}
	m.world.later(limitRuns, func() { pool.End(turn.Grant, scheduler.Completed, 9) })
	return &peer.Slot{Grant: peer.SlotGrant{Upstream: turn.Grant.Upstream.ID, Limited: turn.Grant.Limited}}, nil, nil
}

// FleetSize implements Slots.
func (m *limitMember) FleetSize() int { return len(m.world.members) }

// disturb lets something happen now and then.
func (w *limitWorld) disturb() {
	chance := func(perSecond float64) bool { return w.random.Float64() < perSecond*limitStep.Seconds() }
	if chance(0.25) { // a cut into up to three parts, or its end
		parts := 1 + w.random.IntN(3)
		for _, m := range w.members {
			m.side = w.random.IntN(parts)
			w.later(time.Duration(200+w.random.IntN(1000))*time.Millisecond, func() {
				m.reaches = m.side
				w.tell(m)
			})
		}
	}
	if m := w.members[w.random.IntN(len(w.members))]; chance(0.5) {
		w.freeze(m)
	}
	if m := w.members[w.random.IntN(len(w.members))]; chance(0.5) && !m.isFrozen() {
		w.start(m)
	}
	if chance(0.5) { // whoever grants most
		w.freeze(w.owner())
	}
}

func (w *limitWorld) freeze(m *limitMember) {
	if !m.isFrozen() {
		m.frozen = time.Now().Add(time.Duration(300+w.random.IntN(2000)) * time.Millisecond)
	}
}

// owner returns the instance that a member asks for slots.
func (w *limitWorld) owner() *limitMember {
	m := w.members[w.random.IntN(len(w.members))]
	if owners := m.fleet.ownersOf(shardKey{service: "s"}); len(owners) > 0 {
		return w.addresses[owners[0]]
	}
	return m
}

// step lets callers come, and news with them.
func (w *limitWorld) step(t *testing.T) {
	w.happen()
	if !w.calm {
		w.disturb()
	}
	if m := w.members[w.random.IntN(len(w.members))]; !m.isFrozen() {
		w.tell(m)
		w.gossip(m)
	}
	wanted := w.pressure * limitStep.Seconds()
	for range int(wanted + w.random.Float64()) {
		if m := w.members[w.random.IntN(len(w.members))]; !m.isFrozen() {
			w.request(t, m)
		}
	}
}

func (w *limitWorld) request(t *testing.T, m *limitMember) {
	now := time.Now()
	l, problem := m.fleet.Acquire(t.Context(), &Want{ID: "1", Service: "s", Request: &scheduler.Request{
		Arrived: now, Deadline: now.Add(time.Minute), Patience: time.Nanosecond, LateIsWorth: true, Prompt: 100,
	}})
	if problem != nil {
		return
	}
	f := m.fleet
	u := l.Upstream()
	if l.Owner() == "" {
		w.later(limitRuns, func() { l.End(scheduler.Completed, 9) })
	}
	if f.BeginAttempt(l) != nil {
		return
	}
	w.later(time.Duration(w.random.IntN(30))*time.Millisecond, func() { w.arrive(m, f, u, now) })
}

// arrive counts what the limited upstream gets, and lets it answer.
func (w *limitWorld) arrive(m *limitMember, f *Fleet, u string, sent time.Time) {
	if u != "u-0" {
		w.served++
		return
	}
	now := time.Now()
	counts := !m.told.IsZero() && now.Sub(m.told) >= limitKnown
	if w.named.IsZero() {
		w.named = now
	}
	if now.Sub(w.named) >= limitSettles {
		w.all.add(now)
		if counts {
			w.told.add(now)
		}
	}
	w.later(limitRuns, func() {
		if f.NoteLimit(u, sent, w.says()) {
			w.gossip(m)
		}
		if f == m.fleet && m.told.IsZero() {
			m.told = time.Now()
		}
	})
}

// says is what the limited upstream says now.
func (w *limitWorld) says() ratelimit.Observation {
	if w.ended {
		return ratelimit.Observation{Kind: ratelimit.Unlimited}
	}
	return ratelimit.Observation{Kind: ratelimit.Limited, PerSecond: w.limit}
}

// gossip lets a member tell others what it knows of limits. Half of that is lost.
func (w *limitWorld) gossip(m *limitMember) {
	told := m.fleet.TellLimits()
	for _, other := range w.members {
		if w.random.IntN(2) == 0 {
			continue
		}
		w.later(time.Duration(5+w.random.IntN(50))*time.Millisecond, func() {
			if other.side == m.side && !other.isFrozen() {
				other.fleet.LearnLimits(m.address, told)
			}
		})
	}
}

func (w *limitWorld) run(t *testing.T, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		w.step(t)
		<-time.After(limitStep)
	}
	synctest.Wait()
}

// An upstream names a limit that is small beside the number of instances, or large, in its answers; the owner of its
// shard freezes and thaws, instances start again, and the fleet is cut in up to three. Whatever instances it told
// send there, together, stays within what it allows.
func TestAnUpstreamGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	for _, fleet := range []int{6, 60, 584} {
		for _, limit := range []float64{0.2, 1.7, 500} {
			if fleet > 6 && limit == 500 && !*limitLarge {
				continue // minutes under the race detector
			}
			t.Run(fmt.Sprintf("%v a second, %d instances", limit, fleet), func(t *testing.T) {
				for seed := range *limitPlays {
					playLimit(t, seed, fleet, limit)
				}
			})
		}
	}
}

func playLimit(t *testing.T, seed uint64, fleet int, limit float64) {
	synctest.Test(t, func(t *testing.T) {
		w := newLimitWorld(seed, fleet, limit)
		w.run(t, limitLength)
		allowed := int(limitOverage*limit*limitWindow.Seconds()) + limitSlack
		t.Logf("seed %d: %d in the worst %v of %d allowed, %d with those that weren't told; the others served %d", seed, w.told.worst, limitWindow, allowed, w.all.worst, w.served)
		if w.told.worst > allowed {
			t.Errorf("seed %d: an upstream that takes %v requests a second got %d in %v; %d are allowed", seed, limit, w.told.worst, limitWindow, allowed)
		}
	})
}

// calmWorld is a fleet of six without disturbance before an upstream with a limit, played for a while.
func calmWorld(t *testing.T, limit float64) *limitWorld {
	w := newLimitWorld(1, 6, limit)
	w.calm = true
	w.run(t, 8*time.Second)
	return w
}

// With all instances in reach an upstream gets what it has named, and the others the rest.
func TestALimitIsUsed(t *testing.T) {
	for _, limit := range []float64{1.7, 50, 500} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := calmWorld(t, limit)
				w.all = arrivalWindow{}
				w.run(t, 10*time.Second)
				is.True(float64(w.all.n) >= 0.7*10*limit)
				is.True(float64(w.all.n) <= 10*limit)
				is.True(w.served > 3*w.all.n)
			})
		})
	}
}

// A limit that rises or ends is found out by the requests that it still lets through.
func TestALimitThatRisesOrEndsIsFoundOut(t *testing.T) {
	for name, change := range map[string]func(w *limitWorld){
		"rises": func(w *limitWorld) { w.limit = 50 },
		"ends":  func(w *limitWorld) { w.ended = true },
	} {
		for _, limit := range []float64{0, 0.2, 1.9} {
			t.Run(fmt.Sprintf("%s from %v", name, limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := calmWorld(t, limit)
					change(w)
					w.run(t, 25*time.Second) // at least one request each ten seconds
					for _, m := range w.members {
						perSecond, limited := m.fleet.Limit("u-0")
						is.Equal(limited, !w.ended)
						is.True(w.ended || perSecond == 50)
					}
					w.all = arrivalWindow{}
					w.run(t, 4*time.Second)
					is.True(w.all.n > 4*10)
				})
			})
		}
	}
}

// An owner that hasn't heard of a limit, or is of an older version, may grant what this instance knows is limited.
func TestAGrantThatGoesByNoLimitIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(3))
	f.UseSlots(grantingSlots{peer.SlotGrant{Upstream: "i-7"}})
	l, problem := f.Acquire(t.Context(), generation())
	is.True(problem == nil)
	is.NoErr(f.BeginAttempt(l))
	f.Heard("i-7")
	is.True(f.NoteLimit("i-7", time.Now(), ratelimit.Observation{Kind: ratelimit.Limited, PerSecond: 2}))
	is.Equal(f.BeginAttempt(l), ErrNotLimited)
	f.UseSlots(grantingSlots{peer.SlotGrant{Upstream: "i-7", Limited: true}})
	l, problem = f.Acquire(t.Context(), generation())
	is.True(problem == nil)
	is.NoErr(f.BeginAttempt(l))
}

// An owner is told of the limits of the service's upstreams with each request, and of no others.
func TestOwnersAreToldOfLimits(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(3))
	is.Equal(len(f.slotRequest(time.Now(), f.services["s"].shards[0], generation()).Limits), 0)
	f.NoteLimit("i-7", time.Now(), ratelimit.Observation{Kind: ratelimit.Limited, PerSecond: 2})
	told := f.slotRequest(time.Now(), f.services["s"].shards[0], generation()).Limits
	is.Equal(len(told), 1)
	is.Equal(told[0].PerSecond, 2.0)
	is.Equal(len(f.limitsToTell("other")), 0)
	other := fleetOf("10.0.0.2:1", instances(3))
	is.True(other.LearnLimits("10.0.0.1:1", told))
	is.True(!other.LearnLimits("10.0.0.1:1", told)) // no news
	perSecond, limited := other.Limit("i-7")
	is.True(limited)
	is.Equal(perSecond, 2.0)
}

// A limit is a process's: what starts under the same ID has named none, and an entry that comes back has.
func TestALimitIsOfTheProcess(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	f.NoteLimit("i-7", time.Now(), ratelimit.Observation{Kind: ratelimit.Limited, PerSecond: 2})
	entry := view.Upstream{ID: "i-7", Service: "s", Address: "127.0.0.1:1", Slots: 9}
	f.ChangeUpstreams(view.ListChange{Version: 2, Removed: []string{"i-7"}})
	f.ChangeUpstreams(view.ListChange{Version: 3, Changed: []view.Upstream{entry}})
	_, limited := f.Limit("i-7")
	is.True(limited)
	entry.Incarnation = 9
	f.ChangeUpstreams(view.ListChange{Version: 4, Changed: []view.Upstream{entry}})
	_, limited = f.Limit("i-7")
	is.True(!limited)
}
