package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/tacktally/tacktally/internal/certificates"
	"github.com/tacktally/tacktally/internal/listen"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/settings"
)

const (
	// readHeaderTimeout is how long a client may take to send the header of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request of an operator or a peer; that of callers is a
	// setting.
	maxHeaderBytes = 16 << 10
)

// listeners are the listeners of a daemon for callers, operators and peers.
type listeners struct {
	callers       net.Listener
	operators     net.Listener
	peers         net.Listener
	peerClientTLS func() *tls.Config // nil for links without TLS
}

func (l *listeners) open(s *settings.Settings) error {
	var err error
	if l.callers, err = open("callers.address", s.Callers.Address, s.Callers.TLS); err != nil {
		return err
	}
	if l.operators, err = open("operators.address", s.Operators.Address, s.Operators.TLS); err != nil {
		return err
	}
	if l.peers, err = open("peers.address", s.Peers.Address, s.Peers.TLS); err != nil {
		return err
	}
	if s.Peers.TLS != nil {
		l.peerClientTLS, err = certificates.Client(*s.Peers.TLS)
	}
	return err
}

// open opens a listener, with TLS if a certificate is configured.
func open(setting, address string, t *settings.TLS) (net.Listener, error) {
	l, err := listen.TCP(setting, address)
	if err != nil || t == nil {
		return l, err
	}
	c, err := certificates.Server(*t)
	if err != nil {
		l.Close()
		return nil, err
	}
	return tls.NewListener(l, c), nil
}

// servers are the running HTTP servers.
type servers struct {
	callers   *http.Server
	operators *http.Server
	peers     *http.Server
}

func (l *listeners) serve(s *settings.Settings, callers, operators http.Handler, mesh *peer.Mesh) *servers {
	peers := http.NewServeMux()
	peers.Handle(peer.Path, mesh)
	out := &servers{
		callers:   newServer(callers, s.Callers.MaxHeaderBytes),
		operators: newServer(operators, maxHeaderBytes),
		peers:     newServer(peers, maxHeaderBytes),
	}
	out.callers.ConnContext = listen.ConnContext
	go out.callers.Serve(l.callers)     //nolint:errcheck // ends with close
	go out.operators.Serve(l.operators) //nolint:errcheck // ends with close
	go out.peers.Serve(l.peers)         //nolint:errcheck // ends with close
	return out
}

func newServer(h http.Handler, maxHeader int) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// shutDownCallers closes the callers' listener and waits until their responses are written or ctx
// is done.
func (s *servers) shutDownCallers(ctx context.Context) { _ = s.callers.Shutdown(ctx) }

func (s *servers) close() {
	s.callers.Close()
	s.operators.Close()
	s.peers.Close()
}
