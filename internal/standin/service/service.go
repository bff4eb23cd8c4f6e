// Package service is a stand-in of a plain service: it records every call it is
// given, and answers with what it was sent.
package service

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/upstream"
)

// Call is one call as the service saw it.
type Call struct {
	Method    string
	Path      string
	Body      string
	RequestID string
	At        time.Time
}

// Faults is what a test makes a service do wrong.
type Faults struct {
	// Arrived is sent to when a call has come, before anything else.
	Arrived chan<- Call
	// Hold is received from after a call has run and before it is answered.
	Hold <-chan struct{}
	// Break breaks the connection after a call has run, instead of an answer.
	Break bool
	// TruncateBody breaks the connection in the midst of the answer's body.
	TruncateBody bool
	// Leaving is said with each answer.
	Leaving bool
}

// Service records calls. Safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	calls  []Call
	faults Faults
}

// New returns a service without faults.
func New() *Service { return &Service{} }

// SetFaults changes what goes wrong from now on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the calls so far.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// Answer is what the service answers to a body.
func Answer(body string) string { return "done: " + body }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	body, err := io.ReadAll(h.Body)
	if err != nil {
		return
	}
	call := Call{Method: h.Method, Path: h.URL.Path, Body: string(body), RequestID: h.Header.Get(upstream.HeaderForwardedID), At: time.Now()}
	s.mu.Lock()
	s.calls = append(s.calls, call)
	f := s.faults
	s.mu.Unlock()
	if f.Arrived != nil {
		f.Arrived <- call
	}
	if f.Hold != nil {
		<-f.Hold
	}
	if f.Break {
		panic(http.ErrAbortHandler)
	}
	if f.Leaving {
		w.Header().Set(upstream.HeaderLeaving, "true")
	}
	w.Header().Set("Content-Type", "text/plain")
	if f.TruncateBody {
		w.Header().Set("Content-Length", fmt.Sprint(len(Answer(string(body)))+1))
	}
	_, _ = io.WriteString(w, Answer(string(body)))
	if f.TruncateBody {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
