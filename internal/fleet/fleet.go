package fleet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/pool"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/ratelimit"
	"github.com/tacktally/tacktally/internal/rest"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/telemetry"
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
	// more, and those of another region FarRegionCost beside that.
	Zone          string
	FarCost       time.Duration
	FarRegionCost time.Duration
	// Regions are those of availability zones, by zone.
	Regions map[string]string
	// Local is the IP number that connections come from; nil leaves it to the kernel.
	Local net.IP
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration
	Limits         queue.Limits
	// Repeats bounds what is sent again to one service by all instances.
	Repeats retrybudget.Slack
	// ColdOverage and ColdSlack bound what a cold upstream may get in any second: so many times
	// what its service says that it bears, and so many requests more.
	ColdOverage float64
	ColdSlack   float64
	// Quarantine says which requests crash upstreams.
	Quarantine *quarantine.Registry
	Metrics    *telemetry.Metrics
	Log        *log.Logger
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
	upstreams   map[string]*upstream      // on the list, by ID
	processes   map[string]*upstream      // the same by the names of their processes
	connections map[string]*exchange.Pool // to those that were sent to lately, by ID
	version     int64                     // of the list
	instances   []Instance                // this one included, by address
	evacuated   []string                  // availability zones
	others      map[string]othersLoad     // what other instances have told, by address
	// saidLeaving are processes that have said in an answer that they leave, and wordsTold counts those that
	// peers were told of in turn.
	saidLeaving map[string]word
	wordsTold   int
	slots       Slots // nil until there are peers

	rests      *rest.Rests
	limits     *ratelimit.Book
	owners     owners
	leases     leases
	countsLost atomic.Bool // some lost leases were counted last
}

// service is the upstreams of one service.
type service struct {
	name      string
	upstreams int // on the list
	repeats   *retrybudget.Budget
	shards    []*shard // replaced as a whole
	homes     []int    // the shards that this instance asks first
	// shortUntil is until when it asks all of them.
	shortUntil time.Time
	coldStart  scheduler.ColdStart
}

// shard is a part of a service's upstreams.
type shard struct {
	service string
	index   int
	pool    *pool.Pool
	repeats *retrybudget.Budget // that its owner grants
}

// New returns a fleet without upstreams.
func New(o Options) *Fleet {
	return &Fleet{
		o:           o,
		services:    map[string]*service{},
		upstreams:   map[string]*upstream{},
		processes:   map[string]*upstream{},
		connections: map[string]*exchange.Pool{},
		others:      map[string]othersLoad{},
		saidLeaving: map[string]word{},
		rests:       rest.New(),
		limits:      ratelimit.New(o.Log),
		instances:   []Instance{{Address: o.Instance, Cores: o.Cores, InReach: true, MayOwn: true, Settled: true}},
	}
}

// poll lets shards send what has room. It is called without the lock.
func poll(shards []*shard) {
	for _, s := range shards {
		s.pool.Poll()
	}
}

// Repeats returns the budget out of which this instance sends requests to a service again while it reaches no
// owner: its share among all instances.
func (f *Fleet) Repeats(service string) *retrybudget.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.serviceOf(service).repeats
}

func (f *Fleet) serviceOf(name string) *service {
	if s := f.services[name]; s != nil {
		return s
	}
	s := &service{name: name, repeats: retrybudget.New(f.startingRepeats())}
	f.services[name] = s
	s.shards = []*shard{f.newShard(name, 0)}
	s.homes = homesOf(f.o.Instance, name, 1)
	return s
}

func (f *Fleet) newShard(service string, index int) *shard {
	picker := &balancer.Aimed{FarCost: f.o.FarCost, FarRegionCost: f.o.FarRegionCost, Weights: balancer.DefaultAimedWeights}
	core := scheduler.New(scheduler.Options{
		Picker:        picker,
		Limits:        f.o.Limits,
		MemoryBlocks:  memoryBlocks,
		MinRetryAfter: minRetryAfter,
	})
	core.SetColdStart(f.services[service].coldStart, scheduler.Reach{})
	return &shard{service: service, index: index, pool: pool.New(pool.Options{Core: core}), repeats: retrybudget.New(f.o.Repeats.Owned(index+1, 1))}
}

// shareRepeats says which part of the bound on repeats each budget holds. The caller holds the lock.
func (f *Fleet) shareRepeats(s *service) {
	reached := float64(inReach(f.instances)) / float64(len(f.instances))
	s.repeats.SetOptions(f.o.Repeats.Split(len(f.instances)))
	for _, sh := range s.shards {
		sh.repeats.SetOptions(f.o.Repeats.Owned(len(s.shards), reached))
	}
}

// startingRepeats is the budget of a service that is new here. It starts empty: the peers
// that share the bound may not be known yet, and before a restart it may have been used.
func (f *Fleet) startingRepeats() retrybudget.Options {
	o := f.o.Repeats.Split(len(f.instances))
	o.Floor = 0
	return o
}

// Close closes all idle connections.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.connections {
		f.closeConnections(id)
	}
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
