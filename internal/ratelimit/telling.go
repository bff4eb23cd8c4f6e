package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/gossip"
)

const (
	// newFor is how long each message repeats an update that is new; others are told in turn.
	newFor = 2 * time.Second
	// mostNew, inTurn and mostKnown bound the updates in one message.
	mostNew   = 32
	inTurn    = 4
	mostKnown = 256
	// asOld is the difference in age up to which updates of unlike peers count as equally old.
	asOld = 500 * time.Millisecond
)

// Update is what instances tell each other of one process.
type Update struct {
	Process string `cbor:"1,keyasint"`
	// PerSecond is its limit, -1 where it has none any more.
	PerSecond float64 `cbor:"2,keyasint"`
	// Age of the observation.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// isSane tells whether a peer may have meant it.
func (t Update) isSane() bool {
	return t.Process != "" && t.Age >= 0 && (t.PerSecond >= 0 || t.PerSecond == noLimit) && !math.IsInf(t.PerSecond, 1)
}

// Merge takes what a peer tells, and returns the processes whose limits have changed.
func (b *Registry) Merge(now time.Time, peer string, all []Update) (changed []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range all {
		if t.isSane() && b.learn(now, peer, t) {
			changed = append(changed, t.Process)
		}
	}
	return changed
}

// learn takes one update. The caller holds the lock.
func (b *Registry) learn(now time.Time, peer string, t Update) (changed bool) {
	perSecond := t.PerSecond
	if perSecond == noLimit {
		perSecond = math.Inf(1)
	}
	known, heard := b.by[t.Process], now.Add(-t.Age)
	switch {
	case known == nil:
		return !math.IsInf(perSecond, 1) && b.put(now, peer, t.Process, perSecond, heard)
	case heard.Sub(known.heard) > asOld:
		return b.put(now, peer, t.Process, perSecond, heard)
	case known.heard.Sub(heard) <= asOld && perSecond < known.perSecond:
		return b.put(now, peer, t.Process, perSecond, known.heard)
	default:
		return false
	}
}

// NextUpdates returns what peers are to be told now: what is new, and of the rest some in turn, so that one that knows
// nothing hears of all.
func (b *Registry) NextUpdates(now time.Time) []Update {
	all := b.All(now)
	rest := slices.IndexFunc(all, func(t Update) bool { return t.Age >= newFor })
	if rest < 0 {
		rest = len(all)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return gossip.Select(all[:rest], all[rest:], mostNew, inTurn, &b.turn)
}

// All returns what is known, the newest first.
func (b *Registry) All(now time.Time) []Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Update
	for process, e := range b.by {
		all = append(all, Update{Process: process, PerSecond: encode(e.perSecond), Age: now.Sub(e.heard)})
	}
	slices.SortFunc(all, func(a, b Update) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Process, b.Process))
	})
	return all[:min(len(all), mostKnown)]
}
