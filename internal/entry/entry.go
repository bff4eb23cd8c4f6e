// Package entry runs an instance that serves routed requests: it reads the published configuration
// and upstreams from a source, exchanges them and its load with its peers, and serves callers.
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
	"golang.org/x/time/rate"

	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/listen"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/processor"
	"github.com/tacktally/tacktally/internal/proxy"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/reach"
	"github.com/tacktally/tacktally/internal/relay"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/transfer"
	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// memoryLimitShare is the share of the process's memory above which the garbage collector runs
	// more often. The rest is for the kernel's buffers.
	memoryLimitShare = 0.5
	// lapseHeartbeats is how many upstream heartbeats an outage of the source must last for entries
	// to lapse in it: an entry lapses after three, one of which may have been due.
	lapseHeartbeats = 2
	// settleTime is how long after its start an instance keeps no quota buckets for others: until
	// it knows the other instances. All instances of a fleet start within 0.3 s, and know each
	// other soon after their seeds do.
	settleTime = 500 * time.Millisecond
	// crossZoneEvery makes one heartbeat in that many to peers of other availability zones a whole
	// one, with the load. It is part of what reduced traffic between zones from 0.28 to 0.12 GB on
	// a loaded day of 87 instances.
	crossZoneEvery = 2
	// idleCloseInterval is how often expired idle connections are closed.
	idleCloseInterval = time.Second
	// fleetRefreshInterval is how often an instance checks for changes to the fleet's instances: a
	// shard whose owner is lost gets a new owner within it.
	fleetRefreshInterval = 200 * time.Millisecond
	// settledCheckInterval is how often the instances are refreshed when none came or went, since
	// instances settle with time alone. A refresh goes through all instances.
	settledCheckInterval = time.Second
)

// Options configure an Instance.
type Options struct {
	Settings *settings.Settings
	Source   view.Source
	Protocol proxy.Protocol
	// DialUpstream opens a connection to the address of an upstream; nil opens a TCP connection from
	// routed.localIP.
	DialUpstream func(ctx context.Context, address string) (net.Conn, error)
	// LogWriter is where the log is written. Writing to it may block; logging doesn't.
	LogWriter io.Writer
}

// Instance is one running instance.
type Instance struct {
	settings    *settings.Settings
	address     string
	incarnation idempotency.Incarnation
	started     time.Time
	output      *telemetry.AsyncWriter
	log         *log.Logger
	metrics     *telemetry.Metrics
	listeners   listeners
	// dialUpstream opens a connection over this instance's own network path.
	dialUpstream func(ctx context.Context, address string) (net.Conn, error)

	view   *view.View
	fleet  *fleet.Fleet
	quotas *fleet.Quotas
	proxy  *proxy.Handler
	// quarantine records requests that crash upstreams.
	quarantine *quarantine.Registry
	// processor measures the processor time of this process.
	processor *processor.Monitor
	// admission admits connections of callers by the processor time that is left; nil without
	// routed.shedConnections.
	admission *processor.Admission
	// saturatedLog bounds the log lines about missing processor time.
	saturatedLog rate.Sometimes
	// knowsQuarantined reports that a peer has sent all its quarantine periods.
	knowsQuarantined atomic.Bool
	informed         informed
	mesh             *peer.Mesh
	ready            readiness
	// relayServer relays connections for peers; nil without routed.relay. relays are the peers that may
	// relay for this instance.
	relayServer *relay.Server
	relays      *relayPeers
	// sender and receiver pass large configurations on between instances.
	sender   *transfer.Sender
	receiver *transfer.Receiver

	election  readerElection
	lastFleet fleetState
	// announcedReach is the state that announceReach last announced.
	announcedReach reach.State
	// zoneGauges are the availability zones that have a gauge. Only upstreamsChanged uses it.
	zoneGauges map[string]bool
	// uninformedOwners are the owners to which informOwners last sent a heartbeat.
	uninformedOwners []string
}

// New builds an instance and opens its listeners. Run serves on them.
func New(o Options) (*Instance, error) {
	s := o.Settings
	if o.DialUpstream == nil {
		o.DialUpstream = exchange.Dialer(net.ParseIP(s.Routed.LocalIP))
	}
	i := &Instance{
		settings:     s,
		dialUpstream: o.DialUpstream,
		incarnation:  idempotency.NewIncarnation(),
		started:      time.Now(),
		output:       telemetry.NewAsyncWriter(o.LogWriter),
		metrics:      telemetry.NewMetrics(),
	}
	if err := i.listeners.open(s, i.metrics); err != nil {
		return nil, err
	}
	i.address = listen.Advertised(s.Peers.Advertise, i.listeners.peers)
	i.log = telemetry.NewLogger(i.output, s.Log.Level, i.address)
	var err error
	if i.processor, err = processor.NewMonitor(s.Routed.Cores, i.processorSampled); err != nil {
		return nil, err
	}
	if s.Routed.ShedConnections {
		i.admission = processor.NewAdmission(s.Routed.Cores)
	}
	i.saturatedLog = rate.Sometimes{Interval: saturatedLogInterval}
	i.informed.since = i.started
	i.quarantine = quarantine.New(i.log, func(k quarantine.Key) bool { return i.fleet.OwnsProbes(k) })
	if s.Routed.Relay {
		i.relayServer = relay.NewServer(relay.ServerOptions{
			Dial: func(ctx context.Context, upstream string) (net.Conn, error) {
				return i.fleet.DialForPeer(ctx, upstream)
			},
			MaxConnections: maxRelayedConnections(s.Routed.MaxFiles),
		})
	}
	i.fleet = i.newFleet()
	i.view = view.New(view.Options{
		Source:          o.Source,
		Lease:           time.Duration(s.Routed.Lease),
		ServeStale:      s.Routed.StaleKeys == settings.ServeStaleKeys,
		SettlePeriod:    time.Duration(s.Routed.Settle),
		LapseAfter:      lapseHeartbeats * time.Duration(s.Routed.UpstreamHeartbeat),
		OnUpstreams:     i.upstreamsChanged,
		OnEvacuations:   i.evacuationsChanged,
		OnTable:         i.tableChanged,
		OnRoutesChanged: func(services []string) { i.fleet.ShareOrigins(services) },
		Metrics:         i.metrics,
		Log:             i.log,
	})
	allowance := fleet.Allowance{Share: s.Routed.QuotaOverage, Tokens: s.Routed.QuotaSlack, Window: time.Duration(s.Routed.QuotaWindow)}
	i.quotas = fleet.NewQuotas(i.started, allowance, i.fleet)
	i.proxy = proxy.New(proxy.Options{
		View:         i.view,
		Fleet:        i.fleet,
		Protocol:     o.Protocol,
		Quotas:       i.quotas,
		Quarantine:   i.quarantine,
		Announce:     func() { go i.mesh.Announce() },
		AnnounceSoon: func() { i.mesh.AnnounceSoon() },
		OnClosing:    i.view.RecheckUpstream,
		CloseCallers: func() bool { return i.admission != nil && i.admission.Overloaded() },
		StaleAfter:   time.Duration(s.Routed.InForce),
		MemoryBytes:  int64(s.Routed.MemoryMB) << 20,
		Metrics:      i.metrics,
		Log:          i.log,
	})
	i.ready = readiness{view: i.view}
	i.sender, i.receiver = transfer.NewSender(), i.newReceiver()
	i.mesh = peer.NewMesh(peer.Options{
		Address:        i.address,
		Listen:         s.Peers.Address,
		Zone:           s.Zone,
		Incarnation:    uint64(i.incarnation),
		Cores:          s.Routed.Cores,
		Heartbeat:      time.Duration(s.Peers.Heartbeat),
		SuspectAfter:   time.Duration(s.Peers.SuspectAfter),
		CrossZoneEvery: crossZoneEvery,
		Sparse:         true,
		Handler:        &peerHandler{instance: i},
		Log:            i.log,
	})
	if s.Routed.Relay {
		i.relays = &relayPeers{self: i.address, zone: s.Zone, cores: s.Routed.Cores, regions: s.Routed.Regions, peers: i.mesh.Peers}
		i.fleet.SetRelays(relay.NewClient(relay.ClientOptions{Peers: i.relays.forUpstream, Usable: i.relays.isUsable, Dialer: i.mesh.Dialer(), OnReply: i.countRelayReply}))
	}
	i.fleet.SetSlotClient(i.mesh)
	i.fleet.SetOriginClient(i.mesh)
	i.quotas.SetClient(i.mesh)
	i.refreshFleet() // before settleTime, so this instance isn't settled
	i.registerGauges()
	i.metrics.Gauge("tacktally_source_read_bytes_total", func() float64 { return float64(o.Source.BytesRead()) })
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Routed.MemoryMB<<20)))
	return i, nil
}

func (i *Instance) newReceiver() *transfer.Receiver {
	return transfer.NewReceiver(transfer.ReceiverOptions{
		Go: func(f func(context.Context)) { i.mesh.Go(f) },
		Fetch: func(ctx context.Context, address string, r *peer.PartRequest) (*peer.State, time.Time, error) {
			return i.mesh.FetchPart(ctx, address, r)
		},
		InForce: func() []byte {
			c, _ := i.view.PublishedConfiguration()
			return c.Content
		},
		Holders: i.configurationHolders,
		Accept: func(from string, revision int64, content []byte, asOf time.Time) {
			i.view.MergeConfiguration(view.Configuration{Revision: revision, Content: content}, asOf, from)
		},
		Metrics: i.metrics,
		Log:     i.log,
	})
}

// configurationHolders returns the peers that have announced a newer configuration: those of
// the same availability zone, or all if there are none, since traffic between zones is charged.
func (i *Instance) configurationHolders() []string {
	var near, far []string
	for _, p := range i.mesh.Peers() {
		switch {
		case p.Report == nil || !i.view.IsOlderThan(p.ConfigVersion, p.Revision):
		case p.Zone == i.settings.Zone:
			near = append(near, p.Address)
		default:
			far = append(far, p.Address)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

func (i *Instance) newFleet() *fleet.Fleet {
	s := i.settings
	var load func() processor.Load
	if s.Routed.ShedConnections {
		load = i.processor.Load // otherwise routed.cores may be less than the process has
	}
	return fleet.New(fleet.Options{
		Instance:        i.address,
		Cores:           s.Routed.Cores,
		Zone:            s.Zone,
		CrossZoneCost:   time.Duration(s.Routed.FarCost),
		CrossRegionCost: time.Duration(s.Routed.FarRegionCost),
		Regions:         s.Routed.Regions,
		DialUpstream:    i.dialUpstream,
		ConnectTimeout:  time.Duration(s.Upstreams.ConnectTimeout),
		Limits:          queue.Limits{MaxItems: s.Queue.MaxItems, MaxBytes: s.Queue.MaxBytes},
		RetryBudget: retrybudget.Bound{
			Share:  s.Routed.RetryShare,
			Extra:  s.Routed.RetryExtra,
			Window: time.Duration(s.Routed.RetryWindow),
		},
		ColdOverage:   s.Routed.ColdOverage,
		ColdSlack:     s.Routed.ColdSlack,
		Overload:      fleet.Overload(s.Routed.Overload),
		Quarantine:    i.quarantine,
		ProcessorLoad: load,
		Metrics:       i.metrics,
		Log:           i.log,
	})
}

// upstreamsChanged applies a change to the list of upstreams and announces it to the peers.
func (i *Instance) upstreamsChanged(change view.ListChange) {
	i.fleet.ApplyListChange(change)
	i.registerZoneGauges(change.Changed)
	i.announceChange()
}

// tableChanged applies a new configuration and announces it to the peers.
func (i *Instance) tableChanged(t *routing.Table) {
	i.fleet.SetServices(t.Services())
	for _, r := range t.ByPrefix() {
		if r.Resumable {
			for _, s := range r.Split {
				i.fleet.ExtendLifetime(s.Service, proxy.OriginLifetime(r))
			}
		}
	}
	c, _ := i.view.PublishedConfiguration()
	i.sender.Record(c.Content)
	i.announceChange()
}

// evacuationsChanged stops new requests to evacuated zones, and announces the evacuations to the
// peers.
func (i *Instance) evacuationsChanged(zones []string) {
	i.fleet.SetEvacuated(zones)
	i.announceChange()
}

// announceChange announces newer state to the peers at once if they might get it only from this
// instance: it reads the source, or is a hub. It doesn't block: the view's lock is held while it is
// called.
func (i *Instance) announceChange() {
	if i.election.active() || i.mesh.Role().HubRank >= 0 {
		go i.mesh.Announce()
	}
}

// relayUpdates relays updates from peers to the others if this instance is a hub. Many instances
// may send parts of an update at once, so they are relayed together. It doesn't block.
func (i *Instance) relayUpdates() {
	if i.mesh.Role().HubRank >= 0 {
		i.mesh.AnnounceSoon()
	}
}

// Address returns the address for peers.
func (i *Instance) Address() string { return i.address }

// CallerAddress returns the address of the listener for callers.
func (i *Instance) CallerAddress() string { return i.listeners.callers.Addr().String() }

// ReadyAddress returns the address of the listener for readiness checks.
func (i *Instance) ReadyAddress() string { return i.listeners.ready.Addr().String() }

// MetricsAddress returns the address of the listener for metrics.
func (i *Instance) MetricsAddress() string { return i.listeners.metrics.Addr().String() }

// Run serves until ctx ends and then shuts down, as shutDown describes.
func (i *Instance) Run(ctx context.Context) {
	life, end := context.WithCancel(context.Background())
	i.mesh.SetPeers(i.settings.Peers.Seeds)
	var background sync.WaitGroup
	background.Go(func() { i.runReader(life) })
	background.Go(func() { i.refreshFromPeers(life) })
	background.Go(func() { i.maintain(life) })
	background.Go(func() { i.renewLeases(life) })
	background.Go(func() { i.processor.Run(life) })
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

// Reload applies changed seeds. All other settings need a restart.
func (i *Instance) Reload(s *settings.Settings) {
	i.mesh.SetPeers(s.Peers.Seeds)
	i.log.Info().Str("event", "reloaded").Str("seeds", join(s.Peers.Seeds)).Msg("")
}

// ReloadFailed logs that changed settings couldn't be applied.
func (i *Instance) ReloadFailed(err error) {
	i.log.Error().Str("event", "reload_failed").Str("cause", err.Error()).Msg("the previous settings stay in force; correct the settings and reload")
}

// renewLeases renews the leases of the buckets that this instance owns, until ctx ends.
func (i *Instance) renewLeases(ctx context.Context) {
	for wait.For(ctx, fleet.LeaseInterval) {
		i.quotas.RenewLeases(ctx)
	}
}

// maintain refreshes the fleet's instances, informs owners and closes expired idle connections,
// until ctx ends.
func (i *Instance) maintain(ctx context.Context) {
	lastClosed := time.Now()
	for wait.For(ctx, fleetRefreshInterval) {
		i.refreshFleet()
		i.fleet.CountLostGrants()
		i.fleet.ProbePaths()
		i.announceReach()
		i.informOwners()
		if time.Since(lastClosed) >= idleCloseInterval {
			lastClosed = time.Now()
			i.fleet.CloseExpired(lastClosed)
		}
	}
}

// announceReach announces to the peers at once that this instance reaches upstreams or no longer does:
// regular heartbeats come only every half second or second.
func (i *Instance) announceReach() {
	if reached := i.fleet.Reach(); reached != i.announcedReach {
		i.announcedReach = reached
		i.mesh.AnnounceSoon()
	}
}

// informOwners sends heartbeats to the owners of shards in which requests run that these owners
// haven't granted, until the requests have ended. Regular heartbeats come only every half second or
// second.
func (i *Instance) informOwners() {
	owners := i.fleet.UninformedOwners()
	for _, owner := range owners {
		i.mesh.SendHeartbeat(owner)
	}
	for _, owner := range i.uninformedOwners {
		if !slices.Contains(owners, owner) {
			i.mesh.SendHeartbeat(owner) // reports that no such request runs any more
		}
	}
	i.uninformedOwners = owners
}
