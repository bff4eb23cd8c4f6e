package history

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
)

// at returns a moment of a forged history.
func at(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }

func told(o api.Outcome, body string, sent, got int) Attempt {
	return Attempt{Key: "k", Outcome: o, Body: body, Sent: at(sent), Received: at(got)}
}

// Each promise is broken once by a forged history, which must be caught, and held
// by its neighbour, which must pass.
func TestForgedHistoriesAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		answers    []Attempt
		dispatches []int
		broken     string
		register   bool // the register's model accepts it
	}{
		"answered once":                 {[]Attempt{told(api.Answered, "a", 0, 9)}, []int{5}, "", true},
		"ran twice":                     {[]Attempt{told(api.Answered, "a", 0, 9)}, []int{5, 6}, AtMostOnce, false},
		"unknown and ran":               {[]Attempt{told(api.Unknown, "", 0, 9)}, []int{5}, "", true},
		"not-run and ran":               {[]Attempt{told(api.NotRun, "", 0, 9)}, []int{5}, NotRunNeverRan, false},
		"not-run and ran later":         {[]Attempt{told(api.NotRun, "", 0, 3)}, []int{5}, NotRunNeverRan, false},
		"not-run":                       {[]Attempt{told(api.NotRun, "", 0, 3)}, nil, "", true},
		"answered and never ran":        {[]Attempt{told(api.Answered, "a", 0, 3)}, nil, AnsweredRan, false},
		"answered before it ran":        {[]Attempt{told(api.Answered, "a", 0, 3)}, []int{5}, "", false},
		"another's answer":              {[]Attempt{told(api.Answered, "b", 0, 9)}, []int{5}, OwnResponse, true},
		"two answers":                   {[]Attempt{told(api.Answered, "a", 0, 9), told(api.Answered, "a2", 0, 9)}, []int{5}, OwnResponse, true},
		"repeats get one answer":        {[]Attempt{told(api.Answered, "a", 0, 9), told(api.Answered, "a", 10, 12)}, []int{5}, "", true},
		"not-run after it was answered": {[]Attempt{told(api.Answered, "a", 0, 9), told(api.NotRun, "", 10, 12)}, []int{5}, NotRunNeverRan, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewRecorder()
			r.ExpectBody("k", "a")
			for _, a := range c.answers {
				r.RecordAttempt(a)
			}
			for _, ms := range c.dispatches {
				r.RecordDispatch(Dispatch{Key: "k", At: at(ms)})
			}
			found := ""
			if v := r.Check(); len(v) > 0 {
				found = v[0].Guarantee
			}
			is.Equal(found, c.broken)
			is.Equal(r.Linearizable(), c.register)
		})
	}
}
