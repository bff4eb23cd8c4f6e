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
	// minAddedHistory is by how much longer the history of a peer must be to extend this one.
	minAddedHistory = 2 * time.Second
	// maxProofGap is how long the configuration may go unproven until a change counts as the last of several.
	maxProofGap = CurrentListAge
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

// IsValid reports whether the durations and the number of routes are within their bounds. No history is valid.
func (h *RouteHistory) IsValid() bool {
	if h == nil {
		return true
	}
	valid := func(d time.Duration) bool { return d >= 0 && d <= routeMemory }
	return valid(h.Followed) && len(h.Former) <= maxFormerRoutes && !slices.ContainsFunc(h.Former, func(r FormerRoute) bool { return !valid(r.Ended) })
}

// formerRoute is the prefix of a route and a service.
type formerRoute struct{ prefix, service string }

// routeHistory is where routes led before. The View's lock protects it.
type routeHistory struct {
	since  time.Time                            // since when changes are known, zero before the first configuration
	former map[string]map[formerRoute]time.Time // when the route changed, by host
	count  int
}

// replace records the changes from one table to the next, and returns the services of routes that changed. Old is nil for
// the first table. A gap is that others may have been in force between the two.
func (h *routeHistory) replace(now time.Time, old, next *routing.Table, gap bool) (services []string) {
	if old == nil {
		h.since = now
		return nil
	}
	changed := map[string]bool{}
	before, after := old.ByPrefix(), next.ByPrefix()
	for p, r := range before {
		if same := after[p]; gap || same == nil || !slices.Equal(same.Split, r.Split) {
			h.recordSplit(now, p, r, changed)
		}
	}
	for p := range after {
		if before[p] != nil {
			continue
		}
		if covered := old.Match(p.Host, p.Path); covered != nil {
			h.recordSplit(now, p, covered, changed)
		}
	}
	if gap {
		h.since = now
	}
	h.prune(now)
	return slices.Collect(maps.Keys(changed))
}

// recordSplit records that requests below a prefix were sent by a route until now, and adds its services to changed.
func (h *routeHistory) recordSplit(now time.Time, p routing.Prefix, r *routing.Route, changed map[string]bool) {
	for _, s := range r.Split {
		if s.Weight > 0 {
			h.record(p.Host, formerRoute{p.Path, s.Service}, now)
			changed[s.Service] = true
		}
	}
}

// record records when a route to a service changed, unless a later change is known.
func (h *routeHistory) record(host string, r formerRoute, ended time.Time) {
	if h.former == nil {
		h.former = map[string]map[formerRoute]time.Time{}
	}
	routes := h.former[host]
	if routes == nil {
		routes = map[formerRoute]time.Time{}
		h.former[host] = routes
	}
	known, found := routes[r]
	if !found {
		h.count++
	}
	if ended.After(known) {
		routes[r] = ended
	}
}

// prune forgets what is older than routeMemory, and all if there is too much.
func (h *routeHistory) prune(now time.Time) {
	h.count = 0
	for host, routes := range h.former {
		maps.DeleteFunc(routes, func(_ formerRoute, ended time.Time) bool { return now.Sub(ended) > routeMemory })
		h.count += len(routes)
		if len(routes) == 0 {
			delete(h.former, host)
		}
	}
	if h.count > maxFormerRoutes {
		h.since, h.former, h.count = now, nil, 0
	}
}

// followed returns for how long changes are known, routeMemory at most.
func (h *routeHistory) followed(now time.Time) time.Duration {
	if h.since.IsZero() {
		return 0
	}
	return min(now.Sub(h.since), routeMemory)
}

// replaceRoutes records the changes of routes to the next table. The caller holds the lock.
func (v *View) replaceRoutes(next *routing.Table) {
	now := v.o.Now()
	if changed := v.routes.replace(now, v.table, next, now.Sub(v.asOf) > maxProofGap); len(changed) > 0 && v.o.OnRoutesChanged != nil {
		v.o.OnRoutesChanged(changed)
	}
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
	for r, ended := range v.routes.former[host] {
		if r.service != service && strings.HasPrefix(path, r.prefix) && now.Sub(ended) < within {
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
	for host, routes := range v.routes.former {
		for r, ended := range routes {
			if now.Sub(ended) <= routeMemory {
				h.Former = append(h.Former, FormerRoute{Host: host, Prefix: r.prefix, Service: r.service, Ended: now.Sub(ended)})
			}
		}
	}
	return h
}

// MergeRouteHistory adds what a peer knows of former routes. It extends what this instance has followed if both have the same
// configuration in force: otherwise one that the peer had in force, and this instance never did, would be missing.
func (v *View) MergeRouteHistory(h *RouteHistory, peer string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h == nil || v.table == nil {
		return
	}
	now := v.o.Now()
	for _, r := range h.Former {
		v.routes.record(r.Host, formerRoute{r.Prefix, r.Service}, now.Add(-r.Ended))
	}
	before := v.routes.followed(now)
	if h.Revision == v.configuration.Revision && h.Followed >= before+minAddedHistory {
		v.routes.since = now.Add(-h.Followed)
		v.o.Log.Info().Str("event", "route_history").Str("peer", peer).Dur("followed", h.Followed).Dur("followed_before", before).
			Int("former", len(h.Former)).Msg("")
	}
	v.routes.prune(now)
}
