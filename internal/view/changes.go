package view

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// mostNamed bounds the upstreams that one line of the log names.
const mostNamed = 12

// ListChange is what one step has changed of the list.
type ListChange struct {
	// Version of the list now. It may have risen though nothing else has changed.
	Version int64
	// Changed upstreams are new on the list, or something is said of them that wasn't before.
	Changed []Upstream
	// Removed are the IDs of those that aren't on the list any more.
	Removed []string
}

// state is what a list says of one upstream, as logs show it.
type state string

// The states of an upstream.
const (
	unlisted state = "gone"
	listed   state = "ready"
	leaving  state = "leaving"
	lapsed   state = "missing"
	cold     state = "cold"
)

// former is an upstream as it was before a step.
type former struct {
	entry  Upstream
	listed bool
	state  state
	cold   time.Time
	news   bool // peers may not know what the step tells, though it changes nothing here
}

// touch notes an upstream as it was, before a step changes it for the first time. What a step costs
// grows with what it touches.
func (r *roster) touch(now time.Time, id string) *former {
	if noted := r.touched[id]; noted != nil {
		return noted
	}
	u, listed := r.entries[id]
	noted := &former{entry: u, listed: listed, state: r.stateOf(now, id), cold: r.cold[id]}
	r.touched[id] = noted
	return noted
}

// commit ends a step: it returns what has changed since the one before, and the states that have, in words.
func (r *roster) commit(now time.Time) (c ListChange, states string) {
	c.Version = r.version
	var named []string
	for id, before := range r.touched {
		u, listed := r.entries[id]
		after := r.stateOf(now, id)
		r.sums.replace(before, u, after)
		if after != before.state {
			named = append(named, id+" "+string(after))
		}
		cold := r.cold[id] != before.cold
		if before.news || cold || after != before.state || u != before.entry {
			r.log(id)
		}
		switch {
		case before.listed && !listed:
			c.Removed = append(c.Removed, id)
		case listed && (!before.listed || cold || !u.says(before.entry)):
			u.Cold = r.coldFor(now, id)
			c.Changed = append(c.Changed, u)
		}
	}
	if len(r.touched) > 0 {
		r.touched = map[string]*former{}
	}
	slices.SortFunc(c.Changed, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(c.Removed)
	return c, inWords(named)
}

// says tells whether an entry says the same of its upstream as another one.
func (u Upstream) says(other Upstream) bool {
	u.Revision, u.Sequence = other.Revision, other.Sequence
	return u == other
}

// inWords names the upstreams whose state has changed, in order, with the new one.
func inWords(named []string) string {
	slices.Sort(named)
	if more := len(named) - mostNamed; more > 0 {
		named = append(named[:mostNamed], fmt.Sprintf("%d more", more))
	}
	return strings.Join(named, ", ")
}

func (r *roster) stateOf(now time.Time, id string) state {
	u, known := r.entries[id]
	_, missing := r.missing[id]
	switch {
	case !known:
		return unlisted
	case missing:
		return lapsed
	case u.Leaving:
		return leaving
	case now.Before(r.cold[id]):
		return cold
	default:
		return listed
	}
}

// age is the time since the list was shown to be current last, 0 if it never was.
func (r *roster) age(now time.Time) time.Duration {
	if r.asOf.IsZero() {
		return 0
	}
	return now.Sub(r.asOf)
}

// logged is an upstream of which a step has told something.
type logged struct {
	id      string
	version int64 // of the list after the step
}

// leastLogged is how many of the last changes are known at least.
const leastLogged = 256

// log notes that something is known of an upstream since the list's version of today. The oldest notes are
// dropped once there are more of them than upstreams: a whole list is smaller then.
func (r *roster) log(id string) {
	r.changes = append(r.changes, logged{id, r.version})
	if most := max(len(r.entries), leastLogged); len(r.changes) > 2*most {
		r.forgotten = r.changes[len(r.changes)-most-1].version
		r.changes = slices.Clone(r.changes[len(r.changes)-most:])
	}
}

// changedSince returns the IDs of upstreams of which something has become known since a version, in order.
func (r *roster) changedSince(version int64) []string {
	first, _ := slices.BinarySearchFunc(r.changes, version+1, func(l logged, from int64) int { return cmp.Compare(l.version, from) })
	ids := make(map[string]bool, len(r.changes)-first)
	for _, l := range r.changes[first:] {
		ids[l.id] = true
	}
	return slices.Sorted(maps.Keys(ids))
}
