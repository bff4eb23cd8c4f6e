// Package routing holds the routed configuration in force: which requests go to
// which service, whose API keys are valid, and what each organisation may use.
//
// A Table is built once from a Document, checked as a whole, and never changed
// afterwards, so that a request sees one version of everything. Safe for
// concurrent use.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Kind tells what may be repeated of a route's requests.
type Kind uint8

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by events. They run at most once, unless the
	// route is resumable.
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
	// Resumable streams may be gone on with by another upstream.
	Resumable bool
	// Timeout bounds the whole answer.
	Timeout time.Duration
	// LatencyObjective is the latency objective of the answer, of a stream's first event.
	LatencyObjective time.Duration
	// MaxEventInterval is the longest pause between two events that is still in time; 0
	// where the route has none.
	MaxEventInterval time.Duration
	// Rank of its requests; 0 is the most important.
	Rank int
	// MaxAttempts is how many upstreams one request may be sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Services of its requests over services, by weight.
	Services []WeightedService
	// AllowedRegions are the regions in which its requests may run; none allows all.
	AllowedRegions []string
}

// MayRetry tells whether a request that may have run may be sent again.
func (r *Route) MayRetry() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// RegionConstraint is where requests of an organisation on a route may run: both bind where both have homes.
type RegionConstraint struct {
	// Bound tells whether Regions alone may run them; else all may.
	Bound   bool
	Regions []string
}

// RegionConstraintOf returns where requests of an organisation on a route may run; the organisation may be nil.
func RegionConstraintOf(r *Route, o *Organisation) RegionConstraint {
	regions := r.AllowedRegions
	switch {
	case o == nil || len(o.AllowedRegions) == 0:
	case len(regions) == 0:
		regions = o.AllowedRegions
	default:
		regions = slices.DeleteFunc(slices.Clone(regions), func(home string) bool { return !slices.Contains(o.AllowedRegions, home) })
		return RegionConstraint{Bound: true, Regions: regions}
	}
	return RegionConstraint{Bound: len(regions) > 0, Regions: regions}
}

// WeightedService is a part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Organisation sends requests under its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Rank, where set, goes before the route's.
	Rank *int
	// TokensPerSecond over all instances; 0 is no limit.
	TokensPerSecond float64
	// BurstTokens may be used beyond it at once.
	BurstTokens float64
	// DefaultTokens is what a request counts that doesn't say its size.
	DefaultTokens int
	// CountsRequests limits requests instead of tokens: each counts one.
	CountsRequests bool
	// AllowedRegions are the regions in which its requests may run; none allows all.
	AllowedRegions []string
}

// Service is a set of upstreams that requests are sent to.
type Service struct {
	Name string
	// TokensPerEvent is how many tokens one event of an engine's stream holds; 0 where
	// events don't tell.
	TokensPerEvent int
	// ColdStart is how long an upstream is cold after its start; 0 where it never is.
	ColdStart time.Duration
	// ColdStartRate is how many requests a second a cold one bears; it crashes well beyond.
	ColdStartRate float64
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes of a request; 0 where none is set.
	MaxBodyBytes int64
}

// Document is the configuration as published, decoded and not yet checked.
type Document struct {
	// Version that operators gave it; higher is newer.
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

// Services returns all services by their names. They are not to be changed.
func (t *Table) Services() map[string]*Service { return t.services }

// Routes returns how many routes there are.
func (t *Table) Routes() int { return t.routes }

// ChooseService returns the service of a request. Draw is uniform in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Services {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
