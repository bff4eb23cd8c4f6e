package view

import (
	"maps"
	"time"
)

// departureRetention is how long the last entry of a removed upstream is kept. It has to exceed the
// time for which a network path may delay an earlier write of the upstream: the kernel gives up on a
// write after some seconds without a response.
const departureRetention = 30 * time.Second

// departures are the last entries of removed upstreams. Older lists may still contain an upstream
// that announced that it leaves, or whose entry was read on its own; a source that was restored from
// an older copy may have lost the removal of any upstream.
type departures struct {
	by     map[string]departure // by ID
	pruned time.Time
}

type departure struct {
	last Upstream
	// isLast reports whether the entry was known to be the upstream's last one.
	isLast bool
	// epoch in which the upstream was removed: an earlier copy of the source may list it again in a
	// later epoch.
	epoch int64
	at    time.Time
}

// record keeps the entry of a removed upstream. At most once per departureRetention it drops expired
// entries.
func (d *departures) record(now time.Time, u Upstream, isLast bool, epoch int64) {
	if now.Sub(d.pruned) >= departureRetention {
		d.prune(now)
	}
	d.by[u.ID] = departure{last: u, isLast: isLast, epoch: epoch, at: now}
}

func (d *departures) prune(now time.Time) {
	d.pruned = now
	maps.DeleteFunc(d.by, func(_ string, other departure) bool { return now.Sub(other.at) >= departureRetention })
}

// rejects reports whether an entry is obsolete because its upstream was removed: it is the last
// entry or was written before it. An upstream that was removed without a leaving notice may come
// back, except through an older entry in a restored copy of the source.
func (d *departures) rejects(now time.Time, u Upstream) bool {
	known, gone := d.by[u.ID]
	if !gone || now.Sub(known.at) >= departureRetention {
		return false
	}
	if EpochOf(u.Revision) > known.epoch {
		return !known.last.writtenBefore(u)
	}
	return known.isLast && (u.Revision <= known.last.Revision || u.writtenBefore(known.last))
}
