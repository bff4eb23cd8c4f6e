// Package history records the attempts and dispatches of concurrent test runs and checks them
// against the guarantees given to callers.
//
// A run records each attempt with its response and each dispatch that the fake upstreams received.
// Check applies the guarantees one by one. Linearizable checks the same history against the model
// of a register that holds for each key whether the request ran.
package history

import (
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/tacktally/tacktally/api"
)

// Attempt is one attempt of a caller and its result.
type Attempt struct {
	// Key under which the request was sent; it identifies the request.
	Key string
	// Caller that sent it.
	Caller int
	// Outcome reported to the caller; empty if the caller received no response.
	Outcome api.Outcome
	// Reason reported with the outcome, for the description of a violation.
	Reason api.Reason
	// Body of the response if the outcome is answered.
	Body string
	// Sent is when the attempt began, Received when its response arrived.
	Sent, Received time.Time
}

// Dispatch is one execution of a request at an upstream.
type Dispatch struct {
	Key string
	At  time.Time
}

// Recorder collects a history. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	attempts   []Attempt
	dispatches []Dispatch
	expected   map[string]string
}

// NewRecorder returns a Recorder with an empty history.
func NewRecorder() *Recorder { return &Recorder{expected: map[string]string{}} }

// ExpectBody sets the only correct response body for a key.
func (r *Recorder) ExpectBody(key, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected[key] = body
}

// RecordAttempt records an attempt.
func (r *Recorder) RecordAttempt(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// RecordDispatch records a dispatch.
func (r *Recorder) RecordDispatch(d Dispatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatches = append(r.dispatches, d)
}

// Summary returns the number of dispatches and of responses by outcome as text.
func (r *Recorder) Summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := map[api.Outcome]int{}
	for _, a := range r.attempts {
		count[a.Outcome]++
	}
	return fmt.Sprintf("%d dispatches; responses: %d answered, %d not-run, %d unknown",
		len(r.dispatches), count[api.Answered], count[api.NotRun], count[api.Unknown])
}

// Violation is one violated guarantee.
type Violation struct {
	Guarantee string
	Key       string
	Detail    string
}

// String returns the violation as one line of text.
func (v Violation) String() string { return v.Guarantee + ": " + v.Key + ": " + v.Detail }

// The guarantees that Check applies.
const (
	AtMostOnce     = "a request runs at most once"
	NotRunNeverRan = "a request reported as not-run did not run"
	OwnResponse    = "a caller gets the complete response to its own request"
	SameResponse   = "all attempts of a request get the same response"
	AnsweredRan    = "an answered request ran"
)

// Check returns all violations of the guarantees.
func (r *Recorder) Check() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := map[string]int{}
	for _, d := range r.dispatches {
		ran[d.Key]++
	}
	var out []Violation
	for key, n := range ran {
		if n > 1 {
			out = append(out, Violation{AtMostOnce, key, fmt.Sprintf("it ran %d times", n)})
		}
	}
	bodies := map[string]string{}
	for _, a := range r.attempts {
		out = append(out, r.checkAttempt(a, ran[a.Key], bodies)...)
	}
	return out
}

func (r *Recorder) checkAttempt(a Attempt, ran int, bodies map[string]string) []Violation {
	var out []Violation
	switch a.Outcome {
	case api.NotRun:
		if ran > 0 {
			out = append(out, Violation{NotRunNeverRan, a.Key, fmt.Sprintf("caller %d received not-run (%s)", a.Caller, a.Reason)})
		}
	case api.Answered:
		if ran == 0 {
			out = append(out, Violation{AnsweredRan, a.Key, fmt.Sprintf("caller %d received %q", a.Caller, a.Body)})
		}
		if want, ok := r.expected[a.Key]; ok && a.Body != want {
			out = append(out, Violation{OwnResponse, a.Key, fmt.Sprintf("caller %d received %q instead of %q", a.Caller, a.Body, want)})
		}
		if previous, ok := bodies[a.Key]; ok && previous != a.Body {
			out = append(out, Violation{SameResponse, a.Key, fmt.Sprintf("%q and %q", previous, a.Body)})
		}
		bodies[a.Key] = a.Body
	}
	return out
}

// input and output of the register's operations.
type input struct {
	key      string
	dispatch bool
}

type output struct{ outcome api.Outcome }

// state of one key: whether it ran, and whether it was reported as not-run.
type state struct {
	ran    bool
	voided bool
}

// Linearizable reports whether the history is one of a register that accepts each key at most once.
// A dispatch requires a key that neither ran nor was voided; an answered attempt requires a key
// that ran; a not-run attempt voids a key that did not run.
func (r *Recorder) Linearizable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ops []porcupine.Operation
	client := 0
	add := func(in input, out output, call, ret time.Time) {
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call.UnixNano(), Return: ret.UnixNano()})
		client++
	}
	for _, d := range r.dispatches {
		add(input{d.Key, true}, output{}, d.At, d.At)
	}
	for _, a := range r.attempts {
		if a.Outcome == api.Answered || a.Outcome == api.NotRun {
			add(input{key: a.Key}, output{a.Outcome}, a.Sent, a.Received)
		}
	}
	return porcupine.CheckOperations(registerModel, ops)
}

var registerModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range ops {
			key := o.Input.(input).key
			byKey[key] = append(byKey[key], o)
		}
		var out [][]porcupine.Operation
		for _, list := range byKey {
			out = append(out, list)
		}
		return out
	},
	Init: func() any { return state{} },
	Step: func(s, in, out any) (bool, any) {
		now := s.(state)
		switch {
		case in.(input).dispatch:
			return !now.ran && !now.voided, state{ran: true}
		case out.(output).outcome == api.Answered:
			return now.ran, now
		default:
			return !now.ran, state{voided: true}
		}
	},
}
