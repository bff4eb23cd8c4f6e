package fleet

import (
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/ratelimit"
)

// An overloaded upstream advertises how many requests per second it accepts from all instances. The owner
// of its shard enforces that limit on every attempt that it grants. Instances that may become the owner
// receive the limit from peers, and with each slot request.

// maxLimitsPerRequest is the maximum number of limits in one slot request.
const maxLimitsPerRequest = 32

// ObserveLimit records the limit in a response of a process of an upstream; sent is when its attempt was
// sent. It reports whether there is an update for peers.
func (f *Fleet) ObserveLimit(process string, sent time.Time, o ratelimit.Observation) bool {
	if !f.isListed(process) || !f.limits.Observe(time.Now(), sent, process, o) {
		return false
	}
	f.applyLimits(process)
	return true
}

// MergeLimits merges limits that a peer sent and reports whether any of them changed.
func (f *Fleet) MergeLimits(peer string, updates []ratelimit.Update) bool {
	if len(updates) == 0 {
		return false
	}
	changed := f.limits.Merge(time.Now(), "peer "+peer, f.filterListed(updates, func(*upstream) bool { return true }))
	if len(changed) == 0 {
		return false
	}
	f.applyLimits(changed...)
	return true
}

// NextLimitUpdates returns the limits for the next message to peers: recent changes, and some older ones
// round-robin.
func (f *Fleet) NextLimitUpdates() []ratelimit.Update { return f.limits.NextUpdates(time.Now()) }

// AllLimits returns all known limits, for a peer that may know none of them.
func (f *Fleet) AllLimits() []ratelimit.Update { return f.limits.All(time.Now()) }

// Limit returns how many requests per second an upstream accepts from all instances, and whether such a
// limit is known.
func (f *Fleet) Limit(id string) (perSecond float64, limited bool) {
	process := f.ProcessOf(id)
	if process == "" {
		return 0, false
	}
	return f.limits.Limit(process)
}

// LimitedUpstreams returns how many upstreams are known to advertise a limit.
func (f *Fleet) LimitedUpstreams() int { return f.limits.Count() }

// advertisedLimit returns the limit of a process in the form of the scheduler.
func (f *Fleet) advertisedLimit(process string) balancer.AdvertisedLimit {
	perSecond, limited := f.limits.Limit(process)
	return balancer.AdvertisedLimit{Set: limited, PerSecond: perSecond}
}

// limitsForOwner returns the limits of the upstreams of a service, for the owner of one of its shards.
func (f *Fleet) limitsForOwner(service string) []ratelimit.Update {
	if f.limits.Count() == 0 {
		return nil
	}
	out := f.filterListed(f.limits.All(time.Now()), func(u *upstream) bool { return u.Service == service })
	return out[:min(len(out), maxLimitsPerRequest)]
}

// applyLimits passes changed limits on to the schedulers.
func (f *Fleet) applyLimits(processes ...string) {
	f.mu.Lock()
	updated := memberUpdates{}
	for _, process := range processes {
		if u := f.processes[process]; u != nil {
			f.refreshUsability(u, updated)
		}
	}
	updated.apply()
	f.mu.Unlock()
	f.updateGrantLimits()
}

// isListed reports whether a process is on the list.
func (f *Fleet) isListed(process string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[process] != nil
}

// filterListed returns the updates of processes that are on the list and wanted.
func (f *Fleet) filterListed(updates []ratelimit.Update, wanted func(*upstream) bool) (out []ratelimit.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range updates {
		if u := f.processes[t.Process]; u != nil && wanted(u) {
			out = append(out, t)
		}
	}
	return out
}
