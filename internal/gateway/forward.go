package gateway

import (
	"context"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// forwardPatience is how long a request waits for the link to its issuer.
	forwardPatience = 3 * time.Second
	// forwardPause is the time between two tries.
	forwardPause = 50 * time.Millisecond
)

// forward sends the request to the issuer of its key. It is sent again when the
// link breaks, which is safe: the issuer knows the key and joins the repeat, whose
// answer is gone on with where it broke.
func (g *Gateway) forward(ctx context.Context, claims idempotency.Claims, r *request.Request) *answer.Buffer {
	b := answer.New(false)
	go func() {
		ctx, cancel := context.WithDeadline(ctx, r.Deadline)
		defer cancel()
		problem := g.forwardUntilAnswered(ctx, claims, r, b)
		if problem != nil {
			g.refuse(r, problem)
			b.Finish(answer.End{Problem: problem})
		}
	}()
	return b
}

func (g *Gateway) forwardUntilAnswered(ctx context.Context, claims idempotency.Claims, r *request.Request, b *answer.Buffer) *api.Problem {
	var linkless time.Time // since when there was no link
	everSent := false
	for {
		if known := g.peers.Incarnation(claims.Issuer); known != 0 && known != uint64(claims.Incarnation) {
			return forAttempt(issuerGone(), everSent)
		}
		sent, err := g.peers.Forward(ctx, claims.Issuer, r, b)
		if err == nil {
			return nil
		}
		everSent = everSent || sent
		if sent || linkless.IsZero() {
			linkless = time.Now()
		}
		if ctx.Err() != nil || time.Since(linkless) > forwardPatience {
			p := api.UnknownOutcome(api.ReasonIssuerUnreachable, "the instance that issued the key can't be reached (%v); repeat the request with the same key later, or check what it did", err).WithRetryAfter(time.Second)
			return forAttempt(p, everSent)
		}
		if sent {
			g.o.Metrics.Retried(api.RetryPeerLink)
		}
		wait.For(ctx, forwardPause)
	}
}

// forAttempt says that this attempt was not run where nothing was sent.
func forAttempt(p *api.Problem, sent bool) *api.Problem {
	if sent {
		return p
	}
	return p.WithAttemptNotRun()
}
