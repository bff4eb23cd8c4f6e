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

// QuotaClient asks other instances for tokens. *peer.Mesh implements it.
type QuotaClient interface {
	TakeQuota(ctx context.Context, address string, r *peer.QuotaRequest, within time.Duration) (*peer.QuotaReply, error)
	ReturnQuota(address string, r *peer.QuotaReturn)
	// FleetSize is the number of instances as far as known; 0 while this one, which isn't
	// alone, has heard of none.
	FleetSize() int
}

// Quotas bounds what each organisation uses over all instances: one of them, which all work
// out as they do the owner of a shard, keeps its bucket, and the others ask it. While there
// are two, of parts of the fleet that don't reach each other, each grants its part. Safe
// for concurrent use.
type Quotas struct {
	limiter        *quota.Limiter
	startupLimiter *quota.Limiter // used until this instance has settled
	allowed        Allowance
	fleet          *Fleet
	peers          QuotaClient // nil until there are any
}

// Allowance is what an organisation may use beyond its quota in any Window: a Share of
// the quota, and so many Tokens more.
type Allowance struct {
	Share  float64
	Tokens float64
	Window time.Duration
}

// grantedAllowanceShare is the part of the allowance by which rates are raised. What an organisation
// may use and is refused is lost to its callers; the rest of the allowance is for what
// instances grant while they start, for repeats, and for a second keeper of the bucket in the
// 1.2 s for which views of a cut may differ.
const grantedAllowanceShare = 0.35

// raisedRate returns the rate at which a bucket fills of an organisation's own rate. The tokens
// of the allowance don't apply to organisations whose quota counts requests.
func (a Allowance) raisedRate(o *routing.Organisation) float64 {
	rate := o.TokensPerSecond * (1 + grantedAllowanceShare*a.Share)
	if o.CountsRequests || a.Window == 0 {
		return rate
	}
	return rate + grantedAllowanceShare*a.Tokens/a.Window.Seconds()
}

// NewQuotas returns the quotas of an instance that was started at a time.
func NewQuotas(started time.Time, allowed Allowance, fleet *Fleet) *Quotas {
	return &Quotas{limiter: quota.New(), startupLimiter: quota.NewStarting(started.Add(startupDelay)), allowed: allowed, fleet: fleet}
}

// SetClient lets the quotas ask other instances. It is called once, before requests come.
func (q *Quotas) SetClient(p QuotaClient) { q.peers = p }

// TokenGrant is what was taken, and of whom.
type TokenGrant struct {
	// Count of them.
	Count int
	// Owner is the instance that granted them, empty for this one.
	Owner string

	organisation string
	startup      bool // they are of what this instance grants while it starts
}

// quotaGroups is the number of groups that buckets are in. One instance keeps all of a group,
// so that others need links to so many at most, however many organisations there are, and
// one of 300 instances that serve 1,200 requests a second answers for 150 of them.
const quotaGroups = 8

// quotaKey names the shard that an organisation's bucket is in. No service is called so.
func quotaKey(organisation string) shardKey {
	group := int(xxhash.Sum64String(organisation) % quotaGroups)
	return shardKey{service: "buckets of organisations", index: group, settledOnly: true}
}

// reserveFactor is how many times its own tokens a request of each rank below the first has to leave in
// its organisation's bucket, for what is more important. While the organisation asks for more than its
// quota, those of the first rank find tokens by that, and small requests of others, too.
const reserveFactor = 4

// reserve is what a request of so many tokens leaves.
func reserve(tokens, rank int) float64 { return float64(reserveFactor * rank * tokens) }

// Take takes tokens of an organisation, for a request of a rank. When it can't, wait is when to come back. It blocks
// until the owner has answered.
func (q *Quotas) Take(ctx context.Context, id string, o *routing.Organisation, n, rank int) (taken *TokenGrant, wait time.Duration) {
	r := &peer.QuotaRequest{Organisation: o.Name, Rate: q.allowed.raisedRate(o), Burst: o.BurstTokens, Tokens: n, Reserve: reserve(n, rank)}
	owners := q.owners(o.Name)
	for _, owner := range owners {
		if owner == q.fleet.o.Instance {
			return q.takeLocal(r, q.fleet.reachableShare())
		}
		reply, err := q.peers.TakeQuota(ctx, owner, r, ackTimeout)
		switch {
		case err == nil && reply.Granted:
			return &TokenGrant{organisation: o.Name, Count: n, Owner: owner}, 0
		case err == nil:
			return nil, reply.Wait
		case ctx.Err() != nil:
			return nil, ShortRetryAfter // the caller is gone
		}
		q.fleet.markUnresponsive(owner, id, err)
	}
	if len(owners) == 0 {
		return q.takeLocal(r, q.fleet.reachableShare())
	}
	return q.takeLocal(r, q.fleet.ownShare()) // it may be one of many that reach no owner
}

// ShortRetryAfter is told where waiting a moment may mend it: another instance may serve the
// request at once.
const ShortRetryAfter = 200 * time.Millisecond

const (
	// startupRateFactor is what an instance grants until it has settled, in its share of the
	// rate: callers that were cut off all come back at once. It doesn't know what was used
	// before. The users' bounds leave about a second of the rate, and what nobody used
	// while the fleet was down, for each of two starts within a window; in this time and
	// in buckets that are taken over about that is granted.
	startupRateFactor = 1.6
	// startupDebtSeconds is the debt, in seconds of the rate, into which all that start may run
	// together.
	startupDebtSeconds = 0.2
	// startupDelay is how long after its start an instance grants nothing by itself: until
	// its seeds have said how many there are.
	startupDelay = 50 * time.Millisecond
)

// takeStartup takes tokens of this instance's share while it starts.
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

// takeLocal takes tokens of what this instance may grant by itself: a part of the quota, once it has settled.
func (q *Quotas) takeLocal(r *peer.QuotaRequest, part float64) (*TokenGrant, time.Duration) {
	t := &TokenGrant{organisation: r.Organisation, Count: r.Tokens, startup: !q.fleet.Settled()}
	var granted bool
	var wait time.Duration
	if t.startup {
		granted, wait = q.takeStartup(r)
	} else {
		granted, wait = q.grant(r, part)
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

// ServeTake grants tokens out of this instance's bucket, to itself or to a peer.
func (q *Quotas) ServeTake(r *peer.QuotaRequest) *peer.QuotaReply {
	granted, wait := q.grant(r, q.fleet.reachableShare())
	return &peer.QuotaReply{Granted: granted, Wait: wait}
}

// grant takes tokens out of this instance's bucket, which holds a part of the quota.
func (q *Quotas) grant(r *peer.QuotaRequest, part float64) (granted bool, wait time.Duration) {
	limit := quota.Limit{Rate: r.Rate, Burst: r.Burst, Debt: math.Inf(1), Reserve: r.Reserve}
	return q.limiter.Take(time.Now(), r.Organisation, limit.Scale(part), r.Tokens)
}

// Return gives back what was taken and not used.
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

// ServeReturn takes back what a peer gives back.
func (q *Quotas) ServeReturn(r *peer.QuotaReturn) { q.limiter.Return(r.Organisation, r.Tokens) }
