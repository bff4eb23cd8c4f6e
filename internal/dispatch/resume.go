package dispatch

import (
	"context"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/upstream"
	"github.com/tacktally/tacktally/internal/wait"
)

// resumePause is the time between two tries to resume a stream.
const resumePause = 50 * time.Millisecond

// mayResume tells whether a cut stream can be taken up at its engine. The engine
// goes on with the same run, so this holds for non-idempotent requests too.
func (a *attempts) mayResume(r upstream.Result) bool {
	return r.StreamID != "" && a.request.Kind != request.Service && a.resumes < maxResumes
}

// resume takes a stream up where it was cut, without reading the prompt again.
func (a *attempts) resume(ctx context.Context, address string, cut upstream.Result) answer.End {
	for a.mayResume(cut) {
		a.resumes++
		a.epoch = a.dispatcher.o.Gate.Detector.Epoch()
		a.dispatcher.retried(a.request, api.RetryResume, cut.Err)
		if !wait.For(ctx, time.Duration(a.resumes-1)*resumePause) {
			break
		}
		result := a.dispatcher.o.Client.Do(ctx, a.resumeCall(address, cut.StreamID, cut.Events), a.buffer)
		a.output += result.Output
		if result.Status == upstream.Done {
			return answer.End{}
		}
		if result.Status != upstream.Cut {
			result.StreamID, result.Events = cut.StreamID, cut.Events
		}
		cut = result
	}
	cut.Status = upstream.Cut
	return a.end(cut)
}

// resumeForCaller takes up a stream that a caller lost, perhaps at another
// instance. The engine checks that the stream is the organisation's.
func (a *attempts) resumeForCaller(ctx context.Context) answer.End {
	token, err := upstream.ParseResumeToken(a.request.LastEventID)
	if err != nil {
		return answer.End{Problem: api.Refuse(api.ReasonInvalidRequest, "%v", err)}
	}
	if !a.dispatcher.isListed(a.set, token.Upstream) {
		return answer.End{Problem: api.UnknownOutcome(api.ReasonUpstreamLost, "the engine of this stream is no longer in service; send the request anew, without Last-Event-ID")}
	}
	a.epoch = a.dispatcher.o.Gate.Detector.Epoch()
	result := a.dispatcher.o.Client.Do(ctx, a.resumeCall(token.Upstream, token.StreamID, token.Events), a.buffer)
	if result.Status == upstream.Cut && a.mayResume(result) {
		return a.resume(ctx, token.Upstream, result)
	}
	return a.end(result)
}

func (a *attempts) resumeCall(address, stream string, events int) upstream.Call {
	return upstream.Call{
		Address:  address,
		Request:  a.request,
		Instance: a.dispatcher.o.Instance,
		Revision: a.snapshot.Revision,
		StreamID: stream,
		Events:   events,
		Guard:    a.guard,
		OnFirst:  func() {},
	}
}
