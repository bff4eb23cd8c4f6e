package proxy

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/pool"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/subset"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
)

const (
	// memoryBlocks bounds the remembered prefix blocks of one engine.
	memoryBlocks = 2048
	// minRetryAfter is the shortest time to come back that a caller is told. Callers
	// come back within their deadline, which may be a second.
	minRetryAfter = 100 * time.Millisecond
	// manyInstances is the number of instances past which each uses only some of the
	// upstreams. Where many share one, each sees the same free slot, a heartbeat old,
	// and all of them fill it.
	manyInstances = 10
	// subsetSize is about how many upstreams of a service each uses then. With as many
	// instances as upstreams, about as many share each. Of 60 upstreams 5 were better
	// than 8 on a loaded day; fewer leave little when some of them fail.
	subsetSize = 5
)

// FleetOptions of a Fleet.
type FleetOptions struct {
	// Instance is this instance's peer address.
	Instance string
	// Zone is this instance's availability zone; upstreams of others count FarCost
	// more.
	Zone    string
	FarCost time.Duration
	// Local is the IP number that connections come from; nil leaves it to the kernel.
	Local net.IP
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration
	Limits         queue.Limits
	// Repeats bounds what is sent again to one service by all instances.
	Repeats retrybudget.Slack
	Metrics *telemetry.Metrics
}

// Fleet is the upstreams of all services, as this instance uses them. Safe for
// concurrent use.
type Fleet struct {
	o FleetOptions

	mu          sync.Mutex
	services    map[string]*service
	connections map[string]*exchange.Pool // by upstream ID
	instances   []string                  // peer addresses, this one's included, sorted
	list        []view.Upstream
}

// service is the upstreams of one service.
type service struct {
	pool    *pool.Pool
	repeats *retrybudget.Budget
}

// NewFleet returns a fleet without upstreams.
func NewFleet(o FleetOptions) *Fleet {
	return &Fleet{
		o:           o,
		services:    map[string]*service{},
		connections: map[string]*exchange.Pool{},
		instances:   []string{o.Instance},
	}
}

// SetUpstreams takes the whole list, and sends what it gives room for.
func (f *Fleet) SetUpstreams(list []view.Upstream) {
	f.mu.Lock()
	f.list = list
	f.connect(list)
	services := f.share()
	f.mu.Unlock()
	poll(services)
}

// SetInstances takes the peer addresses of the instances that share the upstreams, this
// one's included.
func (f *Fleet) SetInstances(addresses []string) {
	slices.Sort(addresses)
	f.mu.Lock()
	if slices.Equal(addresses, f.instances) {
		f.mu.Unlock()
		return
	}
	f.instances = addresses
	for _, s := range f.services {
		s.repeats.SetOptions(f.o.Repeats.Split(len(addresses)))
	}
	services := f.share()
	f.mu.Unlock()
	poll(services)
}

// poll lets services send what has room. It is called without the lock.
func poll(services []*service) {
	for _, s := range services {
		s.pool.Poll()
	}
}

// share gives each service its upstreams: all of them, or this instance's subset where
// many share them. It returns the services. The caller holds the lock.
func (f *Fleet) share() []*service {
	members := map[string][]scheduler.Member{}
	for _, u := range f.list {
		m := scheduler.Member{ID: u.ID, Address: u.Address, Zone: u.Zone, Slots: u.Slots, Leaving: u.Leaving}
		members[u.Service] = append(members[u.Service], m)
	}
	for name := range members {
		f.serviceOf(name)
	}
	var out []*service
	for name, s := range f.services {
		s.pool.SetMembers(f.subset(members[name]))
		out = append(out, s)
	}
	return out
}

// subset returns the members that this instance uses. The caller holds the lock.
func (f *Fleet) subset(members []scheduler.Member) []scheduler.Member {
	if len(f.instances) <= manyInstances {
		return members
	}
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	used := subset.Of(f.o.Instance, f.instances, ids, subsetSize)
	return slices.DeleteFunc(members, func(m scheduler.Member) bool { return !slices.Contains(used, m.ID) })
}

// connect keeps a pool of connections for each upstream of the list. The caller holds
// the lock.
func (f *Fleet) connect(list []view.Upstream) {
	gone := maps.Clone(f.connections)
	for _, u := range list {
		delete(gone, u.ID)
		if f.connections[u.ID] == nil {
			f.connections[u.ID] = exchange.NewPool(exchange.Options{
				Address:        u.Address,
				Local:          f.o.Local,
				ConnectTimeout: f.o.ConnectTimeout,
				Opened:         func() { f.o.Metrics.Count("tacktally_upstream_connections_total") },
			})
		}
	}
	for id, p := range gone {
		p.Close()
		delete(f.connections, id)
	}
}

// service returns a service, new where there was none.
func (f *Fleet) service(name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.serviceOf(name)
}

func (f *Fleet) serviceOf(name string) *service {
	if s := f.services[name]; s != nil {
		return s
	}
	picker := &balancer.Aimed{Zone: f.o.Zone, FarCost: f.o.FarCost, Weights: balancer.DefaultAimedWeights}
	core := scheduler.New(scheduler.Options{
		Picker:        picker,
		Limits:        f.o.Limits,
		MemoryBlocks:  memoryBlocks,
		MinRetryAfter: minRetryAfter,
	})
	s := &service{
		pool:    pool.New(pool.Options{Core: core}),
		repeats: retrybudget.New(f.startingRepeats()),
	}
	f.services[name] = s
	return s
}

// startingRepeats is the budget of a service that is new here. It starts empty: the peers
// that share the bound may not be known yet, and before a restart it may have been used.
func (f *Fleet) startingRepeats() retrybudget.Options {
	o := f.o.Repeats.Split(len(f.instances))
	o.Floor = 0
	return o
}

// connectionsTo returns the connections to an upstream, or nil once it is gone.
func (f *Fleet) connectionsTo(id string) *exchange.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connections[id]
}

// SetOthers takes what another instance has told of its load; the zero Load forgets
// the instance.
func (f *Fleet) SetOthers(instance string, l scheduler.Load) {
	for _, s := range f.all() {
		s.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
			core.SetOthers(instance, l)
			return core.Poll(now)
		})
	}
}

// Load returns this instance's load at all upstreams that have any.
func (f *Fleet) Load() scheduler.Load {
	total := scheduler.Load{Pending: map[string]int{}, Running: map[string]int{}}
	for _, s := range f.all() {
		s.pool.View(func(core *scheduler.Core) {
			l := core.Load()
			maps.Copy(total.Pending, l.Pending)
			maps.Copy(total.Running, l.Running)
		})
	}
	return total
}

// CloseExpired closes connections that were idle for too long.
func (f *Fleet) CloseExpired(now time.Time) {
	f.mu.Lock()
	pools := make([]*exchange.Pool, 0, len(f.connections))
	for _, p := range f.connections {
		pools = append(pools, p)
	}
	f.mu.Unlock()
	for _, p := range pools {
		p.CloseExpired(now)
	}
}

// Close closes all idle connections.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connect(nil)
}

func (f *Fleet) all() []*service {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*service, 0, len(f.services))
	for _, s := range f.services {
		out = append(out, s)
	}
	return out
}
