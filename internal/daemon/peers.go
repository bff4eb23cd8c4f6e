package daemon

import (
	"context"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/request"
)

// peerHandler implements peer.Handler.
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
		s.List, _ = json.Marshal(l.Instances) // a list of instances always encodes
	}
	if f.Quarantined {
		s.Quarantined = p.quarantine.AllQuarantined(time.Now())
	}
	return s
}

// FetchRequest implements peer.Handler.
func (p *peerHandler) FetchRequest() *peer.FetchRequest {
	if c := p.holder.Current(); c != nil {
		return &peer.FetchRequest{Parts: c.PartHashes()}
	}
	return &peer.FetchRequest{Quarantined: true} // it has just started
}

// MergeState implements peer.Handler.
func (p *peerHandler) MergeState(from string, _ time.Time, s *peer.State) {
	d := (*Daemon)(p)
	// Before the configuration, so that no request is admitted by it that peers have quarantined.
	d.quarantine.Merge(time.Now(), &quarantine.Update{Quarantined: s.Quarantined})
	if s.Revision > 0 {
		d.offerConfig(d.runCtx, s.Revision, s.Content, s.Parts, "peer "+from)
	}
	if s.ListVersion > 0 {
		l := platform.List{Version: s.ListVersion}
		if json.Unmarshal(s.List, &l.Instances) == nil {
			d.applyInstances(l)
		}
	}
}

// Heartbeat implements peer.Handler.
func (p *peerHandler) Heartbeat() *peer.Heartbeat {
	return &peer.Heartbeat{
		Revision:    p.holder.Revision(),
		ListVersion: p.instances.version(),
		Draining:    p.gateway.Draining(),
		Leaving:     p.instances.leavingNotices(),
		InFlight:    p.dispatcher.InFlight(),
		Queued:      p.dispatcher.Queued(maxRanks),
		Pending:     p.dispatcher.Pending(),
		Demand:      p.organisations.Demands(time.Now()),
		Quarantine:  p.quarantine.NextUpdate(time.Now()),
	}
}

// HandleHeartbeat implements peer.Handler.
func (p *peerHandler) HandleHeartbeat(from string, h *peer.Heartbeat) {
	for _, address := range h.Leaving {
		if !p.instances.isOfFormerProcess(address, h.ListVersion) {
			p.dispatcher.MarkLeaving(address)
		}
	}
	if !h.Brief {
		p.dispatcher.SetPeerLoad(from, h.Pending)
		p.organisations.SetPeerDemands(from, h.Demand)
	}
	p.quarantine.Merge(time.Now(), h.Quarantine) // in a full mesh, updates needn't be forwarded
	if h.Revision > p.holder.Revision() || h.ListVersion > p.instances.version() {
		p.mesh.ScheduleFetch(from)
	}
}

// HandlePressure implements peer.Handler.
func (p *peerHandler) HandlePressure(pr peer.Pressure) { p.dispatcher.ShedLower(pr.Set, pr.Rank) }

// PeerLost implements peer.Handler.
func (p *peerHandler) PeerLost(address string) {
	p.dispatcher.SetPeerLoad(address, nil)
	p.organisations.RemovePeer(address)
}

// pressureTimeout bounds how long a refusal waits for the peers to shed lower work.
const pressureTimeout = 100 * time.Millisecond

// sendPressure asks the peers of the zone to shed lower work first, and blocks for at most
// pressureTimeout.
func (d *Daemon) sendPressure(set string, rank int) {
	ctx, cancel := context.WithTimeout(context.Background(), pressureTimeout)
	defer cancel()
	d.mesh.SendPressure(ctx, peer.Pressure{Set: set, Rank: rank})
}

// ServeSlot implements peer.Handler. Instances of this kind share upstreams by the load that
// heartbeats report, and refuse requests for slots.
func (p *peerHandler) ServeSlot(ctx context.Context, _ *peer.SlotRequest, s *peer.SlotStream) {
	refusal := peer.SlotRefusal{Reason: string(api.ReasonUnknownService), Detail: "this instance schedules its own requests only"}
	if err := s.SendRefusal(ctx, refusal); err != nil {
		p.log.Warn().Str("event", "slot_not_refused").Str("peer", s.Peer).Str("cause", err.Error()).Msg("could not send the refusal of a slot")
	}
}

// ServeQuota implements peer.Handler. Instances of this kind divide limits by demand and grant no
// quotas.
func (p *peerHandler) ServeQuota(*peer.QuotaRequest) *peer.QuotaReply { return &peer.QuotaReply{} }

// HandleQuotaReturn implements peer.Handler. It does nothing, since no quotas are granted.
func (p *peerHandler) HandleQuotaReturn(*peer.QuotaReturn) {}

// HandleOrigins and ServeOrigin implement peer.Handler. Instances of this kind resume a stream at the engine
// that began it only.
func (p *peerHandler) HandleOrigins([]peer.StreamOrigin)               {}
func (p *peerHandler) ServeOrigin(*peer.OriginQuery) *peer.OriginReply { return &peer.OriginReply{} }

// ServeLeases implements peer.Handler. Instances of this interface lease nothing.
func (p *peerHandler) ServeLeases(string, []int) []int { return nil }

// LinkLost implements peer.Handler. It does nothing: what the peer reported stays valid until
// PeerLost.
func (p *peerHandler) LinkLost(string) {}
