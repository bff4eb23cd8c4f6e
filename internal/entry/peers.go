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
func (p *peers) State(f *peer.Fetch) *peer.State {
	v := p.instance.view
	configuration, age := v.PublishedConfiguration()
	list := v.ListFor(view.KnownState{Version: f.ListVersion, WholeOnly: !f.Changes, Checksums: f.Sums})
	s := &peer.State{
		Revision:    configuration.Revision,
		Age:         age,
		ListVersion: list.Version,
		ListAge:     boottime.Since(list.AsOf),
		ListSince:   list.Since,
		ListParts:   list.Chunks,
		Vanished:    list.Removed,
		ListDigest:  list.Digest,
		Leaving:     p.instance.fleet.AllSaidLeaving(),
		Limits:      p.instance.fleet.AllLimits(),
		Missing:     list.Missing,
		Evacuations: peer.Evacuations(v.CurrentEvacuations()),
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

// Fetch implements peer.Handler.
func (p *peers) Fetch() *peer.Fetch {
	v := p.instance.view
	have := v.KnownState()
	return &peer.Fetch{Revision: v.Revision(), ListVersion: have.Version, Changes: true, Sums: have.Checksums}
}

// Learn implements peer.Handler. What the peer says was true when it was asked, or
// later: its age is counted from then.
func (p *peers) Learn(from string, asked time.Time, s *peer.State) {
	v := p.instance.view
	v.MergeEvacuations(view.Evacuations(s.Evacuations), from)
	v.MergeConfiguration(view.Configuration{Revision: s.Revision, Content: s.Content}, asked.Add(-s.Age), from)
	list := view.List{
		Version: s.ListVersion,
		AsOf:    asked.Add(-s.ListAge),
		Since:   s.ListSince,
		Chunks:  s.ListParts,
		Removed: s.Vanished,
		Missing: s.Missing,
		Digest:  s.ListDigest,
	}
	if len(s.List) > 0 {
		if err := cbor.Unmarshal(s.List, &list.Upstreams); err != nil {
			p.instance.log.Warn().Str("event", "list_not_readable").Str("peer", from).Str("cause", err.Error()).Msg("run the same version on all instances")
			return
		}
	}
	alike := v.MergeUpstreams(list, from)
	p.instance.fleet.LearnLeaving(from, s.Leaving)
	p.instance.fleet.LearnLimits(from, s.Limits)
	if !alike {
		p.instance.mesh.FetchSoon(from)
	}
}

// Heartbeat implements peer.Handler.
func (p *peers) Heartbeat() *peer.Heartbeat {
	i := p.instance
	load := i.fleet.Load()
	return &peer.Heartbeat{
		Revision:      i.view.Revision(),
		ConfigVersion: i.view.Version(),
		ListVersion:   i.view.ListVersion(),
		Draining:      i.ready.draining.Load(),
		InFlight:      i.proxy.InFlight(),
		Running:       load.Running,
		Leaving:       i.fleet.SaidLeaving(),
		Limits:        i.fleet.TellLimits(),
		Reads:         i.reading.active(),
		Known:         i.mesh.Known(),
		SteadyMS:      int(min(i.view.SourceUptime(), maxSteady).Milliseconds()),
		Evacuations:   peer.Evacuations(i.view.CurrentEvacuations()),
		Quarantine:    i.quarantine.Tell(time.Now()),
	}
}

// Heard implements peer.Handler.
func (p *peers) Heard(from string, h *peer.Heartbeat) {
	i := p.instance
	if !h.Brief {
		i.fleet.SetOthers(from, scheduler.Load{Running: h.Running})
	}
	i.view.MergeEvacuations(view.Evacuations(h.Evacuations), from)
	crashes := i.quarantine.Learn(time.Now(), h.Quarantine)
	limits := i.fleet.LearnLimits(from, h.Limits)
	if i.fleet.LearnLeaving(from, h.Leaving) || crashes || limits {
		i.passOn()
	}
	if h.SteadyMS > 0 {
		i.view.MergeSourceUptime(time.Duration(h.SteadyMS)*time.Millisecond, from)
	}
	if i.isBehind(h) {
		i.catchUp(from, h)
	}
}

// maxSteady bounds the time that is told for which the source was reached all the time: two
// bytes of each heartbeat. An outage and the time to settle after it last for some seconds.
const maxSteady = time.Minute

func (i *Instance) isBehind(h *peer.Heartbeat) bool {
	return i.view.IsOlderThan(h.ConfigVersion, h.Revision) || h.ListVersion > i.view.ListVersion()
}

// farPatience is how long an instance that hears of something newer from another
// availability zone waits for its own to bring it, since bytes between zones cost.
const farPatience = 600 * time.Millisecond

// catchUp fetches what a peer knows and this instance doesn't. One that knows nothing yet
// waits for nobody.
func (i *Instance) catchUp(from string, h *peer.Heartbeat) {
	if i.mesh.Zone(from) == i.settings.Zone || i.view.Revision() == 0 {
		i.mesh.FetchSoon(from)
		return
	}
	time.AfterFunc(farPatience, func() {
		if i.isBehind(h) {
			i.mesh.FetchSoon(from)
		}
	})
}

// Pressure implements peer.Handler. It isn't used between instances of this kind.
func (p *peers) Pressure(peer.Pressure) {}

// ServeSlot implements peer.Handler.
func (p *peers) ServeSlot(ctx context.Context, r *peer.SlotRequest, s *peer.SlotStream) {
	p.instance.fleet.ServeSlot(ctx, r, s)
}

// ServeQuota implements peer.Handler.
func (p *peers) ServeQuota(r *peer.QuotaRequest) *peer.QuotaReply { return p.instance.quotas.Serve(r) }

// QuotaReturned implements peer.Handler.
func (p *peers) QuotaReturned(r *peer.QuotaReturn) { p.instance.quotas.Returned(r) }

// loadHold is how long the load of a peer whose link has ended still counts: until the
// others have told what they run by its grants, which they do each instancesInterval. What
// counts longer counts twice: after the loss of an owner 182 of 180 slots were taken for
// full while 95 requests ran.
const loadHold = instancesInterval + 50*time.Millisecond

// Unlinked implements peer.Handler.
func (p *peers) Unlinked(address string) {
	i := p.instance
	time.AfterFunc(loadHold, func() {
		if !i.mesh.IsLinked(address) {
			i.fleet.SetOthers(address, scheduler.Load{})
		}
	})
}

// Silent implements peer.Handler. Its load is forgotten as its link ends.
func (p *peers) Silent(address string) {
	i := p.instance
	i.log.Warn().Str("event", "peer_lost").Str("peer", address).Msg("")
	p.Unlinked(address)
}

func join(list []string) string { return strings.Join(list, ",") }
