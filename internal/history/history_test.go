package history

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
)

// at returns a time in a constructed history.
func at(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }

// attempt returns an attempt with the key k.
func attempt(o api.Outcome, body string, sent, received int) Attempt {
	return Attempt{Key: "k", Outcome: o, Body: body, Sent: at(sent), Received: at(received)}
}

// A constructed history that violates a guarantee must be reported with that guarantee. One without
// a violation must pass.
func TestViolationsInConstructedHistoriesAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		attempts   []Attempt
		dispatches []int
		violated   string
		register   bool // whether the register model accepts it
	}{
		"answered once":                 {[]Attempt{attempt(api.Answered, "a", 0, 9)}, []int{5}, "", true},
		"ran twice":                     {[]Attempt{attempt(api.Answered, "a", 0, 9)}, []int{5, 6}, AtMostOnce, false},
		"unknown and ran":               {[]Attempt{attempt(api.Unknown, "", 0, 9)}, []int{5}, "", true},
		"not-run and ran":               {[]Attempt{attempt(api.NotRun, "", 0, 9)}, []int{5}, NotRunNeverRan, false},
		"not-run and ran later":         {[]Attempt{attempt(api.NotRun, "", 0, 3)}, []int{5}, NotRunNeverRan, false},
		"not-run":                       {[]Attempt{attempt(api.NotRun, "", 0, 3)}, nil, "", true},
		"answered and never ran":        {[]Attempt{attempt(api.Answered, "a", 0, 3)}, nil, AnsweredRan, false},
		"answered before it ran":        {[]Attempt{attempt(api.Answered, "a", 0, 3)}, []int{5}, "", false},
		"response of another request":   {[]Attempt{attempt(api.Answered, "b", 0, 9)}, []int{5}, OwnResponse, true},
		"two different responses":       {[]Attempt{attempt(api.Answered, "a", 0, 9), attempt(api.Answered, "a2", 0, 9)}, []int{5}, OwnResponse, true},
		"same response twice":           {[]Attempt{attempt(api.Answered, "a", 0, 9), attempt(api.Answered, "a", 10, 12)}, []int{5}, "", true},
		"not-run after it was answered": {[]Attempt{attempt(api.Answered, "a", 0, 9), attempt(api.NotRun, "", 10, 12)}, []int{5}, NotRunNeverRan, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewRecorder()
			r.ExpectBody("k", "a")
			for _, a := range c.attempts {
				r.RecordAttempt(a)
			}
			for _, ms := range c.dispatches {
				r.RecordDispatch(Dispatch{Key: "k", At: at(ms)})
			}
			found := ""
			if v := r.Check(); len(v) > 0 {
				found = v[0].Guarantee
			}
			is.Equal(found, c.violated)
			is.Equal(r.Linearizable(), c.register)
		})
	}
}
