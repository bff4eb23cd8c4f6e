package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/scheduler"
)

// peerLoad is the load that another instance has reported, and the shards to which it was applied.
type peerLoad struct {
	scheduler.Load
	shards map[*shard]bool
}

// SetPeerLoad sets the load that another instance has reported; the zero Load removes the instance. Only
// the shards that the new or the previous load concerns are updated.
func (f *Fleet) SetPeerLoad(instance string, l scheduler.Load) {
	f.settingLoads.Lock()
	defer f.settingLoads.Unlock()
	f.setPeerLoad(instance, l)
}

// setPeerLoad is SetPeerLoad for a caller that holds settingLoads.
func (f *Fleet) setPeerLoad(instance string, l scheduler.Load) {
	f.mu.Lock()
	previous := f.peerLoads[instance].shards
	now := f.shardsWith(l)
	if len(now) > 0 {
		f.peerLoads[instance] = peerLoad{Load: l, shards: now}
	} else {
		delete(f.peerLoads, instance)
	}
	f.mu.Unlock()
	for s := range now {
		s.setPeerLoad(instance, l)
	}
	for s := range previous {
		if !now[s] {
			s.setPeerLoad(instance, scheduler.Load{})
		}
	}
}

func (s *shard) setPeerLoad(instance string, l scheduler.Load) {
	s.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
		core.SetPeerLoad(instance, l)
		return core.Poll(now)
	})
}

// shardsWith returns the shards of the upstreams in a load. The caller holds the lock.
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

// reapplyPeerLoads sets the loads of other instances again, after upstreams were moved between shards.
func (f *Fleet) reapplyPeerLoads() {
	f.settingLoads.Lock()
	defer f.settingLoads.Unlock()
	f.mu.Lock()
	others := maps.Clone(f.peerLoads)
	f.mu.Unlock()
	for instance, l := range others {
		f.setPeerLoad(instance, l.Load)
	}
}

// Load returns the load that this instance has granted, by upstream, plus its running requests whose
// granting owner is no longer connected.
func (f *Fleet) Load() scheduler.Load {
	total := scheduler.Load{Pending: map[string]int{}, Running: f.peerGrants.lost()}
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

// lostGrantsKey is the key under which this instance's lost grants are set like the load of another
// instance, see CountLostGrants.
const lostGrantsKey = "lost here"

// CountLostGrants counts, in the shards of this instance, its running requests whose granting owner is no
// longer connected: where this instance owns the shard now, no other instance reports them.
func (f *Fleet) CountLostGrants() {
	lost := f.peerGrants.lost()
	some := len(lost) > 0
	if previous := f.lostCounted.Swap(some); some || previous {
		f.SetPeerLoad(lostGrantsKey, scheduler.Load{Running: lost})
	}
}

// UninformedOwners returns the owners of shards in which this instance runs requests that they haven't
// granted: by its own grants, from before it knew them or while it couldn't reach them, or by those of an
// owner that is no longer connected. These owners count such requests by heartbeats alone, and until the
// next one they count slots as occupied that have become free.
func (f *Fleet) UninformedOwners() []string {
	f.mu.Lock()
	lost := f.shardsWith(scheduler.Load{Running: f.peerGrants.lost()})
	f.mu.Unlock()
	var out []string
	for _, s := range f.all() {
		if !lost[s] && !s.hasRunning() {
			continue
		}
		owners := f.ownersOf(shardKey{service: s.service, index: s.index})
		if len(owners) > 0 && owners[0] != f.o.Instance && !slices.Contains(out, owners[0]) {
			out = append(out, owners[0])
		}
	}
	return out
}

// hasRunning reports whether any request runs in the shard by this instance's own grants.
func (s *shard) hasRunning() (runs bool) {
	s.pool.View(func(core *scheduler.Core) { runs = core.Running() > 0 })
	return runs
}
