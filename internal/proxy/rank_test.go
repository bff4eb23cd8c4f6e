package proxy

import (
	"testing"

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
