package peer

import (
	"time"

	"github.com/tacktally/tacktally/internal/boottime"

	"github.com/tacktally/tacktally/internal/membership"
)

// learnMembers takes what a peer tells of others.
func (m *Mesh) learnMembers(from string, told *membership.Telling) {
	if m.sparse == nil || from == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sparse.plan.Hear(boottime.Now(), from, told)
	m.sparse.kick()
}

// passOn tells each peer that is linked to what it is to be told of others.
func (m *Mesh) passOn(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	plan := m.sparse.plan
	plan.Drain(m.sparse.drains)
	plan.Tick(now)
	encoded := map[toldUpTo][]byte{}
	for address, p := range m.peers {
		if l := m.liveLink(address, p); l != nil {
			m.tellMembers(now, address, p, l, encoded)
		}
	}
}

// tellMembers tells a peer what has changed since it was told last. The caller holds the lock.
func (m *Mesh) tellMembers(now time.Time, address string, p *peerState, l *link, encoded map[toldUpTo][]byte) {
	plan, t := m.sparse.plan, &p.tended
	if t.link != l {
		t.link, t.told, t.introduced = l, toldUpTo{}, toldUpTo{kind: membership.Introduced}
	}
	kind := plan.KindFor(now, address)
	if t.told.kind != kind {
		t.told = toldUpTo{kind: kind}
		m.tellOn(now, l, &t.told, encoded)
	} else if kind != membership.Nothing {
		m.tellOn(now, l, &t.told, encoded)
	}
	dialledBy := m.accepted[address] != nil
	if dialledBy && plan.Introduces(now, address, max(p.hello.KnownPeers, p.last.KnownPeers)) {
		m.tellOn(now, l, &t.introduced, encoded)
	}
}

// tellOn sends on a link what has changed beyond what was told. The caller holds the lock.
func (m *Mesh) tellOn(now time.Time, l *link, told *toldUpTo, encoded map[toldUpTo][]byte) {
	change := m.sparse.plan.Change()
	if told.change == change && change > 0 {
		return
	}
	b, known := encoded[*told]
	if !known {
		b = m.encodeMembers(now, *told)
		encoded[*told] = b
	}
	if b == nil || l.offer(b) { // or the next time says it
		told.change = change
	}
}

// encodeMembers returns the frame of a telling, nil where nothing is to be told. The caller
// holds the lock.
func (m *Mesh) encodeMembers(now time.Time, key toldUpTo) []byte {
	told, _ := m.sparse.plan.Tell(now, key.kind, key.change)
	if len(told.News) == 0 && !told.Full {
		return nil
	}
	b, err := Encode(&Frame{Type: TypeMembership, Membership: told})
	if err != nil {
		panic("peer: a telling always encodes: " + err.Error())
	}
	return b
}
