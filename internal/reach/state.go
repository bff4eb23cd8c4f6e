package reach

import (
	"slices"
	"time"
)

// State is whether an instance reaches upstreams over its own network path.
type State uint8

// The states.
const (
	// Unknown: no connection to an upstream was established or failed yet.
	Unknown State = iota
	// Reaching: it has reached an upstream, and wasn't isolated since.
	Reaching
	// Isolated: it was isolated, see Tracker.Isolated, and hasn't established a new connection since.
	// Responses on connections that were kept don't count, since only new ones can be relayed.
	Isolated
)

// recheckAfter is the age from which on the failures of an isolated instance are verified.
const recheckAfter = recentFor / 2

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

// State returns the state to announce to peers.
func (t *Tracker) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(now)
}

// state is State for a caller that holds the lock.
func (t *Tracker) state(now time.Time) State {
	if t.isIsolated(now) {
		t.isolatedAt = now
	}
	switch {
	case t.isolatedAt.After(t.lastConnected):
		return Isolated
	case !t.lastReached.IsZero():
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
	if t.state(now) != Isolated {
		return nil
	}
	certain := 0
	for upstream, o := range t.upstreams {
		if o.probing || now.Sub(o.failedAt) < recheckAfter {
			certain++
		} else {
			due = append(due, upstream)
		}
	}
	slices.Sort(due)
	due = due[:min(len(due), max(minFailing-certain, 0))]
	for _, upstream := range due {
		t.upstreams[upstream].probing = true
	}
	return due
}
