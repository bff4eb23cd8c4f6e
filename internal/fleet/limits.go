package fleet

import (
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/ratelimit"
)

// An upstream in need names how many requests a second it takes from all instances. The owner of its shard keeps
// that limit, with every attempt that it grants. Whoever may own the shard next hears of it from peers, and from
// each instance that asks for a slot.

// mostLimits bounds the limits that an owner is told with one request.
const mostLimits = 32

// NoteLimit takes what an upstream of the list says, in the answer to an attempt that was sent at a time, of the
// requests a second that it takes. It returns whether that is news for peers.
func (f *Fleet) NoteLimit(id string, sent time.Time, o ratelimit.Observation) bool {
	process := f.ProcessOf(id)
	if process == "" || !f.limits.Observe(time.Now(), sent, process, o) {
		return false
	}
	f.applyLimits(process)
	return true
}

// LearnLimits takes what a peer tells of limits, and returns whether any of it is news.
func (f *Fleet) LearnLimits(peer string, told []ratelimit.Update) bool {
	if len(told) == 0 {
		return false
	}
	changed := f.limits.Learn(time.Now(), "peer "+peer, f.listed(told, func(*upstream) bool { return true }))
	if len(changed) == 0 {
		return false
	}
	f.applyLimits(changed...)
	return true
}

// TellLimits returns what peers are to be told of limits now, and AllLimits what one is that may know none of them.
func (f *Fleet) TellLimits() []ratelimit.Update { return f.limits.Tell(time.Now()) }

// AllLimits returns all that is known of limits.
func (f *Fleet) AllLimits() []ratelimit.Update { return f.limits.All(time.Now()) }

// Limit returns the requests a second that an upstream takes from all instances, as far as this one knows, and
// whether there is such a limit.
func (f *Fleet) Limit(id string) (perSecond float64, limited bool) {
	process := f.ProcessOf(id)
	if process == "" {
		return 0, false
	}
	return f.limits.Of(process)
}

// LimitedUpstreams returns how many upstreams are known to have named a limit.
func (f *Fleet) LimitedUpstreams() int { return f.limits.Count() }

// limitOf is the limit of a process as its scheduler takes it.
func (f *Fleet) limitOf(process string) balancer.AdvertisedLimit {
	perSecond, limited := f.limits.Of(process)
	return balancer.AdvertisedLimit{Set: limited, PerSecond: perSecond}
}

// limitsToTell returns the limits of a service's upstreams, for the owner of one of its shards.
func (f *Fleet) limitsToTell(service string) []ratelimit.Update {
	if f.limits.Count() == 0 {
		return nil
	}
	told := f.listed(f.limits.All(time.Now()), func(u *upstream) bool { return u.Service == service })
	return told[:min(len(told), mostLimits)]
}

// applyLimits lets the schedulers know of limits that have changed.
func (f *Fleet) applyLimits(processes ...string) {
	f.mu.Lock()
	updated := updates{}
	for _, process := range processes {
		if u := f.processes[process]; u != nil {
			f.refresh(u, updated)
		}
	}
	updated.apply()
	f.mu.Unlock()
	f.limitStarts()
}

// listed returns those of some limits whose processes are on the list, and are wanted.
func (f *Fleet) listed(told []ratelimit.Update, wanted func(*upstream) bool) (out []ratelimit.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range told {
		if u := f.processes[t.Process]; u != nil && wanted(u) {
			out = append(out, t)
		}
	}
	return out
}
