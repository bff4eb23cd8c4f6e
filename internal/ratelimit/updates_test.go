package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The newer update wins; of two of about the same age the lower limit applies.
func TestMergeNewerUpdateOrLowerLimitWins(t *testing.T) {
	for name, c := range map[string]struct {
		update  Update
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
			r := newRegistry()
			r.Observe(at(5), at(5), "a@1", limitOf(2))
			r.Merge(at(7), "p", []Update{c.update})
			limit, limited := r.Limit("a@1")
			is.Equal(limited, c.limited)
			is.Equal(limit, c.limit)
		})
	}
}

// An update that was delayed in transit looks newer than it is. Two instances with different limits of the same age
// must agree on one of them instead of alternating.
func TestMergeConvergesBetweenTwoInstances(t *testing.T) {
	is := is.New(t)
	a, b := newRegistry(), newRegistry()
	a.Observe(at(0), at(0), "u@1", limitOf(2))
	b.Observe(at(0), at(0), "u@1", limitOf(2))
	a.Observe(at(1), at(0.5), "u@1", none)
	b.Observe(at(1), at(0.5), "u@1", limitOf(2))
	changes := 0
	for i := range 20 {
		now := 1 + 0.1*float64(i)
		fromA, fromB := a.NextUpdates(at(now)), b.NextUpdates(at(now))
		changes += len(b.Merge(at(now+0.05), "a", fromA)) + len(a.Merge(at(now+0.05), "b", fromB))
	}
	is.True(changes <= 2)
	ofA, _ := a.Limit("u@1")
	ofB, _ := b.Limit("u@1")
	is.Equal(ofA, ofB)
}

func TestNextUpdatesIsBoundedAndCoversAll(t *testing.T) {
	is := is.New(t)
	b := newRegistry()
	for i := range 100 {
		b.Observe(at(0), at(0), fmt.Sprintf("u-%d@1", i), limitOf(1))
	}
	is.Equal(len(b.NextUpdates(at(0.1))), maxRecent)
	is.Equal(len(b.All(at(0.1))), 100)
	receiver := newRegistry()
	for i := range 100/olderPerMessage + 1 {
		updates := b.NextUpdates(at(10 + float64(i)))
		is.Equal(len(updates), olderPerMessage)
		receiver.Merge(at(10+float64(i)), "p", updates)
	}
	is.Equal(len(receiver.All(at(50))), 100)
}
