package fleet

import (
	"context"
	"strings"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/estimate"
	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/pool"
	"github.com/tacktally/tacktally/internal/prefix"
	"github.com/tacktally/tacktally/internal/processor"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// SlotClient requests slots from other instances. *peer.Mesh implements it.
type SlotClient interface {
	AcquireSlot(ctx context.Context, address string, r *peer.SlotRequest, ackTimeout time.Duration) (*peer.Slot, *peer.SlotRefusal, error)
	// FleetSize returns the number of instances in the fleet as far as known, or 0 if this instance has
	// peers but has received nothing from any of them yet.
	FleetSize() int
}

// SetSlotClient sets the client for slot requests to other instances. It is called once, before the first
// request.
func (f *Fleet) SetSlotClient(s SlotClient) { f.slots = s }

// AcquireRequest is a request for a slot.
type AcquireRequest struct {
	ID       string // of the request, for logs
	Identity quarantine.Request
	Service  string
	Request  *scheduler.Request
	Segments []prefix.Segment // of the prompt, in order
	Attempt  peer.AttemptKind
}

// Acquire blocks until the request gets a slot, is refused, or ctx ends.
func (f *Fleet) Acquire(ctx context.Context, req *AcquireRequest) (Grant, *api.Problem) {
	req.Request.ExcludedUpstreams = f.excludedUpstreams()
	shard, owners := f.shardAndOwners(req)
	for _, owner := range owners {
		if owner == f.o.Instance {
			break
		}
		g, problem, err := f.requestSlot(ctx, owner, shard, req)
		switch {
		case err == nil:
			return g, problem
		case ctx.Err() != nil:
			return nil, pool.WaitEndedProblem(ctx)
		}
		f.markUnresponsive(owner, req.ID, err)
	}
	shard.recordOngoingSilence(req.Request)
	retryBudget, problem := f.chargeByRole(shard, req.Attempt)
	if problem != nil {
		return nil, problem
	}
	req.Request.PrefixHashes = prefix.SegmentHashes(req.Segments)
	req.Request.Digest = req.Identity.Digest
	req.Request.Zone = f.o.Zone
	req.Request.Region = f.o.Regions[f.o.Zone]
	shard.pool.LearnBrittle(f.brittleOf(req.Service))
	grant, problem := shard.pool.Acquire(ctx, req.Request)
	if problem != nil {
		f.spreadRequests(req.Service)
		refund(retryBudget, req.Attempt)
		return nil, problem
	}
	return &localGrant{fleet: f, shard: shard, grant: grant, listVersion: f.listVersion(), retryBudget: retryBudget, attempt: req.Attempt}, nil
}

// charge withdraws a retry from the budget, or deposits a first attempt.
func charge(retryBudget *retrybudget.Budget, attempt peer.AttemptKind) *api.Problem {
	switch {
	case attempt == peer.FirstAttempt:
		retryBudget.Deposit()
	case attempt == peer.RetryAttempt && !retryBudget.Withdraw():
		return api.Refuse(api.ReasonRetryBudget, "the retry budget of the service is exhausted; retry after the given time").WithRetryAfter(ShortRetryAfter)
	}
	return nil
}

// refund returns the withdrawal for an attempt that isn't made.
func refund(retryBudget *retrybudget.Budget, attempt peer.AttemptKind) {
	if attempt == peer.RetryAttempt {
		retryBudget.Return()
	}
}

// chargeByRole charges the budget that belongs to this instance's role at a shard, and returns it.
func (f *Fleet) chargeByRole(s *shard, attempt peer.AttemptKind) (*retrybudget.Budget, *api.Problem) {
	f.mu.Lock()
	instances, service := f.instances, f.serviceOf(s.service)
	f.mu.Unlock()
	role, budget := f.takeRole(s, instances), service.retryBudget
	switch {
	case f.knowsNoPeer(instances):
		budget = retrybudget.New(retrybudget.Options{})
	case role == roleOwner:
		budget = s.retryBudget
	case role == roleStandby:
		budget = s.standbyRetryBudget
	}
	problem := charge(budget, attempt)
	if problem == nil && attempt == peer.RetryAttempt {
		f.o.Metrics.Count(`tacktally_retries_charged_total{role="` + role.String() + `"}`)
	}
	return budget, problem
}

// takeRole returns the role of this instance at a shard. A budget begins empty each time its role is taken, and after
// a pause: another instance may have used it up meanwhile.
func (f *Fleet) takeRole(s *shard, instances []Instance) role {
	f.detectPause()
	now := f.owners.roleOf(shardKey{service: s.service, index: s.index}, instances, f.o.Instance)
	term := uint64(f.pauses.count.Load())<<8 | uint64(now)
	if s.term.Swap(term) == term {
		return now
	}
	switch now {
	case roleOwner:
		s.retryBudget.Empty()
	case roleStandby:
		s.standbyRetryBudget.Empty()
	}
	return now
}

// recordOngoingSilence records the silence of the upstream that a request still waits for, if it is one of the shard.
func (s *shard) recordOngoingSilence(r *scheduler.Request) {
	if r.SilentFor > 0 {
		s.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
			return core.RecordOngoingSilence(now, r.FailedUpstream, r.SilentFor)
		})
	}
}

// shardAndOwners returns a shard and the instances to request a slot from, in order; none means that this
// instance decides.
func (f *Fleet) shardAndOwners(req *AcquireRequest) (*shard, []string) {
	f.mu.Lock()
	shard := f.serviceOf(req.Service).selectShard(time.Now())
	if silent := f.upstreams[req.Request.FailedUpstream]; silent != nil && silent.Service == req.Service && req.Request.SilentFor > 0 {
		shard = silent.shard // whose owner is told of the silence
	}
	f.mu.Unlock()
	if f.slots == nil {
		return shard, nil
	}
	k := shardKey{service: req.Service, index: shard.index}
	if req.Attempt == peer.RetryAttempt {
		return shard, f.ownerAndStandbyOf(k) // the owner has the budget, even if it was silent lately
	}
	return shard, f.ownersOf(k)
}

// ownersOf returns the instances that may own a shard or group, in the order in which to send requests to
// them; none means this instance.
func (f *Fleet) ownersOf(k shardKey) []string {
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	if len(instances) == 1 {
		return nil
	}
	owners := f.owners.candidates(k, instances, time.Now())
	if len(owners) > 0 && f.owners.recordOwner(k, owners[0]) {
		f.o.Log.Info().Str("event", "shard_owner").Str("service", k.service).Int("shard", k.index).
			Str("owner", owners[0]).Int("instances", len(instances)).Msg("")
	}
	return owners
}

// ownerAndStandbyOf returns the owner of a shard or group and its standby, whether or not they have replied lately; none
// means this instance.
func (f *Fleet) ownerAndStandbyOf(k shardKey) []string {
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	if len(instances) == 1 {
		return nil
	}
	return f.owners.firstCandidates(k, instances)
}

// bucketRole returns the ownership of a group of buckets, and the role of this instance.
func (f *Fleet) bucketRole(group int) (groupOwner, role) {
	f.detectPause()
	held := f.buckets.group(group)
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	switch {
	case f.knowsNoPeer(instances):
		return held, roleOther
	case len(instances) == 1 && instances[0].Settled:
		return held, roleOwner
	default:
		return held, held.roleOf(f.o.Instance)
	}
}

// knowsNoPeer reports whether this instance is one of a fleet of which it knows no other: it has started and
// reaches none. There may be any number of instances, and many in this situation.
func (f *Fleet) knowsNoPeer(instances []Instance) bool {
	return len(instances) == 1 && f.slots != nil && f.slots.FleetSize() != 1
}

// markUnresponsive records that an owner didn't decide on a request, and logs the cause.
func (f *Fleet) markUnresponsive(owner, id string, err error) {
	f.o.Metrics.Count("tacktally_slot_requests_undecided_total")
	own := f.processorLoad()
	f.o.Log.Warn().Str("event", "owner_silent").Str("request", id).Str("owner", owner).Str("cause", err.Error()).
		Float64("own_utilization", own.Utilization).Dur("own_stall", own.Stall).Msg("")
	f.owners.markUnresponsive(owner, time.Now())
}

// processorLoad returns how much of its processor time this process has used; the zero value if that isn't known.
func (f *Fleet) processorLoad() processor.Load {
	if f.o.ProcessorLoad == nil {
		return processor.Load{}
	}
	return f.o.ProcessorLoad()
}

// ackTimeout returns how long an owner may take to acknowledge a request at present.
func (f *Fleet) ackTimeout() time.Duration {
	if f.processorLoad().Saturated() {
		return saturatedAckTimeout
	}
	return ackTimeout
}

// requestSlot requests a slot from the owner of a shard. An error means that the owner didn't decide.
func (f *Fleet) requestSlot(ctx context.Context, owner string, s *shard, req *AcquireRequest) (Grant, *api.Problem, error) {
	slot, refusal, err := f.slots.AcquireSlot(ctx, owner, f.slotRequest(time.Now(), s, req), f.ackTimeout())
	switch {
	case err != nil:
		return nil, nil, err
	case refusal != nil && api.Reason(refusal.Reason) == api.ReasonRetryBudget:
		return nil, problemOf(refusal), nil
	case refusal != nil:
		f.spreadRequests(req.Service)
		return nil, problemOf(refusal), nil
	case slot.Queued:
		f.spreadRequests(req.Service)
	}
	s.pool.AdoptRates(slot.Grant.Upstream, ratesOf(slot.Grant))
	g := &peerGrant{owner: owner, slotGrant: slot.Grant, slot: slot, tracked: &f.peerGrants}
	f.peerGrants.add(g)
	return g, nil, nil
}

// ratesOf returns the speed of an upstream that a grant reports.
func ratesOf(g peer.SlotGrant) estimate.Rates {
	return estimate.Rates{Prefill: float64(g.PrefillRate), Interval: time.Duration(g.IntervalMicros) * time.Microsecond}
}

func (f *Fleet) slotRequest(now time.Time, s *shard, req *AcquireRequest) *peer.SlotRequest {
	r := req.Request
	out := &peer.SlotRequest{
		Service:           s.service,
		Shard:             s.index,
		ID:                strings.ToValidUTF8(req.ID, "\ufffd"), // peers of earlier versions refuse other text
		Digest:            req.Identity.Digest,
		Rank:              r.Rank,
		Organisation:      r.Organisation,
		Age:               now.Sub(r.Arrived),
		Timeout:           r.Deadline.Sub(now),
		MaxWait:           r.MaxWait,
		LatencyObjective:  r.LatencyObjective,
		PromptTokens:      r.PromptTokens,
		MaxOutput:         r.MaxOutput,
		ExpectedOutput:    r.ExpectedOutput,
		Bytes:             r.Bytes,
		FailedUpstream:    r.FailedUpstream,
		ExcludedUpstreams: r.ExcludedUpstreams,
		Attempt:           req.Attempt,
		Limits:            f.limitsForOwner(s.service),
		Brittle:           f.brittleOf(s.service),
		Zone:              f.o.Zone,
		Restricted:        r.RegionConstraint.Restricted,
		Regions:           r.RegionConstraint.Regions,
		RestrictedVersion: r.VersionConstraint.Restricted,
		Version:           r.VersionConstraint.Version,
		SilentFor:         r.SilentFor,
	}
	for _, p := range req.Segments {
		out.Segments = append(out.Segments, peer.PromptSegment{PrefixHash: p.Hash, Tokens: p.Tokens, ID: p.ID})
	}
	return out
}

// segmentsOf returns the segments of the prompt in a slot request of a peer.
func segmentsOf(r *peer.SlotRequest) (segments []prefix.Segment) {
	for _, p := range r.Segments {
		segments = append(segments, prefix.Segment{ID: p.ID, Hash: p.PrefixHash, Tokens: p.Tokens})
	}
	return segments
}

// identityOf returns what a peer's slot request is known by in crash evidence.
func identityOf(r *peer.SlotRequest) quarantine.Request {
	return quarantine.RequestOf(quarantine.Key{Organisation: r.Organisation, Digest: r.Digest}, segmentsOf(r))
}

// schedulerRequest converts a slot request of a peer to one of the scheduler.
func schedulerRequest(now time.Time, r *peer.SlotRequest) *scheduler.Request {
	return &scheduler.Request{
		Rank:              r.Rank,
		Organisation:      r.Organisation,
		Share:             1,
		Arrived:           now.Add(-r.Age),
		Deadline:          now.Add(r.Timeout),
		MaxWait:           r.MaxWait,
		LatencyObjective:  r.LatencyObjective,
		AllowLate:         true,
		PromptTokens:      r.PromptTokens,
		MaxOutput:         r.MaxOutput,
		ExpectedOutput:    r.ExpectedOutput,
		PrefixHashes:      prefix.SegmentHashes(segmentsOf(r)),
		Bytes:             r.Bytes,
		Digest:            r.Digest,
		FailedUpstream:    r.FailedUpstream,
		SilentFor:         r.SilentFor,
		ExcludedUpstreams: r.ExcludedUpstreams,
		Zone:              r.Zone,
		RegionConstraint:  scheduler.RegionConstraint{Restricted: r.Restricted, Regions: r.Regions},
		VersionConstraint: scheduler.VersionConstraint{Restricted: r.RestrictedVersion, Version: r.Version},
	}
}

func problemOf(r *peer.SlotRefusal) *api.Problem {
	return api.Refuse(api.Reason(r.Reason), "%s", r.Detail).WithRetryAfter(r.RetryAfter)
}

// ServeSlot decides on a slot that a peer requests, as the peer's own scheduler would, and blocks until
// the slot is released or ctx ends. It doesn't check whether this instance owns the shard: only the
// requester has to believe so.
func (f *Fleet) ServeSlot(ctx context.Context, r *peer.SlotRequest, s *peer.SlotStream) {
	identity := identityOf(r)
	if left := f.o.Quarantine.Remaining(time.Now(), identity); left > 0 {
		p := f.o.Quarantine.Refusal(identity, left) // the peer has not received the quarantine record yet
		err := s.SendRefusal(ctx, peer.SlotRefusal{Reason: string(p.Reason), Detail: p.Detail, RetryAfter: p.RetryAfter})
		f.logSlot(r, s.Peer, "refused", string(p.Reason), err)
		return
	}
	f.MergeLimits(s.Peer, r.Limits)
	shard := f.shardAt(r.Service, r.Shard)
	request := schedulerRequest(time.Now(), r)
	shard.recordOngoingSilence(request)
	retryBudget, p := f.chargeByRole(shard, r.Attempt)
	if p != nil {
		err := s.SendRefusal(ctx, peer.SlotRefusal{Reason: string(p.Reason), Detail: p.Detail, RetryAfter: p.RetryAfter})
		f.logSlot(r, s.Peer, "refused", string(p.Reason), err)
		return
	}
	request.Region = f.o.Regions[r.Zone]
	shard.pool.LearnBrittle(r.Brittle)
	waiting := shard.pool.Submit(request)
	decision, decided := waiting.TryWait()
	if !decided {
		s.SendQueued()
		decision = waiting.Wait(ctx)
	}
	if decision.Problem != nil {
		refund(retryBudget, r.Attempt)
		p := decision.Problem
		err := s.SendRefusal(ctx, peer.SlotRefusal{Reason: string(p.Reason), Detail: p.Detail, RetryAfter: p.RetryAfter})
		f.logSlot(r, s.Peer, "refused", string(p.Reason), err)
		return
	}
	end := f.serveGrant(ctx, shard, r, s, decision.Grant)
	f.endGrant(shard, decision.Grant, s.Peer, end.result, end.output)
	if end.result == scheduler.Unused {
		refund(retryBudget, r.Attempt)
	}
	f.recordLoad(shard, decision.Grant, end.load)
}

// slotEnd is how a request ended whose slot a peer held, with the load report of a response that had no
// first token.
type slotEnd struct {
	result scheduler.Result
	output int
	load   loadreport.Report
}

// serveGrant sends the grant to the peer, waits for the release of the slot, and returns how the request
// ended.
func (f *Fleet) serveGrant(ctx context.Context, sh *shard, r *peer.SlotRequest, s *peer.SlotStream, g *scheduler.Grant) slotEnd {
	err := s.SendGrant(ctx, peer.SlotGrant{
		Upstream:            g.Upstream.ID,
		PredictedFirstToken: g.PredictedFirstToken(),
		Running:             g.Running,
		Limited:             g.Limited,
		ListVersion:         f.listVersion(),
		PrefillRate:         int(g.Rates.Prefill),
		IntervalMicros:      int(g.Rates.Interval.Microseconds()),
	})
	f.logSlot(r, s.Peer, "granted", g.Upstream.ID, err)
	for err == nil {
		var event peer.SlotEvent
		event, err = s.Next(ctx)
		switch release := event.Release; {
		case err != nil:
		case release == nil:
			f.recordLoad(sh, g, event.Load)
			sh.pool.RecordFirstToken(g)
		case scheduler.Result(release.Result).IsKnown():
			return slotEnd{result: scheduler.Result(release.Result), output: release.Output, load: event.Load}
		default:
			return slotEnd{result: scheduler.Cancelled} // sent by a peer of a newer version
		}
	}
	return slotEnd{result: scheduler.Cancelled}
}

func (f *Fleet) logSlot(r *peer.SlotRequest, requester, decision, why string, err error) {
	line := f.o.Log.Debug().Str("event", "slot").Str("request", r.ID).Str("peer", requester).Str("decision", decision).Str("why", why)
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Msg("")
}

// shardAt returns a shard of a service. If the peer has more shards than this instance, its list is a
// different one, and any shard may be used.
func (f *Fleet) shardAt(service string, index int) *shard {
	f.mu.Lock()
	defer f.mu.Unlock()
	shards := f.serviceOf(service).shards
	return shards[index%len(shards)]
}
