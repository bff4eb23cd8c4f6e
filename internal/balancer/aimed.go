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
	// Weights of what a choice costs.
	Weights AimedWeights
}

// AimedWeights weigh times against each other.
type AimedWeights struct {
	// Late counts the time of the first token past the objective.
	Late float64
	// Unfinished counts the time of the end past the deadline.
	Unfinished float64
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
	Unfinished: 0.1,
	Reading:    0.3,
	Crowding:   300 * time.Millisecond,
	Failing:    time.Second,
	Margin:     1,
}

// Pick implements Picker.
func (p *Aimed) Pick(now time.Time, upstreams []*Upstream, w Work) Choice {
	var best Choice
	bestCost := time.Duration(0)
	for _, u := range upstreams {
		uncached := w.Uncached(u)
		if !u.HasRoom(now, uncached) {
			continue
		}
		cost := p.cost(u, w, uncached)
		if best.Upstream == nil || cost < bestCost {
			best, bestCost = Choice{Upstream: u, Uncached: uncached}, cost
		}
	}
	return best
}

// Sent implements Picker.
func (*Aimed) Sent(*Upstream, Work) {}

func (p *Aimed) cost(u *Upstream, w Work, uncached int) time.Duration {
	cost := scale(u.Occupancy(), p.Weights.Crowding) + scale(u.FailureShare, p.Weights.Failing)
	if u.Zone != w.Zone {
		cost += p.FarCost
	}
	if w.Prompt == 0 {
		return cost // no engine: nothing is known of its speed
	}
	first := u.Speed.FirstToken(u.Ahead() + uncached)
	cost += scale(p.Weights.Reading, u.Speed.FirstToken(uncached))
	if w.FirstIn > 0 {
		cost += scale(p.Weights.Late, past(scale(p.Weights.Margin, first), w.FirstIn))
	}
	if w.EndIn > 0 {
		end := first + u.Speed.Decode(w.Output, 1)
		cost += scale(p.Weights.Unfinished, past(scale(p.Weights.Margin, end), w.EndIn))
	}
	return cost
}

// past is how far a time lies past a bound.
func past(t, bound time.Duration) time.Duration { return max(t-bound, 0) }

func scale(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}
