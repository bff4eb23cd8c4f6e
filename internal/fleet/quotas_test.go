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

// What an organisation may use beyond its quota is granted in part; the rest is for starts
// and changes of who keeps its bucket.
func TestHowMuchOfTheAllowanceIsGranted(t *testing.T) {
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

// A part of a fleet was cut off beside an organisation that asked for many times its quota: for as long as views of the
// cut differed, there were two keepers of the whole quota, and all that its allowance left wasn't enough.
func TestAnAllowanceHasRoomForASecondKeeper(t *testing.T) {
	const viewsDiffer = 1200 * time.Millisecond
	is := is.New(t)
	allowed := Allowance{Share: 0.25, Window: 8 * time.Second}
	o := &routing.Organisation{TokensPerSecond: 100_000, BurstTokens: 100_000}
	limit := quota.Limit{Rate: allowed.raisedRate(o), Burst: o.BurstTokens}
	begin := time.Now()
	granted := 0
	take := func(keeper *quota.Limiter, now time.Time) {
		for ok := true; ok; {
			if ok, _ = keeper.Take(now, "crews", limit, 100); ok {
				granted += 100
			}
		}
	}
	first, second := quota.New(), quota.New()
	take(first, begin.Add(-time.Hour))
	granted = 0
	for at := time.Duration(0); at < allowed.Window; at += 10 * time.Millisecond {
		take(first, begin.Add(at)) // its bucket is full at the begin
		if at < viewsDiffer {
			take(second, begin.Add(at))
		}
	}
	most := (o.TokensPerSecond*allowed.Window.Seconds() + o.BurstTokens) * (1 + allowed.Share)
	is.True(float64(granted) <= most)
	is.True(float64(granted) >= 0.95*most) // and not much more
}

// unreachable is a mesh of ten instances without links.
type unreachable struct{}

func (unreachable) TakeQuota(context.Context, string, *peer.QuotaRequest, time.Duration) (*peer.QuotaReply, error) {
	return nil, peer.ErrNoReply
}

func (unreachable) ReturnQuota(string, *peer.QuotaReturn) {}

func (unreachable) FleetSize() int { return 10 }

// A third of a fleet was cut off, one by one, beside an organisation that asked for many times its quota. Until each
// had noticed, it granted as the keeper of the whole quota would.
func TestInstancesThatReachNoKeeperOfAQuotaGrantTheirShares(t *testing.T) {
	is := is.New(t)
	o := &routing.Organisation{Name: "crews", TokensPerSecond: 100, BurstTokens: 10_000}
	all := instances(10)
	for i := range all {
		all[i].Settled = true
	}
	granted, keepers := 0, 0
	for _, i := range all {
		f := fleetOf(i.Address, all)
		if slices.Contains(f.ownersOf(quotaKey(o.Name)), i.Address) {
			keepers++ // or whoever is asked where the keeper is silent
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
	is.Equal(keepers, maxOwners)
	is.True(granted <= 1600) // 0.15 of the burst for a keeper, and some for the time that this takes
}
