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
	noted []string
}

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
		s.noted = append(s.noted, fmt.Sprintf("%v before %s", gap.Round(time.Millisecond), now.Format("15:04:05.000")))
	}
}

// String words the stalls, empty without any.
func (s *Stalls) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.noted, ", ")
}
