package view

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// roster is the list of upstreams, including those that are missing from it for the time being.
//
// The source numbers all its changes by one revision. The list's version is the revision at which its
// content last changed, as far as this instance can know: that of a change, or that of a whole list
// that was read and found to differ. So of two lists with different content one has the higher
// version, and an instance with the other one merges it. The highest revision of an entry would not
// do as the version: it stays the same when the list loses another entry.
//
// The source stores entries in the order in which they arrive. An entry that was delayed, so that it
// arrives after one that its upstream wrote later, changes nothing: it would list an upstream as
// available again that has announced that it leaves.
//
// Upstreams renew their entries at the source. During an outage of the source, entries lapse though
// their upstreams are running. So an entry that is removed around an outage is kept as missing until
// the source has been back for a while, and is sent to peers as missing.
type roster struct {
	version  int64
	complete int64     // revision of the source up to which changes are known
	asOf     time.Time // when the read was sent that last showed the list to be current
	entries  map[string]Upstream
	missing  map[string]time.Time // until when each may come back
	cold     map[string]time.Time // until when each is cold, by its entry

	settlesAt      time.Time     // until then, removed entries are kept as missing
	restoringUntil time.Time     // until then, the source may lack entries that a restore lost
	rewritePeriod  time.Duration // in which upstreams write their entries again after a restore of the source
	departed       departures

	pending     map[string]*previousState // changed since the last commit, by ID
	checksums   rosterChecksums           // as of the last commit
	changes     []changeRecord            // the change log, by version
	droppedUpTo int64                     // the change log lacks this version and those before it
	differsAt   int64                     // the version at which this list differs from a peer's of the same version
	comparedAt  int64                     // the version at which chunks were last compared with a peer's
}

func newRoster(rewrite time.Duration) roster {
	return roster{rewritePeriod: rewrite, entries: map[string]Upstream{}, missing: map[string]time.Time{}, cold: map[string]time.Time{}, departed: departures{by: map[string]departure{}}, pending: map[string]*previousState{}}
}

func (r *roster) settleUntil(t time.Time) { r.settlesAt = t }

// enterEpoch handles the position of a received list. In a new epoch the source lacks the entries
// that the restore lost, until they are written again: upstreams absent from it are missing, not
// removed.
func (r *roster) enterEpoch(now time.Time, position int64) {
	if r.version == 0 || EpochOf(position) <= EpochOf(r.version) {
		return
	}
	r.restoringUntil = now.Add(r.rewritePeriod)
	if r.settlesAt.Before(r.restoringUntil) {
		r.settlesAt = r.restoringUntil
	}
}

// replace sets the whole list as the source had it at a revision. Entries that changed later stay as
// they are. A list older than the last known change is ignored.
func (r *roster) replace(now time.Time, list []Upstream, revision int64) {
	if revision < r.version {
		return
	}
	r.enterEpoch(now, revision)
	changed := r.putAll(now, list)
	if r.removeAbsent(now, list, revision, func(string) bool { return true }) {
		changed = true
	}
	if changed {
		r.version = revision
	}
	r.complete = max(r.complete, revision)
}

// apply applies changes in order, which are complete up to a revision. Changes older than the list
// have no effect on it.
func (r *roster) apply(now time.Time, changes []Change, complete int64) {
	for _, c := range changes {
		r.applyOne(now, c)
		// The version rises also where the change had no effect: a list that was read page by page
		// may contain it already, under the version of its first page, at which peers lack it.
		r.version = max(r.version, c.Upstream.Revision)
	}
	r.complete = max(r.complete, complete)
}

// applyEntry applies the published entry of one upstream, unless the known entry has changed since
// the read began. The version stays, since other changes up to it are not known. An upstream removed
// here is not added again by peers that haven't received the change.
func (r *roster) applyEntry(now time.Time, known Upstream, c Change) {
	if r.entries[known.ID] != known || EpochOf(c.Upstream.Revision) != EpochOf(r.version) {
		return
	}
	switch {
	case c.Unreadable:
		r.remove(now, known.ID)
	case c.Removed:
		r.removeOrMarkMissing(now, known.ID)
	default:
		r.put(now, c.Upstream)
	}
	if _, listed := r.entries[known.ID]; !listed {
		r.departed.record(now, known, true, EpochOf(r.version))
	}
}

func (r *roster) applyOne(now time.Time, c Change) {
	u := c.Upstream
	known, listed := r.entries[u.ID]
	switch {
	case listed && u.Revision <= known.Revision:
		r.recordChange(now, u.ID).notifyPeers = true // the whole list contained it already, under an older version
	case !listed && u.Revision <= r.complete:
	case c.Unreadable:
		r.recordChange(now, u.ID).notifyPeers = true
		r.remove(now, u.ID)
	case c.Removed:
		r.recordChange(now, u.ID).notifyPeers = true // peers may list it also where this instance doesn't
		r.removeOrMarkMissing(now, u.ID)
	default:
		r.put(now, u)
	}
}

func (r *roster) putAll(now time.Time, list []Upstream) (changed bool) {
	for _, u := range list {
		if r.put(now, u) {
			changed = true
		}
	}
	return changed
}

// put stores an entry unless a newer one is known. It reports whether anything but the revision and
// the sequence number has changed.
func (r *roster) put(now time.Time, u Upstream) (changed bool) {
	known, listed := r.entries[u.ID]
	switch {
	case u.Revision < known.Revision:
		return false
	case listed && u.writtenBefore(known):
		known.Revision = u.Revision
		u = known
	case !listed && r.departed.rejects(now, u):
		return false
	}
	r.recordChange(now, u.ID)
	_, wasMissing := r.missing[u.ID]
	coldChanged := (!listed || u.Revision > known.Revision) && r.updateCold(now, u)
	u.Cold = 0
	r.entries[u.ID] = u
	delete(r.missing, u.ID)
	known.Revision, known.Sequence = u.Revision, u.Sequence
	return !listed || wasMissing || coldChanged || known != u
}

// coldTolerance is the largest difference between the known and the received end of a cold start
// that doesn't count as a change: entries give the remaining time, and may be delayed by as much.
const coldTolerance = 250 * time.Millisecond

// updateCold records until when an upstream is cold by its new entry. It reports whether that has
// changed by more than coldTolerance.
func (r *roster) updateCold(now time.Time, u Upstream) (changed bool) {
	known, wasCold := r.cold[u.ID]
	wasCold = wasCold && now.Before(known)
	if u.Cold <= 0 {
		delete(r.cold, u.ID)
		return wasCold && known.Sub(now) > coldTolerance
	}
	until := now.Add(u.Cold)
	r.cold[u.ID] = until
	return !wasCold || until.Sub(known).Abs() > coldTolerance
}

// coldRemaining returns how much longer an upstream is cold.
func (r *roster) coldRemaining(now time.Time, id string) time.Duration {
	return max(r.cold[id].Sub(now), 0)
}

// putMissing stores an entry that is missing at a peer, unless a newer one is known. It stays missing
// until the earlier of the given time and the known one.
func (r *roster) putMissing(now time.Time, u Upstream, until time.Time) {
	known, listed := r.entries[u.ID]
	if u.Revision < known.Revision {
		return
	}
	r.recordChange(now, u.ID)
	if !listed || u.Revision > known.Revision {
		r.updateCold(now, u)
	}
	u.Cold = 0
	r.entries[u.ID] = u
	if at, missing := r.missing[u.ID]; !missing || until.Before(at) {
		r.missing[u.ID] = until
	}
}

// removeAbsent removes the entries that a list lacks, among those in its scope, or marks them as
// missing. Entries that changed after the list's revision stay.
func (r *roster) removeAbsent(now time.Time, list []Upstream, revision int64, inScope func(id string) bool) (changed bool) {
	named := make(map[string]bool, len(list))
	for _, u := range list {
		named[u.ID] = true
	}
	for id, u := range r.entries {
		if named[id] || u.Revision > revision || !inScope(id) {
			continue
		}
		if r.removeOrMarkMissing(now, id) {
			changed = true
		}
	}
	return changed
}

// removeOrMarkMissing removes an entry, or marks it as missing while the list settles. An upstream
// that announced that it leaves is removed in any case.
func (r *roster) removeOrMarkMissing(now time.Time, id string) (changed bool) {
	u, listed := r.entries[id]
	if !listed {
		return false
	}
	if now.Before(r.settlesAt) && !u.Leaving {
		_, already := r.missing[id]
		if !already {
			r.recordChange(now, id)
			r.missing[id] = r.settlesAt
		}
		return !already
	}
	return r.remove(now, id)
}

// remove removes an entry, records it as a departure, and reports whether it was listed.
func (r *roster) remove(now time.Time, id string) (changed bool) {
	u, listed := r.entries[id]
	if listed {
		r.departed.record(now, u, u.Leaving, EpochOf(r.version))
	}
	r.forget(now, id)
	return listed
}

// forget drops all that is known of an upstream.
func (r *roster) forget(now time.Time, id string) {
	r.recordChange(now, id)
	delete(r.entries, id)
	delete(r.missing, id)
	delete(r.cold, id)
}

// dropExpired drops the missing upstreams whose time to come back has passed. They aren't departures:
// no change has reported them as removed, so they may come back at any time.
func (r *roster) dropExpired(now time.Time) (gone int) {
	for id, until := range r.missing {
		if !now.Before(until) {
			r.forget(now, id)
			gone++
		}
	}
	return gone
}

// dropMissingFrom drops the upstreams that may come back until the given time or later, and ends
// settling if it would last until then. It does nothing while a restore may have lost entries.
func (r *roster) dropMissingFrom(now, from time.Time) {
	if now.Before(r.restoringUntil) {
		return
	}
	for id, until := range r.missing {
		if !until.Before(from) {
			r.forget(now, id)
		}
	}
	if !r.settlesAt.Before(from) {
		r.settlesAt = time.Time{}
	}
}

// nextSettle returns when the next missing upstream must be dropped, if there is one.
func (r *roster) nextSettle() (time.Time, bool) {
	if len(r.missing) == 0 {
		return time.Time{}, false
	}
	return slices.MinFunc(slices.Collect(maps.Values(r.missing)), time.Time.Compare), true
}

// prove records that a read sent at asOf showed the source at a revision. A list that is complete up
// to it is current as of then.
func (r *roster) prove(revision int64, asOf time.Time) {
	if revision <= r.complete && asOf.After(r.asOf) {
		r.asOf = asOf
	}
}

func (r *roster) list(now time.Time) []Upstream {
	return r.filter(now, func(Upstream) bool { return true })
}

// filter returns the upstreams that a condition holds for, ordered by ID.
func (r *roster) filter(now time.Time, include func(Upstream) bool) (out []Upstream) {
	for id, u := range r.entries {
		if include(u) {
			u.Cold = r.coldRemaining(now, id)
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
