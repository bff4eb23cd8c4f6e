package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/rest"
)

// ErrBackingOff means that the upstream has requested a backoff from this instance.
var ErrBackingOff = fmt.Errorf("%w: %w", ErrNotUsable, rest.ErrBackingOff)

// maxExcluded is the maximum number of upstreams that a request excludes.
const maxExcluded = 64

// BeginBackoff records that a process of an upstream wants no requests from this instance for the given duration.
func (f *Fleet) BeginBackoff(process string, wanted time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock() // until it has begun, so that a list that replaces the process drops it
	u := f.processes[process]
	if u == nil {
		return // no longer on the list, so it gets no more requests
	}
	f.backoffs.Begin(time.Now(), u.ID, process, wanted)
	f.o.Log.Info().Str("event", "upstream_rests").Str("upstream", u.ID).Dur("wanted", wanted).Msg("")
}

// BeginAttempt returns nil if a request may be sent to the upstream of a grant, and the reason otherwise.
// It is called right before the first byte is sent; if it returns nil, RecordResponse or RecordNoResponse
// has to follow.
func (f *Fleet) BeginAttempt(g Grant) error {
	id := g.Upstream()
	if err := f.CheckUsable(id); err != nil {
		return err
	}
	if _, limited := f.Limit(id); limited && !g.Limited() {
		return ErrLimitUnknown
	}
	if f.backoffs.Claim(time.Now(), id) != nil {
		return ErrBackingOff
	}
	return nil
}

// RecordResponse records that a process of an upstream has answered a request without requesting a backoff.
func (f *Fleet) RecordResponse(id, process string) { f.backoffs.Clear(time.Now(), id, process) }

// RecordNoResponse records that a request that was sent to a process of an upstream got no response.
func (f *Fleet) RecordNoResponse(id, process string) { f.backoffs.ReleaseClaim(id, process) }

// excludedUpstreams returns the listed upstreams that this instance won't send to. They are part of each
// slot request, since the owner would otherwise keep granting them.
func (f *Fleet) excludedUpstreams() []string {
	out := f.backoffs.BackingOff(time.Now())
	for _, id := range f.reach.WithoutPath(time.Now()) {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	f.mu.Lock()
	for process := range f.leavingNotices {
		u := f.processes[process]
		if u != nil && !u.Leaving && !slices.Contains(out, u.ID) {
			out = append(out, u.ID)
		}
	}
	f.mu.Unlock()
	return out[:min(len(out), maxExcluded)]
}

// ShortestBackoff returns the time until the first upstream of a service may be sent to, if all usable
// ones are backing off; 0 if one is not, or none is usable.
func (f *Fleet) ShortestBackoff(service string) (shortest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, u := range f.upstreams {
		if u.Service != service || u.unusable != nil {
			continue
		}
		remaining := f.backoffs.Remaining(now, u.ID)
		if remaining == 0 {
			return 0
		}
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}
