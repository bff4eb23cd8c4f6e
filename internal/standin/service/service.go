// Package service is a fake plain service. It records every call and echoes the request body in its
// response.
package service

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/upstream"
)

// Call is one call that the service received.
type Call struct {
	Method    string
	Path      string
	Body      string
	RequestID string
	At        time.Time
}

// Faults are the faults that a service injects. The zero value injects none.
type Faults struct {
	// Arrived receives each call when it arrives, before the other faults apply.
	Arrived chan<- Call
	// Hold is received from after a call has run and before its response.
	Hold <-chan struct{}
	// Break aborts the connection after a call has run, without a response.
	Break bool
	// Raw is written in place of a response, after which the connection is closed. Empty for none.
	Raw string
	// TruncateBody aborts the connection before the end of the response body.
	TruncateBody bool
	// CutBody ends the response with its connection, in the middle of a body that states no end.
	CutBody bool
	// ResetBody resets the connection there instead.
	ResetBody bool
	// Leaving adds the leaving notice to each response.
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

// SetFaults sets the faults from now on.
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

// ResponseBody returns the response body to a request body.
func ResponseBody(body string) string { return "done: " + body }

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
	if f.Raw != "" {
		writeRaw(w, f.Raw)
		return
	}
	if f.Leaving {
		w.Header().Set(upstream.HeaderLeaving, "true")
	}
	w.Header().Set("Content-Type", "text/plain")
	if f.CutBody || f.ResetBody {
		w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
		_, _ = io.WriteString(w, ResponseBody(string(body))[:1])
		if f.ResetBody {
			resetAfterFlush(w)
		}
		return
	}
	if f.TruncateBody {
		w.Header().Set("Content-Length", fmt.Sprint(len(ResponseBody(string(body)))+1))
	}
	_, _ = io.WriteString(w, ResponseBody(string(body)))
	if f.TruncateBody {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// writeRaw writes bytes to the connection of a response and closes it.
func writeRaw(w http.ResponseWriter, raw string) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_, _ = io.WriteString(c, raw)
		_ = c.Close()
	}
}

// resetAfterFlush resets the connection of a response after what was written of it.
func resetAfterFlush(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	_ = control.Flush() // closed already
	if c, _, err := control.Hijack(); err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
