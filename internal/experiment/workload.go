// Package experiment compares the scheduling policy with baselines in virtual time. It runs the real
// scheduling packages between a seeded workload and model engines of one availability zone. It doesn't
// simulate a cluster: there is no network, no daemon and no peer protocol.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tacktally/tacktally/internal/prefix"
	"github.com/tacktally/tacktally/internal/standin/engine"
)

// class is a class of requests, with their tier, share and lengths.
type class struct {
	tier       int
	share      float64 // share of all requests
	promptLow  float64 // minimum prompt length in tokens, without system
	promptHigh float64 // maximum prompt length in tokens, without system
	output     float64 // mean output length in tokens
	limit      int     // requested output limit in tokens
	firstToken time.Duration
	timeout    time.Duration
	revisit    float64 // share that continues an earlier prompt
	system     int     // tokens of the prefix that all requests of the class and an organisation share
}

// Deployment is one availability zone with its engines and its workload.
type Deployment struct {
	Name    string
	engines []engine.Spec
	classes []class
}

// generation returns n engines of one hardware generation.
func generation(n int, prefill float64, base, perSequence time.Duration, slots, cache int) []engine.Spec {
	out := make([]engine.Spec, n)
	for i := range out {
		out[i] = engine.Spec{PrefillPerSecond: prefill, StepBase: base, StepPerSequence: perSequence, Slots: slots, ChunkTokens: 512, CacheBlocks: cache}
	}
	return out
}

func concat(lists ...[]engine.Spec) (out []engine.Spec) {
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

// Addis returns the deployment of Gebremedhin: 14 engines of different speed, short live quotes and long
// inventories.
func Addis() Deployment {
	return Deployment{
		Name: "Addis",
		engines: concat(
			generation(3, 14_000, 10*time.Millisecond, 250*time.Microsecond, 32, 2000),
			generation(4, 8_000, 15*time.Millisecond, 400*time.Microsecond, 24, 1200),
			generation(4, 4_500, 22*time.Millisecond, 600*time.Microsecond, 16, 800),
			generation(3, 2_200, 30*time.Millisecond, 900*time.Microsecond, 12, 400)),
		classes: []class{
			{tier: 0, share: 0.25, promptLow: 60, promptHigh: 600, output: 60, limit: 128, firstToken: 1100 * time.Millisecond, timeout: 12 * time.Second, revisit: 0.1, system: 256},
			{tier: 1, share: 0.30, promptLow: 100, promptHigh: 2000, output: 150, limit: 400, firstToken: 3 * time.Second, timeout: 30 * time.Second, revisit: 0.5, system: 512},
			{tier: 2, share: 0.10, promptLow: 1500, promptHigh: 16_000, output: 400, limit: 800, firstToken: 15 * time.Second, timeout: 90 * time.Second, revisit: 0.4, system: 1024},
			{tier: 3, share: 0.35, promptLow: 30, promptHigh: 300, output: 12, limit: 32, timeout: 60 * time.Second, revisit: 0, system: 384},
		},
	}
}

// Colombo returns the deployment of Wijesinghe: 13 engines of different speed, counter matches and long
// dossiers that are prefilled repeatedly.
func Colombo() Deployment {
	return Deployment{
		Name: "Colombo",
		engines: concat(
			generation(2, 14_000, 10*time.Millisecond, 250*time.Microsecond, 32, 2000),
			generation(5, 8_000, 15*time.Millisecond, 400*time.Microsecond, 24, 1200),
			generation(3, 4_500, 22*time.Millisecond, 600*time.Microsecond, 16, 800),
			generation(3, 2_200, 30*time.Millisecond, 900*time.Microsecond, 12, 400)),
		classes: []class{
			{tier: 0, share: 0.30, promptLow: 80, promptHigh: 800, output: 50, limit: 128, firstToken: 1100 * time.Millisecond, timeout: 10 * time.Second, revisit: 0.2, system: 512},
			{tier: 1, share: 0.25, promptLow: 200, promptHigh: 3000, output: 120, limit: 300, firstToken: 3 * time.Second, timeout: 30 * time.Second, revisit: 0.5, system: 512},
			{tier: 2, share: 0.15, promptLow: 2000, promptHigh: 20_000, output: 250, limit: 600, firstToken: 15 * time.Second, timeout: 90 * time.Second, revisit: 0.7, system: 1024},
			{tier: 3, share: 0.30, promptLow: 30, promptHigh: 300, output: 10, limit: 32, timeout: 60 * time.Second, revisit: 0, system: 384},
		},
	}
}

// organisations holds the organisations and their shares of the load: a few are large.
var organisations = []struct {
	name  string
	share float64
}{{"a", 0.42}, {"b", 0.30}, {"c", 0.15}, {"d", 0.09}, {"e", 0.04}}

// arrival is one request of the workload. The same seed gives the same arrivals for every policy.
type arrival struct {
	at           time.Duration
	class        *class
	organisation string
	prompt       int
	output       int
	prefixHashes []uint64
}

// generator draws the workload.
type generator struct {
	random   *rand.Rand
	classes  []class
	sessions map[int][][]uint64 // by class, prefix hashes of prompts that may be continued
}

const (
	maxSessionsPerClass = 200
	// paretoShape is the shape parameter of the heavy-tailed distribution of prompt lengths.
	paretoShape = 1.1
)

func newGenerator(seed uint64, classes []class) *generator {
	return &generator{random: rand.New(rand.NewPCG(seed, 7)), classes: classes, sessions: map[int][][]uint64{}}
}

// draw returns one request that arrives at the given time.
func (g *generator) draw(at time.Duration) *arrival {
	i := g.drawClass()
	c := &g.classes[i]
	a := &arrival{at: at, class: c, organisation: g.drawOrganisation()}
	a.prompt = g.drawLength(c.promptLow, c.promptHigh) + c.system
	a.output = min(max(int(g.random.ExpFloat64()*c.output), 1), c.limit)
	a.prefixHashes = g.drawPrefixHashes(i, a)
	return a
}

// drawClass draws a class by the shares of the classes, and returns its index.
func (g *generator) drawClass() int {
	x := g.random.Float64()
	for i, c := range g.classes {
		if x -= c.share; x < 0 {
			return i
		}
	}
	return len(g.classes) - 1
}

// drawOrganisation draws an organisation by its share of the load.
func (g *generator) drawOrganisation() string {
	x := g.random.Float64()
	for _, o := range organisations {
		if x -= o.share; x < 0 {
			return o.name
		}
	}
	return organisations[0].name
}

// drawLength draws a prompt length from a bounded Pareto distribution.
func (g *generator) drawLength(low, high float64) int {
	u := g.random.Float64()
	l, h := math.Pow(low, paretoShape), math.Pow(high, paretoShape)
	return int(math.Pow(-(u*h-u*l-h)/(h*l), -1/paretoShape))
}

// drawPrefixHashes returns the prefix hashes of a prompt: those of an earlier prompt where the request
// continues one, otherwise those of the shared prefix, then unique blocks. It may lengthen a.prompt.
func (g *generator) drawPrefixHashes(i int, a *arrival) []uint64 {
	c := a.class
	blocks := a.prompt / prefix.BlockTokens
	var hashes []uint64
	if earlier := g.sessions[i]; len(earlier) > 0 && g.random.Float64() < c.revisit {
		hashes = append(hashes, earlier[g.random.IntN(len(earlier))]...)
		a.prompt = max(a.prompt, len(hashes)*prefix.BlockTokens+30)
	} else {
		for n := range min(c.system/prefix.BlockTokens, blocks) {
			hashes = append(hashes, uint64(i+1)<<40|uint64(a.organisation[0])<<32|uint64(n))
		}
	}
	for len(hashes) < a.prompt/prefix.BlockTokens {
		hashes = append(hashes, g.random.Uint64())
	}
	if c.revisit > 0 {
		g.sessions[i] = append(g.sessions[i], hashes)
		if len(g.sessions[i]) > maxSessionsPerClass {
			g.sessions[i] = g.sessions[i][1:]
		}
	}
	return hashes
}

// capacity returns the rate of the mix of requests that the engines can serve, in requests per second, from
// the mean lengths that a generator draws and without any cache hits.
func (d Deployment) capacity() float64 {
	g := newGenerator(1, d.classes)
	prompt, output := 0.0, 0.0
	const draws = 20_000
	for range draws {
		a := g.draw(0)
		prompt += float64(a.prompt) / draws
		output += float64(a.output) / draws
	}
	total := 0.0
	for _, e := range d.engines {
		perToken := e.StepBase.Seconds()/float64(e.Slots) + e.StepPerSequence.Seconds()
		total += 1 / (prompt/e.PrefillPerSecond + output*perToken)
	}
	return total
}
