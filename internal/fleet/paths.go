package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/tacktally/tacktally/internal/reach"
	"github.com/tacktally/tacktally/internal/relay"
	"github.com/tacktally/tacktally/internal/view"
)

// A connection to an upstream goes over the network path of this instance or, where that fails, through a
// peer. A peer also tells a failed upstream from a failed path: only what two instances can't reach, or one
// that reaches others, counts as failed.

const (
	// relayAfter is how long a connection over the own path may take before a peer is asked too.
	relayAfter = 100 * time.Millisecond
	// peerConnectTimeout bounds the time in which an instance opens a connection for a peer, so that the peer
	// can still ask another one.
	peerConnectTimeout = 100 * time.Millisecond
	// comparisonTimeout bounds the time to connect to other upstreams, to tell a failed upstream from a
	// failed path. A round trip between regions takes less.
	comparisonTimeout = 50 * time.Millisecond
	// maxCompared bounds these other upstreams. There are several, since some may have failed too.
	maxCompared = 3
	// probesPerStep bounds the paths that are probed in one step of ProbePaths.
	probesPerStep = 4
)

// ErrNoPath means that an upstream couldn't be reached, and that this doesn't tell anything about the
// upstream: this instance reaches none, and no peer could help.
var ErrNoPath = errors.New("this instance has no path to the upstream")

// Relays opens connections to upstreams through other instances. *relay.Client implements it.
type Relays interface {
	// Dial blocks until the connection is established or has failed, or ctx ends. The error wraps
	// relay.ErrUpstreamUnreachable or relay.ErrNoRelay, and syscall.ECONNREFUSED if the upstream refuses connections.
	Dial(ctx context.Context, upstream string) (net.Conn, error)
}

// SetRelays sets how connections are opened through other instances. It is called once, before the first
// request.
func (f *Fleet) SetRelays(r Relays) { f.relays = r }

// dialed is the result of opening a connection.
type dialed struct {
	conn net.Conn
	err  error
}

func startDial(dial func() (net.Conn, error)) <-chan dialed {
	out := make(chan dialed, 1)
	go func() {
		conn, err := dial()
		out <- dialed{conn, err}
	}()
	return out
}

// discard closes a connection that nobody waits for any more.
func discard(pending <-chan dialed) {
	if pending == nil {
		return
	}
	go func() {
		if d := <-pending; d.conn != nil {
			_ = d.conn.Close() // unused
		}
	}()
}

// connect opens a connection to an upstream within ConnectTimeout.
func (f *Fleet) connect(ctx context.Context, id, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, f.o.ConnectTimeout, errConnectTimeout)
	defer cancel()
	if !f.hasRelays() {
		return f.dialDirect(ctx, id, address)
	}
	if f.reach.PrefersPeer(time.Now(), id) {
		return f.connectThroughPeer(ctx, id, address)
	}
	return f.connectEitherWay(ctx, id, address)
}

// errConnectTimeout is the cause of a context that ended after ConnectTimeout.
var errConnectTimeout = errors.New("the connection was not established in time")

// dialDirect opens a connection over the own path, and records the result unless the caller gave up.
func (f *Fleet) dialDirect(ctx context.Context, id, address string) (net.Conn, error) {
	conn, err := f.o.DialUpstream(ctx, address)
	switch cause := context.Cause(ctx); {
	case err == nil:
		f.o.Metrics.Count("tacktally_upstream_connections_total")
		if f.reach.Connected(time.Now(), id) {
			f.o.Log.Info().Str("event", "path_restored").Str("upstream", id).Msg("")
		}
	case cause == nil || errors.Is(cause, errConnectTimeout):
		f.o.Metrics.Count("tacktally_upstream_connects_failed_total")
		if !f.mayBeOwnDelay(err) {
			f.reach.Failed(time.Now(), id)
		}
	}
	return conn, err
}

func (f *Fleet) dialThroughPeer(ctx context.Context, id string) (net.Conn, error) {
	conn, err := f.relays.Dial(ctx, id)
	if err != nil {
		f.o.Metrics.Count("tacktally_relayed_connects_failed_total")
		return nil, err
	}
	f.o.Metrics.Count("tacktally_relayed_connections_total")
	return conn, nil
}

// connectThroughPeer opens a connection through a peer. If no peer can relay, it is opened over the own
// path, unless that is known to reach no upstream at all.
func (f *Fleet) connectThroughPeer(ctx context.Context, id, address string) (net.Conn, error) {
	conn, err := f.dialThroughPeer(ctx, id)
	now := time.Now()
	switch {
	case err == nil:
		f.recordBypass(id)
		return conn, nil
	case errors.Is(err, relay.ErrUpstreamUnreachable):
		f.reach.Down(id)
		return nil, err
	case f.reach.Isolated(now):
		return nil, f.noPath(now, id, err)
	}
	conn, err = f.dialDirect(ctx, id, address)
	if err != nil {
		return nil, f.noPath(now, id, err) // a peer has reached it before
	}
	return conn, nil
}

// connectEitherWay opens a connection over the own path, and through a peer if that fails or takes too
// long. The first one that is established is used.
func (f *Fleet) connectEitherWay(ctx context.Context, id, address string) (net.Conn, error) {
	started := time.Now()
	direct := startDial(func() (net.Conn, error) { return f.dialDirect(ctx, id, address) })
	var relayed <-chan dialed
	wait := time.NewTimer(relayAfter)
	defer wait.Stop()
	var directErr, relayErr error
	for directErr == nil || relayErr == nil {
		select {
		case <-wait.C:
			if len(direct) > 0 {
				continue // this process was paused; the result is there
			}
		case d := <-direct:
			if d.err == nil {
				discard(relayed)
				return d.conn, nil
			}
			direct, directErr = nil, d.err
		case d := <-relayed:
			if d.err == nil {
				discard(direct)
				f.recordBypass(id)
				return d.conn, nil
			}
			relayed, relayErr = nil, d.err
		}
		if relayed == nil && relayErr == nil {
			relayed = startDial(func() (net.Conn, error) { return f.dialThroughPeer(ctx, id) })
		}
	}
	if !errors.Is(relayErr, relay.ErrUpstreamUnreachable) && !f.connectsToOthers(id, started) {
		return nil, f.noPath(time.Now(), id, directErr)
	}
	if errors.Is(relayErr, relay.ErrUpstreamUnreachable) {
		return nil, fmt.Errorf("%w; through a peer: %w", directErr, relayErr)
	}
	return nil, directErr
}

// connectsToOthers reports whether this instance can open connections to upstreams other than the given one
// over its own path. Unless it has opened one since the given time, it tries to. It is true where there is no
// other upstream. Responses on open connections don't count: these may live on where new ones are refused.
func (f *Fleet) connectsToOthers(id string, since time.Time) bool {
	if f.reach.ConnectedSince(since) {
		return true
	}
	others := f.otherUpstreams(id, maxCompared)
	ctx, cancel := context.WithTimeoutCause(context.Background(), comparisonTimeout, errConnectTimeout)
	defer cancel()
	dials := make(chan dialed, len(others))
	for _, u := range others {
		go func() {
			conn, err := f.dialDirect(ctx, u.ID, u.Address)
			if err == nil {
				_ = conn.Close() // unused
			}
			dials <- dialed{err: err}
		}()
	}
	for range others {
		if d := <-dials; d.err == nil {
			return true
		}
	}
	return len(others) == 0
}

// otherUpstreams returns at most n randomly selected usable upstreams other than the given one.
func (f *Fleet) otherUpstreams(id string, n int) (out []view.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams { // in no particular order
		if len(out) == n {
			break
		}
		if u.ID != id && u.unusable == nil {
			out = append(out, u.Upstream)
		}
	}
	return out
}

// recordBypass records that a peer has reached an upstream that this instance didn't reach in time.
func (f *Fleet) recordBypass(id string) {
	now := time.Now()
	if f.reach.Bypassed(now, id) {
		f.o.Log.Info().Str("event", "path_bypassed").Str("upstream", id).Bool("isolated", f.reach.Isolated(now)).Msg("")
	}
}

// noPath records that an upstream couldn't be reached. The error doesn't wrap its cause: a refusal, for one, would
// show that the upstream has terminated.
func (f *Fleet) noPath(now time.Time, id string, cause error) error {
	f.reach.NoPath(now, id)
	return fmt.Errorf("%w: %v", ErrNoPath, cause)
}

// DialForPeer opens a connection to an upstream over this instance's own path, for a peer.
func (f *Fleet) DialForPeer(ctx context.Context, id string) (net.Conn, error) {
	f.mu.Lock()
	u := f.upstreams[id]
	f.mu.Unlock()
	if u == nil || u.unusable != nil {
		return nil, relay.ErrUnknownUpstream
	}
	started := time.Now()
	bypassed := f.reach.PrefersPeer(started, id)
	switch {
	case f.reach.Isolated(started):
		return nil, relay.ErrIsolated
	case bypassed:
		return nil, relay.ErrNoPath
	}
	ctx, cancel := context.WithTimeoutCause(ctx, min(peerConnectTimeout, f.o.ConnectTimeout), errConnectTimeout)
	defer cancel()
	conn, err := f.dialDirect(ctx, id, u.Address)
	if err != nil && !f.connectsToOthers(id, started) {
		return nil, fmt.Errorf("%w: %w", relay.ErrNoPath, err)
	}
	return conn, err
}

// BlamesUpstream reports whether an attempt that ended with an error may be due to its upstream, rather than
// to the path to it.
func (f *Fleet) BlamesUpstream(err error) bool {
	return !errors.Is(err, ErrNoPath) && !errors.Is(err, relay.ErrLost) && !f.Isolated() && !f.mayBeOwnDelay(err)
}

// mayBeOwnDelay reports whether an error is a time-out and this process lacks processor time: what it waited for may
// have arrived, and wait to be read.
func (f *Fleet) mayBeOwnDelay(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout() && f.processorLoad().Saturated()
}

// Isolated reports whether this instance seems to reach no upstream over its own path.
func (f *Fleet) Isolated() bool { return f.hasRelays() && f.reach.Isolated(time.Now()) }

// Reach returns whether this instance reaches upstreams over its own path, as it announces it to its peers.
func (f *Fleet) Reach() reach.State {
	if !f.hasRelays() {
		return reach.Unknown
	}
	return f.reach.State(time.Now())
}

// hasRelays reports whether connections may go through peers: there are other instances. It takes no lock
// of the fleet, since connection pools, which the fleet closes while it holds its lock, call it while they
// hold theirs.
func (f *Fleet) hasRelays() bool { return f.relays != nil && f.hasPeers.Load() }

// ProbePaths starts to probe paths that failed, so that they are used again once they work. It doesn't
// block.
func (f *Fleet) ProbePaths() {
	if !f.hasRelays() {
		return
	}
	now := time.Now()
	for _, id := range append(f.reach.NextProbes(now, probesPerStep), f.reach.NextRechecks(now)...) {
		f.mu.Lock()
		u := f.upstreams[id]
		f.mu.Unlock()
		if u == nil || u.unusable != nil {
			f.reach.Forget(id) // it gets no requests
			continue
		}
		go f.probePath(id, u.Address)
	}
}

func (f *Fleet) probePath(id, address string) {
	ctx, cancel := context.WithTimeoutCause(context.Background(), f.o.ConnectTimeout, errConnectTimeout)
	defer cancel()
	if conn, err := f.dialDirect(ctx, id, address); err == nil {
		_ = conn.Close() // unused
	}
}
