package scheduler

import (
	"math"

	"github.com/tacktally/tacktally/internal/balancer"
)

const (
	// initialSpread is assumed of how far lengths are from what is expected until some are known.
	initialSpread = 0.5
	// spreadGain is the weight of one answer: some hundred tell.
	spreadGain = 0.01
	// mostError bounds what one answer counts for.
	mostError = 3
)

// lengths learns how far the lengths of answers are from what was expected of them, as the standard
// deviation of their logarithm.
type lengths struct {
	variance float64
	spread   balancer.Spread
}

func newLengths() lengths {
	return lengths{variance: initialSpread * initialSpread, spread: balancer.NewSpread(initialSpread)}
}

// observe takes a whole answer's output tokens beside what was expected.
func (l *lengths) observe(expected, output int) {
	if expected <= 0 || output <= 0 {
		return
	}
	e := min(math.Abs(math.Log(float64(output)/float64(expected))), mostError)
	l.variance += spreadGain * (e*e - l.variance)
	l.spread = balancer.NewSpread(math.Sqrt(l.variance))
}
