// Package retryschedule decides when callers that were refused for load retry, and recognises them
// when they do.
//
// A caller retries once and honours a delay of up to a third of the time that it has left. If most
// requests of its rank are granted, an early retry is likely to succeed, and a response in time is
// worth more than a late one. Otherwise an early retry meets the same burst, so the caller is told
// a late time, and those refused together are told different times.
//
// A Schedule does no I/O and starts no goroutines; each method takes the current time. It is not
// safe for concurrent use: the scheduler's callers serialise access.
package retryschedule

import (
	"cmp"
	"time"
)

const (
	// defaultMaxEntries is the default of Options.MaxEntries. A shard that refuses 700 requests per
	// second, told up to 4 s, has 2,800 callers to come.
	defaultMaxEntries = 4096
	// minGrantShare is the share of granted requests of a rank above which callers are told to
	// retry early. A response in time is worth 1, a late one 0.3: an early retry that is granted in
	// more than 0.3 of cases is worth more than a late one that is always granted.
	minGrantShare = 0.3
	// honoured is the part of its time left up to which a caller honours a delay: 1/honoured.
	honoured = 3
	// transitMargin is left between the latest time told and the end of the span that the caller
	// honours. The caller computes that span when the refusal arrives, so it is shorter by a third
	// of the refusal's time in transit, which is 5 ms between idle machines.
	transitMargin = 20 * time.Millisecond
	// step is the interval of the times told.
	step = 100 * time.Millisecond
	// maxDelay is the longest delay told. It bounds the search for a time.
	maxDelay = 60 * time.Second
	// maxEarly is how much earlier than told a caller may return.
	maxEarly = 200 * time.Millisecond
	// keepAfter is how long an entry is kept after the time told.
	keepAfter = 2 * time.Second
	// binCount is the number of steps for which bookings are counted. It exceeds the steps in
	// maxDelay, so that no two times that may still be told share a bin.
	binCount = 1024
)

// Options configure a Schedule.
type Options struct {
	// MaxEntries is the most requests whose time told is remembered; beyond it the oldest entry is
	// dropped. Default 4096.
	MaxEntries int
}

// Request describes a refused request.
type Request struct {
	// Digest identifies the content of the request, which is the same in a retry; 0 means unknown.
	// Such a request is told a time but is not recognised when it returns.
	Digest uint64
	// Rank of the request; 0 is the most important.
	Rank int
	// Deadline is the time by which the response must be complete, InTimeUntil the end of its
	// latency objective; zero if there is none.
	Deadline    time.Time
	InTimeUntil time.Time
	// GrantShare is the share, from 0 to 1, of recent requests of this rank that were granted.
	GrantShare float64
	// EarlyDelay is the delay after which capacity may be free at the earliest.
	EarlyDelay time.Duration
	// Returned reports whether this is a retry that came at the time told (see
	// Schedule.Returning). Its caller has no retry left, so no time is booked.
	Returned bool
}

// Return is the kind of a request that arrives.
type Return uint8

const (
	// NotReturning: a new request, or one that came before the time told.
	NotReturning Return = iota
	// InTime: a retry at the time told, whose response may still meet the latency objective of the
	// first attempt.
	InTime
	// Late: a retry at the time told whose latency objective has passed.
	Late
)

// Schedule holds the times that the callers of one shard were told. See New.
type Schedule struct {
	maxEntries int
	base       time.Time // times below are relative to it
	// entries is a ring in order of booking, next the position to write to. Both entries and bins
	// are allocated at the first refusal, since most instances never decide for a shard.
	entries  []entry
	next     int
	byDigest map[uint64]int // position in entries
	bins     []bin
	counts   [Ranks]Counts
}

// entry is a time told to a caller. The zero value is an unused entry.
type entry struct {
	digest uint64
	// at is the time told, from the earliest time at which a retry counts as on time.
	at, from time.Duration
	// inTimeUntil is the end of the latency objective.
	inTimeUntil time.Duration
	rank        int
}

// bin counts the entries whose time told lies in one step.
type bin struct {
	number int64 // of the step since base
	booked int
}

// New returns an empty schedule.
func New(o Options) *Schedule {
	return &Schedule{maxEntries: cmp.Or(o.MaxEntries, defaultMaxEntries)}
}

// Refused books a refused request and returns the delay after which its caller shall retry.
func (s *Schedule) Refused(now time.Time, r Request) time.Duration {
	s.allocate(now)
	at := s.since(now)
	counts := s.countsOf(r.Rank)
	delay, late := s.lateDelay(at, r.Deadline.Sub(now), r.EarlyDelay)
	if r.GrantShare > minGrantShare || !late {
		delay = r.EarlyDelay
		counts.ToldEarly++
	} else {
		counts.ToldLate++
	}
	if r.Returned {
		counts.RefusedAgain++
		return delay
	}
	s.book(r, at, min(delay, r.Deadline.Sub(now)/honoured))
	return delay
}

// Returning reports whether a request that arrives is a retry at the time told, up to maxEarly
// early or keepAfter late. Its entry is dropped, also if it comes too early: the caller then
// retries by a schedule of its own, and the request counts as new.
func (s *Schedule) Returning(now time.Time, digest uint64) Return {
	i, known := s.byDigest[digest]
	if !known {
		return NotReturning
	}
	e := s.entries[i]
	s.drop(i)
	at := s.since(now)
	switch {
	case at < e.from:
		s.countsOf(e.rank).ReturnedEarly++
		return NotReturning
	case at > e.at+keepAfter:
		return NotReturning
	}
	s.countsOf(e.rank).ReturnedOnTime++
	if at < e.inTimeUntil {
		return InTime
	}
	return Late
}

// lateDelay returns the delay in the second half of the span that a caller honours at whose end the
// fewest retries are booked, but at least the early delay if the span allows it. It returns false
// if the span is shorter than a step.
func (s *Schedule) lateDelay(at, left, early time.Duration) (time.Duration, bool) {
	span := min(left/honoured, maxDelay)
	last := span - transitMargin
	if last < step {
		return 0, false
	}
	best := min(max(span/2, early), last)
	fewest := s.booked(at + best)
	for delay := best + step; delay <= last; delay += step {
		if n := s.booked(at + delay); n < fewest {
			best, fewest = delay, n
		}
	}
	return best, true
}

// book remembers the time told to the caller of a request with a digest.
func (s *Schedule) book(r Request, at, delay time.Duration) {
	if r.Digest == 0 || delay <= 0 {
		return
	}
	if i, known := s.byDigest[r.Digest]; known {
		s.drop(i)
	}
	if s.entries[s.next].digest != 0 {
		s.drop(s.next)
	}
	// A retry that ignores a short delay must count as early, so half of the delay has to pass.
	s.entries[s.next] = entry{
		digest:      r.Digest,
		at:          at + delay,
		from:        at + delay - min(maxEarly, delay/2),
		inTimeUntil: s.since(r.InTimeUntil),
		rank:        r.Rank,
	}
	s.byDigest[r.Digest] = s.next
	s.next = (s.next + 1) % s.maxEntries
	s.binOf(at+delay).booked++
}

// drop removes the entry at a position, which is in use.
func (s *Schedule) drop(i int) {
	e := s.entries[i]
	delete(s.byDigest, e.digest)
	s.entries[i] = entry{}
	if s.booked(e.at) > 0 {
		s.binOf(e.at).booked--
	}
}

// booked returns the number of retries booked for the step of a time.
func (s *Schedule) booked(at time.Duration) int {
	number := int64(at / step)
	if b := s.bins[number%binCount]; b.number == number {
		return b.booked
	}
	return 0
}

// binOf returns the bin of a time, empty if an earlier step used it last.
func (s *Schedule) binOf(at time.Duration) *bin {
	number := int64(at / step)
	b := &s.bins[number%binCount]
	if b.number != number {
		*b = bin{number: number}
	}
	return b
}

// since returns the time since base, at least 0.
func (s *Schedule) since(now time.Time) time.Duration { return max(now.Sub(s.base), 0) }

func (s *Schedule) allocate(now time.Time) {
	if s.bins != nil {
		return
	}
	s.base = now
	s.entries = make([]entry, s.maxEntries)
	s.byDigest = make(map[uint64]int, s.maxEntries)
	s.bins = make([]bin, binCount)
}
