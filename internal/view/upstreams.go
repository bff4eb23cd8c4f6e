package view

import (
	"slices"
	"time"
)

// SetUpstreams implements Sink: it takes the whole list.
func (v *View) SetUpstreams(list []Upstream, revision int64, asOf time.Time) {
	v.updateList("source", func(r *roster, now time.Time) {
		r.replace(now, list, revision)
		r.prove(revision, asOf)
	})
}

// ApplyChanges implements Sink.
func (v *View) ApplyChanges(changes []Change, complete int64, asOf time.Time) {
	v.updateList("source", func(r *roster, now time.Time) {
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

// MergeUpstreams takes a peer's list if it is newer than the one at hand. One of the same
// version proves that the one at hand is as current as the peer's; it needs no upstreams. It tells
// whether the two are alike as far as is known: where they have the same version and aren't, the peer is to be
// asked for the parts that differ (see Have).
func (v *View) MergeUpstreams(l List, peer string) (alike bool) {
	if l.Version < v.ListVersion() || l.Version == 0 {
		return true
	}
	v.updateList("peer "+peer, func(r *roster, now time.Time) {
		r.merge(now, l)
		if l.Version == r.version {
			r.prove(r.complete, l.AsOf)
		}
	})
	return v.compare(l, peer)
}

// compare notes whether the list is like the one that a peer has handed over.
func (v *View) compare(l List, peer string) (alike bool) {
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
	known := r.comparedAt == r.version // what this instance knows better stays as it is
	if !known {
		r.differsAt = r.version
	}
	v.o.Metrics.Count("tacktally_lists_unlike_total")
	v.o.Log.Warn().Str("event", "lists_unlike").Int64("version", r.version).Str("peer", peer).Str("digest", r.checksums.short()).
		Int64("since", l.Since).Int("parts", len(l.Chunks)).Bool("known", known).Msg("")
	return known
}

// KnownState returns what is known of the list, for a peer that is asked for it.
func (v *View) KnownState() KnownState {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := &v.upstreams
	have := KnownState{Version: r.version}
	if r.version > 0 && r.differsAt == r.version {
		have.Checksums = slices.Clone(r.checksums.listed[:])
	}
	return have
}

// MergeSourceUptime takes a peer's word that the source was there all the time for so long. What
// is missing after an outage within it didn't lapse, but has left: an instance whose own
// connections failed would otherwise go on using it until it has settled.
func (v *View) MergeSourceUptime(steady time.Duration, peer string) {
	v.mu.Lock()
	settles := v.upstreams.settlesAt.After(v.o.Now()) || len(v.upstreams.missing) > 0
	v.mu.Unlock()
	if !settles {
		return
	}
	v.updateList("steady peer "+peer, func(r *roster, now time.Time) {
		r.dropMissingFrom(now, now.Add(v.o.SettlePeriod+v.o.LapseAfter-steady))
	})
}

// dropExpired gives up what is missing for too long.
func (v *View) dropExpired() {
	v.updateList("settled", func(r *roster, now time.Time) { r.dropExpired(now) })
}

// updateList changes the list. Who uses it is told, and the log, if anything has.
func (v *View) updateList(from string, f func(*roster, time.Time)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := &v.upstreams
	now := v.o.Now()
	version := r.version
	f(r, now)
	if next, some := r.nextSettle(); some {
		v.scheduleSettle(next)
	}
	if version > 0 && EpochOf(r.version) > EpochOf(version) {
		v.o.Log.Warn().Str("event", "source_restored").Int64("version", r.version).Int64("version_before", version).
			Dur("settling", max(r.settlesAt.Sub(now), 0)).Str("from", from).Msg("the source came back from a copy")
	}
	change, states := r.commit(now)
	if states == "" && len(change.Changed) == 0 && version == r.version {
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

// scheduleSettle lets settle be called at a time. The caller holds the lock.
func (v *View) scheduleSettle(t time.Time) {
	if v.settleTimer == nil {
		v.settleTimer = time.AfterFunc(t.Sub(v.o.Now()), v.dropExpired)
		return
	}
	v.settleTimer.Reset(t.Sub(v.o.Now()))
}

// List returns the whole list.
func (v *View) List() List { return v.ListFor(KnownState{WholeOnly: true}) }

// ListFor returns the list for a peer, by what it has.
func (v *View) ListFor(have KnownState) List {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.listFor(v.o.Now(), have)
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

// ListAge returns how long ago the read was sent that showed the list to be current last;
// known is false while there is no list.
func (v *View) ListAge() (age time.Duration, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.age(v.o.Now()), v.upstreams.version > 0
}
