// Package slopes measures how the costs of the daemon grow with the size of its inputs, on one machine
// and with small fakes. docs/CAPACITY.md derives the capacity at the target size from them.
package slopes

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"text/tabwriter"
	"time"
)

// Slope is one cost measured at several sizes.
type Slope struct {
	// Cost names the measured cost, and Dimension the size with which it grows.
	Cost      string
	Dimension string
	// Unit is the unit of Costs.
	Unit string
	// Sizes and Costs hold one measurement at each index.
	Sizes []int
	Costs []float64
}

// Fit is the least squares line through the points of a Slope.
type Fit struct {
	Base     float64
	PerUnit  float64
	MaxError float64 // largest deviation of a point from the line, as a share of its cost
}

// Fit returns the least squares line through the points.
func (s Slope) Fit() Fit {
	n := float64(len(s.Sizes))
	var sx, sy, sxx, sxy float64
	for i, size := range s.Sizes {
		x, y := float64(size), s.Costs[i]
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
	}
	f := Fit{}
	f.PerUnit = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f.Base = (sy - f.PerUnit*sx) / n
	for i, size := range s.Sizes {
		deviation := math.Abs(f.Base+f.PerUnit*float64(size)-s.Costs[i]) / math.Max(s.Costs[i], 1e-12)
		f.MaxError = math.Max(f.MaxError, deviation)
	}
	return f
}

// All measures every slope. It takes about 30 s.
func All() []Slope {
	return []Slope{
		configurationBytes(), configurationTime(), partChangeTime(), configurationMemory(),
		listBytes(), listTime(), subsetTime(),
		upstreamMemory(), filledUpstreamMemory(), decisionTime(), busyDecisionTime(),
		queueMemory(), queueTime(),
		keyMemory(), keyTime(),
		heartbeatBytes(), peerProcessorTime(), peerMemory(),
	}
}

// Write prints the slopes as a table.
func Write(out io.Writer, all []Slope) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "cost\tunit\tby\tsizes\tcosts\tbase\tper unit\tlargest error")
	for _, s := range all {
		f := s.Fit()
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%s\t%s\t%.0f%%\n", s.Cost, s.Unit, s.Dimension, s.Sizes, formatNumbers(s.Costs), formatNumber(f.Base), formatNumber(f.PerUnit), 100*f.MaxError)
	}
	return w.Flush()
}

func formatNumbers(list []float64) string {
	out := ""
	for i, x := range list {
		if i > 0 {
			out += " "
		}
		out += formatNumber(x)
	}
	return out
}

func formatNumber(x float64) string { return fmt.Sprintf("%.4g", x) }

// measure returns the cost at each size.
func measure(what, unit, by string, sizes []int, cost func(size int) float64) Slope {
	s := Slope{Cost: what, Unit: unit, Dimension: by, Sizes: sizes}
	for _, size := range sizes {
		s.Costs = append(s.Costs, cost(size))
	}
	return s
}

const (
	// timingDuration is for how long a function is repeated in one timing.
	timingDuration = 200 * time.Millisecond
	// timingRounds is the number of timings, of which the fastest counts.
	timingRounds = 3
)

// timeOf returns the time of one call of f, in microseconds.
func timeOf(f func()) float64 {
	best := math.Inf(1)
	for range timingRounds {
		runs := 0
		started := time.Now()
		for time.Since(started) < timingDuration {
			f()
			runs++
		}
		best = math.Min(best, float64(time.Since(started).Nanoseconds())/float64(runs)/1e3)
	}
	return best
}

// memoryOf returns the size of the heap memory that the result of f holds, in bytes.
func memoryOf(f func() any) float64 {
	before := heapBytes()
	kept := f()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// heapBytes returns the bytes allocated on the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
