package quarantine

import "time"

const (
	// answeredMost and answeredFor bound each of two generations of what is remembered as answered.
	answeredMost = 2048
	answeredFor  = 5 * time.Minute
)

// answered remembers which requests were answered lately: those that come often, at least.
type answered struct {
	young, old map[Key]struct{}
	since      time.Time // when the young ones began
}

func (a *answered) add(now time.Time, k Key) {
	if a.young == nil || len(a.young) >= answeredMost || now.Sub(a.since) >= answeredFor {
		a.old, a.young, a.since = a.young, make(map[Key]struct{}), now
	}
	a.young[k] = struct{}{}
}

func (a *answered) has(k Key) bool {
	_, young := a.young[k]
	_, old := a.old[k]
	return young || old
}
