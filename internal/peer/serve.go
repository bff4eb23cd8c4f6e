package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/coder/websocket"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/request"
)

// Path is the URL path under which an instance accepts links.
const Path = "/peer"

// maxStreams bounds the concurrent requests of the peer on one link.
const maxStreams = 4096

// ServeHTTP accepts a link from a peer and serves it until it ends.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	order := m.linksBegun.Add(1) // before the peer can send its hello
	conn, err := websocket.Accept(w, h, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	l := newLink(m.ctx, conn)
	s := newServedLink(m, l, "", order)
	defer s.closeStreams()
	err = l.run(s.handle)
	m.removeAccepted(s.peer, l)
	m.logLinkEnded(s.peer, "accepted", err)
	if m.sparse != nil && s.peer != "" {
		m.reportLinkLost(s.peer)
	}
	m.resendOrigins(s.peer, l)
}

func newServedLink(m *Mesh, l *link, peer string, order uint64) *servedLink {
	return &servedLink{mesh: m, link: l, peer: peer, order: order, streams: map[uint64]*servedStream{}}
}

// errReplaced ends a link whose peer has dialled another one.
var errReplaced = errors.New("link replaced by one that the peer dialled")

// registerAccepted records the link that a peer dialled and ends the previous one. The peer has
// given that one up, even if this side hasn't noticed its end: slots that the peer holds on it
// would count here, and again through the peer's heartbeats.
func (m *Mesh) registerAccepted(address string, l *link) {
	m.mu.Lock()
	previous := m.accepted[address]
	m.accepted[address] = l
	m.replaceDialled(address)
	m.mu.Unlock()
	if previous != nil && previous != l {
		previous.cancel(errReplaced)
	}
}

// removeAccepted removes a link that has ended, unless another one has replaced it.
func (m *Mesh) removeAccepted(address string, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accepted[address] == l {
		delete(m.accepted, address)
	}
}

// servedLink is the serving side of a link: it answers the peer's requests. Every link that a peer
// dialled has one, and in a sparse mesh, where one link serves both directions, those that this
// side dialled use it too.
type servedLink struct {
	mesh *Mesh
	link *link
	peer string
	// incarnation of the peer's process, by its hello; identified is whether that has come.
	incarnation uint64
	identified  bool
	// order is the number of the link, in the order in which this side began to dial or to serve them.
	order uint64

	mu      sync.Mutex
	streams map[uint64]*servedStream
}

type servedStream struct {
	cancel context.CancelFunc
	credit *credit     // for the response to a request
	slot   chan *Frame // the peer's frames about a slot
}

func (s *servedLink) handle(f *Frame) error {
	switch f.Type {
	case TypeHello:
		if err := s.receiveHello(f.Hello, nil); err != nil {
			return err
		}
		return s.sendHello()
	case TypeHeartbeat:
		s.mesh.receiveHeartbeat(s.peer, s.incarnation, f.Heartbeat)
	case TypeQuotaRequest:
		s.link.recordRequest(boottime.Now(), 0)
		return s.link.send(s.link.ctx, &Frame{Type: TypeQuotaReply, Stream: f.Stream, QuotaReply: s.mesh.o.Handler.ServeQuota(f.QuotaRequest)})
	case TypeQuotaReturn:
		s.mesh.o.Handler.HandleQuotaReturn(f.QuotaReturn)
	case TypeOrigins:
		s.mesh.o.Handler.HandleOrigins(f.Origins)
	case TypeOriginQuery:
		s.link.recordRequest(boottime.Now(), 0)
		return s.link.send(s.link.ctx, &Frame{Type: TypeOriginReply, Stream: f.Stream, OriginReply: s.mesh.o.Handler.ServeOrigin(f.OriginQuery)})
	case TypeLeaseRequest:
		s.link.recordRequest(boottime.Now(), 0)
		return s.link.send(s.link.ctx, &Frame{Type: TypeLeaseReply, Stream: f.Stream, LeaseGroups: s.mesh.o.Handler.ServeLeases(s.peer, f.LeaseGroups)})
	case TypePressure:
		s.mesh.o.Handler.HandlePressure(*f.Pressure)
		return s.link.send(s.link.ctx, &Frame{Type: TypeRelieved, Stream: f.Stream})
	case TypeFetch:
		return s.link.send(s.link.ctx, &Frame{Type: TypeState, Stream: f.Stream, State: s.mesh.o.Handler.State(f.Fetch)})
	case TypeOpen:
		s.startRequest(f)
	case TypeCancel:
		s.closeStream(f.Stream)
	case TypeCredit:
		if st := s.stream(f.Stream); st != nil && st.credit != nil {
			st.credit.add(f.Credit)
		}
	case TypeSlotRequest:
		s.startSlotRequest(f)
	case TypeSlotStarted, TypeSlotReleased:
		if st := s.stream(f.Stream); st != nil && st.slot != nil {
			select {
			case st.slot <- f:
			default: // exceeds what a peer may send for a slot
				return fmt.Errorf("%w: too many frames for one slot", ErrMalformedFrame)
			}
		}
	case TypeMembership:
		s.mesh.mergeMembership(s.peer, s.incarnation, f.Membership)
	default: // a reply to a request of this side
		s.link.deliver(f)
	}
	return nil
}

// sendHello replies to a hello. In a sparse mesh, where one link serves both directions, it adds a
// heartbeat at once: the peer may have just started.
func (s *servedLink) sendHello() error {
	err := s.link.send(s.link.ctx, &Frame{Type: TypeHello, Hello: s.mesh.hello()})
	if err != nil || s.mesh.sparse == nil {
		return err
	}
	s.mesh.sendHeartbeatOn(s.link)
	return nil
}

func (s *servedLink) stream(id uint64) *servedStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[id]
}

// startRequest serves a request in a new goroutine.
func (s *servedLink) startRequest(f *Frame) {
	ctx, cancel := context.WithCancel(s.link.ctx)
	st := &servedStream{cancel: cancel, credit: newCredit(window)}
	if s.register(f.Stream, st) {
		s.mesh.responding.Add(1)
		go s.streamResponse(ctx, f.Stream, f.Request, st)
	}
}

// startSlotRequest decides on a slot in a new goroutine.
func (s *servedLink) startSlotRequest(f *Frame) {
	ctx, cancel := context.WithCancel(s.link.ctx)
	st := &servedStream{cancel: cancel, slot: make(chan *Frame, slotFrames)}
	if !s.register(f.Stream, st) {
		return
	}
	go func() {
		defer s.closeStream(f.Stream)
		s.mesh.o.Handler.ServeSlot(ctx, f.SlotRequest, &SlotStream{Peer: s.peer, link: s.link, id: f.Stream, frames: st.slot})
	}()
}

// register adds a stream and reports whether it did. Exceeding maxStreams ends the link.
func (s *servedLink) register(id uint64, st *servedStream) bool {
	s.mu.Lock()
	full := len(s.streams) >= maxStreams
	if !full {
		s.streams[id] = st
		s.link.recordRequest(boottime.Now(), 1)
	}
	s.mu.Unlock()
	if full {
		st.cancel()
		s.link.cancel(ErrLinkClosed)
	}
	return !full
}

func (s *servedLink) streamResponse(ctx context.Context, id uint64, r *request.Request, st *servedStream) {
	defer s.mesh.responding.Add(-1)
	defer s.closeStream(id)
	b := s.mesh.o.Handler.Serve(ctx, r)
	reader := b.Reader()
	for {
		event, err := reader.Next(ctx)
		if err != nil {
			return
		}
		if err := s.sendEvent(ctx, id, event, st.credit); err != nil {
			return
		}
		if event.End != nil {
			return
		}
	}
}

func (s *servedLink) sendEvent(ctx context.Context, id uint64, event answer.Event, c *credit) error {
	switch {
	case event.Head != nil:
		return s.link.send(ctx, &Frame{Type: TypeHead, Stream: id, Head: event.Head})
	case event.End != nil:
		return s.link.send(ctx, &Frame{Type: TypeEnd, Stream: id, End: event.End})
	}
	for rest := event.Chunk; len(rest) > 0; {
		n := min(len(rest), maxDataBytes)
		if err := c.acquire(ctx, charge(n)); err != nil {
			return err
		}
		if err := s.link.send(ctx, &Frame{Type: TypeData, Stream: id, Data: rest[:n]}); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

func (s *servedLink) closeStream(id uint64) {
	s.mu.Lock()
	st := s.streams[id]
	delete(s.streams, id)
	s.mu.Unlock()
	if st != nil {
		s.link.recordRequest(boottime.Now(), -1)
		st.cancel()
	}
}

// IsResponding reports whether a response to a request that a peer forwarded is not yet written to
// its link as a whole. It may also report true while other frames are being written.
func (m *Mesh) IsResponding() bool {
	if m.responding.Load() > 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.accepted {
		if l.unwritten.Load() > 0 && l.ctx.Err() == nil {
			return true
		}
	}
	return false
}

func (s *servedLink) closeStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, st := range s.streams {
		st.cancel()
		delete(s.streams, id)
	}
}

// credit is the number of bytes that may be sent. It is safe for concurrent use.
type credit struct {
	mu        sync.Mutex
	available int
	changed   chan struct{}
}

func newCredit(n int) *credit { return &credit{available: n, changed: make(chan struct{})} }

func (c *credit) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.available = min(c.available+n, window)
	close(c.changed)
	c.changed = make(chan struct{})
}

// acquire blocks until n bytes may be sent, or ctx ends.
func (c *credit) acquire(ctx context.Context, n int) error {
	for {
		c.mu.Lock()
		if c.available >= n {
			c.available -= n
			c.mu.Unlock()
			return nil
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
