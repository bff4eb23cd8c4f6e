package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// The owner and the standby of a group of buckets grant no more than the whole together, whatever each of them has
// heard from the other.
func TestOwnerShareFollowsTheLease(t *testing.T) {
	now := time.Now()
	after := func(d time.Duration) time.Time { return now.Add(d) }
	owned := groupOwner{owner: "a", standby: "b", ownerSince: after(-time.Hour)}
	for name, c := range map[string]struct {
		held    groupOwner
		lease   heldLease
		granted grantedLease
		share   float64
		since   time.Time
	}{
		"leased":                        {owned, heldLease{standby: "b", until: after(1)}, grantedLease{}, 1, now},
		"lease has ended":               {owned, heldLease{standby: "b", until: after(-9)}, grantedLease{}, 0.5, after(-9)},
		"leased by the standby before":  {owned, heldLease{standby: "c", until: after(1)}, grantedLease{}, 0.5, after(leaseLength - time.Hour)},
		"refused":                       {owned, heldLease{standby: "b", refused: true}, grantedLease{}, 0, now},
		"another holds a lease":         {owned, heldLease{}, grantedLease{owner: "c", until: after(1)}, 0, now},
		"another held a lease":          {owned, heldLease{}, grantedLease{owner: "c", until: after(-5)}, 0.5, after(-5)},
		"no standby":                    {groupOwner{owner: "a", ownerSince: now}, heldLease{}, grantedLease{}, 1, now},
		"new owner":                     {groupOwner{owner: "a", standby: "b", ownerSince: now}, heldLease{}, grantedLease{}, 0, now},
		"successor of one that leaves":  {groupOwner{owner: "a", standby: "b", ownerSince: now, afterLeaving: true}, heldLease{}, grantedLease{owner: "c", until: after(1)}, 1, now},
		"successor, some time after it": {groupOwner{owner: "a", standby: "b", ownerSince: after(-leavingGrace), afterLeaving: true}, heldLease{}, grantedLease{}, 0.5, after(leaseLength - leavingGrace)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			share, since := ownerShare(now, c.held, c.lease, c.granted)
			is.Equal(share, c.share)
			is.Equal(since, c.since)
		})
	}
}

// Guards against an owner that grants nothing, or half, since an older reply to it came after a newer one.
func TestOlderReplyChangesNoLease(t *testing.T) {
	now := time.Now()
	sent := now.Add(-2 * LeaseInterval)
	newer := sent.Add(LeaseInterval)
	for name, c := range map[string]struct {
		older, newer bool   // whether the lease was granted
		olderFrom    string // the standby
		until        time.Time
		refused      bool
	}{
		"an older refusal":                {older: false, newer: true, olderFrom: "b", until: newer.Add(leaseLength)},
		"an older grant":                  {older: true, newer: false, olderFrom: "b", refused: true},
		"both granted":                    {older: true, newer: true, olderFrom: "b", until: newer.Add(leaseLength)},
		"a grant of the standby before":   {older: true, newer: true, olderFrom: "c", until: newer.Add(leaseLength)},
		"a refusal of the standby before": {older: false, newer: true, olderFrom: "c", until: newer.Add(leaseLength)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l bucketLeases
			l.renewed(3, "b", newer, c.newer)
			l.renewed(3, c.olderFrom, sent, c.older)
			held, _ := l.of(3)
			is.Equal(held.standby, "b")
			is.Equal(held.until, c.until)
			is.Equal(held.refused, c.refused)
		})
	}
}

// An instance leases a group to the one that it considers the owner, and to no other while that lease lasts.
func TestLeaseIsGrantedToOneInstanceAtATime(t *testing.T) {
	is := is.New(t)
	var l bucketLeases
	now := time.Now()
	is.True(l.grant(now, 3, "a"))
	is.True(l.grant(now.Add(leaseLength/2), 3, "a")) // renewed
	is.True(!l.grant(now.Add(leaseLength), 3, "b"))
	is.True(l.grant(now.Add(leaseLength), 4, "b"))
	is.True(l.grant(now.Add(leaseLength*3/2), 3, "b"))

	all := instances(5)
	for i := range all {
		all[i].Settled = true
	}
	owner, standby := ownerAndStandby(bucketsKey(0), all)
	q := NewQuotas(now, Allowance{}, fleetOf(standby, all))
	is.Equal(q.ServeLeases(owner, []int{0, -1, quotaGroups}), []int{0})
	is.Equal(len(q.ServeLeases("10.0.0.99:1", []int{0})), 0) // not the owner, as far as this instance knows
	is.Equal(len(NewQuotas(now, Allowance{}, fleetOf(owner, all)).ServeLeases(standby, []int{0})), 0)
}

// earlierVersion is a QuotaClient whose peers know no leases.
type earlierVersion struct{ unreachable }

func (earlierVersion) LeaseBuckets(context.Context, string, []int, time.Duration) ([]int, error) {
	return nil, peer.ErrNoLeases
}

// While a fleet is upgraded, an owner whose standby is of an earlier version grants the whole quota.
func TestOwnerNeedsNoLeaseFromAnEarlierVersion(t *testing.T) {
	is := is.New(t)
	all := instances(5)
	for i := range all {
		all[i].Settled = true
	}
	owner, standby := ownerAndStandby(bucketsKey(0), all)
	q := NewQuotas(time.Now(), Allowance{}, fleetOf(owner, all))
	q.SetClient(earlierVersion{})
	share, _ := q.applyOwnerShare(0)
	is.Equal(share, 0.0)
	q.renewLeases(t.Context(), standby, []int{0})
	share, _ = q.applyOwnerShare(0)
	is.Equal(share, 1.0)
}

// A process that was stopped must not go on granting what it held before: another has granted meanwhile.
func TestBucketsBeginAnewAfterAPause(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newSilenceHarness(1, 2)
		owner := h.first(quotaKey(silentOrganisation.Name), 1)[0]
		take := func() bool {
			taken, _ := owner.quotas.Take(t.Context(), "1", silentOrganisation, 1, 0)
			return taken != nil
		}
		run := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); <-time.After(LeaseInterval) {
				for _, m := range h.members {
					m.tick(time.Now())
					m.renewLeases(t.Context())
				}
				synctest.Wait()
			}
		}
		run(10 * time.Second)
		is.True(take())
		<-time.After(pausedAfter)
		is.True(!take()) // 1.5 s later its bucket would be full
		run(time.Second)
		is.True(take())
	})
}
