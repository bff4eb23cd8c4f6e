package fleet

import (
	"maps"
	"strconv"
	"time"

	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/view"
)

// connect keeps a pool of connections for each upstream of the list. One that has started
// again, or elsewhere, gets a new one. The caller holds the lock.
func (f *Fleet) connect(list []view.Upstream) {
	gone := maps.Clone(f.connections)
	for _, u := range list {
		if c := gone[u.ID]; c.address == u.Address && c.born == u.Born {
			delete(gone, u.ID)
		}
	}
	for id, c := range gone {
		c.pool.Close()
		delete(f.connections, id)
	}
	for _, u := range list {
		if _, connected := f.connections[u.ID]; !connected {
			f.connections[u.ID] = f.newConnections(u)
		}
	}
}

// connections are those to one process of an upstream.
type connections struct {
	address string
	born    int64
	pool    *exchange.Pool
}

func (f *Fleet) newConnections(u view.Upstream) connections {
	return connections{address: u.Address, born: u.Born, pool: exchange.NewPool(exchange.Options{
		Address:        u.Address,
		Local:          f.o.Local,
		ConnectTimeout: f.o.ConnectTimeout,
		Opened:         func() { f.o.Metrics.Count("tacktally_upstream_connections_total") },
	})}
}

// ConnectionsTo returns the connections to an upstream, or nil once it is gone.
func (f *Fleet) ConnectionsTo(id string) *exchange.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connections[id].pool
}

// ProcessOf names the process that an upstream of the list has now: one that starts again under its ID
// is another. It is empty for one that isn't on the list.
func (f *Fleet) ProcessOf(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processOf(id)
}

// processOf is ProcessOf for a caller that holds the lock.
func (f *Fleet) processOf(id string) string {
	c, listed := f.connections[id]
	if !listed {
		return ""
	}
	return processName(id, c.born)
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
	zone := f.zones[id]
	for other, c := range f.connections { // in no order
		if other != id && f.zones[other] == zone && len(out) < most {
			out = append(out, c.pool)
		}
	}
	return out
}

// CloseExpired closes connections that were idle for too long.
func (f *Fleet) CloseExpired(now time.Time) {
	f.mu.Lock()
	pools := make([]*exchange.Pool, 0, len(f.connections))
	for _, c := range f.connections {
		pools = append(pools, c.pool)
	}
	f.mu.Unlock()
	for _, p := range pools {
		p.CloseExpired(now)
	}
}
