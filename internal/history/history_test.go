package history

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
)

// at returns a moment of a forged history.
func at(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }

func told(o api.Outcome, body string, sent, got int) Answer {
	return Answer{Key: "k", Outcome: o, Body: body, Sent: at(sent), Got: at(got)}
}

// Each promise is broken once by a forged history, which must be caught, and held
// by its neighbour, which must pass.
func TestForgedHistoriesAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		answers    []Answer
		dispatches []int
		broken     string
		register   bool // the register's model accepts it
	}{
		"answered once":                 {[]Answer{told(api.Answered, "a", 0, 9)}, []int{5}, "", true},
		"ran twice":                     {[]Answer{told(api.Answered, "a", 0, 9)}, []int{5, 6}, AtMostOnce, false},
		"unknown and ran":               {[]Answer{told(api.Unknown, "", 0, 9)}, []int{5}, "", true},
		"not-run and ran":               {[]Answer{told(api.NotRun, "", 0, 9)}, []int{5}, NotRunTrue, false},
		"not-run and ran later":         {[]Answer{told(api.NotRun, "", 0, 3)}, []int{5}, NotRunTrue, false},
		"not-run":                       {[]Answer{told(api.NotRun, "", 0, 3)}, nil, "", true},
		"answered and never ran":        {[]Answer{told(api.Answered, "a", 0, 3)}, nil, AnsweredRan, false},
		"answered before it ran":        {[]Answer{told(api.Answered, "a", 0, 3)}, []int{5}, "", false},
		"another's answer":              {[]Answer{told(api.Answered, "b", 0, 9)}, []int{5}, OwnAnswer, true},
		"two answers":                   {[]Answer{told(api.Answered, "a", 0, 9), told(api.Answered, "a2", 0, 9)}, []int{5}, OwnAnswer, true},
		"repeats get one answer":        {[]Answer{told(api.Answered, "a", 0, 9), told(api.Answered, "a", 10, 12)}, []int{5}, "", true},
		"not-run after it was answered": {[]Answer{told(api.Answered, "a", 0, 9), told(api.NotRun, "", 10, 12)}, []int{5}, NotRunTrue, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewRecorder()
			r.Expect("k", "a")
			for _, a := range c.answers {
				r.Answer(a)
			}
			for _, ms := range c.dispatches {
				r.Dispatch(Dispatch{Key: "k", At: at(ms)})
			}
			found := ""
			if v := r.Check(); len(v) > 0 {
				found = v[0].Promise
			}
			is.Equal(found, c.broken)
			is.Equal(r.Linearizable(), c.register)
		})
	}
}
