package fleet

import (
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/ratelimit"
)

// An upstream in need names how many requests a second it takes from all instances. The owner of its shard keeps
// that limit, with every attempt that it grants. Whoever may own the shard next hears of it from peers, and from
// each instance that asks for a slot.

// maxLimitsPerRequest bounds the limits that an owner is told with one request.
const maxLimitsPerRequest = 32

// ObserveLimit takes what an upstream of the list says, in the answer to an attempt that was sent at a time, of the
// requests a second that it takes. It returns whether that is news for peers.
func (f *Fleet) ObserveLimit(id string, sent time.Time, o ratelimit.Observation) bool {
	process := f.ProcessOf(id)
	if process == "" || !f.limits.Observe(time.Now(), sent, process, o) {
		return false
	}
	f.applyLimits(process)
	return true
}

// MergeLimits takes what a peer tells of limits, and returns whether any of it is news.
func (f *Fleet) MergeLimits(peer string, told []ratelimit.Update) bool {
	if len(told) == 0 {
		return false
	}
	changed := f.limits.Merge(time.Now(), "peer "+peer, f.filterListed(told, func(*upstream) bool { return true }))
	if len(changed) == 0 {
		return false
	}
	f.applyLimits(changed...)
	return true
}

// NextLimitUpdates returns what peers are to be told of limits now, and AllLimits what one is that may know none of them.
func (f *Fleet) NextLimitUpdates() []ratelimit.Update { return f.limits.NextUpdates(time.Now()) }

// AllLimits returns all that is known of limits.
func (f *Fleet) AllLimits() []ratelimit.Update { return f.limits.All(time.Now()) }

// Limit returns the requests a second that an upstream takes from all instances, as far as this one knows, and
// whether there is such a limit.
func (f *Fleet) Limit(id string) (perSecond float64, limited bool) {
	process := f.ProcessOf(id)
	if process == "" {
		return 0, false
	}
	return f.limits.Limit(process)
}

// LimitedUpstreams returns how many upstreams are known to have named a limit.
func (f *Fleet) LimitedUpstreams() int { return f.limits.Count() }

// advertisedLimit is the limit of a process as its scheduler takes it.
func (f *Fleet) advertisedLimit(process string) balancer.NamedLimit {
	perSecond, limited := f.limits.Limit(process)
	return balancer.NamedLimit{Set: limited, PerSecond: perSecond}
}

// limitsForOwner returns the limits of a service's upstreams, for the owner of one of its shards.
func (f *Fleet) limitsForOwner(service string) []ratelimit.Update {
	if f.limits.Count() == 0 {
		return nil
	}
	told := f.filterListed(f.limits.All(time.Now()), func(u *upstream) bool { return u.Service == service })
	return told[:min(len(told), maxLimitsPerRequest)]
}

// applyLimits lets the schedulers know of limits that have changed.
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

// filterListed returns those of some limits whose processes are on the list, and are wanted.
func (f *Fleet) filterListed(told []ratelimit.Update, wanted func(*upstream) bool) (out []ratelimit.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range told {
		if u := f.processes[t.Process]; u != nil && wanted(u) {
			out = append(out, t)
		}
	}
	return out
}
