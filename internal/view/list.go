package view

import "time"

// List is the list of upstreams, or a portion of it, as one instance sends it to another.
type List struct {
	// Version is the source's revision at which the content last changed. Of two lists with
	// different content one has the higher version; 0 is none.
	Version int64
	// AsOf is when the read was sent that last showed the list to be current.
	AsOf time.Time
	// Since is the version after which Upstreams and Removed are all changes; 0 where Upstreams is
	// the whole list, or all upstreams of Chunks.
	Since int64
	// Chunks are the chunks whose upstreams Upstreams contains; nil where it is the whole list, or
	// the changes since a version.
	Chunks    []int
	Upstreams []Upstream
	// Removed are the IDs of upstreams that have left the list after version Since.
	Removed []string
	// Missing are those of Upstreams that lapsed around an outage of the source, by ID, with the
	// time in which they may still come back.
	Missing map[string]time.Duration
	// Digest of the whole list of that version; 0 where the peer doesn't send it.
	Digest uint64
}

// KnownState is what an instance that requests a list has already.
type KnownState struct {
	// Version of its list, 0 without one.
	Version int64
	// WholeOnly is set by an instance that accepts whole lists only.
	WholeOnly bool
	// Checksums of its list, where that differs from a peer's of the same version.
	Checksums []uint64
}

// listFor returns the list to send to a peer that has the given state. A peer that has the list of
// this version gets no upstreams.
func (r *roster) listFor(now time.Time, known KnownState) List {
	l := List{Version: r.version, AsOf: r.asOf, Digest: r.checksums.listed.Digest()}
	switch {
	case known.Version > r.version:
	case known.Version == r.version && len(known.Checksums) > 0:
		l.Chunks = r.checksums.listed.differingChunks(known.Checksums)
		l.Upstreams = r.filter(now, func(u Upstream) bool { return inChunks(l.Chunks, u.ID) })
	case known.Version == r.version:
	case known.WholeOnly, known.Version == 0, known.Version < r.droppedUpTo:
		l.Upstreams = r.list(now)
	default:
		l.Since = known.Version
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

// addChangesSince adds the changes after the version Since to a list.
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

// merge merges a peer's list if it is newer. Upstreams that are missing at the peer become missing
// here, too; those that this instance has already dropped are not added again.
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

// isApplicable reports whether a peer's list is newer than this one and contains all changes in
// between. Chunks apply also where this list has the same version but a different digest.
func (r *roster) isApplicable(l List) bool {
	switch {
	case l.Version == r.version:
		return l.Chunks != nil && r.differsAt == r.version
	case l.Version < r.version:
		return false
	case l.Chunks != nil:
		return false // chunks complete a list of their own version only
	default:
		return l.Since <= r.version
	}
}

// mergeRemovals removes the upstreams that a peer's list lacks.
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
