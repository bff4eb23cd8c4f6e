package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/rest"
)

// ErrBackingOff: it has asked this instance for rest.
var ErrBackingOff = fmt.Errorf("%w: %w", ErrNotUsable, rest.ErrBackingOff)

// maxExcluded bounds the upstreams that an owner is told this instance won't send to.
const maxExcluded = 64

// BeginBackoff notes that an upstream wants nothing from this instance for so long.
func (f *Fleet) BeginBackoff(id string, wanted time.Duration) {
	process := f.ProcessOf(id)
	if process == "" {
		return // it has left, and gets nothing more
	}
	f.backoffs.Begin(time.Now(), id, process, wanted)
	f.o.Log.Info().Str("event", "upstream_rests").Str("upstream", id).Dur("wanted", wanted).Msg("")
}

// BeginAttempt tells whether a request may go to the upstream of a lease now, right before its first byte. Heard
// or Unheard is to follow where it may.
func (f *Fleet) BeginAttempt(l Grant) error {
	id := l.Upstream()
	if err := f.CheckUsable(id); err != nil {
		return err
	}
	if _, limited := f.Limit(id); limited && !l.Limited() {
		return ErrLimitUnknown
	}
	if f.backoffs.Claim(time.Now(), id) != nil {
		return ErrBackingOff
	}
	return nil
}

// RecordResponse notes that an upstream has answered a request, and doesn't ask for rest.
func (f *Fleet) RecordResponse(id string) { f.backoffs.Clear(time.Now(), id) }

// RecordNoResponse notes that a request that went to an upstream wasn't answered.
func (f *Fleet) RecordNoResponse(id string) { f.backoffs.ReleaseClaim(id) }

// excludedUpstreams returns the upstreams that this instance won't send to though they are on the list. Who owns
// them has to know, or it goes on granting them.
func (f *Fleet) excludedUpstreams() []string {
	out := f.backoffs.BackingOff(time.Now())
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

// ShortestBackoff returns in how long the first upstream of a service may be sent to, where all that may be used
// otherwise rest; 0 where one doesn't, or none may be used.
func (f *Fleet) ShortestBackoff(service string) (first time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, u := range f.upstreams {
		if u.Service != service || u.unusable != nil {
			continue
		}
		left := f.backoffs.Remaining(now, u.ID)
		if left == 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}
