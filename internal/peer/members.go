package peer

import "math/rand/v2"

// membersTold is how many peers one that knows fewer is told at a time. All that it
// is linked to tell it some, so that it knows all of them within seconds.
const membersTold = 16

// meet links to peers that another one knows, beside those of SetPeers, as long as
// they are heard of.
func (m *Mesh) meet(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, address := range addresses {
		m.link(address)
	}
}

// Known returns the number of peers that this instance knows.
func (m *Mesh) Known() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known()
}

// known is the number of peers that are known. The caller holds the lock.
func (m *Mesh) known() int {
	if m.sparse != nil {
		return m.sparse.plan.Known()
	}
	return len(m.peers)
}

// FleetSize is the number of instances, this one included, by the largest number that any
// peer has told of; 0 while there are peers and none was heard of.
func (m *Mesh) FleetSize() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isAlone() {
		return 1
	}
	size := 0
	for _, p := range m.peers {
		if !p.lastHeard.IsZero() {
			size = max(size, m.known()+1, p.hello.Known+1, p.last.Known+1)
		}
	}
	return size
}

// isAlone tells whether there is nobody to be found. The caller holds the lock.
func (m *Mesh) isAlone() bool {
	return len(m.peers) == 0 && (m.sparse == nil || m.sparse.plan.SeedCount() == 0)
}

// TellMembers tells a peer some of the others within reach, drawn at random, if it says
// that it knows fewer. Where links are few, tellings do so.
func (m *Mesh) TellMembers(to string, known int) {
	if m.sparse != nil {
		return
	}
	l, others := m.others(to)
	if l == nil || len(others)+1 <= known { // this instance is one of those that it knows
		return
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), membersTold)]
	l.trySend(&Frame{Type: TypeMembers, Members: &Members{Addresses: others}}) // or with its next heartbeat
}

// others returns the link to a peer, and the peers within reach beside it.
func (m *Mesh) others(to string) (*link, []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[to]
	if p == nil || !m.isReachable(p) {
		return nil, nil
	}
	var out []string
	for address, p := range m.peers {
		if address != to && m.isReachable(p) {
			out = append(out, address)
		}
	}
	return p.link, out
}
