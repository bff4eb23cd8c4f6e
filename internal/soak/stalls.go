package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// clockInterval is the time between two readings of the clock. A gap of at least stallThreshold
	// between them means that the machine itself was stalled, so that no process could keep a bound.
	clockInterval  = 20 * time.Millisecond
	stallThreshold = 250 * time.Millisecond
)

// Stalls records when this process got no processor time, to distinguish a violated guarantee from
// a stalled machine. Safe for concurrent use.
type Stalls struct {
	mu     sync.Mutex
	stalls []stall
}

// stall is a time range in which the machine was stalled.
type stall struct{ from, to time.Time }

// Watch reads the clock every clockInterval and records stalls. It blocks until ctx is done.
func (s *Stalls) Watch(ctx context.Context) {
	tick := time.NewTicker(clockInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-tick.C:
			s.compare(last, time.Now())
			last = time.Now()
		case <-ctx.Done():
			return
		}
	}
}

// compare records a stall if two successive readings of the clock are too far apart.
func (s *Stalls) compare(last, now time.Time) {
	if gap := now.Sub(last); gap >= stallThreshold {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stalls = append(s.stalls, stall{from: last, to: now})
	}
}

// String lists the stalls; it is empty without any.
func (s *Stalls) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, n := range s.stalls {
		out = append(out, fmt.Sprintf("%v before %s", n.to.Sub(n.from).Round(time.Millisecond), n.to.Format("15:04:05.000")))
	}
	return strings.Join(out, ", ")
}

// Within returns for how long the machine was stalled between from and to.
func (s *Stalls) Within(from, to time.Time) (stalled time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.stalls {
		begin, end := n.from, n.to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		stalled += max(end.Sub(begin), 0)
	}
	return stalled
}
