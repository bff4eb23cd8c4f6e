package view

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// roster is the list of upstreams with what is missing from it for the time being.
//
// The source numbers all its changes by one revision. The list's version is the revision at
// which its content last changed, as far as this instance can know: that of a change, or that
// of the whole list that was read and found to differ. So of two lists with unlike content
// one has the higher version, and whoever has the other takes it. The highest revision of
// an entry wouldn't do: a list that loses an entry keeps it.
//
// The source stores entries as they arrive. One that its upstream wrote before another one that is
// known, and that was held up on its way, changes nothing: it would bring an upstream back that
// has said that it leaves.
//
// Upstreams renew their entries at the source; while it is away, entries lapse
// though their upstreams live. So an entry that vanishes around an outage is kept as
// missing until the source has been back for a while, and is handed to peers as such.
type roster struct {
	version        int64
	complete       int64     // revision of the source up to which changes are known
	asOf           time.Time // when the read was sent that showed the list to be current last
	entries        map[string]Upstream
	missing        map[string]time.Time // until when each may come back
	cold           map[string]time.Time // until when each is cold, by its entry
	settlesAt      time.Time            // until then, what vanishes is missing and not gone
	restoringUntil time.Time            // until then, the source may lack what it has lost
	rewritePeriod  time.Duration        // in which upstreams write their entries again after a return of the source from a copy
	departed       departures

	pending     map[string]*previousState // since the last commit, by ID
	checksums   rosterChecksums           // as of the last commit
	changes     []changeRecord            // of late, by version
	droppedUpTo int64                     // the version up to which changes aren't known any more
	differsAt   int64                     // the version that this list has, and a peer's that differs from it
	comparedAt  int64                     // the version of the list when its parts were compared with a peer's last
}

func newRoster(rewrite time.Duration) roster {
	return roster{rewritePeriod: rewrite, entries: map[string]Upstream{}, missing: map[string]time.Time{}, cold: map[string]time.Time{}, departed: departures{by: map[string]departure{}}, pending: map[string]*previousState{}}
}

func (r *roster) settleUntil(t time.Time) { r.settlesAt = t }

// enterEpoch is called with the position of a list. In a new era the source lacks what it has lost, until that is written
// again: what is missing isn't gone.
func (r *roster) enterEpoch(now time.Time, position int64) {
	if r.version == 0 || EpochOf(position) <= EpochOf(r.version) {
		return
	}
	r.restoringUntil = now.Add(r.rewritePeriod)
	if r.settlesAt.Before(r.restoringUntil) {
		r.settlesAt = r.restoringUntil
	}
}

// replace takes a whole list as the source had it at a revision. Entries that changed later
// stay as they are. A list from before the last change that is known is of no use.
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

// apply takes changes in order, which are complete up to a revision. What is older than the
// list at hand changes nothing.
func (r *roster) apply(now time.Time, changes []Change, complete int64) {
	for _, c := range changes {
		r.applyOne(now, c)
		// Also where it changed nothing: a list that was read page by page may hold it already,
		// under the version of its first page, which others have without it.
		r.version = max(r.version, c.Upstream.Revision)
	}
	r.complete = max(r.complete, complete)
}

// applyEntry takes what is published of one upstream, in place of the entry that was known when it
// was read. The version stays: nothing is known of what else has changed by then. One that is gone
// isn't taken back from peers that haven't heard.
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
		r.recordChange(now, u.ID).notifyPeers = true // the whole list had it already, under an older version
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

// put takes an entry unless a newer one is known, and tells whether anything but its
// revision has changed.
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
	warmed := (!listed || u.Revision > known.Revision) && r.updateCold(now, u)
	u.Cold = 0
	r.entries[u.ID] = u
	delete(r.missing, u.ID)
	known.Revision, known.Sequence = u.Revision, u.Sequence
	return !listed || wasMissing || warmed || known != u
}

// coldTolerance is by how much an entry may say that its upstream is cold for longer or shorter
// than was known without being news: it was on its way for so long, or less.
const coldTolerance = 250 * time.Millisecond

// updateCold takes how much longer an upstream is cold, by a new entry of it, and tells whether that
// is news.
func (r *roster) updateCold(now time.Time, u Upstream) (news bool) {
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

// putMissing takes an entry that is missing at a peer.
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

// removeAbsent lets vanish what a list lacks that is the whole of what it is to name, unless it changed
// after the list's revision.
func (r *roster) removeAbsent(now time.Time, list []Upstream, revision int64, isToName func(id string) bool) (changed bool) {
	named := make(map[string]bool, len(list))
	for _, u := range list {
		named[u.ID] = true
	}
	for id, u := range r.entries {
		if named[id] || u.Revision > revision || !isToName(id) {
			continue
		}
		if r.removeOrMarkMissing(now, id) {
			changed = true
		}
	}
	return changed
}

// removeOrMarkMissing removes an entry, or notes it as missing while the list settles. One that
// said that it leaves has left.
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

// remove removes an entry, and tells whether it was there.
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

// dropExpired gives up what is missing for too long. Nobody has said that it is gone: it may come back at any time.
func (r *roster) dropExpired(now time.Time) (gone int) {
	for id, until := range r.missing {
		if !now.Before(until) {
			r.forget(now, id)
			gone++
		}
	}
	return gone
}

// dropMissingFrom gives up what would settle at a time or later, and stops settling then.
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

// nextSettle returns when the next missing upstream is to be given up, if there is one.
func (r *roster) nextSettle() (time.Time, bool) {
	if len(r.missing) == 0 {
		return time.Time{}, false
	}
	return slices.MinFunc(slices.Collect(maps.Values(r.missing)), time.Time.Compare), true
}

// prove notes that the source was at a revision when a read was sent at asOf.
func (r *roster) prove(revision int64, asOf time.Time) {
	if revision <= r.complete && asOf.After(r.asOf) {
		r.asOf = asOf
	}
}

func (r *roster) list(now time.Time) []Upstream {
	return r.filter(now, func(Upstream) bool { return true })
}

// filter returns some of the upstreams, in order.
func (r *roster) filter(now time.Time, which func(Upstream) bool) (out []Upstream) {
	for id, u := range r.entries {
		if which(u) {
			u.Cold = r.coldRemaining(now, id)
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
