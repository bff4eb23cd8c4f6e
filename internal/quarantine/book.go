package quarantine

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/api"
)

const (
	// lossFor is how long an answer that was lost counts as lost in a crash that is noticed later,
	// and a crash takes in answers that are lost in it.
	lossFor = time.Second
	// settleFor is how long a crash isn't judged alone: until all instances have told who was there.
	settleFor = 200 * time.Millisecond
	// crashFor is how long a crash is remembered.
	crashFor = 10 * time.Minute
	// checkEvery is how often an upstream at which answers are lost is looked at.
	checkEvery = 100 * time.Millisecond
	// firstTerm is how long a request is held back at first. Then one try may show whether its
	// upstreams have been mended; if it crashes one, the next term is termFactor times as long, up to
	// longestTerm.
	firstTerm   = 2 * time.Minute
	termFactor  = 4
	longestTerm = time.Hour
	// probeFor is how long after such a try no other one is let through, unless the first is answered.
	probeFor = 10 * time.Second
)

// Bounds of what is kept.
const (
	maxCrashes        = 64
	maxSuspects       = 32 // of one crash
	maxHeld           = 256
	maxOfOrganisation = 32 // requests held back of one organisation
	maxCleared        = 256
)

// Refusal refuses a request that is held back for so long.
func Refusal(left time.Duration) *api.Problem {
	return api.Refuse(api.ReasonCrashesUpstreams, "upstreams crashed again and again while they ran this request, so it is held back; change it, or come back after the time given").WithRetryAfter(left)
}

// ErrQuarantined: the request is held back, since upstreams crash that run it.
var ErrQuarantined = errors.New("upstreams crash that run this request")

// crash is the end of one process of an upstream.
type crash struct {
	at time.Time
	// heard is when this instance last learned of somebody who was there.
	heard    time.Time
	suspects map[Key]suspicion
}

// term is the time in which a request is held back.
type term struct {
	until time.Time
	// count of terms so far; each is longer than the one before.
	count int
	// clearings of the request that were known when it began. One that wasn't ends it.
	clearings int
	// probed is when a try was let through after the term.
	probed time.Time
}

// began is the beginning of the term.
func (t term) began() time.Time { return t.until.Add(-termOf(t.count)) }

// termOf is the length of a request's term, counted from 1.
func termOf(count int) time.Duration {
	length := firstTerm
	for range count - 1 {
		if length *= termFactor; length >= longestTerm {
			return longestTerm
		}
	}
	return length
}

// clearing is an answer to a request that was suspected.
type clearing struct {
	at time.Time
	// count of the request's clearings that were known then, this one included. By it instances tell
	// a new one from one that they know: ages differ by the time that messages take.
	count int
}

// loss is an answer that was lost, in a crash or not.
type loss struct {
	key   Key
	begun bool
	at    time.Time
}

// Registry is what one instance knows of crashes and of the requests that were there. Safe for concurrent
// use.
type Registry struct {
	log  *log.Logger
	owns func(Key) bool

	mu      sync.Mutex
	losses  map[string][]loss // by upstream, of the last lossFor
	checked map[string]time.Time
	crashes map[string]*crash // by upstream
	held    map[Key]term
	cleared map[Key]clearing
	// answered are the requests that were answered here lately.
	answered answered
	judgeAt  time.Time // when what is known has to be judged; zero: nothing new
	turn     int       // of what is told in turn
}

// New returns a book that knows of nothing. Owns tells whether this instance, of all that it reaches,
// is the one that lets tries of a request through after a term.
func New(l *log.Logger, owns func(Key) bool) *Registry {
	return &Registry{
		log:     l,
		owns:    owns,
		losses:  map[string][]loss{},
		checked: map[string]time.Time{},
		crashes: map[string]*crash{},
		held:    map[Key]term{},
		cleared: map[Key]clearing{},
	}
}

// RecordLostResponse notes that the answer to a request was lost at an upstream; begun tells whether something of it
// had come. One that was answered lately is suspected as little as that. It returns whether the upstream
// has to be looked at, to tell a crash from a broken connection, and whether the loss is part of a crash
// that is known already, which is news for peers.
func (b *Registry) RecordLostResponse(now time.Time, upstream string, k Key, begun bool) (check, news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	begun = begun || b.answered.has(k)
	if c := b.crashes[upstream]; c != nil && now.Sub(c.at) < lossFor {
		return false, b.suspect(now, c, k, begun)
	}
	b.forget(now)
	lately := slices.DeleteFunc(b.losses[upstream], func(l loss) bool { return now.Sub(l.at) > lossFor })
	b.losses[upstream] = append(lately, loss{key: k, begun: begun, at: now})
	if !b.checked[upstream].IsZero() {
		return false, false
	}
	b.checked[upstream] = now
	return true, false
}

// RecordCrash notes that the process of an upstream has ended. It returns whether that is news: some of
// what was lost there was lost in it.
func (b *Registry) RecordCrash(now time.Time, upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	if len(b.losses[upstream]) == 0 {
		return false
	}
	return b.gather(now, upstream, now)
}

// gather makes a crash of what was lost at an upstream here. The caller holds the lock.
func (b *Registry) gather(now time.Time, upstream string, at time.Time) (news bool) {
	c := b.crashes[upstream]
	if c == nil {
		c = b.newCrash(now, upstream, at)
		news = true
	}
	lost := b.losses[upstream]
	delete(b.losses, upstream)
	for _, l := range lost {
		if at.Sub(l.at).Abs() <= lossFor {
			news = b.suspect(now, c, l.key, l.begun) || news
		}
	}
	b.log.Warn().Str("event", "upstream_crashed").Str("upstream", upstream).Int("lost_here", len(lost)).Str("suspects", names(c.suspects)).Msg("")
	return news
}

// newCrash enters a crash of which nothing was known, in place of the oldest one where there are too
// many. The caller holds the lock.
func (b *Registry) newCrash(now time.Time, upstream string, at time.Time) *crash {
	if len(b.crashes) >= maxCrashes {
		delete(b.crashes, b.oldestCrash())
	}
	c := &crash{at: at, heard: now, suspects: map[Key]suspicion{}}
	b.crashes[upstream] = c
	return c
}

// suspect enters a request among those that were at a crash, and returns whether that is new. The
// caller holds the lock.
func (b *Registry) suspect(now time.Time, c *crash, k Key, begun bool) bool {
	before, known := c.suspects[k]
	switch {
	case known && (before == unanswered || begun):
		return false
	case !known && b.cleared[k].at.After(c.at):
		return false
	case !known && len(c.suspects) >= maxSuspects:
		return false
	case !b.isHeld(k) && b.explained(c):
		return false
	}
	c.suspects[k] = suspicionOf(begun)
	c.heard = now
	b.prolong(k, c)
	b.judgeAt = now.Add(settleFor)
	return true
}

// prolong begins a request's next term, where it was at a crash after the one before. The caller holds
// the lock.
func (b *Registry) prolong(k Key, c *crash) {
	t, held := b.held[k]
	if held && c.at.After(t.until) {
		b.hold(k, term{until: c.at.Add(termOf(t.count + 1)), count: t.count + 1, clearings: b.cleared[k].count})
	}
}

// RecordResponse notes that an upstream has answered a request, whatever with: it outlived it. It returns
// whether that is news for peers: the request was suspected.
func (b *Registry) RecordResponse(now time.Time, k Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered.add(now, k)
	if !b.isSuspected(k) {
		return false
	}
	b.clear(k, clearing{at: now, count: b.cleared[k].count + 1})
	return true
}

// clear drops what speaks against a request up to a time. The caller holds the lock.
func (b *Registry) clear(k Key, by clearing) {
	b.cleared[k] = by
	dropOldest(b.cleared, maxCleared, func(c clearing) time.Time { return c.at })
	for _, c := range b.crashes {
		if c.at.Before(by.at) {
			delete(c.suspects, k)
		}
	}
	if t, held := b.held[k]; held && t.clearings < by.count {
		delete(b.held, k)
		b.log.Info().Str("event", "request_cleared").Str("key", k.String()).Str("organisation", k.Organisation).Msg("")
	}
}

func (b *Registry) isSuspected(k Key) bool {
	if _, held := b.held[k]; held {
		return true
	}
	for _, c := range b.crashes {
		if _, suspected := c.suspects[k]; suspected {
			return true
		}
	}
	return false
}

// Admit returns for how long a request that has come is held back; 0 where it isn't. After a term one
// try is let through, by the instance that owns the request.
func (b *Registry) Admit(now time.Time, k Key) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.judge(now)
	t, held := b.held[k]
	switch {
	case !held:
		return 0
	case now.Before(t.until):
		return t.until.Sub(now)
	case now.Sub(t.probed) < probeFor || !b.owns(k):
		return probeFor
	}
	t.probed = now
	b.held[k] = t
	b.log.Info().Str("event", "request_probed").Str("key", k.String()).Str("organisation", k.Organisation).Int("term", t.count).Msg("")
	return 0
}

// Remaining returns for how long a request that was admitted is held back now; 0 where it isn't.
func (b *Registry) Remaining(now time.Time, k Key) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.judge(now)
	return max(b.held[k].until.Sub(now), 0)
}

// Count returns how many requests are held back.
func (b *Registry) Count(now time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.held {
		if t.until.After(now) {
			n++
		}
	}
	return n
}

// hold begins a term of a request. The caller holds the lock.
func (b *Registry) hold(k Key, t term) {
	b.held[k] = t
	end := func(t term) time.Time { return t.until }
	own := func(other Key) bool { return other.Organisation == k.Organisation }
	dropOldestOf(b.held, own, maxOfOrganisation, end)
	dropOldest(b.held, maxHeld, end)
	b.log.Warn().Str("event", "request_held").Str("key", k.String()).Str("organisation", k.Organisation).
		Int("term", t.count).Str("crashed", joined(b.crashesWith(k))).Str("until", t.until.UTC().Format(time.RFC3339Nano)).Msg("")
}

// crashesWith returns the upstreams that a request was at when they crashed. The caller holds the lock.
func (b *Registry) crashesWith(k Key) (out []string) {
	for upstream, c := range b.crashes {
		if _, there := c.suspects[k]; there {
			out = append(out, upstream)
		}
	}
	slices.Sort(out)
	return out
}

// forget drops what is too old to count. The caller holds the lock.
func (b *Registry) forget(now time.Time) {
	maps.DeleteFunc(b.losses, func(_ string, list []loss) bool { return now.Sub(list[len(list)-1].at) > lossFor })
	maps.DeleteFunc(b.checked, func(_ string, at time.Time) bool { return now.Sub(at) > checkEvery })
	maps.DeleteFunc(b.crashes, func(_ string, c *crash) bool { return now.Sub(c.at) > crashFor })
	maps.DeleteFunc(b.cleared, func(_ Key, c clearing) bool { return now.Sub(c.at) > crashFor })
	maps.DeleteFunc(b.held, func(_ Key, t term) bool { return now.Sub(t.until) > longestTerm })
}

// oldestCrash returns the upstream of the oldest crash, empty where there is none.
func (b *Registry) oldestCrash() (oldest string) {
	for upstream, c := range b.crashes {
		if oldest == "" || c.at.Before(b.crashes[oldest].at) {
			oldest = upstream
		}
	}
	return oldest
}

// dropOldest removes the oldest entries beyond so many.
func dropOldest[V any](from map[Key]V, most int, at func(V) time.Time) {
	dropOldestOf(from, func(Key) bool { return true }, most, at)
}

// dropOldestOf removes the oldest of some entries beyond so many.
func dropOldestOf[V any](from map[Key]V, counts func(Key) bool, most int, at func(V) time.Time) {
	n := 0
	var oldest Key
	var oldestAt time.Time
	for k, v := range from {
		if !counts(k) {
			continue
		}
		n++
		if oldestAt.IsZero() || at(v).Before(oldestAt) {
			oldest, oldestAt = k, at(v)
		}
	}
	if n > most { // at most one more: each addition comes here
		delete(from, oldest)
	}
}
