package soak

import (
	"fmt"
	"sync"
	"time"
)

// Brittle is an upstream that says at times that it is brittle: it then has room for fewer requests than
// usual, and falls over once it refuses too many of them in a second. Safe for concurrent use.
type Brittle struct {
	mu          sync.Mutex
	since       time.Time // when it began to say so; zero if it doesn't
	maxRefusals int
	running     int
	refusals    []time.Time
	falls       int
}

const (
	// brittleSettle is the time from the moment at which an upstream says that it is brittle until it has
	// less room: stable_window_ms of the users' deployments.
	brittleSettle = 3 * time.Second
	// slotHeld is how long an upstream holds a slot after its request has ended.
	slotHeld = 2 * time.Millisecond
)

// Begin makes the upstream brittle until end is called. It falls over once it refuses more than maxRefusals
// requests in a second.
func (b *Brittle) Begin(maxRefusals int) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since, b.maxRefusals = time.Now(), maxRefusals
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.since = time.Time{}
	}
}

// MaxRefusals returns how many refusals in a second the upstream survives, and whether it is brittle.
func (b *Brittle) MaxRefusals() (n int, brittle bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxRefusals, !b.since.IsZero()
}

// Admit reports whether there is room for a request. If so, leave has to be called when it has ended.
func (b *Brittle) Admit(room int) (leave func(), admitted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.since.IsZero() || now.Sub(b.since) < brittleSettle || b.running < room {
		b.running++
		return func() { time.AfterFunc(slotHeld, b.leave) }, true
	}
	b.refusals = append(b.refusals, now)
	for now.Sub(b.refusals[0]) >= time.Second {
		b.refusals = b.refusals[1:]
	}
	if len(b.refusals) > b.maxRefusals {
		b.falls++
		b.refusals = nil
	}
	return nil, false
}

func (b *Brittle) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// Falls returns how often the upstream fell over.
func (b *Brittle) Falls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.falls
}

// CheckFalls returns a violation if the upstreams of a service fell over more often than twice and a tenth of
// their number, in one time in which they were brittle.
func CheckFalls(upstreams []*Brittle) []string {
	falls := 0
	for _, b := range upstreams {
		falls += b.Falls()
	}
	if allowed := 2 + len(upstreams)/10; falls > allowed {
		return []string{fmt.Sprintf("%d brittle upstreams fell over %d times; at most %d are allowed", len(upstreams), falls, allowed)}
	}
	return nil
}
