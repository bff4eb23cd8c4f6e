// Package slopes measures how the daemon's costs grow with sizes, on one machine
// and with small stand-ins. docs/CAPACITY.md works the target size out from them.
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
	// Cost is measured, and by what size it grows.
	Cost      string
	Dimension string
	// Unit of the cost.
	Unit string
	// Sizes and Costs, in pairs.
	Sizes []int
	Costs []float64
}

// Fit is a straight line through a Slope's points, by least squares.
type Fit struct {
	Base     float64
	PerUnit  float64
	MaxError float64 // largest deviation of a point, as a share of its cost
}

// Fit returns the line.
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
		off := math.Abs(f.Base+f.PerUnit*float64(size)-s.Costs[i]) / math.Max(s.Costs[i], 1e-12)
		f.MaxError = math.Max(f.MaxError, off)
	}
	return f
}

// All measures every slope. It takes about half a minute.
func All() []Slope {
	return []Slope{
		configurationBytes(), configurationTime(), changeTime(), configurationMemory(),
		listBytes(), listTime(), subsetTime(),
		upstreamMemory(), filledUpstreamMemory(), decisionTime(), busyDecisionTime(),
		queueMemory(), queueTime(),
		keyMemory(), keyTime(),
		heartbeatBytes(), peerProcessor(), peerMemory(),
	}
}

// Write prints the slopes as a table.
func Write(out io.Writer, all []Slope) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "cost\tunit\tby\tsizes\tcosts\tbase\tper unit\tlargest error")
	for _, s := range all {
		f := s.Fit()
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%s\t%s\t%.0f%%\n", s.Cost, s.Unit, s.Dimension, s.Sizes, numbers(s.Costs), number(f.Base), number(f.PerUnit), 100*f.MaxError)
	}
	return w.Flush()
}

func numbers(list []float64) string {
	out := ""
	for i, x := range list {
		if i > 0 {
			out += " "
		}
		out += number(x)
	}
	return out
}

func number(x float64) string { return fmt.Sprintf("%.4g", x) }

// measure takes a cost at each size.
func measure(what, unit, by string, sizes []int, cost func(size int) float64) Slope {
	s := Slope{Cost: what, Unit: unit, Dimension: by, Sizes: sizes}
	for _, size := range sizes {
		s.Costs = append(s.Costs, cost(size))
	}
	return s
}

const (
	// timed is how long a function is run over to take its time.
	timed = 200 * time.Millisecond
	// tries is how often it is timed; the fastest counts.
	tries = 3
)

// timeOf returns the time of one run, in microseconds.
func timeOf(f func()) float64 {
	best := math.Inf(1)
	for range tries {
		runs := 0
		begun := time.Now()
		for time.Since(begun) < timed {
			f()
			runs++
		}
		best = math.Min(best, float64(time.Since(begun).Nanoseconds())/float64(runs)/1e3)
	}
	return best
}

// memoryOf returns the bytes that what f returns holds.
func memoryOf(f func() any) float64 {
	before := heap()
	kept := f()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
