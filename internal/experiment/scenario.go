package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// The times of a run: quiet, burst, quiet again.
const (
	burstBegins = 10 * time.Second
	burstEnds   = 40 * time.Second
	lastArrival = 50 * time.Second
	// faultAt is when a fault strikes, in the midst of the burst.
	faultAt    = 20 * time.Second
	quietLoad  = 0.5
	burstLoad  = 3.0
	slowFactor = 3.0
)

// Scenario is what happens in a run.
type Scenario struct {
	Name  string
	burst bool
	fault func(w *world, jobs func() []*job)
}

// Scenarios are those of the measure.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "quiet"},
		{Name: "burst", burst: true},
		{Name: "burst, two engines slow", burst: true, fault: func(w *world, _ func() []*job) {
			w.engines["A"].model.SetSlow(slowFactor)
			w.engines["D"].model.SetSlow(slowFactor)
		}},
		{Name: "burst, instances cut apart", burst: true, fault: func(w *world, _ func() []*job) {
			w.cut = true
			w.after(suspectAfter, func() {
				for _, i := range w.instances {
					w.forget(i)
				}
			})
		}},
		{Name: "burst, instance killed", burst: true, fault: func(w *world, jobs func() []*job) { w.kill(w.instances[0], jobs()) }},
	}
}

// arrivals draws the workload of a scenario: Poisson arrivals at a share of the
// capacity that changes with the burst.
func arrivals(d Deployment, s Scenario, seed uint64) []*arrival {
	g := newGenerator(seed, d.classes)
	capacity := d.capacity()
	var out []*arrival
	for t := time.Duration(0); t < lastArrival; {
		load := quietLoad
		if s.burst && t >= burstBegins && t < burstEnds {
			load = burstLoad
		}
		t += time.Duration(g.random.ExpFloat64() / (capacity * load) * float64(time.Second))
		out = append(out, g.draw(t))
	}
	return out
}

// Run runs one scenario under one policy and seed.
func Run(d Deployment, s Scenario, p Policy, seed uint64) *Result {
	w := newWorld(d, p, seed)
	longest := time.Duration(0)
	for _, c := range d.classes {
		longest = max(longest, c.timeout)
	}
	for n, a := range arrivals(d, s, seed) {
		w.at(a.at, func() { w.arrive(a, w.live(n)) })
	}
	for _, i := range w.instances {
		w.at(0, func() { w.poll(i, lastArrival+longest) })
		w.at(0, func() { w.beat(i, lastArrival+longest) })
	}
	if s.fault != nil {
		w.at(faultAt, func() { s.fault(w, func() []*job { return w.jobs }) })
	}
	w.run()
	return w.result
}

// live is the balancer before the instances: it takes them in turn.
func (w *world) live(n int) *simInstance {
	i := w.instances[n%len(w.instances)]
	if i.dead {
		return w.instances[(n+1)%len(w.instances)]
	}
	return i
}

// Row is one line of the report: a policy in a scenario over all seeds.
type Row struct {
	Deployment, Scenario, Policy string
	Result                       *Result
}

// All runs every scenario of every deployment under every policy at the seeds.
func All(policies []Policy, seeds []uint64) []Row {
	var rows []Row
	for _, d := range []Deployment{Addis(), Colombo()} {
		for _, s := range Scenarios() {
			for _, p := range policies {
				rows = append(rows, Row{d.Name, s.Name, p.Name, overSeeds(d, s, p, seeds)})
			}
		}
	}
	return rows
}

func overSeeds(d Deployment, s Scenario, p Policy, seeds []uint64) *Result {
	results := make([]*Result, len(seeds))
	var all sync.WaitGroup
	for i, seed := range seeds {
		all.Go(func() { results[i] = Run(d, s, p, seed) })
	}
	all.Wait()
	total := newResult()
	for _, r := range results {
		total.add(r)
	}
	return total
}

// Write prints the rows as a table.
func Write(out io.Writer, rows []Row, seeds []uint64) error {
	fmt.Fprintf(out, "seeds %v; goodput by tier in %% of the requests offered; wasted prefill in %% of the prompt tokens read\n", seeds)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "zone\tscenario\tpolicy\ttier 0\ttier 1\ttier 2\ttier 3\tall\twasted\tagain\tlate by tier\tfirst token p50/p95 ms, tier 0\tall\tsheds by tier\tviolations")
	for _, r := range rows {
		x := r.Result
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%v\t%d/%d\t%d/%d\t%s\t%d\n", r.Deployment, r.Scenario, r.Policy,
			100*x.Goodput(0), 100*x.Goodput(1), 100*x.Goodput(2), 100*x.Goodput(3), 100*x.TotalGoodput(), 100*x.WastedShare(), 100*float64(x.RecomputedTokens)/float64(max(x.PrefilledTokens, 1)), x.Late,
			x.TopTierTTFT.ValueAtQuantile(50), x.TopTierTTFT.ValueAtQuantile(95), x.TTFT.ValueAtQuantile(50), x.TTFT.ValueAtQuantile(95),
			sheds(x), x.Violations)
	}
	return w.Flush()
}

// sheds words the sheds of each tier by reason.
func sheds(r *Result) string {
	var parts []string
	for tier, reasons := range r.Sheds {
		var names []string
		for reason, n := range reasons {
			names = append(names, fmt.Sprintf("%s %d", reason, n))
		}
		slices.Sort(names)
		if len(names) > 0 {
			parts = append(parts, fmt.Sprintf("%d: %s", tier, strings.Join(names, ", ")))
		}
	}
	return strings.Join(parts, "; ")
}
