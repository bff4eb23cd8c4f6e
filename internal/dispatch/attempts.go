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
	identity     quarantine.Request
	dispatcher   *Dispatcher
	snapshot     *config.Snapshot
	request      *request.Request
	buffer       *answer.Buffer
	pool         *pool.Pool
	set          string
	tier         *config.Tier
	organisation *config.Organisation

	// generation is the pause generation under which the current grant was requested.
	generation uint64
	// failedUpstream is the upstream of the last failed attempt, to be avoided by the next one.
	failedUpstream string
	resumes        int
	spilled        bool
	// sentAt is when the last attempt was sent.
	sentAt time.Time
	// outputTokens is the number of output tokens relayed.
	outputTokens int
	// mayHaveRun is set once an attempt was lost after its request was written.
	mayHaveRun bool
}

// run sends the request until it ends, and returns how it ended.
func (a *attempts) run(ctx context.Context) answer.End {
	if a.request.LastEventID != "" {
		return a.resumeForCaller(ctx)
	}
	a.dispatcher.budget.Deposit()
	var last upstream.Result
	for range maxAttempts {
		if left := a.dispatcher.o.Quarantine.Remaining(time.Now(), a.identity); left > 0 {
			return a.finishWithProblem(ctx, a.dispatcher.o.Quarantine.Refusal(a.identity, left))
		}
		grant, problem := a.acquire(ctx)
		if problem != nil {
			return a.finishWithProblem(ctx, problem)
		}
		result := a.send(ctx, grant, a.call(grant))
		if result.Status == upstream.Truncated && a.mayResume(result) {
			return a.resume(ctx, grant.Upstream.Address, result)
		}
		if !a.retry(grant, result) {
			return a.finish(ctx, result)
		}
		last = result
	}
	return a.finish(ctx, last)
}

func (a *attempts) finish(ctx context.Context, r upstream.Result) answer.End {
	end := a.endOf(r)
	if end.Problem == nil {
		return end
	}
	return a.finishWithProblem(ctx, end.Problem)
}

// finishWithProblem spills the request to another zone or ends it with p. A request that may have
// run never ends as not-run.
func (a *attempts) finishWithProblem(ctx context.Context, p *api.Problem) answer.End {
	if end, spilled := a.spill(ctx, p); spilled {
		return end
	}
	if p.Outcome == api.NotRun && a.mayHaveRun {
		p = api.UnknownOutcome(api.ReasonUpstreamLost, "an upstream lost the request, and a retry failed: %s", p.Detail).WithRetryAfter(time.Second)
	}
	return answer.End{Problem: p}
}

func (a *attempts) acquire(ctx context.Context) (*scheduler.Grant, *api.Problem) {
	gate := a.dispatcher.o.Gate
	gate.EnsureFresh(ctx)
	a.generation = gate.Detector.Generation()
	r := a.request
	return a.pool.Acquire(ctx, &scheduler.Request{
		Rank:                a.tier.Rank,
		Organisation:        r.Organisation,
		Share:               a.organisation.Share,
		Arrived:             r.Arrived,
		Deadline:            r.Deadline,
		MaxTimeToFirstToken: a.tier.FirstToken,
		PromptTokens:        r.PromptTokens,
		MaxOutput:           r.MaxOutputTokens,
		PrefixHashes:        r.PrefixHashes,
		Bytes:               len(r.Body),
		FailedUpstream:      a.failedUpstream,
	})
}

func (a *attempts) call(g *scheduler.Grant) upstream.Call {
	return upstream.Call{
		Address:     g.Upstream.Address,
		Request:     a.request,
		Instance:    a.dispatcher.o.Instance,
		Revision:    a.snapshot.Revision,
		BeforeWrite: a.checkBeforeWrite,
		OnLeaving:   func() { a.dispatcher.recordLeavingNotice(g.Upstream.Address, a.sentAt) },
	}
}

// checkBeforeWrite is called before the first byte is written. It returns an error if the process
// was paused since the grant was requested, if the deadline has passed, if the request is
// quarantined, or if the requests are aborted: the slots of others that end may be granted meanwhile.
func (a *attempts) checkBeforeWrite() error {
	if a.dispatcher.aborted.Load() {
		return errShuttingDown
	}
	if a.dispatcher.o.Gate.Detector.Generation() != a.generation {
		return errPaused
	}
	if !time.Now().Before(a.request.Deadline) {
		return context.DeadlineExceeded
	}
	if a.dispatcher.o.Quarantine.Remaining(time.Now(), a.identity) > 0 {
		return quarantine.ErrQuarantined
	}
	return nil
}

// send makes one call and reports its result to the scheduler.
func (a *attempts) send(ctx context.Context, g *scheduler.Grant, call upstream.Call) upstream.Result {
	call.OnFirstOutput = sync.OnceFunc(func() {
		a.dispatcher.o.Metrics.FirstToken(a.tier.Name, time.Since(a.request.Arrived))
		a.pool.RecordFirstToken(g)
	})
	if !a.request.Stream && a.request.Kind != request.Service {
		// A response that isn't streamed doesn't show its first token: prefill counts as
		// complete after the predicted time.
		t := time.AfterFunc(g.PredictedFirstToken(), func() {
			a.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.AssumeFirstToken(now, g) })
		})
		defer t.Stop()
		call.OnFirstOutput = func() {}
	}
	a.sentAt = time.Now()
	result := a.dispatcher.o.Client.Do(ctx, call, a.buffer)
	a.cancelIfTimedOut(g.Upstream.Address, result)
	a.outputTokens += result.OutputTokens
	a.mayHaveRun = a.mayHaveRun || result.Status == upstream.Lost
	a.recordResult(g, result)
	return result
}

// cancelTimeout bounds the call that cancels a stream.
const cancelTimeout = 2 * time.Second

// cancelIfTimedOut cancels a stream whose deadline has passed, in the background. An engine that hasn't named the
// stream yet ends the run when its connection is closed.
func (a *attempts) cancelIfTimedOut(address string, r upstream.Result) {
	if r.Status == upstream.Timeout && r.Position.StreamID != "" {
		a.dispatcher.cancellations.Go(func() { a.cancelStream(address, r.Position.StreamID) })
	}
}

// cancelStream stops a run whose deadline has passed, since its response is no longer useful. The
// run of a caller that disconnected isn't cancelled, since the caller may resume it.
func (a *attempts) cancelStream(address, stream string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	a.dispatcher.o.Client.CancelStream(ctx, address, stream, a.request.Organisation)
}

func (a *attempts) recordResult(g *scheduler.Grant, result upstream.Result) {
	a.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
		switch result.Status {
		case upstream.Done:
			return core.RecordCompleted(now, g, result.OutputTokens)
		case upstream.Busy:
			return core.RecordBusy(now, g)
		case upstream.Cancelled, upstream.Timeout:
			return core.RecordCancelled(now, g)
		case upstream.NotWritten:
			if result.Aborted {
				return core.RecordCancelled(now, g)
			}
			return core.RecordFailure(now, g)
		default:
			return core.RecordFailure(now, g)
		}
	})
	a.recordCrashEvidence(g.Upstream.Address, result)
}

// retry reports whether the request is sent again. An upstream that failed is excluded from the next
// attempt.
func (a *attempts) retry(g *scheduler.Grant, result upstream.Result) bool {
	d := a.dispatcher
	switch result.Status {
	case upstream.NotWritten:
		if errors.Is(result.Err, errShuttingDown) {
			return false
		}
		if errors.Is(result.Err, errPaused) {
			d.recordRetry(a.request, api.RetryPaused, result.Err)
			return true
		}
		if errors.Is(result.Err, quarantine.ErrQuarantined) {
			return true // refused by the next iteration of run; the upstream didn't fail
		}
		a.failedUpstream = g.Upstream.Address
		d.recordRetry(a.request, api.RetryConnect, result.Err)
		return true
	case upstream.Busy:
		if a.buffer.Started() || !d.budget.Withdraw() {
			return false
		}
		a.failedUpstream = g.Upstream.Address
		d.recordRetry(a.request, api.RetryUpstreamBusy, result.Err)
		return true
	case upstream.Lost:
		if a.request.NonIdempotent || a.buffer.Started() || !d.budget.Withdraw() {
			return false
		}
		a.failedUpstream = g.Upstream.Address
		d.recordRetry(a.request, api.RetryUpstreamLost, result.Err)
		return true
	default:
		return false
	}
}

// endOf returns the end of a request that isn't retried.
func (a *attempts) endOf(r upstream.Result) answer.End {
	switch r.Status {
	case upstream.Done:
		return answer.End{Unstated: r.EndUnstated}
	case upstream.NotWritten:
		return answer.End{Problem: api.Refuse(api.ReasonUnreachable, "no upstream could be reached (%v); retry after the given time", r.Err).WithRetryAfter(time.Second)}
	case upstream.Busy:
		return answer.End{Problem: api.Refuse(api.ReasonUpstreamRefused, "the upstreams refuse requests (%v); retry after the given time", r.Err).WithRetryAfter(max(r.RetryAfter, time.Second))}
	case upstream.Timeout:
		return answer.End{Problem: api.UnknownOutcome(api.ReasonUpstreamTimeout, "the deadline passed while the upstream ran the request; allow more time, and check what it did before you send it under a new key")}
	case upstream.Truncated:
		return answer.End{Problem: api.UnknownOutcome(api.ReasonUpstreamCut, "the upstream's response was truncated (%v); check what the request did, or resume with Last-Event-ID", r.Err)}
	case upstream.NotResumed:
		return answer.End{Problem: api.UnknownOutcome(api.ReasonUpstreamLost, "the engine doesn't continue this stream (%v); send the request again, without Last-Event-ID", r.Err)}
	case upstream.InvalidResponse:
		return answer.End{Problem: api.UnknownOutcome(api.ReasonUpstreamGarbage, "the upstream's response is invalid (%v); check what the request did, and report this to your operator", r.Err)}
	case upstream.Cancelled:
		return answer.End{Problem: api.UnknownOutcome(api.ReasonCallerGone, "the caller closed the connection while the upstream ran the request")}
	default:
		return answer.End{Problem: api.UnknownOutcome(api.ReasonUpstreamLost, "the connection failed after the request was written (%v); check what it did before you send it under a new key", r.Err)}
	}
}

// unused returns the granted tokens that the request didn't use. The tokens used in another zone
// aren't known here, so a spilled request that may have run there returns none.
func (a *attempts) unused(end answer.End) int {
	switch {
	case end.Outcome() == api.NotRun:
		return a.request.PromptTokens + a.request.MaxOutputTokens
	case a.spilled:
		return 0
	default:
		return max(a.request.MaxOutputTokens-a.outputTokens, 0)
	}
}
