package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A peer's update counts by its age; of two about as old the lower limit does.
func TestWhichUpdatesOfPeersChangeALimit(t *testing.T) {
	for name, c := range map[string]struct {
		told    Update
		limit   float64
		limited bool
	}{
		"newer, higher":         {Update{"a@1", 50, 0}, 50, true},
		"newer, none any more":  {Update{"a@1", -1, 0}, 0, false},
		"older, lower":          {Update{"a@1", 1, 5 * time.Second}, 2, true},
		"as old, higher":        {Update{"a@1", 50, 1800 * time.Millisecond}, 2, true},
		"as old, lower":         {Update{"a@1", 1, 2200 * time.Millisecond}, 1, true},
		"as old, none any more": {Update{"a@1", -1, 1800 * time.Millisecond}, 2, true},
		"no number":             {Update{"a@1", math.NaN(), 0}, 2, true},
		"negative":              {Update{"a@1", -3, 0}, 2, true},
		"infinite":              {Update{"a@1", math.Inf(1), 0}, 2, true},
		"from the future":       {Update{"a@1", 1, -time.Hour}, 2, true},
		"of another process":    {Update{"a@2", 1, 0}, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBook()
			b.Observe(at(5), at(5), "a@1", named(2))
			b.Merge(at(7), "p", []Update{c.told})
			limit, limited := b.Limit("a@1")
			is.Equal(limited, c.limited)
			is.Equal(limit, c.limit)
		})
	}
}

// Messages take a while, so that what is told looks newer than it is. Two that tell each other unlike limits of the
// same age agree on one, and nothing is news for ever.
func TestTwoThatTellEachOtherAgree(t *testing.T) {
	is := is.New(t)
	a, b := newBook(), newBook()
	a.Observe(at(0), at(0), "u@1", named(2))
	b.Observe(at(0), at(0), "u@1", named(2))
	a.Observe(at(1), at(0.5), "u@1", none)
	b.Observe(at(1), at(0.5), "u@1", named(2))
	news := 0
	for i := range 20 {
		now := 1 + 0.1*float64(i)
		fromA, fromB := a.NextUpdates(at(now)), b.NextUpdates(at(now))
		news += len(b.Merge(at(now+0.05), "a", fromA)) + len(a.Merge(at(now+0.05), "b", fromB))
	}
	is.True(news <= 2)
	ofA, _ := a.Limit("u@1")
	ofB, _ := b.Limit("u@1")
	is.Equal(ofA, ofB)
}

func TestWhatIsToldIsBoundedAndTellsAll(t *testing.T) {
	is := is.New(t)
	b := newBook()
	for i := range 100 {
		b.Observe(at(0), at(0), fmt.Sprintf("u-%d@1", i), named(1))
	}
	is.Equal(len(b.NextUpdates(at(0.1))), mostNew)
	is.Equal(len(b.All(at(0.1))), 100)
	heard := newBook()
	for i := range 100/inTurn + 1 {
		told := b.NextUpdates(at(10 + float64(i)))
		is.Equal(len(told), inTurn)
		heard.Merge(at(10+float64(i)), "p", told)
	}
	is.Equal(len(heard.All(at(50))), 100)
}
