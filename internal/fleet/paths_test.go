package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/processor"
	"github.com/tacktally/tacktally/internal/relay"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
)

// fakeRelays dials through a peer with the given result.
type fakeRelays struct{ err error }

func (r *fakeRelays) Dial(context.Context, string) (net.Conn, error) {
	if r.err != nil {
		return nil, r.err
	}
	c, _ := net.Pipe()
	return c, nil
}

// fakePaths is a fleet of which only the connections to some upstreams can be opened.
type fakePaths struct {
	*Fleet
	reachable map[string]bool
	relays    fakeRelays
	failure   error // of connections to upstreams that aren't reachable
}

func newFakePaths(instances int, reachable ...string) *fakePaths {
	p := &fakePaths{reachable: map[string]bool{}, failure: errors.New("refused")}
	for _, id := range reachable {
		p.reachable[id] = true
	}
	p.Fleet = New(Options{
		Instance: "self", ConnectTimeout: time.Second, Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(nil, "error", "self"),
		DialUpstream: func(_ context.Context, address string) (net.Conn, error) {
			if !p.reachable[address] {
				return nil, p.failure
			}
			c, _ := net.Pipe()
			return c, nil
		},
	})
	p.SetRelays(&p.relays)
	change := view.ListChange{Version: 1}
	for _, id := range []string{"a", "b", "c", "d"} {
		change.Changed = append(change.Changed, view.Upstream{ID: id, Address: id, Service: "s", Slots: 1})
	}
	p.ApplyListChange(change)
	all := []Instance{{Address: "self", Reachable: true, MayOwn: true}, {Address: "other", Reachable: true, MayOwn: true}}
	p.SetInstances(all[:instances])
	return p
}

// Whether a failed connection says anything about the upstream depends on what this instance and its peers
// reach.
func TestWhichFailuresBlameTheUpstream(t *testing.T) {
	for name, test := range map[string]struct {
		paths  *fakePaths
		relay  error
		before func(p *fakePaths)
		noPath bool
	}{
		"alone": {newFakePaths(1), relay.ErrNoRelay, nil, false},
		"this instance reaches another, no peer can relay":  {newFakePaths(2, "b", "c", "d"), relay.ErrNoRelay, nil, false},
		"this instance reaches none, no peer can relay":     {newFakePaths(2), relay.ErrNoRelay, nil, true},
		"this instance reaches none, a peer others":         {newFakePaths(2), relay.ErrUpstreamUnreachable, nil, false},
		"a peer reached it before, and none can relay now":  {newFakePaths(2, "b"), relay.ErrNoRelay, func(p *fakePaths) { p.reach.Bypassed(time.Now(), "a") }, true},
		"a peer reached it before, and says that it's down": {newFakePaths(2, "b"), relay.ErrUpstreamUnreachable, func(p *fakePaths) { p.reach.Bypassed(time.Now(), "a") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			test.paths.relays.err = test.relay
			if test.before != nil {
				test.before(test.paths)
			}
			_, err := test.paths.connect(t.Context(), "a", "a")
			is.True(err != nil)
			is.Equal(errors.Is(err, ErrNoPath), test.noPath)
			is.Equal(test.paths.BlamesUpstream(err), !test.noPath)
			is.Equal(len(test.paths.excludedUpstreams()) > 0, test.noPath)
		})
	}
}

// Guards against a terminated process that isn't noticed since only peers reach its machine, and against one that lives and
// is taken for terminated since this instance's own path refuses all connections.
func TestWhichFailuresShowThatAnUpstreamRefusesConnections(t *testing.T) {
	refusedByUpstream := fmt.Errorf("%w: %w", relay.ErrUpstreamUnreachable, syscall.ECONNREFUSED)
	for name, test := range map[string]struct {
		paths      *fakePaths
		own, relay error
		bypassed   bool
		refused    bool
	}{
		"own path refuses, others are reached":               {newFakePaths(2, "b"), syscall.ECONNREFUSED, relay.ErrNoRelay, false, true},
		"own path refuses, and so does that of a peer":       {newFakePaths(2), syscall.ECONNREFUSED, refusedByUpstream, false, true},
		"own path refuses all, no peer can relay":            {newFakePaths(2), syscall.ECONNREFUSED, relay.ErrNoRelay, false, false},
		"own path is silent, that of a peer refuses":         {newFakePaths(2), os.ErrDeadlineExceeded, refusedByUpstream, false, true},
		"own path is silent, and so is that of a peer":       {newFakePaths(2), os.ErrDeadlineExceeded, relay.ErrUpstreamUnreachable, false, false},
		"own path isn't used, that of a peer refuses":        {newFakePaths(2), os.ErrDeadlineExceeded, refusedByUpstream, true, true},
		"own path isn't used first, refuses, no peer can":    {newFakePaths(2), syscall.ECONNREFUSED, relay.ErrNoRelay, true, false},
		"own path isn't used, that of a peer is interrupted": {newFakePaths(2), os.ErrDeadlineExceeded, relay.ErrUpstreamUnreachable, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			test.paths.failure, test.paths.relays.err = test.own, test.relay
			if test.bypassed {
				test.paths.reach.Bypassed(time.Now(), "a")
			}
			_, err := test.paths.connect(t.Context(), "a", "a")
			is.True(err != nil)
			is.Equal(errors.Is(err, syscall.ECONNREFUSED), test.refused)
		})
	}
}

// An upstream that only a peer reaches is reached, and from then on through peers at once.
func TestPeerIsAskedWhereTheOwnPathFails(t *testing.T) {
	is := is.New(t)
	p := newFakePaths(2, "b")
	for range 2 {
		c, err := p.connect(t.Context(), "a", "a")
		is.NoErr(err)
		_ = c.Close()
	}
	is.Equal(p.o.Metrics.Value("tacktally_upstream_connects_failed_total"), uint64(1))
	is.Equal(p.o.Metrics.Value("tacktally_relayed_connections_total"), uint64(2))
}

// A peer is told whether this instance can judge the upstream.
func TestDialForPeer(t *testing.T) {
	is := is.New(t)
	p := newFakePaths(2, "b")
	c, err := p.DialForPeer(t.Context(), "b")
	is.NoErr(err)
	_ = c.Close()
	_, err = p.DialForPeer(t.Context(), "unknown")
	is.True(errors.Is(err, relay.ErrUnknownUpstream))
	p.reach.Bypassed(time.Now(), "a")
	_, err = p.DialForPeer(t.Context(), "a")
	is.True(errors.Is(err, relay.ErrNoPath)) // one hop, never two
	_, err = newFakePaths(2).DialForPeer(t.Context(), "a")
	is.True(errors.Is(err, relay.ErrNoPath))
}

// Guards against an upstream that isn't known to refuse connections since another one, with which it is compared, has
// failed as well.
func TestPathIsComparedWithSeveralUpstreams(t *testing.T) {
	is := is.New(t)
	for range 50 { // others are selected at random
		p := newFakePaths(2, "c")
		p.failure = syscall.ECONNREFUSED
		_, err := p.DialForPeer(t.Context(), "a")
		is.True(!errors.Is(err, relay.ErrNoPath))
		is.True(errors.Is(err, syscall.ECONNREFUSED))
	}
}

// Pools ask whether to skip an idle connection while they are locked, and the fleet closes pools while it is.
func TestSkippingIdleConnectionsTakesNoLockOfTheFleet(t *testing.T) {
	p := newFakePaths(2)
	p.mu.Lock()
	defer p.mu.Unlock()
	c, _ := net.Pipe()
	is.New(t).True(!p.skipIdle(c)) // would block forever
}

// An upstream that was not dialled, since it is no longer in use, doesn't show that this instance is isolated.
func TestProbesOfUnusedUpstreamsAreNoFailures(t *testing.T) {
	is := is.New(t)
	p := newFakePaths(2)
	for _, id := range []string{"a", "b", "c"} {
		p.reach.PrefersPeer(time.Now(), id)
		p.reach.Failed(time.Now(), id)
	}
	is.True(p.Isolated())
	p.ApplyListChange(view.ListChange{Version: 2, Changed: []view.Upstream{{ID: "a", Address: "a", Service: "s", Slots: 1, Leaving: true}}})
	p.ProbePaths()
	is.True(!p.Isolated()) // b and c may be down
}

// Where new connections were refused and kept ones lived on, each response made an instance call an upstream
// unreachable that it couldn't open a connection to: peers believed that it was down.
func TestResponseOnKeptConnectionDoesNotShowThatNewOnesCanBeOpened(t *testing.T) {
	is := is.New(t)
	p := newFakePaths(2)
	dial := p.o.DialUpstream
	p.o.DialUpstream = func(ctx context.Context, address string) (net.Conn, error) {
		p.reach.Reached(time.Now(), "b") // a response arrives meanwhile
		return dial(ctx, address)
	}
	_, err := p.DialForPeer(t.Context(), "a")
	is.True(errors.Is(err, relay.ErrNoPath))
	p.relays.err = relay.ErrNoRelay
	_, err = p.connect(t.Context(), "a", "a")
	is.True(errors.Is(err, ErrNoPath))
	is.True(!p.BlamesUpstream(err))
}

// Guards against circuits that open at an instance that lacks processor time: connections to sound upstreams were
// established and nobody had read that yet.
func TestOwnLackOfProcessorTimeBlamesNoUpstreamForATimeout(t *testing.T) {
	for name, test := range map[string]struct {
		utilization float64
		err         error
		blamed      bool
	}{
		"time-out":                      {0.5, os.ErrDeadlineExceeded, true},
		"time-out while saturated":      {1, os.ErrDeadlineExceeded, false},
		"late response while saturated": {1, context.DeadlineExceeded, false},
		"refused while saturated":       {1, errors.New("refused"), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newFakePaths(1)
			p.o.ProcessorLoad = func() processor.Load { return processor.Load{Utilization: test.utilization} }
			p.o.DialUpstream = func(context.Context, string) (net.Conn, error) { return nil, fmt.Errorf("dial: %w", test.err) }
			_, err := p.connect(t.Context(), "a", "a")
			is.Equal(p.BlamesUpstream(err), test.blamed)
			_, failing := p.UpstreamsReached()
			is.Equal(failing == 1, test.blamed)
		})
	}
}

// Guards against sound owners that are passed over by an instance that lacks processor time, which makes a second
// instance schedule the same upstreams.
func TestOwnersHaveLongerWhileThisInstanceLacksProcessorTime(t *testing.T) {
	is := is.New(t)
	p := newFakePaths(1)
	is.Equal(p.ackTimeout(), ackTimeout)
	p.o.ProcessorLoad = func() processor.Load { return processor.Load{Utilization: 0.5} }
	is.Equal(p.ackTimeout(), ackTimeout)
	p.o.ProcessorLoad = func() processor.Load { return processor.Load{Utilization: 1} }
	is.Equal(p.ackTimeout(), saturatedAckTimeout)
}
