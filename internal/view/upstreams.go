package view

import (
	"slices"
	"time"
)

// fromSource names the source in logs.
const fromSource = "source"

// SetUpstreams implements Sink. It sets the whole list as of a revision.
func (v *View) SetUpstreams(list []Upstream, revision int64, asOf time.Time) {
	v.updateList(fromSource, func(r *roster, now time.Time) {
		v.countOlder(revision)
		r.replace(now, list, revision)
		r.prove(revision, asOf)
	})
}

// ApplyChanges implements Sink.
func (v *View) ApplyChanges(changes []Change, complete int64, asOf time.Time) {
	v.updateList(fromSource, func(r *roster, now time.Time) {
		r.apply(now, changes, complete)
		r.prove(complete, asOf)
	})
}

// ProveCurrent implements Sink.
func (v *View) ProveCurrent(revision int64, asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.prove(revision, asOf)
}

// MergeUpstreams merges a peer's list if it is newer than this one. A list of the same version needs
// no upstreams: it shows that this list is as current as the peer's. MergeUpstreams reports whether
// the two are identical as far as is known. If it returns false, they differ though they have the
// same version, and the differing chunks should be requested from the peer (see KnownState).
func (v *View) MergeUpstreams(l List, peer string) (identical bool) {
	if l.Version == 0 {
		return true
	}
	v.updateList("peer "+peer, func(r *roster, now time.Time) {
		v.countOlder(l.Version)
		r.merge(now, l)
		if l.Version == r.version {
			r.prove(r.complete, l.AsOf)
		}
	})
	return v.compare(l, peer)
}

// countOlder counts a received list if it is older than the one in use. The caller holds the lock.
func (v *View) countOlder(version int64) {
	if version < v.upstreams.version {
		v.o.Metrics.Count("tacktally_lists_older_total")
	}
}

// compare records and reports whether the list is identical to the one that a peer sent.
func (v *View) compare(l List, peer string) (identical bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := &v.upstreams
	if l.Digest == 0 || l.Version != r.version {
		return true
	}
	r.differsAt = 0
	compared := r.comparedAt == r.version && l.Chunks == nil
	if compared || l.Digest == r.checksums.listed.Digest() {
		return true
	}
	if l.Chunks != nil {
		r.comparedAt = r.version
	}
	known := r.comparedAt == r.version // the remaining differences are newer entries of this instance
	if !known {
		r.differsAt = r.version
	}
	v.o.Metrics.Count("tacktally_lists_unlike_total")
	v.o.Log.Warn().Str("event", "lists_unlike").Int64("version", r.version).Str("peer", peer).Str("digest", r.checksums.short()).
		Int64("since", l.Since).Int("parts", len(l.Chunks)).Bool("known", known).Msg("")
	return known
}

// KnownState returns what is known of the list, to be sent to a peer with a request for its list.
func (v *View) KnownState() KnownState {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := &v.upstreams
	known := KnownState{Version: r.version}
	if r.version > 0 && r.differsAt == r.version {
		known.Checksums = slices.Clone(r.checksums.listed[:])
	}
	return known
}

// MergeSourceUptime merges a peer's report that it has reached the source without interruption for a
// duration. Upstreams missing after an outage within that duration haven't lapsed, but were removed:
// an instance whose own connections failed would otherwise keep using them until its list has settled.
func (v *View) MergeSourceUptime(uptime time.Duration, peer string) {
	v.mu.Lock()
	settles := v.upstreams.settlesAt.After(v.o.Now()) || len(v.upstreams.missing) > 0
	v.mu.Unlock()
	if !settles {
		return
	}
	v.updateList("steady peer "+peer, func(r *roster, now time.Time) {
		r.dropMissingFrom(now, now.Add(v.o.SettlePeriod+v.o.LapseAfter-uptime))
	})
}

// dropExpired drops the missing upstreams whose time to come back has passed.
func (v *View) dropExpired() {
	v.updateList("settled", func(r *roster, now time.Time) { r.dropExpired(now) })
}

// updateList applies a function to the list, and logs and reports the difference if there is one.
func (v *View) updateList(from string, f func(*roster, time.Time)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := &v.upstreams
	now := v.o.Now()
	version, complete, age := r.version, r.complete, r.age(now)
	f(r, now)
	if next, found := r.nextSettle(); found {
		v.scheduleSettle(next)
	}
	if version > 0 && EpochOf(r.version) > EpochOf(version) {
		v.o.Log.Warn().Str("event", "source_restored").Int64("version", r.version).Int64("version_before", version).
			Dur("settling", max(r.settlesAt.Sub(now), 0)).Str("from", from).Msg("the source was restored from a copy; upstreams absent from it count as missing while the list settles")
	}
	change, states := r.commit(now)
	unchanged := from == fromSource && complete == r.complete
	if age > CurrentListAge && r.age(now) < age && !unchanged {
		change.Gap = age
	}
	if change.Gap == 0 && states == "" && len(change.Changed) == 0 && version == r.version {
		return
	}
	v.o.Log.Info().Str("event", "upstreams").Int64("version", r.version).Int64("complete", r.complete).
		Dur("age", r.age(now)).Int("count", len(r.entries)).Int("missing", len(r.missing)).
		Dur("settling", max(r.settlesAt.Sub(v.o.Now()), 0)).Str("digest", r.checksums.short()).
		Str("changed", states).Str("from", from).Msg("")
	if v.o.OnUpstreams != nil {
		v.o.OnUpstreams(change)
	}
}

// scheduleSettle sets the timer that drops expired missing upstreams. The caller holds the lock.
func (v *View) scheduleSettle(t time.Time) {
	if v.settleTimer == nil {
		v.settleTimer = time.AfterFunc(t.Sub(v.o.Now()), v.dropExpired)
		return
	}
	v.settleTimer.Reset(t.Sub(v.o.Now()))
}

// List returns the whole list.
func (v *View) List() List { return v.ListFor(KnownState{WholeOnly: true}) }

// ListFor returns the list to send to a peer that has the given state: only the changes, where that
// is enough.
func (v *View) ListFor(known KnownState) List {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.listFor(v.o.Now(), known)
}

// ListCount returns how many upstreams are on the list.
func (v *View) ListCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.upstreams.entries)
}

// ListVersion returns the version of the list, 0 while there is none.
func (v *View) ListVersion() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.version
}

// ListAge returns how long ago the read was sent that last showed the list to be current; known is
// false while there is no list.
func (v *View) ListAge() (age time.Duration, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.age(v.o.Now()), v.upstreams.version > 0
}
