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
	// ErrNotLimited: whoever granted it didn't know that it has named a limit.
	ErrNotLimited = fmt.Errorf("%w: it has named a limit that the grant doesn't go by", ErrNotUsable)
	// ErrEvacuated: operators have its availability zone emptied.
	ErrEvacuated = fmt.Errorf("%w: its availability zone is evacuated", ErrNotUsable)
)

// whyUnusable tells why an upstream of the list gets nothing new, nil where it does. The caller
// holds the lock.
func (f *Fleet) whyUnusable(u view.Upstream) error {
	_, said := f.saidLeaving[processName(u.ID, u.Born)]
	switch {
	case u.Leaving, said:
		return ErrLeaving
	case slices.Contains(f.evacuated, u.Zone):
		return ErrEvacuated
	default:
		return nil
	}
}

// MayBeSent tells whether an upstream that was granted may be sent to, by this instance's
// own list: the one that granted it may know less.
func (f *Fleet) MayBeSent(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[id]
	switch {
	case u == nil:
		return ErrNotListed
	case u.unusable == nil && f.rests.May(time.Now(), id) != nil:
		return ErrResting
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

// Lease is the right to send one request to an upstream. End is called once.
type Lease interface {
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
	Heard()
	// End gives the slot back and says how the request ended.
	End(e scheduler.Ending, output int)
}

// ownLease is granted by this instance.
type ownLease struct {
	shard       *shard
	grant       *scheduler.Grant
	listVersion int64
}

func (l *ownLease) Upstream() string                   { return l.grant.Upstream.ID }
func (l *ownLease) Owner() string                      { return "" }
func (l *ownLease) ListVersion() int64                 { return l.listVersion }
func (l *ownLease) Limited() bool                      { return l.grant.Limited }
func (l *ownLease) Predicted() time.Duration           { return l.grant.Predicted() }
func (l *ownLease) FirstToken()                        { l.shard.pool.FirstToken(l.grant) }
func (l *ownLease) Heard()                             { l.grant.Upstream.Heard(time.Now()) }
func (l *ownLease) End(e scheduler.Ending, output int) { l.shard.pool.End(l.grant, e, output) }

// heldSlot is a slot that a peer granted. *peer.Slot implements it.
type heldSlot interface {
	Started()
	Release(r peer.SlotRelease)
	// Lost tells whether the peer no longer counts the slot.
	Lost() bool
}

// peerLease is granted by the owner of a shard.
type peerLease struct {
	owner string
	grant peer.SlotGrant
	slot  heldSlot
	all   *leases
}

func (l *peerLease) Upstream() string         { return l.grant.Upstream }
func (l *peerLease) Owner() string            { return l.owner }
func (l *peerLease) ListVersion() int64       { return l.grant.ListVersion }
func (l *peerLease) Limited() bool            { return l.grant.Limited }
func (l *peerLease) Predicted() time.Duration { return l.grant.PredictedFirstToken }
func (l *peerLease) FirstToken()              { l.slot.Started() }
func (l *peerLease) Heard()                   {} // the owner hears of first tokens and endings
func (l *peerLease) End(e scheduler.Ending, output int) {
	l.all.remove(l)
	l.slot.Release(peer.SlotRelease{Result: uint8(e), Output: output})
}

// leases are those that owners granted to this instance. Safe for concurrent use.
type leases struct {
	mu   sync.Mutex
	held map[*peerLease]struct{}
}

func (a *leases) add(l *peerLease) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held == nil {
		a.held = map[*peerLease]struct{}{}
	}
	a.held[l] = struct{}{}
}

func (a *leases) remove(l *peerLease) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.held, l)
}

// lost counts, by upstream, what runs here by grants that no owner counts any more: its
// link ended. Whoever owns the shard now learns of them from heartbeats.
func (a *leases) lost() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]int{}
	for l := range a.held {
		if l.slot.Lost() {
			out[l.Upstream()]++
		}
	}
	return out
}
