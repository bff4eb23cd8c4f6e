package quarantine

import (
	"maps"
	"slices"
)

// examination is the evidence against segments at one time, arranged so that its cost doesn't grow with the number
// of organisations.
type examination struct {
	crashes []*crash // in the order of their times
	// requests are the suspects of a crash whose whole content is quarantined, and bySegments reports whether any
	// suspect of a crash has a quarantined set of segments.
	requests   map[*crash]map[Key]suspect
	bySegments map[*crash]bool
	scopes     []scopedSuspects // the narrowest first
}

// scopedSuspects are the suspects of a scope that have segments, by crash.
type scopedSuspects struct {
	segmentScope
	at map[*crash]*scopedCrash
}

// scopedCrash has the suspects of a crash that are in a scope, and the suspicion of their segments. Segments that
// were at a single crash are left out, since they reach no threshold.
type scopedCrash struct {
	suspects map[Key]suspect
	segments map[uint64]suspicion
}

// wasAt reports whether a segment was at a crash.
func (s scopedSuspects) wasAt(id uint64, c *crash) bool {
	at := s.at[c]
	if at == nil {
		return false
	}
	_, present := at.segments[id]
	return present
}

// add adds a suspect of a crash.
func (s scopedSuspects) add(c *crash, k Key, q suspect) {
	at := s.at[c]
	if at == nil {
		at = &scopedCrash{suspects: map[Key]suspect{}}
		s.at[c] = at
	}
	at.suspects[k] = q
}

// examine arranges the evidence. The caller holds the lock.
func (r *Registry) examine() *examination {
	x := &examination{crashes: r.crashesByTime(), requests: map[*crash]map[Key]suspect{}, bySegments: map[*crash]bool{}}
	organisations := map[string]scopedSuspects{}
	all := scopedSuspects{segmentScope{kind: SharedSegmentSet}, map[*crash]*scopedCrash{}}
	for _, c := range x.crashes {
		x.requests[c], x.bySegments[c] = r.quarantinedRequests(c), r.hasSegmentCause(c)
		for k, s := range c.suspects {
			if len(s.segments) == 0 {
				continue
			}
			own, known := organisations[k.Organisation]
			if !known {
				own = scopedSuspects{segmentScope{SegmentSet, k.Organisation}, map[*crash]*scopedCrash{}}
				organisations[k.Organisation] = own
			}
			own.add(c, k, s)
			all.add(c, k, s)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(organisations)) {
		x.scopes = append(x.scopes, organisations[name])
	}
	if len(organisations) > 1 {
		x.scopes = append(x.scopes, all)
	}
	for _, scope := range x.scopes {
		r.addSuspicions(scope)
	}
	return x
}

// quarantinedRequests returns the suspects of a crash whose whole content is quarantined.
func (r *Registry) quarantinedRequests(c *crash) map[Key]suspect {
	out := map[Key]suspect{}
	for k, s := range c.suspects {
		if _, quarantined := r.quarantined[k]; quarantined {
			out[k] = s
		}
	}
	return out
}

// addSuspicions sets the suspicion of the segments of a scope.
func (r *Registry) addSuspicions(scope scopedSuspects) {
	crashes := map[uint64]int{}
	for _, at := range scope.at {
		at.segments = r.suspicions(at.suspects)
		for id := range at.segments {
			crashes[id]++
		}
	}
	for _, at := range scope.at {
		maps.DeleteFunc(at.segments, func(id uint64, _ suspicion) bool { return crashes[id] < 2 })
	}
}

// suspicions returns the suspicion of each segment of the suspects of a crash. A segment in prompts that were
// answered recently, of any organisation, has the weight of a response that had started.
func (r *Registry) suspicions(suspects map[Key]suspect) map[uint64]suspicion {
	out := map[uint64]suspicion{}
	for _, s := range suspects {
		for _, id := range s.segments {
			weight := s.suspicion
			if r.segmentResponses.has(segmentKey("", id)) {
				weight = responding
			}
			out[id] = max(out[id], weight)
		}
	}
	return out
}
