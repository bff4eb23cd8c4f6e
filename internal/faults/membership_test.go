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

// A stream whose deadline has passed is cancelled at its engine. A stream whose caller has left isn't,
// since it may be resumed.
func TestStreamPastDeadlineIsCancelled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort")
	hold := make(chan struct{})
	f.engine.SetFaults(engine.Faults{HoldToken: hold})
	r := f.daemons[0].send(call{path: chatPath, body: prompt("late", true), timeout: 300 * time.Millisecond})
	is.Equal(r.outcome, api.Unknown)
	is.True(strings.Contains(r.body, string(api.ReasonUpstreamTimeout)))
	f.eventually("the engine has cancelled the stream", func() bool { return f.engine.Cancelled() == 1 })
}
