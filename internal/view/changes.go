package view

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// CurrentListAge is the age up to which a list counts as current. It is twice the longest default of routed.proveEvery, so
// that one proof may be late.
const CurrentListAge = 3 * time.Second

// maxNamed is the number of upstreams that one log line names at most.
const maxNamed = 12

// ListChange is the difference that one update has made to the list.
type ListChange struct {
	// Version of the list after the update. It may have risen though nothing else has changed.
	Version int64
	// Changed upstreams are new on the list, or their entries have new content.
	Changed []Upstream
	// Removed are the IDs of upstreams that are no longer on the list.
	Removed []string
	// Gap is the age of the list before the update, if it wasn't current any more: what came and left within that time
	// isn't known. 0 if the list was current, or if the source has shown that nothing changed meanwhile.
	Gap time.Duration
}

// state is the state of one upstream on the list, as logs show it.
type state string

// The states of an upstream.
const (
	unlisted state = "gone"
	listed   state = "ready"
	leaving  state = "leaving"
	lapsed   state = "missing"
	cold     state = "cold"
)

// previousState is an upstream as it was before an update.
type previousState struct {
	entry       Upstream
	listed      bool
	state       state
	cold        time.Time
	notifyPeers bool // peers may lack the change, though it changes nothing here
}

// recordChange records an upstream as it was, before an update changes it for the first time. The
// cost of an update grows with the number of upstreams recorded.
func (r *roster) recordChange(now time.Time, id string) *previousState {
	if noted := r.pending[id]; noted != nil {
		return noted
	}
	u, listed := r.entries[id]
	noted := &previousState{entry: u, listed: listed, state: r.stateOf(now, id), cold: r.cold[id]}
	r.pending[id] = noted
	return noted
}

// commit ends an update. It returns what has changed since the previous commit, and the changed
// states as text for the log.
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

// equalContent reports whether two entries are equal but for their revision and sequence number.
func (u Upstream) equalContent(other Upstream) bool {
	u.Revision, u.Sequence = other.Revision, other.Sequence
	return u == other
}

// formatStates lists the upstreams whose state has changed in order, each with its new state.
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

// age returns the time since the list was last shown to be current, 0 if it never was.
func (r *roster) age(now time.Time) time.Duration {
	if r.asOf.IsZero() {
		return 0
	}
	return now.Sub(r.asOf)
}

// changeRecord records that an update concerned an upstream.
type changeRecord struct {
	id      string
	version int64 // of the list after the update
}

// minChanges is the number of recent changes that are always kept.
const minChanges = 256

// logChange appends an upstream to the change log, at the current version of the list. Once there are
// more than twice as many records as upstreams, and more than twice minChanges, the oldest are
// dropped: the whole list is then smaller than the changes.
func (r *roster) logChange(id string) {
	r.changes = append(r.changes, changeRecord{id, r.version})
	if keep := max(len(r.entries), minChanges); len(r.changes) > 2*keep {
		r.droppedUpTo = r.changes[len(r.changes)-keep-1].version
		r.changes = slices.Clone(r.changes[len(r.changes)-keep:])
	}
}

// changedSince returns the IDs of the upstreams in the change log after a version, in order.
func (r *roster) changedSince(version int64) []string {
	first, _ := slices.BinarySearchFunc(r.changes, version+1, func(l changeRecord, from int64) int { return cmp.Compare(l.version, from) })
	ids := make(map[string]bool, len(r.changes)-first)
	for _, l := range r.changes[first:] {
		ids[l.id] = true
	}
	return slices.Sorted(maps.Keys(ids))
}
