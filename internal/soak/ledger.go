package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Request is what a caller sent.
type Request struct {
	ID string
	// AtMostOnce: it may run at most once.
	AtMostOnce bool
	// Revocable: it came under a key that is taken away and given back.
	Revocable bool
	// Events of a stream that it asks for; 0 for an answer that is no stream.
	Events int
	Sent   time.Time
	// Left is when its caller closed the connection; zero if it didn't.
	Left time.Time
}

// Response is what a caller got.
type Response struct {
	// Status is 0 where no answer came.
	Status int
	Body   string
	// Complete tells whether the body ended as it should.
	Complete bool
	Received time.Time
}

// Ledger collects what was seen. Safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	requests map[string]Request
	answers  map[string]Response
	runs     map[string][]time.Time
	revoked  []span
	forged   []string
}

// span is a time within which keys were taken away; the end is zero while it lasts.
type span struct{ from, to time.Time }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: map[string]Request{}, answers: map[string]Response{}, runs: map[string][]time.Time{}}
}

// Sent records a request before it is sent.
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

// Ran records that an upstream has begun to run a request.
func (l *Ledger) Ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], time.Now())
}

// Forged records that an upstream got a header that only the system may set, as a caller
// had sent it.
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

// Answered records what a caller got.
func (l *Ledger) Answered(id string, a Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.Received = time.Now()
	l.answers[id] = a
}

// Revoked records that keys were taken away, and Restored that they are back. Restored is
// called before it is published, Revoked after it was.
func (l *Ledger) Revoked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked = append(l.revoked, span{from: time.Now()})
}

// Restored ends what Revoked began.
func (l *Ledger) Restored() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked[len(l.revoked)-1].to = time.Now()
}

// ExpectedBody is the only right body of a request's answer, a stream's whole.
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

// StreamEvent is one event of a stream, counted from 1.
func StreamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// refusals are the statuses that promise that a request hasn't run and never will.
var refusals = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// Check returns every broken promise. Lease is how long after their revocation keys may
// still be accepted.
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
			out = append(out, fmt.Sprintf("%s may run once and ran %d times", id, len(runs)))
		case r.Revocable && l.wasRevoked(r.Sent.Add(-lease), r.Sent):
			out = append(out, fmt.Sprintf("%s ran, sent over %v after its key was taken away", id, lease))
		}
	}
	for id, a := range l.answers {
		if broken := checkAnswer(l.requests[id], a, len(l.runs[id])); broken != "" {
			out = append(out, id+" "+broken)
		}
	}
	slices.Sort(out)
	return out
}

// wasRevoked tells whether keys were away for all of a time.
func (l *Ledger) wasRevoked(from, to time.Time) bool {
	return slices.ContainsFunc(l.revoked, func(s span) bool {
		return !s.from.After(from) && (s.to.IsZero() || !s.to.Before(to))
	})
}

func checkAnswer(r Request, a Response, runs int) string {
	want := ExpectedBody(r)
	switch {
	case a.Status == http.StatusOK && a.Complete && a.Body != want:
		return fmt.Sprintf("got %q, complete, in place of %q", a.Body, want)
	case a.Status == http.StatusOK && !strings.HasPrefix(want, a.Body):
		return fmt.Sprintf("got %q, cut, of %q", a.Body, want)
	case a.Status == http.StatusOK && runs == 0:
		return "was answered and never ran"
	case r.AtMostOnce && slices.Contains(refusals, a.Status) && runs > 0:
		return fmt.Sprintf("was refused with %d and ran", a.Status)
	}
	return ""
}

// CountResponses counts the answers of a kind.
func (l *Ledger) CountResponses(is func(Response) bool) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.answers {
		if is(a) {
			n++
		}
	}
	return n
}

// Summary words how many requests were sent, ran and got which statuses.
func (l *Ledger) Summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses := map[int]int{}
	for _, a := range l.answers {
		statuses[a.Status]++
	}
	return fmt.Sprintf("%d sent, %d ran, answers by status: %v", len(l.requests), len(l.runs), statuses)
}

// goneSlack is how long after its caller left a request may still reach an upstream.
const goneSlack = 500 * time.Millisecond

// CheckPlanned returns what no planned work excuses: requests that ran and whose callers
// stayed and got no whole answer, and requests that ran long after their callers had left.
func (l *Ledger) CheckPlanned() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, a := range l.answers {
		r := l.requests[id]
		if !r.Left.IsZero() {
			if runs := l.runs[id]; len(runs) > 0 && runs[len(runs)-1].After(r.Left.Add(goneSlack)) {
				out = append(out, fmt.Sprintf("%s ran %v after its caller had left", id, runs[len(runs)-1].Sub(r.Left)))
			}
			continue
		}
		if len(l.runs[id]) > 0 && (a.Status == 0 || !a.Complete) {
			out = append(out, fmt.Sprintf("%s ran and was lost: status %d, complete %v", id, a.Status, a.Complete))
		}
	}
	slices.Sort(out)
	return out
}
