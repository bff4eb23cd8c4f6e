package routing

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func document() *Document {
	route := func(name, host, prefix string, kind Kind) Route {
		return Route{Name: name, Host: host, Prefix: prefix, Kind: kind, Timeout: time.Second, MaxAttempts: 2, Split: []WeightedService{{Service: "desk", Weight: 1}}}
	}
	return &Document{
		Version:       4,
		Services:      []Service{{Name: "desk"}, {Name: "app"}},
		Routes:        []Route{route("short", "a.example", "/x/", Idempotent), route("long", "a.example", "/x/y/", Stream)},
		Organisations: []Organisation{{Name: "crews", Keys: []string{"k1", "k2"}}},
	}
}

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	table, err := Build(document())
	is.New(t).NoErr(err)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.Example:8080", "/x/z", "short"},
		{"a.example", "/x/", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/x/../x/y/z", "short"},
		{"a.example", "//x/y/z", ""},
		{"b.example", "/x/y/z", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			r := table.Match(c.host, c.path)
			if c.want == "" {
				is.True(r == nil) // no route
				return
			}
			is.True(r != nil)
			is.Equal(r.Name, c.want)
		})
	}
}

func TestOrganisationByKey(t *testing.T) {
	is := is.New(t)
	table, err := Build(document())
	is.NoErr(err)
	is.Equal(table.OrganisationByKey("k2").Name, "crews")
	is.True(table.OrganisationByKey("k3") == nil)
	is.True(table.OrganisationByKey("") == nil)
}

func TestChooseServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Split: []WeightedService{{"desk", 90}, {"app", 10}, {"idle", 0}}}
	is.Equal(r.ChooseService(0), "desk")
	is.Equal(r.ChooseService(0.89), "desk")
	is.Equal(r.ChooseService(0.91), "app")
	is.Equal(r.ChooseService(0.9999), "app")
}

func TestServicesOfARoute(t *testing.T) {
	is := is.New(t)
	split := &Route{Split: []WeightedService{{"desk", 90}, {"app", 10}, {"idle", 0}}}
	is.True(split.IsSplit())
	is.True(split.HasService("app"))
	is.True(!split.HasService("idle"))
	is.True(!(&Route{Split: []WeightedService{{"desk", 90}, {"idle", 0}}}).IsSplit())
}

func TestMayRetryByKind(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Idempotent}).MayRetry())
	is.True((&Route{Kind: Stream, Resumable: true}).MayRetry())
	is.True(!(&Route{Kind: Stream}).MayRetry())
	is.True(!(&Route{Kind: NonIdempotent, Resumable: true}).MayRetry())
}

func TestBuildRejectsInvalidDocumentAndNamesFault(t *testing.T) {
	for name, c := range map[string]struct {
		corrupt func(*Document)
		fault   string
	}{
		"prefix without slash": {func(d *Document) { d.Routes[0].Prefix = "x/" }, "must begin and end"},
		"unknown service":      {func(d *Document) { d.Routes[0].Split[0].Service = "gone" }, `"gone", which isn't declared`},
		"no service":           {func(d *Document) { d.Routes[0].Split = nil }, "no service with a weight above 0"},
		"weights of zero":      {func(d *Document) { d.Routes[0].Split[0].Weight = 0 }, "no service with a weight above 0"},
		"no timeout":           {func(d *Document) { d.Routes[0].Timeout = 0 }, "timeout above 0"},
		"no attempts":          {func(d *Document) { d.Routes[0].MaxAttempts = 0 }, "at least one attempt"},
		"unknown kind":         {func(d *Document) { d.Routes[0].Kind = 9 }, "unknown kind"},
		"duplicate service":    {func(d *Document) { d.Services = append(d.Services, Service{Name: "app"}) }, "declared twice"},
		"key of two organisations": {func(d *Document) {
			d.Organisations = append(d.Organisations, Organisation{Name: "o", Keys: []string{"k1"}})
		}, "hold the same key"},
		"negative quota":            {func(d *Document) { d.Organisations[0].TokensPerSecond = -1 }, "negative quota"},
		"negative limit":            {func(d *Document) { d.Limits.MaxBodyBytes = -1 }, "may not be negative"},
		"organisation without name": {func(d *Document) { d.Organisations[0].Name = "" }, "has no name"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := document()
			c.corrupt(d)
			_, err := Build(d)
			is.True(errors.Is(err, ErrInvalid))
			is.True(strings.Contains(err.Error(), c.fault)) // names the fault
		})
	}
}

// Where a route and an organisation both restrict regions, both restrictions apply.
func TestRegionConstraintOfCombinesRouteAndOrganisation(t *testing.T) {
	for name, c := range map[string]struct {
		route, organisation []string
		want                RegionConstraint
	}{
		"none":              {nil, nil, RegionConstraint{}},
		"route only":        {[]string{"a"}, nil, RegionConstraint{Restricted: true, Regions: []string{"a"}}},
		"organisation only": {nil, []string{"b"}, RegionConstraint{Restricted: true, Regions: []string{"b"}}},
		"both":              {[]string{"a", "b"}, []string{"b", "c"}, RegionConstraint{Restricted: true, Regions: []string{"b"}}},
		"both, disjoint":    {[]string{"a"}, []string{"b"}, RegionConstraint{Restricted: true, Regions: []string{}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(RegionConstraintOf(&Route{AllowedRegions: c.route}, &Organisation{AllowedRegions: c.organisation}), c.want)
		})
	}
	is.New(t).Equal(RegionConstraintOf(&Route{AllowedRegions: []string{"a"}}, nil), RegionConstraint{Restricted: true, Regions: []string{"a"}}) // public
}
