package peer

// PeerCount returns the number of peers that this instance knows.
func (m *Mesh) PeerCount() int {
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
			size = max(size, m.known()+1, p.hello.KnownPeers+1, p.last.KnownPeers+1)
		}
	}
	return size
}

// isAlone tells whether there is nobody to be found. The caller holds the lock.
func (m *Mesh) isAlone() bool {
	return len(m.peers) == 0 && (m.sparse == nil || m.sparse.plan.SeedCount() == 0)
}
