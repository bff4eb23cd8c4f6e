package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/routing"
)

// Every organisation of a deployment may have the same rank, which goes before the
// routes'. The routes' must still tell their requests apart, or the largest are shed
// first.
func TestRoutesTellRequestsOfOneOrganisationRankApart(t *testing.T) {
	is := is.New(t)
	rank := func(organisation *int, route int) int {
		j := job{route: &routing.Route{Rank: route}}
		if organisation != nil {
			j.organisation = &routing.Organisation{Rank: organisation}
		}
		return j.rank()
	}
	first, second := 0, 1
	is.True(rank(&second, 0) < rank(&second, 1))
	is.True(rank(&first, 2) < rank(&second, 0)) // the organisation's goes first
	is.True(rank(nil, 0) < rank(nil, 1))
	is.Equal(rank(nil, 1), rank(&second, 1)) // without one of its own, the route's stands for it
	is.True(rank(&first, 99) < rank(&second, 0))
}

// What an organisation may use beyond its quota is granted in part; the rest is for starts
// and changes of who keeps its bucket.
func TestHowMuchOfTheAllowanceIsGranted(t *testing.T) {
	allowed := QuotaAllowance{Share: 0.25, Tokens: 160_000, Window: 8 * time.Second}
	for name, c := range map[string]struct {
		allowed      QuotaAllowance
		organisation routing.Organisation
		rate         float64
	}{
		"tokens":         {allowed, routing.Organisation{TokensPerSecond: 40_000}, 55_000},
		"requests":       {allowed, routing.Organisation{TokensPerSecond: 40, CountsRequests: true}, 45},
		"none":           {QuotaAllowance{}, routing.Organisation{TokensPerSecond: 40_000}, 40_000},
		"a share alone":  {QuotaAllowance{Share: 0.5}, routing.Organisation{TokensPerSecond: 100}, 125},
		"without window": {QuotaAllowance{Tokens: 99}, routing.Organisation{TokensPerSecond: 100}, 100},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.allowed.raise(&c.organisation), c.rate)
		})
	}
}
