package fleet

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/view"
)

// ErrNotUsable: an upstream that was granted may not be sent to, by this instance's list.
var ErrNotUsable = errors.New("the upstream may not be sent to")

// Why an upstream isn't usable.
var (
	// ErrNotListed: it isn't on this instance's list.
	ErrNotListed = fmt.Errorf("%w: it isn't on the list", ErrNotUsable)
	// ErrLeaving: it has said that it leaves.
	ErrLeaving = fmt.Errorf("%w: it is leaving", ErrNotUsable)
	// ErrLimitUnknown: whoever granted it didn't know that it has named a limit.
	ErrLimitUnknown = fmt.Errorf("%w: it has named a limit that the grant doesn't go by", ErrNotUsable)
	// ErrEvacuated: operators have its availability zone emptied.
	ErrEvacuated = fmt.Errorf("%w: its availability zone is evacuated", ErrNotUsable)
)

// unusableReason tells why an upstream of the list gets nothing new, nil where it does. The caller
// holds the lock.
func (f *Fleet) unusableReason(u view.Upstream) error {
	_, said := f.leavingNotices[processName(u.ID, u.Born)]
	switch {
	case u.Leaving, said:
		return ErrLeaving
	case slices.Contains(f.evacuated, u.Zone):
		return ErrEvacuated
	default:
		return nil
	}
}

// CheckUsable tells whether an upstream that was granted may be sent to, by this instance's
// own list: the one that granted it may know less.
func (f *Fleet) CheckUsable(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[id]
	switch {
	case u == nil:
		return ErrNotListed
	case u.unusable == nil && f.backoffs.Check(time.Now(), id) != nil:
		return ErrBackingOff
	default:
		return u.unusable
	}
}

// listVersion returns the version of the list that upstreams are chosen from.
func (f *Fleet) listVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Grant is the right to send one request to an upstream. End is called once.
type Grant interface {
	// Upstream by its ID.
	Upstream() string
	// Owner is the instance that granted it, empty for this one.
	Owner() string
	// ListVersion is the version of the list by which it was granted.
	ListVersion() int64
	// Limited tells whether whoever granted it knew that the upstream has named a limit.
	Limited() bool
	// Predicted is the time in which the first token is expected.
	Predicted() time.Duration
	// FirstToken and Heard record that the first token, or anything else, has come.
	FirstToken()
	RecordActivity()
	// End gives the slot back and says how the request ended.
	End(e scheduler.Ending, output int)
}

// localGrant is granted by this instance.
type localGrant struct {
	shard       *shard
	grant       *scheduler.Grant
	listVersion int64
}

func (l *localGrant) Upstream() string                   { return l.grant.Upstream.ID }
func (l *localGrant) Owner() string                      { return "" }
func (l *localGrant) ListVersion() int64                 { return l.listVersion }
func (l *localGrant) Limited() bool                      { return l.grant.Limited }
func (l *localGrant) Predicted() time.Duration           { return l.grant.Predicted() }
func (l *localGrant) FirstToken()                        { l.shard.pool.FirstToken(l.grant) }
func (l *localGrant) RecordActivity()                    { l.grant.Upstream.Heard(time.Now()) }
func (l *localGrant) End(e scheduler.Ending, output int) { l.shard.pool.End(l.grant, e, output) }

// grantedSlot is a slot that a peer granted. *peer.Slot implements it.
type grantedSlot interface {
	Started()
	Release(r peer.SlotRelease)
	// Lost tells whether the peer no longer counts the slot.
	Lost() bool
}

// peerGrant is granted by the owner of a shard.
type peerGrant struct {
	owner     string
	slotGrant peer.SlotGrant
	slot      grantedSlot
	tracked   *peerGrants
}

func (l *peerGrant) Upstream() string         { return l.slotGrant.Upstream }
func (l *peerGrant) Owner() string            { return l.owner }
func (l *peerGrant) ListVersion() int64       { return l.slotGrant.ListVersion }
func (l *peerGrant) Limited() bool            { return l.slotGrant.Limited }
func (l *peerGrant) Predicted() time.Duration { return l.slotGrant.Predicted }
func (l *peerGrant) FirstToken()              { l.slot.Started() }
func (l *peerGrant) RecordActivity()          {} // the owner hears of first tokens and endings
func (l *peerGrant) End(e scheduler.Ending, output int) {
	l.tracked.remove(l)
	l.slot.Release(peer.SlotRelease{Ending: uint8(e), Output: output})
}

// peerGrants are those that owners granted to this instance. Safe for concurrent use.
type peerGrants struct {
	mu     sync.Mutex
	grants map[*peerGrant]struct{}
}

func (a *peerGrants) add(l *peerGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.grants == nil {
		a.grants = map[*peerGrant]struct{}{}
	}
	a.grants[l] = struct{}{}
}

func (a *peerGrants) remove(l *peerGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.grants, l)
}

// lost counts, by upstream, what runs here by grants that no owner counts any more: its
// link ended. Whoever owns the shard now learns of them from heartbeats.
func (a *peerGrants) lost() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]int{}
	for l := range a.grants {
		if l.slot.Lost() {
			out[l.Upstream()]++
		}
	}
	return out
}
