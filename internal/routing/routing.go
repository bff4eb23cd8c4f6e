// Package routing holds the routed configuration in force: which requests go to
// which service, which organisation an API key belongs to, and what each
// organisation may use.
//
// A Table is built from a Document, which is checked as a whole, and never changes
// afterwards, so that a request uses one version of everything. It is safe for
// concurrent use.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Kind determines which requests of a route may be retried.
type Kind uint8

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests get their response as events. They run at most once, unless
	// the route is resumable.
	Stream
)

// String returns the kind as logs show it.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name string
	// Host as callers name it, without a port, in lower case.
	Host string
	// Prefix of the path; begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may be resumed by another upstream.
	Resumable bool
	// Timeout bounds the whole response.
	Timeout time.Duration
	// LatencyObjective is the time in which the response should be complete, or the
	// first event of a stream should arrive.
	LatencyObjective time.Duration
	// MaxEventInterval is the longest time between two events of a stream that
	// meets the objective; 0 where the route has none.
	MaxEventInterval time.Duration
	// Rank of its requests; 0 is the most important.
	Rank int
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Split of its requests over services, by weight.
	Split []WeightedService
	// AllowedRegions are the regions in which its requests may run; none allows all.
	AllowedRegions []string
}

// MayRetry reports whether a request that may have run may be sent again.
func (r *Route) MayRetry() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// RegionConstraint is the set of regions in which a request may run.
type RegionConstraint struct {
	// Restricted reports whether the request is restricted to Regions; otherwise it may
	// run in any region.
	Restricted bool
	Regions    []string
}

// RegionConstraintOf returns where requests of an organisation on a route may run:
// in the regions that both allow. The organisation may be nil.
func RegionConstraintOf(r *Route, o *Organisation) RegionConstraint {
	regions := r.AllowedRegions
	switch {
	case o == nil || len(o.AllowedRegions) == 0:
	case len(regions) == 0:
		regions = o.AllowedRegions
	default:
		regions = slices.DeleteFunc(slices.Clone(regions), func(region string) bool { return !slices.Contains(o.AllowedRegions, region) })
		return RegionConstraint{Restricted: true, Regions: regions}
	}
	return RegionConstraint{Restricted: len(regions) > 0, Regions: regions}
}

// WeightedService is a service that gets a share of a route's requests, in
// proportion to its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Organisation sends requests under its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Rank, where set, takes precedence over the route's.
	Rank *int
	// TokensPerSecond over all instances; 0 is no limit.
	TokensPerSecond float64
	// BurstTokens may be used at once in addition.
	BurstTokens float64
	// DefaultTokens is the size assumed for a request that doesn't state one.
	DefaultTokens int
	// CountsRequests limits requests instead of tokens: each request counts as one.
	CountsRequests bool
	// AllowedRegions are the regions in which its requests may run; none allows all.
	AllowedRegions []string
}

// Service is a set of upstreams that requests are sent to.
type Service struct {
	Name string
	// TokensPerEvent is the number of tokens in one event of an engine's stream; 0
	// where events don't state it.
	TokensPerEvent int
	// ColdStart is how long an upstream is cold after its start; 0 where it never is.
	ColdStart time.Duration
	// ColdStartRate is the number of requests per second that a cold upstream can
	// serve; it crashes at rates well above that.
	ColdStartRate float64
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes of a request; 0 where none is set.
	MaxBodyBytes int64
}

// Document is the configuration as published, decoded and not yet checked.
type Document struct {
	// Version set by operators; higher is newer.
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Table is a checked Document, indexed.
type Table struct {
	Version  int64
	Limits   Limits
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	byKey    map[string]*Organisation
	routes   int
}

// Match returns the route of a request, the one with the longest prefix, or nil.
// Path is as the caller wrote it, without the query.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[NormaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Prefix identifies a route.
type Prefix struct{ Host, Path string }

// ByPrefix returns all routes that requests may match.
func (t *Table) ByPrefix() map[Prefix]*Route {
	out := make(map[Prefix]*Route, t.routes)
	for host, routes := range t.byHost {
		for _, r := range routes {
			if p := (Prefix{host, r.Prefix}); out[p] == nil { // of two alike, the first one matches
				out[p] = r
			}
		}
	}
	return out
}

// NormaliseHost returns a host as routes name it: without a port, in lower case.
func NormaliseHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// OrganisationByKey returns the organisation that an API key belongs to, or nil.
func (t *Table) OrganisationByKey(key string) *Organisation { return t.byKey[key] }

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name. The caller must not modify the map.
func (t *Table) Services() map[string]*Service { return t.services }

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// HasService reports whether requests may go to a service.
func (r *Route) HasService(name string) bool {
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == name && s.Weight > 0 })
}

// IsSplit reports whether requests go to several services.
func (r *Route) IsSplit() bool {
	services := 0
	for _, s := range r.Split {
		if s.Weight > 0 {
			services++
		}
	}
	return services > 1
}

// ChooseService returns the service for a request, by weight. Draw is a random
// number that is uniform in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Split {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
