package scheduler

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
)

// A restricted request runs only in its regions, even if others have capacity. A request whose
// regions have no upstream is refused.
func TestRegionConstraintIsEnforced(t *testing.T) {
	for name, c := range map[string]struct {
		allowed RegionConstraint
		exclude string
		want    string
	}{
		"restricted to one region":                 {RegionConstraint{Restricted: true, Regions: []string{"addis"}}, "", "a"},
		"restricted to both":                       {RegionConstraint{Restricted: true, Regions: []string{"addis", "colombo"}}, "a", "b"},
		"no region allowed":                        {RegionConstraint{Restricted: true}, "", ""},
		"unrestricted":                             {RegionConstraint{}, "a", "b"},
		"only the upstream that failed is allowed": {RegionConstraint{Restricted: true, Regions: []string{"addis"}}, "a", "a"},
		"only a region without upstreams":          {RegionConstraint{Restricted: true, Regions: []string{"prairie"}}, "", ""},
		"the upstream that failed is not allowed":  {RegionConstraint{Restricted: true, Regions: []string{"addis"}}, "b", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := newCore(100)
			core.SetMembers([]Member{{Address: "a", Region: "addis", Slots: 4}, {Address: "b", Region: "colombo", Slots: 4}})
			for range 3 {
				r := newRequest(0, 9)
				r.RegionConstraint, r.FailedUpstream = c.allowed, c.exclude
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
