// Package gateway decides which instance serves a request, so that a request that must run at most
// once is dispatched only by the issuer of its key.
//
// The rules are described in docs/design/at-most-once.md. In short:
//   - A request under an issued key is served by the issuer of the key and by no other instance.
//   - A request under a caller-chosen ID is dispatched only on the attempt that the caller marks as
//     the first. Any other attempt joins an earlier one if a reachable instance holds it, and is
//     never dispatched.
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
	// Displace sheds the least important waiting request that is of a lower tier than rank. It
	// returns false if there is none.
	Displace(rank int) bool
	// HasList reports whether an instance list is in use.
	HasList() bool
}

// Peers forwards requests to other instances.
type Peers interface {
	Forward(ctx context.Context, address string, r *request.Request, b *answer.Buffer) (sent bool, err error)
	Process(address string) (incarnation uint64, seen time.Time)
	Peers() []peer.Status
}

// Options configures a Gateway.
type Options struct {
	Issuer     *idempotency.Issuer
	Registry   *idempotency.Registry
	Clock      *idempotency.Clock
	Lifetime   time.Duration
	Holder     *config.Holder
	Dispatcher Dispatcher
	Gate       *pause.Gate
	Metrics    *telemetry.Metrics
	Log        *log.Logger
}

// Gateway decides which instance serves a request. It is safe for concurrent use.
type Gateway struct {
	o        Options
	peers    Peers
	draining atomic.Bool
	inFlight atomic.Int64
	serving  context.Context // done once Abort was called
	abort    context.CancelFunc
}

// New returns a gateway. SetPeers must be called before it is used.
func New(o Options) *Gateway {
	serving, abort := context.WithCancel(context.Background())
	return &Gateway{o: o, serving: serving, abort: abort}
}

// SetPeers sets the links to other instances.
func (g *Gateway) SetPeers(p Peers) { g.peers = p }

// Drain makes the gateway refuse requests that it hasn't dispatched.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Abort ends the requests that are forwarded to peers, with a Problem. It doesn't block.
func (g *Gateway) Abort() { g.abort() }

// InFlight returns the number of requests that were admitted to be served here and that haven't ended. It includes those
// whose callers have left.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// dispatch serves a request in the background.
func (g *Gateway) dispatch(ctx context.Context, s *config.Snapshot, r *request.Request, b *answer.Buffer) {
	g.inFlight.Add(1)
	go func() {
		defer g.inFlight.Add(-1)
		g.o.Dispatcher.Serve(ctx, s, r, b)
	}()
}

// Draining reports whether Drain was called.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Snapshot returns the current configuration, or nil before the first one is accepted and an instance list is
// in use: until then, upstreams that aren't known may be in service. After a pause it blocks until the configuration
// has been refreshed or the refresh timed out.
func (g *Gateway) Snapshot(ctx context.Context) *config.Snapshot {
	g.o.Gate.EnsureFresh(ctx)
	if !g.o.Dispatcher.HasList() {
		return nil
	}
	return g.o.Holder.Current()
}

// Displace sheds a waiting request of a lower tier than rank. It returns false if there is none.
func (g *Gateway) Displace(rank int) bool { return g.o.Dispatcher.Displace(rank) }

// Issue returns an idempotency key for the organisation, bound to requestID unless that is empty.
func (g *Gateway) Issue(organisation, requestID string) (string, *api.Problem) {
	if g.Draining() {
		return "", refuseDraining()
	}
	if problem := g.o.Registry.Reserve(organisation); problem != nil {
		return "", problem
	}
	return g.o.Issuer.Issue(organisation, requestID, g.o.Lifetime), nil
}

func refuseDraining() *api.Problem {
	return api.Refuse(api.ReasonDraining, "this instance is shutting down; send the request again, another instance will serve it").WithRetryAfter(time.Second)
}

// Handle serves a request of a caller. The buffer ends with the response or a Problem. Ctx must be
// done when the caller disconnects.
func (g *Gateway) Handle(ctx context.Context, s *config.Snapshot, r *request.Request) *answer.Buffer {
	if !r.NonIdempotent {
		return g.serveIdempotent(ctx, s, r)
	}
	claims, err := idempotency.Parse(r.Key)
	switch {
	case r.Key == "":
		return g.refuseWithKey(r, "this request runs at most once and needs an idempotency key; retry it with the issued key")
	case err != nil:
		return g.handleCallerChosen(ctx, s, r)
	case claims.Organisation != r.Organisation:
		return g.refuse(r, api.Refuse(api.ReasonKeyMismatch, "the key was issued to another organisation; request a key of your own"))
	case g.o.Issuer.Owns(claims):
		return g.serveIssued(s, r)
	case claims.Issuer == g.o.Issuer.Address():
		return g.refuse(r, issuerGone().WithAttemptNotRun())
	default:
		return g.forward(ctx, claims, r)
	}
}

// ServePeer serves a request that a peer forwarded. It never forwards the request again.
func (g *Gateway) ServePeer(ctx context.Context, r *request.Request) *answer.Buffer {
	r.SetTimes(time.Now())
	if r.JoinOnly {
		return g.joinLocal(r)
	}
	if r.NonIdempotent && !g.ownsKeyOf(r) {
		return g.refuse(r, issuerGone())
	}
	s := g.Snapshot(ctx)
	switch {
	case s == nil && r.NonIdempotent:
		return g.refuse(r, refuseUnconfigured().WithUnknownOutcome())
	case s == nil:
		return g.refuse(r, refuseUnconfigured())
	case r.NonIdempotent:
		return g.serveIssued(s, r)
	default:
		return g.serveIdempotent(ctx, s, r)
	}
}

// ownsKeyOf reports whether the key of a request names this process.
func (g *Gateway) ownsKeyOf(r *request.Request) bool {
	claims, err := idempotency.Parse(r.Key)
	return err == nil && g.o.Issuer.Owns(claims)
}

func refuseUnconfigured() *api.Problem {
	return api.Refuse(api.ReasonNoConfiguration, "this instance has no accepted configuration or no instance list yet; retry after the given time").WithRetryAfter(time.Second)
}

func issuerGone() *api.Problem {
	return api.UnknownOutcome(api.ReasonIssuerGone, "the instance that issued the key has terminated; the request won't run any more, but may have run: check before you send it under a new key")
}

// refuse counts and logs a refusal, and returns a buffer that ends with it.
func (g *Gateway) refuse(r *request.Request, p *api.Problem) *answer.Buffer {
	g.o.Metrics.Refused(p.Reason)
	g.o.Log.Info().Str("event", "request_refused").Str("request", r.ID).Str("organisation", r.Organisation).
		Str("outcome", string(p.Outcome)).Str("reason", string(p.Reason)).Msg("")
	return answer.Refused(p)
}

// refuseWithKey refuses a request with status 428 and an issued key with which to retry it.
func (g *Gateway) refuseWithKey(r *request.Request, detail string) *answer.Buffer {
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
	g.dispatch(ctx, s, r, b)
	return b
}

// serveIssued serves a request whose key was issued by this incarnation.
func (g *Gateway) serveIssued(s *config.Snapshot, r *request.Request) *answer.Buffer {
	claims, err := g.o.Issuer.Verify(r.Key)
	if err != nil {
		return g.refuse(r, api.Refuse(api.ReasonKeyInvalid, "invalid idempotency key: %v", err))
	}
	if claims.Organisation != r.Organisation {
		return g.refuse(r, api.Refuse(api.ReasonKeyMismatch, "the key was issued to another organisation; request a key of your own"))
	}
	return g.dispatchOrJoin(s, r, idempotency.Use{
		Key:          r.Key,
		Organisation: r.Organisation,
		Fingerprint:  r.Fingerprint,
		Expiry:       claims.Expiry,
	})
}

// dispatchOrJoin dispatches the first use of a key, and joins every other use to it. A dispatched
// request continues when its caller disconnects, so that a retry finds the response.
func (g *Gateway) dispatchOrJoin(s *config.Snapshot, r *request.Request, u idempotency.Use) *answer.Buffer {
	b, first, problem := g.o.Registry.Begin(u)
	if problem != nil {
		if r.Resent {
			problem = problem.WithUnknownAttempt()
		}
		return g.refuse(r, problem)
	}
	if !first {
		g.o.Metrics.Count("tacktally_joined_total")
		return b
	}
	if g.Draining() {
		p := refuseDraining()
		g.o.Metrics.Refused(p.Reason)
		b.Finish(answer.End{Problem: p}) // the key stays refused, so that not-run remains true
		return b
	}
	g.dispatch(context.Background(), s, r, b)
	return b
}
