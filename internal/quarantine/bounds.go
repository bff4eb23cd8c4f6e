package quarantine

import (
	"maps"
	"time"
)

// dropExpired drops expired entries. The caller holds the lock.
func (r *Registry) dropExpired(now time.Time) {
	maps.DeleteFunc(r.losses, func(_ string, list []loss) bool { return now.Sub(list[len(list)-1].at) > lossWindow })
	maps.DeleteFunc(r.checked, func(_ string, at time.Time) bool { return now.Sub(at) > checkInterval })
	maps.DeleteFunc(r.left, func(_ string, at time.Time) bool { return now.Sub(at) > lossWindow })
	maps.DeleteFunc(r.crashes, func(_ string, c *crash) bool { return now.Sub(c.at) > crashRetention })
	maps.DeleteFunc(r.cleared, func(_ Key, c clearing) bool { return now.Sub(c.learned) > crashRetention })
	maps.DeleteFunc(r.quarantined, func(_ Key, p period) bool { return now.Sub(p.until) > maxPeriod })
}

// oldestCrash returns the upstream process of the oldest crash, empty if there is none.
func (r *Registry) oldestCrash() (oldest string) {
	for upstream, c := range r.crashes {
		if oldest == "" || c.at.Before(r.crashes[oldest].at) {
			oldest = upstream
		}
	}
	return oldest
}

// dropOldest removes the oldest entry if there are more than limit.
func dropOldest[V any](from map[Key]V, limit int, at func(V) time.Time) {
	dropOldestOf(from, func(Key) bool { return true }, limit, at)
}

// dropOldestOf removes the oldest of the entries for which counts returns true, if there are more
// than limit of them.
func dropOldestOf[V any](from map[Key]V, counts func(Key) bool, limit int, at func(V) time.Time) {
	n := 0
	var oldest Key
	var oldestAt time.Time
	for k, v := range from {
		if !counts(k) {
			continue
		}
		n++
		if oldestAt.IsZero() || at(v).Before(oldestAt) {
			oldest, oldestAt = k, at(v)
		}
	}
	if n > limit { // by one at most, since it runs after each addition
		delete(from, oldest)
	}
}
