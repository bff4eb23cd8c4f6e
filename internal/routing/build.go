package routing

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrInvalid is wrapped by the errors of Build. A document with any fault is refused
// as a whole, and the configuration in force stays in force. Operators correct the
// faults that the text names and publish again.
var ErrInvalid = errors.New("the routed configuration is invalid; the one in force stays in force")

// Build checks a document and indexes it. The error wraps ErrInvalid and names
// every fault found.
func Build(d *Document) (*Table, error) {
	b := builder{table: &Table{
		Version:  d.Version,
		Limits:   d.Limits,
		byHost:   map[string][]*Route{},
		services: make(map[string]*Service, len(d.Services)),
		byKey:    map[string]*Organisation{},
	}}
	b.limits(d.Limits)
	for i := range d.Services {
		b.service(&d.Services[i])
	}
	for i := range d.Routes {
		b.route(&d.Routes[i])
	}
	for i := range d.Organisations {
		b.organisation(&d.Organisations[i])
	}
	if len(b.faults) > 0 {
		return nil, fmt.Errorf("%w: %s", ErrInvalid, strings.Join(b.faults, "; "))
	}
	b.order()
	return b.table, nil
}

type builder struct {
	table  *Table
	faults []string
}

func (b *builder) fault(format string, args ...any) {
	b.faults = append(b.faults, fmt.Sprintf(format, args...))
}

func (b *builder) limits(l Limits) {
	if l.MaxBodyBytes < 0 {
		b.fault("limits: the maximum body size may not be negative")
	}
}

func (b *builder) service(s *Service) {
	if s.Name == "" {
		b.fault("a service has no name")
		return
	}
	if b.table.services[s.Name] != nil {
		b.fault("service %s is declared twice", s.Name)
		return
	}
	if s.ColdStart < 0 || s.ColdStartRate < 0 {
		b.fault("service %s has a negative cold start", s.Name)
		return
	}
	b.table.services[s.Name] = s
}

func (b *builder) route(r *Route) {
	switch {
	case r.Host == "":
		b.fault("route %s has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		b.fault("route %s: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case r.Kind < Idempotent || r.Kind > Stream:
		b.fault("route %s is of an unknown kind", r.Name)
	case r.Timeout <= 0:
		b.fault("route %s needs a timeout above 0", r.Name)
	case r.MaxAttempts < 1:
		b.fault("route %s needs at least one attempt", r.Name)
	case r.Rank < 0:
		b.fault("route %s has a negative priority", r.Name)
	case b.checkServices(r):
		r.Host = NormaliseHost(r.Host)
		b.table.byHost[r.Host] = append(b.table.byHost[r.Host], r)
		b.table.routes++
	}
}

// checkServices reports whether the services of a route exist and have valid
// weights.
func (b *builder) checkServices(r *Route) bool {
	total := 0
	for _, s := range r.Split {
		if b.table.services[s.Service] == nil {
			b.fault("route %s names service %q, which isn't declared", r.Name, s.Service)
			return false
		}
		if s.Weight < 0 {
			b.fault("route %s has a negative weight", r.Name)
			return false
		}
		total += s.Weight
	}
	if total == 0 {
		b.fault("route %s has no service with a weight above 0", r.Name)
		return false
	}
	return true
}

func (b *builder) organisation(o *Organisation) {
	if o.Name == "" {
		b.fault("an organisation has no name")
		return
	}
	if o.TokensPerSecond < 0 || o.BurstTokens < 0 || o.DefaultTokens < 0 {
		b.fault("organisation %s has a negative quota", o.Name)
		return
	}
	for _, key := range o.Keys {
		if holder := b.table.byKey[key]; holder != nil && holder != o {
			b.fault("organisations %s and %s hold the same key", holder.Name, o.Name)
			return
		}
		b.table.byKey[key] = o
	}
}

// order sorts the routes of each host so that Match finds the longest prefix first.
func (b *builder) order() {
	for _, routes := range b.table.byHost {
		slices.SortStableFunc(routes, func(x, y *Route) int { return len(y.Prefix) - len(x.Prefix) })
	}
}
