package scheduler

import (
	"math"

	"github.com/tacktally/tacktally/internal/balancer"
)

const (
	// initialSpread is the standard deviation of the logarithm that is assumed until lengths have
	// been observed.
	initialSpread = 0.5
	// spreadGain is the weight of one response; the estimate averages over about a hundred.
	spreadGain = 0.01
	// maxError bounds the error (of the logarithm) that one response contributes.
	maxError = 3
)

// lengthError estimates the error of expected output lengths, as the standard deviation of its
// logarithm.
type lengthError struct {
	variance float64
	spread   balancer.Spread
}

func newLengthError() lengthError {
	return lengthError{variance: initialSpread * initialSpread, spread: balancer.NewSpread(initialSpread)}
}

// observe records the output tokens of a complete response and the number that was expected.
func (l *lengthError) observe(expected, output int) {
	if expected <= 0 || output <= 0 {
		return
	}
	e := min(math.Abs(math.Log(float64(output)/float64(expected))), maxError)
	l.variance += spreadGain * (e*e - l.variance)
	l.spread = balancer.NewSpread(math.Sqrt(l.variance))
}
