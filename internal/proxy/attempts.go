package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/scheduler"
)

const (
	// maxWaitShare is the share of the latency objective that a request waits for a free slot. A
	// request that the caller sees refused within a quarter of the objective can still be served in
	// time by a retry; the rest of that quarter covers the round trip to the caller.
	maxWaitShare = 0.22
	// A retryable request is abandoned at an upstream that hasn't begun its response after
	// responseTimeoutFactor times the latency objective or predictedTimeoutFactor times the
	// predicted time, whichever is longer: a long prompt alone is no sign of a fault.
	responseTimeoutFactor  = 2.5
	predictedTimeoutFactor = 3
	// maxConnectFailures bounds the failed connections of a request, and maxUnusableGrants the
	// grants of upstreams that this instance may not use. The next slot request reports to the
	// owner which upstreams these are.
	maxConnectFailures = 3
	maxUnusableGrants  = 8
)

// errSilent ends an exchange with an upstream that has sent nothing for too long.
var errSilent error = silenceError{}

// silenceError is a time-out, as net.Error defines it.
type silenceError struct{}

func (silenceError) Error() string { return "the upstream sent nothing for too long" }

// Timeout reports that this is a time-out.
func (silenceError) Timeout() bool { return true }

// attemptResult is how one attempt ended.
type attemptResult struct {
	status attemptStatus
	err    error
	// process is the upstream process that the request was sent to; empty if it wasn't sent.
	process string
	// failure is a failure response of the upstream that wasn't relayed; nil if there is none.
	failure *bufferedResponse
	// replacement is the grant for which the attempt was ended, since its upstream was silent; nil if it wasn't.
	replacement fleet.Grant
	// silent reports that the upstream had been silent for too long when the attempt ended for another reason.
	silent bool
}

// attemptStatus is the status of an attempt.
type attemptStatus uint8

const (
	// completed: the whole response was relayed.
	completed attemptStatus = iota
	// notSent: nothing was written to the upstream.
	notSent
	// notUsable: nothing was written, since this instance knows that the upstream is leaving, or
	// doesn't know the upstream. It indicates no fault of the upstream.
	notUsable
	// notRun: the upstream refused the request.
	notRun
	// misdirected: another upstream has the address.
	misdirected
	// lost: the request may have run, and nothing of a response was relayed.
	lost
	// invalidResponse: the response can't be relayed. The request may have run.
	invalidResponse
	// truncated: the response broke off after a part of it was relayed.
	truncated
	// upstreamFailed: the upstream responded with a failure of its own, which is kept.
	upstreamFailed
	// unconfirmed: the whole response may have been relayed; another attempt shows whether there is more.
	unconfirmed
	// callerDisconnected: the caller closed its connection.
	callerDisconnected
	// aborted: the instance shut down.
	aborted
	// deadlineExceeded: the request's deadline passed.
	deadlineExceeded
)

// run makes attempts until the request is answered or given up.
func (j *job) run() (problem *api.Problem) {
	ctx, cancel := j.context()
	defer cancel()
	ctx, j.cancel = context.WithCancelCause(ctx)
	defer j.cancel(context.Canceled)
	defer context.AfterFunc(j.handler.aborted, func() { j.cancel(errShuttingDown) })()
	defer j.endConfirmation()
	defer func() {
		j.handler.durations.end(time.Now(), j, problem == nil && j.status < http.StatusInternalServerError)
	}()
	failedUpstream := ""
	kind := peer.FirstAttempt
	var last attemptResult
	connectFailures, unusableGrants := 0, 0
	for {
		if problem := j.checkQuarantine(); problem != nil {
			last.releaseReplacement()
			return j.orUpstreamFailure(j.markPossiblyRun(problem))
		}
		if problem := j.checkGrace(); problem != nil {
			last.releaseReplacement()
			return problem
		}
		g, problem := j.acquire(ctx, last.replacement, failedUpstream, kind)
		if problem == nil || kind == peer.FirstAttempt {
			kind = peer.RequeuedAttempt
		}
		if problem != nil && j.waitForBackoff(ctx, problem) {
			continue
		}
		if problem != nil && problem.Reason == api.ReasonRetryBudget {
			return j.finalProblem(last)
		}
		if problem != nil {
			return j.orUpstreamFailure(j.markPossiblyRun(j.orBackoffProblem(problem)))
		}
		if problem := j.checkGrace(); problem != nil { // it may have waited long
			g.End(scheduler.Unused, 0)
			return problem
		}
		j.handler.durations.begin(time.Now(), j)
		r := j.attempt(ctx, g)
		j.reportResult(g, r)
		switch r.status {
		case notRun, misdirected:
			if last.replacement != nil {
				j.attempts-- // the attempt that was ended for it might have been answered
			}
		case notSent:
			connectFailures++
		case notUsable:
			unusableGrants++
		default:
		}
		if r.failure != nil {
			j.keepFailure(r.failure)
		}
		reason, next := j.decideRetry(ctx, r, connectFailures < maxConnectFailures && unusableGrants < maxUnusableGrants)
		if next == noRetry {
			r.releaseReplacement()
			return j.finalProblem(r)
		}
		if next == retry {
			kind = peer.RetryAttempt
		}
		last = r
		failedUpstream = g.Upstream()
		j.handler.o.Metrics.Retried(reason)
		j.handler.o.Log.Info().Str("event", "retry").Str("request", j.info.ID).Str("reason", string(reason)).
			Str("upstream", failedUpstream).Int("attempts", j.attempts).Str("after", j.position.lastID).Str("cause", fmt.Sprint(r.err)).Msg("")
	}
}

// releaseReplacement returns the replacement if there is one, since nothing will be sent.
func (r *attemptResult) releaseReplacement() {
	if r.replacement != nil {
		r.replacement.End(scheduler.Unused, 0)
	}
}

// acquire returns the grant for the next attempt, which is the replacement if the last one was ended for it.
func (j *job) acquire(ctx context.Context, replacement fleet.Grant, failedUpstream string, kind peer.AttemptKind) (fleet.Grant, *api.Problem) {
	if replacement != nil {
		return replacement, nil
	}
	g, problem := j.handler.o.Fleet.Acquire(ctx, j.acquireRequest(failedUpstream, kind, j.origin))
	if problem == nil {
		return g, nil
	}
	if kind == peer.RetryAttempt {
		j.replacementRefusal = problem.Reason
		j.countRefusedReplacement(problem)
	}
	if errors.Is(context.Cause(ctx), errShuttingDown) {
		return nil, j.drainingProblem()
	}
	return nil, problem
}

func (j *job) countRefusedReplacement(p *api.Problem) {
	j.handler.o.Metrics.Count(fmt.Sprintf("tacktally_replacements_refused_total{reason=%q}", p.Reason))
}

// acquireRequest returns the request for a slot. failedUpstream is the upstream at which the last
// attempt failed, empty if there was none; origin is the version that its upstream must have.
func (j *job) acquireRequest(failedUpstream string, kind peer.AttemptKind, origin scheduler.VersionConstraint) *fleet.AcquireRequest {
	return &fleet.AcquireRequest{ID: j.info.ID, Identity: j.identity, Service: j.service, Request: j.schedulerRequest(failedUpstream, origin), Segments: j.info.PromptSegments, Attempt: kind}
}

func (j *job) schedulerRequest(failedUpstream string, origin scheduler.VersionConstraint) *scheduler.Request {
	return &scheduler.Request{
		Rank:              j.rank(),
		Organisation:      j.organisationName(),
		Share:             1,
		Arrived:           j.arrived,
		Deadline:          j.deadline,
		MaxWait:           j.maxWait(failedUpstream != ""),
		LatencyObjective:  j.route.LatencyObjective,
		AllowLate:         true,
		PromptTokens:      j.info.PromptTokens,
		MaxOutput:         j.info.MaxOutputTokens,
		ExpectedOutput:    j.info.ExpectedOutputTokens,
		Bytes:             len(j.body),
		FailedUpstream:    failedUpstream,
		RegionConstraint:  scheduler.RegionConstraint(routing.RegionConstraintOf(j.route, j.organisation)),
		VersionConstraint: origin,
	}
}

// maxWait returns how long after its arrival the request may wait for a free slot; 0 means until
// its deadline. A request that has failed at an upstream waits until its deadline: the failed
// attempt took time, and a refusal now might promise the caller too much.
func (j *job) maxWait(retried bool) time.Duration {
	switch {
	case retried || j.route.LatencyObjective == 0:
		return 0
	case j.origin.Restricted:
		return maxResumptionWait
	}
	return time.Duration(maxWaitShare * float64(j.route.LatencyObjective))
}

// decideRetry decides whether there is another attempt, and returns the reason.
func (j *job) decideRetry(ctx context.Context, r attemptResult, mayRequeue bool) (api.Reason, retryDecision) {
	if ctx.Err() != nil {
		return "", noRetry
	}
	switch r.status {
	case notSent, notUsable:
		return api.RetryConnect, decisionIf(mayRequeue, requeue)
	case notRun, misdirected:
		return api.RetryUpstreamBusy, decisionIf(j.mayAttemptAgain(), retry)
	case unconfirmed:
		return api.RetryResume, decisionIf(j.mayAttemptAgain(), retry)
	case upstreamFailed:
		return api.RetryUpstreamFailed, decisionIf(j.route.MayRetry() && j.mayAttemptAgain(), retry)
	case lost, invalidResponse, truncated:
		reason := api.RetryUpstreamLost
		if errors.Is(r.err, errSilent) {
			reason = api.RetryUpstreamSilent
		} else if r.status == truncated {
			reason = api.RetryResume
		}
		return reason, decisionIf(j.route.MayRetry() && j.mayAttemptAgain(), retry)
	default:
		return "", noRetry
	}
}

// retryDecision is what follows an attempt.
type retryDecision uint8

const (
	// noRetry: no further attempt.
	noRetry retryDecision = iota
	// requeue: an attempt that replaces this one, since nothing was sent.
	requeue
	// retry: a retry, if the retry budget allows it.
	retry
)

func decisionIf(may bool, d retryDecision) retryDecision {
	if !may {
		return noRetry
	}
	return d
}

// mayAttemptAgain reports whether the request may be sent to one more upstream. Once a part of the
// response was relayed, only a stream can be resumed, after an event with an ID.
func (j *job) mayAttemptAgain() bool {
	return j.attempts < j.route.MaxAttempts && (!j.responseStarted || j.position.mayResume())
}

// reportResult reports the result of an attempt to the scheduler and releases the slot.
func (j *job) reportResult(g fleet.Grant, r attemptResult) {
	output := 0
	if r.status == completed || r.status == unconfirmed {
		output = j.outputTokens()
	}
	g.End(j.schedulerResult(r), output)
	j.recordCrashEvidence(r)
	if r.status != completed {
		event := j.handler.o.Log.Info().Str("event", "attempt_failed")
		if left, stopping := j.handler.graceLeft(); stopping {
			event = event.Dur("grace_left", left)
		}
		if errors.Is(r.err, errSilent) {
			j.handler.o.Metrics.Count("tacktally_attempts_ended_for_silence_total")
		}
		event.Str("request", j.info.ID).Str("key", j.identity.Key.String()).Strs("segments", j.segmentNames()).Int("events", j.events).Str("framing", j.framing.String()).Bool("reused", j.reused).Bool("via_peer", j.viaPeer).
			Bool("head_sent", j.responseStarted).Int64("first_event", j.position.run.first).Int64("last_event", j.position.run.last).Int("skipped", j.position.skipped).Str("upstream", g.Upstream()).
			Str("owner", g.Owner()).Int64("owner_list", g.ListVersion()).Int64("list", j.versions.own).Dur("list_age", j.versions.age).Dur("silent", time.Since(j.lastPartAt)).Str("status", r.status.String()).Str("cause", fmt.Sprint(r.err)).Msg("")
	}
}

// schedulerResult returns the result of an attempt for the scheduler. A failure that may be due to the
// network path says nothing about the upstream.
func (j *job) schedulerResult(r attemptResult) scheduler.Result {
	result := schedulerResultOf(r.status, j.status)
	if r.silent && r.status != notUsable && result == scheduler.Cancelled && j.handler.o.Fleet.BlamesUpstream(errSilent) {
		return scheduler.Silent
	}
	failed := result == scheduler.Unreachable || result == scheduler.LostResponse
	switch {
	case failed && !j.handler.o.Fleet.BlamesUpstream(r.err):
		return scheduler.Cancelled
	case failed && errors.Is(r.err, errSilent):
		return scheduler.Silent
	default:
		return result
	}
}

// outputTokens returns how many tokens the last response had, as far as its events show.
func (j *job) outputTokens() int {
	if service := j.table.Service(j.service); service != nil {
		return j.events * service.TokensPerEvent
	}
	return 0
}

// finalProblem returns the problem of a request that isn't retried; nil if it was answered.
func (j *job) finalProblem(r attemptResult) *api.Problem {
	if r.status == completed {
		return nil
	}
	return j.orUpstreamFailure(j.problemFor(r))
}

// orUpstreamFailure relays the kept failure response of an upstream instead of p, if there is one:
// it is more specific, and signed. A stream whose end nothing has disproved counts as answered.
func (j *job) orUpstreamFailure(p *api.Problem) *api.Problem {
	if j.confirmation != nil && j.request.Context().Err() == nil && j.handler.aborted.Err() == nil {
		return j.unconfirmedProblem()
	}
	if p == nil || j.failure == nil || j.responseStarted || p.Reason == api.ReasonCallerGone {
		return p
	}
	return j.writeUpstreamFailure()
}

// problemFor returns the problem for the last attempt; nil if it completed.
func (j *job) problemFor(r attemptResult) *api.Problem {
	switch r.status {
	case completed, unconfirmed:
		return nil
	case notSent, notUsable:
		return j.markPossiblyRun(api.Refuse(api.ReasonUnreachable, "no upstream could be reached (%v); retry after the given time", r.err).WithRetryAfter(fleet.ShortRetryAfter))
	case notRun, misdirected:
		return j.markPossiblyRun(api.Refuse(api.ReasonUpstreamRefused, "the upstream refused the request (%v); retry after the given time", r.err).WithRetryAfter(j.retryAfter()))
	case upstreamFailed:
		return j.withBackoff(api.UnknownOutcome(api.ReasonUpstreamLost, "the upstream responded with a failure: %v", r.err))
	case invalidResponse:
		return api.UnknownOutcome(api.ReasonUpstreamGarbage, "the upstream's response is invalid: %v", r.err)
	case truncated:
		return api.UnknownOutcome(api.ReasonUpstreamCut, "the upstream's response was truncated: %v", r.err)
	case callerDisconnected:
		return api.UnknownOutcome(api.ReasonCallerGone, "the caller closed the connection")
	case aborted:
		return api.UnknownOutcome(api.ReasonUpstreamLost, "the instance shut down while an upstream was processing the request")
	case deadlineExceeded:
		return api.UnknownOutcome(api.ReasonUpstreamTimeout, "the deadline passed while an upstream was processing the request")
	default:
		return api.UnknownOutcome(api.ReasonUpstreamLost, "the connection failed after the request was sent: %v", r.err)
	}
}

// markPossiblyRun ensures that a request that may have run isn't reported as not run.
func (j *job) markPossiblyRun(p *api.Problem) *api.Problem {
	switch {
	case p.Outcome != api.NotRun || !j.mayHaveRun:
		return p
	case p.Reason == api.ReasonDeadlineExpired:
		return api.UnknownOutcome(api.ReasonUpstreamTimeout, "an earlier attempt may have run: %s", p.Detail)
	default:
		return j.withBackoff(api.UnknownOutcome(api.ReasonUpstreamLost, "an earlier attempt may have run: %s", p.Detail))
	}
}

var statusNames = map[attemptStatus]string{
	completed: "done", notSent: "not_sent", notUsable: "not_usable", notRun: "not_run", misdirected: "misdirected", lost: "lost",
	invalidResponse: "garbage", truncated: "cut", upstreamFailed: "failed", unconfirmed: "unconfirmed", callerDisconnected: "caller_gone", aborted: "aborted", deadlineExceeded: "out_of_time",
}

// String returns the status as logs show it.
func (s attemptStatus) String() string { return statusNames[s] }

// statusOf returns the status and the cause of a failed exchange, from its error and from the cause
// that ended ctx.
func statusOf(ctx context.Context, err error) (attemptStatus, error) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(err, fleet.ErrNotUsable), errors.Is(err, quarantine.ErrQuarantined):
		return notUsable, err
	case errors.Is(err, exchange.ErrNotSent):
		return notSent, err
	case errors.Is(cause, errSilent):
		return lost, errSilent
	case errors.Is(cause, errShuttingDown):
		return aborted, cause
	case errors.Is(cause, context.DeadlineExceeded):
		return deadlineExceeded, cause
	case errors.Is(cause, context.Canceled):
		return callerDisconnected, cause
	case errors.Is(err, exchange.ErrInvalidResponse):
		return invalidResponse, err
	default:
		return lost, err
	}
}

// schedulerResults maps the status of an attempt to the result that the scheduler receives.
var schedulerResults = map[attemptStatus]scheduler.Result{
	completed:          scheduler.Completed,
	unconfirmed:        scheduler.Completed,
	notSent:            scheduler.Unreachable,
	notUsable:          scheduler.Cancelled,
	notRun:             scheduler.Busy,
	misdirected:        scheduler.Misdirected,
	lost:               scheduler.LostResponse,
	invalidResponse:    scheduler.LostResponse,
	truncated:          scheduler.LostResponse,
	upstreamFailed:     scheduler.UpstreamError,
	callerDisconnected: scheduler.Cancelled,
	aborted:            scheduler.Cancelled,
	deadlineExceeded:   scheduler.Cancelled,
}

// schedulerResultOf returns the result for the scheduler. relayedStatus is the HTTP status that was
// relayed to the caller; 0 if none was.
func schedulerResultOf(s attemptStatus, relayedStatus int) scheduler.Result {
	if s == completed && relayedStatus >= http.StatusInternalServerError {
		return scheduler.UpstreamError
	}
	return schedulerResults[s]
}
