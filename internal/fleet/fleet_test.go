package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
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
)

// fleetOf returns the fleet of one of many instances, each with an equal list.
func fleetOf(address string, instances []Instance) *Fleet {
	var list []view.Upstream
	for i := range 60 {
		list = append(list, view.Upstream{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: "127.0.0.1:1", Slots: 9})
	}
	f := New(Options{
		Instance: address, Limits: queue.Limits{MaxItems: 1},
		Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test"),
	})
	f.UseSlots(noSlots{})
	f.SetUpstreams(view.List{Version: 1, Upstreams: list})
	f.SetInstances(slices.Clone(instances))
	return f
}

// noSlots is a mesh without links.
type noSlots struct{}

func (noSlots) AcquireSlot(context.Context, string, *peer.SlotRequest, time.Duration) (*peer.Slot, *peer.SlotRefusal, error) {
	return nil, nil, peer.ErrUnreachable
}

func (noSlots) FleetSize() int { return 0 }

func instances(n int) []Instance {
	var out []Instance
	for i := range n {
		out = append(out, Instance{Address: fmt.Sprintf("10.0.0.%d:1", i), Cores: 0.4, InReach: true, MayOwn: true})
	}
	return out
}

// generation is a request that owners schedule.
func generation() *Want {
	now := time.Now()
	return &Want{ID: "1", Service: "s", Request: &scheduler.Request{
		Arrived: now, Deadline: now.Add(time.Minute), MaxWait: time.Second, AllowLate: true, PromptTokens: 100,
	}}
}

// What many instances believe of one upstream's slots is a heartbeat old, so exactly one
// schedules it, whichever instance a request comes to.
func TestAllInstancesOfALargeFleetNameOneOwner(t *testing.T) {
	is := is.New(t)
	all := instances(63)
	named := map[string]int{}
	for _, i := range all {
		_, owners := fleetOf(i.Address, all).shardAndOwners(generation())
		is.Equal(len(owners), maxOwners)
		named[owners[0]]++
	}
	is.Equal(len(named), 1)
}

func TestAnInstanceWithoutPeersSchedulesForItself(t *testing.T) {
	is := is.New(t)
	shard, owners := fleetOf("10.0.0.0:1", instances(1)).shardAndOwners(generation())
	is.Equal(len(owners), 0)
	shard.pool.View(func(core *scheduler.Core) { is.Equal(len(core.Upstreams()), 60) })
}

// Whoever is asked schedules on all upstreams of the shard.
func TestEachInstanceKnowsAllUpstreams(t *testing.T) {
	is := is.New(t)
	all := instances(7)
	for _, i := range all {
		shard, _ := fleetOf(i.Address, all).shardAndOwners(generation())
		shard.pool.View(func(core *scheduler.Core) { is.Equal(len(core.Upstreams()), 60) })
	}
}

// Plain services are filled by many instances at once, too.
func TestRequestsWithoutAPromptHaveTheSameOwner(t *testing.T) {
	is := is.New(t)
	w := generation()
	w.Request.PromptTokens = 0
	f := fleetOf("10.0.0.1:1", instances(63))
	_, owners := f.shardAndOwners(w)
	_, same := f.shardAndOwners(generation())
	is.Equal(owners, same)
}

func TestWhoMayOwn(t *testing.T) {
	is := is.New(t)
	all := instances(63)
	f := fleetOf("10.0.0.1:1", all)
	owner := func() string {
		_, owners := f.shardAndOwners(generation())
		return owners[0]
	}
	first := owner()
	f.owners.distrust(first, time.Now())
	second := owner()
	is.True(second != first) // one that said nothing is passed over
	f.owners.distrust(first, time.Now().Add(-distrustFor))
	is.Equal(owner(), first) // for a while
	for i := range all {
		all[i].MayOwn = all[i].Address != first
	}
	f.SetInstances(all)
	is.Equal(owner(), second) // the rest keep their order
}

// Instances that have more processor time own more.
func TestOwnersHaveTheProcessorTimeForIt(t *testing.T) {
	is := is.New(t)
	list := []Instance{{Address: "small", Cores: 0.4, MayOwn: true}, {Address: "large", Cores: 0.8, MayOwn: true}}
	large := 0
	for i := range 1000 {
		if rank(shardKey{service: "s", index: i}, list)[0] == "large" {
			large++
		}
	}
	is.True(large > 900 && large < 980) // 16 of 17
}

// An instance that reaches no owner schedules for itself: cut off, it serves what it can.
func TestWithoutAnOwnerInReachAnInstanceDecidesItself(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(63))
	l, problem := f.Acquire(t.Context(), generation())
	is.True(problem == nil)
	is.Equal(l.Owner(), "")
	is.Equal(f.Load().Running[l.Upstream()], 1)
	l.End(scheduler.Completed, 1)
	is.Equal(len(f.Load().Running), 0)
}

// A service with more upstreams than one instance is to schedule is cut into shards, and
// one more takes its part of the others and moves nothing else.
func TestLargeServicesHaveShards(t *testing.T) {
	is := is.New(t)
	is.Equal(shardsOf(0), 1)
	is.Equal(shardsOf(shardSize), 1)
	is.Equal(shardsOf(shardSize+1), 2)
	sizes := map[int]int{}
	for i := range 3000 {
		id := fmt.Sprint("i-", i)
		before, after := shardFor(id, 2), shardFor(id, 3)
		is.True(after == before || after == 2)
		sizes[after]++
	}
	for _, n := range sizes {
		is.True(n > 900 && n < 1100)
	}
}

// After a start an instance doesn't know yet with how many it shares the budget.
func TestAStartBringsNoRepeatsOfItsOwn(t *testing.T) {
	is := is.New(t)
	f := New(Options{
		Instance: "10.0.0.1:1", Limits: queue.Limits{MaxItems: 1}, Metrics: telemetry.NewMetrics(),
		Repeats: retrybudget.Slack{Share: 0.2, Extra: 60, Window: time.Hour},
	})
	is.True(!f.Repeats("s").Withdraw())
}

// keepers are the quotas of many instances that reach each other as reach says.
type keepers struct {
	quotas map[string]*Quotas
	reach  func(from, to string) bool
}

// link is how one of them asks the others.
type quotaLink struct {
	k    *keepers
	from string
}

func (l quotaLink) TakeQuota(_ context.Context, address string, r *peer.QuotaRequest, _ time.Duration) (*peer.QuotaReply, error) {
	if !l.k.reach(l.from, address) {
		return nil, peer.ErrNoReply
	}
	return l.k.quotas[address].Serve(r), nil
}

func (l quotaLink) FleetSize() int { return len(l.k.quotas) }

func (l quotaLink) ReturnQuota(address string, r *peer.QuotaReturn) {
	l.k.quotas[address].Returned(r)
}

// newKeepers returns the quotas of so many instances, which have settled if they are of
// any age. Each knows all
// the others, and those that it doesn't reach as such.
func newKeepers(n int, age time.Duration, reach func(from, to string) bool) *keepers {
	k := &keepers{quotas: map[string]*Quotas{}, reach: reach}
	for _, self := range instances(n) {
		known := instances(n)
		for i := range known {
			known[i].InReach = reach(self.Address, known[i].Address)
			known[i].MayOwn = known[i].InReach
			known[i].Settled = age > 0
		}
		q := NewQuotas(time.Now(), Allowance{}, fleetOf(self.Address, known))
		q.UsePeers(quotaLink{k, self.Address})
		k.quotas[self.Address] = q
	}
	return k
}

// press asks for tokens at all instances in turn until each has been refused, and returns
// what was granted.
func (k *keepers) press(t *testing.T, size int) (granted int) {
	o := &routing.Organisation{Name: "crews", TokensPerSecond: 1e-3, BurstTokens: 10_000}
	for _, q := range k.quotas {
		for {
			taken, _ := q.Take(t.Context(), "1", o, size, 0)
			if taken == nil {
				break
			}
			granted += size
		}
	}
	return granted
}

// An organisation's bucket is at one instance, whichever its requests come to: none grants
// a large request beside the others.
func TestManyInstancesGrantOneQuotaTogether(t *testing.T) {
	is := is.New(t)
	all := newKeepers(87, time.Hour, func(string, string) bool { return true })
	is.Equal(all.press(t, 7000), 7000) // a part of the burst is there at first, and one may run into debt
}

func TestPartsOfAFleetThatAreCutApartKeepAQuotaTogether(t *testing.T) {
	is := is.New(t)
	side := func(address string) bool { return address < "10.0.0.4" }
	all := newKeepers(60, time.Hour, func(from, to string) bool { return side(from) == side(to) })
	granted := all.press(t, 10)
	is.True(granted >= 1500*95/100)
	is.True(granted <= 1500*105/100)
}

// An instance that has just started is asked for no tokens, though it would be the one:
// it would refuse them.
func TestAnInstanceThatHasJustStartedKeepsNoBuckets(t *testing.T) {
	is := is.New(t)
	all := instances(20)
	for i := range all {
		all[i].Settled = true
	}
	f := fleetOf("10.0.0.1:1", all)
	first := f.ownersOf(quotaKey("crews"))
	for i := range all {
		all[i].Settled = all[i].Address != first[0]
	}
	f.SetInstances(all)
	is.Equal(f.ownersOf(quotaKey("crews"))[0], first[1])
	is.Equal(f.ownersOf(shardKey{service: "s"})[0], fleetOf("10.0.0.1:1", instances(20)).ownersOf(shardKey{service: "s"})[0]) // shards it may own
}

// All instances have lost what they knew, and none has settled: they grant no burst, and
// together hardly more than the rate since their start.
func TestAFleetThatStartsGrantsNoBurst(t *testing.T) {
	is := is.New(t)
	all := newKeepers(20, 0, func(string, string) bool { return true })
	is.Equal(all.press(t, 7000), 0) // and run into no debt
	is.Equal(all.press(t, 1), 0)
}

func TestTokensGoBackToWhomTheyAreOf(t *testing.T) {
	is := is.New(t)
	all := newKeepers(20, time.Hour, func(string, string) bool { return true })
	o := &routing.Organisation{Name: "crews", TokensPerSecond: 1e-3, BurstTokens: 10_000}
	q := all.quotas["10.0.0.3:1"]
	taken, _ := q.Take(t.Context(), "1", o, 5000, 0)
	is.True(taken != nil)
	refused, wait := all.quotas["10.0.0.4:1"].Take(t.Context(), "2", o, 1, 0)
	is.True(refused == nil)
	is.True(wait > 0)
	q.Return(taken)
	taken, _ = all.quotas["10.0.0.4:1"].Take(t.Context(), "3", o, 1, 0)
	is.True(taken != nil)
}

// What an instance granted before it knew the owner of a shard, the owner counts by
// heartbeats alone: it is told more often until all of it has ended.
func TestOwnersAreToldOfWhatTheyHaveNotGranted(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	f.SetInstances([]Instance{{Address: "10.0.0.1:1", InReach: true, MayOwn: true}})
	is.Equal(len(f.StrayOwners()), 0)
	l, problem := f.Acquire(t.Context(), generation())
	is.True(problem == nil)
	is.Equal(len(f.StrayOwners()), 0) // it schedules by itself
	f.SetInstances([]Instance{{Address: "10.0.0.1:1", InReach: true}, {Address: "10.0.0.2:1", InReach: true, MayOwn: true}})
	is.Equal(f.StrayOwners(), []string{"10.0.0.2:1"})
	l.End(scheduler.Completed, 1)
	is.Equal(len(f.StrayOwners()), 0)
}

// lostSlot was granted by a peer whose link has ended.
type lostSlot struct{}

func (lostSlot) Started()                 {}
func (lostSlot) Release(peer.SlotRelease) {}
func (lostSlot) Lost() bool               { return true }

// An instance that comes to own a shard knows what it runs there by grants of the owner
// before.
func TestWhatRunsByGrantsOfAGoneOwnerCounts(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	f.SetInstances([]Instance{{Address: "10.0.0.1:1", InReach: true, MayOwn: true}})
	lost := &peerLease{grant: peer.SlotGrant{Upstream: "i-7"}, slot: lostSlot{}, all: &f.leases}
	f.leases.add(lost)
	running := func() (n int) {
		f.shardAt("s", 0).pool.View(func(core *scheduler.Core) {
			for _, u := range core.Upstreams() {
				n += u.RunningElsewhere
			}
		})
		return n
	}
	f.CountLost()
	is.Equal(running(), 1)
	lost.End(scheduler.Completed, 1)
	f.CountLost()
	is.Equal(running(), 0)
}

// An instance that was cut off may own a shard again once it is back, and must not go on
// believing that the upstreams on the other side fail.
func TestUpstreamsAreTestedAgainOnceAPeerIsBackInReach(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	other := Instance{Address: "10.0.0.2:1"}
	f.SetInstances([]Instance{{Address: "10.0.0.1:1", InReach: true, MayOwn: true}, other})
	avoided := func() (n int) {
		f.shardAt("s", 0).pool.View(func(core *scheduler.Core) {
			for _, u := range core.Upstreams() {
				if u.CircuitOpenUntil.After(time.Now()) {
					n++
				}
			}
		})
		return n
	}
	for range 3 {
		l, problem := f.Acquire(t.Context(), generation())
		is.True(problem == nil)
		l.End(scheduler.Unreachable, 0)
	}
	is.Equal(avoided(), 3)
	other.InReach = true
	f.SetInstances([]Instance{{Address: "10.0.0.1:1", InReach: true, MayOwn: true}, other})
	is.Equal(avoided(), 0)
}

// A lease says by which list it was granted, and is of use until its upstream leaves or is gone.
func TestALeaseIsOfUseUntilItsUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.0:1", instances(1))
	l, problem := f.Acquire(t.Context(), generation())
	is.True(problem == nil)
	is.Equal(l.ListVersion(), int64(1))
	is.NoErr(f.MayBeSent(l.Upstream()))
	list := view.List{Version: 2, Upstreams: []view.Upstream{{ID: l.Upstream(), Service: "s", Address: "127.0.0.1:1", Slots: 9, Leaving: true}}}
	f.SetUpstreams(list)
	is.True(errors.Is(f.MayBeSent(l.Upstream()), ErrNotUsable))
	f.SetUpstreams(view.List{Version: 3})
	is.True(errors.Is(f.MayBeSent(l.Upstream()), ErrNotUsable))
	l.End(scheduler.Cancelled, 0)
}
