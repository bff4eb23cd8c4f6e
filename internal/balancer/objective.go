package balancer

import "time"

// ObjectivePicker picks the upstream with the lowest cost for a request with a latency objective.
// Most of the cost is lateness: of the first token past the objective and, by far the most, of the
// end past the deadline. Among upstreams that are in time it avoids crowded ones. This keeps
// capacity free on fast upstreams for the prompts that only they can prefill in time.
type ObjectivePicker struct {
	// CrossZoneCost is the cost of an upstream in another availability zone than the request's.
	CrossZoneCost time.Duration
	// CrossRegionCost is the additional cost of an upstream in another region.
	CrossRegionCost time.Duration
	// Weights of the parts of the cost.
	Weights ObjectiveWeights
	// IgnoreCompletionProbability disables the filter that withholds requests from upstreams on
	// which they are unlikely to complete in time.
	IgnoreCompletionProbability bool
}

// ObjectiveWeights are the weights of the parts of an upstream's cost.
type ObjectiveWeights struct {
	// Late multiplies the time of the first token past the objective.
	Late float64
	// Unfinished is the cost of an upstream on which the response certainly cannot complete before
	// the deadline. It would be lost, and hold a slot until then.
	Unfinished time.Duration
	// Prefill multiplies the time to prefill the prompt, for which other requests wait.
	Prefill float64
	// Occupancy is the cost of an upstream with all slots taken, relative to an idle one.
	Occupancy time.Duration
	// Failure is the cost of an upstream that fails all requests, relative to one that fails none.
	Failure time.Duration
	// Margin multiplies the predicted time to the first token before it is compared with the
	// objective.
	Margin float64
}

// DefaultObjectiveWeights earn the most credit for responses in time on loaded days of the
// deployments that docs/design/policy.md compares them on.
var DefaultObjectiveWeights = ObjectiveWeights{
	Late:       5,
	Unfinished: 3 * time.Second,
	Prefill:    0.3,
	Occupancy:  300 * time.Millisecond,
	Failure:    time.Second,
	Margin:     1,
}

// minCompletionRatio is the ratio to the best completion probability at any usable upstream below
// which an upstream is not used, even if it is the only one with capacity. A response that runs
// into its deadline is worth nothing and holds a slot for about eight times as long as others do.
const minCompletionRatio = 0.7

// Pick implements Picker.
func (p *ObjectivePicker) Pick(now time.Time, upstreams []*Upstream, w Work) Choice {
	probabilities := w.CompletionProbabilities
	if probabilities == nil {
		probabilities = NewCompletionProbabilities(now, upstreams, w)
	}
	minProbability := minCompletionRatio * probabilities.Best
	if p.IgnoreCompletionProbability {
		minProbability = 0
	}
	var best Choice
	bestCost := time.Duration(0)
	for _, u := range upstreams {
		if !p.IgnoreCompletionProbability && probabilities.isTooSlow(u, w) {
			continue
		}
		uncached := w.UncachedTokens(u)
		if !u.HasCapacity(now, uncached) {
			continue
		}
		first := u.PredictFirstToken(now, u.TokensAhead()+uncached)
		wait := u.SlotWait(now)
		if wait > 0 && w.missesObjective(wait, w.predictFirst(now, u, uncached)) {
			continue
		}
		first += wait
		probability := probabilities.at(now, u, w, first)
		if probability < minProbability {
			continue
		}
		cost := p.cost(now, u, w, uncached, first, probability)
		if best.Upstream == nil || cost < bestCost {
			best, bestCost = Choice{Upstream: u, UncachedTokens: uncached}, cost
		}
	}
	return best
}

// RecordSent implements Picker.
func (*ObjectivePicker) RecordSent(*Upstream, Work) {}

// cost returns the cost of an upstream, given the predicted time to the first token and the
// completion probability.
func (p *ObjectivePicker) cost(now time.Time, u *Upstream, w Work, uncached int, first time.Duration, probability float64) time.Duration {
	cost := scale(u.Occupancy(), p.Weights.Occupancy) + scale(u.FailureShare, p.Weights.Failure)
	if u.Zone != w.Zone {
		cost += p.CrossZoneCost
	}
	if w.Region != "" && u.Region != "" && u.Region != w.Region {
		cost += p.CrossRegionCost
	}
	if w.PromptTokens == 0 {
		return cost + u.extraPlainTime(now) // not an engine: it has no speed
	}
	cost += scale(p.Weights.Prefill, u.PredictFirstToken(now, uncached))
	if w.FirstTokenWithin > 0 {
		cost += scale(p.Weights.Late, excess(scale(p.Weights.Margin, first), w.FirstTokenWithin))
	}
	return cost + scale(1-probability, p.Weights.Unfinished)
}

// excess returns the time by which t exceeds bound, or 0.
func excess(t, bound time.Duration) time.Duration { return max(t-bound, 0) }

func scale(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}
