package fleet

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/quota"
	"github.com/tacktally/tacktally/internal/routing"
)

// QuotaClient requests tokens from other instances. *peer.Mesh implements it.
type QuotaClient interface {
	TakeQuota(ctx context.Context, address string, r *peer.QuotaRequest, within time.Duration) (*peer.QuotaReply, error)
	ReturnQuota(address string, r *peer.QuotaReturn)
	// FleetSize returns the number of instances in the fleet as far as known, or 0 if this instance has
	// peers but has received nothing from any of them yet.
	FleetSize() int
}

// Quotas limits what each organisation uses over all instances. One instance, computed in the same way as
// the owner of a shard, keeps the organisation's bucket, and the others request tokens from it. In a
// network partition each side has an owner, which grants the share of its side. It is safe for concurrent
// use.
type Quotas struct {
	limiter        *quota.Limiter
	startupLimiter *quota.Limiter // used until this instance has settled
	allowed        Allowance
	fleet          *Fleet
	peers          QuotaClient // nil without peers
}

// Allowance is what an organisation may use beyond its quota in any Window: Share of the quota, plus
// Tokens.
type Allowance struct {
	Share  float64
	Tokens float64
	Window time.Duration
}

// grantedAllowanceShare is the share of the allowance by which rates are raised. A request that is
// refused although the allowance permits it is lost to its caller; the rest of the allowance covers what
// instances grant while they start, retries, and a second owner of the bucket during the 1.2 s for which
// views of a network partition may differ.
const grantedAllowanceShare = 0.35

// raisedRate returns the rate at which an organisation's bucket fills, with the allowance included. The
// tokens of the allowance don't apply to organisations whose quota counts requests.
func (a Allowance) raisedRate(o *routing.Organisation) float64 {
	rate := o.TokensPerSecond * (1 + grantedAllowanceShare*a.Share)
	if o.CountsRequests || a.Window == 0 {
		return rate
	}
	return rate + grantedAllowanceShare*a.Tokens/a.Window.Seconds()
}

// NewQuotas returns the quotas of an instance that was started at the given time.
func NewQuotas(started time.Time, allowed Allowance, fleet *Fleet) *Quotas {
	return &Quotas{limiter: quota.New(), startupLimiter: quota.NewStarting(started.Add(startupDelay)), allowed: allowed, fleet: fleet}
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
	startup      bool // taken from startupLimiter
}

// quotaGroups is the number of groups that buckets are divided into. One instance keeps all buckets of a
// group, so that the others need links to at most quotaGroups instances, however many organisations there
// are; an owner among 300 instances that serve 1,200 requests per second handles 150 token requests per
// second.
const quotaGroups = 8

// quotaKey returns the key of the group that an organisation's bucket is in. No service has the name that
// it uses.
func quotaKey(organisation string) shardKey {
	group := int(xxhash.Sum64String(organisation) % quotaGroups)
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
// to retry. It blocks until the owner of the bucket has replied.
func (q *Quotas) Take(ctx context.Context, id string, o *routing.Organisation, n, rank int) (taken *TokenGrant, wait time.Duration) {
	r := &peer.QuotaRequest{Organisation: o.Name, Rate: q.allowed.raisedRate(o), Burst: o.BurstTokens, Tokens: n, Reserve: reserve(n, rank)}
	owners := q.owners(o.Name)
	for _, owner := range owners {
		if owner == q.fleet.o.Instance {
			return q.takeLocal(r, q.fleet.reachableShare())
		}
		reply, err := q.peers.TakeQuota(ctx, owner, r, q.fleet.ackTimeout())
		switch {
		case err == nil && reply.Granted:
			return &TokenGrant{organisation: o.Name, Count: n, Owner: owner}, 0
		case err == nil:
			return nil, reply.Wait
		case ctx.Err() != nil:
			return nil, ShortRetryAfter // the caller has disconnected
		}
		q.fleet.markUnresponsive(owner, id, err)
	}
	if len(owners) == 0 {
		return q.takeLocal(r, q.fleet.reachableShare())
	}
	return q.takeLocal(r, q.fleet.ownShare()) // many other instances may reach no owner either
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

// takeStartup takes tokens from the share of this instance while it starts.
func (q *Quotas) takeStartup(r *peer.QuotaRequest) (granted bool, wait time.Duration) {
	size := q.fleetSize()
	if size == 0 {
		return false, ShortRetryAfter
	}
	limit := quota.Limit{Rate: startupRateFactor * r.Rate, Burst: r.Burst, Debt: startupDebtSeconds * r.Rate}
	return q.startupLimiter.Take(time.Now(), r.Organisation, limit.Scale(1/float64(size)), r.Tokens)
}

func (q *Quotas) fleetSize() int {
	if q.peers == nil {
		return 1
	}
	return q.peers.FleetSize()
}

// takeLocal takes tokens that this instance may grant on its own: the given share of the quota once it
// has settled.
func (q *Quotas) takeLocal(r *peer.QuotaRequest, share float64) (*TokenGrant, time.Duration) {
	t := &TokenGrant{organisation: r.Organisation, Count: r.Tokens, startup: !q.fleet.Settled()}
	var granted bool
	var wait time.Duration
	if t.startup {
		granted, wait = q.takeStartup(r)
	} else {
		granted, wait = q.grant(r, share)
	}
	if !granted {
		return nil, wait
	}
	return t, 0
}

func (q *Quotas) owners(organisation string) []string {
	if q.peers == nil {
		return nil
	}
	return q.fleet.ownersOf(quotaKey(organisation))
}

// ServeTake grants tokens to a peer from the bucket of this instance.
func (q *Quotas) ServeTake(r *peer.QuotaRequest) *peer.QuotaReply {
	granted, wait := q.grant(r, q.fleet.reachableShare())
	return &peer.QuotaReply{Granted: granted, Wait: wait}
}

// grant takes tokens from the bucket of this instance, which holds a share of the quota.
func (q *Quotas) grant(r *peer.QuotaRequest, share float64) (granted bool, wait time.Duration) {
	limit := quota.Limit{Rate: r.Rate, Burst: r.Burst, Debt: math.Inf(1), Reserve: r.Reserve}
	granted, wait = q.limiter.Take(time.Now(), r.Organisation, limit.Scale(share), r.Tokens)
	if granted {
		q.fleet.countByRole("tacktally_quota_grants_total", quotaKey(r.Organisation))
	}
	return granted, wait
}

// Return gives back tokens that were taken and not used.
func (q *Quotas) Return(t *TokenGrant) {
	switch {
	case t.startup:
		q.startupLimiter.Return(t.organisation, t.Count)
	case t.Owner == "":
		q.limiter.Return(t.organisation, t.Count)
	default:
		q.peers.ReturnQuota(t.Owner, &peer.QuotaReturn{Organisation: t.organisation, Tokens: t.Count})
	}
}

// ServeReturn takes back tokens that a peer returns.
func (q *Quotas) ServeReturn(r *peer.QuotaReturn) { q.limiter.Return(r.Organisation, r.Tokens) }
