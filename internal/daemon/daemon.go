// Package daemon builds one instance from its components and runs it.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/cacheevents"
	"github.com/tacktally/tacktally/internal/callerapi"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/dispatch"
	"github.com/tacktally/tacktally/internal/gateway"
	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/listen"
	"github.com/tacktally/tacktally/internal/operatorapi"
	"github.com/tacktally/tacktally/internal/orders"
	"github.com/tacktally/tacktally/internal/orglimit"
	"github.com/tacktally/tacktally/internal/pause"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/upstream"
	"github.com/tacktally/tacktally/internal/watch"
)

// maxRanks bounds the tiers whose queues are reported in heartbeats.
const maxRanks = 8

// refreshTimeout bounds how long requests wait, after a pause, for the configuration and the
// instance list to be refreshed.
const refreshTimeout = time.Second

// Daemon is one running instance.
type Daemon struct {
	settings    *settings.Settings
	listeners   listeners
	token       string // operators' bearer token
	address     string
	incarnation idempotency.Incarnation
	started     time.Time
	log         *log.Logger
	metrics     *telemetry.Metrics

	// State, and the detection of pauses after which it must be refreshed.
	holder    *config.Holder
	changes   *watch.Log
	instances *instanceList
	pauses    *pause.Detector
	gate      *pause.Gate
	// quarantine holds the requests that are believed to crash upstreams.
	quarantine *quarantine.Registry

	// Clients.
	platform  *platform.Client
	upstreams *upstream.Client
	caches    *cacheevents.Follower
	mesh      *peer.Mesh

	// Serving.
	clock         *idempotency.Clock
	registry      *idempotency.Registry
	organisations *orglimit.Limiter
	dispatcher    *dispatch.Dispatcher
	gateway       *gateway.Gateway
	callers       *callerapi.Server

	drained   chan struct{}
	drainOnce sync.Once
	runCtx    context.Context // cancelled when Run returns
	cancelRun context.CancelFunc
}

// New returns a daemon and opens its listeners. Run serves them.
func New(s *settings.Settings, logTo io.Writer) (*Daemon, error) {
	token, err := readToken(s.Operators.TokenFile)
	if err != nil {
		return nil, err
	}
	var l listeners
	if err := l.open(s); err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:      s,
		listeners:     l,
		token:         token,
		address:       listen.Advertised(s.Peers.Advertise, l.peers),
		incarnation:   idempotency.NewIncarnation(),
		started:       time.Now(),
		metrics:       telemetry.NewMetrics(),
		holder:        config.NewHolder(),
		changes:       watch.NewLog(),
		instances:     newInstanceList(),
		pauses:        pause.NewDetector(),
		platform:      platform.NewClient(s.Platform.URL, time.Duration(s.Platform.Wait)),
		upstreams:     upstream.NewClient(time.Duration(s.Upstreams.ConnectTimeout)),
		clock:         idempotency.NewClock(),
		organisations: orglimit.NewLimiter(),
		drained:       make(chan struct{}),
	}
	d.runCtx, d.cancelRun = context.WithCancel(context.Background())
	d.log = telemetry.NewLogger(logTo, s.Log.Level, d.address)
	d.quarantine = quarantine.New(d.log, d.ownsProbes)
	d.gate = &pause.Gate{Detector: d.pauses, Refresh: d.refresh, RefreshTimeout: refreshTimeout}
	d.dispatcher = d.newDispatcher()
	d.gateway = d.newGateway()
	d.mesh = d.newMesh()
	d.gateway.SetPeers(d.mesh)
	d.callers = callerapi.New(d.gateway, d.metrics, s.Callers, d.address)
	d.caches = cacheevents.NewFollower(d.dispatcher)
	d.registerGauges()
	return d, nil
}

func (d *Daemon) newDispatcher() *dispatch.Dispatcher {
	s := d.settings
	return dispatch.New(dispatch.Options{
		Instance:           d.address,
		Zone:               s.Zone,
		Subset:             s.Upstreams.Subset,
		Limits:             queue.Limits{MaxItems: s.Queue.MaxItems, MaxBytes: s.Queue.MaxBytes},
		RetryBudgetShare:   s.Upstreams.RetryBudget,
		Client:             d.upstreams,
		Metrics:            d.metrics,
		Log:                d.log,
		ShedLowerAtPeers:   d.sendPressure,
		Announce:           func() { d.mesh.Announce() },
		OnUpstreamLeaving:  d.handleUpstreamLeaving,
		Spill:              d.spill,
		Organisations:      d.organisations,
		Gate:               d.gate,
		Quarantine:         d.quarantine,
		OnQuarantineChange: func() { go d.mesh.Announce() },
		OnResponseRecorded: func() { d.mesh.AnnounceSoon() },
	})
}

// newGateway returns the gateway, and sets the registry of keys that it uses.
func (d *Daemon) newGateway() *gateway.Gateway {
	s := d.settings.Idempotency
	lifetime := time.Duration(s.KeyLifetime)
	d.registry = idempotency.NewRegistry(idempotency.Limits{
		Lifetime:       lifetime,
		MaxEntries:     s.MaxEntries,
		MaxAnswerBytes: s.MaxAnswerBytes,
	}, d.clock)
	return gateway.New(gateway.Options{
		Issuer:     idempotency.NewIssuer(d.address, d.incarnation, d.clock),
		Registry:   d.registry,
		Clock:      d.clock,
		Lifetime:   lifetime,
		Holder:     d.holder,
		Dispatcher: d.dispatcher,
		Gate:       d.gate,
		Metrics:    d.metrics,
		Log:        d.log,
	})
}

func (d *Daemon) newMesh() *peer.Mesh {
	s := d.settings
	return peer.NewMesh(peer.Options{
		Address:      d.address,
		Listen:       s.Peers.Address,
		Zone:         s.Zone,
		Incarnation:  uint64(d.incarnation),
		Heartbeat:    time.Duration(s.Peers.Heartbeat),
		SuspectAfter: time.Duration(s.Peers.SuspectAfter),
		Handler:      (*peerHandler)(d),
		Log:          d.log,
		TLS:          d.listeners.peerClientTLS,
	})
}

func (d *Daemon) registerGauges() {
	d.metrics.Gauge("tacktally_in_flight", func() float64 { return float64(d.dispatcher.InFlight()) })
	d.metrics.Gauge("tacktally_requests_held", func() float64 { return float64(d.quarantine.Count(time.Now())) })
	d.metrics.Gauge("tacktally_callers_held", func() float64 { return float64(d.callers.InFlight()) })
	d.metrics.Gauge("tacktally_keys_reserved", func() float64 { return float64(d.registry.Stats().Reserved) })
	d.metrics.Gauge("tacktally_answer_bytes", func() float64 { return float64(d.registry.Stats().AnswerBytes) })
	d.metrics.Gauge("tacktally_revision", func() float64 { return float64(d.holder.Revision()) })
	d.metrics.Gauge("tacktally_peers_reachable", func() float64 { return float64(d.reachablePeers()) })
}

// ownsProbes reports whether this instance lets the probes of a quarantined request through. It
// does if it comes first among the reachable instances by rendezvous hashing.
func (d *Daemon) ownsProbes(k quarantine.Key) bool {
	score := func(address string) uint64 {
		return xxhash.Sum64String(address + "\x00" + k.Organisation + "\x00" + k.String())
	}
	own := score(d.address)
	return !slices.ContainsFunc(d.mesh.Peers(), func(p peer.Status) bool { return p.Reachable && score(p.Address) > own })
}

func (d *Daemon) reachablePeers() int {
	n := 0
	for _, p := range d.mesh.Peers() {
		if p.Reachable {
			n++
		}
	}
	return n
}

// Address returns the peer address.
func (d *Daemon) Address() string { return d.address }

// CallerAddress returns the address of the listener for callers.
func (d *Daemon) CallerAddress() string { return d.listeners.callers.Addr().String() }

// OperatorAddress returns the address of the listener for operators.
func (d *Daemon) OperatorAddress() string { return d.listeners.operators.Addr().String() }

// Run serves until ctx is done or an operator drains the instance, and then shuts down gracefully:
// it refuses new work with a retry delay, announces the shutdown to its peers, finishes the
// requests in flight, and returns.
func (d *Daemon) Run(ctx context.Context) {
	runCtx := d.runCtx
	defer d.cancelRun()
	d.mesh.SetPeers(d.settings.Peers.Seeds)
	var background sync.WaitGroup
	background.Go(func() { d.pauses.Run(runCtx) })
	background.Go(func() {
		orders.NewReconciler(d, d.settings.Upstreams.WeightLoadsPerMinute, d.metrics, d.log).Run(runCtx)
	})
	background.Go(func() { d.watchInstances(runCtx) })
	background.Go(func() {
		d.fetchFromPeers(runCtx)
		d.watchConfig(runCtx)
	})
	operators := operatorapi.New(d, d.holder, d.changes, d.metrics, d.token)
	servers := d.listeners.serve(d.settings, d.callers, operators, d.mesh)
	d.log.Info().Str("event", "started").Str("zone", d.settings.Zone).Str("version", Version()).
		Str("callers", d.CallerAddress()).Str("operators", d.OperatorAddress()).Msg("")
	select {
	case <-ctx.Done():
	case <-d.drained:
	}
	d.shutDown(servers)
	d.cancelRun()
	d.caches.Close()
	d.mesh.Close()
	servers.close()
	d.upstreams.Close()
	d.platform.Close()
	background.Wait()
	d.log.Info().Str("event", "stopped").Msg("")
}

// Drain begins a graceful shutdown.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drained) }) }

// shutDown refuses new work and waits for the requests in flight, for at most Drain.Timeout if that
// is set. Requests that take longer are aborted with a final response.
func (d *Daemon) shutDown(s *servers) {
	d.gateway.Drain()
	d.mesh.Announce()
	d.log.Info().Str("event", "draining").Int("in_flight", d.dispatcher.InFlight()).Msg("refusing new requests; waiting for those in flight")
	ctx := context.Background()
	if t := time.Duration(d.settings.Drain.Timeout); t > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t)
		defer cancel()
	}
	if d.waitIdle(ctx) {
		s.shutDownCallers(ctx)
	} else {
		d.log.Warn().Str("event", "drain_timeout").Int("in_flight", d.dispatcher.InFlight()).Msg("drain timed out; aborting the requests in flight")
		d.dispatcher.Abort()
		d.gateway.Abort()
	}
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	d.waitIdle(ctx)
	s.shutDownCallers(ctx)
}

// abortTimeout bounds the sending of the last responses after Drain.Timeout.
const abortTimeout = 500 * time.Millisecond

// idlePollInterval is how often a daemon that shuts down checks whether requests are in flight.
const idlePollInterval = 10 * time.Millisecond

// waitIdle blocks until no request is in flight, here or as a response to a peer that forwarded one,
// or ctx is done, and reports which. A request ends before its last frame is written, and a peer that
// loses its response can only tell its caller that the outcome is unknown.
func (d *Daemon) waitIdle(ctx context.Context) bool {
	t := time.NewTicker(idlePollInterval)
	defer t.Stop()
	for d.gateway.InFlight() > 0 || d.callers.InFlight() > 0 || d.mesh.IsResponding() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read operators.tokenFile; name a readable file: %w", err)
	}
	token := strings.TrimSpace(string(content))
	if token == "" {
		return "", errors.New("operators.tokenFile is empty; write the token into it")
	}
	return token, nil
}

// Version returns the version of the module as built.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}
