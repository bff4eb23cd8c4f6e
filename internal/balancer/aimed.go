package balancer

import "time"

// ObjectivePicker takes, for a request with a latency objective, the upstream on which it costs
// least, where being late counts most: the first token past the objective, and the end
// past the deadline, by far. Among upstreams that are in time it spares those that are
// crowded, so that room is left on fast ones for prompts that only they can read in
// time.
type ObjectivePicker struct {
	// CrossZoneCost is what an upstream of another availability zone than the request's counts
	// for in time.
	CrossZoneCost time.Duration
	// CrossRegionCost is what one of another region counts for beside that.
	CrossRegionCost time.Duration
	// Weights of what a choice costs.
	Weights ObjectiveWeights
	// IgnoreCompletionProbability sends an answer also where it hardly ends in time.
	IgnoreCompletionProbability bool
}

// ObjectiveWeights weigh times against each other.
type ObjectiveWeights struct {
	// Late counts the time of the first token past the objective.
	Late float64
	// Unfinished is what an upstream counts for on which the answer surely can't end before the
	// deadline: the answer is lost, and a slot until then.
	Unfinished time.Duration
	// Prefill counts the time spent on the prompt, which others wait for.
	Prefill float64
	// Occupancy is what an upstream whose slots are all taken counts for more than an
	// idle one.
	Occupancy time.Duration
	// Failure is what an upstream that fails all it is sent counts for more than one
	// that fails nothing.
	Failure time.Duration
	// Margin multiplies predictions before they are held against the objective.
	Margin float64
}

// DefaultObjectiveWeights earn the most credit for answers in time on loaded days of the
// deployments that docs/design/policy.md compares them on, with the trials.
var DefaultObjectiveWeights = ObjectiveWeights{
	Late:       5,
	Unfinished: 3 * time.Second,
	Prefill:    0.3,
	Occupancy:  300 * time.Millisecond,
	Failure:    time.Second,
	Margin:     1,
}

// leastChance is the part of the best chance to end in time, at any upstream that works, below which
// one gets nothing although it alone has room: an answer that runs into its deadline is worth nothing
// and holds a slot for about eight times as long as others do.
const leastChance = 0.7

// Pick implements Picker.
func (p *ObjectivePicker) Pick(now time.Time, upstreams []*Upstream, w Work) Choice {
	chances := w.CompletionProbabilities
	if chances == nil {
		chances = NewCompletionProbabilities(now, upstreams, w)
	}
	least := leastChance * chances.Best
	if p.IgnoreCompletionProbability {
		least = 0
	}
	var best Choice
	bestCost := time.Duration(0)
	for _, u := range upstreams {
		if !p.IgnoreCompletionProbability && chances.isTooSlow(u, w) {
			continue
		}
		uncached := w.UncachedTokens(u)
		if !u.HasCapacity(now, uncached) {
			continue
		}
		first := u.Speed.PredictFirstToken(u.TokensAhead() + uncached)
		chance := chances.at(u, w, first)
		if chance < least {
			continue
		}
		cost := p.cost(u, w, uncached, first, chance)
		if best.Upstream == nil || cost < bestCost {
			best, bestCost = Choice{Upstream: u, UncachedTokens: uncached}, cost
		}
	}
	return best
}

// RecordSent implements Picker.
func (*ObjectivePicker) RecordSent(*Upstream, Work) {}

// cost is what an upstream counts for, on which the first token is predicted and the answer has a
// chance to end in time.
func (p *ObjectivePicker) cost(u *Upstream, w Work, uncached int, first time.Duration, chance float64) time.Duration {
	cost := scale(u.Occupancy(), p.Weights.Occupancy) + scale(u.FailureShare, p.Weights.Failure)
	if u.Zone != w.Zone {
		cost += p.CrossZoneCost
	}
	if w.Region != "" && u.Region != "" && u.Region != w.Region {
		cost += p.CrossRegionCost
	}
	if w.PromptTokens == 0 {
		return cost // no engine: nothing is known of its speed
	}
	cost += scale(p.Weights.Prefill, u.Speed.PredictFirstToken(uncached))
	if w.FirstTokenWithin > 0 {
		cost += scale(p.Weights.Late, past(scale(p.Weights.Margin, first), w.FirstTokenWithin))
	}
	return cost + scale(1-chance, p.Weights.Unfinished)
}

// past is how far a time lies past a bound.
func past(t, bound time.Duration) time.Duration { return max(t-bound, 0) }

func scale(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}
