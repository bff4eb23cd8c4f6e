package view

import (
	"maps"
	"time"
)

// departureRetention is how long the last word of an upstream that has left is remembered: beyond the
// time for which a path may hold up what it wrote before. The kernel gives a write up after some
// seconds without an answer.
const departureRetention = 30 * time.Second

// departures are the last entries of upstreams that are gone although lists without that news may
// still come: they said that they leave, their entry alone was read, or the source lost that they are gone.
type departures struct {
	by     map[string]departure // by ID
	pruned time.Time
}

type departure struct {
	last Upstream
	// isLast tells that the entry was known to be its last one.
	isLast bool
	// epoch in which it was gone: a copy of the source from before may bring it back in a later one.
	epoch int64
	at    time.Time
}

// record remembers the entry of one that is gone, and forgets those of long ago now and then.
func (d *departures) record(now time.Time, u Upstream, isLast bool, era int64) {
	if now.Sub(d.pruned) >= departureRetention {
		d.prune(now)
	}
	d.by[u.ID] = departure{last: u, isLast: isLast, epoch: era, at: now}
}

func (d *departures) prune(now time.Time) {
	d.pruned = now
	maps.DeleteFunc(d.by, func(_ string, other departure) bool { return now.Sub(other.at) >= departureRetention })
}

// rejects tells whether an entry is of no use since its upstream is gone: it is the last one, or was
// written before it. One that vanished without a word may come back, unless it does so in a copy of the source from
// before.
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
