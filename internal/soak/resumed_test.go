package soak

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// orderedTestStream has pieces with the IDs 1, 2, none and 3.
func orderedTestStream(resumable bool) *OrderedStream {
	s := &OrderedStream{ID: "s", Resumable: resumable}
	for _, id := range []int{1, 2, 0, 3} {
		s.add(id)
	}
	return s
}

// A record that reports nothing proves something only if it reports each kind of violation, and excuses no more
// than what an instance can't tell.
func TestOrderReportsViolations(t *testing.T) {
	pieces := orderedTestStream(true).Pieces
	success := OrderedResponse{Status: 200, Signed: true}
	late := []*StreamRun{{}, {After: 1, From: 2}}
	for name, c := range map[string]struct {
		last       int
		indexes    []int // of the pieces that the caller has
		complete   bool
		unstated   bool
		unsigned   bool
		restarting bool // the stream can't be resumed
		runs       []*StreamRun
		want       string // empty if it is no violation
	}{
		"whole":                               {indexes: []int{0, 1, 2, 3}, complete: true},
		"broken":                              {indexes: []int{0, 1}},
		"after an event":                      {last: 2, indexes: []int{2, 3}, complete: true},
		"from the start where it must":        {last: 2, indexes: []int{0, 1, 2, 3}, complete: true, restarting: true},
		"not from the start where it must":    {last: 2, indexes: []int{2, 3}, restarting: true, want: "in place of piece 0"},
		"a piece is missing":                  {indexes: []int{0, 1, 3}, want: "in place of piece 2"},
		"a piece twice":                       {indexes: []int{0, 1, 2, 2}, want: "in place of piece 3"},
		"out of order":                        {indexes: []int{1, 0}, want: "in place of piece 0"},
		"beyond the end":                      {indexes: []int{0, 1, 2, 3, 3}, want: "in place of piece 4"},
		"short":                               {indexes: []int{0, 1}, complete: true, want: "without piece 2"},
		"short, unstated":                     {indexes: []int{0, 1}, complete: true, unstated: true, runs: []*StreamRun{{At: 2, End: Terminated}}, want: "without piece 2"},
		"short, by a living process":          {indexes: []int{0, 1}, complete: true, unstated: true, runs: []*StreamRun{{At: 2, lives: true}}},
		"short, by a living process, stated":  {indexes: []int{0, 1}, complete: true, runs: []*StreamRun{{At: 2, lives: true}}, want: "without piece 2"},
		"short, by a living process, earlier": {indexes: []int{0}, complete: true, unstated: true, runs: []*StreamRun{{At: 2, lives: true}}, want: "without piece 1"},
		"empty, by a living process":          {complete: true, unstated: true, runs: []*StreamRun{{lives: true}}, want: "without piece 0"},
		"unsigned":                            {indexes: []int{0}, unsigned: true, want: "without a signature"},
		"an upstream's gap":                   {indexes: []int{0, 2, 3}, complete: true, runs: late},
		"another gap than an upstream's":      {indexes: []int{0, 3}, complete: true, runs: late, want: "in place of piece 1"},
		"an upstream's gap, step known":       {indexes: []int{0, 1, 3}, runs: []*StreamRun{{}, {After: 2, From: 3}}, want: "in place of piece 2"},
		"an upstream's gap, caller's resumption": {
			last: 2, indexes: []int{3}, complete: true, runs: []*StreamRun{{After: 2, From: 3}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := NewOrder()
			o.runs["r"] = c.runs
			got := success
			got.Last, got.Complete, got.EndUnstated, got.Signed = c.last, c.complete, c.unstated, !c.unsigned
			for _, i := range c.indexes {
				got.Pieces = append(got.Pieces, pieces[i])
			}
			o.Received(orderedTestStream(!c.restarting), "r", got)
			violations := strings.Join(o.Check(), "; ")
			is.Equal(violations == "", c.want == "")
			is.True(strings.Contains(violations, c.want))
		})
	}
}

// Runs must end in each way, and begin too early and too late.
func TestOrderDrawsRunsOfEachKind(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	ends, begins := map[RunEnd]bool{}, map[int]bool{}
	for range 1000 {
		s := newOrderedStream("s", r)
		last := s.Pieces[r.IntN(len(s.Pieces))].ID
		run := s.drawRun(r, last)
		ends[run.End] = true
		if s.Resumable && last > 0 {
			begins[min(max(run.From-run.After, -1), 1)] = true
		}
		is.True(run.From <= run.At || run.From > run.After)
		is.True(run.At <= len(s.Pieces))
	}
	is.Equal(len(ends), int(runEnds))
	is.Equal(len(begins), 3)
}
