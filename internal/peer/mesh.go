package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/keepalive"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/wait"
)

// Handler serves the requests and consumes the updates of peers. Its methods are called
// concurrently and must not block, except ServeSlot; Serve returns a buffer that is still being
// filled.
type Handler interface {
	// Serve serves a request that a peer forwarded.
	Serve(ctx context.Context, r *request.Request) *answer.Buffer
	// State returns the state to send to a peer, given what the peer already has.
	State(f *FetchRequest) *State
	// FetchRequest returns the request with which a peer's state is fetched.
	FetchRequest() *FetchRequest
	// MergeState merges the state of a peer that was requested at the given time.
	MergeState(from string, requestedAt time.Time, s *State)
	// Heartbeat returns the heartbeat to send now.
	Heartbeat() *Heartbeat
	// HandleHeartbeat is called for each heartbeat of a peer.
	HandleHeartbeat(from string, h *Heartbeat)
	// HandlePressure is called when a peer is about to shed work for lack of capacity.
	HandlePressure(p Pressure)
	// ServeSlot decides on a slot that a peer requests, and blocks until the slot is returned or
	// ctx ends, because the peer cancelled or its link ended.
	ServeSlot(ctx context.Context, r *SlotRequest, s *SlotStream)
	// ServeQuota replies to a request for tokens, and HandleQuotaReturn takes tokens back.
	ServeQuota(r *QuotaRequest) *QuotaReply
	HandleQuotaReturn(r *QuotaReturn)
	// ServeLeases returns those of the groups of buckets that are leased to a peer which requests them.
	ServeLeases(from string, groups []int) (granted []int)
	// HandleOrigins records origins of streams, and ServeOrigin replies to a query of one.
	HandleOrigins(list []StreamOrigin)
	ServeOrigin(q *OriginQuery) *OriginReply
	// LinkLost is called when the link to a peer has ended. The link may come back.
	LinkLost(address string)
	// PeerLost is called once each time a peer hasn't been seen for SuspectAfter.
	PeerLost(address string)
}

// Options configure a Mesh.
type Options struct {
	// Address is the address under which peers reach this instance, and Listen the one on which it
	// listens.
	Address     string
	Listen      string
	Zone        string
	Incarnation uint64
	// Cores is the processor time that this instance has, in cores; 0 means unknown.
	Cores float64
	// Heartbeat is the interval between heartbeats.
	Heartbeat time.Duration
	// CrossZoneEvery makes one heartbeat in that many to peers of other availability zones a whole
	// one; the others are brief. With 0 or 1 all are whole.
	CrossZoneEvery int
	// SuspectAfter is the silence after which a peer counts as unreachable.
	SuspectAfter time.Duration
	Handler      Handler
	Log          *log.Logger
	// Sparse keeps links only to the peers that package membership selects, and dials others on
	// use. The addresses of SetPeers are then the seeds.
	Sparse bool
	// TLS returns the configuration for each link that is dialled; with nil, links are unencrypted.
	TLS func() *tls.Config
}

const (
	// dialTimeout bounds one dial. The delay after a failed dial grows from firstRedial to maxRedial.
	dialTimeout = 2 * time.Second
	firstRedial = 50 * time.Millisecond
	maxRedial   = 2 * time.Second
	// forgetAfter is the silence after which a peer that isn't listed is no longer dialled.
	forgetAfter = time.Minute
	// fetchTimeout bounds a fetch of a peer's state. A link on which nothing arrives within it may
	// be dead.
	fetchTimeout = 2 * time.Second
	// maxFetchDelay is how long a background fetch delays others. With the delay, a change that the
	// whole fleet announces is fetched once; with the bound, a silent link doesn't delay an update
	// that other peers have. Peers reply within some milliseconds, and one whose processor is
	// throttled within a tenth of a second.
	maxFetchDelay = 300 * time.Millisecond
)

// ErrUnreachable means that no link to the peer is up.
var ErrUnreachable = errors.New("no link to the peer")

// Mesh holds the links of one instance to its peers. It is safe for concurrent use.
type Mesh struct {
	o       Options
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	started time.Time
	// responding is the number of forwarded requests whose responses are being sent.
	responding atomic.Int64
	// announcing is whether AnnounceSoon has an announcement to make.
	announcing atomic.Bool
	// linksBegun is the number of links that were dialled or accepted.
	linksBegun atomic.Uint64
	// receivingHello is held while a hello is handled. It is locked before mu.
	receivingHello sync.Mutex

	mu            sync.Mutex
	peers         map[string]*peerState
	accepted      map[string]*link // the last link that each peer dialled
	activeFetches int              // background fetches in progress
	lastFetch     time.Time        // when the last of them began
	// pendingFetch is the peer to fetch from once the last fetch has ended or is slow; "" for none.
	pendingFetch string
	sparse       *sparseState // nil in a full mesh
	// pendingOrigins wait for a link, by the address of their peer.
	pendingOrigins map[string][]StreamOrigin

	// heartbeating has capacity 1 and holds an element while a heartbeat is built and sent; only its holder uses
	// heartbeats, their number so far.
	heartbeating chan struct{}
	heartbeats   uint64
}

type peerState struct {
	hello Hello
	// helloOrder is that of the last link on which the process of hello has sent one.
	helloOrder    uint64
	knownSince    time.Time // when this instance first learned of the peer
	started       time.Time // when the peer started, by its hello; zero before that
	listed        bool
	lastSeen      time.Time
	silent        bool       // whether the handler was notified of the silence
	lastHeartbeat *Heartbeat // nil before the first one of the peer's process
	// heartbeatOf is the incarnation that has sent the last heartbeat, and sequence its number.
	heartbeatOf, sequence uint64
	// receiving is held while a heartbeat is handled: they come on two links while one replaces the other. It is locked
	// before the mesh's lock.
	receiving sync.Mutex
	link      *link // dialled by this side; nil while down
	stop      context.CancelFunc
	control   linkControl // used in a sparse mesh only
}

// NewMesh returns a mesh without peers and starts to send heartbeats. Close stops it.
func NewMesh(o Options) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{o: o, started: boottime.Now(), ctx: ctx, cancel: cancel, peers: map[string]*peerState{}, accepted: map[string]*link{}, pendingOrigins: map[string][]StreamOrigin{}, heartbeating: make(chan struct{}, 1)}
	if o.Sparse {
		m.sparse = newSparseState(m)
		m.wg.Go(m.maintainLinks)
	}
	m.wg.Go(m.heartbeatLoop)
	return m
}

// Go runs f in the background, with a context that ends when the mesh is closed. Close waits for f.
func (m *Mesh) Go(f func(ctx context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() == nil {
		m.wg.Go(func() { f(m.ctx) })
	}
}

// Close ends all links and waits for the mesh's goroutines.
func (m *Mesh) Close() {
	m.cancel()
	m.wg.Wait()
}

func (m *Mesh) hello() *Hello {
	return &Hello{Address: m.o.Address, Zone: m.o.Zone, Incarnation: m.o.Incarnation, Cores: m.o.Cores, KnownPeers: m.PeerCount(), Age: boottime.Since(m.started), KnowsOrigins: true, KnowsLeases: true}
}

// SetPeers sets the listed peers, to which links are kept. A peer that isn't listed, or no longer,
// keeps its link while heartbeats arrive from it, since the list lags behind. In a sparse mesh the
// addresses are the seeds.
func (m *Mesh) SetPeers(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sparse != nil {
		m.sparse.overlay.SetSeeds(addresses)
		m.sparse.notify()
		return
	}
	for _, p := range m.peers {
		p.listed = false
	}
	for _, address := range addresses {
		if p := m.ensurePeer(address); p != nil {
			p.listed = true
		}
	}
}

// ensurePeer returns the state of a peer and creates it if the peer is new. In a full mesh it then
// keeps dialling the peer. It returns nil for this instance itself and once the mesh is closed. The
// caller holds the lock.
func (m *Mesh) ensurePeer(address string) *peerState {
	if address == m.o.Address || m.ctx.Err() != nil {
		return nil
	}
	p := m.peers[address]
	if p == nil && m.sparse != nil {
		p = &peerState{hello: Hello{Address: address}, knownSince: boottime.Now(), stop: func() {}}
		m.peers[address] = p
	}
	if p == nil {
		ctx, stop := context.WithCancel(m.ctx)
		p = &peerState{hello: Hello{Address: address}, knownSince: boottime.Now(), stop: stop}
		m.peers[address] = p
		m.wg.Go(func() { m.keepLinked(ctx, address) })
	}
	return p
}

// keepLinked dials a peer repeatedly until ctx ends.
func (m *Mesh) keepLinked(ctx context.Context, address string) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstRedial
	delays.MaxInterval = maxRedial
	for ctx.Err() == nil {
		up, err := m.dial(ctx, address)
		if ctx.Err() != nil {
			return
		}
		m.logLinkEnded(address, "dialled", err)
		if up {
			delays.Reset()
		}
		wait.For(ctx, delays.NextBackOff())
	}
}

// dial establishes a link and serves it until it ends. It reports whether the link came up.
func (m *Mesh) dial(ctx context.Context, address string) (up bool, err error) {
	order := m.linksBegun.Add(1) // the process that is dialled may be replaced before it replies
	scheme := "ws://"
	transport := &http.Transport{DialContext: m.dialer().DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: exchange.MaxHeadBytes}
	if m.o.TLS != nil {
		scheme = "wss://"
		transport.TLSClientConfig = m.o.TLS()
	}
	client := &http.Client{Transport: exchange.Strict(transport)}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(dialCtx, scheme+address+Path, &websocket.DialOptions{
		HTTPClient:      client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return false, err
	}
	l := newLink(ctx, conn)
	hello := m.hello()
	hello.DialledAddress = address
	if err := l.send(ctx, &Frame{Type: TypeHello, Hello: hello}); err != nil {
		conn.CloseNow()
		return false, err
	}
	s := newServedLink(m, l, address, order)
	defer s.closeStreams()
	err = l.run(func(f *Frame) error { return m.handleDialled(s, address, f) })
	m.mu.Lock()
	if p := m.peers[address]; p != nil && p.link == l {
		p.link = nil
	}
	m.mu.Unlock()
	m.reportLinkLost(address)
	m.resendOrigins(address, l)
	return true, err
}

// reportLinkLost updates the membership and notifies the handler after a link to a peer has ended.
func (m *Mesh) reportLinkLost(address string) {
	if m.sparse != nil {
		m.recordUnlinked(address)
	}
	m.o.Handler.LinkLost(address)
}

// Dialer returns a dialer for connections to peers that aren't links.
func (m *Mesh) Dialer() *net.Dialer { return m.dialer() }

// dialer returns a dialer whose connections come from the IP address of the peer listener, so that
// network rules can name it.
func (m *Mesh) dialer() *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepalive.Config(), Control: keepalive.Control}
	if a, err := netip.ParseAddrPort(m.o.Listen); err == nil && !a.Addr().IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: a.Addr().AsSlice()}
	}
	return d
}

// handleDialled handles a frame on a link that this side dialled.
func (m *Mesh) handleDialled(s *servedLink, address string, f *Frame) error {
	l := s.link
	switch {
	case f.Type == TypeMembership && !s.identified:
		return errUpdateBeforeHello
	case f.Type != TypeHello:
		return s.handle(f)
	}
	if f.Hello.Address != address {
		return fmt.Errorf("%w: dialled %s, whose hello has the address %s; correct its peers.advertise", ErrMalformedFrame, address, f.Hello.Address)
	}
	if err := s.receiveHello(f.Hello, l); err != nil {
		return err
	}
	m.sendHeartbeatOn(l)
	return nil
}

// recordHello records a peer's hello, and the link if it isn't nil.
func (m *Mesh) recordHello(h Hello, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.ensurePeer(h.Address)
	if p == nil {
		return
	}
	if p.hello.Incarnation != h.Incarnation {
		p.lastHeartbeat = nil
	}
	p.hello = h
	p.lastSeen = boottime.Now()
	p.started = p.lastSeen.Add(-h.Age)
	if l != nil {
		p.link = l
	}
	if m.sparse != nil {
		m.recordLinked(p)
	}
}

func (m *Mesh) logLinkEnded(address, side string, err error) {
	if m.ctx.Err() != nil {
		return
	}
	m.o.Log.Debug().Str("event", "peer_link_down").Str("peer", address).Str("side", side).Str("cause", fmt.Sprint(err)).Msg("link to the peer ended or could not be established")
}

var errSilent = errors.New("peer silent for too long")

// IsLinked reports whether the link to a peer is up and the peer was seen within SuspectAfter.
func (m *Mesh) IsLinked(address string) bool { return m.reachableLink(address) != nil }

// reachableLink returns the link to a peer if IsLinked, nil otherwise.
func (m *Mesh) reachableLink(address string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	switch {
	case p == nil:
		return nil
	case m.sparse != nil:
		return m.liveLink(address, p)
	case m.isReachable(p):
		return p.link
	}
	return nil
}

// isReachable reports, in a full mesh, whether the link is up and the peer was seen within
// SuspectAfter. The caller holds the lock.
func (m *Mesh) isReachable(p *peerState) bool {
	return p.link != nil && p.link.ctx.Err() == nil && boottime.Since(p.lastSeen) < m.o.SuspectAfter
}
