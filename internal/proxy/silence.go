package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/wait"
)

// maxSearchPause bounds the pause between two requests for a replacement. It doubles after each refusal, since others may
// be waiting for the same retry budget.
const maxSearchPause = time.Second

// silenceWatch requests a slot at another upstream when that of an attempt has sent nothing for too long, and ends the
// attempt once it is granted: the upstream may only be slow, and without a replacement nothing would be left for the
// caller. Whichever comes first counts, the next part of the response or the grant. It watches only requests that can be
// retried; a nil silenceWatch watches nothing. awaitPart, partReceived and close are called by the goroutine of the request.
type silenceWatch struct {
	job      *job
	ctx      context.Context // of the attempt
	cancel   context.CancelCauseFunc
	upstream string
	process  string        // of the upstream, when the attempt began
	timeout  time.Duration // silence that is too long after a part of the response; 0 for none

	mu          sync.Mutex
	timer       *time.Timer
	awaiting    bool
	due         time.Time                   // when the silence is too long, while awaiting a part
	since       time.Time                   // when the upstream last sent something, while awaiting a part
	origin      scheduler.VersionConstraint // version that a replacement must have
	endSearch   context.CancelFunc          // nil if there is no search
	searches    sync.WaitGroup
	replacement fleet.Grant // the attempt was ended for it; nil if it wasn't
}

// watchSilence starts to watch an attempt that is about to be sent; it returns nil if that can't be retried. The caller
// calls close at its end.
func (j *job) watchSilence(ctx context.Context, g fleet.Grant, process string, cancel context.CancelCauseFunc) *silenceWatch {
	if !j.route.MayRetry() || j.attempts+1 >= j.route.MaxAttempts || j.route.LatencyObjective == 0 {
		return nil
	}
	first := max(time.Duration(responseTimeoutFactor*float64(j.route.LatencyObjective)), predictedTimeoutFactor*g.PredictedFirstToken())
	now := time.Now()
	s := &silenceWatch{job: j, ctx: ctx, cancel: cancel, upstream: g.Upstream(), process: process, timeout: first, awaiting: true, since: now, due: now.Add(first), origin: j.origin}
	if j.route.Kind == routing.Stream {
		s.timeout = idleTimeout(j.route.MaxEventInterval)
	}
	s.timer = time.AfterFunc(first, s.expired)
	return s
}

// idleTimeout returns how long an upstream may be silent within a stream; 0 means without bound.
func idleTimeout(maxEventInterval time.Duration) time.Duration {
	if maxEventInterval == 0 {
		return 0
	}
	return max(idleTimeoutFactor*maxEventInterval, minIdleTimeout)
}

// partReceived is called with each part of the response that has arrived, and reports whether that came before a replacement; it
// must not be relayed otherwise. The time from here to awaitPart isn't the upstream's.
func (s *silenceWatch) partReceived() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaiting = false
	s.timer.Stop()
	if s.endSearch != nil {
		s.endSearch()
		s.endSearch = nil
	}
	return s.replacement == nil
}

// awaitPart is called before the next part of a response is read. It watches only while another attempt could go on
// from what the caller has.
func (s *silenceWatch) awaitPart() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.awaiting || s.replacement != nil || s.timeout == 0 || !s.job.mayAttemptAgain() {
		return
	}
	s.awaiting, s.since, s.origin = true, time.Now(), s.job.origin
	s.due = s.since.Add(s.timeout)
	s.timer.Reset(s.timeout)
}

// expired searches for a replacement until one is granted, or a part of the response arrives.
func (s *silenceWatch) expired() {
	s.mu.Lock()
	if !s.awaiting || s.endSearch != nil || time.Now().Before(s.due) { // the timer was reset meanwhile
		s.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.endSearch = cancel
	r := s.job.acquireRequest(s.upstream, peer.RetryAttempt, s.origin)
	if s.job.handler.o.Fleet.BlamesUpstream(errSilent) {
		r.Request.SilentFor = time.Since(s.since) // tells the owner, so that other requests go elsewhere
	}
	s.searches.Add(1)
	s.mu.Unlock()
	defer s.searches.Done()
	s.search(ctx, r)
}

// search requests a replacement until one is granted or ctx ends. Only the first request tells the owner of the silence.
func (s *silenceWatch) search(ctx context.Context, r *fleet.AcquireRequest) {
	o := s.job.handler.o
	origin := r.Request.VersionConstraint
	g, problem := s.acquire(ctx, r)
	o.Metrics.Count("tacktally_silent_attempts_total")
	if problem != nil && ctx.Err() == nil {
		o.Log.Info().Str("event", "silent_attempt_kept").Str("request", s.job.info.ID).Str("upstream", s.upstream).
			Str("replacement_refused", string(problem.Reason)).Msg("")
	}
	for pause := fleet.ShortRetryAfter; ; pause = min(2*pause, maxSearchPause) {
		switch {
		case problem == nil:
			s.replace(ctx, g)
			return
		case ctx.Err() != nil:
			return
		}
		s.job.countRefusedReplacement(problem)
		if !wait.For(ctx, max(pause, problem.RetryAfter)) {
			return
		}
		g, problem = s.acquire(ctx, s.job.acquireRequest(s.upstream, peer.RetryAttempt, origin))
	}
}

// acquire requests a slot at another upstream. The scheduler grants one at the same upstream if it has no other; that is
// returned, since another run there would only begin anew.
func (s *silenceWatch) acquire(ctx context.Context, r *fleet.AcquireRequest) (fleet.Grant, *api.Problem) {
	f := s.job.handler.o.Fleet
	g, problem := f.Acquire(ctx, r)
	if problem != nil {
		return nil, problem
	}
	if g.Upstream() == s.upstream && f.ProcessOf(s.upstream) == s.process {
		g.End(scheduler.Unused, 0)
		return nil, api.Refuse(api.ReasonNoUpstream, "no other upstream can take the request")
	}
	return g, nil
}

// replace ends the attempt in favour of g, unless a part of the response has arrived meanwhile.
func (s *silenceWatch) replace(ctx context.Context, g fleet.Grant) {
	s.mu.Lock()
	replaces := ctx.Err() == nil
	if replaces {
		s.replacement = g
	}
	s.mu.Unlock()
	if !replaces {
		g.End(scheduler.Unused, 0)
		return
	}
	s.cancel(errSilent)
}

// close ends the watch. It returns the grant for which the attempt was ended, nil if it wasn't, and whether the attempt
// has ended during a search.
func (s *silenceWatch) close() (replacement fleet.Grant, silent bool) {
	if s == nil {
		return nil, false
	}
	s.mu.Lock()
	silent = s.endSearch != nil
	s.mu.Unlock()
	s.partReceived()
	s.searches.Wait()
	return s.replacement, silent
}

// watchedBody reads the body of a response, each part of which ends a silence.
type watchedBody struct{ relay *relay }

// Read implements io.Reader.
func (b watchedBody) Read(p []byte) (int, error) {
	b.relay.silence.awaitPart()
	n, err := b.relay.response.Read(p)
	if n > 0 && !b.relay.recordPart() {
		return 0, errSilent
	}
	return n, err
}

// recordPart records that a part of the response has arrived, and reports whether it may be relayed.
func (r *relay) recordPart() bool {
	r.job.lastPartAt = time.Now()
	return r.silence.partReceived()
}
