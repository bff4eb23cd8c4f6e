package peer

import "errors"

// errFormerProcess ends a link whose peer's process counts as replaced. A live process is linked anew.
var errFormerProcess = errors.New("another process of the peer has sent a hello on a later link")

// receiveHello records the process at the other end of a link, which this side dialled if dialled is set. It returns
// errFormerProcess for one that another has replaced.
func (s *servedLink) receiveHello(h *Hello, dialled *link) error {
	m := s.mesh
	m.receivingHello.Lock()
	defer m.receivingHello.Unlock()
	if !m.replaceProcess(h, s) {
		return errFormerProcess
	}
	s.peer, s.incarnation, s.identified = h.Address, h.Incarnation, true
	if dialled == nil && h.DialledAddress == m.o.Address {
		m.registerAccepted(s.peer, s.link) // a peer that dialled another address will close the link
	}
	m.recordHello(*h, dialled)
	return nil
}

// replaceProcess makes the process that sends a hello its peer's current one, and reports whether it is. Incarnations
// state no order, so the links do: of two processes, the one on the later link is the successor. A link is numbered
// before a process can send its hello on it. A successor that replies to a dial from before its start may be refused; it
// is dialled again. Links of the process that is replaced are ended.
func (m *Mesh) replaceProcess(h *Hello, s *servedLink) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.ensurePeer(h.Address)
	if p == nil {
		return true
	}
	if known := p.hello.Incarnation; known != 0 && known != h.Incarnation {
		if s.order < p.helloOrder {
			return false
		}
		if l := m.accepted[h.Address]; l != nil && l != s.link {
			l.cancel(errFormerProcess)
			delete(m.accepted, h.Address)
		}
		if m.sparse != nil && p.link != nil && p.link != s.link { // in a full mesh, heartbeats come on accepted links only
			p.link.cancel(errFormerProcess)
			p.link = nil
		}
	}
	p.helloOrder = max(p.helloOrder, s.order)
	return true
}

// isCurrent reports whether an incarnation is that of the peer's current process, or that one isn't known.
func (p *peerState) isCurrent(incarnation uint64) bool {
	return p.hello.Incarnation == 0 || p.hello.Incarnation == incarnation
}
