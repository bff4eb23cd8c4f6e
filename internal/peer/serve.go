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

// Path under which an instance accepts links.
const Path = "/peer"

// maxStreams bounds the requests served at once on one link.
const maxStreams = 4096

// ServeHTTP accepts a link from a peer and serves it until it ends.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	conn, err := websocket.Accept(w, h, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	l := newLink(m.ctx, conn)
	s := newServed(m, l, "")
	defer s.endAll()
	err = l.run(s.handle)
	m.releaseAccepted(s.peer, l)
	m.linkEnded(s.peer, "accepted", err)
	if m.sparse != nil && s.peer != "" {
		m.linkLost(s.peer)
	}
}

func newServed(m *Mesh, l *link, peer string) *served {
	return &served{mesh: m, link: l, peer: peer, cancels: map[uint64]*servedStream{}}
}

// errReplaced ends a link whose peer has dialled another one.
var errReplaced = errors.New("the peer has dialled another link")

// noteAccepted notes the link that a peer dialled. The one before is dead to the peer, also
// where this side hasn't noticed: what the peer holds on it would count here and, told by
// the peer, once more.
func (m *Mesh) noteAccepted(address string, l *link) {
	m.mu.Lock()
	before := m.accepted[address]
	m.accepted[address] = l
	m.replaceDialled(address)
	m.mu.Unlock()
	if before != nil && before != l {
		before.cancel(errReplaced)
	}
}

// releaseAccepted forgets a link that has ended, unless another one took its place.
func (m *Mesh) releaseAccepted(address string, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accepted[address] == l {
		delete(m.accepted, address)
	}
}

// served is the side of a link that answers what the peer asks: of one that a peer dialled,
// and, where one link serves a pair, of one that this side dialled.
type served struct {
	mesh *Mesh
	link *link
	peer string

	mu      sync.Mutex
	cancels map[uint64]*servedStream
}

type servedStream struct {
	cancel context.CancelFunc
	credit *credit     // of a request's answer
	slot   chan *Frame // what the peer says of a slot
}

func (s *served) handle(f *Frame) error {
	switch f.Type {
	case TypeHello:
		s.peer = f.Hello.Address
		if f.Hello.DialledAddress == s.mesh.o.Address {
			s.mesh.noteAccepted(s.peer, s.link) // under another address it will hang up
		}
		s.mesh.heard(*f.Hello, nil)
		return s.greet()
	case TypeHeartbeat:
		s.mesh.heartbeat(s.peer, f.Heartbeat)
	case TypeQuotaRequest:
		s.link.noteAsked(boottime.Now(), 0)
		return s.link.send(s.link.ctx, &Frame{Type: TypeQuotaReply, Stream: f.Stream, QuotaReply: s.mesh.o.Handler.ServeQuota(f.QuotaRequest)})
	case TypeQuotaReturn:
		s.mesh.o.Handler.HandleQuotaReturn(f.QuotaReturn)
	case TypePressure:
		s.mesh.o.Handler.HandlePressure(*f.Pressure)
		return s.link.send(s.link.ctx, &Frame{Type: TypeRelieved, Stream: f.Stream})
	case TypeFetch:
		return s.link.send(s.link.ctx, &Frame{Type: TypeState, Stream: f.Stream, State: s.mesh.o.Handler.State(f.Fetch)})
	case TypeOpen:
		s.start(f)
	case TypeCancel:
		s.stop(f.Stream)
	case TypeCredit:
		if st := s.stream(f.Stream); st != nil && st.credit != nil {
			st.credit.add(f.Credit)
		}
	case TypeSlotRequest:
		s.startSlot(f)
	case TypeSlotStarted, TypeSlotReleased:
		if st := s.stream(f.Stream); st != nil && st.slot != nil {
			select {
			case st.slot <- f:
			default: // more than a peer may say of a slot
				return fmt.Errorf("%w: too many frames for one slot", ErrMalformedFrame)
			}
		}
	case TypeMembership:
		s.mesh.learnMembers(s.peer, f.Membership)
	default: // it answers what this side has asked
		s.link.deliver(f)
	}
	return nil
}

// greet answers a hello. Where one link serves both directions, what is known here is told
// at once: the peer may have just started.
func (s *served) greet() error {
	err := s.link.send(s.link.ctx, &Frame{Type: TypeHello, Hello: s.mesh.hello()})
	if err != nil || s.mesh.sparse == nil {
		return err
	}
	return s.link.send(s.link.ctx, &Frame{Type: TypeHeartbeat, Heartbeat: s.mesh.o.Handler.Heartbeat()})
}

func (s *served) stream(id uint64) *servedStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancels[id]
}

// start serves a request in a goroutine of its own.
func (s *served) start(f *Frame) {
	ctx, cancel := context.WithCancel(s.link.ctx)
	st := &servedStream{cancel: cancel, credit: newCredit(window)}
	if s.register(f.Stream, st) {
		go s.serve(ctx, f.Stream, f.Request, st)
	}
}

// startSlot decides on a slot in a goroutine of its own.
func (s *served) startSlot(f *Frame) {
	ctx, cancel := context.WithCancel(s.link.ctx)
	st := &servedStream{cancel: cancel, slot: make(chan *Frame, slotFrames)}
	if !s.register(f.Stream, st) {
		return
	}
	go func() {
		defer s.stop(f.Stream)
		s.mesh.o.Handler.ServeSlot(ctx, f.SlotRequest, &SlotStream{Peer: s.peer, link: s.link, id: f.Stream, in: st.slot})
	}()
}

// register notes a stream. Too many of them end the link.
func (s *served) register(id uint64, st *servedStream) bool {
	s.mu.Lock()
	full := len(s.cancels) >= maxStreams
	if !full {
		s.cancels[id] = st
		s.link.noteAsked(boottime.Now(), 1)
	}
	s.mu.Unlock()
	if full {
		st.cancel()
		s.link.cancel(ErrLinkClosed)
	}
	return !full
}

func (s *served) serve(ctx context.Context, id uint64, r *request.Request, st *servedStream) {
	defer s.stop(id)
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

func (s *served) sendEvent(ctx context.Context, id uint64, event answer.Event, c *credit) error {
	switch {
	case event.Head != nil:
		return s.link.send(ctx, &Frame{Type: TypeHead, Stream: id, Head: event.Head})
	case event.End != nil:
		return s.link.send(ctx, &Frame{Type: TypeEnd, Stream: id, End: event.End})
	}
	for rest := event.Piece; len(rest) > 0; {
		n := min(len(rest), maxDataBytes)
		if err := c.take(ctx, charge(n)); err != nil {
			return err
		}
		if err := s.link.send(ctx, &Frame{Type: TypeData, Stream: id, Data: rest[:n]}); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

func (s *served) stop(id uint64) {
	s.mu.Lock()
	st := s.cancels[id]
	delete(s.cancels, id)
	s.mu.Unlock()
	if st != nil {
		s.link.noteAsked(boottime.Now(), -1)
		st.cancel()
	}
}

func (s *served) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, st := range s.cancels {
		st.cancel()
		delete(s.cancels, id)
	}
}

// credit is the number of bytes that may be sent. Safe for concurrent use.
type credit struct {
	mu    sync.Mutex
	left  int
	added chan struct{}
}

func newCredit(n int) *credit { return &credit{left: n, added: make(chan struct{})} }

func (c *credit) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = min(c.left+n, window)
	close(c.added)
	c.added = make(chan struct{})
}

// take blocks until n bytes may be sent.
func (c *credit) take(ctx context.Context, n int) error {
	for {
		c.mu.Lock()
		if c.left >= n {
			c.left -= n
			c.mu.Unlock()
			return nil
		}
		added := c.added
		c.mu.Unlock()
		select {
		case <-added:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
