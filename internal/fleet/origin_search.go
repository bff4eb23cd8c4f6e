package fleet

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/origin"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// maxListProofWait bounds the wait for a proof of the list. Callers give up a stream after two seconds without an event.
	maxListProofWait = time.Second
	listProofPoll    = 20 * time.Millisecond
)

// ServeOrigin replies to a peer's query of a stream's origin. ListAge is the age of this instance's list.
func (f *Fleet) ServeOrigin(q *peer.OriginQuery, listAge time.Duration) *peer.OriginReply {
	now := time.Now()
	followed := f.hasFollowedFor(now, q.Lifetime)
	reply := &peer.OriginReply{Followed: followed, Settled: followed && IsCurrent(listAge)}
	if o, known := f.origins.Find(now, q.Request); known {
		reply.Known, reply.Service, reply.Version = true, o.Service, o.Version
	}
	versions := f.recentVersions(now, q.Service, q.Lifetime)
	reply.HasNoVersion = len(versions) == 0
	if len(versions) == 1 {
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
	// OnlyService reports that no other service can have begun it within that time, by the configuration of ConfigRevision.
	OnlyService    bool
	ConfigRevision int64
	// ListAge returns the time since the read was sent that last confirmed this instance's list.
	ListAge func() time.Duration
}

// FindOrigin returns the service and the version that began a stream. It blocks for the keepers' replies if this instance
// doesn't know it. It is known if an instance has recorded it, or if no other service can have begun it and the service has
// had no other version within the stream's lifetime. Also a current list may lack a version that has just appeared and began
// the stream elsewhere, so that the keepers are asked in any case. That there was no other version is known only to who has
// followed the list for that time: to this instance or a keeper, if its list is current, or to an instance of each zone, while
// nobody can read the list. After a restart of all instances nobody knows it, whatever the list has now. Where no keeper replies
// that is sent each origin, the list must have been confirmed since the request arrived.
func (f *Fleet) FindOrigin(ctx context.Context, s ResumedStream) (service, version string, known bool) {
	now := time.Now()
	hash := hashOf(s.Request)
	search := originSearch{stream: s, source: originUnknown, listAge: s.ListAge()}
	defer func() { f.recordOriginSearch(&search, now, service, version) }()
	if o, known := f.origins.Find(now, hash); known {
		search.source = originRecorded
		return o.Service, o.Version, true
	}
	lifetime := max(s.Lifetime, f.LongestLifetime(s.Service)) // another route may have begun it
	search.followed = f.hasFollowedFor(now, lifetime)
	search.settled = search.followed && IsCurrent(search.listAge)
	keepers := f.keepers(hash, math.MaxInt) // of all zones: the instance that recorded it may be in any
	replies := f.queryKeepers(ctx, keepers, &peer.OriginQuery{Request: hash, Service: s.Service, Lifetime: lifetime})
	search.asked, search.replied = len(keepers), len(replies)
	search.versions = f.recentVersions(now, s.Service, lifetime) // one may have appeared meanwhile
	for address, r := range replies {
		if r.Known && r.Service == "" && !s.OnlyService {
			return "", "", false // from a peer of an earlier version
		}
		if r.Known {
			search.source, search.peer = originFromPeer, address
			service := cmp.Or(r.Service, s.Service)
			f.origins.Record(now, origin.Origin{Request: hash, Service: service, Version: r.Version, Until: now.Add(s.Lifetime)}, true)
			return service, r.Version, true
		}
	}
	if !f.isOnlyVersion(&search, replies) {
		return "", "", false
	}
	if len(keepers) > 0 && !f.hasSharedKeeperReplied(hash, replies) {
		search.awaitedProof = true
		if !awaitListProof(ctx, now, s.ListAge) || len(f.recentVersions(now, s.Service, lifetime)) != 1 {
			search.source = originUnknown
			return "", "", false
		}
	}
	return s.Service, search.versions[0], true
}

// isOnlyVersion reports whether the version that this instance knows is that of all upstreams which were on the list within the
// stream's lifetime, by its list and by keepers that haven't recorded the stream.
func (f *Fleet) isOnlyVersion(search *originSearch, replies map[string]*peer.OriginReply) bool {
	s, versions := search.stream, search.versions
	if !s.OnlyService || len(versions) != 1 {
		return false
	}
	for _, r := range replies {
		if r.HasNoVersion {
			continue // it has just started
		}
		if !r.HasOnlyVersion || r.OnlyVersion != versions[0] || r.ConfigRevision > s.ConfigRevision {
			return false
		}
		if r.Settled {
			search.settledPeers++
		}
	}
	switch {
	case search.settled:
		search.source = originOnlyVersion
	case search.settledPeers > 0:
		search.source = originOnlyVersionOfPeer
	case search.followed && f.Settled() && f.hasEveryZoneFollowed(replies):
		search.source = originOnlyVersionOfZones
	default:
		return false
	}
	return true
}

// hasSharedKeeperReplied reports whether an instance has replied that each instance sends the stream's origin to. If none has, the
// origin may be recorded, and not found.
func (f *Fleet) hasSharedKeeperReplied(request uint64, replies map[string]*peer.OriginReply) bool {
	return slices.ContainsFunc(f.sharedKeepers(request), func(address string) bool {
		r := replies[address]
		return r != nil && !r.HasNoVersion // one without a list has just started
	})
}

// awaitListProof waits until this instance's list is confirmed by a read that was sent after a request for the stream, which
// shows each version that can have begun it. It reports whether it was, within maxListProofWait.
func awaitListProof(ctx context.Context, since time.Time, listAge func() time.Duration) bool {
	for {
		waited := time.Since(since)
		if listAge() <= waited {
			return true
		}
		if waited >= maxListProofWait || !wait.For(ctx, listProofPoll) {
			return false
		}
	}
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
	listAge  time.Duration
	followed bool // this instance has followed the list for the stream's lifetime
	settled  bool // it knows all of the versions: its list is current, too
	// awaitedProof reports that the search waited for a proof of the list, since no keeper replied that may know the origin.
	awaitedProof bool
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
		Bool("settled", s.settled).Dur("followed", followed).Dur("lifetime", s.stream.Lifetime).Dur("list_age", s.listAge).Bool("only_service", s.stream.OnlyService).
		Int("asked", s.asked).Int("replied", s.replied).Int("settled_peers", s.settledPeers).Bool("awaited_proof", s.awaitedProof).Dur("took", time.Since(began)).Msg("")
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
