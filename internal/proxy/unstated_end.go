package proxy

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// unstatedEndTimeout bounds the check of an upstream whose response states no end. Callers give up a stream after two
	// seconds without an event.
	unstatedEndTimeout = 1500 * time.Millisecond
	// unstatedEndPause is how long after a check that shows nothing the next one begins: the peers that are asked may
	// lack processor time.
	unstatedEndPause = 100 * time.Millisecond
)

// Errors of responses that state no end.
var (
	// errTerminated means that the response has ended with its upstream's process.
	errTerminated = fmt.Errorf("%w: the upstream's process has terminated", exchange.ErrTruncated)
	// errMayBeTerminated means that the upstream refuses connections, and so do its neighbours, or that it was removed
	// from the list while it could not be reached.
	errMayBeTerminated = fmt.Errorf("%w: the upstream's process may have terminated", exchange.ErrTruncated)
	// errUnchecked means that the attempt was given up before it was known whether the process has terminated.
	errUnchecked = fmt.Errorf("%w: whether the upstream's process has terminated isn't known", exchange.ErrTruncated)
	// errUnreached means that no check had an answer within unstatedEndTimeout. It says nothing about the upstream.
	errUnreached = fmt.Errorf("%w: %w", errUnchecked, fleet.ErrNoPath)
	// errUnconfirmed means that the upstream was leaving and doesn't accept connections: it may have closed its port
	// before it completed the response.
	errUnconfirmed = fmt.Errorf("%w: it was leaving", errUnchecked)
)

// isUnstated reports whether nothing but the close of its connection ends the response, which isn't a failure.
func (r *relay) isUnstated() bool {
	return r.response.Framing == exchange.UntilClose && r.response.Status < http.StatusBadRequest
}

// checkUnstatedEnd returns an error if the response states no end and its upstream's process has terminated: a
// process that is killed closes its connections in order. Where the request may be sent again, it also does if the
// process may have terminated, or if no check has an answer within unstatedEndTimeout; another attempt tells whether
// there is more. Where the request may not be sent again, such a response is complete. An instance that has noticed the
// crash has told it; otherwise the upstream is diagnosed, by check. One that is leaving, or that the list lacks from the
// start, may have completed its last response; where another attempt can confirm that, the error is errUnconfirmed if a
// leaving one doesn't accept connections. checkUnstatedEnd blocks for about unstatedEndTimeout at most.
func (r *relay) checkUnstatedEnd(check connectionDiagnosis) error {
	if !r.isUnstated() {
		return nil
	}
	r.silence.partReceived() // nothing more will come
	ctx, cancel := context.WithTimeout(r.ctx, unstatedEndTimeout)
	defer cancel()
	leaving := r.leaving // stays true once its entry is removed
	for tries := 0; ; tries++ {
		h, upstream := r.job.handler, r.job.upstream
		if r.hasCrashed() {
			return r.terminated(errTerminated)
		}
		connections := h.o.Fleet.ConnectionsTo(upstream)
		leaving = leaving || h.o.Fleet.IsLeaving(r.process)
		switch {
		case leaving && !r.mayConfirm(), connections == nil && tries == 0:
			return nil
		case leaving && h.o.Fleet.ProcessOf(upstream) != r.process: // it may have left in order
			return errUnconfirmed
		case connections == nil: // it was removed from the list while it gave no answer
			return r.terminated(errMayBeTerminated)
		case h.o.Fleet.ProcessOf(upstream) != r.process: // another process has the upstream's ID
			return r.terminated(errTerminated)
		}
		diagnosis, _ := h.diagnoseProcess(ctx, upstream, connections, check)
		leaving = leaving || h.o.Fleet.IsLeaving(r.process) // it may have announced so meanwhile
		switch {
		case leaving && (diagnosis == quarantine.Alive || !r.mayConfirm()):
			return nil
		case leaving && !r.hasCrashed():
			return errUnconfirmed
		case diagnosis == quarantine.Terminated, diagnosis != quarantine.Alive && r.hasCrashed(): // noticed meanwhile
			return r.terminated(errTerminated)
		case r.ctx.Err() != nil:
			return errUnchecked
		case diagnosis == quarantine.Inconclusive && r.job.route.MayRetry():
			return r.terminated(errMayBeTerminated)
		case diagnosis == quarantine.Alive:
			return nil
		case ctx.Err() != nil && r.job.route.MayRetry():
			return errUnreached
		case ctx.Err() != nil:
			return nil
		}
		wait.For(ctx, unstatedEndPause)
	}
}

// hasCrashed reports whether an instance has noticed that the process has terminated while requests were there.
func (r *relay) hasCrashed() bool {
	return r.job.handler.o.Quarantine.HasCrashed(time.Now(), r.job.sentAt, r.process)
}

// mayConfirm reports whether another attempt can show whether the stream is complete.
func (r *relay) mayConfirm() bool {
	j := r.job
	return j.route.Kind == routing.Stream && j.route.MayRetry() && j.position.mayResume() && j.mayAttemptAgain()
}

// unconfirmedRun is a run of a stream whose end wasn't confirmed.
type unconfirmedRun struct {
	process string
	sent    time.Time // its request
}

// awaitConfirmation makes the request end as complete, at the latest unstatedEndTimeout after the end of its last run,
// unless an attempt brings more of the stream: the caller may have all of it, and gives up a silent one.
func (r *relay) awaitConfirmation(ended time.Time) {
	j := r.job
	j.unconfirmed = append(j.unconfirmed, unconfirmedRun{process: r.process, sent: j.sentAt})
	j.handler.o.Metrics.Count("tacktally_unstated_ends_unconfirmed_total")
	if j.confirmation == nil {
		j.confirmation = time.AfterFunc(time.Until(ended.Add(unstatedEndTimeout)), func() { j.cancel(context.DeadlineExceeded) })
	}
}

// endConfirmation is called when the stream has turned out to be incomplete, or the request has ended.
func (j *job) endConfirmation() {
	if j.confirmation == nil {
		return
	}
	j.confirmation.Stop()
	j.confirmation = nil
}

// unconfirmedProblem returns the problem of a stream whose end wasn't confirmed: nil, unless a process that may have
// broken it off is known to have crashed meanwhile.
func (j *job) unconfirmedProblem() *api.Problem {
	crashed := func(u unconfirmedRun) bool { return j.handler.o.Quarantine.HasCrashed(time.Now(), u.sent, u.process) }
	if slices.ContainsFunc(j.unconfirmed, crashed) {
		return j.problemFor(attemptResult{status: truncated, err: errTerminated})
	}
	return nil
}

func (r *relay) terminated(err error) error {
	r.job.handler.o.Metrics.Count("tacktally_unstated_ends_terminated_total")
	return err
}

// connectionDiagnosis is quarantine.Diagnose, or quarantine.DiagnoseNow.
type connectionDiagnosis func(ctx context.Context, upstream quarantine.ConnectionCheck, neighbours []quarantine.ConnectionCheck) quarantine.Diagnosis

// diagnoseProcess checks whether the process of an upstream has terminated, and returns how many of its neighbours
// could be checked as well. It blocks for the connection checks.
func (h *Handler) diagnoseProcess(ctx context.Context, upstream string, connections *exchange.Pool, check connectionDiagnosis) (d quarantine.Diagnosis, checked int) {
	var neighbours []quarantine.ConnectionCheck
	for _, p := range h.o.Fleet.Neighbours(upstream, quarantine.MaxNeighbours) {
		neighbours = append(neighbours, p.CheckConnection)
	}
	return check(ctx, connections.CheckConnection, neighbours), len(neighbours)
}
