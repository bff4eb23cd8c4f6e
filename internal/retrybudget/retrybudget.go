// Package retrybudget limits how many requests are retried, so that retries don't
// multiply a burst or an outage.
package retrybudget

import (
	"sync"
	"time"
)

// Options configure a Budget, in retries.
type Options struct {
	// Share of the first attempts that may be retried.
	Share float64
	// Initial is the balance at first: what an instance without traffic may retry at once.
	Initial float64
	// Max bounds the balance.
	Max float64
	// PerSecond is added each second, independent of first attempts; 0 for none.
	PerSecond float64
}

// Budget is a balance of retries, filled by first attempts and by time. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	o        Options
	balance  float64
	refilled time.Time // when PerSecond was last added
}

// New returns a budget with its initial balance.
func New(o Options) *Budget { return &Budget{o: o, balance: o.Initial, refilled: time.Now()} }

// Deposit records a first attempt, which adds Share of a retry.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(b.o.Share)
}

// Withdraw takes one retry and reports whether the balance allowed it.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.add(b.o.PerSecond * now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Return gives back a retry that was withdrawn but not made.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(1)
}

func (b *Budget) add(n float64) { b.balance = min(b.balance+n, b.o.Max) }

// Bound is a bound over all instances: in any Window, Share of the requests and Extra
// more may be retried.
type Bound struct {
	Share  float64
	Extra  float64
	Window time.Duration
}

// shareMargin holds back some of the share for retries that the upstreams count in another
// window, such as one that arrives in a later window than its first attempt.
const shareMargin = 0.8

// The shares of the extra that a budget holds at once, and that are refilled over a window. Each role uses twice its
// share in a window at most, and the three add up to less than the whole.
const (
	ownerShare   = 1.0 / 3
	standbyShare = 0.06
	aloneShare   = 0.06
)

// PerInstance returns the options of one of the given number of instances, for what each decides alone, being
// neither the owner nor the standby.
func (s Bound) PerInstance(instances int) Options {
	o := s.holding(aloneShare, 1/float64(max(instances, 1)))
	o.Initial = o.Max
	return o
}

// PerOwner returns the options of the owner of one of the given number of shards of a service; reachable is the share
// of the fleet that the owner can reach, itself included. A shard has one owner at a time however many instances there
// are, so its budget is large enough to be used. It starts empty.
func (s Bound) PerOwner(shards int, reachable float64) Options {
	return s.holding(ownerShare, reachable/float64(max(shards, 1)))
}

// PerStandby returns the options of the instance that is asked while the owner of a shard is silent, as PerOwner does.
func (s Bound) PerStandby(shards int, reachable float64) Options {
	return s.holding(standbyShare, reachable/float64(max(shards, 1)))
}

// holding returns the options of a budget that holds a share of a part of the extra, and is refilled with as much over
// a window.
func (s Bound) holding(share, part float64) Options {
	held := s.Extra * share * part
	return Options{Share: s.Share * shareMargin, Max: held, PerSecond: held / s.Window.Seconds()}
}

// Empty takes all retries from the budget.
func (b *Budget) Empty() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance, b.refilled = 0, time.Now()
}

// SetOptions replaces the options and keeps the balance, up to the new maximum.
func (b *Budget) SetOptions(o Options) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.o = o
	b.add(0)
}
