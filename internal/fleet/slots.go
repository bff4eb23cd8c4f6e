package fleet

import (
	"context"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/estimate"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/pool"
	"github.com/tacktally/tacktally/internal/prefix"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// Slots asks other instances for slots. *peer.Mesh implements it.
type Slots interface {
	AcquireSlot(ctx context.Context, address string, r *peer.SlotRequest, ackWithin time.Duration) (*peer.Slot, *peer.SlotRefusal, error)
	// FleetSize is the number of instances as far as known; 0 while this one, which isn't
	// alone, has heard of none.
	FleetSize() int
}

// UseSlots lets the fleet ask other instances. It is called once, before requests come.
func (f *Fleet) UseSlots(s Slots) { f.slots = s }

// Want is a request for a slot.
type Want struct {
	ID      string // of the request, for logs
	Key     quarantine.Key
	Service string
	Request *scheduler.Request
	Parts   []prefix.Part // of its prompt, in order
	Ask     peer.AttemptKind
}

// Acquire blocks until the request gets a slot, is refused, or ctx ends.
func (f *Fleet) Acquire(ctx context.Context, w *Want) (Lease, *api.Problem) {
	w.Request.Without = f.without()
	shard, owners := f.shardAndOwners(w)
	repeats := f.Repeats(w.Service)
	for _, owner := range owners {
		if owner == f.o.Instance {
			repeats = shard.repeats
			break
		}
		l, problem, err := f.ask(ctx, owner, shard, w)
		switch {
		case err == nil:
			return l, problem
		case ctx.Err() != nil:
			return nil, pool.EndedWaiting(ctx)
		}
		f.distrust(owner, w.ID, err)
	}
	if len(owners) == 0 {
		repeats = shard.repeats // there is nobody else
	}
	if problem := charge(repeats, w.Ask); problem != nil {
		return nil, problem
	}
	w.Request.Chain = prefix.ChainOf(w.Parts)
	w.Request.Zone = f.o.Zone
	w.Request.Region = f.o.Regions[f.o.Zone]
	grant, problem := shard.pool.Acquire(ctx, w.Request)
	if problem != nil {
		f.noteShort(w.Service)
		refund(repeats, w.Ask)
		return nil, problem
	}
	return &ownLease{shard: shard, grant: grant, listVersion: f.listVersion()}, nil
}

// charge takes what an attempt costs of a budget of repeats, or adds what it earns.
func charge(repeats *retrybudget.Budget, ask peer.AttemptKind) *api.Problem {
	switch {
	case ask == peer.FirstAttempt:
		repeats.Deposit()
	case ask == peer.RetryAttempt && !repeats.Withdraw():
		return api.Refuse(api.ReasonRetryBudget, "as many requests are sent again to the service as may be; come back after the time given").WithRetryAfter(ComeBackSoon)
	}
	return nil
}

// refund gives back what was paid for an attempt that isn't made.
func refund(repeats *retrybudget.Budget, ask peer.AttemptKind) {
	if ask == peer.RetryAttempt {
		repeats.Return()
	}
}

// shardAndOwners returns a shard and who schedules it; no owner means this instance.
func (f *Fleet) shardAndOwners(w *Want) (*shard, []string) {
	f.mu.Lock()
	shard := f.serviceOf(w.Service).drawShard(time.Now())
	f.mu.Unlock()
	if f.slots == nil {
		return shard, nil
	}
	return shard, f.ownersOf(shardKey{service: w.Service, index: shard.index})
}

// ownersOf returns the instances to ask for what is in a shard, in order; none means this
// one.
func (f *Fleet) ownersOf(k shardKey) []string {
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	if len(instances) == 1 {
		return nil
	}
	owners := f.owners.of(k, instances, time.Now())
	if len(owners) > 0 && f.owners.changed(k, owners[0]) {
		f.o.Log.Info().Str("event", "shard_owner").Str("service", k.service).Int("shard", k.index).
			Str("owner", owners[0]).Int("instances", len(instances)).Msg("")
	}
	return owners
}

// distrust notes that an owner couldn't be asked.
func (f *Fleet) distrust(owner, id string, err error) {
	f.o.Metrics.Count("tacktally_slot_requests_undecided_total")
	f.o.Log.Warn().Str("event", "owner_silent").Str("request", id).Str("owner", owner).Str("cause", err.Error()).Msg("")
	f.owners.distrust(owner, time.Now())
}

// ask asks the owner of a shard for a slot. The error says that it didn't decide.
func (f *Fleet) ask(ctx context.Context, owner string, s *shard, w *Want) (Lease, *api.Problem, error) {
	slot, refusal, err := f.slots.AcquireSlot(ctx, owner, f.slotRequest(time.Now(), s, w), ackWithin)
	switch {
	case err != nil:
		return nil, nil, err
	case refusal != nil && api.Reason(refusal.Reason) == api.ReasonRetryBudget:
		return nil, problemOf(refusal), nil
	case refusal != nil:
		f.noteShort(w.Service)
		return nil, problemOf(refusal), nil
	case slot.Queued:
		f.noteShort(w.Service)
	}
	s.pool.Adopt(slot.Grant.Upstream, ratesOf(slot.Grant))
	l := &peerLease{owner: owner, grant: slot.Grant, slot: slot, all: &f.leases}
	f.leases.add(l)
	return l, nil, nil
}

// ratesOf is what a grant tells of its upstream's speed.
func ratesOf(g peer.SlotGrant) estimate.Rates {
	return estimate.Rates{Prefill: float64(g.PrefillRate), Interval: time.Duration(g.IntervalMicros) * time.Microsecond}
}

func (f *Fleet) slotRequest(now time.Time, s *shard, w *Want) *peer.SlotRequest {
	r := w.Request
	out := &peer.SlotRequest{
		Service:          s.service,
		Shard:            s.index,
		ID:               w.ID,
		Digest:           w.Key.Digest,
		Rank:             r.Rank,
		Organisation:     r.Organisation,
		Age:              now.Sub(r.Arrived),
		Timeout:          r.Deadline.Sub(now),
		MaxWait:          r.Patience,
		LatencyObjective: r.Aim,
		PromptTokens:     r.Prompt,
		MaxOutput:        r.Output,
		ExpectedOutput:   r.Expected,
		Bytes:            r.Bytes,
		Exclude:          r.Exclude,
		Unavailable:      r.Without,
		Attempt:          w.Ask,
		Limits:           f.limitsToTell(s.service),
		Zone:             f.o.Zone,
		Restricted:       r.Homes.Bound,
		Regions:          r.Homes.Regions,
	}
	for _, p := range w.Parts {
		out.Segments = append(out.Segments, peer.PromptSegment{PrefixHash: p.Sum, Tokens: p.Tokens})
	}
	return out
}

// requestOf turns a peer's request into the scheduler's.
func requestOf(now time.Time, r *peer.SlotRequest) *scheduler.Request {
	var parts []prefix.Part
	for _, p := range r.Segments {
		parts = append(parts, prefix.Part{Sum: p.PrefixHash, Tokens: p.Tokens})
	}
	return &scheduler.Request{
		Rank:         r.Rank,
		Organisation: r.Organisation,
		Share:        1,
		Arrived:      now.Add(-r.Age),
		Deadline:     now.Add(r.Timeout),
		Patience:     r.MaxWait,
		Aim:          r.LatencyObjective,
		LateIsWorth:  true,
		Prompt:       r.PromptTokens,
		Output:       r.MaxOutput,
		Expected:     r.ExpectedOutput,
		Chain:        prefix.ChainOf(parts),
		Bytes:        r.Bytes,
		Exclude:      r.Exclude,
		Without:      r.Unavailable,
		Zone:         r.Zone,
		Homes:        scheduler.Homes{Bound: r.Restricted, Regions: r.Regions},
	}
}

func problemOf(r *peer.SlotRefusal) *api.Problem {
	return api.Refuse(api.Reason(r.Reason), "%s", r.Detail).WithRetryAfter(r.RetryAfter)
}

// ServeSlot decides on a slot that a peer asks for, as the peer's own scheduler would,
// and blocks until it is given back or ctx ends. Whoever is asked decides: only the one
// that asks has to believe that this instance owns the shard.
func (f *Fleet) ServeSlot(ctx context.Context, r *peer.SlotRequest, s *peer.SlotStream) {
	if left := f.o.Quarantine.Held(time.Now(), quarantine.Key{Organisation: r.Organisation, Digest: r.Digest}); left > 0 {
		p := quarantine.Refusal(left) // the peer hasn't heard of it yet
		err := s.SendRefusal(ctx, peer.SlotRefusal{Reason: string(p.Reason), Detail: p.Detail, RetryAfter: p.RetryAfter})
		f.logSlot(r, s.Peer, "refused", string(p.Reason), err)
		return
	}
	f.LearnLimits(s.Peer, r.Limits)
	shard := f.shardAt(r.Service, r.Shard)
	if p := charge(shard.repeats, r.Attempt); p != nil {
		err := s.SendRefusal(ctx, peer.SlotRefusal{Reason: string(p.Reason), Detail: p.Detail, RetryAfter: p.RetryAfter})
		f.logSlot(r, s.Peer, "refused", string(p.Reason), err)
		return
	}
	request := requestOf(time.Now(), r)
	request.Region = f.o.Regions[r.Zone]
	waiting := shard.pool.Submit(request)
	turn, decided := waiting.Decided()
	if !decided {
		s.SendQueued()
		turn = waiting.Wait(ctx)
	}
	if turn.Problem != nil {
		refund(shard.repeats, r.Attempt)
		p := turn.Problem
		err := s.SendRefusal(ctx, peer.SlotRefusal{Reason: string(p.Reason), Detail: p.Detail, RetryAfter: p.RetryAfter})
		f.logSlot(r, s.Peer, "refused", string(p.Reason), err)
		return
	}
	ending, output := f.serveGrant(ctx, shard, r, s, turn.Grant)
	shard.pool.End(turn.Grant, ending, output)
}

// serveGrant tells the peer its slot and returns how the request ended.
func (f *Fleet) serveGrant(ctx context.Context, sh *shard, r *peer.SlotRequest, s *peer.SlotStream, g *scheduler.Grant) (scheduler.Ending, int) {
	err := s.SendGrant(ctx, peer.SlotGrant{
		Upstream:            g.Upstream.ID,
		PredictedFirstToken: g.Predicted(),
		Running:             g.Running,
		Limited:             g.Limited,
		ListVersion:         f.listVersion(),
		PrefillRate:         int(g.Rates.Prefill),
		IntervalMicros:      int(g.Rates.Interval.Microseconds()),
	})
	f.logSlot(r, s.Peer, "granted", g.Upstream.ID, err)
	for err == nil {
		var release *peer.SlotRelease
		release, err = s.Next(ctx)
		switch {
		case err != nil:
		case release == nil:
			sh.pool.FirstToken(g)
		case scheduler.Ending(release.Result).IsKnown():
			return scheduler.Ending(release.Result), release.Output
		default:
			return scheduler.Cancelled, 0 // a peer of a newer version
		}
	}
	return scheduler.Cancelled, 0
}

func (f *Fleet) logSlot(r *peer.SlotRequest, asking, decision, why string, err error) {
	line := f.o.Log.Debug().Str("event", "slot").Str("request", r.ID).Str("peer", asking).Str("decision", decision).Str("why", why)
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Msg("")
}

// shardAt returns a shard of a service. Where the peer sees more shards than there are
// here, its list is another one, and any shard will do.
func (f *Fleet) shardAt(service string, index int) *shard {
	f.mu.Lock()
	defer f.mu.Unlock()
	shards := f.serviceOf(service).shards
	return shards[index%len(shards)]
}
