package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// forwardMaxWait is how long a request waits for the link to the issuer of its key.
	forwardMaxWait = 3 * time.Second
	// forwardRetryInterval is the time between two attempts to forward a request.
	forwardRetryInterval = 50 * time.Millisecond
)

// errIssuerUnseen means that the process known at an issuer's address isn't the issuer, and hasn't been seen since the
// request came: the issuer may have started there later.
var errIssuerUnseen = errors.New("the process that issued the key hasn't been seen yet")

// forward sends the request to the issuer of its key. It sends the request again when the link
// fails. This is safe: the issuer recognises the key and joins the retry, whose response is resumed
// where it stopped.
func (g *Gateway) forward(ctx context.Context, claims idempotency.Claims, r *request.Request) *answer.Buffer {
	b := answer.New(false)
	go func() {
		ctx, cancel := context.WithDeadline(ctx, r.Deadline)
		defer cancel()
		defer context.AfterFunc(g.serving, cancel)()
		problem := g.forwardUntilComplete(ctx, claims, r, b)
		if problem != nil {
			g.refuse(r, problem)
			b.Finish(answer.End{Problem: problem})
		}
	}()
	return b
}

// forwardUntilComplete blocks until the response is complete, ctx is done, or there has been no
// link for forwardMaxWait. It returns nil if the buffer was finished.
func (g *Gateway) forwardUntilComplete(ctx context.Context, claims idempotency.Claims, r *request.Request, b *answer.Buffer) *api.Problem {
	var linkLostAt time.Time // start of the time without a link
	everSent := false
	began := time.Now()
	for {
		known, seen := g.peers.Process(claims.Issuer)
		isOther := known != 0 && known != uint64(claims.Incarnation)
		if isOther && seen.After(began) {
			return withAttemptOutcome(issuerGone(), everSent)
		}
		sent, err := false, errIssuerUnseen
		if !isOther {
			sent, err = g.peers.Forward(ctx, claims.Issuer, r, b)
		}
		if err == nil {
			return nil
		}
		if sent && !everSent {
			everSent = true
			r = resent(r)
		}
		if sent || linkLostAt.IsZero() {
			linkLostAt = time.Now()
		}
		if g.serving.Err() != nil {
			p := api.UnknownOutcome(api.ReasonIssuerUnreachable, "this instance is shutting down; retry with the same key, another instance will forward it").WithRetryAfter(time.Second)
			return withAttemptOutcome(p, everSent)
		}
		if ctx.Err() != nil || time.Since(linkLostAt) > forwardMaxWait {
			p := api.UnknownOutcome(api.ReasonIssuerUnreachable, "the instance that issued the key can't be reached (%v); retry with the same key later, or check what the request did", err).WithRetryAfter(time.Second)
			return withAttemptOutcome(p, everSent)
		}
		if sent {
			g.o.Metrics.Retried(api.RetryPeerLink)
		}
		wait.For(ctx, forwardRetryInterval)
	}
}

// resent returns a copy of a request that is sent to the issuer of its key again.
func resent(r *request.Request) *request.Request {
	c := *r
	c.Resent = true
	return &c
}

// withAttemptOutcome adds to p that this attempt was not run, if the request wasn't sent.
func withAttemptOutcome(p *api.Problem, sent bool) *api.Problem {
	if sent {
		return p
	}
	return p.WithAttemptNotRun()
}
