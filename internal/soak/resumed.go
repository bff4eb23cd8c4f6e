package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Piece is an event with data; its ID is 0 if it has none.
type Piece struct {
	ID   int
	Data string
}

// OrderedStream is a stream whose order is checked. All its runs have the same pieces.
type OrderedStream struct {
	ID        string
	Resumable bool
	Pieces    []Piece
}

const (
	maxOrderedEvents = 24
	// One in unnumberedEvery streams has pieces without an ID, on average every second piece.
	unnumberedEvery = 3
)

// newOrderedStream draws a stream. Its IDs increase by a constant step.
func newOrderedStream(id string, r *rand.Rand) *OrderedStream {
	s := &OrderedStream{ID: id, Resumable: r.IntN(4) > 0}
	step := []int{1, 1, 7}[r.IntN(3)]
	unnumbered := r.IntN(unnumberedEvery) == 0
	for n := range 1 + r.IntN(maxOrderedEvents) {
		for unnumbered && r.IntN(2) == 0 {
			s.add(0)
		}
		s.add((n + 1) * step)
	}
	if unnumbered && r.IntN(2) == 0 {
		s.add(0)
	}
	return s
}

func (s *OrderedStream) add(id int) {
	s.Pieces = append(s.Pieces, Piece{ID: id, Data: fmt.Sprint(s.ID, " ", len(s.Pieces))})
}

// After returns the index of the piece after the one with an ID; 0 for ID 0, -1 if no piece has it.
func (s *OrderedStream) After(id int) int {
	if id == 0 {
		return 0
	}
	return slices.IndexFunc(s.Pieces, func(p Piece) bool { return p.ID == id }) + 1
}

// numbered returns the number of pieces in a range that have an ID.
func (s *OrderedStream) numbered(from, to int) (n int) {
	for i := from; i < to; i++ {
		if s.Pieces[i].ID != 0 {
			n++
		}
	}
	return n
}

// RunEnd is how an upstream ends a run of a stream.
type RunEnd int

// The ends. All but the first may break the run off.
const (
	Whole RunEnd = iota
	Reset
	// ClosedInside is an end in order inside a piece, Closed one between two pieces by a process that goes on.
	ClosedInside
	Closed
	// Terminated is the end of the process, between two pieces.
	Terminated
	runEnds
)

// StreamRun is what an upstream sends of a stream in response to one attempt.
type StreamRun struct {
	// After is the index of the piece at which the attempt asks it to begin, From that at which it does.
	After, From int
	// End is how it ends, before the piece with index At or inside it.
	End RunEnd
	At  int
	// Stated reports whether its end is stated.
	Stated bool
	// lives is set when a living process ended it in order without stating its end.
	lives bool
}

// drawRun draws how an upstream responds to an attempt that names the given last event.
func (s *OrderedStream) drawRun(r *rand.Rand, last int) *StreamRun {
	run := &StreamRun{Stated: r.IntN(3) > 0, At: len(s.Pieces)}
	if s.Resumable {
		run.After = s.After(last)
	}
	run.From = run.After
	if shift := r.IntN(4); run.After > 0 && shift < 2 {
		run.From = s.shifted(r, run.After, shift == 0)
	}
	if r.IntN(2) == 0 {
		return run
	}
	first := run.From // from which it may end
	if run.From != run.After {
		first += slices.IndexFunc(s.Pieces[run.From:], func(p Piece) bool { return p.ID != 0 }) + 1
	}
	run.At = first + r.IntN(len(s.Pieces)-first+1)
	switch run.End = RunEnd(r.IntN(int(runEnds))); {
	case run.End == Whole:
		run.At = len(s.Pieces)
	case run.From > run.After && run.End == Closed && !run.Stated:
		run.End = Reset // nobody could tell
	}
	return run
}

// shifted returns an index at which a run that resumes begins wrongly: that of an earlier piece with an ID, or one
// after a later such piece that isn't the last one.
func (s *OrderedStream) shifted(r *rand.Rand, after int, early bool) int {
	var choices []int
	for i, p := range s.Pieces {
		switch {
		case p.ID == 0:
		case early && i < after:
			choices = append(choices, i)
		case !early && i >= after && s.numbered(i+1, len(s.Pieces)) > 0:
			choices = append(choices, i+1)
		}
	}
	if len(choices) == 0 {
		return after
	}
	return choices[r.IntN(len(choices))]
}

// OrderedResponse is the response to one request for a stream, as its caller has it.
type OrderedResponse struct {
	// Last is the ID of the last event that the request names; 0 if it names none.
	Last   int
	Status int
	Signed bool
	Pieces []Piece
	// Complete reports whether it ended in the regular way, EndUnstated whether it had neither a length nor chunks.
	Complete, EndUnstated bool
}

// Order records streams, the runs of upstreams and the responses that callers have of them. Safe for concurrent use.
type Order struct {
	mu         sync.Mutex
	streams    map[string]*OrderedStream
	runs       map[string][]*StreamRun // by request
	violations []string
	counts     map[string]int
}

// NewOrder returns an empty record.
func NewOrder() *Order {
	return &Order{streams: map[string]*OrderedStream{}, runs: map[string][]*StreamRun{}, counts: map[string]int{}}
}

// NewStream draws a stream and records it.
func (o *Order) NewStream(id string, r *rand.Rand) *OrderedStream {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.streams[id] = newOrderedStream(id, r)
	return o.streams[id]
}

// BeginRun draws how an upstream responds to an attempt and records that. Stream is nil if it isn't recorded.
func (o *Order) BeginRun(stream, request, last string) (*OrderedStream, *StreamRun) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.streams[stream]
	if s == nil {
		return nil, nil
	}
	id, err := strconv.Atoi(cmp.Or(last, "0"))
	if err != nil || (s.Resumable && id != 0 && s.After(id) == 0) {
		o.violations = append(o.violations, fmt.Sprintf("%s reached an upstream after event %q, which isn't in the stream", request, last))
	}
	run := s.drawRun(rand.New(rand.NewPCG(rand.Uint64(), 0)), id)
	o.runs[request] = append(o.runs[request], run)
	o.counts[fmt.Sprintf("run %d", run.End)]++
	return s, run
}

// EndsAlive records that a living process is about to end a run in order.
func (o *Order) EndsAlive(run *StreamRun) {
	o.mu.Lock()
	defer o.mu.Unlock()
	run.lives = !run.Stated
}

// ProcessEnded records that a run has ended the process of its upstream.
func (o *Order) ProcessEnded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts["processes ended"]++
}

// Received records the response to a request.
func (o *Order) Received(s *OrderedStream, request string, got OrderedResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	success := got.Status >= 200 && got.Status < 300
	switch {
	case success && got.Complete:
		o.counts["complete"]++
	case success:
		o.counts["broken"]++
	default:
		o.counts[fmt.Sprint("status ", got.Status)]++
	}
	if success && !got.Signed {
		o.violations = append(o.violations, request+" got a success without a signature")
	}
	if violation := o.check(s, o.runs[request], got); success && violation != "" {
		o.violations = append(o.violations, fmt.Sprintf("%s of %s, %+v, %s; runs %s; stream %v", request, s.ID, got, violation, describe(o.runs[request]), s.Pieces))
	}
}

// check returns how a response violates the order of a stream; empty if it doesn't.
func (o *Order) check(s *OrderedStream, runs []*StreamRun, got OrderedResponse) string {
	begin := 0
	if s.Resumable {
		begin = s.After(got.Last)
	}
	at, placed := begin, begin // the next piece, and the one after the last event with an ID
	for _, p := range got.Pieces {
		if at >= len(s.Pieces) || s.Pieces[at] != p {
			next := slices.Index(s.Pieces, p)
			if !s.mayHaveGap(runs, placed, next) {
				return fmt.Sprintf("has %v in place of piece %d", p, at)
			}
			o.counts["gaps of an upstream's own"]++
			at = next
		}
		at++
		if p.ID != 0 {
			placed = at
		}
	}
	switch {
	case !got.Complete || at == len(s.Pieces):
		return ""
	case got.EndUnstated && at > 0 && slices.ContainsFunc(runs, func(r *StreamRun) bool { return r.lives && max(r.At, r.After) == at }):
		o.counts["unstated ends of living upstreams"]++
		return ""
	}
	return fmt.Sprintf("is complete without piece %d", at)
}

// mayHaveGap reports whether an upstream that was asked to go on at one piece went on at a later one, and no earlier
// run of the request had told the step: no two events with an ID were relayed from any.
func (s *OrderedStream) mayHaveGap(runs []*StreamRun, asked, next int) bool {
	for n, r := range runs {
		if r.After == asked && r.From > asked && r.From == next {
			return true
		}
		if n+1 < len(runs) && s.numbered(max(r.After, r.From), runs[n+1].After) >= 2 {
			return false
		}
	}
	return false
}

func describe(runs []*StreamRun) string {
	var out []string
	for _, r := range runs {
		out = append(out, fmt.Sprintf("%+v", *r))
	}
	return strings.Join(out, " ")
}

// Check returns a line for each violation.
func (o *Order) Check() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violations
}

// String describes what was recorded, for logs.
func (o *Order) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := []string{fmt.Sprintf("%d streams", len(o.streams))}
	for _, name := range slices.Sorted(maps.Keys(o.counts)) {
		out = append(out, fmt.Sprintf("%s: %d", name, o.counts[name]))
	}
	return strings.Join(out, ", ")
}

// ParsePiece returns the piece of an event; ok is false if it has no data.
func ParsePiece(event string) (p Piece, ok bool) {
	for line := range strings.Lines(event) {
		name, value, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ": ")
		switch name {
		case "id":
			p.ID, _ = strconv.Atoi(value) // all IDs of these streams are numbers
		case "data":
			p.Data, ok = value, true
		}
	}
	return p, ok
}
