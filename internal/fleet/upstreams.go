package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/view"
)

// upstream is an upstream on the list, as this instance uses it.
type upstream struct {
	view.Upstream
	listed   time.Time // when this entry was applied; Cold counts from then
	unusable error     // why it gets no new requests; nil if it does
	shard    *shard
}

// process returns the name of its current process.
func (u *upstream) process() string { return processName(u.ID, u.Incarnation) }

// VersionOf returns the software version of an upstream by the list of this instance; empty if it is unknown.
func (f *Fleet) VersionOf(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.upstreams[id]; u != nil {
		return u.Version
	}
	return ""
}

// extendCold makes the upstream count as cold for at least the given duration.
func (u *upstream) extendCold(now time.Time, atLeast time.Duration) {
	u.Cold = max(u.listed.Add(u.Cold).Sub(now), atLeast)
	u.listed = now
}

// member returns the upstream in the form of the scheduler.
func (f *Fleet) member(u *upstream) scheduler.Member {
	return scheduler.Member{
		ID:              u.ID,
		Address:         u.Address,
		Zone:            u.Zone,
		Region:          f.o.Regions[u.Zone],
		Slots:           u.Slots,
		Leaving:         u.unusable != nil,
		Incarnation:     u.Incarnation,
		Version:         u.Version,
		ColdUntil:       u.listed.Add(u.Cold),
		AdvertisedLimit: f.advertisedLimit(u.process()),
	}
}

// memberUpdates collects the changes of upstreams, by shard.
type memberUpdates map[*shard]*memberChanges

type memberChanges struct {
	changed []scheduler.Member
	removed []string
}

func (p memberUpdates) forShard(s *shard) *memberChanges {
	c := p[s]
	if c == nil {
		c = &memberChanges{}
		p[s] = c
	}
	return c
}

// apply applies the changes to the shards, and returns these.
func (p memberUpdates) apply() []*shard {
	for s, c := range p {
		s.pool.UpdateMembers(c.changed, c.removed)
	}
	return slices.Collect(maps.Keys(p))
}

// ApplyListChange applies a change of the list, and grants slots to waiting requests that fit now. Its
// cost grows with the change, not with the list, unless the number of a service's shards changes.
func (f *Fleet) ApplyListChange(change view.ListChange) {
	f.mu.Lock()
	f.version = change.Version
	now := time.Now()
	gap := change.Gap > 0
	if f.followedSince.IsZero() || gap {
		f.followedSince = now
	}
	before := f.servicesWithVersions(now)
	updated := memberUpdates{}
	for _, id := range change.Removed {
		f.removeUpstream(id, updated)
	}
	for _, u := range change.Changed {
		f.putUpstream(now, u, updated)
	}
	f.pruneProcessState(now)
	changed := updated.apply()
	resharded := f.reshardAll()
	appeared := f.servicesWithVersions(now)
	services := slices.Collect(maps.Keys(f.services))
	f.mu.Unlock()
	if gap {
		f.o.Log.Info().Str("event", "list_gap").Dur("gap", change.Gap).Int64("version", change.Version).Msg("")
	}
	for _, service := range services {
		if gap || appeared[service] && !before[service] {
			f.shareOrigins(service)
		}
	}
	if resharded {
		f.reapplyPeerLoads()
		f.updateGrantLimits()
		return
	}
	pollShards(changed)
}

// removeUpstream removes an upstream and its state. The caller holds the lock.
func (f *Fleet) removeUpstream(id string, updated memberUpdates) {
	u := f.upstreams[id]
	if u == nil {
		return
	}
	f.dropProcess(u)
	delete(f.upstreams, id)
	f.services[u.Service].upstreams--
	f.services[u.Service].countVersion(time.Now(), u.Version, -1)
	c := updated.forShard(u.shard)
	c.removed = append(c.removed, id)
}

// putUpstream adds an upstream, or replaces a changed one. The caller holds the lock.
func (f *Fleet) putUpstream(now time.Time, listed view.Upstream, updated memberUpdates) {
	known := f.upstreams[listed.ID]
	if known != nil && known.Service != listed.Service {
		f.removeUpstream(listed.ID, updated)
		known = nil
	}
	u := &upstream{Upstream: listed, listed: now}
	if known != nil {
		f.services[known.Service].countVersion(now, known.Version, -1)
	}
	f.serviceOf(u.Service).countVersion(now, u.Version, 1)
	switch {
	case known == nil:
		s := f.serviceOf(u.Service)
		s.upstreams++
		u.shard = s.shards[shardFor(u.ID, len(s.shards))]
	case known.process() != u.process() || known.Address != u.Address:
		u.shard = known.shard
		f.dropProcess(known)
	default:
		u.shard = known.shard
	}
	f.backoffs.DropStale(u.ID, u.process())
	f.upstreams[u.ID] = u
	f.processes[u.process()] = u
	f.refreshUsability(u, updated)
}

// dropProcess drops the state of the previous process of an upstream; its connections are useless. The
// caller holds the lock.
func (f *Fleet) dropProcess(u *upstream) {
	f.closeConnections(u.ID)
	delete(f.processes, u.process())
}

// reshardAll reassigns the upstreams of services whose number of shards no longer fits, and reports
// whether there was one. The caller holds the lock.
func (f *Fleet) reshardAll() (resharded bool) {
	for _, s := range f.services {
		if want := shardCount(s.upstreams); want != len(s.shards) {
			f.reshard(s, want)
			resharded = true
		}
	}
	return resharded
}

// reshard assigns the upstreams of a service to the given number of shards. The caller holds the lock.
func (f *Fleet) reshard(s *service, want int) {
	kept := min(want, len(s.shards))
	shards := slices.Clone(s.shards[:kept])
	for len(shards) < want {
		shards = append(shards, f.newShard(s.name, len(shards)))
	}
	previous, dropped := copyUpstreams(s.shards), s.shards[kept:]
	s.shards = shards
	s.preferredShards = preferredShardsOf(f.o.Instance, s.name, want)
	f.updateRetryBudgets(s)
	members := make([][]scheduler.Member, want)
	now := time.Now()
	for _, u := range f.upstreams {
		if u.Service != s.name {
			continue
		}
		i := shardFor(u.ID, want)
		m := f.member(u)
		if u.shard != shards[i] {
			m.MovedAt, m.Previous = now, previous[u.ID]
		}
		u.shard = shards[i]
		members[i] = append(members[i], m)
	}
	for _, sh := range dropped {
		sh.pool.SetMembers(nil) // waiting requests there are shed when they expire
		f.dropped.add(sh)
	}
	for i, sh := range shards {
		sh.pool.SetMembers(members[i])
	}
}

// copyUpstreams returns copies of the scheduling state of the shards' upstreams, by ID.
func copyUpstreams(shards []*shard) map[string]*balancer.Upstream {
	out := map[string]*balancer.Upstream{}
	for _, s := range shards {
		s.pool.View(func(core *scheduler.Core) {
			for _, u := range core.Upstreams() {
				out[u.ID] = u.CopyState()
			}
		})
	}
	return out
}

// refreshUsability updates whether an upstream is usable. The caller holds the lock.
func (f *Fleet) refreshUsability(u *upstream, updated memberUpdates) {
	u.unusable = f.unusableReason(u.Upstream)
	c := updated.forShard(u.shard)
	c.changed = append(c.changed, f.member(u))
}
