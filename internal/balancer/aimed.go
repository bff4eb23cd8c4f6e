package balancer

import "time"

// Aimed takes, for a request with a latency objective, the upstream on which it costs
// least, where being late counts most: the first token past the objective, and the end
// past the deadline, by far. Among upstreams that are in time it spares those that are
// crowded, so that room is left on fast ones for prompts that only they can read in
// time.
type Aimed struct {
	// FarCost is what an upstream of another availability zone than the request's counts
	// for in time.
	FarCost time.Duration
	// FarRegionCost is what one of another region counts for beside that.
	FarRegionCost time.Duration
	// Weights of what a choice costs.
	Weights AimedWeights
	// AnyChance sends an answer also where it hardly ends in time.
	AnyChance bool
}

// AimedWeights weigh times against each other.
type AimedWeights struct {
	// Late counts the time of the first token past the objective.
	Late float64
	// Unfinished is what an upstream counts for on which the answer surely can't end before the
	// deadline: the answer is lost, and a slot until then.
	Unfinished time.Duration
	// Reading counts the time spent on the prompt, which others wait for.
	Reading float64
	// Crowding is what an upstream whose slots are all taken counts for more than an
	// idle one.
	Crowding time.Duration
	// Failing is what an upstream that fails all it is sent counts for more than one
	// that fails nothing.
	Failing time.Duration
	// Margin multiplies predictions before they are held against the objective.
	Margin float64
}

// DefaultAimedWeights earn the most credit for answers in time on loaded days of the
// deployments that docs/design/policy.md compares them on, with the trials.
var DefaultAimedWeights = AimedWeights{
	Late:       5,
	Unfinished: 3 * time.Second,
	Reading:    0.3,
	Crowding:   300 * time.Millisecond,
	Failing:    time.Second,
	Margin:     1,
}

// leastChance is the part of the best chance to end in time, at any upstream that works, below which
// one gets nothing although it alone has room: an answer that runs into its deadline is worth nothing
// and holds a slot for about eight times as long as others do.
const leastChance = 0.7

// Pick implements Picker.
func (p *Aimed) Pick(now time.Time, upstreams []*Upstream, w Work) Choice {
	chances := w.Chances
	if chances == nil {
		chances = ChancesOf(now, upstreams, w)
	}
	least := leastChance * chances.Best
	if p.AnyChance {
		least = 0
	}
	var best Choice
	bestCost := time.Duration(0)
	for _, u := range upstreams {
		if !p.AnyChance && chances.isTooSlow(u, w) {
			continue
		}
		uncached := w.Uncached(u)
		if !u.HasRoom(now, uncached) {
			continue
		}
		first := u.Speed.FirstToken(u.Ahead() + uncached)
		chance := chances.at(u, w, first)
		if chance < least {
			continue
		}
		cost := p.cost(u, w, uncached, first, chance)
		if best.Upstream == nil || cost < bestCost {
			best, bestCost = Choice{Upstream: u, Uncached: uncached}, cost
		}
	}
	return best
}

// Sent implements Picker.
func (*Aimed) Sent(*Upstream, Work) {}

// cost is what an upstream counts for, on which the first token is predicted and the answer has a
// chance to end in time.
func (p *Aimed) cost(u *Upstream, w Work, uncached int, first time.Duration, chance float64) time.Duration {
	cost := scale(u.Occupancy(), p.Weights.Crowding) + scale(u.FailureShare, p.Weights.Failing)
	if u.Zone != w.Zone {
		cost += p.FarCost
	}
	if w.Region != "" && u.Region != "" && u.Region != w.Region {
		cost += p.FarRegionCost
	}
	if w.Prompt == 0 {
		return cost // no engine: nothing is known of its speed
	}
	cost += scale(p.Weights.Reading, u.Speed.FirstToken(uncached))
	if w.FirstIn > 0 {
		cost += scale(p.Weights.Late, past(scale(p.Weights.Margin, first), w.FirstIn))
	}
	return cost + scale(1-chance, p.Weights.Unfinished)
}

// past is how far a time lies past a bound.
func past(t, bound time.Duration) time.Duration { return max(t-bound, 0) }

func scale(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}
