package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/pool"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/upstream"
)

// attempts makes the attempts of one request.
type attempts struct {
	key          quarantine.Key
	dispatcher   *Dispatcher
	snapshot     *config.Snapshot
	request      *request.Request
	buffer       *answer.Buffer
	pool         *pool.Pool
	set          string
	tier         *config.Tier
	organisation *config.Organisation

	// epoch of pauses under which the next grant is asked for.
	epoch   uint64
	exclude string
	resumes int
	spilled bool
	// output is the number of output tokens relayed.
	output int
	// mayHaveRun is set once an attempt was lost after it was written.
	mayHaveRun bool
}

// run sends the request until it ends, and returns how.
func (a *attempts) run(ctx context.Context) answer.End {
	if a.request.LastEventID != "" {
		return a.resumeForCaller(ctx)
	}
	a.dispatcher.budget.Deposit()
	var last upstream.Result
	for range maxAttempts {
		if left := a.dispatcher.o.Quarantine.Remaining(time.Now(), a.key); left > 0 {
			return a.givenUp(ctx, quarantine.Refusal(left))
		}
		grant, problem := a.acquire(ctx)
		if problem != nil {
			return a.givenUp(ctx, problem)
		}
		result := a.send(ctx, grant, a.call(grant))
		if result.Status == upstream.Cut && a.mayResume(result) {
			return a.resume(ctx, grant.Upstream.Address, result)
		}
		if !a.retry(grant, result) {
			return a.ended(ctx, result)
		}
		last = result
	}
	return a.ended(ctx, last)
}

func (a *attempts) ended(ctx context.Context, r upstream.Result) answer.End {
	end := a.end(r)
	if end.Problem == nil {
		return end
	}
	return a.givenUp(ctx, end.Problem)
}

// givenUp makes sure that a request that may have run is never called not-run.
func (a *attempts) givenUp(ctx context.Context, p *api.Problem) answer.End {
	if end, spilled := a.spill(ctx, p); spilled {
		return end
	}
	if p.Outcome == api.NotRun && a.mayHaveRun {
		p = api.UnknownOutcome(api.ReasonUpstreamLost, "an upstream lost the request, and another try was given up: %s", p.Detail).WithRetryAfter(time.Second)
	}
	return answer.End{Problem: p}
}

func (a *attempts) acquire(ctx context.Context) (*scheduler.Grant, *api.Problem) {
	gate := a.dispatcher.o.Gate
	gate.Pass(ctx)
	a.epoch = gate.Detector.Epoch()
	r := a.request
	return a.pool.Acquire(ctx, &scheduler.Request{
		Rank:                a.tier.Rank,
		Organisation:        r.Organisation,
		Share:               a.organisation.Share,
		Arrived:             r.Arrived,
		Deadline:            r.Deadline,
		MaxTimeToFirstToken: a.tier.FirstToken,
		PromptTokens:        r.Prompt,
		MaxOutput:           r.Output,
		PrefixHashes:        r.Chain,
		Bytes:               len(r.Body),
		FailedUpstream:      a.exclude,
	})
}

func (a *attempts) call(g *scheduler.Grant) upstream.Call {
	return upstream.Call{
		Address:  g.Upstream.Address,
		Request:  a.request,
		Instance: a.dispatcher.o.Instance,
		Revision: a.snapshot.Revision,
		Guard:    a.guard,
	}
}

// guard is the check made right before the first byte is written: that the process
// wasn't paused since the grant was asked for, that the deadline hasn't passed, and that the
// request isn't held back.
func (a *attempts) guard() error {
	if a.dispatcher.o.Gate.Detector.Epoch() != a.epoch {
		return errPaused
	}
	if !time.Now().Before(a.request.Deadline) {
		return context.DeadlineExceeded
	}
	if a.dispatcher.o.Quarantine.Remaining(time.Now(), a.key) > 0 {
		return quarantine.ErrQuarantined
	}
	return nil
}

// send makes one call and tells the scheduler how it went.
func (a *attempts) send(ctx context.Context, g *scheduler.Grant, call upstream.Call) upstream.Result {
	call.OnFirst = sync.OnceFunc(func() {
		a.dispatcher.o.Metrics.FirstToken(a.tier.Name, time.Since(a.request.Arrived))
		a.pool.RecordFirstToken(g)
	})
	if !a.request.Stream && a.request.Kind != request.Service {
		// A whole answer doesn't show its first token: the prompt counts as read
		// after the time predicted for it.
		t := time.AfterFunc(g.PredictedFirstToken(), func() {
			a.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.AssumeFirstToken(now, g) })
		})
		defer t.Stop()
		call.OnFirst = func() {}
	}
	result := a.dispatcher.o.Client.Do(ctx, call, a.buffer)
	if result.Status == upstream.Timeout && result.StreamID != "" {
		go a.cancelStream(g.Upstream.Address, result.StreamID)
	}
	a.output += result.Output
	a.mayHaveRun = a.mayHaveRun || result.Status == upstream.Lost
	a.learn(g, result)
	return result
}

// cancelTimeout bounds the call that cancels a stream.
const cancelTimeout = 2 * time.Second

// cancelStream stops a run whose deadline has passed: its answer is of no use. The
// run of a caller that went away is left to go on, since it may be resumed.
func (a *attempts) cancelStream(address, stream string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	a.dispatcher.o.Client.CancelStream(ctx, address, stream, a.request.Organisation)
}

func (a *attempts) learn(g *scheduler.Grant, result upstream.Result) {
	a.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
		switch result.Status {
		case upstream.Done:
			return core.RecordCompleted(now, g, result.Output)
		case upstream.Busy:
			return core.RecordBusy(now, g)
		case upstream.Cancelled, upstream.Timeout:
			return core.RecordCancelled(now, g)
		case upstream.NotWritten:
			if isOwnDoing(result.Err) {
				return core.RecordCancelled(now, g)
			}
			return core.RecordFailure(now, g)
		default:
			return core.RecordFailure(now, g)
		}
	})
	a.learnOfCrash(g.Upstream.Address, result)
	if result.Leaving {
		a.dispatcher.MarkLeaving(g.Upstream.Address)
		if a.dispatcher.o.Leaving != nil {
			a.dispatcher.o.Leaving(g.Upstream.Address)
		}
	}
}

// isOwnDoing tells an end on our side from a failure of the upstream.
func isOwnDoing(err error) bool {
	return errors.Is(err, errPaused) || errors.Is(err, quarantine.ErrQuarantined) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// retry decides whether the request is sent again, elsewhere.
func (a *attempts) retry(g *scheduler.Grant, result upstream.Result) bool {
	d := a.dispatcher
	switch result.Status {
	case upstream.NotWritten:
		if errors.Is(result.Err, errPaused) {
			d.retried(a.request, api.RetryPaused, result.Err)
			return true
		}
		if errors.Is(result.Err, quarantine.ErrQuarantined) {
			return true // to be refused: not for want of an upstream
		}
		a.exclude = g.Upstream.Address
		d.retried(a.request, api.RetryConnect, result.Err)
		return true
	case upstream.Busy:
		if a.buffer.Started() || !d.budget.Withdraw() {
			return false
		}
		a.exclude = g.Upstream.Address
		d.retried(a.request, api.RetryUpstreamBusy, result.Err)
		return true
	case upstream.Lost:
		if a.request.NonIdempotent || a.buffer.Started() || !d.budget.Withdraw() {
			return false
		}
		a.exclude = g.Upstream.Address
		d.retried(a.request, api.RetryUpstreamLost, result.Err)
		return true
	default:
		return false
	}
}

// end words the end of a request that isn't sent again.
func (a *attempts) end(r upstream.Result) answer.End {
	switch r.Status {
	case upstream.Done:
		return answer.End{}
	case upstream.NotWritten:
		return answer.End{Problem: api.Refuse(api.ReasonUnreachable, "no upstream could be reached (%v); come back later", r.Err).WithRetryAfter(time.Second)}
	case upstream.Busy:
		return answer.End{Problem: api.Refuse(api.ReasonUpstreamRefused, "the upstreams refuse work (%v); come back later", r.Err).WithRetryAfter(max(r.RetryAfter, time.Second))}
	case upstream.Timeout:
		return answer.End{Problem: api.UnknownOutcome(api.ReasonUpstreamTimeout, "the deadline passed while the upstream worked; allow more time, and check what it did before you send it under a new key")}
	case upstream.Cut:
		return answer.End{Problem: api.UnknownOutcome(api.ReasonUpstreamCut, "the upstream ended its answer early (%v); check what it did, or resume with Last-Event-ID", r.Err)}
	case upstream.Garbage:
		return answer.End{Problem: api.UnknownOutcome(api.ReasonUpstreamGarbage, "the upstream's answer breaks its protocol (%v); check what it did, and tell your operator", r.Err)}
	case upstream.Cancelled:
		return answer.End{Problem: api.UnknownOutcome(api.ReasonCallerGone, "the caller closed the connection while the upstream worked")}
	default:
		return answer.End{Problem: api.UnknownOutcome(api.ReasonUpstreamLost, "the connection broke after the request was written (%v); check what it did before you send it under a new key", r.Err)}
	}
}

// unused returns the tokens that a request was granted and didn't use. What another
// zone used isn't known here, and counts whole.
func (a *attempts) unused(end answer.End) int {
	switch {
	case end.Outcome() == api.NotRun:
		return a.request.Prompt + a.request.Output
	case a.spilled:
		return 0
	default:
		return max(a.request.Output-a.output, 0)
	}
}
