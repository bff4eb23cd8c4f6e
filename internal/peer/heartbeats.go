package peer

import (
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
)

// heartbeat takes a peer's heartbeat, from a link whose other side has said who it is.
func (m *Mesh) heartbeat(from string, h *Heartbeat) {
	if from == "" {
		return
	}
	m.mu.Lock()
	if p := m.peers[from]; p != nil {
		p.lastHeard = boottime.Now()
		p.last = *h
		if m.sparse != nil {
			m.sparse.plan.SetDraining(p.lastHeard, from, h.Draining)
		}
	}
	m.mu.Unlock()
	m.o.Handler.HandleHeartbeat(from, h)
}

// beat sends heartbeats until the mesh is closed.
func (m *Mesh) beat() {
	t := time.NewTicker(m.o.Heartbeat)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
			m.closeSilent()
			m.announce(n%max(m.o.CrossZoneEvery, 1) == 0)
		case <-m.ctx.Done():
			return
		}
	}
}

// closeSilent closes links to peers not heard of for SuspectAfter, so that what
// waits on them is told.
func (m *Mesh) closeSilent() {
	for _, address := range m.dropSilent() {
		m.o.Handler.PeerLost(address)
	}
}

// dropSilent returns the peers that are silent since the last call.
func (m *Mesh) dropSilent() (news []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sparse != nil {
		return m.endSilent(boottime.Now())
	}
	for address, p := range m.peers {
		if boottime.Since(p.lastHeard) <= m.o.SuspectAfter {
			p.silent = false
			continue
		}
		if !p.silent {
			p.silent = true
			news = append(news, address)
		}
		if p.link != nil {
			p.link.cancel(errSilent)
			p.link = nil
		}
		if l := m.accepted[address]; l != nil {
			l.cancel(errSilent) // what the peer holds on it is given back
		}
		if !p.listed && boottime.Since(p.since) > forgetAfter && boottime.Since(p.lastHeard) > forgetAfter {
			p.stop()
			delete(m.peers, address)
		}
	}
	return news
}

// SendHeartbeat sends a whole heartbeat to one peer now, if it is within reach.
func (m *Mesh) SendHeartbeat(address string) {
	if l, _ := m.useLink(address); l != nil {
		l.trySend(&Frame{Type: TypeHeartbeat, Heartbeat: m.o.Handler.Heartbeat()}) // or the next one says it
	}
}

// Announce sends a heartbeat to every linked peer now; a brief one to those of other
// availability zones, unless they are always sent whole ones.
func (m *Mesh) Announce() { m.announce(m.o.CrossZoneEvery <= 1) }

// announce sends a heartbeat, to far peers a whole one if whole is set.
func (m *Mesh) announce(whole bool) {
	near, far := m.links()
	h := m.o.Handler.Heartbeat()
	if m.sparse != nil {
		m.noteDraining(h.Draining)
	}
	sendAll(near, &Frame{Type: TypeHeartbeat, Heartbeat: h})
	if !whole {
		h = h.brief()
	}
	sendAll(far, &Frame{Type: TypeHeartbeat, Heartbeat: h})
}

// sendAll sends one frame on many links, as far as their outboxes have room.
func sendAll(links []*link, f *Frame) {
	if len(links) == 0 {
		return
	}
	b, err := Encode(f)
	if err != nil {
		panic("peer: a heartbeat always encodes: " + err.Error())
	}
	for _, l := range links {
		l.offer(b)
	}
}

// links returns the links to peers of its own availability zone and to the others.
func (m *Mesh) links() (near, far []*link) {
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
			near = append(near, l)
		default:
			far = append(far, l)
		}
	}
	return near, far
}
