package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/reach"
)

// Status is the state of a peer, for operators.
type Status struct {
	Address     string    `json:"address"`
	Zone        string    `json:"zone"`
	Incarnation uint64    `json:"incarnation,string"`
	Linked      bool      `json:"linked"`
	LastSeen    time.Time `json:"lastHeard"`
	Draining    bool      `json:"draining"`
	// Reach is whether the peer reaches upstreams over its own network path. In a sparse mesh it is known
	// of peers without a link, too.
	Reach reach.State `json:"reach,omitzero"`
	// Isolated reports that Reach is reach.Isolated.
	Isolated  bool      `json:"isolated,omitempty"`
	Reachable bool      `json:"reachable"`
	Cores     float64   `json:"cores,omitempty"`
	Started   time.Time `json:"started,omitzero"`
	// Report is what the peer last reported on a link; nil if that isn't known: it hasn't reported yet,
	// or, in a sparse mesh, has no link.
	*Report
}

// Report is what a peer tells those that are linked to it.
type Report struct {
	Revision int64 `json:"revision"`
	// ConfigVersion is the version that the peer's configuration carries itself; 0 means not reported.
	ConfigVersion int64 `json:"configVersion,omitempty"`
	ReadsSource   bool  `json:"reads,omitempty"`
	InFlight      int   `json:"inFlight"`
	// Queued is the number of waiting requests by engine set and rank.
	Queued map[string][]int `json:"queued,omitempty"`
}

// report returns what the peer last reported; nil if it hasn't.
func (p *peerState) report() *Report {
	h := p.lastHeartbeat
	if h == nil {
		return nil
	}
	return &Report{Revision: h.Revision, ConfigVersion: h.ConfigVersion, ReadsSource: h.ReadsSource, InFlight: h.InFlight, Queued: h.Queued}
}

// knownPeers returns how many peers the peer last said that it knows.
func (p *peerState) knownPeers() int {
	if p.lastHeartbeat == nil {
		return p.hello.KnownPeers
	}
	return max(p.hello.KnownPeers, p.lastHeartbeat.KnownPeers)
}

// Peers returns the status of all known peers, sorted by address.
func (m *Mesh) Peers() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sparse != nil {
		return m.memberStatuses(boottime.Now())
	}
	out := make([]Status, 0, len(m.peers))
	for address, p := range m.peers {
		s := Status{
			Address:     address,
			Zone:        p.hello.Zone,
			Incarnation: p.hello.Incarnation,
			Linked:      p.link != nil,
			LastSeen:    boottime.ToMonotonic(p.lastSeen),
			Reachable:   m.isReachable(p),
			Cores:       p.hello.Cores,
			Started:     boottime.ToMonotonic(p.started),
			Report:      p.report(),
		}
		if h := p.lastHeartbeat; h != nil {
			s.Draining, s.Reach = h.Draining, h.reach()
			s.Isolated = s.Reach == reach.Isolated
		}
		out = append(out, s)
	}
	sortByAddress(out)
	return out
}

func sortByAddress(list []Status) {
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Address, b.Address) })
}

// Incarnation returns the incarnation that a peer last announced; 0 if nothing was received from
// it.
func (m *Mesh) Incarnation(address string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sparse != nil {
		member, _ := m.sparse.overlay.Member(address)
		return member.Incarnation
	}
	if p := m.peers[address]; p != nil {
		return p.hello.Incarnation
	}
	return 0
}

// Process returns the incarnation that a peer last announced, 0 if nothing was received from it, and when that process
// was last seen.
func (m *Mesh) Process(address string) (incarnation uint64, seen time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	if p == nil {
		return 0, time.Time{}
	}
	return p.hello.Incarnation, boottime.ToMonotonic(p.lastSeen)
}

// Zone returns the availability zone of a peer; empty while it isn't known.
func (m *Mesh) Zone(address string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sparse != nil {
		member, _ := m.sparse.overlay.Member(address)
		return member.Zone
	}
	if p := m.peers[address]; p != nil {
		return p.hello.Zone
	}
	return ""
}
