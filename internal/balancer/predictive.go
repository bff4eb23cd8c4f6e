package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// scanAll is the number of upstreams up to which all are looked at.
	scanAll = 64
	// sampled is how many are looked at when there are more.
	sampled = 32
	// decodeWeight is what the time to write the answer counts for. A faster
	// answer is good, but an answer in time on the engine that holds the prompt
	// saves reading it again.
	decodeWeight = 0.3
	// affinityEntries bounds the memory of who was sent which prefix.
	affinityEntries = 8192
)

// Predictive takes the upstream with the least predicted cost: the time to the
// first token, a part of the time to write the answer, and again the time it
// spends on reading the prompt, which others wait for. Only upstreams with room
// count.
type Predictive struct {
	// PrefillWeight is how often the reading of uncached prompt counts beside the
	// time to the first token. Higher wastes less prefill, lower answers sooner.
	PrefillWeight float64
	// Random draws the sample among many upstreams.
	Random *rand.Rand

	affinity *simplelru.LRU[uint64, *Upstream]
}

// NewPredictive returns the daemon's picker.
func NewPredictive(prefillWeight float64, random *rand.Rand) *Predictive {
	lru, err := simplelru.NewLRU[uint64, *Upstream](affinityEntries, nil)
	if err != nil {
		panic("balancer: a positive size always makes a cache: " + err.Error())
	}
	return &Predictive{PrefillWeight: prefillWeight, Random: random, affinity: lru}
}

// Pick implements Picker.
func (p *Predictive) Pick(now time.Time, upstreams []*Upstream, w Work) Choice {
	var best Choice
	bestCost := time.Duration(0)
	consider := func(u *Upstream) {
		uncached := w.UncachedTokens(u)
		if !u.HasCapacity(now, uncached) {
			return
		}
		cost := p.cost(u, w, uncached)
		if best.Upstream == nil || cost < bestCost {
			best, bestCost = Choice{Upstream: u, UncachedTokens: uncached}, cost
		}
	}
	p.each(upstreams, w, consider)
	return best
}

func (p *Predictive) cost(u *Upstream, w Work, uncached int) time.Duration {
	first := u.Speed.PredictFirstToken(u.TokensAhead() + uncached)
	reading := time.Duration(float64(u.Speed.PredictFirstToken(uncached)) * p.PrefillWeight)
	writing := time.Duration(float64(u.Speed.PredictDecode(w.ExpectedOutput, 1)) * decodeWeight)
	return first + reading + writing
}

// each calls f for the upstreams to look at: all of a few; of many, those that
// were sent the same prefix and a sample.
func (p *Predictive) each(upstreams []*Upstream, w Work, f func(*Upstream)) {
	if len(upstreams) <= scanAll {
		for _, u := range upstreams {
			f(u)
		}
		return
	}
	for at := len(w.PrefixHashes); at > 0; at /= 2 {
		if u, ok := p.affinity.Get(w.PrefixHashes[at-1]); ok {
			f(u)
		}
	}
	start := p.Random.IntN(len(upstreams))
	stride := len(upstreams)/sampled + 1
	for i := range sampled {
		f(upstreams[(start+i*stride)%len(upstreams)])
	}
}

// RecordSent implements Picker. It records who was sent the prefix, at the lengths that
// each looks up.
func (p *Predictive) RecordSent(u *Upstream, w Work) {
	for at := len(w.PrefixHashes); at > 0; at /= 2 {
		p.affinity.Add(w.PrefixHashes[at-1], u)
	}
}
