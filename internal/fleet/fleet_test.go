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

	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// fleetOf returns the Fleet of one of several instances; all have the same list.
func fleetOf(address string, instances []Instance) *Fleet {
	var list []view.Upstream
	for i := range 60 {
		list = append(list, view.Upstream{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: "127.0.0.1:1", Slots: 9})
	}
	f := New(Options{
		Instance: address, Limits: queue.Limits{MaxItems: 1},
		Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test"),
	})
	f.SetSlotClient(noSlots{})
	f.SetUpstreams(view.List{Version: 1, Upstreams: list})
	f.SetInstances(slices.Clone(instances))
	return f
}

// noSlots is a SlotClient without links.
type noSlots struct{}

func (noSlots) AcquireSlot(context.Context, string, *peer.SlotRequest, time.Duration) (*peer.Slot, *peer.SlotRefusal, error) {
	return nil, nil, peer.ErrUnreachable
}

func (noSlots) FleetSize() int { return 0 }

func instances(n int) []Instance {
	var out []Instance
	for i := range n {
		out = append(out, Instance{Address: fmt.Sprintf("10.0.0.%d:1", i), Cores: 0.4, Reachable: true, MayOwn: true})
	}
	return out
}

// generation is a request with a prompt.
func generation() *AcquireRequest {
	now := time.Now()
	return &AcquireRequest{ID: "1", Service: "s", Request: &scheduler.Request{
		Arrived: now, Deadline: now.Add(time.Minute), MaxWait: time.Second, AllowLate: true, PromptTokens: 100,
	}}
}

// Loads that other instances report are as old as a heartbeat, so exactly one instance must schedule an
// upstream, whichever instance gets the request.
func TestAllInstancesComputeTheSameOwner(t *testing.T) {
	is := is.New(t)
	all := instances(63)
	byOwner := map[string]int{}
	for _, i := range all {
		_, owners := fleetOf(i.Address, all).shardAndOwners(generation())
		is.Equal(len(owners), maxOwners)
		byOwner[owners[0]]++
	}
	is.Equal(len(byOwner), 1)
}

func TestInstanceWithoutPeersDecidesLocally(t *testing.T) {
	is := is.New(t)
	shard, owners := fleetOf("10.0.0.0:1", instances(1)).shardAndOwners(generation())
	is.Equal(len(owners), 0)
	shard.pool.View(func(core *scheduler.Core) { is.Equal(len(core.Upstreams()), 60) })
}

// Any peer may request slots from an instance, which schedules on all upstreams of the shard.
func TestEachInstanceKnowsAllUpstreams(t *testing.T) {
	is := is.New(t)
	all := instances(7)
	for _, i := range all {
		shard, _ := fleetOf(i.Address, all).shardAndOwners(generation())
		shard.pool.View(func(core *scheduler.Core) { is.Equal(len(core.Upstreams()), 60) })
	}
}

// Requests of plain services are scheduled by the owner, too: otherwise many instances would fill an
// upstream at once.
func TestRequestsWithoutPromptHaveTheSameOwner(t *testing.T) {
	is := is.New(t)
	req := generation()
	req.Request.PromptTokens = 0
	f := fleetOf("10.0.0.1:1", instances(63))
	_, owners := f.shardAndOwners(req)
	_, same := f.shardAndOwners(generation())
	is.Equal(owners, same)
}

func TestUnresponsiveOrUnreachableOwnerIsSkipped(t *testing.T) {
	is := is.New(t)
	all := instances(63)
	f := fleetOf("10.0.0.1:1", all)
	owner := func() string {
		_, owners := f.shardAndOwners(generation())
		return owners[0]
	}
	first := owner()
	f.owners.markUnresponsive(first, time.Now())
	second := owner()
	is.True(second != first) // an unresponsive owner is skipped
	f.owners.markUnresponsive(first, time.Now().Add(-unresponsiveFor))
	is.Equal(owner(), first) // but only for unresponsiveFor
	for i := range all {
		all[i].MayOwn = all[i].Address != first
	}
	f.SetInstances(all)
	is.Equal(owner(), second) // the others keep their order
}

// Guards against an owner that has left and is asked until the next change of the instances, since a request which had
// read the instances before the change determined the owner after it.
func TestOwnersAreThoseOfTheCurrentInstances(t *testing.T) {
	is := is.New(t)
	all := instances(9)
	f := fleetOf("10.0.0.0:1", all)
	k := shardKey{service: "s"}
	f.mu.Lock()
	before := f.instances
	f.mu.Unlock()
	owner := f.ownersOf(k)[0]
	f.SetInstances(slices.DeleteFunc(slices.Clone(all), func(i Instance) bool { return i.Address == owner }))
	is.Equal(f.owners.candidates(k, before, time.Now())[0], owner) // a request that is late
	is.True(f.ownersOf(k)[0] != owner)

	group := groupOf(7)
	f.owners.originKeepers(group, before)
	f.mu.Lock()
	now := f.instances
	f.mu.Unlock()
	is.Equal(f.owners.originKeepers(group, now), rankKeepers(group, now))
}

// Instances with more processor time own more shards.
func TestOwnershipIsWeightedByProcessorTime(t *testing.T) {
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

// An instance that can reach no owner decides locally, so that it serves what it can during a network
// partition.
func TestInstanceWithoutReachableOwnerDecidesLocally(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(63))
	g, problem := f.Acquire(t.Context(), generation())
	is.True(problem == nil)
	is.Equal(g.Owner(), "")
	is.Equal(f.Load().Running[g.Upstream()], 1)
	g.End(scheduler.Completed, 1)
	is.Equal(len(f.Load().Running), 0)
}

// A service with more upstreams than one instance can schedule is divided into shards; an additional
// shard takes its share of the others and moves nothing else.
func TestLargeServiceIsSharded(t *testing.T) {
	is := is.New(t)
	is.Equal(shardCount(0), 1)
	is.Equal(shardCount(shardSize), 1)
	is.Equal(shardCount(shardSize+1), 2)
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

// After a start an instance doesn't know yet how many instances share the retry budget.
func TestRetryBudgetIsEmptyAfterStart(t *testing.T) {
	is := is.New(t)
	f := New(Options{
		Instance: "10.0.0.1:1", Limits: queue.Limits{MaxItems: 1}, Metrics: telemetry.NewMetrics(),
		RetryBudget: retrybudget.Bound{Share: 0.2, Extra: 60, Window: time.Hour},
	})
	is.True(!f.RetryBudget("s").Withdraw())
}

// quotaFleet holds the quotas of several instances; reach reports which instances can reach each other.
type quotaFleet struct {
	quotas map[string]*Quotas
	reach  func(from, to string) bool
}

// quotaLink is the QuotaClient of one instance of a quotaFleet.
type quotaLink struct {
	fleet *quotaFleet
	from  string
}

func (l quotaLink) TakeQuota(_ context.Context, address string, r *peer.QuotaRequest, _ time.Duration, _ func(*peer.QuotaReply)) (*peer.QuotaReply, error) {
	if !l.fleet.reach(l.from, address) {
		return nil, peer.ErrNoReply
	}
	return l.fleet.quotas[address].ServeTake(r), nil
}

func (l quotaLink) LeaseBuckets(_ context.Context, address string, groups []int, _ time.Duration) ([]int, error) {
	if !l.fleet.reach(l.from, address) {
		return nil, peer.ErrNoReply
	}
	return l.fleet.quotas[address].ServeLeases(l.from, groups), nil
}

func (l quotaLink) FleetSize() int { return len(l.fleet.quotas) }

func (l quotaLink) ReturnQuota(address string, r *peer.QuotaReturn) {
	l.fleet.quotas[address].ServeReturn(r)
}

// newQuotaFleet returns the quotas of n instances, which have settled if age is positive. Each knows all
// the others, and marks those that it can't reach as unreachable.
func newQuotaFleet(n int, age time.Duration, reach func(from, to string) bool) *quotaFleet {
	k := &quotaFleet{quotas: map[string]*Quotas{}, reach: reach}
	for _, self := range instances(n) {
		known := instances(n)
		for i := range known {
			known[i].Reachable = reach(self.Address, known[i].Address)
			known[i].MayOwn = known[i].Reachable
			known[i].Settled = age > 0
		}
		q := NewQuotas(time.Now(), Allowance{}, fleetOf(self.Address, known))
		q.SetClient(quotaLink{k, self.Address})
		k.quotas[self.Address] = q
	}
	for _, q := range k.quotas {
		for standby, groups := range q.ownedByStandby() {
			q.renewLeases(context.Background(), standby, groups)
		}
	}
	return k
}

// fleetOrganisation may use 10,000 tokens in a second, and at once.
var fleetOrganisation = &routing.Organisation{Name: "crews", TokensPerSecond: 10_000, BurstTokens: 10_000}

// run lets the buckets fill for a time. It runs in a synctest bubble.
func (k *quotaFleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); <-time.After(LeaseInterval / 2) {
		for _, q := range k.quotas {
			for standby, groups := range q.ownedByStandby() {
				q.renewLeases(context.Background(), standby, groups)
			}
		}
	}
}

// takeAll takes tokens at each instance in turn until it refuses, and returns how many were granted.
func (k *quotaFleet) takeAll(t *testing.T, size int) (granted int) {
	for _, q := range k.quotas {
		for {
			taken, _ := q.Take(t.Context(), "1", fleetOrganisation, size, 0)
			if taken == nil {
				break
			}
			granted += size
		}
	}
	return granted
}

// The bucket of an organisation is kept by one instance, whichever instance gets its requests: no other
// one grants a large request in addition.
func TestInstancesGrantOneQuotaTogether(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := newQuotaFleet(87, time.Hour, func(string, string) bool { return true })
		all.run(150 * time.Millisecond)
		is.Equal(all.takeAll(t, 7000), 7000) // the bucket holds 1,500, and one request may take it into debt
	})
}

func TestPartitionedFleetKeepsQuotaTogether(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		side := func(address string) bool { return address < "10.0.0.4" }
		all := newQuotaFleet(60, time.Hour, func(from, to string) bool { return side(from) == side(to) })
		all.run(150 * time.Millisecond)
		granted := all.takeAll(t, 10)
		is.True(granted >= 1500*95/100)
		is.True(granted <= 1500*105/100)
	})
}

// An instance that has just started must not become the owner of a bucket: it would refuse the requests.
func TestUnsettledInstanceOwnsNoBuckets(t *testing.T) {
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
	is.Equal(f.ownersOf(shardKey{service: "s"})[0], fleetOf("10.0.0.1:1", instances(20)).ownersOf(shardKey{service: "s"})[0]) // it may own shards
}

// After a start of the whole fleet no instance knows earlier usage, and none has settled: they grant no
// burst, and together hardly more than the rate since their start.
func TestStartingFleetGrantsNoBurst(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := newQuotaFleet(20, 0, func(string, string) bool { return true })
		is.Equal(all.takeAll(t, 7000), 0) // and the buckets go into no debt
		is.Equal(all.takeAll(t, 1), 0)
	})
}

// An instance that owns buckets from its first moment on doesn't know what others granted before: it grants no burst.
func TestNewOwnerGrantsNoBurst(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := newQuotaFleet(20, time.Hour, func(string, string) bool { return true })
		is.Equal(all.takeAll(t, 1), 0)
		all.run(50 * time.Millisecond)
		is.Equal(all.takeAll(t, 1), 500)
	})
}

func TestReturnedTokensGoToTheirOwner(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := newQuotaFleet(20, time.Hour, func(string, string) bool { return true })
		all.run(150 * time.Millisecond)
		q := all.quotas["10.0.0.3:1"]
		taken, _ := q.Take(t.Context(), "1", fleetOrganisation, 5000, 0)
		is.True(taken != nil)
		refused, wait := all.quotas["10.0.0.4:1"].Take(t.Context(), "2", fleetOrganisation, 1, 0)
		is.True(refused == nil)
		is.True(wait > 0)
		q.Return(taken)
		taken, _ = all.quotas["10.0.0.4:1"].Take(t.Context(), "3", fleetOrganisation, 1, 0)
		is.True(taken != nil)
	})
}

// What an instance granted before it knew the owner of a shard, the owner counts by heartbeats alone: it
// gets them more often until all of these requests have ended.
func TestUninformedOwners(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	f.SetInstances([]Instance{{Address: "10.0.0.1:1", Reachable: true, MayOwn: true}})
	is.Equal(len(f.UninformedOwners()), 0)
	g, problem := f.Acquire(t.Context(), generation())
	is.True(problem == nil)
	is.Equal(len(f.UninformedOwners()), 0) // it decides locally
	f.SetInstances([]Instance{{Address: "10.0.0.1:1", Reachable: true}, {Address: "10.0.0.2:1", Reachable: true, MayOwn: true}})
	is.Equal(f.UninformedOwners(), []string{"10.0.0.2:1"})
	g.End(scheduler.Completed, 1)
	is.Equal(len(f.UninformedOwners()), 0)
}

// lostSlot is a slot of a peer whose link has ended.
type lostSlot struct{}

func (lostSlot) Started(loadreport.Report)                   {}
func (lostSlot) Release(peer.SlotRelease, loadreport.Report) {}
func (lostSlot) Lost() bool                                  { return true }

// An instance that becomes the owner of a shard counts what it runs there by grants of the previous
// owner.
func TestCountLostGrantsOfPreviousOwner(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	f.SetInstances([]Instance{{Address: "10.0.0.1:1", Reachable: true, MayOwn: true}})
	lost := &peerGrant{slotGrant: peer.SlotGrant{Upstream: "i-7"}, slot: lostSlot{}, tracked: &f.peerGrants}
	f.peerGrants.add(lost)
	running := func() (n int) {
		f.shardAt("s", 0).pool.View(func(core *scheduler.Core) {
			for _, u := range core.Upstreams() {
				n += u.RunningElsewhere
			}
		})
		return n
	}
	f.CountLostGrants()
	is.Equal(running(), 1)
	lost.End(scheduler.Completed, 1)
	f.CountLostGrants()
	is.Equal(running(), 0)
}

// An instance that was partitioned off may own a shard again once it is back, and must not go on treating
// the upstreams on the other side as failed.
func TestOpenCircuitsAreProbedOnceAPeerIsReachableAgain(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	other := Instance{Address: "10.0.0.2:1"}
	f.SetInstances([]Instance{{Address: "10.0.0.1:1", Reachable: true, MayOwn: true}, other})
	openCircuits := func() (n int) {
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
		g, problem := f.Acquire(t.Context(), generation())
		is.True(problem == nil)
		g.End(scheduler.Unreachable, 0)
	}
	is.Equal(openCircuits(), 3)
	other.Reachable = true
	f.SetInstances([]Instance{{Address: "10.0.0.1:1", Reachable: true, MayOwn: true}, other})
	is.Equal(openCircuits(), 0)
}

// A grant names the list version by which it was made, and is usable until its upstream is leaving or
// removed.
func TestGrantIsUsableUntilUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.0:1", instances(1))
	g, problem := f.Acquire(t.Context(), generation())
	is.True(problem == nil)
	is.Equal(g.ListVersion(), int64(1))
	is.NoErr(f.CheckUsable(g.Upstream()))
	list := view.List{Version: 2, Upstreams: []view.Upstream{{ID: g.Upstream(), Service: "s", Address: "127.0.0.1:1", Slots: 9, Leaving: true}}}
	f.SetUpstreams(list)
	is.True(errors.Is(f.CheckUsable(g.Upstream()), ErrNotUsable))
	f.SetUpstreams(view.List{Version: 3})
	is.True(errors.Is(f.CheckUsable(g.Upstream()), ErrNotUsable))
	g.End(scheduler.Cancelled, 0)
}
