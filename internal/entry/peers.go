package entry

import (
	"context"
	"strings"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"

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
func (p *peers) State(f *peer.FetchRequest) *peer.State {
	v := p.instance.view
	configuration, age := v.Published()
	list := v.HandOver(view.Have{Version: f.ListVersion, Whole: !f.AcceptsDelta, Sums: f.ListChecksums})
	s := &peer.State{
		Revision:    configuration.Revision,
		Age:         age,
		ListVersion: list.Version,
		ListAge:     boottime.Since(list.AsOf),
		ListSince:   list.Since,
		ListChunks:  list.Parts,
		Removed:     list.Vanished,
		ListDigest:  list.Digest,
		Leaving:     p.instance.fleet.AllSaidLeaving(),
		Limits:      p.instance.fleet.AllLimits(),
		Missing:     list.Missing,
		Evacuations: peer.Evacuations(v.Evacuated()),
	}
	if f.Revision != configuration.Revision {
		s.Content = configuration.Content
	}
	if len(list.Upstreams) == 0 {
		return s
	}
	encoded, err := cbor.Marshal(list.Upstreams)
	if err != nil {
		p.instance.log.Error().Str("event", "list_not_encoded").Str("cause", err.Error()).Msg("")
		s.ListVersion = 0
		return s
	}
	s.List = encoded
	return s
}

// FetchRequest implements peer.Handler.
func (p *peers) FetchRequest() *peer.FetchRequest {
	v := p.instance.view
	have := v.Have()
	return &peer.FetchRequest{Revision: v.Revision(), ListVersion: have.Version, AcceptsDelta: true, ListChecksums: have.Sums}
}

// MergeState implements peer.Handler. What the peer says was true when it was asked, or
// later: its age is counted from then.
func (p *peers) MergeState(from string, asked time.Time, s *peer.State) {
	v := p.instance.view
	v.LearnEvacuations(view.Evacuations(s.Evacuations), from)
	v.Learn(view.Configuration{Revision: s.Revision, Content: s.Content}, asked.Add(-s.Age), from)
	list := view.List{
		Version:  s.ListVersion,
		AsOf:     asked.Add(-s.ListAge),
		Since:    s.ListSince,
		Parts:    s.ListChunks,
		Vanished: s.Removed,
		Missing:  s.Missing,
		Digest:   s.ListDigest,
	}
	if len(s.List) > 0 {
		if err := cbor.Unmarshal(s.List, &list.Upstreams); err != nil {
			p.instance.log.Warn().Str("event", "list_not_readable").Str("peer", from).Str("cause", err.Error()).Msg("run the same version on all instances")
			return
		}
	}
	alike := v.LearnUpstreams(list, from)
	p.instance.fleet.LearnLeaving(from, s.Leaving)
	p.instance.fleet.LearnLimits(from, s.Limits)
	if !alike {
		p.instance.mesh.ScheduleFetch(from)
	}
}

// Heartbeat implements peer.Handler.
func (p *peers) Heartbeat() *peer.Heartbeat {
	i := p.instance
	load := i.fleet.Load()
	return &peer.Heartbeat{
		Revision:          i.view.Revision(),
		ConfigVersion:     i.view.Version(),
		ListVersion:       i.view.ListVersion(),
		Draining:          i.ready.draining.Load(),
		InFlight:          i.proxy.InFlight(),
		Running:           load.Running,
		Leaving:           i.fleet.SaidLeaving(),
		Limits:            i.fleet.TellLimits(),
		ReadsSource:       i.reading.active(),
		KnownPeers:        i.mesh.PeerCount(),
		SourceReachableMS: int(min(i.view.SteadyFor(), maxSteady).Milliseconds()),
		Evacuations:       peer.Evacuations(i.view.Evacuated()),
		Quarantine:        i.quarantine.Tell(time.Now()),
	}
}

// HandleHeartbeat implements peer.Handler.
func (p *peers) HandleHeartbeat(from string, h *peer.Heartbeat) {
	i := p.instance
	if !h.Brief {
		i.fleet.SetOthers(from, scheduler.Load{Running: h.Running})
	}
	i.view.LearnEvacuations(view.Evacuations(h.Evacuations), from)
	crashes := i.quarantine.Learn(time.Now(), h.Quarantine)
	limits := i.fleet.LearnLimits(from, h.Limits)
	if i.fleet.LearnLeaving(from, h.Leaving) || crashes || limits {
		i.passOn()
	}
	if h.SourceReachableMS > 0 {
		i.view.SourceWasThere(time.Duration(h.SourceReachableMS)*time.Millisecond, from)
	}
	if i.isBehind(h) {
		i.catchUp(from, h)
	}
}

// maxSteady bounds the time that is told for which the source was reached all the time: two
// bytes of each heartbeat. An outage and the time to settle after it last for some seconds.
const maxSteady = time.Minute

func (i *Instance) isBehind(h *peer.Heartbeat) bool {
	return i.view.IsBehind(h.ConfigVersion, h.Revision) || h.ListVersion > i.view.ListVersion()
}

// farPatience is how long an instance that hears of something newer from another
// availability zone waits for its own to bring it, since bytes between zones cost.
const farPatience = 600 * time.Millisecond

// catchUp fetches what a peer knows and this instance doesn't. One that knows nothing yet
// waits for nobody.
func (i *Instance) catchUp(from string, h *peer.Heartbeat) {
	if i.mesh.Zone(from) == i.settings.Zone || i.view.Revision() == 0 {
		i.mesh.ScheduleFetch(from)
		return
	}
	time.AfterFunc(farPatience, func() {
		if i.isBehind(h) {
			i.mesh.ScheduleFetch(from)
		}
	})
}

// HandlePressure implements peer.Handler. It isn't used between instances of this kind.
func (p *peers) HandlePressure(peer.Pressure) {}

// ServeSlot implements peer.Handler.
func (p *peers) ServeSlot(ctx context.Context, r *peer.SlotRequest, s *peer.SlotStream) {
	p.instance.fleet.ServeSlot(ctx, r, s)
}

// ServeQuota implements peer.Handler.
func (p *peers) ServeQuota(r *peer.QuotaRequest) *peer.QuotaReply { return p.instance.quotas.Serve(r) }

// HandleQuotaReturn implements peer.Handler.
func (p *peers) HandleQuotaReturn(r *peer.QuotaReturn) { p.instance.quotas.Returned(r) }

// loadHold is how long the load of a peer whose link has ended still counts: until the
// others have told what they run by its grants, which they do each instancesInterval. What
// counts longer counts twice: after the loss of an owner 182 of 180 slots were taken for
// full while 95 requests ran.
const loadHold = instancesInterval + 50*time.Millisecond

// LinkLost implements peer.Handler.
func (p *peers) LinkLost(address string) {
	i := p.instance
	time.AfterFunc(loadHold, func() {
		if !i.mesh.IsLinked(address) {
			i.fleet.SetOthers(address, scheduler.Load{})
		}
	})
}

// PeerLost implements peer.Handler. Its load is forgotten as its link ends.
func (p *peers) PeerLost(address string) {
	i := p.instance
	i.log.Warn().Str("event", "peer_lost").Str("peer", address).Msg("")
	p.LinkLost(address)
}

func join(list []string) string { return strings.Join(list, ",") }
