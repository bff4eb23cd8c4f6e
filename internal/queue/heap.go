package queue

import (
	"math"
	"time"
)

// itemHeap orders items by StartBy; it implements heap.Interface.
type itemHeap []*Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].StartBy.Before(h[j].StartBy) }
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap) Pop() any {
	old := *h
	last := len(old) - 1
	it := old[last]
	old[last] = nil
	it.index = -1
	*h = old[:last]
	return it
}

// usage is an amount that loses half its weight every usageHalfLife.
type usage struct {
	amount    float64
	updatedAt time.Time
}

func (u *usage) at(now time.Time) float64 {
	if u.amount == 0 {
		return 0
	}
	age := now.Sub(u.updatedAt).Seconds()
	return u.amount * math.Exp2(-age/usageHalfLife.Seconds())
}

func (u *usage) add(now time.Time, amount float64) {
	u.amount = u.at(now) + amount
	u.updatedAt = now
}
