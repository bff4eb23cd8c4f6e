// Package entry runs an instance that serves routed requests: it reads what is
// published from a source, shares it and its load with its peers, and serves callers.
package entry

import (
	"context"
	"io"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/listen"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/proxy"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// memoryShare is the part of the process's memory from which on the garbage
	// collector works harder. The rest is for the kernel's buffers.
	memoryShare = 0.5
	// lapseBeats is how many heartbeats of an upstream an outage of the source must last
	// for entries to lapse in it: they do after three, of which one may have been due.
	lapseBeats = 2
	// quotaSettle is how long after its start an instance keeps no quotas for others:
	// until it knows them. All of a fleet start within 0.3 s, and know each other
	// soon after their seeds do.
	quotaSettle = 500 * time.Millisecond
	// farEvery is how many heartbeats apart peers of other availability zones are told of
	// load. It is part of what brought bytes between zones from 0.28 to 0.12 GB on a
	// loaded day of 87 instances.
	farEvery = 2
	// tidyInterval is how often idle connections are looked at.
	tidyInterval = time.Second
	// instancesInterval is how often an instance looks which others there are: within it
	// a shard whose owner is gone has a new one.
	instancesInterval = 200 * time.Millisecond
	// settlingInterval is how often it does so where none came or went: with time alone some
	// settle after their start. A look goes through all instances.
	settlingInterval = time.Second
)

// Options of an Instance.
type Options struct {
	Settings *settings.Settings
	Source   view.Source
	Protocol proxy.Protocol
	// LogWriter takes the log. Writing to it may block; logging doesn't.
	LogWriter io.Writer
}

// Instance is one running instance.
type Instance struct {
	settings    *settings.Settings
	address     string
	incarnation idempotency.Incarnation
	started     time.Time
	output      *telemetry.Bounded
	log         *log.Logger
	metrics     *telemetry.Metrics
	listeners   listeners

	view   *view.View
	fleet  *fleet.Fleet
	quotas *fleet.Quotas
	proxy  *proxy.Handler
	// quarantine is what is known of requests that crash upstreams.
	quarantine *quarantine.Book
	mesh       *peer.Mesh
	ready      readiness

	reading   reading
	followed  followed
	passingOn atomic.Bool // soon, what peers have told
	// gauged are the availability zones that have a gauge. Only upstreamsChanged uses it.
	gauged map[string]bool
	// strayOwners are those that were told last of what runs in their shards.
	strayOwners []string
}

// New builds an instance and opens its listeners. Run serves them.
func New(o Options) (*Instance, error) {
	s := o.Settings
	i := &Instance{
		settings:    s,
		incarnation: idempotency.NewIncarnation(),
		started:     time.Now(),
		output:      telemetry.NewBounded(o.LogWriter),
		metrics:     telemetry.NewMetrics(),
	}
	if err := i.listeners.open(s, i.metrics); err != nil {
		return nil, err
	}
	i.address = listen.Advertised(s.Peers.Advertise, i.listeners.peers)
	i.log = telemetry.NewLogger(i.output, s.Log.Level, i.address)
	i.quarantine = quarantine.New(i.log, func(k quarantine.Key) bool { return i.fleet.OwnsProbes(k) })
	i.fleet = i.newFleet()
	i.view = view.New(view.Options{
		Source:        o.Source,
		Lease:         time.Duration(s.Routed.Lease),
		ServeStale:    s.Routed.StaleKeys == settings.ServeStaleKeys,
		Settle:        time.Duration(s.Routed.Settle),
		Lapse:         lapseBeats * time.Duration(s.Routed.UpstreamHeartbeat),
		OnUpstreams:   i.upstreamsChanged,
		OnEvacuations: i.evacuationsChanged,
		OnTable:       i.tableChanged,
		Metrics:       i.metrics,
		Log:           i.log,
	})
	allowance := fleet.Allowance{Share: s.Routed.QuotaOverage, Tokens: s.Routed.QuotaSlack, Window: time.Duration(s.Routed.QuotaWindow)}
	i.quotas = fleet.NewQuotas(i.started, allowance, i.fleet)
	i.proxy = proxy.New(proxy.Options{
		View:       i.view,
		Fleet:      i.fleet,
		Protocol:   o.Protocol,
		Quotas:     i.quotas,
		Quarantine: i.quarantine,
		Announce:   func() { go i.mesh.Announce() },
		Closing:    i.view.MayLeave,
		Doubt:      time.Duration(s.Routed.InForce),
		Metrics:    i.metrics,
		Log:        i.log,
	})
	i.ready = readiness{view: i.view}
	i.mesh = peer.NewMesh(peer.Options{
		Address:        i.address,
		Listen:         s.Peers.Address,
		Zone:           s.Zone,
		Incarnation:    uint64(i.incarnation),
		Cores:          s.Routed.Cores,
		Heartbeat:      time.Duration(s.Peers.Heartbeat),
		SuspectAfter:   time.Duration(s.Peers.SuspectAfter),
		CrossZoneEvery: farEvery,
		Sparse:         true,
		Handler:        &peers{instance: i},
		Log:            i.log,
	})
	i.fleet.UseSlots(i.mesh)
	i.quotas.UsePeers(i.mesh)
	i.followInstances() // it hasn't settled
	i.gauges()
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Routed.MemoryMB<<20)))
	return i, nil
}

func (i *Instance) newFleet() *fleet.Fleet {
	s := i.settings
	return fleet.New(fleet.Options{
		Instance:       i.address,
		Cores:          s.Routed.Cores,
		Zone:           s.Zone,
		FarCost:        time.Duration(s.Routed.FarCost),
		FarRegionCost:  time.Duration(s.Routed.FarRegionCost),
		Regions:        s.Routed.Regions,
		Local:          net.ParseIP(s.Routed.LocalIP),
		ConnectTimeout: time.Duration(s.Upstreams.ConnectTimeout),
		Limits:         queue.Limits{MaxItems: s.Queue.MaxItems, MaxBytes: s.Queue.MaxBytes},
		Repeats: retrybudget.Slack{
			Share:  s.Routed.RetryShare,
			Extra:  s.Routed.RetryExtra,
			Window: time.Duration(s.Routed.RetryWindow),
		},
		ColdOverage: s.Routed.ColdOverage,
		ColdSlack:   s.Routed.ColdSlack,
		Quarantine:  i.quarantine,
		Metrics:     i.metrics,
		Log:         i.log,
	})
}

// upstreamsChanged uses what has changed of the list and tells the peers of it.
func (i *Instance) upstreamsChanged(change view.ListChange) {
	i.fleet.ChangeUpstreams(change)
	i.gaugeZones(change.Changed)
	i.tell()
}

// tableChanged uses a new configuration and tells the peers of it.
func (i *Instance) tableChanged(t *routing.Table) {
	i.fleet.SetServices(t.Services())
	i.tell()
}

// evacuationsChanged sends nothing more to zones that are evacuated, and tells the peers of them.
func (i *Instance) evacuationsChanged(zones []string) {
	i.fleet.SetEvacuated(zones)
	i.tell()
}

// tell tells the peers at once that something newer is known here, if they may have it from
// this instance alone: it reads the source, or is a hub. It doesn't block: beliefs are locked
// while it is called.
func (i *Instance) tell() {
	if i.reading.active() || i.mesh.Role().HubRank >= 0 {
		go i.mesh.Announce()
	}
}

// passOnWithin is the time in which what several peers have told is passed on together.
const passOnWithin = 20 * time.Millisecond

// passOn is tell for news of which many instances tell parts at once. It doesn't block.
func (i *Instance) passOn() {
	if i.mesh.Role().HubRank < 0 || !i.passingOn.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(passOnWithin, func() {
		i.passingOn.Store(false)
		i.mesh.Announce()
	})
}

func (i *Instance) gauges() {
	i.metrics.Gauge("tacktally_in_flight", func() float64 { return float64(i.proxy.InFlight()) })
	i.metrics.Gauge("tacktally_revision", func() float64 { return float64(i.view.Revision()) })
	i.metrics.Gauge("tacktally_config_age_seconds", func() float64 {
		age, _ := i.view.Age()
		return age.Seconds()
	})
	i.metrics.Gauge("tacktally_upstreams_listed", func() float64 { return float64(i.view.ListCount()) })
	i.metrics.Gauge("tacktally_list_version", func() float64 { return float64(i.view.ListVersion()) })
	i.metrics.Gauge("tacktally_list_age_seconds", func() float64 {
		age, _ := i.view.ListAge()
		return age.Seconds()
	})
	i.metrics.Gauge("tacktally_zones_evacuated", func() float64 { return float64(len(i.view.Evacuated().Zones)) })
	i.metrics.Gauge("tacktally_upstreams_cold", func() float64 { return float64(i.fleet.ColdUpstreams()) })
	i.metrics.Gauge("tacktally_upstreams_limited", func() float64 { return float64(i.fleet.LimitedUpstreams()) })
	i.metrics.Gauge("tacktally_requests_held", func() float64 { return float64(i.quarantine.Count(time.Now())) })
	i.metrics.Gauge("tacktally_starts_held", func() float64 { return float64(i.fleet.HeldStarts()) })
	i.metrics.Gauge("tacktally_peers_known", func() float64 { return float64(len(i.mesh.Peers())) })
	i.metrics.Gauge("tacktally_instances_in_reach", func() float64 { return float64(i.fleet.InstancesInReach()) })
	i.metrics.Gauge("tacktally_peer_links", func() float64 { return float64(i.mesh.LinkCount()) })
	i.metrics.Gauge("tacktally_hub", func() float64 { return asNumber(i.mesh.Role().HubRank >= 0) })
	i.metrics.Gauge("tacktally_reads_source", func() float64 { return asNumber(i.reading.active()) })
	i.metrics.Gauge("tacktally_log_lines_dropped", func() float64 { return float64(i.output.Dropped()) })
}

func asNumber(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Address returns the peer address.
func (i *Instance) Address() string { return i.address }

// CallerAddress returns where callers are listened to.
func (i *Instance) CallerAddress() string { return i.listeners.callers.Addr().String() }

// ReadyAddress returns where readiness checks are answered.
func (i *Instance) ReadyAddress() string { return i.listeners.ready.Addr().String() }

// MetricsAddress returns where metrics are served.
func (i *Instance) MetricsAddress() string { return i.listeners.metrics.Addr().String() }

// Run serves until ctx ends, and then shuts down: see shutDown.
func (i *Instance) Run(ctx context.Context) {
	life, end := context.WithCancel(context.Background())
	i.mesh.SetPeers(i.settings.Peers.Seeds)
	var background sync.WaitGroup
	background.Go(func() { i.readInTurn(life) })
	background.Go(func() { i.askPeers(life) })
	background.Go(func() { i.tidy(life) })
	servers := i.listeners.serve(i)
	i.log.Info().Str("event", "started").Str("zone", i.settings.Zone).Str("callers", i.settings.Callers.Address).
		Str("seeds", join(i.settings.Peers.Seeds)).Msg("")
	<-ctx.Done()
	i.shutDown(servers)
	end()
	i.mesh.Close()
	background.Wait()
	i.fleet.Close()
	i.log.Info().Str("event", "stopped").Msg("")
	i.output.Close()
}

// Reload takes over changed settings: the seeds. All else needs a restart.
func (i *Instance) Reload(s *settings.Settings) {
	i.mesh.SetPeers(s.Peers.Seeds)
	i.log.Info().Str("event", "reloaded").Str("seeds", join(s.Peers.Seeds)).Msg("")
}

// ReloadFailed notes settings that can't be taken over.
func (i *Instance) ReloadFailed(err error) {
	i.log.Error().Str("event", "reload_failed").Str("cause", err.Error()).Msg("what was in force stays in force; mend the settings")
}

// tidy closes idle connections, and follows which instances there are.
func (i *Instance) tidy(ctx context.Context) {
	tidied := time.Now()
	for wait.For(ctx, instancesInterval) {
		i.followInstances()
		i.fleet.CountLost()
		i.tellOwners()
		if time.Since(tidied) >= tidyInterval {
			tidied = time.Now()
			i.fleet.CloseExpired(tidied)
		}
	}
}

// tellOwners tells the owners of shards of what runs in them that they haven't granted, until
// it has ended. Heartbeats alone come a half or a whole second apart.
func (i *Instance) tellOwners() {
	owners := i.fleet.StrayOwners()
	for _, owner := range owners {
		i.mesh.SendHeartbeat(owner)
	}
	for _, owner := range i.strayOwners {
		if !slices.Contains(owners, owner) {
			i.mesh.SendHeartbeat(owner) // that nothing of it runs any more
		}
	}
	i.strayOwners = owners
}

// followed is which instances the fleet was told last.
type followed struct {
	change     uint64 // of the mesh
	at         time.Time
	membership membership
}

// followInstances tells the fleet which instances are known, if that has changed.
func (i *Instance) followInstances() {
	change, now := i.mesh.MembershipVersion(), time.Now()
	if change == i.followed.change && now.Sub(i.followed.at) < settlingInterval {
		return
	}
	i.followed.change, i.followed.at = change, now
	instances := []fleet.Instance{{Address: i.address, Zone: i.settings.Zone, Cores: i.settings.Routed.Cores, InReach: true, MayOwn: !i.ready.draining.Load(), Settled: time.Since(i.started) >= quotaSettle}}
	for _, p := range i.mesh.Peers() {
		instances = append(instances, fleet.Instance{
			Address: p.Address,
			Zone:    p.Zone,
			Cores:   p.Cores,
			InReach: p.Reachable,
			MayOwn:  p.Reachable && !p.Draining,
			Settled: !p.Started.IsZero() && time.Since(p.Started) >= quotaSettle,
		})
	}
	i.fleet.SetInstances(instances)
	i.logMembership(instances)
}

// membership is what the log says of the fleet.
type membership struct{ known, inReach, hub, links int }

// logMembership notes how many instances there are, if that has changed.
func (i *Instance) logMembership(instances []fleet.Instance) {
	now := membership{known: len(instances), hub: i.mesh.Role().HubRank, links: i.mesh.LinkCount()}
	for _, other := range instances {
		if other.InReach {
			now.inReach++
		}
	}
	before := i.followed.membership
	i.followed.membership = now
	if before.known == now.known && before.inReach == now.inReach && before.hub == now.hub {
		return
	}
	i.log.Info().Str("event", "membership").Int("known", now.known).Int("in_reach", now.inReach).
		Int("hub", now.hub).Int("links", now.links).Msg("")
}
