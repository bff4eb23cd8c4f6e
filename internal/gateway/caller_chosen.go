package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/request"
)

// joinTimeout bounds the search for an earlier attempt at the peers.
const joinTimeout = 2 * time.Second

// handleCallerChosen serves a request under an ID that the caller chose.
func (g *Gateway) handleCallerChosen(ctx context.Context, s *config.Snapshot, r *request.Request) *answer.Buffer {
	org, ok := s.Organisation(r.Organisation)
	if !ok || org.CallerChosenIDs != api.CallerIDsFirstAttempt {
		return g.refuseWithKey(r, "organisation "+r.Organisation+" may not use caller-chosen IDs; retry the request with the issued key")
	}
	if r.Attempt == request.AttemptFirst {
		return g.serveFirstAttempt(s, r)
	}
	if b := g.joinLocal(r); !isNotFirstAttempt(b) {
		return b
	}
	return g.joinAtPeers(ctx, r)
}

// serveFirstAttempt dispatches the request here. That the caller marked the attempt as the first
// one proves that no other instance has dispatched the ID.
func (g *Gateway) serveFirstAttempt(s *config.Snapshot, r *request.Request) *answer.Buffer {
	u := g.newUse(r)
	if b, found, problem := g.o.Registry.Join(u); problem != nil {
		return g.refuse(r, problem)
	} else if found {
		return b
	}
	if g.Draining() {
		return g.refuse(r, refuseDraining())
	}
	if problem := g.o.Registry.Reserve(r.Organisation); problem != nil {
		return g.refuse(r, problem)
	}
	return g.dispatchOrJoin(s, r, u)
}

func (g *Gateway) newUse(r *request.Request) idempotency.Use {
	return idempotency.Use{
		Key:          r.Organisation + "\x00" + r.Key,
		Organisation: r.Organisation,
		Fingerprint:  r.Fingerprint,
		Expiry:       g.o.Clock.Elapsed() + g.o.Lifetime,
	}
}

// joinLocal returns the response of an earlier attempt at this instance, or a Problem.
func (g *Gateway) joinLocal(r *request.Request) *answer.Buffer {
	b, found, problem := g.o.Registry.Join(g.newUse(r))
	if problem != nil {
		return g.refuse(r, problem)
	}
	if !found {
		return answer.Refused(notFirstAttempt())
	}
	g.o.Metrics.Count("tacktally_joined_total")
	return b
}

func notFirstAttempt() *api.Problem {
	return api.UnknownOutcome(api.ReasonNotFirstAttempt, "no reachable instance holds an earlier attempt of this ID, and only the first attempt may run; mark the first attempt with %s: 1, or check what it did and use a new ID", api.HeaderAttempt)
}

func isNotFirstAttempt(b *answer.Buffer) bool {
	end := b.Ended()
	return end != nil && end.Problem != nil && end.Problem.Reason == api.ReasonNotFirstAttempt
}

// joinAtPeers requests the response of an earlier attempt from all reachable peers, and returns the
// response of the first peer that holds one. It blocks for at most joinTimeout.
func (g *Gateway) joinAtPeers(ctx context.Context, r *request.Request) *answer.Buffer {
	joinRequest := *r
	joinRequest.JoinOnly = true
	joinRequest.Body = nil
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	found := make(chan *answer.Buffer)
	var queries sync.WaitGroup
	for _, p := range g.peers.Peers() {
		if p.Reachable {
			queries.Go(func() { g.joinAtPeer(ctx, p.Address, &joinRequest, found) })
		}
	}
	none := make(chan struct{})
	go func() {
		queries.Wait()
		close(none)
	}()
	select {
	case b := <-found:
		stop := context.AfterFunc(g.serving, cancel)
		b.OnEnd(func(answer.End, int) {
			stop()
			cancel()
		})
		return b
	case <-none:
		cancel()
		return g.refuse(r, notFirstAttempt().WithAttemptNotRun())
	case <-time.After(joinTimeout):
		cancel()
		return g.refuse(r, notFirstAttempt().WithAttemptNotRun())
	}
}

// joinAtPeer requests the response of an earlier attempt from one peer. It sends a buffer to found
// once the peer shows that it holds the ID.
func (g *Gateway) joinAtPeer(ctx context.Context, address string, joinRequest *request.Request, found chan<- *answer.Buffer) {
	b := answer.New(true)
	done := make(chan error, 1)
	go func() {
		_, err := g.peers.Forward(ctx, address, joinRequest, b)
		done <- err
	}()
	event, err := b.Reader().Next(ctx)
	if err != nil || isNotFirstAttempt(b) {
		return
	}
	if event.End != nil && event.End.Problem != nil && event.End.Problem.Reason == api.ReasonNotFirstAttempt {
		return
	}
	select {
	case found <- b:
	case <-ctx.Done():
		return
	}
	if err := <-done; err != nil {
		b.Finish(answer.End{Problem: api.UnknownOutcome(api.ReasonIssuerUnreachable, "the link to the instance that runs the request failed (%v); retry with the same ID", err).WithRetryAfter(time.Second)})
	}
}
