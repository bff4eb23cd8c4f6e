package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/internal/origin"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// originGroups is the number of groups that streams are divided into. In each zone keepersInZone instances
	// may keep the origins of a group, so that an instance needs links to a bounded number of others.
	originGroups  = 32
	keepersInZone = 2
	// originZones is the number of zones, that of the instance included, whose keepers an origin is sent to.
	originZones = 3
	// originTimeout bounds the time in which keepers reply to a query. A processor may be throttled for
	// 100 ms.
	originTimeout = 150 * time.Millisecond
	// maxShareWait bounds the time in which keepers confirm an origin, and sharePoll is the time between two queries.
	maxShareWait = time.Second
	sharePoll    = 10 * time.Millisecond
	// currentListAge is the age up to which a list counts as current.
	currentListAge = view.CurrentListAge
	// versionMemory is how long a version is remembered that no upstream has any more.
	versionMemory = 2 * time.Hour
)

// OriginClient exchanges origins of streams with other instances. *peer.Mesh implements it.
type OriginClient interface {
	// SendOrigins must not block.
	SendOrigins(address string, list []peer.StreamOrigin)
	QueryOrigin(ctx context.Context, address string, q *peer.OriginQuery, within time.Duration) (*peer.OriginReply, error)
}

// IsCurrent reports whether a list of an age counts as current.
func IsCurrent(listAge time.Duration) bool { return listAge <= currentListAge }

// SetOriginClient sets the client for origins of streams. It is called once, before the first request.
func (f *Fleet) SetOriginClient(c OriginClient) { f.originClient = c }

// versionUse is how a version of a service's upstreams is used.
type versionUse struct {
	upstreams int       // number on the list
	since     time.Time // when the first of them appeared there
	lastSeen  time.Time // when the last of them left the list
}

// countVersion adds to the number of a service's upstreams of a version. The caller holds the lock.
func (s *service) countVersion(now time.Time, version string, delta int) {
	maps.DeleteFunc(s.versions, func(_ string, use *versionUse) bool {
		return use.upstreams == 0 && now.Sub(use.lastSeen) > versionMemory
	})
	use := s.sawVersion(version, now)
	if use.upstreams == 0 {
		use.since = now
	}
	use.upstreams += delta
}

// sawVersion records that a version was listed at a time, and returns its use. The caller holds the lock.
func (s *service) sawVersion(version string, at time.Time) *versionUse {
	use := s.versions[version]
	if use == nil {
		use = &versionUse{}
		s.versions[version] = use
	}
	if at.After(use.lastSeen) {
		use.lastSeen = at
	}
	return use
}

// recentVersions returns the versions of a service's upstreams that are on the list or were there within a
// time.
func (f *Fleet) recentVersions(now time.Time, service string, within time.Duration) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil {
		return nil
	}
	return s.recentVersions(now, within)
}

// recentVersions returns the versions that are on the list or were there within a time. The caller holds the lock.
func (s *service) recentVersions(now time.Time, within time.Duration) (out []string) {
	for version, use := range s.versions {
		if use.upstreams > 0 || now.Sub(use.lastSeen) < within {
			out = append(out, version)
		}
	}
	return out
}

// servicesWithVersions returns the services that have had several versions within the lifetime of a stream. The caller
// holds the lock.
func (f *Fleet) servicesWithVersions(now time.Time) map[string]bool {
	out := map[string]bool{}
	for name, s := range f.services {
		if len(s.recentVersions(now, s.originLifetime)) > 1 {
			out[name] = true
		}
	}
	return out
}

// sharedOrigins returns the origins that this instance knows and keepers receive: those that it has shared, and those of services
// that have had several versions within the lifetime of a stream, or of which this instance doesn't know the versions.
func (f *Fleet) sharedOrigins(now time.Time) []origin.Origin {
	f.mu.Lock()
	services := f.servicesWithVersions(now)
	for name, s := range f.services {
		services[name] = services[name] || f.followed(now) < s.originLifetime
	}
	f.mu.Unlock()
	return f.origins.Shared(now, services)
}

// ExtendLifetime records for how long a stream of a service may be resumed, and returns the longest time for the service.
func (f *Fleet) ExtendLifetime(service string, lifetime time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.serviceOf(service)
	s.originLifetime = max(s.originLifetime, lifetime)
	return s.originLifetime
}

// LongestLifetime returns for how long a stream of a service may be resumed, as far as is known.
func (f *Fleet) LongestLifetime(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.services[service]; s != nil {
		return s.originLifetime
	}
	return 0
}

// hashOf returns the hash by which a request is known to other instances; 0 for no request.
func hashOf(request string) uint64 {
	if request == "" {
		return 0
	}
	return max(xxhash.Sum64String(request), 1)
}

// BegunStream is a stream whose first event was relayed.
type BegunStream struct {
	// Request is the ID of the request that brought the event.
	Request string
	// Service and Version of the upstream.
	Service, Version string
	// Lifetime is how long the stream may be resumed.
	Lifetime time.Duration
	// OnlyService reports that no other service can have begun streams of its path within that time.
	OnlyService bool
}

// RecordOrigin records which service and version began a stream. The keepers receive it if others may have begun
// streams of its path within its lifetime.
func (f *Fleet) RecordOrigin(s BegunStream) {
	if s.Request == "" {
		return
	}
	now := time.Now()
	o := origin.Origin{Request: hashOf(s.Request), Service: s.Service, Version: s.Version, Until: now.Add(min(s.Lifetime, versionMemory))}
	if f.recordOrigin(now, o, s.OnlyService) {
		f.sendOrigins(now, []origin.Origin{o})
	}
}

// recordOrigin records an origin, and reports whether the keepers must receive it now. A version that appears at the same
// time comes before it, or finds it among those to share.
func (f *Fleet) recordOrigin(now time.Time, o origin.Origin, onlyService bool) (shared bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.serviceOf(o.Service)
	s.originLifetime = max(s.originLifetime, o.Until.Sub(now))
	isOnlyOne := !f.leaving && onlyService && f.followed(now) >= s.originLifetime && len(s.recentVersions(now, s.originLifetime)) <= 1
	shared = f.originClient != nil && !isOnlyOne
	f.origins.Record(now, o, shared)
	return shared
}

// AwaitShared blocks until the origin of a stream that was recorded is known to a keeper that all instances ask, if the version has just
// appeared. Others that lack it, with a list that still counts as current, would take another version for the only one, and can't tell
// that this instance is cut off from them before it counts as unreachable. That may be later than they do here, so that it also waits
// where an instance was just lost. AwaitShared returns after maxShareWait in any case.
func (f *Fleet) AwaitShared(ctx context.Context, s BegunStream) {
	began := time.Now()
	if s.Request == "" || f.originClient == nil || !f.isNewAmongOthers(began, s) {
		return
	}
	q := &peer.OriginQuery{Request: hashOf(s.Request), Service: s.Service, Lifetime: s.Lifetime}
	for now := began; now.Sub(began) < maxShareWait; now = time.Now() {
		if !f.hasJustLostInstance(now) && f.isShared(ctx, q) || !wait.For(ctx, sharePoll) {
			return
		}
	}
}

// hasJustLostInstance reports whether another instance became unreachable within maxShareWait.
func (f *Fleet) hasJustLostInstance(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lostInstance.IsZero() && now.Sub(f.lostInstance) < maxShareWait
}

// isNewAmongOthers reports whether the version of a stream appeared within currentListAge, while there were others.
func (f *Fleet) isNewAmongOthers(now time.Time, s BegunStream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.services[s.Service]
	if known == nil || known.versions[s.Version] == nil {
		return false
	}
	return now.Sub(known.versions[s.Version].since) <= currentListAge && len(known.recentVersions(now, known.originLifetime)) > 1
}

// isShared reports whether a shared keeper knows a stream that this instance has recorded, or there is no other one.
func (f *Fleet) isShared(ctx context.Context, q *peer.OriginQuery) bool {
	keepers := slices.DeleteFunc(f.sharedKeepers(q.Request), func(address string) bool { return address == f.o.Instance })
	if len(keepers) == 0 {
		return true
	}
	for _, r := range f.queryKeepers(ctx, keepers, q) {
		if r.Known {
			return true
		}
	}
	return false
}

// ShareOrigins sends the origins of the streams of services that only this instance knows to the keepers: other
// instances can no longer conclude them.
func (f *Fleet) ShareOrigins(services []string) {
	for _, service := range services {
		f.shareOrigins(service)
	}
}

// shareOrigins sends the origins of a service's streams that only this instance knows to the keepers. It is
// called when a version appears.
func (f *Fleet) shareOrigins(service string) {
	if f.originClient != nil {
		now := time.Now()
		f.sendOrigins(now, f.origins.TakeUnshared(now, service))
	}
}

// HandOverOrigins sends the origins that this instance knows to their keepers, and from now on each new one, whatever
// versions there are: another one may appear after this instance has ended. It is called when it is terminated.
func (f *Fleet) HandOverOrigins() {
	if f.originClient == nil {
		return
	}
	all := map[string]bool{}
	f.mu.Lock()
	f.leaving = true
	for name := range f.services {
		all[name] = true
	}
	f.mu.Unlock()
	now := time.Now()
	f.sendOrigins(now, f.origins.Shared(now, all))
}

// sendOriginsToNewKeepers sends the origins that this instance knows to keepers that were none among the instances before:
// they have started, also at the address of one that had been a keeper, or take over from one that has ended.
func (f *Fleet) sendOriginsToNewKeepers(before []Instance) {
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	if f.originClient == nil || slices.Equal(before, instances) {
		return
	}
	now := time.Now()
	list := f.sharedOrigins(now)
	started := startedSince(before, instances)
	previous := map[int][]string{} // keepers by group
	f.sendOriginsTo(now, list, func(o origin.Origin, keeper string) bool {
		group := groupOf(o.Request)
		if _, known := previous[group]; !known {
			previous[group] = f.selectKeepers(rankKeepers(group, before), originZones)
		}
		return started[keeper] || !slices.Contains(previous[group], keeper)
	})
}

// startedSince returns the addresses at which another process serves than before.
func startedSince(before, now []Instance) map[string]bool {
	processes := make(map[string]uint64, len(before))
	for _, i := range before {
		processes[i.Address] = i.Incarnation
	}
	out := map[string]bool{}
	for _, i := range now {
		if previous, known := processes[i.Address]; known && previous != i.Incarnation {
			out[i.Address] = true
		}
	}
	return out
}

// sendOrigins sends origins to their keepers.
func (f *Fleet) sendOrigins(now time.Time, list []origin.Origin) {
	f.sendOriginsTo(now, list, func(origin.Origin, string) bool { return true })
}

// sendOriginsTo sends origins to those of their keepers that are selected.
func (f *Fleet) sendOriginsTo(now time.Time, list []origin.Origin, selected func(o origin.Origin, keeper string) bool) {
	byKeeper := map[string][]peer.StreamOrigin{}
	for _, o := range list {
		entry := peer.StreamOrigin{Request: o.Request, Service: o.Service, Version: o.Version, Remaining: o.Until.Sub(now)}
		for _, address := range f.keepers(o.Request, originZones) {
			if selected(o, address) {
				byKeeper[address] = append(byKeeper[address], entry)
			}
		}
	}
	for address, entries := range byKeeper {
		f.originClient.SendOrigins(address, entries)
	}
}

// MergeOrigins records the origins that a peer has sent.
func (f *Fleet) MergeOrigins(list []peer.StreamOrigin) {
	now := time.Now()
	for _, o := range list {
		f.ExtendLifetime(o.Service, o.Remaining)
		f.origins.Record(now, origin.Origin{Request: o.Request, Service: o.Service, Version: o.Version, Until: now.Add(o.Remaining)}, true)
	}
}

// keepers returns the other instances that keep the origin of a stream, of up to zones zones.
func (f *Fleet) keepers(request uint64, zones int) []string {
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	return f.selectKeepers(f.owners.originKeepers(groupOf(request), instances), zones)
}

// selectKeepers returns the other instances that keep the origins of a group for this one, of up to zones zones:
// in its own zone the first two in the ranking, since it may be the first, and in others the first one.
func (f *Fleet) selectKeepers(ranked []zoneKeepers, zones int) []string {
	var out []string
	others := 0
	for _, z := range ranked {
		used := z.addresses
		switch {
		case z.zone == f.o.Zone:
		case others < zones-1:
			others++
			used = used[:1]
		default:
			continue
		}
		for _, address := range used {
			if address != f.o.Instance {
				out = append(out, address)
			}
		}
	}
	return out
}

// sharedKeepers returns the keepers of a stream's origin that are the same for recorders of all zones: the first one of each of the
// first two zones in the ranking, or both of the only zone.
func (f *Fleet) sharedKeepers(request uint64) (out []string) {
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	ranked := f.owners.originKeepers(groupOf(request), instances)
	for _, z := range ranked[:min(len(ranked), originZones-1)] {
		n := 1
		if len(ranked) == 1 {
			n = len(z.addresses)
		}
		out = append(out, z.addresses[:n]...)
	}
	return out
}

// groupOf returns the group that a stream is in.
func groupOf(request uint64) int { return int(request % originGroups) }

// zoneKeepers are the instances of a zone that may keep the origins of a group.
type zoneKeepers struct {
	zone      string
	addresses []string // keepersInZone at most
}

// originKeepers returns the first instances of each zone in the ranking of a group.
func (o *owners) originKeepers(group int, instances []Instance) []zoneKeepers {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.areCurrent(instances) {
		return rankKeepers(group, instances)
	}
	if keepers, known := o.keepers[group]; known {
		return keepers
	}
	if o.keepers == nil {
		o.keepers = map[int][]zoneKeepers{}
	}
	o.keepers[group] = rankKeepers(group, instances)
	return o.keepers[group]
}

// rankKeepers computes what originKeepers returns.
func rankKeepers(group int, instances []Instance) (out []zoneKeepers) {
	zones := make(map[string]string, len(instances))
	for _, i := range instances {
		zones[i.Address] = i.Zone
	}
	for _, address := range rank(shardKey{service: "origins of streams", index: group}, instances) {
		at := slices.IndexFunc(out, func(z zoneKeepers) bool { return z.zone == zones[address] })
		switch {
		case at < 0:
			out = append(out, zoneKeepers{zone: zones[address], addresses: []string{address}})
		case len(out[at].addresses) < keepersInZone:
			out[at].addresses = append(out[at].addresses, address)
		}
	}
	return out
}
