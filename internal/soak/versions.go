package soak

import (
	"fmt"
	"strings"
	"sync"
)

// Versions records of which software versions of the upstreams the events of streams are that callers resume,
// and how many resumptions go on. Safe for concurrent use.
type Versions struct {
	mu         sync.Mutex
	violations []string
	mixed      int
	begun      tally // new streams
	resumed    tally // resumptions while two upstreams of the version serve
	others     tally // other resumptions
	failed     map[string]int
}

// tally counts attempts and those that were served.
type tally struct{ tried, served int }

func (t *tally) add(served bool) {
	t.tried++
	if served {
		t.served++
	}
}

// share returns the share that was served, 1 without attempts.
func (t tally) share() float64 {
	if t.tried == 0 {
		return 1
	}
	return float64(t.served) / float64(t.tried)
}

// VersionedEvent returns event n of a stream, counted from 1, as an upstream of a version writes it.
func VersionedEvent(stream string, n int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", n, stream, n, version)
}

// RecordBegun records the first attempt of a stream and whether an event arrived.
func (v *Versions) RecordBegun(served bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begun.add(served)
}

// RecordResumed records an attempt to resume a stream and whether it went on, with the response's status and
// reason if it didn't. Serving reports whether two upstreams of the stream's version served all the time.
func (v *Versions) RecordResumed(served, serving bool, result string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.failed == nil {
		v.failed = map[string]int{}
	}
	if !served {
		v.failed[result]++
	}
	if serving {
		v.resumed.add(served)
	} else {
		v.others.add(served)
	}
}

// VersionedStream is a stream that a caller joins from several responses.
type VersionedStream struct {
	// ID of the stream, and Total its number of events.
	ID    string
	Total int
	// Version began it; empty before the first event.
	Version string
	// Last is the number of the last event received.
	Last int
}

// Add adds one event. It records a violation if the event isn't the next one, or of another version.
func (v *Versions) Add(s *VersionedStream, event, request string) {
	text, _ := strings.CutPrefix(event, fmt.Sprintf("id: %d\ndata: %s %d ", s.Last+1, s.ID, s.Last+1))
	version, whole := strings.CutSuffix(text, "\n\n")
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !whole || VersionedEvent(s.ID, s.Last+1, version) != event:
		v.violations = append(v.violations, fmt.Sprintf("%s got %q after event %d of stream %s", request, event, s.Last, s.ID))
	case s.Version == "":
		s.Version = version
	case s.Version != version:
		v.mixed++
		v.violations = append(v.violations, fmt.Sprintf("%s went on with stream %s at version %s, which %s had begun, after event %d", request, s.ID, version, s.Version, s.Last))
	}
	s.Last++
}

const (
	// minResumptions is the number of resumptions from which their share is compared, and minResumedShare the
	// least share of them that must go on, as a share of the new streams that begin.
	minResumptions  = 12
	minResumedShare = 0.5
)

// Check returns a line for each violation. CompareShares reports whether the instances were in touch, so that
// resumptions must go on.
func (v *Versions) Check(compareShares bool) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := v.violations
	if compareShares && v.resumed.tried >= minResumptions && v.resumed.share() < minResumedShare*v.begun.share() {
		out = append(out, fmt.Sprintf("of %d resumptions %d went on, of %d new streams %d began", v.resumed.tried, v.resumed.served, v.begun.tried, v.begun.served))
	}
	return out
}

// String describes what was recorded, for logs.
func (v *Versions) String() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprintf("%d of %d streams began, %d of %d resumptions went on while two upstreams of their version served, %d of %d others, %d of two versions, results of the others %v",
		v.begun.served, v.begun.tried, v.resumed.served, v.resumed.tried, v.others.served, v.others.tried, v.mixed, v.failed)
}
