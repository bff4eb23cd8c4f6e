package proxy

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/routing"
)

// All organisations of a deployment may have the same rank, which takes precedence over the routes'
// ranks. The routes' ranks must still order their requests, or the largest requests are shed first.
func TestRouteRankOrdersRequestsOfOneOrganisationRank(t *testing.T) {
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
	is.True(rank(&first, 2) < rank(&second, 0)) // the organisation's rank takes precedence
	is.True(rank(nil, 0) < rank(nil, 1))
	is.Equal(rank(nil, 1), rank(&second, 1)) // without an organisation rank, the route's is used for both
	is.True(rank(&first, 99) < rank(&second, 0))
}
