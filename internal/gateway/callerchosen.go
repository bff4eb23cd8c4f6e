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

// joinTimeout bounds the search among the peers for an earlier attempt.
const joinTimeout = 2 * time.Second

// handleCallerChosen serves a request under an ID that the caller made up.
func (g *Gateway) handleCallerChosen(ctx context.Context, s *config.Snapshot, r *request.Request) *answer.Buffer {
	org, ok := s.Organisation(r.Organisation)
	if !ok || org.CallerChosenIDs != api.CallerIDsFirstAttempt {
		return g.requireKey(r, "organisation "+r.Organisation+" may not use IDs of its own; repeat the request with the key given")
	}
	if r.Attempt == request.AttemptFirst {
		return g.serveFirstAttempt(s, r)
	}
	if b := g.joinHere(r); !isNotFound(b) {
		return b
	}
	return g.joinElsewhere(ctx, r)
}

// serveFirstAttempt dispatches here. The caller's mark is the proof that no other
// instance has dispatched the ID.
func (g *Gateway) serveFirstAttempt(s *config.Snapshot, r *request.Request) *answer.Buffer {
	u := g.use(r)
	if b, found, problem := g.o.Register.Join(u); problem != nil {
		return g.refuse(r, problem)
	} else if found {
		return b
	}
	if g.Draining() {
		return g.refuse(r, refuseDraining())
	}
	if problem := g.o.Register.Reserve(r.Organisation); problem != nil {
		return g.refuse(r, problem)
	}
	return g.begin(s, r, u)
}

func (g *Gateway) use(r *request.Request) idempotency.Use {
	return idempotency.Use{
		Key:          r.Organisation + "\x00" + r.Key,
		Organisation: r.Organisation,
		Fingerprint:  r.Sum,
		Expiry:       g.o.Clock.Elapsed() + g.o.Lifetime,
	}
}

// joinHere returns the answer of an earlier attempt, or a Problem.
func (g *Gateway) joinHere(r *request.Request) *answer.Buffer {
	b, found, problem := g.o.Register.Join(g.use(r))
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
	return api.UnknownOutcome(api.ReasonNotFirstAttempt, "no instance within reach holds an earlier attempt of this ID, and only the first may run; mark the first attempt with %s: 1, or check what it did and use a new ID", api.HeaderAttempt)
}

func isNotFound(b *answer.Buffer) bool {
	end := b.Ended()
	return end != nil && end.Problem != nil && end.Problem.Reason == api.ReasonNotFirstAttempt
}

// joinElsewhere asks every peer within reach for an earlier attempt. The first
// that holds one gives the answer.
func (g *Gateway) joinElsewhere(ctx context.Context, r *request.Request) *answer.Buffer {
	ask := *r
	ask.JoinOnly = true
	ask.Body = nil
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	found := make(chan *answer.Buffer)
	var asked sync.WaitGroup
	for _, p := range g.peers.Peers() {
		if p.Reachable {
			asked.Go(func() { g.askPeer(ctx, p.Address, &ask, found) })
		}
	}
	none := make(chan struct{})
	go func() {
		asked.Wait()
		close(none)
	}()
	select {
	case b := <-found:
		b.OnEnd(func(answer.End, int) { cancel() })
		return b
	case <-none:
		cancel()
		return g.refuse(r, notFirstAttempt().WithAttemptNotRun())
	case <-time.After(joinTimeout):
		cancel()
		return g.refuse(r, notFirstAttempt().WithAttemptNotRun())
	}
}

// askPeer hands a buffer over once the peer shows that it holds the ID.
func (g *Gateway) askPeer(ctx context.Context, address string, ask *request.Request, found chan<- *answer.Buffer) {
	b := answer.New(true)
	done := make(chan error, 1)
	go func() {
		_, err := g.peers.Forward(ctx, address, ask, b)
		done <- err
	}()
	event, err := b.Reader().Next(ctx)
	if err != nil || isNotFound(b) {
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
		b.Finish(answer.End{Problem: api.UnknownOutcome(api.ReasonIssuerUnreachable, "the link to the instance that runs the request broke (%v); repeat it with the same ID", err).WithRetryAfter(time.Second)})
	}
}
