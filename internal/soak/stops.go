package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// lastGraceShare is the share of the grace period after which work that still runs may be cut, and
	// lateRequest how long after its instance was terminated a request may be sent to be such work.
	lastGraceShare = 5.0 / 6
	lateRequest    = 3 * time.Second
	// lateClose is how long after a request was sent its connection is closed late.
	lateClose = 200 * time.Millisecond
	// graceSlack is how much longer than the grace period a process may take to end.
	graceSlack = time.Second
)

// Stops records the requests around planned stops of instances, and what became of them. Upstreams don't break
// off, so that each request that runs needs a whole response or a final one. Safe for concurrent use.
type Stops struct {
	grace, timeout time.Duration // of instances and of all routes

	mu         sync.Mutex
	terminated map[processID]time.Time // first signal
	runs       map[string][]*StopRun
	answered   []StopResult
}

// processID identifies a process of an instance.
type processID struct {
	instance int
	started  time.Time
}

// StopRequest is a request as its caller sent it.
type StopRequest struct {
	ID       string
	Instance int
	// AtMostOnce is set where the request may run at most once.
	AtMostOnce bool
	// Events is the number of events of the requested stream; 0 for a response that isn't streamed.
	Events int
}

// StopResult is what a caller got for a request.
type StopResult struct {
	StopRequest
	// Begun is when the first byte of the request was sent, and Sent when the last one was.
	Begun, Sent time.Time
	Status      int // 0 where no response arrived
	// Complete reports whether the response ended in the regular way, and Ended is when it did or was cut.
	Complete bool
	Ended    time.Time
	// Paused is how long the caller read nothing, so that it may have noticed the end so much later.
	Paused time.Duration
	// Got are the numbers of the events, in order of arrival.
	Got []int
	Err error
}

// StopRun is one run of a request whose upstream has read it whole.
type StopRun struct {
	begun, ended time.Time // ended is zero while it runs
	whole        bool
}

// NewStops returns an empty record of instances with a grace period.
func NewStops(grace, timeout time.Duration) *Stops {
	return &Stops{grace: grace, timeout: timeout, terminated: map[processID]time.Time{}, runs: map[string][]*StopRun{}}
}

// Terminate records that the process of an instance that was started at a time was told to end.
func (s *Stops) Terminate(instance int, started, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := processID{instance, started}
	if _, again := s.terminated[p]; !again {
		s.terminated[p] = at
	}
}

// BeginRun records that an upstream runs a request.
func (s *Stops) BeginRun(id string) *StopRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := &StopRun{begun: time.Now()}
	s.runs[id] = append(s.runs[id], run)
	return run
}

// EndRun records that a run has ended. Whole reports that the upstream wasn't stopped before its end.
func (s *Stops) EndRun(run *StopRun, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.ended, run.whole = time.Now(), whole
}

// Answer records the response to a request.
func (s *Stops) Answer(r StopResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = append(s.answered, r)
}

// Check returns a line for each violation.
func (s *Stops) Check() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, r := range s.answered {
		if violation := s.check(r); violation != "" {
			out = append(out, fmt.Sprintf("%s %s; %s", r.ID, violation, s.describe(r)))
		}
	}
	slices.Sort(out)
	return out
}

// check returns how a response violates a guarantee; empty if it doesn't. The caller holds the lock.
func (s *Stops) check(r StopResult) string {
	runs := len(s.runs[r.ID])
	switch {
	case r.AtMostOnce && runs > 1:
		return fmt.Sprintf("may run at most once and ran %d times", runs)
	case slices.Contains(refusals, r.Status) && runs > 0:
		return fmt.Sprintf("was refused with %d and ran", r.Status)
	case !isRange(r.Got):
		return fmt.Sprintf("got events that are missing or double: %v", r.Got)
	case r.Status == http.StatusOK && r.Complete && len(r.Got) != r.Events:
		return fmt.Sprintf("got a complete response of %d events in place of %d", len(r.Got), r.Events)
	case runs > 0 && !r.Complete && !s.mayBeCut(r):
		return "ran and its response was cut"
	}
	return ""
}

// isRange reports whether the events are the first ones, in order.
func isRange(events []int) bool {
	for i, n := range events {
		if n != i+1 {
			return false
		}
	}
	return true
}

// mayBeCut reports whether a request may end without a complete response: its time was over, or its upstream was
// still at work in the last part of the grace period. The caller holds the lock.
func (s *Stops) mayBeCut(r StopResult) bool {
	if !r.Ended.Before(r.Begun.Add(s.timeout)) {
		return true
	}
	at := s.termination(r)
	if at.IsZero() || r.Sent.After(at.Add(lateRequest)) {
		return false
	}
	last := at.Add(time.Duration(lastGraceShare * float64(s.grace)))
	return slices.ContainsFunc(s.runs[r.ID], func(run *StopRun) bool { return run.ended.IsZero() || run.ended.After(last) })
}

// termination returns when the instance of a response that was cut was terminated; the zero time if it wasn't. The
// caller holds the lock.
func (s *Stops) termination(r StopResult) (at time.Time) {
	for p, signalled := range s.terminated {
		if p.instance == r.Instance && !p.started.After(r.Sent) && !signalled.After(r.Ended) && !r.Ended.After(signalled.Add(s.grace+graceSlack+r.Paused)) {
			return signalled
		}
	}
	return at
}

// describe describes what is known of a request, for logs. The caller holds the lock.
func (s *Stops) describe(r StopResult) string {
	out := fmt.Sprintf("begun %s, sent %v later, ended %v later with status %d after %d of %d events (%v)", clock(r.Begun), round(r.Sent.Sub(r.Begun)), round(r.Ended.Sub(r.Begun)),
		r.Status, len(r.Got), r.Events, r.Err)
	if at := s.termination(r); !at.IsZero() {
		out += fmt.Sprintf(", instance terminated at %s: sent %v and ended %v after it", clock(at), round(r.Sent.Sub(at)), round(r.Ended.Sub(at)))
	}
	for _, run := range s.runs[r.ID] {
		if run.ended.IsZero() {
			out += fmt.Sprintf(", run from %s on", clock(run.begun))
			continue
		}
		out += fmt.Sprintf(", run from %s for %v, whole %v", clock(run.begun), round(run.ended.Sub(run.begun)), run.whole)
	}
	return out
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// String describes what was recorded, for logs.
func (s *Stops) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := map[int]int{}
	cut, again, unanswered := 0, 0, 0
	for _, r := range s.answered {
		statuses[r.Status]++
		runs := len(s.runs[r.ID])
		if runs > 0 && !r.Complete {
			cut++
		}
		if runs == 0 && r.Status == 0 && r.Ended.Sub(r.Sent) > lateClose {
			unanswered++
		}
		if runs > 1 {
			again++
		}
	}
	return fmt.Sprintf("%d processes terminated, %d requests, %d ran, %d more than once, responses by status: %v, %d cut, %d closed later than %v without a run", len(s.terminated), len(s.answered), len(s.runs), again, statuses, cut, unanswered, lateClose)
}
