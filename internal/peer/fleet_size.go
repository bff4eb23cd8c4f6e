package peer

// PeerCount returns the number of peers that this instance knows.
func (m *Mesh) PeerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peerCount()
}

// peerCount is PeerCount for callers that hold the lock.
func (m *Mesh) peerCount() int {
	if m.sparse != nil {
		return m.sparse.overlay.KnownCount()
	}
	return len(m.peers)
}

// FleetSize returns the number of instances, including this one: the largest count that this instance
// knows or any peer has reported. It is 0 while there are peers or seeds and no peer has been seen.
func (m *Mesh) FleetSize() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isStandalone() {
		return 1
	}
	size := 0
	for _, p := range m.peers {
		if !p.lastSeen.IsZero() {
			size = max(size, m.peerCount()+1, p.knownPeers()+1)
		}
	}
	return size
}

// isStandalone reports whether there are no peers and no seeds to find any by. The caller holds the
// lock.
func (m *Mesh) isStandalone() bool {
	return len(m.peers) == 0 && (m.sparse == nil || m.sparse.overlay.SeedCount() == 0)
}
