package operatorapi

import (
	"net/http"
	"strconv"

	"github.com/tacktally/tacktally/internal/config"
)

// Explanation describes how a request would be served at this instance now.
type Explanation struct {
	Revision     int64    `json:"revision"`
	Organisation string   `json:"organisation"`
	Tier         string   `json:"tier"`
	TierRank     int      `json:"tierRank"`
	Timeout      string   `json:"timeout"`
	FirstToken   string   `json:"firstToken,omitempty"`
	Set          string   `json:"set"`
	Upstreams    int      `json:"upstreamsInService"`
	QueuedAhead  int      `json:"queuedAhead"`
	Steps        []string `json:"steps"`
}

// explain responds to a query with organisation= and either model= or service=; tier= is optional.
// For a service, method= and path= may be given.
func (s *Server) explain(w http.ResponseWriter, h *http.Request) {
	snapshot := s.holder.Current()
	if snapshot == nil {
		fail(w, http.StatusServiceUnavailable, "no configuration is accepted yet; publish one at the platform")
		return
	}
	q := h.URL.Query()
	org, ok := snapshot.Organisation(q.Get("organisation"))
	if !ok {
		fail(w, http.StatusNotFound, "organisation "+strconv.Quote(q.Get("organisation"))+" isn't declared; list Organisation to see those that are")
		return
	}
	tier := org.DefaultTier
	if name := q.Get("tier"); name != "" {
		if tier, ok = org.Tier(name); !ok {
			fail(w, http.StatusNotFound, "organisation "+org.Name+" may not use tier "+strconv.Quote(name)+"; add it to its spec.tiers")
			return
		}
	}
	e := Explanation{Revision: snapshot.Revision, Organisation: org.Name, Tier: tier.Name, TierRank: tier.Rank, Timeout: tier.Timeout.String()}
	if tier.FirstToken > 0 {
		e.FirstToken = tier.FirstToken.String()
	}
	if !e.resolve(snapshot, q.Get("model"), q.Get("service"), q.Get("method"), q.Get("path")) {
		fail(w, http.StatusNotFound, "name a served model with model=, or a declared service with service=")
		return
	}
	s.explainCapacity(&e)
	writeJSON(w, e)
}

// resolve sets the engine set or service that serves the request, and reports whether there is one.
func (e *Explanation) resolve(s *config.Snapshot, model, service, method, path string) bool {
	if svc, ok := s.Service(service); ok {
		e.Set = svc.Name
		if svc.NonIdempotent(method, path) {
			e.Steps = append(e.Steps, "the call is declared non-idempotent: it needs an issued key and runs at most once, at the key's issuer")
		}
		return true
	}
	set, ok := s.EngineSetByModel(model)
	if ok {
		e.Set = set.Name
	}
	return ok
}

func (s *Server) explainCapacity(e *Explanation) {
	for _, u := range s.instance.Upstreams(e.Set) {
		if !u.Leaving {
			e.Upstreams++
		}
	}
	for _, n := range s.instance.Queued(e.Set, e.TierRank+1) {
		e.QueuedAhead += n
	}
	switch {
	case e.Upstreams == 0:
		e.Steps = append(e.Steps, "refused with no_upstream: no upstream of "+e.Set+" is in service in this availability zone")
	case e.QueuedAhead == 0:
		e.Steps = append(e.Steps, "sent at once if an upstream has free capacity, to the one with the lowest predicted cost")
	default:
		e.Steps = append(e.Steps, strconv.Itoa(e.QueuedAhead)+" requests of this tier or higher are queued ahead; it is refused at once if it is predicted to be late")
	}
}
