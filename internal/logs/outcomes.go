package logs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// answeredName is the name under which answered requests are counted, which have no reason.
const answeredName = "answered"

// Outcomes holds the number of requests by arrival time and by the value of a field of their
// last line, such as the reason.
type Outcomes struct {
	// Start is the start of the first step, and Step the length of each step.
	Start time.Time
	Step  time.Duration
	// Names are the values of the field, most frequent first.
	Names []string
	// Counts holds the number of requests in each step, by name.
	Counts map[string][]int
}

// maxSteps is the maximum number of steps. Without it, a single line with a wrong date would
// give a table that spans years.
const maxSteps = 100_000

// CountOutcomes counts the requests that ended, by arrival time and by a field of their last
// line. Requests without a value are counted under "answered". It fails if the lines span more
// than maxSteps steps.
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
		return o, fmt.Errorf("the lines span %v, which is more than %d steps; use a longer step, or fewer lines", last.Sub(o.Start), maxSteps)
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

// Total returns the number of requests with a name.
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

// arrivalTime returns the arrival time of a request from its last line.
func arrivalTime(l Line) time.Time { return l.Time.Add(-l.Milliseconds("took")) }
