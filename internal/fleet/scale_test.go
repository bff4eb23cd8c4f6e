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

// sized is a fleet of so many instances before so many upstreams, as one of its instances has it.
type sized struct {
	fleet   *Fleet
	list    []view.Upstream
	version int64
}

func newSized(upstreams, others int) *sized {
	s := &sized{version: 1}
	for i := range upstreams {
		s.list = append(s.list, view.Upstream{ID: fmt.Sprintf("i-%06d", i), Service: "s", Address: "127.0.0.1:1", Zone: "a", Slots: 8, Incarnation: 1_000_000 + int64(i)})
	}
	log := telemetry.NewLogger(io.Discard, "error", "test")
	s.fleet = New(Options{Instance: "10.0.0.0:1", Limits: queue.Limits{MaxItems: 9}, Quarantine: quarantine.New(log, nil), Metrics: telemetry.NewMetrics(), Log: log})
	s.fleet.UseSlots(noSlots{})
	s.fleet.ChangeUpstreams(view.ListChange{Version: 1, Changed: s.list})
	var all []Instance
	for i := range others + 1 {
		all = append(all, Instance{Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Cores: 0.2, InReach: true, MayOwn: true, Settled: true})
	}
	s.fleet.SetInstances(all)
	return s
}

// change lets one upstream leave, or stay after all.
func (s *sized) change() {
	s.version++
	u := &s.list[int(s.version)%len(s.list)]
	u.Leaving = !u.Leaving
	s.fleet.ChangeUpstreams(view.ListChange{Version: s.version, Changed: []view.Upstream{*u}})
}

// hear takes a peer's word of upstreams that leave, which are gone from the list.
func (s *sized) hear() {
	s.fleet.LearnLeaving("p", []string{"i-gone@1", "i-gone@2", "i-gone@3"})
	s.fleet.SetOthers("10.0.0.9:1", scheduler.Load{Running: map[string]int{s.list[0].ID: 1}})
}

// ask works out what is told to an owner with a request.
func (s *sized) ask() { s.fleet.without() }

// What an instance does at a change of one upstream, at a peer's heartbeat, for a request and every moment to
// look after its upstreams doesn't grow with how many there are. Allocations stand for work here: whatever goes
// through all upstreams allocates for each of them, or for each shard.
func TestWorkDoesNotGrowWithTheUpstreams(t *testing.T) {
	for name, work := range map[string]func(*sized){
		"a change of one upstream": (*sized).change,
		"a heartbeat":              (*sized).hear,
		"a request":                (*sized).ask,
		"closing connections":      func(s *sized) { s.fleet.CloseExpired(time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			cost := func(upstreams int) float64 {
				s := newSized(upstreams, 20)
				return testing.AllocsPerRun(100, func() { work(s) })
			}
			small, large := cost(300), cost(6_000)
			t.Logf("%v allocations with 300 upstreams, %v with 6,000", small, large)
			is.New(t).True(large <= 2*small+2)
		})
	}
}

// An upstream that stays keeps what was learned of it through changes of others, and new ones are used.
func TestAChangeOfOneUpstreamLeavesOthersAlone(t *testing.T) {
	is := is.New(t)
	s := newSized(300, 0)
	before := members(s.fleet)
	is.Equal(len(before), 300)
	s.change()
	s.fleet.ChangeUpstreams(view.ListChange{Version: 9, Changed: []view.Upstream{{ID: "i-new", Service: "s", Address: "127.0.0.1:2", Slots: 8}}, Removed: []string{s.list[5].ID}})
	after := members(s.fleet)
	is.Equal(len(after), 300)
	is.True(!after[s.list[5].ID] && after["i-new"])
	is.NoErr(s.fleet.MayBeSent("i-new"))
	is.True(s.fleet.MayBeSent(s.list[5].ID) != nil)
}

// members are the upstreams that the shards of a fleet have, by ID.
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

// However a list came to be, each upstream is in the shard that all instances work out for it.
func TestUpstreamsAreAssignedAnewWhenTheNumberOfShardsChanges(t *testing.T) {
	is := is.New(t)
	s := newSized(120, 0)
	for i := range 200 {
		u := view.Upstream{ID: fmt.Sprint("j-", i), Service: "s", Address: "127.0.0.1:1", Slots: 8}
		s.fleet.ChangeUpstreams(view.ListChange{Version: int64(i + 2), Changed: []view.Upstream{u}})
	}
	for i := range 100 {
		s.fleet.ChangeUpstreams(view.ListChange{Version: int64(i + 300), Removed: []string{fmt.Sprint("j-", i)}})
	}
	want := shardsOf(220)
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

// Cold upstreams are added until there is one shard more, and taken away again within the same second. What an
// upstream gets of the owner before, of the next one and of the first again is no more than a cold one bears:
// the two own it one after the other, and neither knows what the other has granted.
func TestAnUpstreamThatMovesToAnotherShardGetsNoMoreThanItBears(t *testing.T) {
	is := is.New(t)
	const most = coldBears*coldOverage + coldSlack
	owner := func() *sized {
		s := newSized(shardSize, 0)
		s.fleet.slots = nil // it grants alone
		s.fleet.o.ColdOverage, s.fleet.o.ColdSlack = coldOverage, coldSlack
		s.fleet.SetServices(map[string]*routing.Service{"s": {Name: "s", ColdStart: coldLasts, ColdStartRate: coldBears}})
		return s
	}
	first, second := owner(), owner()
	got := map[string]int{}
	grantAll := func(shards []*shard) {
		for _, sh := range shards {
			sh.pool.View(func(core *scheduler.Core) {
				for _, u := range core.Upstreams() {
					for now := time.Now(); u.MayStart(now); got[u.ID]++ {
						u.NoteStart(now)
					}
				}
			})
		}
	}
	grantAll(first.fleet.all())
	more := view.ListChange{Version: 2, Changed: []view.Upstream{{ID: "j-1", Service: "s", Address: "127.0.0.1:1", Slots: 8}}}
	fewer := view.ListChange{Version: 3, Removed: []string{"j-1"}}
	for _, change := range []view.ListChange{more, fewer} {
		first.fleet.ChangeUpstreams(change)
		second.fleet.ChangeUpstreams(change)
		grantAll(first.fleet.all())
		grantAll(second.fleet.all()[1:]) // its own, while there is one
	}
	worst := 0
	for _, u := range first.list {
		worst = max(worst, got[u.ID])
	}
	is.True(worst > 0 && worst <= most)
}

// What others run at an upstream is counted wherever the upstream moves to.
func TestWhatOthersRunIsCountedInTheShardOfToday(t *testing.T) {
	is := is.New(t)
	s := newSized(shardSize, 0)
	busy := s.list[7].ID
	s.fleet.SetOthers("10.0.0.9:1", scheduler.Load{Running: map[string]int{busy: 3}})
	running := func() (n int) {
		for _, sh := range s.fleet.all() {
			sh.pool.View(func(core *scheduler.Core) {
				for _, u := range core.Upstreams() {
					n += u.OthersRunning
				}
			})
		}
		return n
	}
	is.Equal(running(), 3)
	for i := range 3 * shardSize { // more shards
		u := view.Upstream{ID: fmt.Sprint("j-", i), Service: "s", Address: "127.0.0.1:1", Slots: 8}
		s.fleet.ChangeUpstreams(view.ListChange{Version: int64(i + 2), Changed: []view.Upstream{u}})
	}
	is.Equal(running(), 3)
	s.fleet.SetOthers("10.0.0.9:1", scheduler.Load{Running: map[string]int{busy: 1}})
	is.Equal(running(), 1)
	s.fleet.SetOthers("10.0.0.9:1", scheduler.Load{})
	is.Equal(running(), 0)
}

// BenchmarkAChangeOfOneUpstream is what it costs to use a changed list.
func BenchmarkAChangeOfOneUpstream(b *testing.B) {
	for _, upstreams := range []int{300, 3_000, 30_000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			s := newSized(upstreams, 583)
			for b.Loop() {
				s.change()
			}
		})
	}
}
