package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Update is the message with which instances share crash evidence. Times are sent as ages, since
// clocks differ.
type Update struct {
	Crashes     []CrashRecord      `cbor:"1,keyasint,omitempty"`
	Quarantined []QuarantineRecord `cbor:"2,keyasint,omitempty"`
	Cleared     []ClearedRecord    `cbor:"3,keyasint,omitempty"`
}

// CrashRecord is the termination of an upstream process, with the requests that were there.
type CrashRecord struct {
	Upstream string        `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
	// Unanswered and Responding are the requests that were there, by whether a part of the response
	// had arrived.
	Unanswered []Request `cbor:"3,keyasint,omitempty"`
	Responding []Request `cbor:"4,keyasint,omitempty"`
}

// QuarantineRecord is a quarantined request or set of segments.
type QuarantineRecord struct {
	Key Key `cbor:"1,keyasint"`
	// Remaining time of the period; negative after its end.
	Remaining time.Duration `cbor:"2,keyasint"`
	// PeriodCount is the number of the request's periods, and ClearingCount the number of its
	// clearings known when this period began.
	PeriodCount   int `cbor:"3,keyasint"`
	ClearingCount int `cbor:"4,keyasint,omitempty"`
	// Segments are those of a set, ascending, and Evidence is the age of the first crash that it explains.
	Segments []uint64      `cbor:"5,keyasint,omitempty"`
	Evidence time.Duration `cbor:"6,keyasint,omitempty"`
}

// isValid reports whether a peer can have sent the record.
func (q QuarantineRecord) isValid() bool {
	if q.PeriodCount < 1 || q.ClearingCount < 0 || q.Remaining > maxPeriod || q.Remaining < -2*maxPeriod {
		return false
	}
	switch q.Key.Kind {
	case WholeRequest:
		return len(q.Segments) == 0
	case SegmentSet, SharedSegmentSet:
		return len(q.Segments) > 0 && areValidSegments(q.Segments) && q.Evidence >= 0 &&
			q.Key == segmentSetKey(q.Key.Kind, q.Key.Organisation, q.Segments)
	default:
		return false
	}
}

// areValidSegments reports whether a peer can have sent the segments of a request.
func areValidSegments(list []uint64) bool { return len(list) <= maxSegments && slices.IsSorted(list) }

// AreValid reports whether a peer can have sent the records as all of its own.
func AreValid(all []QuarantineRecord) bool {
	return len(all) <= maxQuarantined && !slices.ContainsFunc(all, func(q QuarantineRecord) bool { return !q.isValid() })
}

func (c CrashRecord) isValid() bool {
	invalid := func(q Request) bool { return q.Kind != WholeRequest || !areValidSegments(q.Segments) }
	return c.Upstream != "" && c.Age >= 0 && len(c.Unanswered) <= maxUpdateKeys && len(c.Responding) <= maxUpdateKeys &&
		!slices.ContainsFunc(c.Unanswered, invalid) && !slices.ContainsFunc(c.Responding, invalid)
}

// ClearedRecord is a suspected request or segment that has been answered.
type ClearedRecord struct {
	Key Key           `cbor:"1,keyasint"`
	Age time.Duration `cbor:"2,keyasint"`
	// ClearingCount is the number of the request's clearings.
	ClearingCount int `cbor:"3,keyasint"`
}

const (
	// recentWindow is how long after a change each message repeats it; older entries are sent
	// round-robin.
	recentWindow = 1500 * time.Millisecond
	// maxRecentCrashes, maxRecentQuarantined and maxRecentCleared bound the recent entries of one
	// message, and maxOlder the older ones of each kind.
	maxRecentCrashes     = 6
	maxRecentQuarantined = 12
	maxRecentCleared     = 12
	maxOlder             = 1
)

// Bounds on a message from a peer: twice what an instance sends.
const (
	maxUpdateCrashes = 2 * (maxRecentCrashes + maxOlder)
	maxUpdateKeys    = 2 * maxSuspects
)

// IsValid reports whether a peer can have sent the update.
func (u *Update) IsValid() bool {
	if len(u.Crashes) > maxUpdateCrashes || len(u.Quarantined) > maxUpdateKeys || len(u.Cleared) > maxUpdateKeys {
		return false
	}
	return !slices.ContainsFunc(u.Crashes, func(c CrashRecord) bool { return !c.isValid() }) &&
		!slices.ContainsFunc(u.Quarantined, func(q QuarantineRecord) bool { return !q.isValid() }) &&
		!slices.ContainsFunc(u.Cleared, func(c ClearedRecord) bool {
			return c.Age < 0 || c.ClearingCount < 1 || c.Key.Kind > Segment
		})
}

// NextUpdate returns the next message to peers: recent changes, plus some older entries
// round-robin, so that a peer without any evidence receives all of it. It returns nil if there is
// nothing to send.
func (r *Registry) NextUpdate(now time.Time) *Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now)
	r.updateVerdicts(now)
	if len(r.crashes) == 0 && len(r.quarantined) == 0 && len(r.cleared) == 0 {
		return nil
	}
	r.round++
	u := &Update{}
	for _, upstream := range r.crashesToSend(now) {
		u.Crashes = append(u.Crashes, r.crashes[upstream].record(now, upstream))
	}
	for _, k := range selectEntries(newestFirst(r.quarantined, func(p period) time.Time { return p.learned }), now, maxRecentQuarantined, r.round) {
		u.Quarantined = append(u.Quarantined, r.quarantined[k].record(now, k))
	}
	for _, k := range selectEntries(newestFirst(r.cleared, func(c clearing) time.Time { return c.learned }), now, maxRecentCleared, r.round) {
		u.Cleared = append(u.Cleared, ClearedRecord{Key: k, Age: max(now.Sub(r.cleared[k].at), 0), ClearingCount: r.cleared[k].count})
	}
	return u
}

// crashesToSend returns the crashes for the next update. Crashes older than half of crashRetention
// are left out, since a peer that has dropped one would add it again. So are crashes without
// suspects.
func (r *Registry) crashesToSend(now time.Time) []string {
	recent := maps.Clone(r.crashes)
	maps.DeleteFunc(recent, func(_ string, c *crash) bool { return len(c.suspects) == 0 || now.Sub(c.at) > crashRetention/2 })
	return selectEntries(newestFirst(recent, func(c *crash) time.Time { return c.lastChanged }), now, maxRecentCrashes, r.round)
}

func (c *crash) record(now time.Time, upstream string) CrashRecord {
	out := CrashRecord{Upstream: upstream, Age: max(now.Sub(c.at), 0)}
	for k, s := range c.suspects {
		if s.suspicion == responding {
			out.Responding = append(out.Responding, s.request(k))
		} else {
			out.Unanswered = append(out.Unanswered, s.request(k))
		}
	}
	return out
}

func (p period) record(now time.Time, k Key) QuarantineRecord {
	q := QuarantineRecord{Key: k, Remaining: p.until.Sub(now), PeriodCount: p.count, ClearingCount: p.clearings, Segments: p.segments}
	if len(p.segments) > 0 {
		q.Evidence = max(now.Sub(p.since), 0)
	}
	return q
}

// AllQuarantined returns all quarantine periods, for a peer that may know none of them.
func (r *Registry) AllQuarantined(now time.Time) (out []QuarantineRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now)
	r.updateVerdicts(now)
	for k, p := range r.quarantined {
		out = append(out, p.record(now, k))
	}
	return out
}

// timestamped is an entry with the time of its last change.
type timestamped[K any] struct {
	name K
	at   time.Time
}

// newestFirst returns the entries, the newest first.
func newestFirst[K comparable, V any](entries map[K]V, at func(V) time.Time) []timestamped[K] {
	out := make([]timestamped[K], 0, len(entries))
	for name, v := range entries {
		out = append(out, timestamped[K]{name, at(v)})
	}
	slices.SortFunc(out, func(a, b timestamped[K]) int { return cmp.Compare(b.at.UnixNano(), a.at.UnixNano()) })
	return out
}

// selectEntries returns the recent entries, up to limit, and some of the older ones by round.
func selectEntries[K any](list []timestamped[K], now time.Time, limit, round int) (out []K) {
	recent := 0
	for recent < min(limit, len(list)) && now.Sub(list[recent].at) < recentWindow {
		out = append(out, list[recent].name)
		recent++
	}
	older := list[recent:]
	for i := range min(maxOlder, len(older)) {
		out = append(out, older[(round*maxOlder+i)%len(older)].name)
	}
	return out
}

// Merge merges an update from a peer, and reports whether anything changed.
func (r *Registry) Merge(now time.Time, u *Update) (changed bool) {
	if u == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now)
	for _, c := range u.Cleared {
		changed = r.mergeCleared(c, now) || changed
	}
	for _, h := range u.Quarantined {
		changed = r.mergeQuarantined(h, now) || changed
	}
	for _, c := range u.Crashes {
		changed = r.mergeCrash(now, c) || changed
	}
	return changed
}

func (r *Registry) mergeCleared(u ClearedRecord, now time.Time) bool {
	if u.ClearingCount <= r.cleared[u.Key].count || u.Age > crashRetention {
		return false
	}
	r.clear(u.Key, clearing{at: now.Add(-u.Age), learned: now, count: u.ClearingCount})
	return true
}

func (r *Registry) mergeQuarantined(u QuarantineRecord, now time.Time) bool {
	k := u.Key
	p := period{until: now.Add(u.Remaining), count: u.PeriodCount, clearings: u.ClearingCount}
	if len(u.Segments) > 0 {
		p.since = now.Add(-u.Evidence)
		p.segments = r.withoutCleared(segmentScope{k.Kind, k.Organisation}, u.Segments, p.since)
		k = segmentSetKey(k.Kind, k.Organisation, p.segments)
		if len(p.segments) == 0 || r.isCovered(k, p) {
			return false
		}
	}
	if p.count <= r.quarantined[k].count || p.clearings < r.cleared[k].count || u.Remaining < -maxPeriod/2 {
		return false
	}
	p.learned = now
	r.quarantine(k, p)
	r.dropExplained()
	return true
}

// minReplaceAge is how much newer than the oldest stored crash a peer's crash must be to replace
// it, if there are too many: peers keep sending crashes that this instance has dropped.
const minReplaceAge = 5 * time.Second

func (r *Registry) mergeCrash(now time.Time, u CrashRecord) (changed bool) {
	at := now.Add(-u.Age)
	if u.Age > crashRetention {
		return false
	}
	c := r.crashes[u.Upstream]
	if c == nil {
		if len(r.crashes) >= maxCrashes && at.Sub(r.crashes[r.oldestCrash()].at) < minReplaceAge {
			return false
		}
		c = r.addCrash(now, u.Upstream, at)
		changed = true
	}
	if at.After(c.lastAt) {
		c.lastAt = at
	}
	if len(r.losses[u.Upstream]) > 0 {
		changed = r.recordLosses(now, u.Upstream, at) || changed
	}
	for _, q := range u.Unanswered {
		changed = r.suspect(now, c, q, false) || changed
	}
	for _, q := range u.Responding {
		changed = r.suspect(now, c, q, true) || changed
	}
	return changed
}
