package fleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/origin"
	"github.com/tacktally/tacktally/internal/pool"
	"github.com/tacktally/tacktally/internal/processor"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/ratelimit"
	"github.com/tacktally/tacktally/internal/reach"
	"github.com/tacktally/tacktally/internal/rest"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/retryschedule"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/telemetry"
)

const (
	// prefixIndexBlocks is the maximum number of prefix blocks tracked for one engine.
	prefixIndexBlocks = 2048
	// minRetryAfter is the minimum retry delay that callers get. They retry within their deadline, which
	// may be as short as a second.
	minRetryAfter = 100 * time.Millisecond
)

// Options configure a Fleet.
type Options struct {
	// Instance is the peer address of this instance.
	Instance string
	// Cores is the processor time that this instance has, in cores; 0 if unknown.
	Cores float64
	// Zone is the availability zone of this instance. Upstreams of other zones cost CrossZoneCost more,
	// and those of another region CrossRegionCost in addition.
	Zone            string
	CrossZoneCost   time.Duration
	CrossRegionCost time.Duration
	// Regions maps availability zones to their regions.
	Regions map[string]string
	// DialUpstream opens a connection to the address of an upstream; if nil, TCP from any local address.
	DialUpstream func(ctx context.Context, address string) (net.Conn, error)
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	Limits         queue.Limits
	// RetryBudget bounds the retries of all instances to one service.
	RetryBudget retrybudget.Bound
	// ColdOverage and ColdSlack bound the requests that a cold upstream may get in any second:
	// ColdOverage times the cold-start rate of its service, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// Overload selects decisions for times in which upstreams are short of capacity.
	Overload Overload
	// Quarantine determines which requests crash upstreams.
	Quarantine *quarantine.Registry
	// ProcessorLoad returns how much of its processor time this process has used; nil if that isn't known. While it
	// is saturated, time-outs count neither against upstreams nor, so soon, against owners.
	ProcessorLoad func() processor.Load
	Metrics       *telemetry.Metrics
	Log           *log.Logger
}

// Overload selects decisions for times in which upstreams are short of capacity. The zero value
// selects none.
type Overload struct {
	// RetrySchedule, MaxBacklog and WaitForObjective are passed to the scheduler; see its Options.
	RetrySchedule    bool
	MaxBacklog       int
	WaitForObjective bool
}

// Fleet holds the upstreams of all services, as this instance uses them. It is safe for concurrent use.
//
// The upstreams of a service are divided into shards. Each is scheduled by one instance, its owner, and
// the others request slots from it: if many instances decided by the loads that the others report, each
// would see the same free slot, as of the last heartbeat, and all of them would fill it.
type Fleet struct {
	o Options

	// settingLoads is held while a load of another instance is stored and passed to the shards, so that loads which are set
	// at once arrive there in the order in which they are stored. It is locked before mu.
	settingLoads sync.Mutex

	mu          sync.Mutex
	services    map[string]*service
	upstreams   map[string]*upstream      // on the list, by ID
	processes   map[string]*upstream      // the same, by process name
	connections map[string]*exchange.Pool // to recently used upstreams, by ID
	version     int64                     // of the list
	dropped     shardCounts               // of shards that no longer exist
	instances   []Instance                // this one included, by address
	evacuated   []string                  // availability zones
	peerLoads   map[string]peerLoad       // as reported by other instances, by address; changed with settingLoads only
	// leavingNotices are the processes that announced in a response that they are leaving. noticesSent is
	// the round-robin position of the notices in messages to peers.
	leavingNotices map[string]leavingNotice
	noticesSent    int
	slots          SlotClient   // nil without peers
	relays         Relays       // nil without routed.relay
	followedSince  time.Time    // since when each version that was listed is known, see list_history.go
	originClient   OriginClient // nil without peers
	origins        *origin.Registry
	leaving        bool      // this instance is being terminated
	lostInstance   time.Time // when another instance became unreachable last, without having left

	brittle     brittleUpstreams
	backoffs    *rest.Backoffs
	limits      *ratelimit.Registry
	reach       *reach.Tracker
	owners      owners
	buckets     bucketOwners
	pauses      pauses
	peerGrants  peerGrants
	lostCounted atomic.Bool // whether the last CountLostGrants counted any
	hasPeers    atomic.Bool // whether there are other instances
}

// service holds the upstreams of one service.
type service struct {
	name            string
	upstreams       int // number on the list
	retryBudget     *retrybudget.Budget
	shards          []*shard // replaced as a whole
	preferredShards []int    // indexes of the shards that this instance uses first
	// spreadUntil is the time until which requests go to all shards.
	spreadUntil time.Time
	coldStart   scheduler.ColdStart
	versions    map[string]*versionUse // of its upstreams
	// originLifetime is for how long its streams may be resumed at most, as far as is known.
	originLifetime time.Duration
}

// shard is a subset of a service's upstreams that one instance schedules.
type shard struct {
	service            string
	index              int
	pool               *pool.Pool
	term               atomic.Uint64       // see takeRole
	retryBudget        *retrybudget.Budget // used if this instance is the owner
	standbyRetryBudget *retrybudget.Budget // used if it is the standby
}

// New returns a fleet without upstreams.
func New(o Options) *Fleet {
	if o.DialUpstream == nil {
		o.DialUpstream = exchange.Dialer(nil)
	}
	return &Fleet{
		o:              o,
		services:       map[string]*service{},
		upstreams:      map[string]*upstream{},
		processes:      map[string]*upstream{},
		connections:    map[string]*exchange.Pool{},
		peerLoads:      map[string]peerLoad{},
		leavingNotices: map[string]leavingNotice{},
		backoffs:       rest.New(),
		limits:         ratelimit.New(o.Log),
		reach:          reach.New(),
		origins:        origin.New(),
		instances:      []Instance{{Address: o.Instance, Cores: o.Cores, Reachable: true, MayOwn: true, Settled: true}},
	}
}

// pollShards lets shards grant slots to waiting requests. The caller must not hold the lock.
func pollShards(shards []*shard) {
	for _, s := range shards {
		s.pool.Poll()
	}
}

// RetryBudget returns the budget for retries to a service while this instance decides and is neither the owner nor
// the standby: its share among all instances.
func (f *Fleet) RetryBudget(service string) *retrybudget.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.serviceOf(service).retryBudget
}

func (f *Fleet) serviceOf(name string) *service {
	if s := f.services[name]; s != nil {
		return s
	}
	s := &service{name: name, versions: map[string]*versionUse{}, retryBudget: retrybudget.New(f.initialRetryBudget())}
	f.services[name] = s
	s.shards = []*shard{f.newShard(name, 0)}
	s.preferredShards = preferredShardsOf(f.o.Instance, name, 1)
	return s
}

func (f *Fleet) newShard(service string, index int) *shard {
	picker := &balancer.ObjectivePicker{CrossZoneCost: f.o.CrossZoneCost, CrossRegionCost: f.o.CrossRegionCost, Weights: balancer.DefaultObjectiveWeights}
	core := scheduler.New(scheduler.Options{
		Picker:            picker,
		Limits:            f.o.Limits,
		PrefixIndexBlocks: prefixIndexBlocks,
		MinRetryAfter:     minRetryAfter,
		RetrySchedule:     f.o.Overload.RetrySchedule,
		MaxBacklog:        f.o.Overload.MaxBacklog,
		WaitForObjective:  f.o.Overload.WaitForObjective,
	})
	core.SetColdStart(f.services[service].coldStart, scheduler.Reachability{})
	return &shard{
		service: service, index: index, pool: pool.New(pool.Options{Core: core}),
		retryBudget:        retrybudget.New(f.o.RetryBudget.PerOwner(index+1, 1)),
		standbyRetryBudget: retrybudget.New(f.o.RetryBudget.PerStandby(index+1, 1)),
	}
}

// updateRetryBudgets sets the share of the retry bound that each budget of a service holds. The caller
// holds the lock.
func (f *Fleet) updateRetryBudgets(s *service) {
	reachable := float64(countReachable(f.instances)) / float64(len(f.instances))
	s.retryBudget.SetOptions(f.o.RetryBudget.PerInstance(len(f.instances)))
	for _, sh := range s.shards {
		sh.retryBudget.SetOptions(f.o.RetryBudget.PerOwner(len(s.shards), reachable))
		sh.standbyRetryBudget.SetOptions(f.o.RetryBudget.PerStandby(len(s.shards), reachable))
	}
}

// initialRetryBudget returns the options of the budget of a service that is new on this instance. It
// starts empty: the peers that share the bound may not be known yet, and it may have been used up before
// a restart.
func (f *Fleet) initialRetryBudget() retrybudget.Options {
	o := f.o.RetryBudget.PerInstance(len(f.instances))
	o.Initial = 0
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
	out, _ := f.allAndDropped()
	return out
}

// shardCounts are counts of shards that no longer exist, so that totals don't go back when a service gets fewer shards.
// What is counted at a shard afterwards, for requests that it granted before, is lost.
type shardCounts struct {
	reports scheduler.LoadReports
	retries [retryschedule.Ranks]retryschedule.Counts
}

// add adds the counts of a shard that is dropped.
func (c *shardCounts) add(s *shard) {
	reports := s.pool.LoadReports()
	reports.Upstreams, reports.InTransit = 0, 0 // those of the present
	c.reports.Add(reports)
	for rank, counts := range s.pool.RetryCounts() {
		c.retries[rank] = c.retries[rank].Add(counts)
	}
}

// allAndDropped returns all shards, and the counts of those that there were before.
func (f *Fleet) allAndDropped() ([]*shard, shardCounts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*shard
	for _, s := range f.services {
		out = append(out, s.shards...)
	}
	return out, f.dropped
}
