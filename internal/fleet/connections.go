package fleet

import (
	"context"
	"maps"
	"net"
	"strconv"
	"time"

	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/relay"
)

// ConnectionsTo returns the connection pool of an upstream, or nil if it is not on the list. Pools are
// created on first use, since one instance sends to a few of many upstreams.
func (f *Fleet) ConnectionsTo(id string) *exchange.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[id]
	if u == nil {
		return nil
	}
	return f.connectionsTo(u)
}

// connectionsTo is ConnectionsTo for a caller that holds the lock.
func (f *Fleet) connectionsTo(u *upstream) *exchange.Pool {
	p := f.connections[u.ID]
	if p == nil {
		p = exchange.NewPool(exchange.Options{
			Dial:       func(ctx context.Context) (net.Conn, error) { return f.connect(ctx, u.ID, u.Address) },
			SkipIdle:   f.skipIdle,
			OnResponse: f.onOwnPath(u.ID, f.reach.Reached),
			OnBroken:   f.onOwnPath(u.ID, f.reach.Failed),
		})
		f.connections[u.ID] = p
	}
	return p
}

// onOwnPath returns a function that records an observation of an upstream, if it was made on a connection
// over the own path.
func (f *Fleet) onOwnPath(id string, record func(now time.Time, upstream string)) func(net.Conn) {
	return func(c net.Conn) {
		if !relay.IsRelayed(c) {
			record(time.Now(), id)
		}
	}
}

// IsThroughPeer reports whether a connection to an upstream goes through a peer.
func IsThroughPeer(c net.Conn) bool { return relay.IsRelayed(c) }

// skipIdle reports whether an idle connection is probably broken: it uses the own path, and this instance
// reaches no upstream.
func (f *Fleet) skipIdle(c net.Conn) bool { return !relay.IsRelayed(c) && f.Isolated() }

// UpstreamsReached returns how many upstreams this instance has reached in the last seconds, and how many
// it has failed to reach since.
func (f *Fleet) UpstreamsReached() (reached, failing int) { return f.reach.Counts(time.Now()) }

// closeConnections closes the idle connections to an upstream and drops its pool. The caller holds the
// lock.
func (f *Fleet) closeConnections(id string) {
	if p := f.connections[id]; p != nil {
		p.Close()
		delete(f.connections, id)
	}
}

// ProcessOf returns the name of the current process of an upstream, which changes when the upstream
// restarts under its ID. It is empty for an upstream that is not on the list.
func (f *Fleet) ProcessOf(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.upstreams[id]; u != nil {
		return u.process()
	}
	return ""
}

func processName(id string, incarnation int64) string {
	if incarnation == 0 {
		return id
	}
	return id + "@" + strconv.FormatInt(incarnation, 10)
}

// Neighbours returns the connection pools of at most n randomly selected other upstreams in the
// availability zone of an upstream.
func (f *Fleet) Neighbours(id string, n int) (out []*exchange.Pool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	zone := ""
	if u := f.upstreams[id]; u != nil {
		zone = u.Zone
	}
	for other, u := range f.upstreams { // in no particular order
		if len(out) == n {
			break
		}
		if other != id && u.Zone == zone {
			out = append(out, f.connectionsTo(u))
		}
	}
	return out
}

// CloseExpired closes connections that were idle for too long or can't be used any more, and drops the pools that have
// no open connection.
func (f *Fleet) CloseExpired(now time.Time) {
	f.mu.Lock()
	pools := maps.Clone(f.connections)
	f.mu.Unlock()
	for _, p := range pools {
		p.CloseExpired(now) // asks what peers may relay, which takes other locks
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, p := range f.connections {
		if p.OpenConnections() == 0 {
			f.closeConnections(id)
		}
	}
}
