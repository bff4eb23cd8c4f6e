package proxy

import (
	"context"
	"time"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/quota"
	"github.com/tacktally/tacktally/internal/routing"
)

// QuotaPeers asks other instances for tokens. *peer.Mesh implements it.
type QuotaPeers interface {
	TakeQuota(ctx context.Context, address string, r *peer.QuotaRequest, within time.Duration) (*peer.QuotaReply, error)
	ReturnQuota(address string, r *peer.QuotaReturn)
}

// Quotas bounds what each organisation uses over all instances: one of them, which all work
// out as they do the owner of a shard, keeps its bucket, and the others ask it. While there
// are two, of parts of the fleet that don't reach each other, each grants its part. Safe
// for concurrent use.
type Quotas struct {
	limiter  *quota.Limiter
	starting *quota.Limiter // used until this instance has settled
	factor   float64
	fleet    *Fleet
	peers    QuotaPeers // nil until there are any
}

// NewQuotas returns the quotas of an instance that was started at a time. Rates are
// multiplied by factor.
func NewQuotas(started time.Time, factor float64, fleet *Fleet) *Quotas {
	return &Quotas{limiter: quota.New(), starting: quota.NewStarting(started), factor: factor, fleet: fleet}
}

// UsePeers lets the quotas ask other instances. It is called once, before requests come.
func (q *Quotas) UsePeers(p QuotaPeers) { q.peers = p }

// tokens is what was taken, and of whom.
type tokens struct {
	organisation string
	n            int
	owner        string // empty for this instance
	starting     bool   // they are of what this instance grants while it starts
}

// quotaKey names the shard that an organisation's bucket is. No service is called so.
func quotaKey(organisation string) shardKey {
	return shardKey{service: "quota of " + organisation, settled: true}
}

// Take takes tokens of an organisation. When it can't, wait is when to come back. It blocks
// until the owner has answered.
func (q *Quotas) Take(ctx context.Context, id string, o *routing.Organisation, n int) (taken *tokens, wait time.Duration) {
	r := &peer.QuotaRequest{Organisation: o.Name, Rate: o.TokensPerSecond * q.factor, Burst: o.BurstTokens, Tokens: n}
	for _, owner := range q.owners(o.Name) {
		if owner == q.fleet.o.Instance {
			break
		}
		reply, err := q.peers.TakeQuota(ctx, owner, r, ackWithin)
		switch {
		case err == nil && reply.Granted:
			return &tokens{organisation: o.Name, n: n, owner: owner}, 0
		case err == nil:
			return nil, reply.Wait
		case ctx.Err() != nil:
			return nil, comeBackSoon // the caller is gone
		}
		q.fleet.distrust(owner, id, err)
	}
	return q.takeOwn(r)
}

// startingRate is the part of its share of the rate that an instance grants until it has
// settled: it doesn't know all of those with which it shares, nor what was used before.
const startingRate = 0.4

// takeOwn takes tokens of what this instance may grant by itself.
func (q *Quotas) takeOwn(r *peer.QuotaRequest) (*tokens, time.Duration) {
	t := &tokens{organisation: r.Organisation, n: r.Tokens, starting: !q.fleet.isSettled()}
	var granted bool
	var wait time.Duration
	if t.starting {
		limit := quota.Limit{Rate: r.Rate, Burst: r.Burst}.Part(startingRate / float64(q.fleet.instancesKnown()))
		granted, wait = q.starting.Take(time.Now(), r.Organisation, limit, r.Tokens)
	} else {
		reply := q.Serve(r)
		granted, wait = reply.Granted, reply.Wait
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

// Serve grants tokens out of this instance's bucket, to itself or to a peer.
func (q *Quotas) Serve(r *peer.QuotaRequest) *peer.QuotaReply {
	limit := quota.Limit{Rate: r.Rate, Burst: r.Burst}.Part(q.fleet.partInReach())
	granted, wait := q.limiter.Take(time.Now(), r.Organisation, limit, r.Tokens)
	return &peer.QuotaReply{Granted: granted, Wait: wait}
}

// Return gives back what was taken and not used.
func (q *Quotas) Return(t *tokens) {
	switch {
	case t.starting:
		q.starting.Return(t.organisation, t.n)
	case t.owner == "":
		q.limiter.Return(t.organisation, t.n)
	default:
		q.peers.ReturnQuota(t.owner, &peer.QuotaReturn{Organisation: t.organisation, Tokens: t.n})
	}
}

// Returned takes back what a peer gives back.
func (q *Quotas) Returned(r *peer.QuotaReturn) { q.limiter.Return(r.Organisation, r.Tokens) }
