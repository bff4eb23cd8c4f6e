package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// assumedFleet is the number of instances of a fleet of which nothing is known.
const assumedFleet = 600

// SetEvacuated takes the availability zones that are evacuated: their upstreams get nothing new
// from now on, and what runs there goes on. Those of zones that are taken back count as cold, as
// after a start.
func (f *Fleet) SetEvacuated(zones []string) {
	f.mu.Lock()
	takenBack := slices.DeleteFunc(slices.Clone(f.evacuated), func(zone string) bool { return slices.Contains(zones, zone) })
	f.evacuated = zones
	now := time.Now()
	updated := updates{}
	for _, u := range f.upstreams {
		if slices.Contains(takenBack, u.Zone) {
			u.keepCold(now, f.services[u.Service].coldStart.For)
		}
		f.refresh(u, updated)
	}
	shards := updated.apply()
	f.mu.Unlock()
	poll(shards)
}

// SetServices takes what the configuration says of services.
func (f *Fleet) SetServices(services map[string]*routing.Service) {
	f.mu.Lock()
	for name, s := range services {
		f.serviceOf(name).coldStart = scheduler.ColdStart{
			For:       s.ColdStart,
			PerSecond: s.ColdStartRate,
			Most:      f.o.ColdOverage*s.ColdStartRate + f.o.ColdSlack,
		}
	}
	f.mu.Unlock()
	f.limitStarts()
}

// limitStarts lets each shard know how much of what cold upstreams bear this instance may grant, and
// send what it has room for.
func (f *Fleet) limitStarts() {
	reached, limited := f.reach(), f.limits.Count() > 0
	for _, s := range f.all() {
		f.mu.Lock()
		coldStart := f.serviceOf(s.service).coldStart
		f.mu.Unlock()
		reach := reached
		if coldStart.Limits() || limited {
			reach.Asked = f.isAsked(s, reached.Asked)
		}
		s.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
			core.SetColdStart(coldStart, reach)
			return core.Poll(now)
		})
	}
}

// reach says which part of what upstreams bear this instance may grant. One that has just started, or has
// heard of nobody, doesn't know which part of the fleet it is, and isn't asked by others.
func (f *Fleet) reach() scheduler.Reach {
	if f.slots == nil {
		return scheduler.Reach{Asked: true, Fleet: 1}
	}
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	if len(instances) == 1 {
		return scheduler.Reach{Asked: f.slots.FleetSize() == 1, Fleet: 1, Alone: f.alonePart()}
	}
	return scheduler.Reach{Asked: f.Settled(), Zones: zonesInReach(instances), Fleet: f.partInReach(), Alone: f.alonePart()}
}

// alonePart is the part of all instances that this one is.
func (f *Fleet) alonePart() float64 {
	if f.slots == nil {
		return 1
	}
	f.mu.Lock()
	known := len(f.instances)
	f.mu.Unlock()
	size := f.slots.FleetSize()
	if known == 1 {
		return 1 / float64(cmp.Or(size, assumedFleet))
	}
	return 1 / float64(max(size, known))
}

// isAsked tells whether the others ask this instance for slots of a shard, where they ask it at all: it is one
// of the first that may own the shard.
func (f *Fleet) isAsked(s *shard, atAll bool) bool {
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	if !atAll || len(instances) == 1 {
		return atAll
	}
	return f.owners.first(shardKey{service: s.service, index: s.index}, instances, f.o.Instance)
}

// zonesInReach returns the part of each availability zone's instances that is within reach.
func zonesInReach(instances []Instance) map[string]float64 {
	all, reached := map[string]int{}, map[string]int{}
	for _, i := range instances {
		all[i.Zone]++
		if i.InReach {
			reached[i.Zone]++
		}
	}
	out := make(map[string]float64, len(all))
	for zone, n := range all {
		out[zone] = float64(reached[zone]) / float64(n)
	}
	return out
}

// ZoneOf returns the availability zone of an upstream of the list, "" of one that isn't on it.
func (f *Fleet) ZoneOf(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.upstreams[id]; u != nil {
		return u.Zone
	}
	return ""
}

// ColdUpstreams returns how many upstreams are believed to be cold.
func (f *Fleet) ColdUpstreams() (n int) {
	now := time.Now()
	for _, s := range f.all() {
		s.pool.View(func(core *scheduler.Core) { n += core.Cold(now) })
	}
	return n
}

// HeldStarts returns how often waiting work was held back since its upstreams may not be granted
// more in so short a time.
func (f *Fleet) HeldStarts() (n int64) {
	for _, s := range f.all() {
		s.pool.View(func(core *scheduler.Core) { n += core.Held() })
	}
	return n
}
