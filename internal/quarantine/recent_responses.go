package quarantine

import "time"

const (
	// maxRecentResponses, a number of requests, and generationTime bound each of the two
	// generations of recentResponses.
	maxRecentResponses = 2048
	generationTime     = 5 * time.Minute
)

// recentResponses remembers which requests were answered recently. It keeps two generations; when the
// current one reaches its bounds, the next response begins a new one, and the previous one is dropped.
// Under load it may therefore forget a request that isn't answered frequently.
type recentResponses struct {
	current, previous map[Key]struct{}
	since             time.Time // start of the current generation
}

func (a *recentResponses) add(now time.Time, k Key) {
	if a.current == nil || len(a.current) >= maxRecentResponses || now.Sub(a.since) >= generationTime {
		a.previous, a.current, a.since = a.current, make(map[Key]struct{}), now
	}
	a.current[k] = struct{}{}
}

func (a *recentResponses) has(k Key) bool {
	_, current := a.current[k]
	_, previous := a.previous[k]
	return current || previous
}
