package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tacktally/tacktally/internal/listen"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// readHeaderTimeout is the time a caller has to send a head it has begun.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 2 * time.Minute
	// listenFor is how long new requests are taken after the signal to end, so that a
	// balancer that asks once a second has noticed, after two misses and a half.
	listenFor = 2500 * time.Millisecond
	// endMargin is the time before the end of the grace at which what still runs is
	// given up, so that the process ends itself.
	endMargin = 300 * time.Millisecond
	// callersShare is the part of the descriptors that callers' connections may take. The
	// rest is for upstreams and peers. 8,000 idle connections cost 11 KB each.
	callersShare = 0.6
	// idlePoll is how often an instance that shuts down looks whether it is idle.
	idlePoll = 20 * time.Millisecond
)

// readiness answers readiness checks.
type readiness struct {
	view     *view.View
	draining atomic.Bool
}

// ServeHTTP implements http.Handler: 200 while the instance can serve.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	state := r.state()
	if state != stateReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(state + "\n")) // whoever asks may have gone
}

// The states of an instance.
const (
	stateReady      = "ready"
	stateStarting   = "starting"
	stateDraining   = "draining"
	stateOutOfTouch = "out of touch"
)

func (r *readiness) state() string {
	age, known := r.view.Age()
	switch {
	case r.draining.Load():
		return stateDraining
	case !known || r.view.ListVersion() == 0:
		return stateStarting
	case !r.view.Fresh(age):
		return stateOutOfTouch
	default:
		return stateReady
	}
}

// listeners of an instance.
type listeners struct {
	callers *listen.Callers
	ready   net.Listener
	peers   net.Listener
	metrics net.Listener
}

func (l *listeners) open(s *settings.Settings, m *telemetry.Metrics) error {
	callers, err := listen.TCP("callers.address", s.Callers.Address)
	if err != nil {
		return err
	}
	l.callers = listen.NewCallers(callers, mostCallers(s.Routed.MaxFiles), func() { m.Count("tacktally_connections_refused_total") })
	if l.ready, err = listen.TCP("routed.ready", s.Routed.Ready); err != nil {
		return err
	}
	if l.peers, err = listen.TCP("peers.address", s.Peers.Address); err != nil {
		return err
	}
	l.metrics, err = listen.TCP("routed.metrics", s.Routed.Metrics)
	return err
}

// mostCallers is how many connections of callers are open at once, of so many descriptors.
func mostCallers(files int) int {
	return max(int(callersShare*float64(files-settings.ReservedFiles)), 1)
}

// servers are the running HTTP servers.
type servers struct {
	callers *http.Server
	others  []*http.Server
}

func (l *listeners) serve(i *Instance) *servers {
	mesh := http.NewServeMux()
	mesh.Handle(peer.Path, i.mesh)
	metrics := http.NewServeMux()
	metrics.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { i.metrics.Write(w) })
	metrics.HandleFunc("GET "+ZoneReportPath, i.servePlaces)
	s := &servers{callers: i.start(l.callers, i.proxy, l.callers.State)}
	s.others = []*http.Server{i.start(l.ready, &i.ready, nil), i.start(l.peers, mesh, nil), i.start(l.metrics, metrics, nil)}
	return s
}

func (i *Instance) start(l net.Listener, h http.Handler, state func(net.Conn, http.ConnState)) *http.Server {
	s := &http.Server{
		Handler:           h,
		MaxHeaderBytes:    i.settings.Callers.MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         state,
	}
	go func() {
		err := s.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) {
			i.log.Error().Str("event", "listener_lost").Str("address", l.Addr().String()).Str("cause", err.Error()).Msg("")
		}
	}()
	return s
}

// shutDown says that the instance isn't ready, goes on serving while callers may
// still be sent here, then takes no new connections, and waits for what runs until
// the grace is over.
func (i *Instance) shutDown(s *servers) {
	i.log.Info().Str("event", "draining").Int("in_flight", i.proxy.InFlight()).Msg("")
	i.ready.draining.Store(true)
	i.proxy.Drain()
	i.mesh.Announce()
	grace := time.Duration(i.settings.Routed.Grace)
	ctx, cancel := context.WithTimeout(context.Background(), grace-endMargin)
	defer cancel()
	wait.For(ctx, min(listenFor, grace/2))
	err := s.callers.Shutdown(ctx)
	for err == nil && i.proxy.InFlight() > 0 && wait.For(ctx, idlePoll) {
	}
	if i.proxy.InFlight() > 0 {
		i.log.Warn().Str("event", "drain_timeout").Int("in_flight", i.proxy.InFlight()).Msg("")
	}
	_ = s.callers.Close() // what still runs is given up
	for _, o := range s.others {
		_ = o.Close()
	}
}
