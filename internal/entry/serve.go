package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tacktally/tacktally/internal/listen"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/relay"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// readHeaderTimeout is how long a caller may take to send the head of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 2 * time.Minute
	// drainListenTime is how long new requests are accepted after the signal to stop, so that a
	// load balancer that checks readiness once a second has noticed, after two and a half failed
	// checks.
	drainListenTime = 2500 * time.Millisecond
	// shutdownMargin is the time before the end of the grace period at which remaining requests are
	// aborted, so that the process can exit by itself.
	shutdownMargin = 300 * time.Millisecond
	// abortTimeout bounds the sending of the final responses of aborted requests.
	abortTimeout = 100 * time.Millisecond
	// callerConnectionShare is the share of the file descriptors that callers' connections may use.
	// The rest is for upstreams and peers. 8,000 idle connections cost 11 KB each.
	callerConnectionShare = 0.6
	// idlePollInterval is how often an instance that shuts down checks whether requests still run.
	idlePollInterval = 20 * time.Millisecond
)

// readiness serves readiness checks.
type readiness struct {
	view     *view.View
	draining atomic.Bool
}

// ServeHTTP implements http.Handler. It responds with 200 while the instance can serve, and with
// 503 otherwise.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	state := r.state()
	if state != stateReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(state + "\n")) // the requester may have disconnected
}

// The states of an instance, as reported by readiness checks.
const (
	stateReady    = "ready"
	stateStarting = "starting"
	stateDraining = "draining"
	stateStale    = "out of touch"
)

func (r *readiness) state() string {
	age, known := r.view.Age()
	switch {
	case r.draining.Load():
		return stateDraining
	case !known || r.view.ListVersion() == 0:
		return stateStarting
	case !r.view.IsUsable(age):
		return stateStale
	default:
		return stateReady
	}
}

// listeners are the listeners of an instance.
type listeners struct {
	callers *listen.LimitedListener
	ready   net.Listener
	peers   net.Listener
	metrics net.Listener
}

func (l *listeners) open(s *settings.Settings, m *telemetry.Metrics) error {
	callers, err := listen.TCP("callers.address", s.Callers.Address)
	if err != nil {
		return err
	}
	l.callers = listen.NewLimitedListener(callers, maxCallerConnections(s.Routed.MaxFiles), func() { m.Count("tacktally_connections_refused_total") })
	l.callers.OnEvicted = func() { m.Count("tacktally_connections_evicted_total") }
	l.callers.OnShed = func() { m.Count("tacktally_connections_shed_total") }
	if l.ready, err = listen.TCP("routed.ready", s.Routed.Ready); err != nil {
		return err
	}
	if l.peers, err = listen.TCP("peers.address", s.Peers.Address); err != nil {
		return err
	}
	l.metrics, err = listen.TCP("routed.metrics", s.Routed.Metrics)
	return err
}

// maxCallerConnections returns how many connections of callers may be open at once, given the
// number of file descriptors.
func maxCallerConnections(files int) int {
	return max(int(callerConnectionShare*float64(files-settings.ReservedFiles)), 1)
}

// servers are the running HTTP servers.
type servers struct {
	callers *http.Server
	others  []*http.Server
}

func (l *listeners) serve(i *Instance) *servers {
	mesh := http.NewServeMux()
	mesh.Handle(peer.Path, i.mesh)
	if i.relayServer != nil {
		mesh.Handle(relay.Path, i.relayServer)
	}
	metrics := http.NewServeMux()
	metrics.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { i.metrics.Write(w) })
	metrics.HandleFunc("GET "+ZoneReportPath, i.serveZoneReport)
	callers := i.newServer(i.proxy)
	callers.ConnState = l.callers.ConnState
	i.limitConnections(callers)
	callers.ConnContext = listen.ConnContext
	i.start(callers, l.callers)
	s := &servers{callers: callers}
	for _, o := range []struct {
		listener net.Listener
		handler  http.Handler
	}{{l.ready, &i.ready}, {l.peers, mesh}, {l.metrics, metrics}} {
		other := i.newServer(o.handler)
		i.start(other, o.listener)
		s.others = append(s.others, other)
	}
	return s
}

func (i *Instance) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    i.settings.Callers.MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// start makes a server accept connections in the background.
func (i *Instance) start(s *http.Server, l net.Listener) {
	go func() {
		err := s.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) {
			i.log.Error().Str("event", "listener_lost").Str("address", l.Addr().String()).Str("cause", err.Error()).Msg("listener failed; it accepts no more connections")
		}
	}()
}

// shutDown reports the instance as not ready, keeps serving for drainListenTime since callers may
// still be sent here, then accepts no new connections, and waits for running requests until the
// grace period ends. Requests that would probably run longer are refused.
func (i *Instance) shutDown(s *servers) {
	i.log.Info().Str("event", "draining").Int("in_flight", i.proxy.InFlight()).Msg("")
	i.ready.draining.Store(true)
	grace := time.Duration(i.settings.Routed.Grace)
	ctx, cancel := context.WithTimeout(context.Background(), grace-shutdownMargin)
	defer cancel()
	end, _ := ctx.Deadline()
	listenTime := min(drainListenTime, grace/2)
	i.proxy.Drain(time.Now().Add(listenTime), end)
	i.mesh.Announce()
	i.fleet.HandOverOrigins()
	wait.For(ctx, listenTime)
	var relayed sync.WaitGroup
	if i.relayServer != nil {
		relayed.Go(func() { i.relayServer.Drain(ctx) })
	}
	err := s.callers.Shutdown(ctx)
	for err == nil && i.proxy.InFlight() > 0 && wait.For(ctx, idlePollInterval) {
	}
	if i.proxy.InFlight() > 0 {
		i.log.Warn().Str("event", "drain_timeout").Int("in_flight", i.proxy.InFlight()).Msg("grace period is over; remaining requests are aborted")
	}
	i.proxy.Abort()
	relayed.Wait()
	abortCtx, cancelAbort := context.WithTimeout(context.Background(), abortTimeout)
	defer cancelAbort()
	_ = s.callers.Shutdown(abortCtx) // waits until the final responses are sent
	_ = s.callers.Close()
	for _, o := range s.others {
		_ = o.Close()
	}
}
