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

// The phases of a run: normal load, a burst, normal load.
const (
	burstStart  = 10 * time.Second
	burstEnd    = 40 * time.Second
	lastArrival = 50 * time.Second
	// faultTime is the time at which a fault is injected, in the middle of the burst.
	faultTime = 20 * time.Second
	// normalLoad and burstLoad are multiples of the capacity of the engines.
	normalLoad = 0.5
	burstLoad  = 3.0
	// slowFactor multiplies the step time of a slow engine.
	slowFactor = 3.0
)

// Scenario is the load and the fault of a run.
type Scenario struct {
	Name  string
	burst bool
	fault func(w *simulation, jobs func() []*job)
}

// Scenarios returns the measured scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "quiet"},
		{Name: "burst", burst: true},
		{Name: "burst, two engines slow", burst: true, fault: func(w *simulation, _ func() []*job) {
			w.engines["A"].model.SetSlow(slowFactor)
			w.engines["D"].model.SetSlow(slowFactor)
		}},
		{Name: "burst, instances cut apart", burst: true, fault: func(w *simulation, _ func() []*job) {
			w.partitioned = true
			w.after(suspectAfter, func() {
				for _, i := range w.instances {
					w.dropLoad(i)
				}
			})
		}},
		{Name: "burst, instance killed", burst: true, fault: func(w *simulation, jobs func() []*job) { w.kill(w.instances[0], jobs()) }},
	}
}

// arrivals draws the workload of a scenario: Poisson arrivals at a multiple of the capacity, which is
// higher during the burst.
func arrivals(d Deployment, s Scenario, seed uint64) []*arrival {
	g := newGenerator(seed, d.classes)
	capacity := d.capacity()
	var out []*arrival
	for t := time.Duration(0); t < lastArrival; {
		load := normalLoad
		if s.burst && t >= burstStart && t < burstEnd {
			load = burstLoad
		}
		t += time.Duration(g.random.ExpFloat64() / (capacity * load) * float64(time.Second))
		out = append(out, g.draw(t))
	}
	return out
}

// Run runs one scenario with one policy and seed. The same arguments give the same result.
func Run(d Deployment, s Scenario, p Policy, seed uint64) *Result {
	w := newSimulation(d, p, seed)
	maxTimeout := time.Duration(0)
	for _, c := range d.classes {
		maxTimeout = max(maxTimeout, c.timeout)
	}
	for n, a := range arrivals(d, s, seed) {
		w.at(a.at, func() { w.arrive(a, w.selectInstance(n)) })
	}
	for _, i := range w.instances {
		w.at(0, func() { w.poll(i, lastArrival+maxTimeout) })
		w.at(0, func() { w.sendHeartbeats(i, lastArrival+maxTimeout) })
	}
	if s.fault != nil {
		w.at(faultTime, func() { s.fault(w, func() []*job { return w.jobs }) })
	}
	w.run()
	return w.result
}

// selectInstance is the balancer in front of the instances: round robin without dead instances.
func (w *simulation) selectInstance(n int) *simInstance {
	i := w.instances[n%len(w.instances)]
	if i.dead {
		return w.instances[(n+1)%len(w.instances)]
	}
	return i
}

// Row is one line of the report: the result of a policy in a scenario over all seeds.
type Row struct {
	Deployment, Scenario, Policy string
	Result                       *Result
}

// All runs every scenario of every deployment with every policy and seed.
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

// overSeeds runs the seeds concurrently and merges their results.
func overSeeds(d Deployment, s Scenario, p Policy, seeds []uint64) *Result {
	results := make([]*Result, len(seeds))
	var all sync.WaitGroup
	for i, seed := range seeds {
		all.Go(func() { results[i] = Run(d, s, p, seed) })
	}
	all.Wait()
	total := newResult()
	for _, r := range results {
		total.merge(r)
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
			formatSheds(x), x.Violations)
	}
	return w.Flush()
}

// formatSheds lists the sheds of each tier by reason.
func formatSheds(r *Result) string {
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
