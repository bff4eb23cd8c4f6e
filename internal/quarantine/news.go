package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// News is what instances tell each other. Times are ages, since clocks differ.
type News struct {
	Crashes []CrashNews   `cbor:"1,keyasint,omitempty"`
	Held    []HeldNews    `cbor:"2,keyasint,omitempty"`
	Cleared []ClearedNews `cbor:"3,keyasint,omitempty"`
}

// CrashNews is the end of an upstream's process and who was there.
type CrashNews struct {
	Upstream string        `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
	// Unanswered and Answering are the requests that were there.
	Unanswered []Key `cbor:"3,keyasint,omitempty"`
	Answering  []Key `cbor:"4,keyasint,omitempty"`
}

// HeldNews is a request that is held back.
type HeldNews struct {
	Key Key `cbor:"1,keyasint"`
	// Left of its term; below 0 once it is over.
	Left time.Duration `cbor:"2,keyasint"`
	// Count of its terms, and Clearings that were known as this one began.
	Count     int `cbor:"3,keyasint"`
	Clearings int `cbor:"4,keyasint,omitempty"`
}

// ClearedNews is a request that was suspected and has been answered.
type ClearedNews struct {
	Key Key           `cbor:"1,keyasint"`
	Age time.Duration `cbor:"2,keyasint"`
	// Count of its clearings.
	Count int `cbor:"3,keyasint"`
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

// IsSane tells whether a peer can have told this.
func (n *News) IsSane() bool {
	if len(n.Crashes) > maxToldCrashes || len(n.Held) > maxToldKeys || len(n.Cleared) > maxToldKeys {
		return false
	}
	return !slices.ContainsFunc(n.Crashes, func(c CrashNews) bool {
		return c.Upstream == "" || c.Age < 0 || len(c.Unanswered) > maxToldKeys || len(c.Answering) > maxToldKeys
	}) && !slices.ContainsFunc(n.Held, func(h HeldNews) bool {
		return h.Count < 1 || h.Clearings < 0 || h.Left > longestTerm || h.Left < -2*longestTerm
	}) && !slices.ContainsFunc(n.Cleared, func(c ClearedNews) bool { return c.Age < 0 || c.Count < 1 })
}

// Tell returns what peers are to be told now: what is new, and of the rest some in turn, so that one
// that knows nothing hears of all. It is nil where there is nothing.
func (b *Book) Tell(now time.Time) *News {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	b.judge(now)
	if len(b.crashes) == 0 && len(b.held) == 0 && len(b.cleared) == 0 {
		return nil
	}
	b.turn++
	n := &News{}
	for _, upstream := range b.chosenCrashes(now) {
		n.Crashes = append(n.Crashes, b.crashes[upstream].news(now, upstream))
	}
	for _, k := range chosen(byTime(b.held, term.began), now, toldHeld, b.turn) {
		t := b.held[k]
		n.Held = append(n.Held, HeldNews{Key: k, Left: t.until.Sub(now), Count: t.count, Clearings: t.clearings})
	}
	for _, k := range chosen(byTime(b.cleared, func(c clearing) time.Time { return c.at }), now, toldCleared, b.turn) {
		n.Cleared = append(n.Cleared, ClearedNews{Key: k, Age: max(now.Sub(b.cleared[k].at), 0), Count: b.cleared[k].count})
	}
	return n
}

// chosenCrashes are those to be told now. Old ones aren't: a peer that has forgotten one would
// otherwise learn it anew. Nor are those that speak against nobody.
func (b *Book) chosenCrashes(now time.Time) []string {
	young := maps.Clone(b.crashes)
	maps.DeleteFunc(young, func(_ string, c *crash) bool { return len(c.suspects) == 0 || now.Sub(c.at) > crashFor/2 })
	return chosen(byTime(young, func(c *crash) time.Time { return c.heard }), now, toldCrashes, b.turn)
}

func (c *crash) news(now time.Time, upstream string) CrashNews {
	out := CrashNews{Upstream: upstream, Age: max(now.Sub(c.at), 0)}
	for k, s := range c.suspects {
		if s == answering {
			out.Answering = append(out.Answering, k)
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

// Learn takes what a peer has told, and returns whether any of it was new.
func (b *Book) Learn(now time.Time, n *News) (news bool) {
	if n == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	for _, c := range n.Cleared {
		news = b.learnCleared(c, now) || news
	}
	for _, h := range n.Held {
		news = b.learnHeld(h, now) || news
	}
	for _, c := range n.Crashes {
		news = b.learnCrash(now, c) || news
	}
	return news
}

func (b *Book) learnCleared(n ClearedNews, now time.Time) bool {
	if n.Count <= b.cleared[n.Key].count || n.Age > crashFor {
		return false
	}
	b.clear(n.Key, clearing{at: now.Add(-n.Age), count: n.Count})
	return true
}

func (b *Book) learnHeld(n HeldNews, now time.Time) bool {
	t := term{until: now.Add(n.Left), count: n.Count, clearings: n.Clearings}
	if t.count <= b.held[n.Key].count || t.clearings < b.cleared[n.Key].count || n.Left < -longestTerm/2 {
		return false
	}
	b.hold(n.Key, t)
	b.explain()
	return true
}

// replaceAfter is how much newer than the oldest crash that is kept one has to be that a peer tells, where
// there are too many: what one instance has dropped, another one still tells.
const replaceAfter = 5 * time.Second

func (b *Book) learnCrash(now time.Time, n CrashNews) (news bool) {
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
	for _, k := range n.Answering {
		news = b.suspect(now, c, k, true) || news
	}
	return news
}
