package logs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// answeredName names requests that were answered, beside the reasons of the others.
const answeredName = "answered"

// Outcomes counts how requests ended, by the time at which they arrived and by one of their
// fields.
type Outcomes struct {
	// Start is the time of the first step, and Step its length.
	Start time.Time
	Step  time.Duration
	// Names are the values of the field, the most frequent first.
	Names []string
	// Counts are by name, one for each step.
	Counts map[string][]int
}

// maxSteps bounds what is counted: one wrong date would make a table of years.
const maxSteps = 100_000

// CountOutcomes counts the requests that ended, in steps, by a field of their last line; by
// "reason" those that were answered are a reason, too. The error says that the lines span
// too many steps.
func CountOutcomes(lines []Line, field string, step time.Duration) (Outcomes, error) {
	o := Outcomes{Step: step, Counts: map[string][]int{}}
	var last time.Time
	for _, l := range endedRequests(lines) {
		arrived := arrivalTime(l)
		if o.Start.IsZero() || arrived.Before(o.Start) {
			o.Start = arrived
		}
		if arrived.After(last) {
			last = arrived
		}
	}
	steps := int(last.Sub(o.Start)/step) + 1
	if steps > maxSteps {
		return o, fmt.Errorf("the lines span %v, over %d steps; give a longer step, or fewer lines", last.Sub(o.Start), maxSteps)
	}
	for _, l := range endedRequests(lines) {
		name := l.Fields[field]
		if name == "" {
			name = answeredName
		}
		if o.Counts[name] == nil {
			o.Counts[name] = make([]int, steps)
		}
		o.Counts[name][arrivalTime(l).Sub(o.Start)/step]++
	}
	o.Names = slices.SortedFunc(maps.Keys(o.Counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(o.Total(b), o.Total(a)), cmp.Compare(a, b))
	})
	return o, nil
}

// Total returns the requests of one name.
func (o Outcomes) Total(name string) (n int) {
	for _, count := range o.Counts[name] {
		n += count
	}
	return n
}

func endedRequests(lines []Line) []Line {
	var out []Line
	for _, l := range lines {
		if l.Event == "request_ended" {
			out = append(out, l)
		}
	}
	return out
}

// arrivalTime is when a request that ended had come.
func arrivalTime(l Line) time.Time { return l.Time.Add(-l.Milliseconds("took")) }
