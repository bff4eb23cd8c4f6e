package view

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tacktally/tacktally/internal/routing"
)

const (
	// routeMemory is how long it is remembered where a route led before it changed.
	routeMemory = 2 * time.Hour
	// maxFormerRoutes bounds the former services of routes, at most some MB. With more, all are forgotten.
	maxFormerRoutes = 1 << 13
	// minAddedHistory is by how much longer the history of a peer must be to be used.
	minAddedHistory = 2 * time.Second
)

// FormerRoute is a service to which requests of a host below a path prefix were sent until their route changed.
type FormerRoute struct {
	Host    string `cbor:"1,keyasint"`
	Prefix  string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	// Ended is how long ago the route changed.
	Ended time.Duration `cbor:"4,keyasint,omitempty"`
}

// RouteHistory says where the routes of a configuration led before, as far back as the sender, or peers before it, have
// followed the configuration.
type RouteHistory struct {
	// Revision of the configuration in force.
	Revision int64         `cbor:"1,keyasint"`
	Followed time.Duration `cbor:"2,keyasint"`
	Former   []FormerRoute `cbor:"3,keyasint,omitempty"`
}

// IsValid reports whether the durations are within their bounds. No history is valid.
func (h *RouteHistory) IsValid() bool {
	if h == nil {
		return true
	}
	valid := func(d time.Duration) bool { return d >= 0 && d <= routeMemory }
	return valid(h.Followed) && !slices.ContainsFunc(h.Former, func(r FormerRoute) bool { return !valid(r.Ended) })
}

// formerRoute identifies a FormerRoute.
type formerRoute struct {
	prefix  routing.Prefix
	service string
}

// routeHistory is where routes led before. The View's lock protects it.
type routeHistory struct {
	since  time.Time                 // since when changes are known, zero before the first configuration
	former map[formerRoute]time.Time // when the route changed
}

// replace records the changes from one table to the next. Old is nil for the first one.
func (h *routeHistory) replace(now time.Time, old, next *routing.Table) {
	if old == nil {
		h.since = now
		return
	}
	before, after := old.ByPrefix(), next.ByPrefix()
	for p, r := range before {
		if same := after[p]; same == nil || !slices.Equal(same.Split, r.Split) {
			h.record(now, p, r)
		}
	}
	for p := range after {
		if covered := old.Match(p.Host, p.Path); before[p] == nil && covered != nil {
			h.record(now, p, covered)
		}
	}
	maps.DeleteFunc(h.former, func(_ formerRoute, ended time.Time) bool { return now.Sub(ended) > routeMemory })
	if len(h.former) >= maxFormerRoutes {
		h.since, h.former = now, nil
	}
}

// record records that requests below a prefix were sent by a route until now.
func (h *routeHistory) record(now time.Time, p routing.Prefix, r *routing.Route) {
	if h.former == nil {
		h.former = map[formerRoute]time.Time{}
	}
	for _, s := range r.Split {
		if s.Weight > 0 {
			h.former[formerRoute{p, s.Service}] = now
		}
	}
}

// followed returns for how long changes are known, routeMemory at most.
func (h *routeHistory) followed(now time.Time) time.Duration {
	if h.since.IsZero() {
		return 0
	}
	return min(now.Sub(h.since), routeMemory)
}

// RoutesFollowed returns for how long this instance, or peers before it, have followed where routes lead; two hours at
// most.
func (v *View) RoutesFollowed() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routes.followed(v.o.Now())
}

// WasRoutedTo reports whether all requests of a host and a path that arrived within a duration were sent to a service, or
// to those of a split that hasn't changed since; false if it isn't known. An instance that is sent one
// configuration after the next may miss one that was in force between them.
func (v *View) WasRoutedTo(host, path, service string, within time.Duration) bool {
	host = routing.NormaliseHost(host)
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.o.Now()
	if v.routes.followed(now) < within {
		return false
	}
	for r, ended := range v.routes.former {
		if r.service != service && r.prefix.Host == host && strings.HasPrefix(path, r.prefix.Path) && now.Sub(ended) < within {
			return false
		}
	}
	return true
}

// RouteHistory returns where routes led before.
func (v *View) RouteHistory() *RouteHistory {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.o.Now()
	h := &RouteHistory{Revision: v.configuration.Revision, Followed: v.routes.followed(now)}
	for r, ended := range v.routes.former {
		if now.Sub(ended) <= routeMemory {
			h.Former = append(h.Former, FormerRoute{Host: r.prefix.Host, Prefix: r.prefix.Path, Service: r.service, Ended: now.Sub(ended)})
		}
	}
	return h
}

// MergeRouteHistory adds what a peer knows of former routes, if both have the same configuration in force: otherwise one
// that the peer had in force, and this instance never did, would be missing.
func (v *View) MergeRouteHistory(h *RouteHistory, peer string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.o.Now()
	before := v.routes.followed(now)
	if h == nil || v.table == nil || h.Revision != v.configuration.Revision || h.Followed < before+minAddedHistory {
		return
	}
	if v.routes.former == nil {
		v.routes.former = map[formerRoute]time.Time{}
	}
	v.routes.since = now.Add(-h.Followed)
	for _, r := range h.Former {
		key := formerRoute{routing.Prefix{Host: r.Host, Path: r.Prefix}, r.Service}
		if ended := now.Add(-r.Ended); ended.After(v.routes.former[key]) {
			v.routes.former[key] = ended
		}
	}
	v.o.Log.Info().Str("event", "route_history").Str("peer", peer).Dur("followed", h.Followed).Dur("followed_before", before).
		Int("former", len(h.Former)).Msg("")
}
