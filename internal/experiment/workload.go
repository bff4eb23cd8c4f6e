// Package experiment measures the scheduling policy in virtual time: the real
// decision packages between a seeded workload and stand-in engines of one
// availability zone, side by side with baselines. It is no simulator of a
// cluster: no network, no daemon and no peer protocol are in it, only decisions.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tacktally/tacktally/internal/prefix"
	"github.com/tacktally/tacktally/internal/standin/engine"
)

// class is a sort of request: its tier and how long its prompts and answers are.
type class struct {
	tier       int
	share      float64 // of all requests
	promptLow  float64 // tokens
	promptHigh float64
	output     float64 // mean tokens
	limit      int     // output limit asked for
	firstToken time.Duration
	timeout    time.Duration
	revisit    float64 // share that goes on with an earlier prompt
	system     int     // tokens that all of an organisation's requests begin with
}

// Deployment is one availability zone of a user.
type Deployment struct {
	Name    string
	engines []engine.Spec
	classes []class
}

// generation returns so many engines of one generation of hardware.
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

// Addis is Gebremedhin's: 14 unlike engines, short live quotes and long inventories.
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

// Colombo is Wijesinghe's: 13 unlike engines, counter matches and long dossiers
// that are read again and again.
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

// organisations and how much of the load is each one's: a few are large.
var organisations = []struct {
	name  string
	share float64
}{{"a", 0.42}, {"b", 0.30}, {"c", 0.15}, {"d", 0.09}, {"e", 0.04}}

// arrival is one request of the workload. The same seed gives the same arrivals
// to every policy.
type arrival struct {
	at           time.Duration
	class        *class
	organisation string
	prompt       int
	output       int
	chain        []uint64
}

// generator draws the workload.
type generator struct {
	random   *rand.Rand
	classes  []class
	sessions map[int][][]uint64 // by class, chains that may be gone on with
}

const (
	maxSessions = 200
	// tail shapes the heavy tail of prompt lengths.
	tail = 1.1
)

func newGenerator(seed uint64, classes []class) *generator {
	return &generator{random: rand.New(rand.NewPCG(seed, 7)), classes: classes, sessions: map[int][][]uint64{}}
}

// draw returns one request that arrives at the given time.
func (g *generator) draw(at time.Duration) *arrival {
	i := g.pickClass()
	c := &g.classes[i]
	a := &arrival{at: at, class: c, organisation: g.pickOrganisation()}
	a.prompt = g.length(c.promptLow, c.promptHigh) + c.system
	a.output = min(max(int(g.random.ExpFloat64()*c.output), 1), c.limit)
	a.chain = g.chain(i, a)
	return a
}

func (g *generator) pickClass() int {
	x := g.random.Float64()
	for i, c := range g.classes {
		if x -= c.share; x < 0 {
			return i
		}
	}
	return len(g.classes) - 1
}

func (g *generator) pickOrganisation() string {
	x := g.random.Float64()
	for _, o := range organisations {
		if x -= o.share; x < 0 {
			return o.name
		}
	}
	return organisations[0].name
}

// length draws from a bounded Pareto distribution.
func (g *generator) length(low, high float64) int {
	u := g.random.Float64()
	l, h := math.Pow(low, tail), math.Pow(high, tail)
	return int(math.Pow(-(u*h-u*l-h)/(h*l), -1/tail))
}

// chain makes the prompt's prefix sums: the organisation's beginning, then an
// earlier prompt where the request goes on with one, then blocks of its own.
func (g *generator) chain(i int, a *arrival) []uint64 {
	c := a.class
	blocks := a.prompt / prefix.BlockTokens
	var chain []uint64
	if old := g.sessions[i]; len(old) > 0 && g.random.Float64() < c.revisit {
		chain = append(chain, old[g.random.IntN(len(old))]...)
		a.prompt = max(a.prompt, len(chain)*prefix.BlockTokens+30)
	} else {
		for n := range min(c.system/prefix.BlockTokens, blocks) {
			chain = append(chain, uint64(i+1)<<40|uint64(a.organisation[0])<<32|uint64(n))
		}
	}
	for len(chain) < a.prompt/prefix.BlockTokens {
		chain = append(chain, g.random.Uint64())
	}
	if c.revisit > 0 {
		g.sessions[i] = append(g.sessions[i], chain)
		if len(g.sessions[i]) > maxSessions {
			g.sessions[i] = g.sessions[i][1:]
		}
	}
	return chain
}

// capacity is the requests a second that the engines can answer of the mix, from
// the mean lengths that a generator draws, without any help of caches.
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
