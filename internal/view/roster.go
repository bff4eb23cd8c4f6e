package view

import (
	"cmp"
	"slices"
	"time"
)

// roster is the list of upstreams with what is missing from it for the time being.
//
// Upstreams renew their entries at the source; while it is away, entries lapse
// though their upstreams live. So an entry that vanishes around an outage is kept as
// missing until the source has been back for a while.
type roster struct {
	revision int64
	complete int64     // revision of the source up to which changes are known
	asOf     time.Time // when the read was sent that showed the list to be current last
	entries  map[string]Upstream
	missing  map[string]bool
	settles  time.Time // until then, what vanishes is missing and not gone
}

func newRoster() roster {
	return roster{entries: map[string]Upstream{}, missing: map[string]bool{}}
}

func (r *roster) settleBy(t time.Time) { r.settles = t }

// replace takes a whole list that is complete up to a revision. Entries that changed
// later stay as they are.
func (r *roster) replace(now time.Time, list []Upstream, revision int64) {
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		r.put(u)
	}
	for id, u := range r.entries {
		if !listed[id] && u.Revision <= revision {
			r.vanish(now, id)
		}
	}
	r.revision = max(r.revision, revision)
}

// apply takes changes in order. What is older than the list at hand changes nothing.
func (r *roster) apply(now time.Time, changes []Change) {
	for _, c := range changes {
		u := c.Upstream
		known, listed := r.entries[u.ID]
		switch {
		case listed && u.Revision < known.Revision:
		case !listed && u.Revision <= r.revision:
		case c.Gone:
			r.vanish(now, u.ID)
		default:
			r.put(u)
		}
		r.revision = max(r.revision, u.Revision)
	}
}

func (r *roster) put(u Upstream) {
	if u.Revision < r.entries[u.ID].Revision {
		return
	}
	r.entries[u.ID] = u
	delete(r.missing, u.ID)
}

// vanish removes an entry, or notes it as missing while the list settles. One that
// said that it leaves has left.
func (r *roster) vanish(now time.Time, id string) {
	u, known := r.entries[id]
	if !known {
		return
	}
	if now.Before(r.settles) && !u.Leaving {
		r.missing[id] = true
		return
	}
	delete(r.entries, id)
	delete(r.missing, id)
}

// settle gives up what is still missing once the time for it is over.
func (r *roster) settle(now time.Time) (gone int) {
	if now.Before(r.settles) {
		return 0
	}
	gone = len(r.missing)
	for id := range r.missing {
		delete(r.entries, id)
	}
	clear(r.missing)
	return gone
}

func (r *roster) list() []Upstream {
	out := make([]Upstream, 0, len(r.entries))
	for _, u := range r.entries {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// prove notes that the source was at a revision when a read was sent at asOf.
func (r *roster) prove(revision int64, asOf time.Time) {
	if revision <= r.complete && asOf.After(r.asOf) {
		r.asOf = asOf
	}
}

// Upstreams implements Sink: it takes the whole list. Its revision is that of the
// newest entry.
func (v *View) Upstreams(list []Upstream, complete int64, asOf time.Time) {
	revision := v.ListRevision()
	for _, u := range list {
		revision = max(revision, u.Revision)
	}
	v.change("source", func(r *roster, now time.Time) {
		r.replace(now, list, revision)
		r.complete = max(r.complete, complete)
		r.prove(complete, asOf)
	})
}

// Changes implements Sink.
func (v *View) Changes(changes []Change, complete int64, asOf time.Time) {
	if len(changes) == 0 {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.upstreams.complete = max(v.upstreams.complete, complete)
		return
	}
	v.change("source", func(r *roster, now time.Time) {
		r.apply(now, changes)
		r.complete = max(r.complete, complete)
		r.prove(complete, asOf)
	})
}

// Current implements Sink.
func (v *View) Current(revision int64, asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.prove(revision, asOf)
}

// LearnUpstreams takes a peer's list if it is newer than the one at hand.
func (v *View) LearnUpstreams(list []Upstream, revision int64, peer string) {
	if revision <= v.ListRevision() {
		return
	}
	v.change("peer "+peer, func(r *roster, now time.Time) {
		if revision > r.revision {
			r.replace(now, list, revision)
		}
	})
}

// settle is called when the time for missing upstreams to come back is over.
func (v *View) settle() {
	v.change("settled", func(r *roster, now time.Time) { r.settle(now) })
}

func (v *View) change(from string, f func(*roster, time.Time)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := &v.upstreams
	before := r.states()
	f(r, time.Now())
	list := r.list()
	v.o.Log.Info().Str("event", "upstreams").Int64("revision", r.revision).Int64("complete", r.complete).
		Dur("age", r.age()).Int("count", len(list)).Int("missing", len(r.missing)).
		Str("changed", differences(before, r.states())).Str("from", from).Msg("")
	if v.o.OnUpstreams != nil {
		v.o.OnUpstreams(List{Version: r.revision, Upstreams: list})
	}
}

// List returns the list for a peer.
func (v *View) List() List {
	v.mu.Lock()
	defer v.mu.Unlock()
	return List{Version: v.upstreams.revision, Upstreams: v.upstreams.list()}
}

// ListAge returns how long ago the read was sent that showed the list to be current last; 0
// while there is no list.
func (v *View) ListAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.age()
}

// ListRevision returns the revision of the list, 0 while there is none.
func (v *View) ListRevision() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.revision
}
