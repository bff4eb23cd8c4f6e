package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxFullScan is the number of upstreams up to which all are considered.
	maxFullScan = 64
	// sampleSize is the number considered if there are more.
	sampleSize = 32
	// decodeWeight is the weight of the time to generate the response. A fast decode is good, but a
	// response in time from the engine that has the prompt cached saves a prefill.
	decodeWeight = 0.3
	// affinityEntries bounds the cache of upstreams by the prefix they were sent.
	affinityEntries = 8192
)

// Predictive picks the upstream with the lowest predicted cost: the time to the first token, a
// share of the time to generate the response, and PrefillWeight times the prefill time, for which
// other requests wait. It considers only upstreams with capacity.
type Predictive struct {
	// PrefillWeight multiplies the prefill time of the uncached prompt, which is added to the time
	// to the first token. Higher values waste less prefill; lower values respond sooner.
	PrefillWeight float64
	// Random draws the sample if there are more than maxFullScan upstreams.
	Random *rand.Rand

	affinity *simplelru.LRU[uint64, *Upstream]
}

// NewPredictive returns a Predictive with the given weight.
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
	p.forEachCandidate(upstreams, w, consider)
	return best
}

func (p *Predictive) cost(u *Upstream, w Work, uncached int) time.Duration {
	first := u.Speed.PredictFirstToken(u.TokensAhead() + uncached)
	prefill := time.Duration(float64(u.Speed.PredictFirstToken(uncached)) * p.PrefillWeight)
	decode := time.Duration(float64(u.Speed.PredictDecode(w.ExpectedOutput, 1)) * decodeWeight)
	return first + prefill + decode
}

// forEachCandidate calls f for the upstreams to consider: all of them up to maxFullScan, otherwise
// a sample and those that were sent the same prefix.
func (p *Predictive) forEachCandidate(upstreams []*Upstream, w Work, f func(*Upstream)) {
	if len(upstreams) <= maxFullScan {
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
	stride := len(upstreams)/sampleSize + 1
	for i := range sampleSize {
		f(upstreams[(start+i*stride)%len(upstreams)])
	}
}

// RecordSent implements Picker. It records the upstream for the prefix, at the lengths that Pick
// looks up.
func (p *Predictive) RecordSent(u *Upstream, w Work) {
	for at := len(w.PrefixHashes); at > 0; at /= 2 {
		p.affinity.Add(w.PrefixHashes[at-1], u)
	}
}
