// Package history records what concurrent runs did, and checks it against the
// promises.
//
// A run records each request's attempts and answers, and each dispatch that the
// stand-ins saw. Check applies the predicates; Linearizable reads the same
// history as that of a register that holds for each key whether it ran.
package history

import (
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/tacktally/tacktally/api"
)

// Attempt is what a caller was told of one attempt.
type Attempt struct {
	// Key that the request was sent under; it names the request.
	Key string
	// Caller that sent it.
	Caller int
	// Outcome told; empty when the caller got no answer.
	Outcome api.Outcome
	// Reason told with it, for the reader of a violation.
	Reason api.Reason
	// Body of the answer when the outcome is answered.
	Body string
	// Sent and Received are when the attempt began and its answer came.
	Sent, Received time.Time
}

// Dispatch is one run of a request at an upstream.
type Dispatch struct {
	Key string
	At  time.Time
}

// Recorder collects a history. Safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	answers    []Attempt
	dispatches []Dispatch
	want       map[string]string
}

// NewRecorder returns an empty history.
func NewRecorder() *Recorder { return &Recorder{want: map[string]string{}} }

// ExpectBody notes the only right body of an answer under a key.
func (r *Recorder) ExpectBody(key, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.want[key] = body
}

// RecordAttempt records an answer.
func (r *Recorder) RecordAttempt(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

// RecordDispatch records a dispatch.
func (r *Recorder) RecordDispatch(d Dispatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatches = append(r.dispatches, d)
}

// Summary words how many dispatches and answers of each outcome there are, so that
// a reader sees what a run was about.
func (r *Recorder) Summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := map[api.Outcome]int{}
	for _, a := range r.answers {
		count[a.Outcome]++
	}
	return fmt.Sprintf("%d dispatches; answers: %d answered, %d not-run, %d unknown",
		len(r.dispatches), count[api.Answered], count[api.NotRun], count[api.Unknown])
}

// Violation is one broken promise.
type Violation struct {
	Guarantee string
	Key       string
	Detail    string
}

// String words a violation.
func (v Violation) String() string { return v.Guarantee + ": " + v.Key + ": " + v.Detail }

// The promises that Check reads.
const (
	AtMostOnce     = "a request runs at most once"
	NotRunNeverRan = "a request called not-run did not run"
	OwnResponse    = "a caller gets the whole answer to its own request"
	SameResponse   = "repeats get one answer"
	AnsweredRan    = "an answered request ran"
)

// Check returns every violation of the promises.
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
	for _, a := range r.answers {
		out = append(out, r.checkAnswer(a, ran[a.Key], bodies)...)
	}
	return out
}

func (r *Recorder) checkAnswer(a Attempt, ran int, bodies map[string]string) []Violation {
	var out []Violation
	switch a.Outcome {
	case api.NotRun:
		if ran > 0 {
			out = append(out, Violation{NotRunNeverRan, a.Key, fmt.Sprintf("caller %d was told not-run (%s)", a.Caller, a.Reason)})
		}
	case api.Answered:
		if ran == 0 {
			out = append(out, Violation{AnsweredRan, a.Key, fmt.Sprintf("caller %d got %q", a.Caller, a.Body)})
		}
		if want, ok := r.want[a.Key]; ok && a.Body != want {
			out = append(out, Violation{OwnResponse, a.Key, fmt.Sprintf("caller %d got %q instead of %q", a.Caller, a.Body, want)})
		}
		if before, ok := bodies[a.Key]; ok && before != a.Body {
			out = append(out, Violation{SameResponse, a.Key, fmt.Sprintf("%q and %q", before, a.Body)})
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

// state of one key: whether it ran, and whether it was declared not to run.
type state struct {
	ran    bool
	voided bool
}

// Linearizable tells whether the history is one of a register that takes each
// key at most once: a dispatch needs a key that neither ran nor was voided; an
// answered attempt needs one that ran; a not-run voids one that didn't.
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
	for _, a := range r.answers {
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
