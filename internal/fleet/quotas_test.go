package fleet

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/quota"
	"github.com/tacktally/tacktally/internal/routing"
)

// Only a share of the allowance is granted; the rest is for startups and changes of the owner of a
// bucket.
func TestRaisedRateGrantsShareOfAllowance(t *testing.T) {
	allowed := Allowance{Share: 0.25, Tokens: 160_000, Window: 8 * time.Second}
	for name, c := range map[string]struct {
		allowed      Allowance
		organisation routing.Organisation
		rate         float64
	}{
		"tokens":         {allowed, routing.Organisation{TokensPerSecond: 40_000}, 50_500},
		"requests":       {allowed, routing.Organisation{TokensPerSecond: 40, CountsRequests: true}, 43.5},
		"none":           {Allowance{}, routing.Organisation{TokensPerSecond: 40_000}, 40_000},
		"a share alone":  {Allowance{Share: 0.5}, routing.Organisation{TokensPerSecond: 100}, 117.5},
		"without window": {Allowance{Tokens: 99}, routing.Organisation{TokensPerSecond: 100}, 100},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.allowed.raisedRate(&c.organisation), c.rate)
		})
	}
}

// During a network partition, while an organisation requested many times its quota, there were two owners
// of the whole bucket for as long as views differed, and what was left of the allowance wasn't enough.
func TestAllowanceCoversSecondOwnerDuringPartition(t *testing.T) {
	const viewsDiffer = 1200 * time.Millisecond
	is := is.New(t)
	allowed := Allowance{Share: 0.25, Window: 8 * time.Second}
	o := &routing.Organisation{TokensPerSecond: 100_000, BurstTokens: 100_000}
	limit := quota.Limit{Rate: allowed.raisedRate(o), Burst: o.BurstTokens}
	begin := time.Now()
	granted := 0
	take := func(owner *quota.Limiter, now time.Time) {
		for ok := true; ok; {
			if ok, _ = owner.Take(now, "crews", limit, 100); ok {
				granted += 100
			}
		}
	}
	first, second := quota.New(begin.Add(-time.Hour)), quota.New(begin)
	for at := time.Duration(0); at < allowed.Window; at += 10 * time.Millisecond {
		take(first, begin.Add(at)) // its bucket is full at the beginning
		if at < viewsDiffer {
			take(second, begin.Add(at))
		}
	}
	maxGranted := (o.TokensPerSecond*allowed.Window.Seconds() + o.BurstTokens) * (1 + allowed.Share)
	is.True(float64(granted) <= maxGranted)
	is.True(float64(granted) >= 0.95*maxGranted) // and not much more
}

// unreachable is a QuotaClient of a fleet of ten instances without links.
type unreachable struct{}

func (unreachable) TakeQuota(context.Context, string, *peer.QuotaRequest, time.Duration, func(*peer.QuotaReply)) (*peer.QuotaReply, error) {
	return nil, peer.ErrNoReply
}

func (unreachable) LeaseBuckets(context.Context, string, []int, time.Duration) ([]int, error) {
	return nil, peer.ErrNoReply
}

func (unreachable) ReturnQuota(string, *peer.QuotaReturn) {}

func (unreachable) FleetSize() int { return 10 }

// A third of a fleet was partitioned off, one instance after the other, while an organisation requested
// many times its quota. Until each had noticed, it granted as the owner of the whole quota would.
func TestInstancesWithoutReachableQuotaOwnerGrantTheirShares(t *testing.T) {
	is := is.New(t)
	o := &routing.Organisation{Name: "crews", TokensPerSecond: 100, BurstTokens: 10_000}
	all := instances(10)
	for i := range all {
		all[i].Settled = true
	}
	granted, owners := 0, 0
	for _, i := range all {
		f := fleetOf(i.Address, all)
		if slices.Contains(f.ownersOf(quotaKey(o.Name)), i.Address) {
			owners++ // the owner, or the one that is used if the owner does not reply
			continue
		}
		q := NewQuotas(time.Now().Add(-time.Hour), Allowance{}, f)
		q.SetClient(unreachable{})
		for range 2000 {
			if taken, _ := q.Take(t.Context(), "1", o, 1, 0); taken != nil {
				granted += taken.Count
			}
		}
	}
	is.Equal(owners, maxOwners)
	is.True(granted <= 100) // for the time that the test takes
}
