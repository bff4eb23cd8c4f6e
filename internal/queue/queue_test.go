package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(rank int, org string, startBy int) *Item {
	return &Item{Rank: rank, Organisation: org, Share: 1, Work: 10, Bytes: 1, StartBy: start.Add(time.Duration(startBy) * time.Second)}
}

// drainAll takes all items in order and returns their names.
func drainAll(q *Queue) (out []string) {
	for {
		it := q.Next(start)
		if it == nil {
			return out
		}
		q.Take(start, it)
		out = append(out, fmt.Sprintf("%d%s%d", it.Rank, it.Organisation, it.StartBy.Sub(start)/time.Second))
	}
}

func TestQueueOrder(t *testing.T) {
	for name, c := range map[string]struct {
		push []*Item
		want []string
	}{
		"tier first":        {[]*Item{item(1, "a", 1), item(0, "a", 9), item(2, "a", 0)}, []string{"0a9", "1a1", "2a0"}},
		"then latest start": {[]*Item{item(0, "a", 3), item(0, "a", 1), item(0, "a", 2)}, []string{"0a1", "0a2", "0a3"}},
		"organisation above its share goes last": {
			[]*Item{item(0, "a", 1), item(0, "a", 2), item(0, "a", 3), item(0, "a", 4), item(0, "b", 8), item(0, "b", 9)},
			[]string{"0a1", "0b8", "0a2", "0b9", "0a3", "0a4"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := New(Limits{MaxItems: 100, MaxBytes: 100})
			for _, it := range c.push {
				q.Push(it)
			}
			is.Equal(drainAll(q), c.want)
			is.Equal(q.Len(), 0)
			is.Equal(q.WorkAhead(9), 0.0)
		})
	}
}

func TestPeekReturnsNextAndMostUrgent(t *testing.T) {
	is := is.New(t)
	q := New(Limits{MaxItems: 100, MaxBytes: 100})
	q.Push(item(1, "z", 0)) // a lower tier is not returned
	for _, s := range []int{5, 3, 9, 1, 7} {
		q.Push(item(0, "a", s))
		q.Push(item(0, "b", s+1))
	}
	var starts []int
	for _, it := range q.Peek(start, 0, 4) {
		starts = append(starts, int(it.StartBy.Sub(start)/time.Second))
	}
	is.Equal(starts, []int{1, 2, 3, 4})
	is.Equal(len(q.Peek(start, 0, 1)), 1)
	is.Equal(q.Peek(start, 0, 99)[0], q.Next(start))
	is.Equal(len(New(Limits{}).Peek(start, 0, 4)), 0)
}

func TestLeastImportantItemIsDisplaced(t *testing.T) {
	is := is.New(t)
	q := New(Limits{MaxItems: 3, MaxBytes: 100})
	keep, drop := item(2, "a", 1), item(2, "b", 5)
	for _, it := range []*Item{item(1, "a", 9), drop, keep} {
		q.Push(it)
	}
	is.True(!q.HasSpace(1))
	is.Equal(q.Displace(0), drop) // of the lowest tier, the latest StartBy
	is.Equal(q.Displace(0), keep)
	is.Equal(q.Displace(1), nil) // none is less important
	is.True(!q.HasSpace(100))    // the bytes do not fit
}

func TestExpiredItemsAreRemoved(t *testing.T) {
	is := is.New(t)
	q := New(Limits{MaxItems: 9, MaxBytes: 100})
	q.Push(item(0, "a", 5))
	q.Push(item(1, "a", 1))
	q.Push(item(1, "b", 2))
	is.Equal(len(q.RemoveExpired(start.Add(3*time.Second))), 2)
	at, ok := q.EarliestStartBy()
	is.True(ok)
	is.Equal(at, start.Add(5*time.Second))
}

// For random operations the counts stay consistent, and no item is taken while one of a higher tier
// waits.
func TestQueueCountsStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Limits{MaxItems: 1000, MaxBytes: 1000})
		var waiting []*Item
		for range rapid.IntRange(1, 200).Draw(t, "operations") {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				it := item(rapid.IntRange(0, 3).Draw(t, "rank"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), rapid.IntRange(0, 9).Draw(t, "start"))
				q.Push(it)
				waiting = append(waiting, it)
			case 2:
				it := q.Next(start)
				if it == nil {
					continue
				}
				for _, other := range waiting {
					if other.Rank < it.Rank {
						t.Fatalf("rank %d goes before rank %d", it.Rank, other.Rank)
					}
				}
				q.Take(start, it)
				waiting = without(waiting, it)
			case 3:
				if len(waiting) == 0 {
					continue
				}
				it := rapid.SampledFrom(waiting).Draw(t, "removed")
				if !q.Remove(it) || q.Remove(it) {
					t.Fatal("an item must be removed exactly once")
				}
				waiting = without(waiting, it)
			}
			if q.Len() != len(waiting) || q.WorkAhead(3) != float64(10*len(waiting)) || q.bytes != int64(len(waiting)) {
				t.Fatalf("%d items, work %g, bytes %d for %d waiting", q.Len(), q.WorkAhead(3), q.bytes, len(waiting))
			}
		}
	})
}

func without(list []*Item, it *Item) []*Item {
	var out []*Item
	for _, x := range list {
		if x != it {
			out = append(out, x)
		}
	}
	return out
}
