// Package retrybudget bounds how many requests are sent again, so that retries don't
// multiply a burst or an outage.
package retrybudget

import (
	"sync"
	"time"
)

// Options of a Budget.
type Options struct {
	// Share of the first attempts that may be sent again.
	Share float64
	// Initial is what a quiet instance may send again at once, and what it starts with.
	Initial float64
	// Max bounds what can be saved up.
	Max float64
	// PerSecond is granted whatever the number of first attempts; 0 is none.
	PerSecond float64
}

// Budget counts one instance's repeats. Safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	o      Options
	saved  float64
	filled time.Time
}

// New returns a budget that holds its floor.
func New(o Options) *Budget { return &Budget{o: o, saved: o.Initial, filled: time.Now()} }

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(b.o.Share)
}

// Withdraw takes one repeat, if the budget has it.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.add(b.o.PerSecond * now.Sub(b.filled).Seconds())
	b.filled = now
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Return gives back a repeat that was taken and wasn't made.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(1)
}

func (b *Budget) add(n float64) { b.saved = min(b.saved+n, b.o.Max) }

// Bound is a bound over all instances: in any Window, Share of the requests and Extra
// more may be sent again.
type Bound struct {
	Share  float64
	Extra  float64
	Window time.Duration
}

// shareMargin keeps a part of the share back for repeats that count differently at
// the upstreams, such as one that arrives in a later window than its first attempt.
const shareMargin = 0.8

// PerInstance returns the options of one of so many instances, so that together they keep
// the bound in each window: a half of the extra is held at once, the other half
// comes back over a window.
func (s Bound) PerInstance(instances int) Options {
	half := s.Extra / 2 / float64(max(instances, 1))
	return Options{
		Share:     s.Share * shareMargin,
		Initial:   half,
		Max:       half,
		PerSecond: half / s.Window.Seconds(),
	}
}

// ownedPart is the part of the extra that an owner holds at once, and that comes back to it over a window. A
// third, since another instance may take the part over within a window, with a third of its own.
const ownedPart = 1.0 / 3

// PerOwner returns the options of the owner of one of so many parts of a service, where it and those within its
// reach are a part of the fleet. However many instances there are, a part has one owner at a time, so what it
// holds is large enough to be used. It starts empty.
func (s Bound) PerOwner(parts int, reached float64) Options {
	held := s.Extra * ownedPart * reached / float64(max(parts, 1))
	return Options{
		Share:     s.Share * shareMargin,
		Max:       held,
		PerSecond: held / s.Window.Seconds(),
	}
}

// SetOptions changes the options and keeps what is saved, within the new ceiling.
func (b *Budget) SetOptions(o Options) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.o = o
	b.add(0)
}
