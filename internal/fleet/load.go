package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/scheduler"
)

// othersLoad is what another instance has told of its load, and the shards that know it.
type othersLoad struct {
	scheduler.Load
	shards map[*shard]bool
}

// SetOthers takes what another instance has told of its load; the zero Load forgets
// the instance. Only the shards that it concerns, now or by what was told before, look at it.
func (f *Fleet) SetOthers(instance string, l scheduler.Load) {
	f.mu.Lock()
	concerned := f.others[instance].shards
	now := f.shardsWith(l)
	if len(now) > 0 {
		f.others[instance] = othersLoad{Load: l, shards: now}
	} else {
		delete(f.others, instance)
	}
	f.mu.Unlock()
	for s := range now {
		s.setOthers(instance, l)
	}
	for s := range concerned {
		if !now[s] {
			s.setOthers(instance, scheduler.Load{})
		}
	}
}

func (s *shard) setOthers(instance string, l scheduler.Load) {
	s.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
		core.SetInstanceLoad(instance, l)
		return core.Poll(now)
	})
}

// shardsWith returns the shards of the upstreams that a load names. The caller holds the lock.
func (f *Fleet) shardsWith(l scheduler.Load) map[*shard]bool {
	out := map[*shard]bool{}
	for _, by := range []map[string]int{l.Pending, l.Running} {
		for id := range by {
			if u := f.upstreams[id]; u != nil {
				out[u.shard] = true
			}
		}
	}
	return out
}

// reapplyOthers tells shards what other instances have told, after upstreams were assigned to them anew.
func (f *Fleet) reapplyOthers() {
	f.mu.Lock()
	others := maps.Clone(f.others)
	f.mu.Unlock()
	for instance, l := range others {
		f.SetOthers(instance, l.Load)
	}
}

// Load returns the load at all upstreams that have any of what this instance has
// granted, and of what it runs by grants of instances that are gone.
func (f *Fleet) Load() scheduler.Load {
	total := scheduler.Load{Pending: map[string]int{}, Running: f.leases.lost()}
	for _, s := range f.all() {
		s.pool.View(func(core *scheduler.Core) {
			if core.Running() == 0 {
				return
			}
			l := core.Load()
			maps.Copy(total.Pending, l.Pending)
			for id, n := range l.Running {
				total.Running[id] += n
			}
		})
	}
	return total
}

// ownLost names this instance's own load beside that of the others, see CountLost.
const ownLost = "lost here"

// CountLost counts, in this instance's own shards, what it runs by grants of owners that are
// gone: nobody else counts that where it owns the shard now.
func (f *Fleet) CountLost() {
	lost := f.leases.lost()
	some := len(lost) > 0
	if before := f.countsLost.Swap(some); some || before {
		f.SetOthers(ownLost, scheduler.Load{Running: lost})
	}
}

// StrayOwners returns the owners of shards in which requests run that they haven't granted:
// by this instance's own grants, from before it knew them or while it couldn't reach them,
// or by those of an owner that is gone. They count them by heartbeats alone, as old as
// those are, and take slots for taken that have become free.
func (f *Fleet) StrayOwners() []string {
	f.mu.Lock()
	lost := f.shardsWith(scheduler.Load{Running: f.leases.lost()})
	f.mu.Unlock()
	var out []string
	for _, s := range f.all() {
		if !lost[s] && !s.runsAny() {
			continue
		}
		owners := f.ownersOf(shardKey{service: s.service, index: s.index})
		if len(owners) > 0 && owners[0] != f.o.Instance && !slices.Contains(out, owners[0]) {
			out = append(out, owners[0])
		}
	}
	return out
}

// runsAny tells whether any request runs in the shard by this instance's own grants.
func (s *shard) runsAny() (runs bool) {
	s.pool.View(func(core *scheduler.Core) { runs = core.Running() > 0 })
	return runs
}
