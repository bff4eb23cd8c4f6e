package fleet

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/quota"
	"github.com/tacktally/tacktally/internal/routing"
)

// QuotaClient requests tokens from other instances. *peer.Mesh implements it.
type QuotaClient interface {
	TakeQuota(ctx context.Context, address string, r *peer.QuotaRequest, within time.Duration, late func(*peer.QuotaReply)) (*peer.QuotaReply, error)
	ReturnQuota(address string, r *peer.QuotaReturn)
	// LeaseBuckets requests leases of groups of buckets and returns those that are granted.
	LeaseBuckets(ctx context.Context, address string, groups []int, within time.Duration) (granted []int, err error)
	// FleetSize returns the number of instances in the fleet as far as known, or 0 if this instance has
	// peers but has received nothing from any of them yet.
	FleetSize() int
}

// Quotas limits what each organisation uses over all instances. One instance, computed in the same way as
// the owner of a shard, keeps the organisation's bucket, and the others request tokens from it. While the owner
// and the standby don't hear from each other, each grants half (leases.go). To a requester that doesn't hear from
// the owner, the standby grants from a part of the allowance, and an instance that hears from neither has a small
// part for itself. In a network partition each side has an owner, which grants the share of its side. It is safe
// for concurrent use.
type Quotas struct {
	startupLimiter *quota.Limiter // used until this instance has settled
	aloneLimiter   *quota.Limiter // used where this instance is neither owner nor standby
	allowed        Allowance
	fleet          *Fleet
	peers          QuotaClient // nil without peers
	leases         bucketLeases

	mu     sync.Mutex
	groups [quotaGroups]groupBuckets
}

// groupBuckets are the buckets that this instance keeps of a group. They are replaced when it takes the role again.
type groupBuckets struct {
	owned   heldBuckets // as the owner
	acting  heldBuckets // as the standby that doesn't hear from the owner
	standby heldBuckets // as the standby, part of the allowance
}

// heldBuckets are buckets that are held since a time.
type heldBuckets struct {
	limiter *quota.Limiter // nil before the first use
	since   time.Time
}

// Allowance is what an organisation may use beyond its quota in any Window: Share of the quota, plus
// Tokens.
type Allowance struct {
	Share  float64
	Tokens float64
	Window time.Duration
}

const (
	// grantedAllowanceShare is the share of the allowance by which rates are raised. A request that is
	// refused although the allowance permits it is lost to its caller.
	grantedAllowanceShare = 0.35
	// standbyAllowanceShare is the share that the standby may grant in a window, and aloneAllowanceShare what
	// all other instances together may: half at once, the other half refilled over the window. What is left
	// covers what instances grant while they start, the initial level of buckets, and retries.
	standbyAllowanceShare = 0.3
	aloneAllowanceShare   = 0.1
	// minStandbyTime is how long the quota takes to fill what a standby may grant in a window at least, where
	// the allowance is smaller.
	minStandbyTime = 600 * time.Millisecond
	// defaultWindow is used where an Allowance has no Window.
	defaultWindow = 8 * time.Second
)

// raisedRate returns the rate at which an organisation's bucket fills, with the allowance included. The
// tokens of the allowance don't apply to organisations whose quota counts requests.
func (a Allowance) raisedRate(o *routing.Organisation) float64 {
	rate := o.TokensPerSecond * (1 + grantedAllowanceShare*a.Share)
	if o.CountsRequests || a.Window == 0 {
		return rate
	}
	return rate + grantedAllowanceShare*a.Tokens/a.Window.Seconds()
}

// perWindow returns the tokens of the allowance in a window.
func (a Allowance) perWindow(o *routing.Organisation) float64 {
	tokens := a.Share * o.TokensPerSecond * a.Window.Seconds()
	if o.CountsRequests {
		return tokens
	}
	return tokens + a.Tokens
}

// limitPerWindow returns a limit that grants n tokens in any window: half at once, the other half refilled.
func (a Allowance) limitPerWindow(n float64) quota.Limit {
	window := cmp.Or(a.Window, defaultWindow)
	return quota.Limit{Rate: n / 2 / window.Seconds(), Burst: n / 2}
}

// NewQuotas returns the quotas of an instance that was started at the given time.
func NewQuotas(started time.Time, allowed Allowance, fleet *Fleet) *Quotas {
	return &Quotas{startupLimiter: quota.New(started.Add(startupDelay)), aloneLimiter: quota.New(started), allowed: allowed, fleet: fleet}
}

// SetClient sets the client for token requests to other instances. It is called once, before the first
// request.
func (q *Quotas) SetClient(p QuotaClient) { q.peers = p }

// TokenGrant is a number of tokens taken, and the instance that granted them.
type TokenGrant struct {
	// Count is the number of tokens.
	Count int
	// Owner is the granting instance, empty for this one.
	Owner string

	organisation string
	limiter      *quota.Limiter // that granted them on this instance, nil for another instance
}

// quotaGroups is the number of groups that buckets are divided into. One instance keeps all buckets of a
// group, so that the others need links to at most quotaGroups instances, however many organisations there
// are; an owner among 300 instances that serve 1,200 requests per second handles 150 token requests per
// second.
const quotaGroups = 8

// quotaGroup returns the group that an organisation's bucket is in.
func quotaGroup(organisation string) int {
	return int(xxhash.Sum64String(organisation) % quotaGroups)
}

// quotaKey returns the key of the group that an organisation's bucket is in.
func quotaKey(organisation string) shardKey { return bucketsKey(quotaGroup(organisation)) }

// bucketsKey returns the key of a group of buckets. No service has the name that it uses.
func bucketsKey(group int) shardKey {
	return shardKey{service: "buckets of organisations", index: group, settledOnly: true}
}

// reserveFactor determines what a request has to leave in the bucket of its organisation for more
// important requests: reserveFactor times its own tokens for each rank below the first. While the
// organisation exceeds its quota, requests of the first rank still get tokens, and so do small requests
// of other ranks.
const reserveFactor = 4

// reserve returns how many tokens a request has to leave in the bucket.
func reserve(tokens, rank int) float64 { return float64(reserveFactor * rank * tokens) }

// Take takes n tokens of an organisation for a request of the given rank, or returns the time after which
// to retry. It blocks until the owner of the bucket has replied, or others have decided in its place.
func (q *Quotas) Take(ctx context.Context, id string, o *routing.Organisation, n, rank int) (taken *TokenGrant, wait time.Duration) {
	r := &peer.QuotaRequest{
		Organisation: o.Name, Rate: q.allowed.raisedRate(o), Burst: o.BurstTokens, Tokens: n,
		Reserve: reserve(n, rank), Allowance: q.allowed.perWindow(o),
	}
	candidates := q.candidates(o.Name)
	if len(candidates) == 0 {
		return q.takeLocal(r)
	}
	decision := &quotaDecision{late: make(chan *TokenGrant, 1), quotas: q}
	defer decision.end()
	passedOver := q.fleet.owners.isUnresponsive(candidates[0], time.Now())
	for _, candidate := range candidates {
		if q.fleet.owners.isUnresponsive(candidate, time.Now()) {
			continue
		}
		reply, err := q.takeFrom(ctx, candidate, id, r, decision)
		decision.expected = decision.expected || errors.Is(err, peer.ErrNoReply)
		if ctx.Err() != nil || (err == nil && (reply.taken != nil || !reply.partial)) {
			return reply.taken, reply.wait
		}
	}
	if !slices.Contains(candidates, q.fleet.o.Instance) {
		if taken, _ := q.takeLocal(r); taken != nil {
			return taken, 0
		}
	}
	if passedOver { // the owner may reply again, and grants most
		if reply, err := q.takeFrom(ctx, candidates[0], id, r, decision); err == nil {
			return reply.taken, reply.wait
		}
	}
	return decision.await(ctx), ShortRetryAfter
}

// quotaReply is what one of the instances that keep a bucket has decided.
type quotaReply struct {
	taken   *TokenGrant // nil if it refused
	wait    time.Duration
	partial bool // it doesn't grant the whole quota at present
}

// takeFrom takes tokens from one of the instances that keep a bucket. An error means that it didn't reply in time.
func (q *Quotas) takeFrom(ctx context.Context, candidate, id string, r *peer.QuotaRequest, d *quotaDecision) (quotaReply, error) {
	if candidate == q.fleet.o.Instance {
		g := q.grant(r)
		return quotaReply{taken: g.localTokens(r), wait: g.wait, partial: g.partial}, nil
	}
	granted := &TokenGrant{organisation: r.Organisation, Count: r.Tokens, Owner: candidate}
	reply, err := q.peers.TakeQuota(ctx, candidate, r, q.fleet.ackTimeout(), func(late *peer.QuotaReply) {
		q.fleet.owners.markResponsive(candidate)
		if late.Granted {
			d.grantLate(granted)
		}
	})
	switch {
	case err == nil && reply.Granted:
		return quotaReply{taken: granted}, nil
	case err == nil:
		return quotaReply{wait: reply.Wait, partial: reply.Partial}, nil
	case ctx.Err() == nil: // otherwise the caller has disconnected
		q.fleet.markUnresponsive(candidate, id, err)
	}
	return quotaReply{wait: ShortRetryAfter}, err
}

// quotaDecision is a decision on a request, to which replies may still come that were not in time.
type quotaDecision struct {
	quotas *Quotas
	late   chan *TokenGrant

	expected bool // whether a reply may still come

	mu    sync.Mutex
	ended bool
}

// lateReplyWait is how long a request that nobody else grants waits for a late reply.
const lateReplyWait = 2 * ackTimeout

// grantLate takes tokens that were granted late, or returns them once the request has been decided.
func (d *quotaDecision) grantLate(t *TokenGrant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ended {
		select {
		case d.late <- t:
			return
		default: // of another one
		}
	}
	d.quotas.Return(t)
}

// await blocks until tokens are granted late, at most for lateReplyWait, and returns nil otherwise.
func (d *quotaDecision) await(ctx context.Context) *TokenGrant {
	if !d.expected {
		return nil
	}
	timer := time.NewTimer(lateReplyWait)
	defer timer.Stop()
	select {
	case t := <-d.late:
		return t
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// end returns tokens that were granted late and not taken.
func (d *quotaDecision) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	select {
	case t := <-d.late:
		d.quotas.Return(t)
	default:
	}
}

// ShortRetryAfter is the retry delay for refusals that may be temporary: another instance may serve the
// request at once.
const ShortRetryAfter = 200 * time.Millisecond

const (
	// startupRateFactor is what an instance grants until it has settled, relative to its share of the
	// rate: callers whose connections were lost all retry at once. The instance doesn't know earlier
	// usage. The allowance leaves about one second of the rate, plus what was unused while the fleet was
	// down, for each of two starts within a window; grants during startup and from buckets that are taken
	// over use about that much.
	startupRateFactor = 1.6
	// startupDebtSeconds is the debt, in seconds of the rate, that all starting instances may run into
	// together.
	startupDebtSeconds = 0.2
	// startupDelay is how long after its start an instance grants nothing on its own: until its seeds
	// have reported the number of instances.
	startupDelay = 50 * time.Millisecond
)

// quotaGrant is what this instance has decided by itself on a request for tokens.
type quotaGrant struct {
	by      *quota.Limiter // that granted it, nil if it is refused
	wait    time.Duration  // after which to retry if it is refused
	partial bool           // this instance doesn't grant the whole quota at present
}

// localTokens returns the tokens that were granted to a request of this instance, nil if it was refused.
func (g quotaGrant) localTokens(r *peer.QuotaRequest) *TokenGrant {
	if g.by == nil {
		return nil
	}
	return &TokenGrant{organisation: r.Organisation, Count: r.Tokens, limiter: g.by}
}

// takeLocal takes tokens that this instance may grant on its own, by its role.
func (q *Quotas) takeLocal(r *peer.QuotaRequest) (*TokenGrant, time.Duration) {
	g := q.grant(r)
	return g.localTokens(r), g.wait
}

// candidates returns the instances that keep the bucket of an organisation, the owner first; none means that this
// instance decides.
func (q *Quotas) candidates(organisation string) []string {
	if q.peers == nil {
		return nil
	}
	return q.fleet.ownerAndStandbyOf(quotaKey(organisation))
}

// ServeTake grants tokens to a peer.
func (q *Quotas) ServeTake(r *peer.QuotaRequest) *peer.QuotaReply {
	g := q.grant(r)
	return &peer.QuotaReply{Granted: g.by != nil, Wait: g.wait, Partial: g.partial}
}

// grant takes tokens from the buckets that this instance may use at present.
func (q *Quotas) grant(r *peer.QuotaRequest) (g quotaGrant) {
	now, group := time.Now(), quotaGroup(r.Organisation)
	held, role := q.fleet.bucketRole(group)
	switch {
	case role == roleOwner:
		g = q.grantAsOwner(now, group, r)
	case role == roleStandby:
		g = q.grantAsStandby(now, group, held, r)
	case !q.fleet.Settled():
		g = q.grantStarting(now, r)
	default:
		g = q.grantAlone(now, r)
	}
	if g.by != nil {
		q.fleet.o.Metrics.Count(`tacktally_quota_grants_total{role="` + role.String() + `"}`)
	}
	return g
}

// grantAsOwner takes tokens from a bucket that holds the share of the quota of the instances in reach, as far as
// the lease allows.
func (q *Quotas) grantAsOwner(now time.Time, group int, r *peer.QuotaRequest) quotaGrant {
	share, held := q.applyOwnerShare(group)
	g := take(now, q.ownedBuckets(group, held), q.wholeLimit(r), r)
	g.partial = share < 1
	if g.by == nil && g.partial {
		return q.grantReserved(now, group, held, r)
	}
	return g
}

// wholeLimit returns the limit of the part of the fleet in reach.
func (q *Quotas) wholeLimit(r *peer.QuotaRequest) quota.Limit {
	limit := quota.Limit{Rate: r.Rate, Burst: r.Burst, Debt: math.Inf(1), Reserve: r.Reserve}
	return limit.Scale(q.fleet.reachableShare())
}

// grantAsStandby takes tokens from half of the quota if the owner has become silent to this instance, and from a
// part of the allowance otherwise.
func (q *Quotas) grantAsStandby(now time.Time, group int, held groupOwner, r *peer.QuotaRequest) quotaGrant {
	_, granted := q.leases.of(group)
	if since := actsSince(held, granted); !now.Before(since) {
		acting := q.begin(func(b *groupBuckets) *heldBuckets { return &b.acting }, group, since)
		if g := take(now, acting, q.wholeLimit(r).Scale(0.5), r); g.by != nil {
			return g
		}
	}
	return q.grantReserved(now, group, held, r)
}

// grantReserved takes tokens from the part of the allowance that is reserved for the standby.
func (q *Quotas) grantReserved(now time.Time, group int, held groupOwner, r *peer.QuotaRequest) quotaGrant {
	limit := q.allowed.limitPerWindow(max(standbyAllowanceShare*r.Allowance, minStandbyTime.Seconds()*r.Rate))
	limit.Debt, limit.Reserve = math.Inf(1), r.Reserve
	g := take(now, q.standbyBuckets(group, held), limit.Scale(q.fleet.reachableShare()), r)
	g.partial = true
	return g
}

// grantAlone takes tokens from the part of the allowance that an instance has if neither the owner nor the
// standby replies to it. Its debt is bounded, since all instances may be in that situation.
func (q *Quotas) grantAlone(now time.Time, r *peer.QuotaRequest) quotaGrant {
	limit := q.allowed.limitPerWindow(aloneAllowanceShare * r.Allowance)
	limit.Debt = limit.Burst
	g := take(now, q.aloneLimiter, limit.Scale(q.fleet.ownShare()), r)
	g.partial = true
	return g
}

// grantStarting takes tokens from the share of this instance while it starts.
func (q *Quotas) grantStarting(now time.Time, r *peer.QuotaRequest) quotaGrant {
	size := q.fleetSize()
	if size == 0 {
		return quotaGrant{wait: ShortRetryAfter, partial: true}
	}
	limit := quota.Limit{Rate: startupRateFactor * r.Rate, Burst: r.Burst, Debt: startupDebtSeconds * r.Rate}
	g := take(now, q.startupLimiter, limit.Scale(1/float64(size)), r)
	g.partial = true
	return g
}

// take takes tokens from a bucket of a limiter.
func take(now time.Time, l *quota.Limiter, limit quota.Limit, r *peer.QuotaRequest) quotaGrant {
	if limit.Rate <= 0 {
		return quotaGrant{wait: ShortRetryAfter}
	}
	if granted, wait := l.Take(now, r.Organisation, limit, r.Tokens); !granted {
		return quotaGrant{wait: wait}
	}
	return quotaGrant{by: l}
}

// ownedBuckets returns the buckets that this instance keeps as the owner of a group.
func (q *Quotas) ownedBuckets(group int, held groupOwner) *quota.Limiter {
	return q.begin(func(b *groupBuckets) *heldBuckets { return &b.owned }, group, held.ownerSince)
}

// standbyBuckets returns the buckets of the part of the allowance that is reserved for the standby of a group.
func (q *Quotas) standbyBuckets(group int, held groupOwner) *quota.Limiter {
	return q.begin(func(b *groupBuckets) *heldBuckets { return &b.standby }, group, held.standbySince)
}

// begin returns the limiter of buckets that are held since a time, a new one if that time has changed.
func (q *Quotas) begin(buckets func(*groupBuckets) *heldBuckets, group int, since time.Time) *quota.Limiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	h := buckets(&q.groups[group])
	if h.limiter == nil || !h.since.Equal(since) {
		h.limiter, h.since = quota.New(since), since
	}
	return h.limiter
}

func (q *Quotas) fleetSize() int {
	if q.peers == nil {
		return 1
	}
	return q.peers.FleetSize()
}

// Return gives back tokens that were taken and not used.
func (q *Quotas) Return(t *TokenGrant) {
	if t.limiter != nil {
		t.limiter.Return(t.organisation, t.Count)
		return
	}
	q.peers.ReturnQuota(t.Owner, &peer.QuotaReturn{Organisation: t.organisation, Tokens: t.Count})
}

// ServeReturn takes back tokens that a peer returns.
func (q *Quotas) ServeReturn(r *peer.QuotaReturn) {
	group := quotaGroup(r.Organisation)
	held, role := q.fleet.bucketRole(group)
	switch role {
	case roleOwner:
		q.ownedBuckets(group, held).Return(r.Organisation, r.Tokens)
	case roleStandby:
		q.standbyBuckets(group, held).Return(r.Organisation, r.Tokens)
	}
}
