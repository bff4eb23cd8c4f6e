package peer

import (
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
)

// receiveHeartbeat records the heartbeat of a process of a peer and passes it to the handler. It ignores heartbeats
// on a link whose peer hasn't sent its hello. Of one that was overtaken, on another link, only what is merged counts.
func (m *Mesh) receiveHeartbeat(from string, incarnation uint64, h *Heartbeat) {
	if from == "" {
		return
	}
	m.mu.Lock()
	p := m.peers[from]
	m.mu.Unlock()
	if p == nil {
		m.o.Handler.HandleHeartbeat(from, h)
		return
	}
	p.receiving.Lock()
	defer p.receiving.Unlock()
	if last, overtaken := m.recordHeartbeat(from, p, incarnation, h); overtaken {
		m.o.Log.Info().Str("event", "heartbeat_overtaken").Str("peer", from).Uint64("sequence", h.Sequence).Uint64("last", last).Msg("")
		h = h.merged()
	}
	m.o.Handler.HandleHeartbeat(from, h)
}

// recordHeartbeat records a heartbeat as the last one of its peer, unless a later one of the same process came before,
// or its process isn't the peer's current one, by the hellos: then it returns the number of the last one that counts.
func (m *Mesh) recordHeartbeat(from string, p *peerState, incarnation uint64, h *Heartbeat) (last uint64, overtaken bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !p.isCurrent(incarnation) {
		return p.sequence, true
	}
	p.lastSeen = boottime.Now()
	if h.Sequence > 0 && incarnation == p.heartbeatOf && h.Sequence <= p.sequence {
		return p.sequence, true
	}
	p.heartbeatOf, p.sequence = incarnation, h.Sequence
	p.lastHeartbeat = h
	if m.sparse != nil {
		m.sparse.overlay.SetReported(p.lastSeen, from, h.Draining, h.reach())
	}
	return 0, false
}

// sendHeartbeats builds a heartbeat and calls send, which must not block, to send it. One is built and sent at a time,
// so that each link gets them in the order of the states that they carry.
func (m *Mesh) sendHeartbeats(send func(*Heartbeat)) {
	m.heartbeating <- struct{}{}
	defer func() { <-m.heartbeating }()
	h := m.o.Handler.Heartbeat()
	m.heartbeats++
	h.Sequence = m.heartbeats
	send(h)
}

// sendHeartbeatOn sends a whole heartbeat on a link, unless its outbox is full: the next one carries the same state.
func (m *Mesh) sendHeartbeatOn(l *link) {
	m.sendHeartbeats(func(h *Heartbeat) { l.trySend(&Frame{Type: TypeHeartbeat, Heartbeat: h}) })
}

// heartbeatLoop sends heartbeats and ends silent links until the mesh is closed.
func (m *Mesh) heartbeatLoop() {
	t := time.NewTicker(m.o.Heartbeat)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
			m.closeSilentLinks()
			m.broadcastHeartbeat(n%max(m.o.CrossZoneEvery, 1) == 0)
		case <-m.ctx.Done():
			return
		}
	}
}

// closeSilentLinks ends links to peers that weren't seen for SuspectAfter, so that requests that
// wait on them fail.
func (m *Mesh) closeSilentLinks() {
	for _, address := range m.dropSilentPeers() {
		m.o.Handler.PeerLost(address)
	}
}

// dropSilentPeers ends the links to silent peers and returns the peers that have become silent
// since the last call. In a full mesh it also forgets unlisted peers that are silent for
// forgetAfter.
func (m *Mesh) dropSilentPeers() (newlySilent []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sparse != nil {
		return m.closeSilentSparseLinks(boottime.Now())
	}
	for address, p := range m.peers {
		if boottime.Since(p.lastSeen) <= m.o.SuspectAfter {
			p.silent = false
			continue
		}
		if !p.silent {
			p.silent = true
			newlySilent = append(newlySilent, address)
		}
		if p.link != nil {
			p.link.cancel(errSilent)
			p.link = nil
		}
		if l := m.accepted[address]; l != nil {
			l.cancel(errSilent) // releases the slots that the peer holds on it
		}
		if !p.listed && boottime.Since(p.knownSince) > forgetAfter && boottime.Since(p.lastSeen) > forgetAfter {
			p.stop()
			delete(m.peers, address)
		}
	}
	return newlySilent
}

// SendHeartbeat sends a whole heartbeat to one peer now. If no link to it is up, or the outbox is
// full, nothing is sent. In a sparse mesh it also starts to dial the peer.
func (m *Mesh) SendHeartbeat(address string) {
	if l, _ := m.useLink(address); l != nil {
		m.sendHeartbeatOn(l)
	}
}

// Announce sends a heartbeat to every linked peer now: a whole one within the zone, a brief one to
// other zones unless these always get whole ones.
func (m *Mesh) Announce() { m.broadcastHeartbeat(m.o.CrossZoneEvery <= 1) }

// announceDelay is how long changes are collected before they are announced together.
const announceDelay = 20 * time.Millisecond

// AnnounceSoon announces this instance's changes, those of announceDelay together. It doesn't block.
func (m *Mesh) AnnounceSoon() {
	if !m.announcing.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(announceDelay, func() {
		m.announcing.Store(false)
		m.Announce()
	})
}

// broadcastHeartbeat sends a heartbeat to every linked peer. Peers of other zones get a brief one
// unless whole is set.
func (m *Mesh) broadcastHeartbeat(whole bool) {
	m.sendHeartbeats(func(h *Heartbeat) {
		sameZone, otherZones := m.linksByZone()
		if m.sparse != nil {
			m.setDraining(h.Draining)
		}
		sendAll(sameZone, &Frame{Type: TypeHeartbeat, Heartbeat: h})
		if !whole {
			h = h.brief()
		}
		sendAll(otherZones, &Frame{Type: TypeHeartbeat, Heartbeat: h})
	})
}

// sendAll sends one frame on many links. Links whose outbox is full are skipped.
func sendAll(links []*link, f *Frame) {
	if len(links) == 0 {
		return
	}
	b, err := Encode(f)
	if err != nil {
		panic("peer: a heartbeat always encodes: " + err.Error())
	}
	for _, l := range links {
		l.trySendEncoded(b)
	}
}

// linksByZone returns the links to peers of this instance's availability zone and of other zones.
func (m *Mesh) linksByZone() (sameZone, otherZones []*link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.peers {
		l := p.link
		if m.sparse != nil {
			l = m.liveLink(address, p)
		}
		switch {
		case l == nil:
		case p.hello.Zone == m.o.Zone:
			sameZone = append(sameZone, l)
		default:
			otherZones = append(otherZones, l)
		}
	}
	return sameZone, otherZones
}
