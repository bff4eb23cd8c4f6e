package scheduler

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
)

// A request that is bound to regions runs in these alone, though others have room; one that is bound to
// none that is left runs nowhere.
func TestARequestRunsInItsHomes(t *testing.T) {
	for name, c := range map[string]struct {
		homes   RegionConstraint
		exclude string
		want    string
	}{
		"bound to one":                        {RegionConstraint{Bound: true, Regions: []string{"addis"}}, "", "a"},
		"bound to both":                       {RegionConstraint{Bound: true, Regions: []string{"addis", "colombo"}}, "a", "b"},
		"bound to none":                       {RegionConstraint{Bound: true}, "", ""},
		"not bound":                           {RegionConstraint{}, "a", "b"},
		"where it failed there is no other":   {RegionConstraint{Bound: true, Regions: []string{"addis"}}, "a", "a"},
		"a zone whose region isn't known":     {RegionConstraint{Bound: true, Regions: []string{"prairie"}}, "", ""},
		"the other has failed it, and is out": {RegionConstraint{Bound: true, Regions: []string{"addis"}}, "b", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := newCore(100)
			core.SetMembers([]Member{{Address: "a", Region: "addis", Slots: 4}, {Address: "b", Region: "colombo", Slots: 4}})
			for range 3 {
				r := ask(0, 9)
				r.RegionConstraint, r.FailedUpstream = c.homes, c.exclude
				d := core.Submit(start, r)
				if c.want == "" {
					is.Equal(d.Sheds[0].Problem.Reason, api.ReasonNoUpstream)
					continue
				}
				is.Equal(d.Grants[0].Upstream.ID, c.want)
			}
		})
	}
}
