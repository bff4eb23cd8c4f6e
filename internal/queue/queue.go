// Package queue holds the work that waits for an upstream of one set.
//
// Order: the tier strictly first; within a tier the organisations that have had
// no more than their share, by the latest time at which their work can start;
// then the others. The queue is bounded in count and bytes; when it is full, an
// item of the lowest tier makes room for one of a higher.
//
// Not safe for concurrent use; the scheduler holds its lock.
package queue

import (
	"container/heap"
	"time"
)

// Item is one waiting request. Its fields are set before Push and then fixed.
type Item struct {
	// Rank of the tier; 0 is the most important.
	Rank int
	// Organisation that sent it and its weight within the tier.
	Organisation string
	Share        float64
	// StartBy is the latest start that lets the answer be in time.
	StartBy time.Time
	// Work is its expected cost, in prompt tokens.
	Work float64
	// Bytes it holds.
	Bytes int
	// Value is the owner's.
	Value any

	index int // place in its line, -1 when not waiting
}

// Limits bounds a Queue.
type Limits struct {
	MaxItems int
	MaxBytes int64
}

// Queue holds waiting items. The zero value isn't usable; see New.
type Queue struct {
	limits Limits
	levels []*level // by rank, nil where nothing ever waited
	items  int
	bytes  int64
}

// level is what waits of one tier.
type level struct {
	lines map[string]*line
	// order holds the lines in the order of their first item, so that equal
	// runs make equal choices.
	order []*line
	work  float64
	items int
	// served is the work taken from all lines, counted down with time.
	served usage
}

// line is what waits of one organisation in one tier.
type line struct {
	name   string
	items  itemHeap
	share  float64
	served usage
}

// usageHalfLife is the time in which past service loses half its weight.
const usageHalfLife = 5 * time.Second

// overuse is how much more than its share an organisation may have had before
// others go first.
const overuse = 1.25

// New returns an empty queue.
func New(limits Limits) *Queue { return &Queue{limits: limits} }

// Len returns how many items wait.
func (q *Queue) Len() int { return q.items }

// LenOfRank returns how many items of a rank wait.
func (q *Queue) LenOfRank(rank int) int {
	if rank >= len(q.levels) || q.levels[rank] == nil {
		return 0
	}
	return q.levels[rank].items
}

// WorkAhead returns the work that waits in tiers of this rank or more important.
func (q *Queue) WorkAhead(rank int) float64 {
	total := 0.0
	for r := 0; r <= rank && r < len(q.levels); r++ {
		if q.levels[r] != nil {
			total += q.levels[r].work
		}
	}
	return total
}

// CountAhead returns how many items go before a new one of a rank.
func (q *Queue) CountAhead(rank int) (n int) {
	for r := range rank + 1 {
		n += q.LenOfRank(r)
	}
	return n
}

// LowestRank returns the least important rank of which something waits, or -1.
func (q *Queue) LowestRank() int {
	for r := len(q.levels) - 1; r >= 0; r-- {
		if q.LenOfRank(r) > 0 {
			return r
		}
	}
	return -1
}

// HasSpace tells whether an item of so many bytes fits.
func (q *Queue) HasSpace(bytes int) bool {
	return q.items < q.limits.MaxItems && q.bytes+int64(bytes) <= q.limits.MaxBytes
}

// Push adds an item, whether there is room or not; see HasRoom.
func (q *Queue) Push(it *Item) {
	for len(q.levels) <= it.Rank {
		q.levels = append(q.levels, nil)
	}
	lv := q.levels[it.Rank]
	if lv == nil {
		lv = &level{lines: map[string]*line{}}
		q.levels[it.Rank] = lv
	}
	ln := lv.lines[it.Organisation]
	if ln == nil {
		ln = &line{name: it.Organisation}
		lv.lines[it.Organisation] = ln
		lv.order = append(lv.order, ln)
	}
	ln.share = it.Share
	heap.Push(&ln.items, it)
	lv.work += it.Work
	lv.items++
	q.items++
	q.bytes += int64(it.Bytes)
}

// WaitingRanks returns the ranks of which something waits, the most important first.
func (q *Queue) WaitingRanks() []int {
	var out []int
	for r, lv := range q.levels {
		if lv != nil && lv.items > 0 {
			out = append(out, r)
		}
	}
	return out
}

// Next returns the item that goes next without removing it, or nil.
func (q *Queue) Next(now time.Time) *Item {
	for _, lv := range q.levels {
		if lv != nil && lv.items > 0 {
			return lv.next(now)
		}
	}
	return nil
}

// Peek returns up to n waiting items of a rank: the one that goes next, and others by their
// latest start, whatever their organisations have had.
func (q *Queue) Peek(now time.Time, rank, n int) []*Item {
	if q.LenOfRank(rank) == 0 {
		return nil
	}
	next := q.levels[rank].next(now)
	out := append(make([]*Item, 0, n), next)
	for _, ln := range q.levels[rank].order {
		for _, it := range ln.items[:min(n, len(ln.items))] {
			if it != next {
				out = insertByStart(out, it, n)
			}
		}
	}
	return out
}

// insertByStart puts an item into its place after the first of at most n.
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

// Take removes a waiting item that is about to be served.
func (q *Queue) Take(now time.Time, it *Item) {
	lv := q.levels[it.Rank]
	lv.lines[it.Organisation].served.add(now, it.Work)
	lv.served.add(now, it.Work)
	q.Remove(it)
}

// Remove removes a waiting item that won't be served. It returns false when the
// item doesn't wait here.
func (q *Queue) Remove(it *Item) bool {
	if it.index < 0 || it.Rank >= len(q.levels) || q.levels[it.Rank] == nil {
		return false
	}
	lv := q.levels[it.Rank]
	ln := lv.lines[it.Organisation]
	if ln == nil || it.index >= len(ln.items) || ln.items[it.index] != it {
		return false
	}
	heap.Remove(&ln.items, it.index)
	lv.work -= it.Work
	lv.items--
	q.items--
	q.bytes -= int64(it.Bytes)
	return true
}

// RemoveExpired removes and returns the items whose latest start has passed.
func (q *Queue) RemoveExpired(now time.Time) []*Item {
	var out []*Item
	for _, lv := range q.levels {
		if lv == nil || lv.items == 0 {
			continue
		}
		for _, ln := range lv.order {
			for len(ln.items) > 0 && ln.items[0].StartBy.Before(now) {
				it := ln.items[0]
				q.Remove(it)
				out = append(out, it)
			}
		}
	}
	return out
}

// EarliestStartBy returns the earliest latest start of all waiting items.
func (q *Queue) EarliestStartBy() (time.Time, bool) {
	var earliest time.Time
	for _, lv := range q.levels {
		if lv == nil || lv.items == 0 {
			continue
		}
		for _, ln := range lv.order {
			if len(ln.items) > 0 && (earliest.IsZero() || ln.items[0].StartBy.Before(earliest)) {
				earliest = ln.items[0].StartBy
			}
		}
	}
	return earliest, !earliest.IsZero()
}

// RemoveLower removes and returns every item less important than rank.
func (q *Queue) RemoveLower(rank int) []*Item {
	var out []*Item
	for r := len(q.levels) - 1; r > rank; r-- {
		if q.levels[r] == nil {
			continue
		}
		for _, ln := range q.levels[r].order {
			for len(ln.items) > 0 {
				it := ln.items[0]
				q.Remove(it)
				out = append(out, it)
			}
		}
	}
	return out
}

// Displace removes and returns the waiting item that matters least among those
// less important than rank: of the lowest tier, the one that could start last.
// It returns nil when none is less important.
func (q *Queue) Displace(rank int) *Item {
	lowest := q.LowestRank()
	if lowest <= rank {
		return nil
	}
	var last *Item
	for _, ln := range q.levels[lowest].order {
		for _, it := range ln.items {
			if last == nil || it.StartBy.After(last.StartBy) {
				last = it
			}
		}
	}
	q.Remove(last)
	return last
}

// next picks within a tier: the earliest latest start among organisations within
// their share, else among all.
func (lv *level) next(now time.Time) *Item {
	lv.forgetIdle(now)
	shares := 0.0
	for _, ln := range lv.order {
		shares += ln.share
	}
	total := lv.served.at(now)
	var within, over *Item
	for _, ln := range lv.order {
		if len(ln.items) == 0 {
			continue
		}
		first := ln.items[0]
		if ln.served.at(now) <= overuse*total*ln.share/shares {
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

// forgetIdle drops the lines that are empty and long unserved.
func (lv *level) forgetIdle(now time.Time) {
	kept := lv.order[:0]
	for _, ln := range lv.order {
		if len(ln.items) == 0 && ln.served.at(now) < 1 {
			delete(lv.lines, ln.name)
			continue
		}
		kept = append(kept, ln)
	}
	clear(lv.order[len(kept):])
	lv.order = kept
}

func earlier(a, b *Item) *Item {
	if a == nil || b.StartBy.Before(a.StartBy) {
		return b
	}
	return a
}
