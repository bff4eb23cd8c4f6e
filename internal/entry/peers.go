package entry

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/view"
)

// peers is the instance as its peers use it.
type peers struct{ instance *Instance }

// Serve implements peer.Handler. Routed requests aren't forwarded.
func (p *peers) Serve(context.Context, *request.Request) *answer.Buffer {
	return answer.Refused(api.Refuse(api.ReasonUnknownService, "this instance serves routed requests only; send it to another"))
}

// State implements peer.Handler.
func (p *peers) State(f *peer.Fetch) *peer.State {
	v := p.instance.view
	configuration, age := v.Published()
	list, listRevision := v.List()
	s := &peer.State{Revision: configuration.Revision, Age: age, ListVersion: listRevision}
	if f.Revision != configuration.Revision {
		s.Content = configuration.Content
	}
	encoded, err := cbor.Marshal(list)
	if err != nil {
		p.instance.log.Error().Str("event", "list_not_encoded").Str("cause", err.Error()).Msg("")
		s.ListVersion = 0
		return s
	}
	s.List = encoded
	return s
}

// Fetch implements peer.Handler.
func (p *peers) Fetch() *peer.Fetch { return &peer.Fetch{Revision: p.instance.view.Revision()} }

// Learn implements peer.Handler. What the peer says was true when it was asked, or
// later: its age is counted from then.
func (p *peers) Learn(from string, asked time.Time, s *peer.State) {
	v := p.instance.view
	v.Learn(view.Configuration{Revision: s.Revision, Content: s.Content}, asked.Add(-s.Age), from)
	if s.ListVersion == 0 {
		return
	}
	var list []view.Upstream
	if err := cbor.Unmarshal(s.List, &list); err != nil {
		p.instance.log.Warn().Str("event", "list_not_readable").Str("peer", from).Str("cause", err.Error()).Msg("run the same version on all instances")
		return
	}
	v.LearnUpstreams(list, s.ListVersion, from)
}

// Heartbeat implements peer.Handler.
func (p *peers) Heartbeat() *peer.Heartbeat {
	i := p.instance
	load := i.fleet.Load()
	return &peer.Heartbeat{
		Revision:    i.view.Revision(),
		ListVersion: i.view.ListRevision(),
		Draining:    i.ready.draining.Load(),
		InFlight:    i.proxy.InFlight(),
		Pending:     load.Pending,
		Running:     load.Running,
		Used:        i.quotas.Used(),
		Members:     i.members(),
	}
}

// members are the peers that are heard of.
func (i *Instance) members() []string {
	var out []string
	for _, p := range i.mesh.Peers() {
		if p.Reachable {
			out = append(out, p.Address)
		}
	}
	return out
}

// Heard implements peer.Handler.
func (p *peers) Heard(from string, h *peer.Heartbeat) {
	i := p.instance
	i.fleet.SetOthers(from, scheduler.Load{Pending: h.Pending, Running: h.Running})
	i.quotas.Heard(from, i.mesh.Incarnation(from), h.Used)
	i.mesh.Meet(h.Members)
	if h.Revision > i.view.Revision() || h.ListVersion > i.view.ListRevision() {
		i.mesh.FetchSoon(from)
	}
}

// Pressure implements peer.Handler. It isn't used between instances of this kind.
func (p *peers) Pressure(peer.Pressure) {}

// Silent implements peer.Handler.
func (p *peers) Silent(address string) {
	i := p.instance
	i.log.Warn().Str("event", "peer_lost").Str("peer", address).Msg("")
	i.fleet.SetOthers(address, scheduler.Load{})
	i.quotas.Silent(address)
}

func join(list []string) string { return strings.Join(list, ",") }
