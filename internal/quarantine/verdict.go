package quarantine

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// suspicion is the weight of a crash as evidence against a request that was there.
type suspicion int

const (
	// responding: a part of the response had arrived, so that the upstream had run the request for
	// a while. A request that was answered recently has the same weight.
	responding suspicion = 1
	// unanswered: no part of the response had arrived. A request that crashes an upstream mostly
	// does so when it begins to run.
	unanswered suspicion = 2
)

func suspicionOf(started bool) suspicion {
	if started {
		return responding
	}
	return unanswered
}

const (
	// soleSuspectThreshold is the suspicion, over all crashes without another cause, from which a
	// request is quarantined if no other request at these crashes is as suspect: two crashes
	// without a response.
	soleSuspectThreshold = 2 * int(unanswered)
	// anySuspectThreshold is the same for a request that isn't the only top suspect: three crashes. If it is the
	// only one, the verdict doesn't wait until the crashes are settled.
	anySuspectThreshold = 3 * int(unanswered)
)

const (
	// verdictInterval is the shortest time between two examinations of the same evidence, until it is settled.
	verdictInterval = 20 * time.Millisecond
	// suspectsPerInterval is the number of suspects for each verdictInterval after which changed evidence may be
	// examined again: requests wait meanwhile, and each change of a large crash would cause an examination.
	suspectsPerInterval = 64
)

// restBetweenVerdicts returns the shortest time between two examinations, also of evidence that has changed.
func (r *Registry) restBetweenVerdicts() time.Duration {
	suspects := 0
	for _, c := range r.crashes {
		suspects += len(c.suspects)
	}
	return min(time.Duration(suspects/suspectsPerInterval)*verdictInterval, settleTime)
}

// updateVerdicts quarantines the segments and requests that explain crashes best. The caller holds the lock.
func (r *Registry) updateVerdicts(now time.Time) {
	if r.verdictDue.IsZero() || now.Before(r.nextVerdict) {
		return
	}
	r.lastVerdict, r.nextVerdict = now, now.Add(max(verdictInterval, r.restBetweenVerdicts()))
	r.dropExplained()
	for {
		culprits := r.culprits(now)
		if len(culprits) == 0 && r.quarantineSegments(now) {
			r.dropExplained()
			continue
		}
		if len(culprits) == 0 {
			break
		}
		stored := false
		for _, k := range culprits {
			p := period{until: r.lastCrashTime(k).Add(periodLength(1)), count: 1, clearings: r.cleared[k].count, learned: now}
			stored = r.quarantine(k, p) || stored
		}
		if !stored {
			break // otherwise the same evidence would be examined forever
		}
		r.dropExplained()
	}
	if !now.Before(r.verdictDue) {
		r.verdictDue = time.Time{}
	}
}

// dropExplained clears the other suspects of each crash at which a quarantined request was, since
// the crash has its cause. If only its whole content is quarantined, requests with segments remain: a segment
// that they share with it may be the cause of both.
func (r *Registry) dropExplained() {
	for _, c := range r.crashes {
		if !r.hasCause(c) {
			continue
		}
		bySegments := r.hasSegmentCause(c)
		maps.DeleteFunc(c.suspects, func(k Key, s suspect) bool {
			return !r.isQuarantined(s.request(k)) && (bySegments || len(s.segments) == 0)
		})
	}
	r.suspectedSegments = nil
}

// isQuarantined reports whether a request or one of its sets of segments is quarantined, also after the period.
func (r *Registry) isQuarantined(q Request) bool {
	if _, ok := r.quarantined[q.Key]; ok {
		return true
	}
	return r.hasQuarantinedSegments(q)
}

func (r *Registry) hasQuarantinedSegments(q Request) bool {
	if len(q.Segments) == 0 {
		return false
	}
	for k, p := range r.quarantined {
		if k.Kind != WholeRequest && q.matches(k, p) {
			return true
		}
	}
	return false
}

func (r *Registry) hasCause(c *crash) bool {
	for k, s := range c.suspects {
		if r.isQuarantined(s.request(k)) {
			return true
		}
	}
	return false
}

// hasSegmentCause reports whether a request with a quarantined set of segments was at a crash.
func (r *Registry) hasSegmentCause(c *crash) bool {
	for k, s := range c.suspects {
		if r.hasQuarantinedSegments(s.request(k)) {
			return true
		}
	}
	return false
}

// culprits returns the requests with the highest score among those that reach a threshold. Where requests explain
// the crashes equally well, the verdict waits until the crashes are settled: a response may clear some.
func (r *Registry) culprits(now time.Time) (out []Key) {
	all := r.scores(func(*crash) bool { return true })
	isSettled := func(c *crash) bool { return now.Sub(c.lastChanged) >= settleTime }
	settled := r.scores(isSettled)
	segments := sync.OnceValue(func() map[Key]int { return r.segmentScores(isSettled) })
	for k, score := range all {
		isSole := func() bool { return r.isTopSuspect(k, settled) && !r.isSegmentAsSuspect(k, segments(), settled[k]) }
		isCertain := score >= anySuspectThreshold && r.isTopSuspect(k, all)
		if isCertain || settled[k] >= anySuspectThreshold || settled[k] >= soleSuspectThreshold && isSole() {
			out = append(out, k)
		}
	}
	highest := 0
	for _, k := range out {
		highest = max(highest, all[k])
	}
	return slices.DeleteFunc(out, func(k Key) bool { return all[k] < highest })
}

// simultaneousWindow is the time within which crashes count once against a request whose response
// had started or that was answered recently: when many processes terminate at once, a request that
// ran well isn't the cause. Against a request without a response each crash counts, also where an
// eager caller retries it from crash to crash within this time.
const simultaneousWindow = 100 * time.Millisecond

// scores adds up the suspicion of each request over the crashes that count and have no known cause.
func (r *Registry) scores(counts func(*crash) bool) map[Key]int {
	score, last := map[Key]int{}, map[Key]time.Time{}
	for _, c := range r.crashesByTime() {
		if !counts(c) || r.hasCause(c) {
			continue
		}
		for k, s := range c.suspects {
			at, found := last[k]
			if s.suspicion == responding && found && c.at.Sub(at) < simultaneousWindow {
				continue
			}
			score[k] += int(s.suspicion)
			last[k] = c.at
		}
	}
	return score
}

// crashesByTime returns the crashes in the order of their times.
func (r *Registry) crashesByTime() []*crash {
	return slices.SortedFunc(maps.Values(r.crashes), func(x, y *crash) int { return x.at.Compare(y.at) })
}

// isTopSuspect reports whether no other request at the crashes of a request has as high a score.
func (r *Registry) isTopSuspect(k Key, scores map[Key]int) bool {
	for _, c := range r.crashes {
		if _, present := c.suspects[k]; !present {
			continue
		}
		for other := range c.suspects {
			if other != k && scores[other] >= scores[k] {
				return false
			}
		}
	}
	return true
}

// segmentScores returns the suspicion of each segment over the crashes that count.
func (r *Registry) segmentScores(counts func(*crash) bool) map[Key]int {
	out := map[Key]int{}
	x := r.examine()
	for _, scope := range x.scopes {
		if scope.kind == SharedSegmentSet {
			continue
		}
		for id, e := range x.segmentEvidence(scope, counts) {
			if len(e.contents) > 1 {
				out[segmentKey(scope.organisation, id)] = e.score
			}
		}
	}
	return out
}

// isSegmentAsSuspect reports whether a segment of other requests was at all crashes of a request and is as suspect,
// given the scores of segments.
func (r *Registry) isSegmentAsSuspect(k Key, segments map[Key]int, score int) bool {
	var everywhere map[Key]struct{} // segments of others at all crashes so far; nil before the first
	for _, c := range r.crashes {
		own, present := c.suspects[k]
		if !present {
			continue
		}
		here := map[Key]struct{}{}
		for other, s := range c.suspects {
			for _, id := range s.segments {
				segment := segmentKey(other.Organisation, id)
				_, before := everywhere[segment]
				if !slices.Contains(own.segments, id) && segments[segment] >= score && (before || everywhere == nil) {
					here[segment] = struct{}{}
				}
			}
		}
		everywhere = here
	}
	return len(everywhere) > 0
}

// lastCrashTime returns the time of the last crash that a request was at.
func (r *Registry) lastCrashTime(k Key) (last time.Time) {
	for _, c := range r.crashes {
		if _, present := c.suspects[k]; present && c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// suspectNames lists suspects for logs, sorted.
func suspectNames(suspects map[Key]suspect) string {
	var out []string
	for k, s := range suspects {
		name := k.String()
		if len(s.segments) > 0 {
			name += " [" + strings.ReplaceAll(segmentNames(s.segments), ",", "") + "]"
		}
		if s.suspicion == responding {
			name += " answering"
		}
		out = append(out, name)
	}
	slices.Sort(out)
	return joined(out)
}

func joined(list []string) string { return strings.Join(list, ", ") }
