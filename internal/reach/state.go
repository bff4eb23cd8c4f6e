package reach

import (
	"slices"
	"time"
)

// State is whether an instance reaches upstreams over its own network path.
type State uint8

// The states. Isolated is also that of an instance which was isolated within the last announcedFor.
const (
	// Unknown: no connection to an upstream was established or failed yet, or since it was isolated.
	Unknown State = iota
	// Reaching: it has reached an upstream, and wasn't isolated since.
	Reaching
	// Isolated: it reaches no upstream, see Tracker.Isolated.
	Isolated
)

const (
	// announcedFor is how long an instance still counts as isolated after it has reached an upstream, so
	// that a path that fails and recovers in turn isn't announced with each change.
	announcedFor = 2 * time.Second
	// recheckAfter is the age of the failures that show that an instance is isolated, from which on they
	// are verified.
	recheckAfter = recentFor / 2
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Reaching:
		return "reaching"
	case Isolated:
		return "isolated"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. A state of a later version is Unknown.
func (s *State) UnmarshalText(text []byte) error {
	*s = Unknown
	for _, known := range []State{Reaching, Isolated} {
		if known.String() == string(text) {
			*s = known
		}
	}
	return nil
}

// State returns the state to announce to peers. It has to be called more often than every announcedFor.
func (t *Tracker) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.isIsolated(now):
		t.isolatedAt = now
		return Isolated
	case !t.isolatedAt.IsZero() && now.Sub(t.isolatedAt) < announcedFor:
		return Isolated
	case t.lastReached.After(t.isolatedAt):
		return Reaching
	default:
		return Unknown
	}
}

// NextRechecks returns the upstreams to probe for an isolated instance to remain certain of it, or notice its
// end, while no request needs a connection. Connected, Failed or Forget has to follow for each.
func (t *Tracker) NextRechecks(now time.Time) (due []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isIsolated(now) {
		return nil
	}
	certain := 0
	for upstream, at := range t.failing {
		switch o := t.of(upstream); {
		case now.Sub(at) < recheckAfter, o.probing:
			certain++
		case now.Sub(at) < recentFor:
			due = append(due, upstream)
		}
	}
	slices.Sort(due)
	due = due[:min(len(due), max(minFailing-certain, 0))]
	for _, upstream := range due {
		t.of(upstream).probing = true
	}
	return due
}
