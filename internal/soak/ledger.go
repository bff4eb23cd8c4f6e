package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Request is a request as its caller sent it.
type Request struct {
	ID string
	// AtMostOnce is set where the request may run at most once.
	AtMostOnce bool
	// Revocable is set where the request carries an API key that is revoked and restored.
	Revocable bool
	// Instance is the number of the instance that it is sent to.
	Instance int
	// Events is the number of events of the requested stream; 0 for a response that isn't streamed.
	Events int
	Sent   time.Time
	// Left is when its caller closed the connection; zero if it didn't.
	Left time.Time
}

// Response is a response as its caller received it.
type Response struct {
	// Status is 0 where no response arrived.
	Status int
	Body   string
	// Complete reports whether the body ended in the regular way.
	Complete bool
	// EndUnstated reports that the response had neither a length nor chunks.
	EndUnstated bool
	// NotSent reports that the request was not sent: no connection could be opened, or it had been closed.
	NotSent bool
	// TimedOut reports that no response arrived before the caller gave up.
	TimedOut bool
	Received time.Time
}

// Ledger records the requests, their executions and their responses, as callers and upstreams saw
// them. Safe for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	requests  map[string]Request
	responses map[string]Response
	runs      map[string][]time.Time
	cuts      map[string]int // longest body that an upstream has cut off, in bytes, by ID
	revoked   []span
	forged    []string
}

// span is a time range, such as one in which keys were revoked; to is zero while it lasts.
type span struct{ from, to time.Time }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: map[string]Request{}, responses: map[string]Response{}, runs: map[string][]time.Time{}, cuts: map[string]int{}}
}

// Sent records a request just before it is sent, with the current time.
func (l *Ledger) Sent(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Sent = time.Now()
	l.requests[r.ID] = r
}

// SentAt returns when a request was sent.
func (l *Ledger) SentAt(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id].Sent
}

// Ran records that an upstream has started to run a request.
func (l *Ledger) Ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], time.Now())
}

// Cut records that an upstream has ended a body that states no end in order, after the given number of bytes
// of the expected one at most.
func (l *Ledger) Cut(id string, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[id] = max(l.cuts[id], bytes)
}

// Forged records that an upstream received a header that only the system may set with the value
// that a caller had sent.
func (l *Ledger) Forged(id, header string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forged = append(l.forged, fmt.Sprintf("%s reached an upstream with the caller's %s", id, header))
}

// Left records that the caller of a request closes its connection.
func (l *Ledger) Left(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	r.Left = time.Now()
	l.requests[id] = r
}

// Answered records the response that a caller received.
func (l *Ledger) Answered(id string, a Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.Received = time.Now()
	l.responses[id] = a
}

// Revoked records that keys were revoked. It is called after the revocation was published.
func (l *Ledger) Revoked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked = append(l.revoked, span{from: time.Now()})
}

// Restored records that the revoked keys are valid again. It is called before that is published.
func (l *Ledger) Restored() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked[len(l.revoked)-1].to = time.Now()
}

// ExpectedBody returns the only correct body of the response to a request; for a stream all its
// events.
func ExpectedBody(r Request) string {
	if r.Events == 0 {
		return "answer to " + r.ID
	}
	var out strings.Builder
	for i := 1; i <= r.Events; i++ {
		out.WriteString(StreamEvent(r.ID, i))
	}
	return out.String()
}

// StreamEvent returns event n of the stream of a request, counted from 1.
func StreamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// refusals are the statuses that guarantee that a request hasn't run and never will.
var refusals = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// Check returns a line for each violated guarantee. Lease is how long after their revocation keys
// may still be accepted.
func (l *Ledger) Check(lease time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.forged)
	for id, runs := range l.runs {
		r, known := l.requests[id]
		switch {
		case !known:
			out = append(out, id+" ran, and no caller sent it")
		case r.AtMostOnce && len(runs) > 1:
			out = append(out, fmt.Sprintf("%s may run at most once and ran %d times", id, len(runs)))
		case r.Revocable && l.wasRevoked(r.Sent.Add(-lease), r.Sent):
			out = append(out, fmt.Sprintf("%s ran although it was sent more than %v after its key was revoked", id, lease))
		}
	}
	for id, a := range l.responses {
		if violation := l.checkResponse(id, a); violation != "" {
			out = append(out, id+" "+violation)
		}
	}
	slices.Sort(out)
	return out
}

// wasRevoked reports whether keys were revoked during the whole range between the two times.
func (l *Ledger) wasRevoked(from, to time.Time) bool {
	return slices.ContainsFunc(l.revoked, func(s span) bool {
		return !s.from.After(from) && (s.to.IsZero() || !s.to.Before(to))
	})
}

// checkResponse returns how a response violates a guarantee; empty if it doesn't. The caller holds the lock.
func (l *Ledger) checkResponse(id string, a Response) string {
	r, runs := l.requests[id], len(l.runs[id])
	want := ExpectedBody(r)
	switch {
	case a.Status == http.StatusOK && a.Complete && a.EndUnstated && l.mayEndEarly(r, a.Body):
	case a.Status == http.StatusOK && a.Complete && a.Body != want:
		return fmt.Sprintf("got the complete response %q in place of %q", a.Body, want)
	case a.Status == http.StatusOK && !strings.HasPrefix(want, a.Body):
		return fmt.Sprintf("got the truncated response %q, which isn't a prefix of %q", a.Body, want)
	case a.Status == http.StatusOK && runs == 0:
		return "got a response and never ran"
	case r.AtMostOnce && slices.Contains(refusals, a.Status) && runs > 0:
		return fmt.Sprintf("was refused with %d and ran", a.Status)
	}
	return ""
}

// mayEndEarly reports whether a body that states no end may be a part of the expected one: its upstream cut it
// off, and its end doesn't show that. The caller holds the lock.
func (l *Ledger) mayEndEarly(r Request, body string) bool {
	endsInsideEvent := r.Events > 0 && body != "" && !strings.HasSuffix(body, "\n\n")
	return strings.HasPrefix(ExpectedBody(r), body) && len(body) <= l.cuts[r.ID] && !endsInsideEvent
}

// CountResponses returns the number of responses for which is returns true.
func (l *Ledger) CountResponses(is func(Response) bool) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.responses {
		if is(a) {
			n++
		}
	}
	return n
}

// Served returns how many requests sent within a time range there are for which counts returns true, given the
// response, and how many of them got a complete success.
func (l *Ledger) Served(from, to time.Time, counts func(Request, Response) bool) (served, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.responses {
		if r := l.requests[id]; !r.stayedWithin(from, to) || !counts(r, a) {
			continue
		}
		n++
		if a.isSuccess() {
			served++
		}
	}
	return served, n
}

// stayedWithin reports whether a request was sent within a time range, by a caller that waited for its response.
func (r Request) stayedWithin(from, to time.Time) bool {
	return !r.Sent.Before(from) && !r.Sent.After(to) && r.Left.IsZero()
}

// isSuccess reports whether a response is a complete success.
func (a Response) isSuccess() bool { return a.Status == http.StatusOK && a.Complete }

// Unserved describes the responses that Served counts as not served: how many there are by status, reason and runs.
func (l *Ledger) Unserved(from, to time.Time, counts func(Request, Response) bool) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int{}
	for id, a := range l.responses {
		if r := l.requests[id]; !r.stayedWithin(from, to) || !counts(r, a) || a.isSuccess() {
			continue
		}
		cause, _, _ := strings.Cut(a.Body, ":")
		switch {
		case a.NotSent:
			cause = "not sent"
		case a.Status == http.StatusOK:
			cause = "incomplete"
		}
		out[fmt.Sprintf("%d %s, ran %d times", a.Status, cause, len(l.runs[id]))]++
	}
	return fmt.Sprint(out)
}

// Summary describes how many requests were sent and ran, and the statuses of their responses.
func (l *Ledger) Summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses := map[int]int{}
	for _, a := range l.responses {
		statuses[a.Status]++
	}
	return fmt.Sprintf("%d sent, %d ran, responses by status: %v", len(l.requests), len(l.runs), statuses)
}

// callerLeftSlack is how long after its caller left a request may still reach an upstream.
const callerLeftSlack = 500 * time.Millisecond

// CheckPlanned returns a line for each violation that planned work can't excuse: a request that ran
// whose caller stayed and received no complete response, and one that started more than
// callerLeftSlack after its caller had left.
func (l *Ledger) CheckPlanned() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, a := range l.responses {
		r := l.requests[id]
		if !r.Left.IsZero() {
			if runs := l.runs[id]; len(runs) > 0 && runs[len(runs)-1].After(r.Left.Add(callerLeftSlack)) {
				out = append(out, fmt.Sprintf("%s ran %v after its caller had left", id, runs[len(runs)-1].Sub(r.Left)))
			}
			continue
		}
		if len(l.runs[id]) > 0 && (a.Status == 0 || !a.Complete) {
			out = append(out, fmt.Sprintf("%s ran and its response was lost: status %d, complete %v", id, a.Status, a.Complete))
		}
	}
	slices.Sort(out)
	return out
}
