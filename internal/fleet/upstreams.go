package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/view"
)

// upstream is one that is on the list, as this instance uses it.
type upstream struct {
	view.Upstream
	listed   time.Time // when the list said so, from which on it is cold for so long
	unusable error     // why it gets nothing new; nil where it may
	shard    *shard
}

// process names the process that it has.
func (u *upstream) process() string { return processName(u.ID, u.Incarnation) }

// keepCold makes it count as cold for so long at least.
func (u *upstream) keepCold(now time.Time, least time.Duration) {
	u.Cold = max(u.listed.Add(u.Cold).Sub(now), least)
	u.listed = now
}

// member is what its scheduler is to know of it.
func (f *Fleet) member(u *upstream) scheduler.Member {
	return scheduler.Member{
		ID:        u.ID,
		Address:   u.Address,
		Zone:      u.Zone,
		Region:    f.o.Regions[u.Zone],
		Slots:     u.Slots,
		Leaving:   u.unusable != nil,
		Born:      u.Incarnation,
		ColdUntil: u.listed.Add(u.Cold),
		Limit:     f.limitOf(u.process()),
	}
}

// updates collects what shards are to be told of their upstreams.
type updates map[*shard]*memberChanges

type memberChanges struct {
	changed []scheduler.Member
	gone    []string
}

func (p updates) forShard(s *shard) *memberChanges {
	c := p[s]
	if c == nil {
		c = &memberChanges{}
		p[s] = c
	}
	return c
}

// apply tells the shards, and returns them.
func (p updates) apply() []*shard {
	for s, c := range p {
		s.pool.ChangeMembers(c.changed, c.gone)
	}
	return slices.Collect(maps.Keys(p))
}

// ChangeUpstreams takes what has changed of the list, and sends what that gives room for. Its cost
// grows with the change, not with the list, unless the number of a service's shards changes.
func (f *Fleet) ChangeUpstreams(change view.ListChange) {
	f.mu.Lock()
	f.version = change.Version
	now := time.Now()
	updated := updates{}
	for _, id := range change.Removed {
		f.removeUpstream(id, updated)
	}
	for _, u := range change.Changed {
		f.putUpstream(now, u, updated)
	}
	f.forgetWords(now)
	changed := updated.apply()
	resharded := f.reshardAll()
	f.mu.Unlock()
	if resharded {
		f.reapplyOthers()
		f.limitStarts()
		return
	}
	poll(changed)
}

// removeUpstream drops all that is kept of an upstream. The caller holds the lock.
func (f *Fleet) removeUpstream(id string, updated updates) {
	u := f.upstreams[id]
	if u == nil {
		return
	}
	f.forgetProcess(u)
	delete(f.upstreams, id)
	f.services[u.Service].upstreams--
	c := updated.forShard(u.shard)
	c.gone = append(c.gone, id)
}

// putUpstream takes an upstream that is new on the list, or has changed. The caller holds the lock.
func (f *Fleet) putUpstream(now time.Time, listed view.Upstream, updated updates) {
	known := f.upstreams[listed.ID]
	if known != nil && known.Service != listed.Service {
		f.removeUpstream(listed.ID, updated)
		known = nil
	}
	u := &upstream{Upstream: listed, listed: now}
	switch {
	case known == nil:
		s := f.serviceOf(u.Service)
		s.upstreams++
		u.shard = s.shards[shardFor(u.ID, len(s.shards))]
	case known.process() != u.process() || known.Address != u.Address:
		u.shard = known.shard
		f.forgetProcess(known)
	default:
		u.shard = known.shard
	}
	f.rests.Keep(u.ID, u.process())
	f.upstreams[u.ID] = u
	f.processes[u.process()] = u
	f.refresh(u, updated)
}

// forgetProcess drops what is kept of the process that an upstream had: its connections are of no use. The caller holds
// the lock.
func (f *Fleet) forgetProcess(u *upstream) {
	f.closeConnections(u.ID)
	delete(f.processes, u.process())
}

// reshardAll assigns upstreams to shards anew where a service has got too many or too few shards for them, and tells
// whether one has. The caller holds the lock.
func (f *Fleet) reshardAll() (resharded bool) {
	for _, s := range f.services {
		if want := shardsOf(s.upstreams); want != len(s.shards) {
			f.reshard(s, want)
			resharded = true
		}
	}
	return resharded
}

// reshard assigns the upstreams of a service to so many shards. The caller holds the lock.
func (f *Fleet) reshard(s *service, want int) {
	kept := min(want, len(s.shards))
	shards := slices.Clone(s.shards[:kept])
	for len(shards) < want {
		shards = append(shards, f.newShard(s.name, len(shards)))
	}
	before, dropped := known(s.shards), s.shards[kept:]
	s.shards = shards
	s.homes = homesOf(f.o.Instance, s.name, want)
	f.shareRepeats(s)
	members := make([][]scheduler.Member, want)
	now := time.Now()
	for _, u := range f.upstreams {
		if u.Service != s.name {
			continue
		}
		i := shardFor(u.ID, want)
		m := f.member(u)
		if u.shard != shards[i] {
			m.MovedAt, m.Before = now, before[u.ID]
		}
		u.shard = shards[i]
		members[i] = append(members[i], m)
	}
	for _, gone := range dropped {
		gone.pool.SetMembers(nil) // what waits there is given up in its time
	}
	for i, sh := range shards {
		sh.pool.SetMembers(members[i])
	}
}

// known returns copies of what the shards know of their upstreams, by ID.
func known(shards []*shard) map[string]*balancer.Upstream {
	out := map[string]*balancer.Upstream{}
	for _, s := range shards {
		s.pool.View(func(core *scheduler.Core) {
			for _, u := range core.Upstreams() {
				out[u.ID] = u.Copy()
			}
		})
	}
	return out
}

// refresh finds out anew whether an upstream may be used. The caller holds the lock.
func (f *Fleet) refresh(u *upstream, updated updates) {
	u.unusable = f.whyUnusable(u.Upstream)
	c := updated.forShard(u.shard)
	c.changed = append(c.changed, f.member(u))
}
