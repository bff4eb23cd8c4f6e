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
	Revision    int64     `json:"revision"`
	// ConfigVersion is the version that the peer's configuration carries itself; 0 means not reported.
	ConfigVersion int64 `json:"configVersion,omitempty"`
	Draining      bool  `json:"draining"`
	// Reach is whether the peer reaches upstreams over its own network path. In a sparse mesh it is known
	// of peers without a link, too.
	Reach reach.State `json:"reach,omitempty"`
	// Isolated reports that Reach is reach.Isolated.
	Isolated    bool      `json:"isolated,omitempty"`
	ReadsSource bool      `json:"reads,omitempty"`
	Reachable   bool      `json:"reachable"`
	Cores       float64   `json:"cores,omitempty"`
	Started     time.Time `json:"started,omitzero"`
	InFlight    int       `json:"inFlight"`
	// Queued is the number of waiting requests by engine set and rank, as last reported.
	Queued map[string][]int `json:"queued,omitempty"`
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
		out = append(out, Status{
			Address:       address,
			Zone:          p.hello.Zone,
			Incarnation:   p.hello.Incarnation,
			Linked:        p.link != nil,
			LastSeen:      boottime.ToMonotonic(p.lastSeen),
			Revision:      p.lastHeartbeat.Revision,
			ConfigVersion: p.lastHeartbeat.ConfigVersion,
			Draining:      p.lastHeartbeat.Draining,
			Reach:         p.lastHeartbeat.reach(),
			Isolated:      p.lastHeartbeat.reach() == reach.Isolated,
			ReadsSource:   p.lastHeartbeat.ReadsSource,
			InFlight:      p.lastHeartbeat.InFlight,
			Queued:        p.lastHeartbeat.Queued,
			Reachable:     m.isReachable(p),
			Cores:         p.hello.Cores,
			Started:       boottime.ToMonotonic(p.started),
		})
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
