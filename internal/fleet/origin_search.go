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
	// maxProofWait bounds the wait for a proof of list and configuration. Callers give up a stream after two seconds without an
	// event.
	maxProofWait = time.Second
	proofPoll    = 20 * time.Millisecond
)

// ServeOrigin replies to a peer's query of a stream's origin. ListAge is the age of this instance's list.
func (f *Fleet) ServeOrigin(q *peer.OriginQuery, listAge time.Duration) *peer.OriginReply {
	now := time.Now()
	followed := f.hasFollowedFor(now, q.Lifetime)
	reply := &peer.OriginReply{Followed: followed, Complete: followed && IsCurrent(listAge)}
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
	// OnlyService reports whether no other service can have begun it within that time, by the configuration in force.
	OnlyService func() bool
	// ConfigRevision is that of the configuration in force when the request arrived.
	ConfigRevision int64
	// ListAge and ConfigAge return the time since the reads were sent that last confirmed this instance's list and configuration.
	ListAge, ConfigAge func() time.Duration
}

// FindOrigin returns the service and the version that began a stream. If this instance hasn't recorded the origin, it blocks
// for the keepers' replies, even where its list has one version: the list may lack one that has just appeared.
//
// An origin that nobody has recorded is concluded if only one service and one version can have begun the stream. Only an
// instance that has followed the list for the stream's lifetime knows that: this one or a keeper, if its list is current, or,
// while the source can't be read, one of each zone. If an instance may have recorded it that is out of reach, and the source can be
// read, FindOrigin also waits for a proof of list and configuration.
func (f *Fleet) FindOrigin(ctx context.Context, s ResumedStream) (service, version string, known bool) {
	now := time.Now()
	hash := hashOf(s.Request)
	search := originSearch{stream: s, source: originUnknown}
	defer func() { f.recordOriginSearch(&search, now, service, version) }()
	if o, known := f.origins.Find(now, hash); known {
		search.source = originRecorded
		return o.Service, o.Version, true
	}
	search.lifetime = max(s.Lifetime, f.LongestLifetime(s.Service)) // another route may have begun it
	keepers := f.keepers(hash, math.MaxInt)                         // of all zones: the instance that recorded it may be in any
	replies := f.queryKeepers(ctx, keepers, &peer.OriginQuery{Request: hash, Service: s.Service, Lifetime: search.lifetime})
	search.asked, search.replied = len(keepers), len(replies)
	for address, r := range replies {
		if r.Known && r.Service == "" && !s.OnlyService() {
			return "", "", false // from a peer of an earlier version
		}
		if r.Known {
			search.source, search.peer = originFromPeer, address
			service := cmp.Or(r.Service, s.Service)
			f.origins.Record(now, origin.Origin{Request: hash, Service: service, Version: r.Version, Until: now.Add(s.Lifetime)}, true)
			return service, r.Version, true
		}
	}
	source := f.findOnlyVersion(&search, now, replies)
	isListCurrent := source == originOnlyVersion || source == originOnlyVersionOfPeer // otherwise no proof can come
	if isListCurrent && f.mayBeRecordedOutOfReach(hash, keepers, replies) {
		search.awaitedProof = true
		if !awaitProof(ctx, now, s) {
			return "", "", false
		}
		source = f.findOnlyVersion(&search, now, replies) // another version or route may have appeared
	}
	if source == originUnknown {
		return "", "", false
	}
	search.source = source
	return s.Service, search.versions[0], true
}

// findOnlyVersion returns how it is known that only one service and one version can have begun the stream; originUnknown if it isn't.
// The replies are of keepers that haven't recorded the stream.
func (f *Fleet) findOnlyVersion(search *originSearch, now time.Time, replies map[string]*peer.OriginReply) originSource {
	s := search.stream
	versions := f.recentVersions(now, s.Service, search.lifetime)
	search.versions, search.listAge, search.onlyService = versions, s.ListAge(), s.OnlyService()
	followed := f.hasFollowedFor(now, search.lifetime)
	search.complete, search.completePeers = followed && IsCurrent(search.listAge), 0
	if !search.onlyService || len(versions) != 1 {
		return originUnknown
	}
	for _, r := range replies {
		if r.HasNoVersion {
			continue // it has just started
		}
		if !r.HasOnlyVersion || r.OnlyVersion != versions[0] || r.ConfigRevision > s.ConfigRevision {
			return originUnknown
		}
		if r.Complete {
			search.completePeers++
		}
	}
	switch {
	case search.complete:
		return originOnlyVersion
	case search.completePeers > 0:
		return originOnlyVersionOfPeer
	case followed && f.Settled() && f.hasEveryZoneFollowed(replies):
		return originOnlyVersionOfZones
	default:
		return originUnknown
	}
}

// mayBeRecordedOutOfReach reports whether an instance that this one didn't reach may have recorded the stream: a keeper that was
// asked hasn't replied, so that others may be cut off as well which still count as reachable, another instance is unreachable, or no
// shared keeper has replied that has run for long enough to have been sent the origin.
func (f *Fleet) mayBeRecordedOutOfReach(request uint64, asked []string, replies map[string]*peer.OriginReply) bool {
	if len(replies) < len(asked) {
		return true
	}
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	established, others := map[string]bool{}, false
	for _, i := range instances {
		if i.Address == f.o.Instance || i.Draining && !i.Reachable { // it left in order
			continue
		}
		if !i.Reachable {
			return true
		}
		established[i.Address], others = i.Established, true
	}
	return others && !slices.ContainsFunc(f.sharedKeepers(request), func(address string) bool {
		r := replies[address]
		return r != nil && !r.HasNoVersion && established[address]
	})
}

// awaitProof waits until this instance's list and configuration are confirmed by reads that were sent after the search began, and
// so show each version and route by which the stream can have begun. It reports whether they were, within maxProofWait.
func awaitProof(ctx context.Context, began time.Time, s ResumedStream) bool {
	for {
		waited := time.Since(began)
		if max(s.ListAge(), s.ConfigAge()) <= waited {
			return true
		}
		if waited >= maxProofWait || !wait.For(ctx, proofPoll) {
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
	peer     string        // that knew it
	lifetime time.Duration // the longest for which a stream of the service may be resumed
	versions []string      // that were listed within it, as far as this instance knows
	listAge  time.Duration
	// onlyService reports that no other service can have begun the stream, and complete that this instance knows all
	// versions: it has followed the list for the lifetime, and the list is current.
	onlyService, complete bool
	// awaitedProof reports that the search waited for a proof, since an instance out of reach may have recorded the stream.
	awaitedProof bool
	// asked and replied are the numbers of peers, and completePeers that of those which know all versions.
	asked, replied, completePeers int
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
		Bool("settled", s.complete).Dur("followed", followed).Dur("lifetime", s.stream.Lifetime).Dur("list_age", s.listAge).Bool("only_service", s.onlyService).
		Int("asked", s.asked).Int("replied", s.replied).Int("settled_peers", s.completePeers).Bool("awaited_proof", s.awaitedProof).Dur("took", time.Since(began)).Msg("")
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
