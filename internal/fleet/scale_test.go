package fleet

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
)

// sizedFleet is one instance in a fleet of a given size, with a given number of upstreams.
type sizedFleet struct {
	fleet   *Fleet
	list    []view.Upstream
	version int64
}

func newSizedFleet(upstreams, others int) *sizedFleet {
	s := &sizedFleet{version: 1}
	for i := range upstreams {
		s.list = append(s.list, view.Upstream{ID: fmt.Sprintf("i-%06d", i), Service: "s", Address: "127.0.0.1:1", Zone: "a", Slots: 8, Incarnation: 1_000_000 + int64(i)})
	}
	log := telemetry.NewLogger(io.Discard, "error", "test")
	s.fleet = New(Options{Instance: "10.0.0.0:1", Limits: queue.Limits{MaxItems: 9}, Quarantine: quarantine.New(log, nil), Metrics: telemetry.NewMetrics(), Log: log})
	s.fleet.SetSlotClient(noSlots{})
	s.fleet.ApplyListChange(view.ListChange{Version: 1, Changed: s.list})
	var all []Instance
	for i := range others + 1 {
		all = append(all, Instance{Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Cores: 0.2, Reachable: true, MayOwn: true, Settled: true})
	}
	s.fleet.SetInstances(all)
	return s
}

// changeOneUpstream marks one upstream as leaving, or as staying again.
func (s *sizedFleet) changeOneUpstream() {
	s.version++
	u := &s.list[int(s.version)%len(s.list)]
	u.Leaving = !u.Leaving
	s.fleet.ApplyListChange(view.ListChange{Version: s.version, Changed: []view.Upstream{*u}})
}

// receiveUpdates applies a heartbeat of a peer, with leaving notices of upstreams that are no longer
// listed.
func (s *sizedFleet) receiveUpdates() {
	s.fleet.MergeLeavingNotices("p", []string{"i-removed@1", "i-removed@2", "i-removed@3"})
	s.fleet.SetPeerLoad("10.0.0.9:1", scheduler.Load{Running: map[string]int{s.list[0].ID: 1}})
}

// listExcluded lists the excluded upstreams, as for a slot request.
func (s *sizedFleet) listExcluded() { s.fleet.excludedUpstreams() }

// The work of an instance for a change of one upstream, a heartbeat, a request, and its periodic upkeep
// must not grow with the number of upstreams. The test counts allocations: code that goes through all
// upstreams allocates for each of them, or for each shard.
func TestWorkIsIndependentOfNumberOfUpstreams(t *testing.T) {
	for name, work := range map[string]func(*sizedFleet){
		"a change of one upstream": (*sizedFleet).changeOneUpstream,
		"a heartbeat":              (*sizedFleet).receiveUpdates,
		"a request":                (*sizedFleet).listExcluded,
		"closing connections":      func(s *sizedFleet) { s.fleet.CloseExpired(time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			cost := func(upstreams int) float64 {
				s := newSizedFleet(upstreams, 20)
				return testing.AllocsPerRun(100, func() { work(s) })
			}
			small, large := cost(300), cost(6_000)
			t.Logf("%v allocations with 300 upstreams, %v with 6,000", small, large)
			is.New(t).True(large <= 2*small+2)
		})
	}
}

// Upstreams that stay keep their learned state through changes of others, and new ones are used.
func TestListChangeLeavesOtherUpstreamsAlone(t *testing.T) {
	is := is.New(t)
	s := newSizedFleet(300, 0)
	before := members(s.fleet)
	is.Equal(len(before), 300)
	s.changeOneUpstream()
	s.fleet.ApplyListChange(view.ListChange{Version: 9, Changed: []view.Upstream{{ID: "i-new", Service: "s", Address: "127.0.0.1:2", Slots: 8}}, Removed: []string{s.list[5].ID}})
	after := members(s.fleet)
	is.Equal(len(after), 300)
	is.True(!after[s.list[5].ID] && after["i-new"])
	is.NoErr(s.fleet.CheckUsable("i-new"))
	is.True(s.fleet.CheckUsable(s.list[5].ID) != nil)
}

// members returns the IDs of the upstreams in the shards of a fleet.
func members(f *Fleet) map[string]bool {
	out := map[string]bool{}
	for _, s := range f.all() {
		s.pool.View(func(core *scheduler.Core) {
			for _, u := range core.Upstreams() {
				out[u.ID] = true
			}
		})
	}
	return out
}

// Whatever the history of the list, each upstream is in the shard that all instances compute for it.
func TestUpstreamsAreReassignedWhenShardCountChanges(t *testing.T) {
	is := is.New(t)
	s := newSizedFleet(120, 0)
	for i := range 200 {
		u := view.Upstream{ID: fmt.Sprint("j-", i), Service: "s", Address: "127.0.0.1:1", Slots: 8}
		s.fleet.ApplyListChange(view.ListChange{Version: int64(i + 2), Changed: []view.Upstream{u}})
	}
	for i := range 100 {
		s.fleet.ApplyListChange(view.ListChange{Version: int64(i + 300), Removed: []string{fmt.Sprint("j-", i)}})
	}
	want := shardCount(220)
	shards := s.fleet.all()
	is.Equal(len(shards), want)
	seen := 0
	for i, sh := range shards {
		sh.pool.View(func(core *scheduler.Core) {
			for _, u := range core.Upstreams() {
				is.Equal(shardFor(u.ID, want), i)
				is.True(!u.Leaving)
				seen++
			}
		})
	}
	is.Equal(seen, 220)
}

// Cold upstreams are added until there is one more shard, and removed again within the same second. The
// two owners own an upstream one after the other, and neither knows what the other has granted; together,
// the first one twice, they must not grant more than a cold upstream can serve.
func TestColdStartLimitHoldsAcrossReshard(t *testing.T) {
	is := is.New(t)
	const maxGrants = coldRate*coldOverage + coldSlack
	owner := func() *sizedFleet {
		s := newSizedFleet(shardSize, 0)
		s.fleet.slots = nil // decide locally
		s.fleet.o.ColdOverage, s.fleet.o.ColdSlack = coldOverage, coldSlack
		s.fleet.SetServices(map[string]*routing.Service{"s": {Name: "s", ColdStart: coldDuration, ColdStartRate: coldRate}})
		return s
	}
	first, second := owner(), owner()
	got := map[string]int{}
	grantAll := func(shards []*shard) {
		for _, sh := range shards {
			sh.pool.View(func(core *scheduler.Core) {
				for _, u := range core.Upstreams() {
					for now := time.Now(); u.AllowsGrant(now); got[u.ID]++ {
						u.RecordGrant(now)
					}
				}
			})
		}
	}
	grantAll(first.fleet.all())
	more := view.ListChange{Version: 2, Changed: []view.Upstream{{ID: "j-1", Service: "s", Address: "127.0.0.1:1", Slots: 8}}}
	fewer := view.ListChange{Version: 3, Removed: []string{"j-1"}}
	for _, change := range []view.ListChange{more, fewer} {
		first.fleet.ApplyListChange(change)
		second.fleet.ApplyListChange(change)
		grantAll(first.fleet.all())
		grantAll(second.fleet.all()[1:]) // its own shard, while there is one
	}
	worst := 0
	for _, u := range first.list {
		worst = max(worst, got[u.ID])
	}
	is.True(worst > 0 && worst <= maxGrants)
}

// The load that other instances report for an upstream follows it to another shard.
func TestPeerLoadFollowsUpstreamToNewShard(t *testing.T) {
	is := is.New(t)
	s := newSizedFleet(shardSize, 0)
	busy := s.list[7].ID
	s.fleet.SetPeerLoad("10.0.0.9:1", scheduler.Load{Running: map[string]int{busy: 3}})
	running := func() (n int) {
		for _, sh := range s.fleet.all() {
			sh.pool.View(func(core *scheduler.Core) {
				for _, u := range core.Upstreams() {
					n += u.RunningElsewhere
				}
			})
		}
		return n
	}
	is.Equal(running(), 3)
	for i := range 3 * shardSize { // more shards
		u := view.Upstream{ID: fmt.Sprint("j-", i), Service: "s", Address: "127.0.0.1:1", Slots: 8}
		s.fleet.ApplyListChange(view.ListChange{Version: int64(i + 2), Changed: []view.Upstream{u}})
	}
	is.Equal(running(), 3)
	s.fleet.SetPeerLoad("10.0.0.9:1", scheduler.Load{Running: map[string]int{busy: 1}})
	is.Equal(running(), 1)
	s.fleet.SetPeerLoad("10.0.0.9:1", scheduler.Load{})
	is.Equal(running(), 0)
}

// BenchmarkChangeOfOneUpstream measures the cost of applying a changed list.
func BenchmarkChangeOfOneUpstream(b *testing.B) {
	for _, upstreams := range []int{300, 3_000, 30_000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			s := newSizedFleet(upstreams, 583)
			for b.Loop() {
				s.changeOneUpstream()
			}
		})
	}
}
