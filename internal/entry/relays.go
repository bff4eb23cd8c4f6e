package entry

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/relay"
	"github.com/tacktally/tacktally/internal/settings"
)

const (
	// relayedConnectionShare is the share of the file descriptors that connections relayed for peers may
	// use, two for each.
	relayedConnectionShare = 0.2
	// maxRelayed bounds the relayed connections in any case: each has two sockets with buffers.
	maxRelayed = 256
	// relaysInUse is how many peers of an availability zone this instance prefers as relays.
	relaysInUse = 4
	// relaysRefreshInterval is how often the peers that may relay are determined, while connections are
	// relayed: that goes through all peers.
	relaysRefreshInterval = 200 * time.Millisecond
)

// maxRelayedConnections returns how many connections may be relayed at once, given the number of file
// descriptors.
func maxRelayedConnections(files int) int {
	return min(max(int(relayedConnectionShare*float64(files-settings.ReservedFiles)/2), 1), maxRelayed)
}

// relayPeers are the peers that may relay connections for an instance. It is safe for concurrent use.
type relayPeers struct {
	self, zone string
	// peers returns all peers of the instance.
	peers func() []peer.Status

	mu        sync.Mutex
	refreshed time.Time
	ranked    []string // the preferred ones first
	near      int      // how many of them are in the instance's own availability zone
}

// refresh determines the peers that may relay, at most every relaysRefreshInterval. Each instance prefers
// other ones, so that those that relay share the load, and those of its own zone, since traffic between
// zones is charged. The caller holds the lock.
func (r *relayPeers) refresh(now time.Time) {
	if now.Sub(r.refreshed) < relaysRefreshInterval {
		return
	}
	r.refreshed = now
	near, far := relayCandidates(r.self, r.zone, r.peers())
	r.ranked, r.near = append(near, far...), len(near)
}

// relayCandidates returns the peers that may relay, by rank: those of the zone, and the others.
func relayCandidates(self, zone string, peers []peer.Status) (near, far []string) {
	for _, p := range peers {
		switch {
		case !p.Reachable || p.Draining || p.Isolated:
		case p.Zone == zone:
			near = append(near, p.Address)
		default:
			far = append(far, p.Address)
		}
	}
	sortByHash(near, self)
	sortByHash(far, self)
	return near, far
}

// forUpstream returns the peers to ask for a connection to an upstream, in order. It spreads the upstreams
// over the preferred peers.
func (r *relayPeers) forUpstream(upstream string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(time.Now())
	out := slices.Clone(r.ranked)
	sortByHash(out[:min(relaysInUse, r.near)], upstream)
	far := out[r.near:]
	sortByHash(far[:min(relaysInUse, len(far))], upstream)
	return out
}

// count returns how many peers may relay as far as this instance knows.
func (r *relayPeers) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(time.Now())
	return len(r.ranked)
}

// isUsable reports whether a peer may still relay.
func (r *relayPeers) isUsable(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(time.Now())
	return slices.Contains(r.ranked, address)
}

// countRelayReply counts a peer's reply to a request to relay, by the peer's availability zone.
func (i *Instance) countRelayReply(address string, reply relay.Reply) {
	zone := "other"
	if i.mesh.Zone(address) == i.settings.Zone {
		zone = "own"
	}
	i.metrics.Count(fmt.Sprintf("tacktally_relay_replies_total{zone=%q,reply=%q}", zone, reply))
}

// registerRelayGauges registers the gauges of relayed connections.
func (i *Instance) registerRelayGauges() {
	i.metrics.Gauge("tacktally_isolated", func() float64 { return boolToFloat(i.fleet.Isolated()) })
	i.metrics.Gauge("tacktally_connections_relayed", func() float64 { return float64(i.relayServer.Connections()) })
	if i.relays != nil {
		i.metrics.Gauge("tacktally_relay_candidates", func() float64 { return float64(i.relays.count()) })
	}
}

// sortByHash orders addresses by a hash of each with a key.
func sortByHash(addresses []string, key string) {
	hashes := make(map[string]uint64, len(addresses))
	for _, address := range addresses {
		hashes[address] = xxhash.Sum64String(key + "\x00" + address)
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b)) })
}
