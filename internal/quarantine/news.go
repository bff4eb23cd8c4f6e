package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Update is what instances tell each other. Times are ages, since clocks differ.
type Update struct {
	Crashes []CrashRecord   `cbor:"1,keyasint,omitempty"`
	Quarantined    []QuarantineRecord    `cbor:"2,keyasint,omitempty"`
	Cleared []ClearedRecord `cbor:"3,keyasint,omitempty"`
}

// CrashRecord is the end of an upstream's process and who was there.
type CrashRecord struct {
	Upstream string        `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
	// Unanswered and Answering are the requests that were there.
	Unanswered []Key `cbor:"3,keyasint,omitempty"`
	Responding  []Key `cbor:"4,keyasint,omitempty"`
}

// QuarantineRecord is a request that is held back.
type QuarantineRecord struct {
	Key Key `cbor:"1,keyasint"`
	// Remaining of its term; below 0 once it is over.
	Remaining time.Duration `cbor:"2,keyasint"`
	// PeriodCount of its terms, and Clearings that were known as this one began.
	PeriodCount     int `cbor:"3,keyasint"`
	ClearingCount int `cbor:"4,keyasint,omitempty"`
}

// ClearedRecord is a request that was suspected and has been answered.
type ClearedRecord struct {
	Key Key           `cbor:"1,keyasint"`
	Age time.Duration `cbor:"2,keyasint"`
	// ClearingCount of its clearings.
	ClearingCount int `cbor:"3,keyasint"`
}

const (
	// newFor is how long each message repeats what is new; the rest is told in turn.
	newFor = 1500 * time.Millisecond
	// toldCrashes, toldHeld and toldCleared bound what is new in one message, and toldInTurn what
	// isn't.
	toldCrashes = 6
	toldHeld    = 12
	toldCleared = 12
	toldInTurn  = 1
)

// Bounds of a message from a peer: twice what is told.
const (
	maxToldCrashes = 2 * (toldCrashes + toldInTurn)
	maxToldKeys    = 2 * maxSuspects
)

// IsValid tells whether a peer can have told this.
func (n *Update) IsValid() bool {
	if len(n.Crashes) > maxToldCrashes || len(n.Quarantined) > maxToldKeys || len(n.Cleared) > maxToldKeys {
		return false
	}
	return !slices.ContainsFunc(n.Crashes, func(c CrashRecord) bool {
		return c.Upstream == "" || c.Age < 0 || len(c.Unanswered) > maxToldKeys || len(c.Responding) > maxToldKeys
	}) && !slices.ContainsFunc(n.Quarantined, func(h QuarantineRecord) bool {
		return h.PeriodCount < 1 || h.ClearingCount < 0 || h.Remaining > longestTerm || h.Remaining < -2*longestTerm
	}) && !slices.ContainsFunc(n.Cleared, func(c ClearedRecord) bool { return c.Age < 0 || c.ClearingCount < 1 })
}

// NextUpdate returns what peers are to be told now: what is new, and of the rest some in turn, so that one
// that knows nothing hears of all. It is nil where there is nothing.
func (b *Registry) NextUpdate(now time.Time) *Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	b.judge(now)
	if len(b.crashes) == 0 && len(b.held) == 0 && len(b.cleared) == 0 {
		return nil
	}
	b.turn++
	n := &Update{}
	for _, upstream := range b.chosenCrashes(now) {
		n.Crashes = append(n.Crashes, b.crashes[upstream].news(now, upstream))
	}
	for _, k := range chosen(byTime(b.held, term.began), now, toldHeld, b.turn) {
		t := b.held[k]
		n.Quarantined = append(n.Quarantined, QuarantineRecord{Key: k, Remaining: t.until.Sub(now), PeriodCount: t.count, ClearingCount: t.clearings})
	}
	for _, k := range chosen(byTime(b.cleared, func(c clearing) time.Time { return c.at }), now, toldCleared, b.turn) {
		n.Cleared = append(n.Cleared, ClearedRecord{Key: k, Age: max(now.Sub(b.cleared[k].at), 0), ClearingCount: b.cleared[k].count})
	}
	return n
}

// chosenCrashes are those to be told now. Old ones aren't: a peer that has forgotten one would
// otherwise learn it anew. Nor are those that speak against nobody.
func (b *Registry) chosenCrashes(now time.Time) []string {
	young := maps.Clone(b.crashes)
	maps.DeleteFunc(young, func(_ string, c *crash) bool { return len(c.suspects) == 0 || now.Sub(c.at) > crashFor/2 })
	return chosen(byTime(young, func(c *crash) time.Time { return c.heard }), now, toldCrashes, b.turn)
}

func (c *crash) news(now time.Time, upstream string) CrashRecord {
	out := CrashRecord{Upstream: upstream, Age: max(now.Sub(c.at), 0)}
	for k, s := range c.suspects {
		if s == answering {
			out.Responding = append(out.Responding, k)
		} else {
			out.Unanswered = append(out.Unanswered, k)
		}
	}
	return out
}

// dated is an entry with the time of its last change.
type dated[K any] struct {
	name K
	at   time.Time
}

// byTime returns entries, the newest first.
func byTime[K comparable, V any](entries map[K]V, at func(V) time.Time) []dated[K] {
	out := make([]dated[K], 0, len(entries))
	for name, v := range entries {
		out = append(out, dated[K]{name, at(v)})
	}
	slices.SortFunc(out, func(a, b dated[K]) int { return cmp.Compare(b.at.UnixNano(), a.at.UnixNano()) })
	return out
}

// chosen returns the newest, and of the rest some by the turn.
func chosen[K any](list []dated[K], now time.Time, most, turn int) (out []K) {
	fresh := 0
	for fresh < min(most, len(list)) && now.Sub(list[fresh].at) < newFor {
		out = append(out, list[fresh].name)
		fresh++
	}
	rest := list[fresh:]
	for i := range min(toldInTurn, len(rest)) {
		out = append(out, rest[(turn*toldInTurn+i)%len(rest)].name)
	}
	return out
}

// MergeUpdate takes what a peer has told, and returns whether any of it was new.
func (b *Registry) MergeUpdate(now time.Time, n *Update) (news bool) {
	if n == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	for _, c := range n.Cleared {
		news = b.learnCleared(c, now) || news
	}
	for _, h := range n.Quarantined {
		news = b.learnHeld(h, now) || news
	}
	for _, c := range n.Crashes {
		news = b.learnCrash(now, c) || news
	}
	return news
}

func (b *Registry) learnCleared(n ClearedRecord, now time.Time) bool {
	if n.ClearingCount <= b.cleared[n.Key].count || n.Age > crashFor {
		return false
	}
	b.clear(n.Key, clearing{at: now.Add(-n.Age), count: n.ClearingCount})
	return true
}

func (b *Registry) learnHeld(n QuarantineRecord, now time.Time) bool {
	t := term{until: now.Add(n.Remaining), count: n.PeriodCount, clearings: n.ClearingCount}
	if t.count <= b.held[n.Key].count || t.clearings < b.cleared[n.Key].count || n.Remaining < -longestTerm/2 {
		return false
	}
	b.hold(n.Key, t)
	b.explain()
	return true
}

// replaceAfter is how much newer than the oldest crash that is kept one has to be that a peer tells, where
// there are too many: what one instance has dropped, another one still tells.
const replaceAfter = 5 * time.Second

func (b *Registry) learnCrash(now time.Time, n CrashRecord) (news bool) {
	at := now.Add(-n.Age)
	if n.Age > crashFor {
		return false
	}
	c := b.crashes[n.Upstream]
	if c == nil {
		if len(b.crashes) >= maxCrashes && at.Sub(b.crashes[b.oldestCrash()].at) < replaceAfter {
			return false
		}
		c = b.newCrash(now, n.Upstream, at)
		news = true
	}
	if len(b.losses[n.Upstream]) > 0 {
		news = b.gather(now, n.Upstream, at) || news
	}
	for _, k := range n.Unanswered {
		news = b.suspect(now, c, k, false) || news
	}
	for _, k := range n.Responding {
		news = b.suspect(now, c, k, true) || news
	}
	return news
}
