// Package queue holds the requests that wait for the upstreams of one set.
//
// Order: tiers strictly by rank; within a tier, organisations within their share (see maxOveruse)
// first, then the others; within each group by the latest time at which the request can start.
//
// The queue is bounded in items and bytes. When it is full, an item of the lowest tier is displaced
// by one of a higher tier.
//
// A Queue is not safe for concurrent use; the scheduler's callers serialise access.
package queue

import (
	"container/heap"
	"time"
)

// Item is one waiting request. Its fields must not change after Push.
type Item struct {
	// Rank of the tier; 0 is the most important.
	Rank int
	// Organisation that sent the request, and its weight within the tier.
	Organisation string
	Share        float64
	// StartBy is the latest start with which the response is in time.
	StartBy time.Time
	// Work is the expected cost in prompt tokens.
	Work float64
	// Bytes counts towards Limits.MaxBytes.
	Bytes int
	// Value belongs to the caller.
	Value any

	index int // position in its orgQueue's heap; -1 if not waiting
}

// Limits bounds a Queue.
type Limits struct {
	MaxItems int
	MaxBytes int64
}

// Queue holds waiting items. The zero value is not usable; see New.
type Queue struct {
	limits Limits
	tiers  []*tierQueue // by rank; nil if nothing was ever pushed
	items  int
	bytes  int64
}

// tierQueue holds the waiting items of one tier.
type tierQueue struct {
	orgs map[string]*orgQueue
	// order lists orgs in the order of their first item, so that identical runs make identical
	// choices.
	order []*orgQueue
	work  float64
	items int
	// served is the recent work taken from all orgs.
	served usage
}

// orgQueue holds the waiting items of one organisation in one tier.
type orgQueue struct {
	name   string
	items  itemHeap
	share  float64
	served usage
}

// usageHalfLife is the time in which past usage loses half its weight.
const usageHalfLife = 5 * time.Second

// maxOveruse is the factor by which an organisation may exceed its share before others go first.
const maxOveruse = 1.25

// New returns an empty queue.
func New(limits Limits) *Queue { return &Queue{limits: limits} }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.items }

// LenOfRank returns the number of waiting items of a rank.
func (q *Queue) LenOfRank(rank int) int {
	if rank >= len(q.tiers) || q.tiers[rank] == nil {
		return 0
	}
	return q.tiers[rank].items
}

// WorkAhead returns the total work waiting in tiers of this rank or more important.
func (q *Queue) WorkAhead(rank int) float64 {
	total := 0.0
	for r := 0; r <= rank && r < len(q.tiers); r++ {
		if q.tiers[r] != nil {
			total += q.tiers[r].work
		}
	}
	return total
}

// CountAhead returns the number of items ahead of a new one of this rank.
func (q *Queue) CountAhead(rank int) (n int) {
	for r := range rank + 1 {
		n += q.LenOfRank(r)
	}
	return n
}

// LowestRank returns the least important rank with waiting items, or -1.
func (q *Queue) LowestRank() int {
	for r := len(q.tiers) - 1; r >= 0; r-- {
		if q.LenOfRank(r) > 0 {
			return r
		}
	}
	return -1
}

// HasSpace reports whether an item of the given number of bytes fits.
func (q *Queue) HasSpace(bytes int) bool {
	return q.items < q.limits.MaxItems && q.bytes+int64(bytes) <= q.limits.MaxBytes
}

// Push adds an item, even if the queue is full; see HasSpace.
func (q *Queue) Push(it *Item) {
	for len(q.tiers) <= it.Rank {
		q.tiers = append(q.tiers, nil)
	}
	t := q.tiers[it.Rank]
	if t == nil {
		t = &tierQueue{orgs: map[string]*orgQueue{}}
		q.tiers[it.Rank] = t
	}
	org := t.orgs[it.Organisation]
	if org == nil {
		org = &orgQueue{name: it.Organisation}
		t.orgs[it.Organisation] = org
		t.order = append(t.order, org)
	}
	org.share = it.Share
	heap.Push(&org.items, it)
	t.work += it.Work
	t.items++
	q.items++
	q.bytes += int64(it.Bytes)
}

// WaitingRanks returns the ranks with waiting items, most important first.
func (q *Queue) WaitingRanks() []int {
	var out []int
	for r, t := range q.tiers {
		if t != nil && t.items > 0 {
			out = append(out, r)
		}
	}
	return out
}

// Next returns the next item in order without removing it, or nil.
func (q *Queue) Next(now time.Time) *Item {
	for _, t := range q.tiers {
		if t != nil && t.items > 0 {
			return t.next(now)
		}
	}
	return nil
}

// Peek returns up to n waiting items of a rank: the next in order, then others by StartBy,
// regardless of their organisations' usage.
func (q *Queue) Peek(now time.Time, rank, n int) []*Item {
	if q.LenOfRank(rank) == 0 {
		return nil
	}
	next := q.tiers[rank].next(now)
	out := append(make([]*Item, 0, n), next)
	for _, org := range q.tiers[rank].order {
		for _, it := range org.items[:min(n, len(org.items))] {
			if it != next {
				out = insertByStart(out, it, n)
			}
		}
	}
	return out
}

// insertByStart inserts an item by StartBy after the first of at most n.
func insertByStart(list []*Item, it *Item, n int) []*Item {
	if len(list) == n {
		if n == 1 || !it.StartBy.Before(list[n-1].StartBy) {
			return list
		}
		list = list[:n-1]
	}
	list = append(list, it)
	for i := len(list) - 1; i > 1 && it.StartBy.Before(list[i-1].StartBy); i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
	return list
}

// Take removes a waiting item that is about to be served, and counts it as usage of its
// organisation.
func (q *Queue) Take(now time.Time, it *Item) {
	t := q.tiers[it.Rank]
	t.orgs[it.Organisation].served.add(now, it.Work)
	t.served.add(now, it.Work)
	q.Remove(it)
}

// Remove removes a waiting item that will not be served. It returns false if the item is not in the
// queue.
func (q *Queue) Remove(it *Item) bool {
	if it.index < 0 || it.Rank >= len(q.tiers) || q.tiers[it.Rank] == nil {
		return false
	}
	t := q.tiers[it.Rank]
	org := t.orgs[it.Organisation]
	if org == nil || it.index >= len(org.items) || org.items[it.index] != it {
		return false
	}
	heap.Remove(&org.items, it.index)
	t.work -= it.Work
	t.items--
	q.items--
	q.bytes -= int64(it.Bytes)
	return true
}

// RemoveExpired removes and returns the items whose StartBy has passed.
func (q *Queue) RemoveExpired(now time.Time) []*Item {
	var out []*Item
	for _, t := range q.tiers {
		if t == nil || t.items == 0 {
			continue
		}
		for _, org := range t.order {
			for len(org.items) > 0 && org.items[0].StartBy.Before(now) {
				it := org.items[0]
				q.Remove(it)
				out = append(out, it)
			}
		}
	}
	return out
}

// EarliestStartBy returns the earliest StartBy of all waiting items, and false if none wait.
func (q *Queue) EarliestStartBy() (time.Time, bool) {
	var earliest time.Time
	for _, t := range q.tiers {
		if t == nil || t.items == 0 {
			continue
		}
		for _, org := range t.order {
			if len(org.items) > 0 && (earliest.IsZero() || org.items[0].StartBy.Before(earliest)) {
				earliest = org.items[0].StartBy
			}
		}
	}
	return earliest, !earliest.IsZero()
}

// RemoveLower removes and returns all items less important than rank.
func (q *Queue) RemoveLower(rank int) []*Item {
	var out []*Item
	for r := len(q.tiers) - 1; r > rank; r-- {
		if q.tiers[r] == nil {
			continue
		}
		for _, org := range q.tiers[r].order {
			for len(org.items) > 0 {
				it := org.items[0]
				q.Remove(it)
				out = append(out, it)
			}
		}
	}
	return out
}

// Displace removes and returns the least important waiting item below rank: in the lowest tier, the
// one with the latest StartBy. It returns nil if there is none.
func (q *Queue) Displace(rank int) *Item {
	lowest := q.LowestRank()
	if lowest <= rank {
		return nil
	}
	var last *Item
	for _, org := range q.tiers[lowest].order {
		for _, it := range org.items {
			if last == nil || it.StartBy.After(last.StartBy) {
				last = it
			}
		}
	}
	q.Remove(last)
	return last
}

// next returns the item with the earliest StartBy among organisations within their share, or else
// among all.
func (t *tierQueue) next(now time.Time) *Item {
	t.removeIdle(now)
	shares := 0.0
	for _, org := range t.order {
		shares += org.share
	}
	total := t.served.at(now)
	var within, over *Item
	for _, org := range t.order {
		if len(org.items) == 0 {
			continue
		}
		first := org.items[0]
		if org.served.at(now) <= maxOveruse*total*org.share/shares {
			within = earlier(within, first)
		} else {
			over = earlier(over, first)
		}
	}
	if within != nil {
		return within
	}
	return over
}

// removeIdle removes organisations without waiting items and with negligible usage.
func (t *tierQueue) removeIdle(now time.Time) {
	kept := t.order[:0]
	for _, org := range t.order {
		if len(org.items) == 0 && org.served.at(now) < 1 {
			delete(t.orgs, org.name)
			continue
		}
		kept = append(kept, org)
	}
	clear(t.order[len(kept):])
	t.order = kept
}

func earlier(a, b *Item) *Item {
	if a == nil || b.StartBy.Before(a.StartBy) {
		return b
	}
	return a
}
