package fleet

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/internal/origin"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/view"
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

// SetOriginClient sets the client for origins of streams. It is called once, before the first request.
func (f *Fleet) SetOriginClient(c OriginClient) { f.originClient = c }

// versionUse is how a version of a service's upstreams is used.
type versionUse struct {
	upstreams int       // number on the list
	lastSeen  time.Time // when the last of them left the list
}

// countVersion adds to the number of a service's upstreams of a version. The caller holds the lock.
func (s *service) countVersion(now time.Time, version string, delta int) {
	maps.DeleteFunc(s.versions, func(_ string, use *versionUse) bool {
		return use.upstreams == 0 && now.Sub(use.lastSeen) > versionMemory
	})
	s.sawVersion(version, now).upstreams += delta
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
		if len(s.recentVersions(now, f.originLifetime)) > 1 {
			out[name] = true
		}
	}
	return out
}

// sharedOrigins returns the origins that this instance knows and keepers receive: those of services that have had several
// versions within the lifetime of a stream, or all, while this instance doesn't know which versions there were.
func (f *Fleet) sharedOrigins(now time.Time) []origin.Origin {
	f.mu.Lock()
	services := f.servicesWithVersions(now)
	all := f.followed(now) < f.originLifetime
	f.mu.Unlock()
	if !all && len(services) == 0 {
		return nil
	}
	return slices.DeleteFunc(f.origins.All(now), func(o origin.Origin) bool { return !all && !services[o.Service] })
}

// extendOriginLifetime records for how long a stream may be resumed.
func (f *Fleet) extendOriginLifetime(lifetime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.originLifetime = max(f.originLifetime, lifetime)
}

// hashOf returns the hash by which a request is known to other instances; 0 for no request.
func hashOf(request string) uint64 {
	if request == "" {
		return 0
	}
	return max(xxhash.Sum64String(request), 1)
}

// RecordOrigin records that an upstream of a version has begun a stream, which may be resumed for the
// duration lifetime. Request is the ID of the request that brought the first event. The keepers receive it
// if other versions may have begun streams of the service within that time.
func (f *Fleet) RecordOrigin(request, service, version string, lifetime time.Duration) {
	if request == "" {
		return
	}
	now := time.Now()
	o := origin.Origin{Request: hashOf(request), Service: service, Version: version, Until: now.Add(lifetime)}
	f.extendOriginLifetime(lifetime)
	shared := f.originClient != nil && (!f.hasFollowedFor(now, lifetime) || len(f.recentVersions(now, service, lifetime)) > 1)
	f.origins.Record(now, o, shared)
	if shared {
		f.sendOrigins(now, []origin.Origin{o})
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

// HandOverOrigins sends the origins that this instance knows to their keepers. It is called when this instance is
// terminated.
func (f *Fleet) HandOverOrigins() {
	if f.originClient == nil {
		return
	}
	now := time.Now()
	f.sendOrigins(now, f.sharedOrigins(now))
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
		f.extendOriginLifetime(o.Remaining)
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

// ServeOrigin replies to a peer's query of a stream's origin. ListAge is the age of this instance's list.
func (f *Fleet) ServeOrigin(q *peer.OriginQuery, listAge time.Duration) *peer.OriginReply {
	now := time.Now()
	followed := f.hasFollowedFor(now, q.Lifetime)
	reply := &peer.OriginReply{Followed: followed, Settled: followed && listAge <= currentListAge}
	if o, known := f.origins.Find(now, q.Request); known {
		reply.Known, reply.Service, reply.Version = true, o.Service, o.Version
	}
	if versions := f.recentVersions(now, q.Service, q.Lifetime); len(versions) == 1 {
		reply.HasOnlyVersion, reply.OnlyVersion = true, versions[0]
	}
	return reply
}

// hasFollowedFor reports whether this instance, or peers before it, have followed the list for a duration, so that it knows
// each version that was listed within that time.
func (f *Fleet) hasFollowedFor(now time.Time, duration time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.followed(now) >= duration
}

// ResumedStream is a stream that its caller resumes.
type ResumedStream struct {
	// Request is the ID of the request that brought its first event, empty if unknown.
	Request string
	// Service that began it unless another one is known to have.
	Service string
	// Lifetime is how long after its first event it may be resumed.
	Lifetime time.Duration
	// ListAge is the age of this instance's list.
	ListAge time.Duration
}

// FindOrigin returns the service and the version that began a stream. It blocks for the keepers' replies if this instance
// doesn't know it. It is known if an instance has recorded it, or if the service has had no other version
// within the stream's lifetime: also a current list may lack one that has just appeared and began the stream elsewhere,
// so that the keepers are asked in any case. An instance that has started since, or whose list isn't current, relies on
// keepers for the latter: on one that knows, or on the agreement of all zones, as after a restart of the whole
// fleet or while nobody can read the list. One that doesn't know the other instances yet assumes nothing.
func (f *Fleet) FindOrigin(ctx context.Context, s ResumedStream) (service, version string, known bool) {
	now := time.Now()
	hash := hashOf(s.Request)
	search := originSearch{stream: s, source: originUnknown}
	defer func() { f.recordOriginSearch(&search, now, service, version) }()
	if o, known := f.origins.Find(now, hash); known {
		search.source = originRecorded
		return o.Service, o.Version, true
	}
	search.versions = f.recentVersions(now, s.Service, s.Lifetime)
	versions := search.versions
	followed := f.hasFollowedFor(now, s.Lifetime)
	search.settled = followed && s.ListAge <= currentListAge
	keepers := f.keepers(hash, math.MaxInt) // of all zones: the instance that recorded it may be in any
	replies := f.queryKeepers(ctx, keepers, &peer.OriginQuery{Request: hash, Service: s.Service, Lifetime: s.Lifetime})
	search.asked, search.replied = len(keepers), len(replies)
	for address, r := range replies {
		if r.Known {
			search.source, search.peer = originFromPeer, address
			service := cmp.Or(r.Service, s.Service)
			f.origins.Record(now, origin.Origin{Request: hash, Service: service, Version: r.Version, Until: now.Add(s.Lifetime)}, true)
			return service, r.Version, true
		}
		if len(versions) != 1 || !r.HasOnlyVersion || r.OnlyVersion != versions[0] {
			return "", "", false
		}
		if r.Settled {
			search.settledPeers++
		}
	}
	switch {
	case len(versions) != 1:
		return "", "", false
	case search.settled:
		search.source = originOnlyVersion
	case search.settledPeers > 0:
		search.source = originOnlyVersionOfPeer
	case followed && f.Settled() && f.hasEveryZoneFollowed(replies):
		search.source = originOnlyVersionOfZones
	default:
		return "", "", false
	}
	return s.Service, versions[0], true
}

// originSource is how the origin of a stream that its caller resumes was found, as logs and metrics show it.
type originSource string

const (
	// originUnknown: it wasn't found.
	originUnknown originSource = "unknown"
	// originRecorded: this instance has recorded it, originFromPeer: a peer has.
	originRecorded originSource = "recorded"
	originFromPeer originSource = "peer"
	// originOnlyVersion: no other version was listed within the stream's lifetime, as far as this instance
	// knows; originOnlyVersionOfPeer: as far as a peer knows; originOnlyVersionOfZones: as far as an
	// instance of each zone knows, by lists that may not be current.
	originOnlyVersion        originSource = "only_version"
	originOnlyVersionOfPeer  originSource = "only_version_of_peer"
	originOnlyVersionOfZones originSource = "only_version_of_zones"
)

// originSearch is a search for the origin of a stream.
type originSearch struct {
	stream   ResumedStream
	source   originSource
	peer     string   // that knew it
	versions []string // that were listed within the stream's lifetime, as far as this instance knows
	settled  bool     // this instance knows all of them
	// asked and replied are the numbers of peers, and settledPeers that of those which know all versions.
	asked, replied, settledPeers int
}

// recordOriginSearch logs and counts a search. It counts from when it began how long this instance has
// followed the list.
func (f *Fleet) recordOriginSearch(s *originSearch, began time.Time, service, version string) {
	f.mu.Lock()
	followed := f.followed(began)
	f.mu.Unlock()
	f.o.Metrics.Count(`tacktally_stream_origins_total{source="` + string(s.source) + `"}`)
	f.o.Log.Info().Str("event", "stream_origin").Str("origin", s.stream.Request).Str("source", string(s.source)).
		Str("service", service).Str("software_version", version).Str("peer", s.peer).Strs("versions", s.versions).
		Bool("settled", s.settled).Dur("followed", followed).Dur("lifetime", s.stream.Lifetime).Dur("list_age", s.stream.ListAge).
		Int("asked", s.asked).Int("replied", s.replied).Int("settled_peers", s.settledPeers).Dur("took", time.Since(began)).Msg("")
}

// hasEveryZoneFollowed reports whether an instance of each known zone has replied that it has followed the list for the
// stream's lifetime. The zone of this instance needs another one only if it has any.
func (f *Fleet) hasEveryZoneFollowed(replies map[string]*peer.OriginReply) bool {
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	replied := map[string]bool{}
	for _, i := range instances {
		if r := replies[i.Address]; r != nil && r.Followed {
			replied[i.Zone] = true
		}
	}
	for _, i := range instances {
		if i.Address != f.o.Instance && !replied[i.Zone] {
			return false
		}
	}
	return true
}

// queryKeepers asks all keepers at once, and returns their replies, by address. It returns once one knows the
// origin, or originTimeout has passed.
func (f *Fleet) queryKeepers(ctx context.Context, keepers []string, q *peer.OriginQuery) map[string]*peer.OriginReply {
	out := map[string]*peer.OriginReply{}
	if f.originClient == nil {
		return out
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		address string
		reply   *peer.OriginReply // nil without a reply
	}
	results := make(chan result, len(keepers))
	for _, address := range keepers {
		go func() {
			reply, err := f.originClient.QueryOrigin(ctx, address, q, originTimeout)
			if err != nil {
				reply = nil
			}
			results <- result{address, reply}
		}()
	}
	for range keepers {
		r := <-results
		if r.reply == nil {
			continue
		}
		if r.reply.Known {
			return map[string]*peer.OriginReply{r.address: r.reply}
		}
		out[r.address] = r.reply
	}
	return out
}
