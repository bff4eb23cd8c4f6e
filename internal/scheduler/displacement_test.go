package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// modelRequest is a request in a model of one queue, with times in milliseconds from the start.
type modelRequest struct {
	rank, arrives int
	// limit is the end of the wait limit, useful the latest start with which the response is in time.
	limit, useful int
}

// refusalRule decides at a time in which waiting requests are refused.
type refusalRule func(waiting []modelRequest, now int) (kept, refused []modelRequest)

// refuseAtLimit is the rule of Core: a request whose wait limit has passed is refused, and all of
// lower rank with it.
func refuseAtLimit(waiting []modelRequest, now int) (kept, refused []modelRequest) {
	return refuseFrom(waiting, func(r modelRequest) bool { return r.limit < now })
}

// holdWhileLowerWait is the rule that docs/design/wait-limit.md proposes: a request whose wait limit
// has passed waits on while a lower rank waits and its response would be in time.
func holdWhileLowerWait(waiting []modelRequest, now int) (kept, refused []modelRequest) {
	lowest := 0
	for _, r := range waiting {
		lowest = max(lowest, r.rank)
	}
	return refuseFrom(waiting, func(r modelRequest) bool { return r.limit < now && (lowest <= r.rank || r.useful < now) })
}

// refuseFrom refuses the requests that are due and all of lower ranks than one of them.
func refuseFrom(waiting []modelRequest, due func(modelRequest) bool) (kept, refused []modelRequest) {
	highest := -1
	for _, r := range waiting {
		if due(r) && (highest < 0 || r.rank < highest) {
			highest = r.rank
		}
	}
	for _, r := range waiting {
		if due(r) || (highest >= 0 && r.rank > highest) {
			refused = append(refused, r)
		} else {
			kept = append(kept, r)
		}
	}
	return kept, refused
}

// playRule plays requests against slots that become free at the given times, and returns the
// refused requests. It fails if a request is refused while one of a lower rank waits.
func playRule(t interface{ Fatalf(string, ...any) }, rule refusalRule, requests []modelRequest, slots []int) (refused []modelRequest) {
	var waiting []modelRequest
	for now := range 1000 {
		for _, r := range requests {
			if r.arrives == now {
				waiting = append(waiting, r)
			}
		}
		kept, gone := rule(waiting, now)
		waiting, refused = kept, append(refused, gone...)
		for _, r := range gone {
			if slices.ContainsFunc(waiting, func(w modelRequest) bool { return w.rank > r.rank }) {
				t.Fatalf("at %d rank %d is refused while a lower rank waits", now, r.rank)
			}
		}
		if slices.Contains(slots, now) && len(waiting) > 0 {
			first := 0
			for i, r := range waiting {
				if r.rank < waiting[first].rank {
					first = i
				}
			}
			waiting = slices.Delete(waiting, first, first+1)
		}
	}
	return refused
}

// A request of rank 0 reaches its wait limit 5 ms before a slot becomes free, and five of rank 2
// that could wait longer are refused with it. The proposed rule refuses none of the six.
func TestRefusalOfOneRequestRemovesAllLowerOnes(t *testing.T) {
	is := is.New(t)
	requests := []modelRequest{{rank: 0, limit: 50, useful: 120}}
	for range 5 {
		requests = append(requests, modelRequest{rank: 2, limit: 150, useful: 200})
	}
	slots := []int{55, 60, 65, 70, 75, 80}
	is.Equal(len(playRule(t, refuseAtLimit, requests, slots)), 6)
	is.Equal(len(playRule(t, holdWhileLowerWait, requests, slots)), 0)

	c := newCore(100) // decides as the model of its rule
	c.SetMembers([]Member{{ID: "u", Address: "a", Slots: 1}})
	g := c.Submit(start, newRequest(0, 3600)).Grants[0]
	for _, r := range requests {
		waiting := newRequest(r.rank, 3600)
		waiting.AllowLate, waiting.MaxWait = true, time.Duration(r.limit)*time.Millisecond
		is.Equal(len(c.Submit(start, waiting).Sheds), 0)
	}
	is.Equal(len(c.Poll(start.Add(51*time.Millisecond)).Sheds), 6)
	is.Equal(len(c.RecordCompleted(start.Add(55*time.Millisecond), g, 10).Grants), 0)
}

// Both rules hold the promise that a higher tier is never shed for load while a lower one waits.
// Where all requests arrive together, the proposed rule refuses no more than the other.
func TestHoldingRuleShedsLowestTierFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(together bool) (requests []modelRequest) {
			for range rapid.IntRange(1, 30).Draw(t, "requests") {
				r := modelRequest{rank: rapid.IntRange(0, 3).Draw(t, "rank")}
				if !together {
					r.arrives = rapid.IntRange(0, 500).Draw(t, "arrives")
				}
				r.limit = r.arrives + rapid.IntRange(1, 200).Draw(t, "limit")
				r.useful = r.limit + rapid.IntRange(0, 200).Draw(t, "useful")
				requests = append(requests, r)
			}
			return requests
		}
		slots := rapid.SliceOfN(rapid.IntRange(0, 900), 0, 30).Draw(t, "slots")
		requests := draw(false)
		playRule(t, refuseAtLimit, requests, slots)
		playRule(t, holdWhileLowerWait, requests, slots)
		requests = draw(true)
		if held, today := playRule(t, holdWhileLowerWait, requests, slots), playRule(t, refuseAtLimit, requests, slots); len(held) > len(today) {
			t.Fatalf("%d are refused in place of %d", len(held), len(today))
		}
	})
}
