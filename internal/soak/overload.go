package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// minSurge and maxSurge bound how long an organisation sends several times its usual traffic.
	minSurge = 500 * time.Millisecond
	maxSurge = 2 * time.Second
	// overloadStream separates the random numbers of overloads from those of plans.
	overloadStream = 0x0ead
)

// Overload is what one run adds to its faults to make upstreams short of capacity.
type Overload struct {
	// Settings reports whether the instances run with the settings for overload.
	Settings bool
	// SurgeAt is when an organisation begins to send several times its usual traffic, and SurgeFor
	// how long; 0 if none does.
	SurgeAt, SurgeFor time.Duration
}

// NewOverload draws the overload of a run of the given length. Four consecutive seeds have all
// combinations of settings and surge. The plan of a seed doesn't depend on it.
func NewOverload(seed uint64, length time.Duration) Overload {
	o := Overload{Settings: seed%2 == 1}
	if seed/2%2 == 1 {
		return o
	}
	r := rand.New(rand.NewPCG(seed, overloadStream))
	o.SurgeFor = minSurge + time.Duration(r.Int64N(int64(maxSurge-minSurge)))
	o.SurgeAt = time.Duration(r.Float64() * float64(max(length-o.SurgeFor, 0)))
	return o
}
