package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/upstream"
	"github.com/tacktally/tacktally/internal/wait"
)

// resumeDelay is added to the delay with each attempt to resume a stream. The first attempt is made
// at once.
const resumeDelay = 50 * time.Millisecond

// mayResume reports whether a truncated stream can be resumed at its engine. The engine continues
// the same run, so non-idempotent requests may be resumed too. One whose next event doesn't fit into
// its buffer can't.
func (a *attempts) mayResume(r upstream.Result) bool {
	return !errors.Is(r.Err, answer.ErrTooLarge) && r.Position.StreamID != "" && a.request.Kind != request.Service && a.resumes < maxResumes
}

// resume continues a truncated stream where it stopped, without a second prefill.
func (a *attempts) resume(ctx context.Context, address string, truncated upstream.Result) answer.End {
	for a.mayResume(truncated) && ctx.Err() == nil {
		a.resumes++
		a.generation = a.dispatcher.o.Gate.Detector.Generation()
		a.dispatcher.recordRetry(a.request, api.RetryResume, truncated.Err)
		if !wait.For(ctx, time.Duration(a.resumes-1)*resumeDelay) {
			break
		}
		result := a.dispatcher.o.Client.Do(ctx, a.resumeCall(address, truncated.Position), a.buffer)
		a.outputTokens += result.OutputTokens
		if result.Status == upstream.Done {
			return answer.End{}
		}
		if result.Position.StreamID == "" { // nothing of the stream came
			result.Position = truncated.Position
		}
		truncated = result
	}
	truncated.Status = a.statusOfUnresumed(ctx)
	a.cancelIfTimedOut(address, truncated)
	return a.endOf(truncated)
}

// statusOfUnresumed returns how a truncated stream that isn't resumed any more has ended.
func (a *attempts) statusOfUnresumed(ctx context.Context) upstream.Status {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded) || !time.Now().Before(a.request.Deadline):
		return upstream.Timeout
	case ctx.Err() != nil:
		return upstream.Cancelled
	default:
		return upstream.Truncated
	}
}

// resumeForCaller resumes a stream that the caller lost, possibly at another instance. The engine
// checks that the stream belongs to the organisation.
func (a *attempts) resumeForCaller(ctx context.Context) answer.End {
	token, err := upstream.ParseResumeToken(a.request.LastEventID)
	if err != nil {
		return answer.End{Problem: api.Refuse(api.ReasonInvalidRequest, "%v", err)}
	}
	if !a.dispatcher.isListed(a.set, token.Upstream) {
		return answer.End{Problem: api.UnknownOutcome(api.ReasonUpstreamLost, "the engine of this stream is no longer in service; send the request again, without Last-Event-ID")}
	}
	a.generation = a.dispatcher.o.Gate.Detector.Generation()
	result := a.dispatcher.o.Client.Do(ctx, a.resumeCall(token.Upstream, token), a.buffer)
	if result.Status == upstream.Truncated && a.mayResume(result) {
		return a.resume(ctx, token.Upstream, result)
	}
	result.Position.StreamID = token.StreamID // also where the engine's head came too late
	a.cancelIfTimedOut(token.Upstream, result)
	return a.endOf(result)
}

func (a *attempts) resumeCall(address string, after upstream.ResumeToken) upstream.Call {
	sentAt := time.Now()
	return upstream.Call{
		Address:       address,
		Request:       a.request,
		Instance:      a.dispatcher.o.Instance,
		Revision:      a.snapshot.Revision,
		Resume:        after,
		BeforeWrite:   a.checkBeforeWrite,
		OnFirstOutput: func() {},
		OnLeaving:     func() { a.dispatcher.recordLeavingNotice(address, sentAt) },
	}
}
