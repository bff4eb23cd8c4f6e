// Package gateway decides which instance serves a request, so that one that must
// run at most once is only ever dispatched by the issuer of its key.
//
// The rules stand in docs/design/at-most-once.md. In short: an issued key leads
// to its issuer and nowhere else; a caller-chosen ID dispatches only on the
// attempt that the caller marks as the first; any other attempt joins an earlier
// one where an instance within reach holds it, and is never dispatched.
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/pause"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/telemetry"
)

// Dispatcher serves a request at this instance and finishes the buffer.
type Dispatcher interface {
	Serve(ctx context.Context, s *config.Snapshot, r *request.Request, b *answer.Buffer)
	// Displace gives up the least important waiting request that is of a lower
	// tier than rank, and returns false when there is none.
	Displace(rank int) bool
}

// Peers forwards to other instances.
type Peers interface {
	Forward(ctx context.Context, address string, r *request.Request, b *answer.Buffer) (sent bool, err error)
	Incarnation(address string) uint64
	Peers() []peer.Status
}

// Options of a Gateway.
type Options struct {
	Issuer     *idempotency.Issuer
	Register   *idempotency.Register
	Clock      *idempotency.Clock
	Lifetime   time.Duration
	Holder     *config.Holder
	Dispatcher Dispatcher
	Gate       *pause.Gate
	Metrics    *telemetry.Metrics
	Log        *log.Logger
}

// Gateway routes requests. Safe for concurrent use.
type Gateway struct {
	o        Options
	peers    Peers
	draining atomic.Bool
}

// New returns a gateway. SetPeers must be called before it is used.
func New(o Options) *Gateway { return &Gateway{o: o} }

// SetPeers sets the links to other instances.
func (g *Gateway) SetPeers(p Peers) { g.peers = p }

// Drain makes the gateway refuse what it hasn't begun.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Draining tells whether Drain was called.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Snapshot returns the configuration in force, or nil before the first. After a
// pause it is read anew first.
func (g *Gateway) Snapshot(ctx context.Context) *config.Snapshot {
	g.o.Gate.Pass(ctx)
	return g.o.Holder.Current()
}

// Displace makes room for a request of a tier by giving up one of a lower tier.
func (g *Gateway) Displace(rank int) bool { return g.o.Dispatcher.Displace(rank) }

// Issue returns a key for the organisation.
func (g *Gateway) Issue(organisation, requestID string) (string, *api.Problem) {
	if g.Draining() {
		return "", refuseDraining()
	}
	if problem := g.o.Register.Reserve(organisation); problem != nil {
		return "", problem
	}
	return g.o.Issuer.Issue(organisation, requestID, g.o.Lifetime), nil
}

func refuseDraining() *api.Problem {
	return api.Refuse(api.ReasonDraining, "this instance is shutting down; send the request again, another instance will take it").WithRetryAfter(time.Second)
}

// Handle serves a caller's request. The buffer ends with the answer or a
// Problem. Ctx ends when the caller goes away.
func (g *Gateway) Handle(ctx context.Context, s *config.Snapshot, r *request.Request) *answer.Buffer {
	if !r.NonIdempotent {
		return g.serveIdempotent(ctx, s, r)
	}
	claims, err := idempotency.Parse(r.Key)
	switch {
	case r.Key == "":
		return g.requireKey(r, "this request runs at most once and needs an idempotency key; repeat it with the key given")
	case err != nil:
		return g.handleCallerChosen(ctx, s, r)
	case claims.Organisation != r.Organisation:
		return g.refuse(r, api.Refuse(api.ReasonKeyMismatch, "the key was issued to another organisation; ask for one of your own"))
	case g.o.Issuer.Own(claims):
		return g.serveIssued(s, r)
	case claims.Issuer == g.o.Issuer.Address():
		return g.refuse(r, issuerGone().WithAttemptNotRun())
	default:
		return g.forward(ctx, claims, r)
	}
}

// ServePeer serves a request that a peer forwarded. It is never forwarded again.
func (g *Gateway) ServePeer(ctx context.Context, r *request.Request) *answer.Buffer {
	r.Received(time.Now())
	if r.JoinOnly {
		return g.joinHere(r)
	}
	g.o.Gate.Pass(ctx)
	s := g.o.Holder.Current()
	if s == nil {
		return g.refuse(r, refuseUnconfigured())
	}
	if !r.NonIdempotent {
		return g.serveIdempotent(ctx, s, r)
	}
	claims, err := idempotency.Parse(r.Key)
	if err != nil || !g.o.Issuer.Own(claims) {
		return g.refuse(r, issuerGone())
	}
	return g.serveIssued(s, r)
}

func refuseUnconfigured() *api.Problem {
	return api.Refuse(api.ReasonNoConfiguration, "this instance has no accepted configuration yet; come back shortly").WithRetryAfter(time.Second)
}

func issuerGone() *api.Problem {
	return api.UnknownOutcome(api.ReasonIssuerGone, "the instance that issued the key has ended; the request won't run from now on, but may have run: check before you send it under a new key")
}

// refuse counts, logs and words a refusal that needs no dispatch.
func (g *Gateway) refuse(r *request.Request, p *api.Problem) *answer.Buffer {
	g.o.Metrics.Refused(p.Reason)
	g.o.Log.Info().Str("event", "request_refused").Str("request", r.ID).Str("organisation", r.Organisation).
		Str("outcome", string(p.Outcome)).Str("reason", string(p.Reason)).Msg("")
	return answer.Refused(p)
}

// requireKey refuses with 428 and an issued key to repeat the request with.
func (g *Gateway) requireKey(r *request.Request, detail string) *answer.Buffer {
	key, problem := g.Issue(r.Organisation, r.Key)
	if problem != nil {
		return g.refuse(r, problem)
	}
	p := api.Refuse(api.ReasonKeyRequired, "%s", detail)
	p.IdempotencyKey = key
	return g.refuse(r, p)
}

func (g *Gateway) serveIdempotent(ctx context.Context, s *config.Snapshot, r *request.Request) *answer.Buffer {
	if g.Draining() {
		return g.refuse(r, refuseDraining())
	}
	b := answer.New(false)
	go g.o.Dispatcher.Serve(ctx, s, r, b)
	return b
}

// serveIssued serves a request whose key this incarnation issued.
func (g *Gateway) serveIssued(s *config.Snapshot, r *request.Request) *answer.Buffer {
	claims, err := g.o.Issuer.Verify(r.Key)
	if err != nil {
		return g.refuse(r, api.Refuse(api.ReasonKeyInvalid, "the idempotency key is not valid: %v", err))
	}
	if claims.Organisation != r.Organisation {
		return g.refuse(r, api.Refuse(api.ReasonKeyMismatch, "the key was issued to another organisation; ask for one of your own"))
	}
	return g.begin(s, r, idempotency.Use{
		Key:          r.Key,
		Organisation: r.Organisation,
		Fingerprint:  r.Sum,
		Expiry:       claims.Expiry,
	})
}

// begin dispatches the first use of a key and joins every other. A use goes on
// when its caller goes away, so that a repeat finds its answer.
func (g *Gateway) begin(s *config.Snapshot, r *request.Request, u idempotency.Use) *answer.Buffer {
	b, first, problem := g.o.Register.Begin(u)
	if problem != nil {
		return g.refuse(r, problem)
	}
	if !first {
		g.o.Metrics.Count("tacktally_joined_total")
		return b
	}
	if g.Draining() {
		p := refuseDraining()
		g.o.Metrics.Refused(p.Reason)
		b.Finish(answer.End{Problem: p}) // voids the key, so that not-run stays true
		return b
	}
	go g.o.Dispatcher.Serve(context.Background(), s, r, b)
	return b
}
