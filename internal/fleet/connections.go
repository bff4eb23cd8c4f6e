package fleet

import (
	"strconv"
	"time"

	"github.com/tacktally/tacktally/internal/exchange"
)

// ConnectionsTo returns the connections to an upstream, or nil once it is gone. They are kept from the first use
// on: one instance sends to a few of many upstreams.
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
			Address:        u.Address,
			LocalIP:          f.o.Local,
			ConnectTimeout: f.o.ConnectTimeout,
			OnOpen:         func() { f.o.Metrics.Count("tacktally_upstream_connections_total") },
		})
		f.connections[u.ID] = p
	}
	return p
}

// closeConnections closes the idle connections to an upstream and keeps none any more. The caller holds the lock.
func (f *Fleet) closeConnections(id string) {
	if p := f.connections[id]; p != nil {
		p.Close()
		delete(f.connections, id)
	}
}

// ProcessOf names the process that an upstream of the list has now: one that starts again under its ID
// is another. It is empty for one that isn't on the list.
func (f *Fleet) ProcessOf(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.upstreams[id]; u != nil {
		return u.process()
	}
	return ""
}

func processName(id string, born int64) string {
	if born == 0 {
		return id
	}
	return id + "@" + strconv.FormatInt(born, 10)
}

// Neighbours returns the connections to some other upstreams of an upstream's availability zone, so
// many at most, drawn by chance.
func (f *Fleet) Neighbours(id string, most int) (out []*exchange.Pool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	zone := ""
	if u := f.upstreams[id]; u != nil {
		zone = u.Zone
	}
	for other, u := range f.upstreams { // in no order
		if len(out) == most {
			break
		}
		if other != id && u.Zone == zone {
			out = append(out, f.connectionsTo(u))
		}
	}
	return out
}

// CloseExpired closes connections that were idle for too long, and drops what is kept of upstreams to which
// none is open any more.
func (f *Fleet) CloseExpired(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, p := range f.connections {
		p.CloseExpired(now)
		if p.OpenConnections() == 0 {
			f.closeConnections(id)
		}
	}
}
