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
	"time"

	"github.com/tacktally/tacktally/internal/boottime"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/keepalive"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/wait"
)

// Handler is what a mesh serves its peers with. Its methods are called by several
// goroutines at once and must not block; Serve returns a buffer that is still being
// made.
type Handler interface {
	// Serve serves a request that a peer forwarded.
	Serve(ctx context.Context, r *request.Request) *answer.Buffer
	// State returns what is handed over to a peer, by what it says that it has.
	State(f *FetchRequest) *State
	// FetchRequest returns what to say of the state at hand when a peer is asked for its own.
	FetchRequest() *FetchRequest
	// MergeState takes over what a peer handed over when it was asked at a time.
	MergeState(from string, asked time.Time, s *State)
	// Heartbeat returns what to tell the peers now.
	Heartbeat() *Heartbeat
	// HandleHeartbeat is called for each heartbeat of a peer.
	HandleHeartbeat(from string, h *Heartbeat)
	// HandlePressure is called when a peer is about to shed work for lack of capacity.
	HandlePressure(p Pressure)
	// ServeSlot decides on a slot that a peer asks for, and blocks until the slot is
	// given back or ctx ends: the peer has cancelled or its link is gone.
	ServeSlot(ctx context.Context, r *SlotRequest, s *SlotStream)
	// ServeQuota answers a peer that asks for tokens, and QuotaReturned takes some back.
	ServeQuota(r *QuotaRequest) *QuotaReply
	HandleQuotaReturn(r *QuotaReturn)
	// LinkLost is called when the link to a peer has ended, which may come back.
	LinkLost(address string)
	// PeerLost is called once when a peer wasn't heard of for SuspectAfter.
	PeerLost(address string)
}

// Options of a Mesh.
type Options struct {
	// Address under which peers reach this instance, and where it listens.
	Address     string
	Listen      string
	Zone        string
	Incarnation uint64
	// Cores is the processor time that this instance has, in cores; 0 is unknown.
	Cores     float64
	Heartbeat time.Duration
	// CrossZoneEvery is how often peers of other availability zones are sent a whole heartbeat:
	// one in so many. The others are brief. 0 and 1 are each time.
	CrossZoneEvery int
	// SuspectAfter is the silence after which a peer isn't reachable.
	SuspectAfter time.Duration
	Handler      Handler
	Log          *log.Logger
	// Sparse keeps links only with those that package membership says, and makes more on
	// use. The addresses of SetPeers are seeds then.
	Sparse bool
	// TLS makes the configuration of each link that is dialled; nil makes links plain.
	TLS func() *tls.Config
}

const (
	dialTimeout = 2 * time.Second
	firstRedial = 50 * time.Millisecond
	maxRedial   = 2 * time.Second
	// forgetAfter is the silence after which a peer that isn't on the list is no
	// longer dialled.
	forgetAfter = time.Minute
	// fetchTimeout bounds the handing over of state. A link on which nothing comes in it may
	// be dead.
	fetchTimeout = 2 * time.Second
	// fetchPatience is how long a fetch in the background holds back others: a fleet in which
	// all announce the same change hands it over once, and a link that went silent holds up no
	// news that others have. Peers answer within some milliseconds, and one whose processor
	// is held back within a tenth of a second.
	fetchPatience = 300 * time.Millisecond
)

// ErrUnreachable: no link to the peer is up.
var ErrUnreachable = errors.New("no link to the peer")

// Mesh holds the links of one instance. Safe for concurrent use.
type Mesh struct {
	o       Options
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	started time.Time

	mu       sync.Mutex
	peers    map[string]*peerState
	accepted map[string]*link // the last link that each peer dialled
	fetches  int              // that are under way in the background
	fetched  time.Time        // when the last of them began
	// fetchNext is the peer to be asked once the last of them has ended or is slow, "" for none.
	fetchNext string
	sparse    *sparse // nil where all are linked to all
}

type peerState struct {
	hello     Hello
	since     time.Time // it is known
	started   time.Time // it itself, by its word; zero before it was heard
	listed    bool
	lastHeard time.Time
	silent    bool // the handler was told
	last      Heartbeat
	link      *link // dialled by this side, nil while down
	stop      context.CancelFunc
	tended    tended // where links are few
}

// NewMesh returns a mesh without peers. Close ends it.
func NewMesh(o Options) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{o: o, started: boottime.Now(), ctx: ctx, cancel: cancel, peers: map[string]*peerState{}, accepted: map[string]*link{}}
	if o.Sparse {
		m.sparse = newSparse(m)
		m.wg.Go(m.tend)
	}
	m.wg.Go(m.beat)
	return m
}

// Close ends all links.
func (m *Mesh) Close() {
	m.cancel()
	m.wg.Wait()
}

func (m *Mesh) hello() *Hello {
	return &Hello{Address: m.o.Address, Zone: m.o.Zone, Incarnation: m.o.Incarnation, Cores: m.o.Cores, KnownPeers: m.PeerCount(), Age: boottime.Since(m.started)}
}

// SetPeers sets the peers to be linked to. One that isn't among them any more, or
// isn't yet, is linked to as long as it is heard of: the list lags.
func (m *Mesh) SetPeers(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sparse != nil {
		m.sparse.plan.SetSeeds(addresses)
		m.sparse.kick()
		return
	}
	for _, p := range m.peers {
		p.listed = false
	}
	for _, address := range addresses {
		if p := m.link(address); p != nil {
			p.listed = true
		}
	}
}

// link returns the state of a peer, new where it wasn't known, and keeps dialling
// it. The caller holds the lock. It returns nil for this instance itself.
func (m *Mesh) link(address string) *peerState {
	if address == m.o.Address || m.ctx.Err() != nil {
		return nil
	}
	p := m.peers[address]
	if p == nil && m.sparse != nil {
		p = &peerState{hello: Hello{Address: address}, since: boottime.Now(), stop: func() {}}
		m.peers[address] = p
	}
	if p == nil {
		ctx, stop := context.WithCancel(m.ctx)
		p = &peerState{hello: Hello{Address: address}, since: boottime.Now(), stop: stop}
		m.peers[address] = p
		m.wg.Go(func() { m.keepLinked(ctx, address) })
	}
	return p
}

// keepLinked dials a peer again and again until ctx ends.
func (m *Mesh) keepLinked(ctx context.Context, address string) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstRedial
	pause.MaxInterval = maxRedial
	for ctx.Err() == nil {
		up, err := m.dial(ctx, address)
		if ctx.Err() != nil {
			return
		}
		m.linkEnded(address, "dialled", err)
		if up {
			pause.Reset()
		}
		wait.For(ctx, pause.NextBackOff())
	}
}

// dial makes a link and runs it until it ends. Up tells whether it came up.
func (m *Mesh) dial(ctx context.Context, address string) (up bool, err error) {
	scheme := "ws://"
	transport := &http.Transport{DialContext: m.dialer().DialContext, DisableKeepAlives: true}
	if m.o.TLS != nil {
		scheme = "wss://"
		transport.TLSClientConfig = m.o.TLS()
	}
	client := &http.Client{Transport: transport}
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
	s := newServed(m, l, address)
	defer s.endAll()
	err = l.run(func(f *Frame) error { return m.handleDialled(s, address, f) })
	m.mu.Lock()
	if p := m.peers[address]; p != nil && p.link == l {
		p.link = nil
	}
	m.mu.Unlock()
	m.linkLost(address)
	return true, err
}

// linkLost tells that a link to a peer has ended.
func (m *Mesh) linkLost(address string) {
	if m.sparse != nil {
		m.unlink(address)
	}
	m.o.Handler.LinkLost(address)
}

// dialer makes links come from the IP number of the peers' listener, so that
// rules of the network can name it.
func (m *Mesh) dialer() *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepalive.Config(), Control: keepalive.Control}
	if a, err := netip.ParseAddrPort(m.o.Listen); err == nil && !a.Addr().IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: a.Addr().AsSlice()}
	}
	return d
}

// handleDialled handles a frame on a link that this side dialled.
func (m *Mesh) handleDialled(s *served, address string, f *Frame) error {
	l := s.link
	if f.Type != TypeHello {
		return s.handle(f)
	}
	if f.Hello.Address != address {
		return fmt.Errorf("%w: dialled %s, which calls itself %s; correct its peers.advertise", ErrMalformedFrame, address, f.Hello.Address)
	}
	m.heard(*f.Hello, l)
	l.trySend(&Frame{Type: TypeHeartbeat, Heartbeat: m.o.Handler.Heartbeat()})
	return nil
}

// heard notes a hello; with a link, that the link to the peer is up.
func (m *Mesh) heard(h Hello, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.link(h.Address)
	if p == nil {
		return
	}
	if p.hello.Incarnation != h.Incarnation {
		p.last = Heartbeat{}
	}
	p.hello = h
	p.lastHeard = boottime.Now()
	p.started = p.lastHeard.Add(-h.Age)
	if l != nil {
		p.link = l
	}
	if m.sparse != nil {
		m.linkedTo(p)
	}
}

func (m *Mesh) linkEnded(address, side string, err error) {
	if m.ctx.Err() != nil {
		return
	}
	m.o.Log.Debug().Str("event", "peer_link_down").Str("peer", address).Str("side", side).Str("cause", fmt.Sprint(err)).Msg("")
}

var errSilent = errors.New("the peer was silent for too long")

// IsLinked tells whether the link to a peer is up and the peer was heard of lately.
func (m *Mesh) IsLinked(address string) bool { return m.linkTo(address) != nil }

func (m *Mesh) linkTo(address string) *link {
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

// isReachable tells whether the link is up and the peer was heard of lately. The
// caller holds the lock.
func (m *Mesh) isReachable(p *peerState) bool {
	return p.link != nil && p.link.ctx.Err() == nil && boottime.Since(p.lastHeard) < m.o.SuspectAfter
}
