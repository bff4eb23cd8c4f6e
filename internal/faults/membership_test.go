package faults

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/service"
	"github.com/tacktally/tacktally/internal/upstream"
)

// An instance that is missing from a stale instance list is still linked: by the instances that knew it,
// and by one that starts later and that it contacts first.
func TestInstanceMissingFromListIsReached(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newConfiguredFleet(t, func(s *settings.Settings) {
		if strings.HasSuffix(s.Peers.Address, ".11:7003") {
			s.Peers.Seeds = nil // knows only the list and what peers send
		}
	}, "fort", "fort")
	missing, other := f.daemons[0], f.daemons[1]
	f.platform.SetInstances(slices.DeleteFunc(slices.Clone(f.list), func(i platform.Instance) bool {
		return i.Address == missing.ip+":7004"
	}))
	f.eventually("the list is in use", func() bool { return other.status().ListVersion == 2 })
	is.Equal(other.send(call{path: releasePath, body: "a", key: missing.issue()}).body, service.ResponseBody("a"))
	other.kill()
	other.start()
	other.waitReady()
	f.eventually("the missing instance is linked", func() bool { return other.reachable() == 1 })
	is.Equal(other.send(call{path: releasePath, body: "b", key: missing.issue()}).body, service.ResponseBody("b"))
}

// A peer that restarts at the same address is a new incarnation. Requests with keys of the old one are
// refused immediately, and new keys work.
func TestRestartedPeerIsNewIncarnation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	issuer, other := f.daemons[0], f.daemons[1]
	old := issuer.issue()
	issuer.kill()
	issuer.start()
	issuer.waitReady()
	f.waitLinked()
	for _, p := range f.daemons {
		r := p.send(call{path: releasePath, body: "a", key: old, timeout: 10 * time.Second})
		is.Equal(r.problem.Reason, api.ReasonIssuerGone)
		is.Equal(r.outcome, api.Unknown)
	}
	is.Equal(f.runCount("a"), 0)
	is.Equal(other.send(call{path: releasePath, body: "b", key: issuer.issue()}).body, service.ResponseBody("b"))
}

// Guards against an engine that goes on working for nobody after the deadline of a stream: one that has named the
// stream is told to cancel it, and one that hasn't is told by the closed connection.
func TestStreamPastDeadlineIsCancelled(t *testing.T) {
	t.Parallel()
	t.Run("head before the deadline", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		f := newFleet(t, "fort")
		f.engine.SetFaults(engine.Faults{HoldToken: make(chan struct{})})
		var id upstream.ResumeToken
		r := f.sendUntilPastDeadline(func(r reply) bool {
			var relayed bool
			id, relayed = upstream.EventToken([]byte(r.body))
			return relayed
		})
		is.Equal(r.outcome, api.Unknown)
		is.True(strings.Contains(r.body, string(api.ReasonUpstreamTimeout)))
		f.eventually("the engine has cancelled the stream", func() bool { return slices.Contains(f.engine.Cancelled(), id.StreamID) })

		r = f.daemons[0].send(call{path: chatPath, body: prompt("late", true), header: map[string]string{api.HeaderLastEventID: id.String()}})
		is.Equal(r.outcome, api.Unknown) // a cancelled stream can't be resumed, and doesn't look complete
		is.Equal(r.problem.Reason, api.ReasonUpstreamLost)
	})
	t.Run("head after the deadline", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		f := newFleet(t, "fort")
		f.engine.SetFaults(engine.Faults{HoldHead: make(chan struct{})})
		r := f.sendUntilPastDeadline(func(reply) bool { return len(f.engine.Runs()) > 0 })
		is.Equal(r.outcome, api.Unknown)
		is.Equal(r.problem.Reason, api.ReasonUpstreamTimeout)
		f.eventually("the engine has ended the run", func() bool { return f.engine.Abandoned() == len(f.engine.Runs()) })
		is.Equal(f.engine.Cancelled(), nil)
	})
}

// sendUntilPastDeadline sends a stream's request that the engine doesn't complete, with ever longer timeouts until the
// deadline passes after the request has got as far as reached reports.
func (f *fleet) sendUntilPastDeadline(reached func(reply) bool) reply {
	f.t.Helper()
	for timeout := 300 * time.Millisecond; timeout < 10*time.Second; timeout *= 2 {
		if r := f.daemons[0].send(call{path: chatPath, body: prompt("late", true), timeout: timeout}); reached(r) {
			return r
		}
	}
	f.t.Fatal("the deadline was always too early")
	return reply{}
}
