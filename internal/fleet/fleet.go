package fleet

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/pool"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
)

const (
	// memoryBlocks bounds the remembered prefix blocks of one engine.
	memoryBlocks = 2048
	// minRetryAfter is the shortest time to come back that a caller is told. Callers
	// come back within their deadline, which may be a second.
	minRetryAfter = 100 * time.Millisecond
)

// Options of a Fleet.
type Options struct {
	// Instance is this instance's peer address.
	Instance string
	// Cores is the processor time that it has, in cores; 0 is unknown.
	Cores float64
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
	Log     *log.Logger
}

// Fleet is the upstreams of all services, as this instance uses them. Safe for
// concurrent use.
//
// The upstreams of a service are cut into shards. Each is scheduled by one instance, its
// owner, and the others ask it for slots: where many instances decide by what the others
// have told, each sees the same free slot, a heartbeat old, and all of them fill it.
type Fleet struct {
	o Options

	mu          sync.Mutex
	services    map[string]*service
	connections map[string]connections // by upstream ID
	instances   []Instance             // this one included, by address
	list        view.List
	leaving     map[string]bool // by upstream ID
	slots       Slots           // nil until there are peers

	owners     owners
	leases     leases
	countsLost atomic.Bool // some lost leases were counted last
}

// Instance is one of those that share the upstreams.
type Instance struct {
	// Address for peers.
	Address string
	// Cores is the processor time that it has, in cores; 0 is unknown.
	Cores float64
	// InReach tells whether its link is up.
	InReach bool
	// MayOwn tells whether it may schedule for others: it is within reach and stays.
	MayOwn bool
	// Settled tells whether it has run long enough to know the others.
	Settled bool
}

// service is the upstreams of one service.
type service struct {
	name    string
	repeats *retrybudget.Budget
	shards  []*shard // replaced as a whole
}

// shard is a part of a service's upstreams.
type shard struct {
	service string
	index   int
	pool    *pool.Pool
}

// New returns a fleet without upstreams.
func New(o Options) *Fleet {
	return &Fleet{
		o:           o,
		services:    map[string]*service{},
		connections: map[string]connections{},
		instances:   []Instance{{Address: o.Instance, Cores: o.Cores, InReach: true, MayOwn: true, Settled: true}},
	}
}

// SetUpstreams takes the whole list, and sends what it gives room for.
func (f *Fleet) SetUpstreams(list view.List) {
	f.mu.Lock()
	f.list = list
	f.leaving = map[string]bool{}
	for _, u := range list.Upstreams {
		f.leaving[u.ID] = u.Leaving
	}
	f.connect(list.Upstreams)
	shards := f.share()
	f.mu.Unlock()
	poll(shards)
}

// SetInstances takes the instances that share the upstreams, this one included.
func (f *Fleet) SetInstances(instances []Instance) {
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.Address, b.Address) })
	if f.setInstances(instances) {
		f.testAvoided()
	}
}

// testAvoided lets upstreams that are avoided be tested now. An instance that was cut off
// believes that those on the other side fail; it may own their shard again as soon as it is
// back, and would refuse all requests to them for as long as it avoids them.
func (f *Fleet) testAvoided() {
	f.o.Log.Info().Str("event", "avoided_tested").Int("instances_in_reach", f.InstancesInReach()).Msg("")
	for _, s := range f.all() {
		s.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.TestAvoided(now) })
	}
}

// setInstances takes the instances and tells whether one of them came within reach.
func (f *Fleet) setInstances(instances []Instance) (reached bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(instances, f.instances) {
		return false
	}
	reached = inReach(instances) > inReach(f.instances)
	if len(instances) != len(f.instances) {
		for _, s := range f.services {
			s.repeats.SetOptions(f.o.Repeats.Split(len(instances)))
		}
	}
	f.instances = instances
	f.owners.forget()
	return reached
}

func inReach(instances []Instance) (n int) {
	for _, i := range instances {
		if i.InReach {
			n++
		}
	}
	return n
}

// InstancesInReach returns how many instances may schedule for others, this one included.
func (f *Fleet) InstancesInReach() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, i := range f.instances {
		if i.MayOwn {
			n++
		}
	}
	return n
}

// partInReach is the part of the known instances that are within reach, this one included.
func (f *Fleet) partInReach() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(inReach(f.instances)) / float64(len(f.instances))
}

// Settled tells whether this instance has run long enough to know the others.
func (f *Fleet) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.instances, func(i Instance) bool { return i.Address == f.o.Instance && i.Settled })
}

// poll lets shards send what has room. It is called without the lock.
func poll(shards []*shard) {
	for _, s := range shards {
		s.pool.Poll()
	}
}

// share gives each shard its upstreams, and returns all shards. The caller holds the lock.
func (f *Fleet) share() []*shard {
	members := map[string][]scheduler.Member{}
	for _, u := range f.list.Upstreams {
		m := scheduler.Member{ID: u.ID, Address: u.Address, Zone: u.Zone, Slots: u.Slots, Leaving: u.Leaving, Born: u.Born}
		members[u.Service] = append(members[u.Service], m)
	}
	for name := range members {
		f.serviceOf(name)
	}
	var out []*shard
	for name, s := range f.services {
		f.shareOne(s, members[name])
		out = append(out, s.shards...)
	}
	return out
}

// shareOne deals the upstreams of a service to its shards. The caller holds the lock.
func (f *Fleet) shareOne(s *service, members []scheduler.Member) {
	want := shardsOf(len(members))
	shards := slices.Clone(s.shards[:min(want, len(s.shards))])
	for len(shards) < want {
		shards = append(shards, f.newShard(s.name, len(shards)))
	}
	for _, gone := range s.shards[min(want, len(s.shards)):] {
		gone.pool.SetMembers(nil) // what waits there is given up in its time
	}
	s.shards = shards
	dealt := make([][]scheduler.Member, want)
	for _, m := range members {
		i := shardFor(m.ID, want)
		dealt[i] = append(dealt[i], m)
	}
	for i, sh := range shards {
		sh.pool.SetMembers(dealt[i])
	}
}

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

// Repeats returns the budget out of which requests to a service are sent again.
func (f *Fleet) Repeats(service string) *retrybudget.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.serviceOf(service).repeats
}

func (f *Fleet) serviceOf(name string) *service {
	if s := f.services[name]; s != nil {
		return s
	}
	s := &service{name: name, repeats: retrybudget.New(f.startingRepeats()), shards: []*shard{f.newShard(name, 0)}}
	f.services[name] = s
	return s
}

func (f *Fleet) newShard(service string, index int) *shard {
	picker := &balancer.Aimed{FarCost: f.o.FarCost, Weights: balancer.DefaultAimedWeights}
	core := scheduler.New(scheduler.Options{
		Picker:        picker,
		Limits:        f.o.Limits,
		MemoryBlocks:  memoryBlocks,
		MinRetryAfter: minRetryAfter,
	})
	return &shard{service: service, index: index, pool: pool.New(pool.Options{Core: core})}
}

// startingRepeats is the budget of a service that is new here. It starts empty: the peers
// that share the bound may not be known yet, and before a restart it may have been used.
func (f *Fleet) startingRepeats() retrybudget.Options {
	o := f.o.Repeats.Split(len(f.instances))
	o.Floor = 0
	return o
}

// ConnectionsTo returns the connections to an upstream, or nil once it is gone.
func (f *Fleet) ConnectionsTo(id string) *exchange.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connections[id].pool
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

// Load returns the load at all upstreams that have any of what this instance has
// granted, and of what it runs by grants of instances that are gone.
func (f *Fleet) Load() scheduler.Load {
	total := scheduler.Load{Pending: map[string]int{}, Running: f.leases.lost()}
	for _, s := range f.all() {
		s.pool.View(func(core *scheduler.Core) {
			l := core.Load()
			maps.Copy(total.Pending, l.Pending)
			for id, n := range l.Running {
				total.Running[id] += n
			}
		})
	}
	return total
}

// ownLost names this instance's own load beside that of the others, see CountLost.
const ownLost = "lost here"

// CountLost counts, in this instance's own shards, what it runs by grants of owners that are
// gone: nobody else counts that where it owns the shard now.
func (f *Fleet) CountLost() {
	lost := f.leases.lost()
	some := len(lost) > 0
	if before := f.countsLost.Swap(some); some || before {
		f.SetOthers(ownLost, scheduler.Load{Running: lost})
	}
}

// StrayOwners returns the owners of shards in which requests run that they haven't granted:
// by this instance's own grants, from before it knew them or while it couldn't reach them,
// or by those of an owner that is gone. They count them by heartbeats alone, as old as
// those are, and take slots for taken that have become free.
func (f *Fleet) StrayOwners() []string {
	var out []string
	lost := f.leases.lost()
	for _, s := range f.all() {
		owners := f.ownersOf(shardKey{service: s.service, index: s.index})
		if len(owners) == 0 || owners[0] == f.o.Instance || slices.Contains(out, owners[0]) {
			continue
		}
		if s.hasStrays(lost) {
			out = append(out, owners[0])
		}
	}
	return out
}

// hasStrays tells whether any request runs in the shard by this instance's own grants, or
// by those of an owner that is gone, which lost counts by upstream.
func (s *shard) hasStrays(lost map[string]int) (found bool) {
	s.pool.View(func(core *scheduler.Core) {
		found = slices.ContainsFunc(core.Upstreams(), func(u *balancer.Upstream) bool {
			return u.Running > 0 || (len(lost) > 0 && lost[u.ID] > 0)
		})
	})
	return found
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

// Close closes all idle connections.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connect(nil)
}

// all returns the shards of all services.
func (f *Fleet) all() []*shard {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*shard
	for _, s := range f.services {
		out = append(out, s.shards...)
	}
	return out
}
