package entry

import (
	"context"
	"strings"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"

	"github.com/fxamacker/cbor/v2"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/reach"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/transfer"
	"github.com/tacktally/tacktally/internal/view"
)

// peerHandler implements peer.Handler for an instance.
type peerHandler struct{ instance *Instance }

// Serve implements peer.Handler. Routed requests aren't forwarded.
func (p *peerHandler) Serve(context.Context, *request.Request) *answer.Buffer {
	return answer.Refused(api.Refuse(api.ReasonUnknownService, "this instance serves routed requests only; send the request to another instance"))
}

// State implements peer.Handler.
func (p *peerHandler) State(f *peer.FetchRequest) *peer.State {
	v := p.instance.view
	configuration, age := v.PublishedConfiguration()
	if f.Part != nil {
		return p.partOf(configuration, age, f.Part)
	}
	list := v.ListFor(view.KnownState{Version: f.ListVersion, WholeOnly: !f.AcceptsDelta, Checksums: f.ListChecksums})
	s := &peer.State{
		Revision:    configuration.Revision,
		Age:         age,
		ListVersion: list.Version,
		ListAge:     boottime.Since(list.AsOf),
		ListSince:   list.Since,
		ListChunks:  list.Chunks,
		Removed:     list.Removed,
		ListDigest:  list.Digest,
		Leaving:     p.instance.fleet.AllLeavingNotices(),
		Limits:      p.instance.fleet.AllLimits(),
		Missing:     list.Missing,
		Evacuations: peer.Evacuations(v.CurrentEvacuations()),
	}
	now := time.Now()
	if d := p.instance.informed.offered(now); f.Quarantined || f.Informed > 0 && knowsMore(d, f.Informed) {
		s.Quarantined, s.Informed = p.instance.quarantine.AllQuarantined(now), d
	}
	if f.ListHistory {
		s.ListHistory = p.instance.fleet.ListHistory(s.ListAge)
		s.RouteHistory = v.RouteHistory()
	}
	switch {
	case f.Revision == configuration.Revision:
	case f.AcceptsParts && len(configuration.Content) > transfer.InlineBytes:
		s.ContentDigest = p.instance.sender.Record(configuration.Content)
	default:
		s.Content = configuration.Content
		p.instance.metrics.Add("tacktally_config_sent_bytes_total", len(s.Content))
	}
	if len(list.Upstreams) == 0 {
		return s
	}
	encoded, err := cbor.Marshal(list.Upstreams)
	if err != nil {
		p.instance.log.Error().Str("event", "list_not_encoded").Str("cause", err.Error()).Msg("could not encode the list of upstreams; the peer gets none")
		s.ListVersion = 0
		return s
	}
	s.List = encoded
	return s
}

// partOf returns the state with one part of the configuration in force.
func (p *peerHandler) partOf(c view.Configuration, age time.Duration, r *peer.PartRequest) *peer.State {
	part, err := p.instance.sender.Part(time.Now(), c.Content, r)
	if err != nil {
		p.instance.log.Error().Str("event", "config_not_encoded").Str("cause", err.Error()).Msg("could not encode the configuration; the peer gets it whole")
		return &peer.State{Revision: c.Revision, Age: age, Content: c.Content}
	}
	p.instance.metrics.Add("tacktally_config_sent_bytes_total", len(part.Data))
	return &peer.State{Revision: c.Revision, Age: age, Part: part}
}

// FetchRequest implements peer.Handler.
func (p *peerHandler) FetchRequest() *peer.FetchRequest {
	v := p.instance.view
	known := v.KnownState()
	now := time.Now()
	return &peer.FetchRequest{
		Revision:      v.Revision(),
		ListVersion:   known.Version,
		AcceptsDelta:  true,
		ListChecksums: known.Checksums,
		AcceptsParts:  true,
		Quarantined:   !p.instance.knowsQuarantined.Load() || p.instance.informed.hasMissed(now),
		Informed:      p.instance.informed.duration(now),
		ListHistory:   p.instance.followed() < wantedHistory,
	}
}

// MergeState implements peer.Handler. The peer's state was current when it was requested or later,
// so ages are counted from then.
func (p *peerHandler) MergeState(from string, requestedAt time.Time, s *peer.State) {
	v := p.instance.view
	p.instance.metrics.Add("tacktally_config_received_bytes_total", len(s.Content))
	// Before the configuration, so that no request is admitted by it that peers have quarantined.
	p.instance.quarantine.Merge(time.Now(), &quarantine.Update{Quarantined: s.Quarantined})
	p.instance.knowsQuarantined.Store(true)
	v.MergeEvacuations(view.Evacuations(s.Evacuations), from)
	p.mergeConfiguration(from, requestedAt.Add(-s.Age), s)
	list := view.List{
		Version: s.ListVersion,
		AsOf:    requestedAt.Add(-s.ListAge),
		Since:   s.ListSince,
		Chunks:  s.ListChunks,
		Removed: s.Removed,
		Missing: s.Missing,
		Digest:  s.ListDigest,
	}
	if len(s.List) > 0 {
		if err := cbor.Unmarshal(s.List, &list.Upstreams); err != nil {
			p.instance.log.Warn().Str("event", "list_not_readable").Str("peer", from).Str("cause", err.Error()).Msg("could not decode the peer's list of upstreams; run the same version on all instances")
			return
		}
	}
	identical := v.MergeUpstreams(list, from)
	p.instance.fleet.MergeListHistory(from, s.ListHistory)
	v.MergeRouteHistory(s.RouteHistory, from)
	p.instance.fleet.MergeLeavingNotices(from, s.Leaving)
	p.instance.fleet.MergeLimits(from, s.Limits)
	p.instance.informed.merged(time.Now(), s.Informed)
	if !identical {
		p.instance.mesh.ScheduleFetch(from)
	}
}

// mergeConfiguration merges the configuration of a peer's state, which was current as of the given
// time. If its content is left out and needed, a transfer is started.
func (p *peerHandler) mergeConfiguration(from string, asOf time.Time, s *peer.State) {
	v := p.instance.view
	c := view.Configuration{Revision: s.Revision, Content: s.Content}
	if s.ContentDigest != 0 {
		inForce, _ := v.PublishedConfiguration()
		switch {
		case transfer.Digest(inForce.Content) == s.ContentDigest:
			c.Content = inForce.Content
		case v.NeedsContent(s.Revision):
			p.instance.receiver.Start(from, s.ContentDigest)
			return
		}
	}
	v.MergeConfiguration(c, asOf, from)
}

// Heartbeat implements peer.Handler.
func (p *peerHandler) Heartbeat() *peer.Heartbeat {
	i := p.instance
	load := i.fleet.Load()
	reached := i.fleet.Reach()
	return &peer.Heartbeat{
		Revision:          i.view.Revision(),
		ConfigVersion:     i.view.Version(),
		ListVersion:       i.view.ListVersion(),
		Draining:          i.ready.draining.Load(),
		InFlight:          i.proxy.InFlight(),
		Running:           load.Running,
		Leaving:           i.fleet.NextLeavingNotices(),
		Limits:            i.fleet.NextLimitUpdates(),
		ReadsSource:       i.election.active(),
		KnownPeers:        i.mesh.PeerCount(),
		SourceReachableMS: int(min(i.view.SourceUptime(), maxSourceReachable).Milliseconds()),
		Evacuations:       peer.Evacuations(i.view.CurrentEvacuations()),
		Quarantine:        i.quarantine.NextUpdate(time.Now()),
		Isolated:          reached == reach.Isolated,
		Reach:             reached,
		FollowedS:         int(i.offeredHistory().Seconds()),
		InformedS:         int(i.informed.offered(time.Now()).Seconds()),
	}
}

// HandleHeartbeat implements peer.Handler.
func (p *peerHandler) HandleHeartbeat(from string, h *peer.Heartbeat) {
	i := p.instance
	if !h.Brief {
		i.fleet.SetPeerLoad(from, scheduler.Load{Running: h.Running})
	}
	i.view.MergeEvacuations(view.Evacuations(h.Evacuations), from)
	crashes := i.quarantine.Merge(time.Now(), h.Quarantine)
	limits := i.fleet.MergeLimits(from, h.Limits)
	if i.fleet.MergeLeavingNotices(from, h.Leaving) || crashes || limits {
		i.relayUpdates()
	}
	if h.SourceReachableMS > 0 {
		i.view.MergeSourceUptime(time.Duration(h.SourceReachableMS)*time.Millisecond, from)
	}
	if i.isBehind(h) {
		i.catchUp(from, h)
	}
}

// maxSourceReachable bounds the reported time for which the source was reached without
// interruption, which takes two bytes of each heartbeat. An outage and the time to settle after it
// take some seconds.
const maxSourceReachable = time.Minute

// isBehind reports whether a heartbeat announces a newer configuration or list, or that the peer has followed them for
// longer, or knows what the instances have told each other before this one started.
func (i *Instance) isBehind(h *peer.Heartbeat) bool {
	return i.isUninformed(h) || i.view.IsOlderThan(h.ConfigVersion, h.Revision) || h.ListVersion > i.view.ListVersion() ||
		i.lacksHistory(h)
}

const (
	// wantedHistory is the time for which an instance wants to know which versions were listed and where routes led. One
	// that has followed list and configuration for less asks peers that have for longer. Few streams can be resumed for
	// longer.
	wantedHistory = 10 * time.Minute
	// historyMargin is by how much longer a peer must have followed them. Heartbeats give whole seconds.
	historyMargin = 4 * time.Second
)

// followed returns for how long this instance, or peers before it, have followed the list of upstreams and the
// configuration.
func (i *Instance) followed() time.Duration {
	return min(i.fleet.Followed(), i.view.RoutesFollowed())
}

// offeredHistory returns for how long before now this instance can tell peers which versions were listed and where routes
// led; 0 if its list isn't current.
func (i *Instance) offeredHistory() time.Duration {
	if age, _ := i.view.ListAge(); !fleet.IsCurrent(age) { // without a list, nothing was followed
		return 0
	}
	return i.followed()
}

// lacksHistory reports whether the peer that sent a heartbeat can tell of versions and routes that this instance doesn't
// know.
func (i *Instance) lacksHistory(h *peer.Heartbeat) bool {
	followed := i.followed()
	return i.fleet.Followed() > 0 && followed < wantedHistory && h.Revision == i.view.Revision() &&
		time.Duration(h.FollowedS)*time.Second >= followed+historyMargin
}

// isUninformed reports whether the sender of a heartbeat has been informed for longer, or this instance hasn't fetched the
// state of a peer yet; peers of earlier versions don't say for how long they have been informed.
func (i *Instance) isUninformed(h *peer.Heartbeat) bool {
	return !i.knowsQuarantined.Load() || i.informed.lacks(time.Now(), time.Duration(h.InformedS)*time.Second)
}

// crossZoneFetchDelay is how long an instance waits for its own availability zone to provide newer
// state that another zone announces, since traffic between zones is charged.
const crossZoneFetchDelay = 600 * time.Millisecond

// catchUp fetches newer state that a peer announces. An instance that lacks a configuration, or what
// its peers have told each other, doesn't wait for its own zone.
func (i *Instance) catchUp(from string, h *peer.Heartbeat) {
	if i.mesh.Zone(from) == i.settings.Zone || i.view.Revision() == 0 || i.isUninformed(h) {
		i.mesh.ScheduleFetch(from)
		return
	}
	time.AfterFunc(crossZoneFetchDelay, func() {
		if i.isBehind(h) {
			i.mesh.ScheduleFetch(from)
		}
	})
}

// HandlePressure implements peer.Handler. It is unused between instances that serve routed
// requests.
func (p *peerHandler) HandlePressure(peer.Pressure) {}

// ServeSlot implements peer.Handler.
func (p *peerHandler) ServeSlot(ctx context.Context, r *peer.SlotRequest, s *peer.SlotStream) {
	p.instance.fleet.ServeSlot(ctx, r, s)
}

// ServeQuota implements peer.Handler.
func (p *peerHandler) ServeQuota(r *peer.QuotaRequest) *peer.QuotaReply {
	return p.instance.quotas.ServeTake(r)
}

// ServeLeases implements peer.Handler.
func (p *peerHandler) ServeLeases(from string, groups []int) []int {
	return p.instance.quotas.ServeLeases(from, groups)
}

// HandleOrigins implements peer.Handler.
func (p *peerHandler) HandleOrigins(list []peer.StreamOrigin) { p.instance.fleet.MergeOrigins(list) }

// ServeOrigin implements peer.Handler.
func (p *peerHandler) ServeOrigin(q *peer.OriginQuery) *peer.OriginReply {
	age, _ := p.instance.view.ListAge() // without a list, no version is known
	reply := p.instance.fleet.ServeOrigin(q, age)
	reply.ConfigRevision = p.instance.view.Revision()
	return reply
}

// HandleQuotaReturn implements peer.Handler.
func (p *peerHandler) HandleQuotaReturn(r *peer.QuotaReturn) { p.instance.quotas.ServeReturn(r) }

// loadRetention is how long the load of a peer still counts after its link has ended: until the
// other instances have reported what they run by that peer's grants, which they do every
// fleetRefreshInterval. Load that is kept longer counts twice: after the loss of an owner, 182 of
// 180 slots were considered taken while 95 requests ran.
const loadRetention = fleetRefreshInterval + 50*time.Millisecond

// LinkLost implements peer.Handler.
func (p *peerHandler) LinkLost(address string) {
	i := p.instance
	time.AfterFunc(loadRetention, func() {
		if !i.mesh.IsLinked(address) {
			i.fleet.SetPeerLoad(address, scheduler.Load{})
		}
	})
}

// PeerLost implements peer.Handler. It removes the peer's load, as the end of its link does.
func (p *peerHandler) PeerLost(address string) {
	i := p.instance
	i.log.Warn().Str("event", "peer_lost").Str("peer", address).Msg("peer is silent; its load is removed")
	p.LinkLost(address)
}

func join(list []string) string { return strings.Join(list, ",") }
