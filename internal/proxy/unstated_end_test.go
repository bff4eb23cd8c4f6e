package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/quarantine"
	relaying "github.com/tacktally/tacktally/internal/relay"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// Guards against a short stream that looks complete since the attempt was given up, such as for the upstream's silence,
// while it was checked whether the upstream's process has terminated.
func TestUnstatedEndIsNotCompleteIfTheCheckIsInterrupted(t *testing.T) {
	for name, c := range map[string]struct {
		cause  error
		status attemptStatus
	}{
		"the upstream is silent":  {errSilent, truncated},
		"the deadline has passed": {context.DeadlineExceeded, deadlineExceeded},
		"the caller is gone":      {context.Canceled, callerDisconnected},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.publish(0)
			h.addUpstream("a", respondsWith("x"))
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(c.cause)
			j := &job{handler: h.handler, upstream: "a", responseStarted: true}
			r := &relay{job: j, process: h.fleet.ProcessOf("a"), ctx: ctx, response: &exchange.Response{Status: http.StatusOK, Framing: exchange.UntilClose}}
			err := r.checkUnstatedEnd(quarantine.Diagnose)
			is.True(errors.Is(err, exchange.ErrTruncated))
			is.Equal(r.brokenResult(err).status, c.status)
		})
	}
}

// fakeRelays connects to upstreams through a peer. Upstream a refuses connections.
type fakeRelays struct {
	busyFor string       // upstream for which the peer is busy at the first request
	asked   atomic.Int32 // requests for it
}

// Dial implements fleet.Relays.
func (f *fakeRelays) Dial(_ context.Context, upstream string) (net.Conn, error) {
	switch {
	case upstream == f.busyFor && f.asked.Add(1) == 1:
		return nil, relaying.ErrNoRelay
	case upstream == "a":
		return nil, fmt.Errorf("%w: %w", relaying.ErrUpstreamUnreachable, syscall.ECONNREFUSED)
	default:
		c, _ := net.Pipe()
		return c, nil
	}
}

// Guards against a short stream that looks complete since the first check of its upstream's process showed nothing.
func TestUnstatedEndIsCheckedAgainIfTheCheckShowsNothing(t *testing.T) {
	for name, busyFor := range map[string]string{"the upstream can't be checked": "a", "no other upstream can be checked": "b"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.publish(0)
			h.addUpstream("a", respondsWith("x"))
			h.addUpstream("b", respondsWith("x"))
			h.crash("a")
			h.crash("b") // for this instance, whose path is cut
			relays := &fakeRelays{busyFor: busyFor}
			h.fleet.SetRelays(relays)
			h.fleet.SetInstances([]fleet.Instance{{Address: "self", Reachable: true}, {Address: "other", Reachable: true}})
			r := &relay{job: &job{handler: h.handler, upstream: "a", route: &routing.Route{}}, process: h.fleet.ProcessOf("a"), ctx: t.Context(), response: &exchange.Response{Status: http.StatusOK, Framing: exchange.UntilClose}}
			is.True(errors.Is(r.checkUnstatedEnd(quarantine.Diagnose), errTerminated))
			is.True(relays.asked.Load() > 1)
		})
	}
}

// Guards against a short stream that looks complete although its upstream's process is known to have terminated, since
// this instance can't check it, or its entry has been removed.
func TestUnstatedEndIsNotCompleteIfTheCrashIsKnown(t *testing.T) {
	for name, removed := range map[string]bool{"listed": false, "removed": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.publish(0)
			h.addUpstream("a", respondsWith("x"))
			process := h.fleet.ProcessOf("a")
			h.registry.RecordLostResponse(time.Now(), process, quarantine.RequestOf(quarantine.KeyOf("", "GET", "h.example", "/", nil), nil), true)
			h.registry.RecordCrash(time.Now(), process)
			if removed {
				h.removeUpstream("a")
			}
			r := &relay{job: &job{handler: h.handler, upstream: "a"}, ctx: t.Context(), process: process, response: &exchange.Response{Status: http.StatusOK, Framing: exchange.UntilClose}}
			is.True(errors.Is(r.checkUnstatedEnd(quarantine.Diagnose), errTerminated))
		})
	}
}

// Guards against a short stream that looks complete since its upstream's entry was removed while the check had no answer.
func TestUnstatedEndIsNotCompleteIfTheUpstreamIsRemovedMeanwhile(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.publish(0)
	h.addUpstream("a", respondsWith("x"))
	checks := 0
	removes := func(context.Context, quarantine.ConnectionCheck, []quarantine.ConnectionCheck) quarantine.Diagnosis {
		checks++
		h.removeUpstream("a")
		return quarantine.Unreached
	}
	r := &relay{job: &job{handler: h.handler, upstream: "a", route: &routing.Route{}}, process: h.fleet.ProcessOf("a"), ctx: t.Context(), response: &exchange.Response{Status: http.StatusOK, Framing: exchange.UntilClose}}
	is.True(errors.Is(r.checkUnstatedEnd(removes), errMayBeTerminated))
	is.Equal(checks, 1)
}

// Guards against a short response that looks complete since no check of its upstream's process had an answer.
func TestUnstatedEndIsNotCompleteIfNoCheckHasAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		route       routing.Route
		headRelayed bool
		want        attemptStatus
	}{
		"resumable stream":    {routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 2}, true, truncated},
		"idempotent body":     {routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}, false, lost},
		"stream":              {routing.Route{Kind: routing.Stream, MaxAttempts: 2}, true, completed},
		"non-idempotent body": {routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 2}, false, completed},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.publish(0)
			h.addUpstream("a", respondsWith("x"))
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				began, checks := time.Now(), 0
				hasNoAnswer := func(ctx context.Context, _ quarantine.ConnectionCheck, _ []quarantine.ConnectionCheck) quarantine.Diagnosis {
					if checks++; checks > 1 {
						<-ctx.Done()
					}
					return quarantine.Unreached
				}
				j := &job{handler: h.handler, upstream: "a", route: &c.route, attempts: 1, events: 2, framing: exchange.UntilClose, responseStarted: c.headRelayed, position: streamPosition{lastID: "1"}}
				r := &relay{job: j, process: h.fleet.ProcessOf("a"), ctx: t.Context(), response: &exchange.Response{Status: http.StatusOK, Framing: exchange.UntilClose}}
				err := r.checkUnstatedEnd(hasNoAnswer)
				is.Equal(checks, 2)
				is.Equal(time.Since(began), unstatedEndTimeout)
				if c.want == completed {
					is.NoErr(err)
					return
				}
				is.True(errors.Is(err, exchange.ErrTruncated))
				result := r.brokenResult(err)
				is.Equal(result.status, c.want)
				is.Equal(j.schedulerResult(result), scheduler.Cancelled) // no evidence against the upstream
				_, next := j.decideRetry(t.Context(), result, true)
				is.Equal(next, retry) // out of the retry budget
				result.process = r.process
				j.recordCrashEvidence(result)
				is.True(h.registry.RecordCrash(time.Now(), r.process)) // counts as lost once the crash is known
			})
		})
	}
}
