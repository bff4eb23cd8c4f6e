package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/peer"
)

// The owner of a group of buckets holds a lease of it from the standby, which it renews all the time. While it holds
// one it grants the whole quota, and the standby doesn't. Once it gets no reply, both know by their own clocks that
// the lease has ended, the owner first; then each grants half, since neither can know whether the other still runs.
// So the rates of the two add up to one at most, however long frames are on their way. A change of the owner is a
// change of who gets the lease: an instance leases a group only to the one that it considers the owner, and not before
// the lease of another has ended. The exception is the successor of an owner that is leaving, see leavingGrace.

const (
	// leaseLength is how long a lease lasts, for the owner from when it asked, for the standby from when it granted.
	leaseLength = 400 * time.Millisecond
	// LeaseInterval is how often owners renew their leases.
	LeaseInterval = 100 * time.Millisecond
	// leavingGrace is how long the successor of an owner that is leaving needs no lease: until the others have
	// heard of that, too. The owner itself stops when it next refreshes its view, up to 0.2 s later.
	leavingGrace = time.Second
)

// bucketLeases are the leases of the groups of buckets that this instance holds, and those that it has granted. It
// is safe for concurrent use.
type bucketLeases struct {
	mu      sync.Mutex
	held    [quotaGroups]heldLease
	granted [quotaGroups]grantedLease
}

// heldLease is the lease of a group that this instance owns.
type heldLease struct {
	standby string // that granted it
	until   time.Time
	refused bool      // by the last reply
	sent    time.Time // when the request was sent that the last reply is to
}

// grantedLease is the lease of a group that another instance owns.
type grantedLease struct {
	owner string
	until time.Time
}

// renewed records the reply of a standby to a request that was sent at a time, unless one to a later request is known.
func (l *bucketLeases) renewed(group int, standby string, sent time.Time, granted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &l.held[group]
	if sent.Before(h.sent) {
		return
	}
	if h.standby != standby {
		*h = heldLease{standby: standby}
	}
	h.refused, h.sent = !granted, sent
	switch until := sent.Add(leaseLength); {
	case !granted:
		h.until = time.Time{}
	case until.After(h.until):
		h.until = until
	}
}

// grant leases a group to its owner unless another instance holds the lease.
func (l *bucketLeases) grant(now time.Time, group int, owner string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := &l.granted[group]
	if g.owner != owner && now.Before(g.until) {
		return false
	}
	*g = grantedLease{owner: owner, until: now.Add(leaseLength)}
	return true
}

// of returns the lease of a group that this instance holds, and the one that it has granted.
func (l *bucketLeases) of(group int) (heldLease, grantedLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held[group], l.granted[group]
}

// ownerShare returns the share of a group's buckets that its owner may grant at a time, and since when.
func ownerShare(now time.Time, held groupOwner, lease heldLease, granted grantedLease) (share float64, since time.Time) {
	leased := lease.standby == held.standby && now.Before(lease.until)
	switch {
	case held.standby == "" || leased:
		return 1, now
	case held.afterLeaving && now.Sub(held.ownerSince) < leavingGrace:
		return 1, now
	case now.Before(granted.until) || (lease.standby == held.standby && lease.refused):
		return 0, now // another instance is the owner, by what the standby or this instance knows
	case now.Sub(held.ownerSince) < leaseLength:
		return 0, now
	default:
		since = later(held.ownerSince.Add(leaseLength), granted.until)
		if lease.standby == held.standby {
			since = later(since, lease.until)
		}
		return 0.5, since
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// actsSince returns since when the standby of a group acts beside an owner that it doesn't hear from, or will do so
// unless it hears from it.
func actsSince(held groupOwner, granted grantedLease) time.Time {
	return later(held.standbySince.Add(leaseLength), granted.until)
}

// RenewLeases requests leases of the groups of buckets that this instance owns. It doesn't block. It is called every
// LeaseInterval.
func (q *Quotas) RenewLeases(ctx context.Context) {
	if q.peers == nil {
		return
	}
	for standby, groups := range q.ownedByStandby() {
		go q.renewLeases(ctx, standby, groups)
	}
}

// ownedByStandby returns the groups that this instance owns, by their standby.
func (q *Quotas) ownedByStandby() map[string][]int {
	out := map[string][]int{}
	for group := range quotaGroups {
		if held, role := q.fleet.bucketRole(group); role == roleOwner && held.standby != "" {
			out[held.standby] = append(out[held.standby], group)
		}
	}
	return out
}

// renewLeases requests leases of groups from a standby and blocks until it has replied, at most for leaseLength.
func (q *Quotas) renewLeases(ctx context.Context, standby string, groups []int) {
	sent := time.Now()
	granted, err := q.peers.LeaseBuckets(ctx, standby, groups, leaseLength)
	if errors.Is(err, peer.ErrNoLeases) {
		granted, err = groups, nil
	}
	if err != nil {
		return // the lease ends unless a later request is granted
	}
	for _, group := range groups {
		q.applyOwnerShare(group) // what it was until now
		q.leases.renewed(group, standby, sent, slices.Contains(granted, group))
		q.applyOwnerShare(group)
	}
}

// applyOwnerShare passes the share that this instance may grant at present to the buckets that it owns, and returns
// it with these.
func (q *Quotas) applyOwnerShare(group int) (share float64, held groupOwner) {
	now := time.Now()
	held, role := q.fleet.bucketRole(group)
	if role != roleOwner {
		return 0, held
	}
	lease, granted := q.leases.of(group)
	share, since := ownerShare(now, held, lease, granted)
	if q.peers == nil || !q.fleet.hasPeers.Load() {
		share, since = 1, now
	}
	if q.ownedBuckets(group, held).SetShare(since, share) {
		q.fleet.o.Log.Info().Str("event", "buckets_share").Int("group", group).Float64("share", share).Str("standby", held.standby).
			Bool("refused", lease.refused).Dur("owned_for", now.Sub(held.ownerSince)).Bool("after_leaving", held.afterLeaving).Msg("")
	}
	return share, held
}

// ServeLeases returns those of the groups that are leased to a peer: this instance considers it the owner, and no
// lease of another is in force.
func (q *Quotas) ServeLeases(from string, groups []int) (granted []int) {
	for _, group := range groups {
		if group < 0 || group >= quotaGroups {
			continue
		}
		held, role := q.fleet.bucketRole(group)
		if role != roleOwner && held.owner == from && q.leases.grant(time.Now(), group, from) {
			granted = append(granted, group)
		}
	}
	return granted
}
