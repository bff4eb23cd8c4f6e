package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// assumedFleetSize is the number of instances assumed while none is known.
const assumedFleetSize = 600

// SetEvacuated sets the evacuated availability zones: their upstreams get no new requests from now on,
// and running ones continue. Upstreams of zones that are no longer evacuated count as cold, as after a
// start.
func (f *Fleet) SetEvacuated(zones []string) {
	f.mu.Lock()
	restored := slices.DeleteFunc(slices.Clone(f.evacuated), func(zone string) bool { return slices.Contains(zones, zone) })
	f.evacuated = zones
	now := time.Now()
	updated := memberUpdates{}
	for _, u := range f.upstreams {
		if slices.Contains(restored, u.Zone) {
			u.extendCold(now, f.services[u.Service].coldStart.Duration)
		}
		f.refreshUsability(u, updated)
	}
	shards := updated.apply()
	f.mu.Unlock()
	pollShards(shards)
}

// SetServices applies the cold-start settings of the services in the configuration.
func (f *Fleet) SetServices(services map[string]*routing.Service) {
	f.mu.Lock()
	for name, s := range services {
		f.serviceOf(name).coldStart = scheduler.ColdStart{
			Duration:     s.ColdStart,
			PerSecond:    s.ColdStartRate,
			MaxPerSecond: f.o.ColdOverage*s.ColdStartRate + f.o.ColdSlack,
		}
	}
	f.mu.Unlock()
	f.updateGrantLimits()
}

// updateGrantLimits passes to each shard the share of the rates of cold or limited upstreams that this
// instance may grant, and lets it grant slots to waiting requests.
func (f *Fleet) updateGrantLimits() {
	base, limited := f.reachability(), f.limits.Count() > 0
	for _, s := range f.all() {
		f.mu.Lock()
		coldStart := f.serviceOf(s.service).coldStart
		f.mu.Unlock()
		reachability := base
		if coldStart.IsLimited() || limited {
			reachability.Queried, reachability.Standby = f.isQueried(s, base.Queried)
		}
		s.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
			core.SetColdStart(coldStart, reachability)
			return core.Poll(now)
		})
	}
}

// reachability returns the share of the rates of upstreams that this instance may grant. An instance that
// has just started, or knows no other instance yet, doesn't know its share of the fleet and gets no
// requests from others.
func (f *Fleet) reachability() scheduler.Reachability {
	if f.slots == nil {
		return scheduler.Reachability{Queried: true, FleetShare: 1}
	}
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	if len(instances) == 1 {
		return scheduler.Reachability{Queried: f.slots.FleetSize() == 1, FleetShare: 1, OwnShare: f.ownShare()}
	}
	return scheduler.Reachability{Queried: f.Settled(), ZoneShares: reachableZoneShares(instances), FleetShare: f.reachableShare(), OwnShare: f.ownShare()}
}

// ownShare returns the share of this instance among all instances.
func (f *Fleet) ownShare() float64 {
	if f.slots == nil {
		return 1
	}
	f.mu.Lock()
	known := len(f.instances)
	f.mu.Unlock()
	size := f.slots.FleetSize()
	if known == 1 {
		return 1 / float64(cmp.Or(size, assumedFleetSize))
	}
	return 1 / float64(max(size, known))
}

// isQueried reports whether other instances request slots of a shard from this one: they request slots
// from it at all, as queried says, and it is one of the first that may own the shard; and whether it is the
// standby.
func (f *Fleet) isQueried(s *shard, queried bool) (isQueried, isStandby bool) {
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	if !queried || len(instances) == 1 {
		return queried, false
	}
	role := f.owners.roleOf(shardKey{service: s.service, index: s.index}, instances, f.o.Instance)
	return role != roleOther, role == roleStandby
}

// reachableZoneShares returns the share of the instances of each availability zone that are reachable.
func reachableZoneShares(instances []Instance) map[string]float64 {
	all, reachable := map[string]int{}, map[string]int{}
	for _, i := range instances {
		all[i.Zone]++
		if i.Reachable {
			reachable[i.Zone]++
		}
	}
	out := make(map[string]float64, len(all))
	for zone, n := range all {
		out[zone] = float64(reachable[zone]) / float64(n)
	}
	return out
}

// ZoneOf returns the availability zone of an upstream, empty if it is not on the list.
func (f *Fleet) ZoneOf(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.upstreams[id]; u != nil {
		return u.Zone
	}
	return ""
}

// ColdUpstreams returns how many upstreams are considered cold.
func (f *Fleet) ColdUpstreams() (n int) {
	now := time.Now()
	for _, s := range f.all() {
		s.pool.View(func(core *scheduler.Core) { n += core.ColdUpstreams(now) })
	}
	return n
}

// LimitedGrants returns how often a waiting request was delayed only because its upstreams had reached
// their grant limits.
func (f *Fleet) LimitedGrants() (n int64) {
	for _, s := range f.all() {
		s.pool.View(func(core *scheduler.Core) { n += core.LimitedGrants() })
	}
	return n
}
