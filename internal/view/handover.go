package view

import "time"

// List is the list of upstreams, or a part of it, as one instance hands it over to another.
type List struct {
	// Version is the source's revision at which the content last changed. Of two lists with
	// unlike content one has the higher version; 0 is none.
	Version int64
	// AsOf is when the read was sent that showed the list to be current last.
	AsOf time.Time
	// Since is the version from which on Upstreams and Vanished are all that has changed; 0 where
	// Upstreams is the whole list, or that of Parts.
	Since int64
	// Chunks are those that Upstreams is the whole of; none where it is the whole list.
	Chunks    []int
	Upstreams []Upstream
	// Removed are the IDs of upstreams that have left the list since.
	Removed []string
	// Missing are those of Upstreams that lapsed around an outage of the source, by ID, with the
	// time in which they may still come back.
	Missing map[string]time.Duration
	// Digest is of the whole list of that version; 0 where it isn't told.
	Digest uint64
}

// KnownState is what an instance that asks for a list has.
type KnownState struct {
	// Version of its list, 0 without one.
	Version int64
	// WholeOnly tells that it takes nothing but whole lists.
	WholeOnly bool
	// Checksums of its list, where that isn't like the one of a peer though it has the same version.
	Checksums []uint64
}

// listFor returns what a peer is to get, by what it has. One that has the list of this version gets none.
func (r *roster) listFor(now time.Time, have KnownState) List {
	l := List{Version: r.version, AsOf: r.asOf, Digest: r.checksums.listed.Digest()}
	switch {
	case have.Version > r.version:
	case have.Version == r.version && len(have.Checksums) > 0:
		l.Chunks = r.checksums.listed.differingChunks(have.Checksums)
		l.Upstreams = r.filter(now, func(u Upstream) bool { return inChunks(l.Chunks, u.ID) })
	case have.Version == r.version:
	case have.WholeOnly, have.Version == 0, have.Version < r.droppedUpTo:
		l.Upstreams = r.list(now)
	default:
		l.Since = have.Version
		r.addChangesSince(now, &l)
	}
	for _, u := range l.Upstreams {
		if until, lapsed := r.missing[u.ID]; lapsed {
			l.addMissing(u.ID, max(until.Sub(now), 0))
		}
	}
	return l
}

func (l *List) addMissing(id string, left time.Duration) {
	if l.Missing == nil {
		l.Missing = map[string]time.Duration{}
	}
	l.Missing[id] = left
}

// addChangesSince adds to a list what has become known since its version Since.
func (r *roster) addChangesSince(now time.Time, l *List) {
	for _, id := range r.changedSince(l.Since) {
		u, listed := r.entries[id]
		if !listed {
			l.Removed = append(l.Removed, id)
			continue
		}
		u.Cold = r.coldRemaining(now, id)
		l.Upstreams = append(l.Upstreams, u)
	}
}

// merge takes a peer's list if it is newer. What is missing from it for the time being is
// missing here, too; what this instance has given up already isn't taken back.
func (r *roster) merge(now time.Time, l List) {
	if !r.isApplicable(l) {
		return
	}
	r.enterEpoch(now, l.Version)
	first := r.version == 0
	for _, u := range l.Upstreams {
		left, lapsed := l.Missing[u.ID]
		_, listed := r.entries[u.ID]
		switch {
		case !lapsed:
			r.put(now, u)
		case listed || first:
			r.putMissing(now, u, now.Add(left))
		}
	}
	r.mergeRemovals(now, l)
	r.version = l.Version
	r.complete = max(r.complete, l.Version)
}

// isApplicable tells whether a peer's list is newer than the one at hand, and tells all that lies between. Parts are
// of use also where the one at hand has their version and should have been like the peer's.
func (r *roster) isApplicable(l List) bool {
	switch {
	case l.Version == r.version:
		return l.Chunks != nil && r.differsAt == r.version
	case l.Version < r.version:
		return false
	case l.Chunks != nil:
		return false // there was news meanwhile
	default:
		return l.Since <= r.version
	}
}

// mergeRemovals lets vanish what a peer's list lacks.
func (r *roster) mergeRemovals(now time.Time, l List) {
	if l.Since == 0 {
		r.removeAbsent(now, l.Upstreams, l.Version, func(id string) bool { return l.Chunks == nil || inChunks(l.Chunks, id) })
		return
	}
	for _, id := range l.Removed {
		if r.entries[id].Revision <= l.Version {
			r.recordChange(now, id).notifyPeers = true
			r.removeOrMarkMissing(now, id)
		}
	}
}
