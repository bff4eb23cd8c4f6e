package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// stallTick is how often the clock is looked at, and stallFrom the gap between two looks
	// from which on the machine itself stood still: no process could keep a bound then.
	stallTick = 20 * time.Millisecond
	stallFrom = 250 * time.Millisecond
)

// Stalls notes when this process got no processor time, so that a broken promise can be told
// from a machine that stood still. Safe for concurrent use.
type Stalls struct {
	mu    sync.Mutex
	noted []stall
}

// stall is a time in which the machine stood still.
type stall struct{ from, to time.Time }

// Watch looks at the clock until ctx ends.
func (s *Stalls) Watch(ctx context.Context) {
	tick := time.NewTicker(stallTick)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-tick.C:
			s.look(last, time.Now())
			last = time.Now()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Stalls) look(last, now time.Time) {
	if gap := now.Sub(last); gap >= stallFrom {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.noted = append(s.noted, stall{from: last, to: now})
	}
}

// String words the stalls, empty without any.
func (s *Stalls) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, n := range s.noted {
		out = append(out, fmt.Sprintf("%v before %s", n.to.Sub(n.from).Round(time.Millisecond), n.to.Format("15:04:05.000")))
	}
	return strings.Join(out, ", ")
}

// Within returns for how long of a time the machine stood still.
func (s *Stalls) Within(from, to time.Time) (still time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.noted {
		begin, end := n.from, n.to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		still += max(end.Sub(begin), 0)
	}
	return still
}
