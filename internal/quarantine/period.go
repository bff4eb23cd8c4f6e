package quarantine

import (
	"maps"
	"slices"
	"time"
)

// period is a quarantine period of a request or of a set of segments.
type period struct {
	until time.Time
	// count is the number of periods so far; each is longer than the previous one.
	count int
	// clearings is how many clearings of the request were known when the period began. A later
	// clearing ends the period.
	clearings int
	// probedAt is when a probe was let through after the period.
	probedAt time.Time
	// learned is when this instance learned of the period or changed it.
	learned time.Time
	// segments are those of a set, ascending, and since is the time of the first crash that it explains.
	segments []uint64
	since    time.Time
}

// periodLength returns the length of a quarantine period, counted from 1.
func periodLength(count int) time.Duration {
	length := initialPeriod
	for range count - 1 {
		if length *= periodFactor; length >= maxPeriod {
			return maxPeriod
		}
	}
	return length
}

// Admit returns how long an arriving request is still quarantined; 0 if it may run. After a period
// the instance that owns the request lets one probe through per probeTimeout; for all others Admit
// returns probeTimeout.
func (r *Registry) Admit(now time.Time, q Request) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateVerdicts(now)
	k, p, ok := r.longestPeriod(q)
	switch {
	case !ok:
		return 0
	case now.Before(p.until):
		return p.until.Sub(now)
	case now.Sub(p.probedAt) < probeTimeout || !r.owns(k):
		return probeTimeout
	}
	p.probedAt = now
	r.quarantined[k] = p
	r.log.Info().Str("event", "request_probed").Str("key", k.String()).Str("organisation", k.Organisation).Int("term", p.count).Msg("quarantine period has passed; one request is let through as a probe")
	return 0
}

// Remaining returns how long an admitted request is still quarantined; 0 if it isn't.
func (r *Registry) Remaining(now time.Time, q Request) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateVerdicts(now)
	_, p, _ := r.longestPeriod(q)
	return max(p.until.Sub(now), 0)
}

// longestPeriod returns the quarantine period that applies to a request and ends last. The caller holds the
// lock.
func (r *Registry) longestPeriod(q Request) (longest Key, p period, found bool) {
	if p, found = r.quarantined[q.Key]; found {
		longest = q.Key
	}
	if len(q.Segments) == 0 {
		return longest, p, found
	}
	for k, other := range r.quarantined {
		if k.Kind != WholeRequest && q.matches(k, other) && other.until.After(p.until) {
			longest, p, found = k, other, true
		}
	}
	return longest, p, found
}

// Count returns how many requests and sets of segments are quarantined.
func (r *Registry) Count(now time.Time) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.quarantined {
		if p.until.After(now) {
			n++
		}
	}
	return n
}

// extend begins the next quarantine period of a request, or of a set of its segments, if it was at a crash
// after the previous one. The caller holds the lock.
func (r *Registry) extend(q Request, c *crash) {
	for k, p := range maps.Clone(r.quarantined) {
		if !q.matches(k, p) || !c.at.After(p.until) {
			continue
		}
		p.count++
		p.until, p.clearings, p.probedAt, p.learned = c.at.Add(periodLength(p.count)), r.cleared[k].count, time.Time{}, c.lastChanged
		r.quarantine(k, p)
	}
}

// quarantine begins a quarantine period of a request or of a set of segments. It returns false if the period
// isn't stored: the bounds leave no room for it, or a smaller set applies already. The caller holds the lock.
func (r *Registry) quarantine(k Key, p period) bool {
	if k.Kind != WholeRequest {
		if r.isCovered(k, p) {
			return false
		}
		r.dropCovered(k, p)
		r.suspectedSegments = nil
	}
	r.quarantined[k] = p
	end := func(p period) time.Time { return p.until }
	own := func(other Key) bool { return other.Organisation == k.Organisation }
	dropOldestOf(r.quarantined, own, maxPerOrganisation, end)
	dropOldest(r.quarantined, maxQuarantined, end)
	_, stored := r.quarantined[k]
	r.log.Warn().Str("event", "request_held").Str("key", k.String()).Str("organisation", k.Organisation).
		Str("segments", segmentNames(p.segments)).Int("term", p.count).Str("crashed", joined(r.crashesOf(k, p))).Str("until", p.until.UTC().Format(time.RFC3339Nano)).Msg("request quarantined")
	return stored
}

// crashesOf returns the upstream processes that crashed with a request or set of segments. The caller holds
// the lock.
func (r *Registry) crashesOf(k Key, p period) (out []string) {
	for upstream, c := range r.crashes {
		for other, s := range c.suspects {
			if s.request(other).matches(k, p) {
				out = append(out, upstream)
				break
			}
		}
	}
	slices.Sort(out)
	return out
}
