package daemon

import (
	"context"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/request"
)

// peerHandler is the daemon as its peers use it.
type peerHandler Daemon

// Serve implements peer.Handler.
func (p *peerHandler) Serve(ctx context.Context, r *request.Request) *answer.Buffer {
	return p.gateway.ServePeer(ctx, r)
}

// State implements peer.Handler.
func (p *peerHandler) State(f *peer.FetchRequest) *peer.State {
	s := &peer.State{}
	if c := p.holder.Current(); c != nil {
		s.Revision = c.Revision
		s.Content = c.Content
		s.Parts = c.Parts(f.Parts)
	}
	l := p.instances.current()
	s.ListVersion = l.Version
	if l.Version > 0 {
		s.List, _ = json.Marshal(l.Instances) // instances always encode
	}
	return s
}

// Fetch implements peer.Handler.
func (p *peerHandler) FetchRequest() *peer.FetchRequest {
	if c := p.holder.Current(); c != nil {
		return &peer.FetchRequest{Parts: c.PartSums()}
	}
	return &peer.FetchRequest{}
}

// Learn implements peer.Handler.
func (p *peerHandler) MergeState(from string, _ time.Time, s *peer.State) {
	d := (*Daemon)(p)
	if s.Revision > 0 {
		d.offer(d.life, s.Revision, s.Content, s.Parts, "peer "+from)
	}
	if s.ListVersion > 0 {
		l := platform.List{Version: s.ListVersion}
		if json.Unmarshal(s.List, &l.Instances) == nil {
			d.useInstances(l)
		}
	}
}

// Heartbeat implements peer.Handler.
func (p *peerHandler) Heartbeat() *peer.Heartbeat {
	return &peer.Heartbeat{
		Revision:    p.holder.Revision(),
		ListVersion: p.instances.version(),
		Draining:    p.gateway.Draining(),
		Leaving:     p.instances.saidLeaving(),
		InFlight:    p.dispatcher.InFlight(),
		Queued:      p.dispatcher.Queued(maxRanks),
		Pending:     p.dispatcher.Pending(),
		Demand:      p.organisations.Demands(time.Now()),
		Quarantine:  p.quarantine.NextUpdate(time.Now()),
	}
}

// Heard implements peer.Handler.
func (p *peerHandler) HandleHeartbeat(from string, h *peer.Heartbeat) {
	for _, address := range h.Leaving {
		p.dispatcher.MarkLeaving(address)
	}
	p.dispatcher.SetOthers(from, h.Pending)
	p.organisations.Heard(from, h.Demand)
	p.quarantine.Merge(time.Now(), h.Quarantine) // all are linked to all: nobody has it from here alone
	if h.Revision > p.holder.Revision() || h.ListVersion > p.instances.version() {
		p.mesh.ScheduleFetch(from)
	}
}

// Pressure implements peer.Handler.
func (p *peerHandler) HandlePressure(pr peer.Pressure) { p.dispatcher.ShedLower(pr.Set, pr.Rank) }

// Silent implements peer.Handler.
func (p *peerHandler) PeerLost(address string) {
	p.dispatcher.SetOthers(address, nil)
	p.organisations.Silent(address)
}

// pressPatience bounds how long a refusal waits for the peers to shed lower work.
const pressPatience = 100 * time.Millisecond

// press lets the peers of the zone shed lower work first.
func (d *Daemon) press(set string, rank int) {
	ctx, cancel := context.WithTimeout(context.Background(), pressPatience)
	defer cancel()
	d.mesh.SendPressure(ctx, peer.Pressure{Set: set, Rank: rank})
}

// ServeSlot implements peer.Handler. Instances of this kind share upstreams by what their
// heartbeats tell; none is asked for slots.
func (p *peerHandler) ServeSlot(ctx context.Context, _ *peer.SlotRequest, s *peer.SlotStream) {
	refusal := peer.SlotRefusal{Reason: string(api.ReasonUnknownService), Detail: "this instance schedules its own requests only"}
	if err := s.SendRefusal(ctx, refusal); err != nil {
		p.log.Warn().Str("event", "slot_not_refused").Str("peer", s.Peer).Str("cause", err.Error()).Msg("")
	}
}

// ServeQuota implements peer.Handler. Instances of this kind divide limits by demand.
func (p *peerHandler) ServeQuota(*peer.QuotaRequest) *peer.QuotaReply { return &peer.QuotaReply{} }

// QuotaReturned implements peer.Handler. None were granted.
func (p *peerHandler) HandleQuotaReturn(*peer.QuotaReturn) {}

// Unlinked implements peer.Handler. What was told by the peer holds until it is silent.
func (p *peerHandler) LinkLost(string) {}
