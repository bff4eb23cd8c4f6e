package view

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxNamed bounds the upstreams that one line of the log names.
const maxNamed = 12

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

// previousState is an upstream as it was before a step.
type previousState struct {
	entry       Upstream
	listed      bool
	state       state
	cold        time.Time
	notifyPeers bool // peers may not know what the step tells, though it changes nothing here
}

// recordChange notes an upstream as it was, before a step changes it for the first time. What a step costs
// grows with what it touches.
func (r *roster) recordChange(now time.Time, id string) *previousState {
	if noted := r.pending[id]; noted != nil {
		return noted
	}
	u, listed := r.entries[id]
	noted := &previousState{entry: u, listed: listed, state: r.stateOf(now, id), cold: r.cold[id]}
	r.pending[id] = noted
	return noted
}

// commit ends a step: it returns what has changed since the one before, and the states that have, in words.
func (r *roster) commit(now time.Time) (c ListChange, states string) {
	c.Version = r.version
	var named []string
	for id, before := range r.pending {
		u, listed := r.entries[id]
		after := r.stateOf(now, id)
		r.checksums.replace(before, u, after)
		if after != before.state {
			named = append(named, id+" "+string(after))
		}
		cold := r.cold[id] != before.cold
		if before.notifyPeers || cold || after != before.state || u != before.entry {
			r.logChange(id)
		}
		switch {
		case before.listed && !listed:
			c.Removed = append(c.Removed, id)
		case listed && (!before.listed || cold || !u.equalContent(before.entry)):
			u.Cold = r.coldRemaining(now, id)
			c.Changed = append(c.Changed, u)
		}
	}
	if len(r.pending) > 0 {
		r.pending = map[string]*previousState{}
	}
	slices.SortFunc(c.Changed, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(c.Removed)
	return c, formatStates(named)
}

// equalContent tells whether an entry equalContent the same of its upstream as another one.
func (u Upstream) equalContent(other Upstream) bool {
	u.Revision, u.Sequence = other.Revision, other.Sequence
	return u == other
}

// formatStates names the upstreams whose state has changed, in order, with the new one.
func formatStates(named []string) string {
	slices.Sort(named)
	if more := len(named) - maxNamed; more > 0 {
		named = append(named[:maxNamed], fmt.Sprintf("%d more", more))
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

// changeRecord is an upstream of which a step has told something.
type changeRecord struct {
	id      string
	version int64 // of the list after the step
}

// minChanges is how many of the last changes are known at least.
const minChanges = 256

// logChange notes that something is known of an upstream since the list's version of today. The oldest notes are
// dropped once there are more of them than upstreams: a whole list is smaller then.
func (r *roster) logChange(id string) {
	r.changes = append(r.changes, changeRecord{id, r.version})
	if most := max(len(r.entries), minChanges); len(r.changes) > 2*most {
		r.droppedUpTo = r.changes[len(r.changes)-most-1].version
		r.changes = slices.Clone(r.changes[len(r.changes)-most:])
	}
}

// changedSince returns the IDs of upstreams of which something has become known since a version, in order.
func (r *roster) changedSince(version int64) []string {
	first, _ := slices.BinarySearchFunc(r.changes, version+1, func(l changeRecord, from int64) int { return cmp.Compare(l.version, from) })
	ids := make(map[string]bool, len(r.changes)-first)
	for _, l := range r.changes[first:] {
		ids[l.id] = true
	}
	return slices.Sorted(maps.Keys(ids))
}
