package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/rest"
)

// ErrResting: it has asked this instance for rest.
var ErrResting = fmt.Errorf("%w: %w", ErrNotUsable, rest.ErrResting)

// mostWithout bounds the upstreams that an owner is told this instance won't send to.
const mostWithout = 64

// Rest notes that an upstream wants nothing from this instance for so long.
func (f *Fleet) Rest(id string, wanted time.Duration) {
	process := f.ProcessOf(id)
	if process == "" {
		return // it has left, and gets nothing more
	}
	f.rests.Begin(time.Now(), id, process, wanted)
	f.o.Log.Info().Str("event", "upstream_rests").Str("upstream", id).Dur("wanted", wanted).Msg("")
}

// BeginAttempt tells whether a request may go to the upstream of a lease now, right before its first byte. Heard
// or Unheard is to follow where it may.
func (f *Fleet) BeginAttempt(l Lease) error {
	id := l.Upstream()
	if err := f.MayBeSent(id); err != nil {
		return err
	}
	if _, limited := f.Limit(id); limited && !l.Limited() {
		return ErrNotLimited
	}
	if f.rests.Claim(time.Now(), id) != nil {
		return ErrResting
	}
	return nil
}

// Heard notes that an upstream has answered a request, and doesn't ask for rest.
func (f *Fleet) Heard(id string) { f.rests.Over(time.Now(), id) }

// Unheard notes that a request that went to an upstream wasn't answered.
func (f *Fleet) Unheard(id string) { f.rests.Untried(id) }

// without returns the upstreams that this instance won't send to though they are on the list. Who owns
// them has to know, or it goes on granting them.
func (f *Fleet) without() []string {
	out := f.rests.Resting(time.Now())
	f.mu.Lock()
	for process := range f.saidLeaving {
		u := f.processes[process]
		if u != nil && !u.Leaving && !slices.Contains(out, u.ID) {
			out = append(out, u.ID)
		}
	}
	f.mu.Unlock()
	return out[:min(len(out), mostWithout)]
}

// FirstBack returns in how long the first upstream of a service may be sent to, where all that may be used
// otherwise rest; 0 where one doesn't, or none may be used.
func (f *Fleet) FirstBack(service string) (first time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, u := range f.upstreams {
		if u.Service != service || u.unusable != nil {
			continue
		}
		left := f.rests.Left(now, u.ID)
		if left == 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}
