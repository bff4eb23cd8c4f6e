package quarantine

import (
	"maps"
	"slices"
	"time"
)

// segmentThreshold is the suspicion from which a set of segments is quarantined if nothing else at these
// crashes is as suspect: three crashes before a response had begun, or five after.
const segmentThreshold = 2*int(unanswered) + int(responding)

// undecidedFactor times segmentThreshold is the suspicion from which sets that explain the crashes equally
// well are all quarantined.
const undecidedFactor = 2

// segmentScope selects the suspects whose segments are compared: those of one organisation, or of all. A
// segment's ID is the caller's word, so that crashes under the requests of one organisation are no evidence
// against another's.
type segmentScope struct {
	kind         Kind // SegmentSet or SharedSegmentSet
	organisation string
}

func (s segmentScope) includes(q Request) bool {
	return s.kind == SharedSegmentSet || q.Organisation == s.organisation
}

// segmentEvidence is what crashes say against one segment in a scope.
type segmentEvidence struct {
	score int
	// unexplained is the part of the score from crashes that have no other cause, and byRequests that from
	// crashes of quarantined requests which have the segment themselves.
	unexplained, byRequests int
	requests                map[Key]struct{} // these requests
	crashes                 []*crash         // in the order of their times
	last                    time.Time
	contents                map[Key]struct{}
	organisations           map[string]struct{}
}

// segmentCulprit is a set of segments that explains crashes.
type segmentCulprit struct {
	key      Key
	segments []uint64
	score    int
	crashes  []*crash
	first    time.Time // of the crashes
	last     time.Time
}

// quarantineSegments quarantines the sets of segments that explain crashes best, and reports whether one was
// stored. The caller holds the lock.
func (r *Registry) quarantineSegments(now time.Time) (stored bool) {
	x := r.examine()
	for _, scope := range x.scopes {
		culprits := r.segmentCulprits(now, x, scope)
		for _, c := range culprits {
			r.dismissBystanders(now, c)
			stored = r.quarantine(c.key, period{until: c.last.Add(periodLength(1)), count: 1, segments: c.segments, since: c.first, learned: now}) || stored
		}
		if stored {
			break
		}
	}
	return stored
}

// segmentCulprits returns the sets of segments in a scope that reach a threshold.
func (r *Registry) segmentCulprits(now time.Time, x *examination, scope scopedSuspects) []segmentCulprit {
	evidence := x.segmentEvidence(scope, func(c *crash) bool { return now.Sub(c.lastChanged) >= settleTime })
	var out []segmentCulprit
	for id, e := range evidence {
		if e.isSufficient(scope.segmentScope) && r.isTopSegment(e, scope, evidence) {
			out = append(out, r.culpritWith(id, e, scope))
		}
	}
	slices.SortFunc(out, func(a, b segmentCulprit) int { return slices.Compare(a.segments, b.segments) })
	out = slices.CompactFunc(out, func(a, b segmentCulprit) bool { return a.key == b.key })
	undecided := func(c segmentCulprit) bool {
		return c.score < undecidedFactor*segmentThreshold && slices.ContainsFunc(out, c.competesWith)
	}
	var decided []segmentCulprit
	for _, c := range out {
		if len(c.segments) > 0 && !undecided(c) {
			decided = append(decided, c)
		}
	}
	return decided
}

// competesWith reports whether another set explains some of the same crashes.
func (c segmentCulprit) competesWith(other segmentCulprit) bool {
	return other.key != c.key && slices.ContainsFunc(c.crashes, func(at *crash) bool { return slices.Contains(other.crashes, at) })
}

// isSufficient reports whether the evidence against a segment reaches the threshold. Crashes under one request
// that is repeated are evidence against its whole content, and those of one organisation against no other.
// Where a cause is quarantined already, a crash that it doesn't explain is evidence for a segment that explains
// all of them, and so are several quarantined requests that share it.
func (e *segmentEvidence) isSufficient(scope segmentScope) bool {
	unexplained := e.unexplained
	if len(e.requests) > 1 {
		unexplained += e.byRequests
	}
	return e.score >= segmentThreshold && unexplained >= int(unanswered) && len(e.contents) > 1 &&
		(scope.kind == SegmentSet || len(e.organisations) > 1)
}

// segmentEvidence adds up the suspicion of each segment of a scope over the crashes that count.
func (x *examination) segmentEvidence(scope scopedSuspects, counts func(*crash) bool) map[uint64]*segmentEvidence {
	out := map[uint64]*segmentEvidence{}
	for i, c := range x.crashes {
		at := scope.at[c]
		if at == nil || !counts(c) {
			continue
		}
		requests := x.requests[c]
		for id, s := range at.segments {
			if !x.mayReplace(id, scope, requests) {
				continue
			}
			e := out[id]
			if e == nil {
				e = &segmentEvidence{requests: map[Key]struct{}{}, contents: map[Key]struct{}{}, organisations: map[string]struct{}{}}
				out[id] = e
			}
			if len(e.crashes) > 0 && c.at.Sub(e.last) < simultaneousWindow && (s == responding || !x.explainsSimultaneous(id, scope, i)) {
				continue
			}
			e.score += int(s)
			switch {
			case x.bySegments[c]:
			case len(requests) == 0:
				e.unexplained += int(s)
			default:
				e.addRequests(id, int(s), requests)
			}
			e.crashes = append(e.crashes, c)
			e.last = c.at
			for k, suspect := range at.suspects {
				if slices.Contains(suspect.segments, id) {
					e.contents[k] = struct{}{}
					e.organisations[k.Organisation] = struct{}{}
				}
			}
		}
	}
	return out
}

// suspects returns the suspects of a crash that are in the scope.
func (s segmentScope) suspects(c *crash) map[Key]suspect {
	out := map[Key]suspect{}
	for k, suspect := range c.suspects {
		if s.includes(suspect.request(k)) {
			out[k] = suspect
		}
	}
	return out
}

// mayReplace reports whether a segment was at all crashes of quarantined requests, so that it may be their cause in
// place of these requests.
func (x *examination) mayReplace(id uint64, scope scopedSuspects, requests map[Key]suspect) bool {
	for k := range requests {
		for _, c := range x.crashes {
			if _, present := c.suspects[k]; present && !scope.wasAt(id, c) {
				return false
			}
		}
	}
	return true
}

// addRequests adds a crash that quarantined requests explain, if one of them has the segment.
func (e *segmentEvidence) addRequests(id uint64, score int, requests map[Key]suspect) {
	shared := false
	for k, s := range requests {
		if slices.Contains(s.segments, id) {
			e.requests[k] = struct{}{}
			shared = true
		}
	}
	if shared {
		e.byRequests += score
	}
}

// explainsSimultaneous reports whether a segment was at all crashes within simultaneousWindow before the i-th. If
// it wasn't, they have a cause in common that isn't this segment, such as the loss of a machine.
func (x *examination) explainsSimultaneous(id uint64, scope scopedSuspects, i int) bool {
	for _, c := range slices.Backward(x.crashes[:i]) {
		if x.crashes[i].at.Sub(c.at) >= simultaneousWindow {
			break
		}
		if !scope.wasAt(id, c) {
			return false
		}
	}
	return true
}

// isTopSegment reports whether no other segment at the crashes of one has a higher score.
func (r *Registry) isTopSegment(e *segmentEvidence, scope scopedSuspects, evidence map[uint64]*segmentEvidence) bool {
	for _, c := range e.crashes {
		if r.hasCause(c) {
			continue
		}
		for other := range scope.at[c].segments {
			if o := evidence[other]; o != nil && o.score > e.score {
				return false
			}
		}
	}
	return true
}

// culpritWith returns the largest set of segments that was in a request at each crash of the given one.
// Segments that always come together can't be told apart; the set doesn't apply to requests that have only some
// of them, and shrinks when these are answered.
func (r *Registry) culpritWith(id uint64, e *segmentEvidence, scope scopedSuspects) segmentCulprit {
	first := e.crashes[0].at
	var common []uint64
	for i, c := range e.crashes {
		together := scope.segmentsBeside(id, c)
		if i == 0 {
			common = together
		}
		common = slices.DeleteFunc(common, func(other uint64) bool { return !slices.Contains(together, other) })
	}
	common = r.withoutCleared(scope.segmentScope, common, first)
	for _, c := range e.crashes {
		if !isTogether(scope.at[c].suspects, common) {
			common = slices.DeleteFunc(common, func(other uint64) bool { return other != id })
		}
	}
	return segmentCulprit{key: segmentSetKey(scope.kind, scope.organisation, common), segments: common, score: e.score, crashes: e.crashes, first: first, last: e.last}
}

// segmentsBeside returns the segments of the suspects of a crash that have a given one, ascending.
func (s scopedSuspects) segmentsBeside(id uint64, c *crash) (out []uint64) {
	for _, q := range s.at[c].suspects {
		if slices.Contains(q.segments, id) {
			out = append(out, q.segments...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// isTogether reports whether one of the suspects has all the segments.
func isTogether(suspects map[Key]suspect, segments []uint64) bool {
	for k, s := range suspects {
		if s.request(k).contains(segments) {
			return true
		}
	}
	return false
}

// withoutCleared returns the segments that were not in a prompt that was answered since a time.
func (r *Registry) withoutCleared(scope segmentScope, segments []uint64, since time.Time) []uint64 {
	return slices.DeleteFunc(slices.Clone(segments), func(id uint64) bool {
		if scope.kind == SegmentSet {
			return r.cleared[segmentKey(scope.organisation, id)].at.After(since)
		}
		for k, c := range r.cleared {
			if k.Kind == Segment && k.Digest == id && c.at.After(since) {
				return true
			}
		}
		return false
	})
}

// dismissBystanders clears the quarantined requests whose crashes are all explained by a set of segments that
// they don't have.
func (r *Registry) dismissBystanders(now time.Time, culprit segmentCulprit) {
	for k := range r.quarantined {
		if k.Kind == WholeRequest && r.isBystander(k, culprit) {
			r.clear(k, clearing{at: now, learned: now, count: r.cleared[k].count + 1})
		}
	}
}

func (r *Registry) isBystander(k Key, culprit segmentCulprit) bool {
	scope := segmentScope{culprit.key.Kind, culprit.key.Organisation}
	present := false
	for _, c := range r.crashes {
		s, found := c.suspects[k]
		if !found {
			continue
		}
		present = true
		if s.request(k).contains(culprit.segments) || !isTogether(scope.suspects(c), culprit.segments) {
			return false
		}
	}
	return present
}

// isSegmentSuspected reports whether a segment is suspected, in the prompts of any organisation, because of a
// crash before the given time.
func (r *Registry) isSegmentSuspected(id uint64, before time.Time) bool {
	if r.suspectedSegments == nil {
		r.indexSegments()
	}
	first, suspected := r.suspectedSegments[id]
	return suspected && first.Before(before)
}

// indexSegments sets the time of the first crash for each suspected segment.
func (r *Registry) indexSegments() {
	r.suspectedSegments = map[uint64]time.Time{}
	add := func(segments []uint64, at time.Time) {
		for _, id := range segments {
			if first, known := r.suspectedSegments[id]; !known || at.Before(first) {
				r.suspectedSegments[id] = at
			}
		}
	}
	for _, c := range r.crashes {
		for _, s := range c.suspects {
			add(s.segments, c.at)
		}
	}
	for _, p := range r.quarantined {
		add(p.segments, p.since)
	}
}

// clearSegment drops the evidence against a segment up to the time of a clearing, and takes it out of the
// quarantined sets. The caller holds the lock.
func (r *Registry) clearSegment(k Key, by clearing) {
	if r.verdictDue.IsZero() {
		r.verdictDue = by.learned // what remains may be decided now
	}
	for _, c := range r.crashes {
		if !c.at.Before(by.at) {
			continue
		}
		for suspect, s := range c.suspects {
			if suspect.Organisation == k.Organisation {
				s.segments = slices.DeleteFunc(slices.Clone(s.segments), func(id uint64) bool { return id == k.Digest })
				c.suspects[suspect] = s
			}
		}
	}
	for set, p := range r.quarantined {
		sameScope := set.Kind == SharedSegmentSet || set.Kind == SegmentSet && set.Organisation == k.Organisation
		if !sameScope || !slices.Contains(p.segments, k.Digest) || !p.since.Before(by.at) {
			continue
		}
		delete(r.quarantined, set)
		p.segments = slices.DeleteFunc(slices.Clone(p.segments), func(id uint64) bool { return id == k.Digest })
		if len(p.segments) == 0 {
			r.log.Info().Str("event", "request_cleared").Str("key", set.String()).Str("organisation", set.Organisation).Str("segments", SegmentName(k.Digest)).Msg("suspected segment was in a prompt that was answered; its quarantine ends")
			continue
		}
		r.quarantine(segmentSetKey(set.Kind, set.Organisation, p.segments), p)
	}
}

// isCovered reports whether a quarantined set applies to all requests that another one would apply to.
func (r *Registry) isCovered(k Key, p period) bool {
	for other, o := range r.quarantined {
		if isSameScope(other, k) && other != k && isSubset(o.segments, p.segments) && o.until.Compare(p.until) >= 0 {
			return true
		}
	}
	return false
}

// dropCovered drops the quarantined sets that a set applies to as well.
func (r *Registry) dropCovered(k Key, p period) {
	maps.DeleteFunc(r.quarantined, func(other Key, o period) bool {
		return isSameScope(k, other) && other != k && isSubset(p.segments, o.segments) && p.until.Compare(o.until) >= 0
	})
}

// isSameScope reports whether a set's scope includes that of another one.
func isSameScope(wide, narrow Key) bool {
	switch wide.Kind {
	case SegmentSet:
		return narrow.Kind == SegmentSet && wide.Organisation == narrow.Organisation
	case SharedSegmentSet:
		return narrow.Kind == SegmentSet || narrow.Kind == SharedSegmentSet
	default:
		return false
	}
}
