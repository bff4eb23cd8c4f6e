package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/settings"
)

const (
	// relayedConnectionShare is the share of the file descriptors that connections relayed for peers may
	// use, two for each.
	relayedConnectionShare = 0.2
	// maxRelayed bounds the relayed connections in any case: each costs about 45 KB.
	maxRelayed = 256
	// relaysInUse is how many peers of an availability zone this instance prefers as relays.
	relaysInUse = 4
	// relaysRefreshInterval is how often the peers that may relay are determined while all upstreams are
	// reached. It goes through all peers.
	relaysRefreshInterval = time.Second
)

// maxRelayedConnections returns how many connections may be relayed at once, given the number of file
// descriptors.
func maxRelayedConnections(files int) int {
	return min(max(int(relayedConnectionShare*float64(files-settings.ReservedFiles)/2), 1), maxRelayed)
}

// relayPeers are the peers that may relay connections for this instance. It is safe for concurrent use.
type relayPeers struct {
	mu     sync.Mutex
	ranked []string // the preferred ones first
	near   int      // how many of them are in the instance's own availability zone

	refreshed time.Time // used by refreshRelays alone
}

// refreshRelays updates the peers that may relay. Each instance prefers other ones, so that those that
// relay share the load, and those of its own zone, since traffic between zones is charged.
func (i *Instance) refreshRelays() {
	now := time.Now()
	_, failing := i.fleet.UpstreamsReached()
	if i.relayServer == nil || (failing == 0 && now.Sub(i.relays.refreshed) < relaysRefreshInterval) {
		return
	}
	i.relays.refreshed = now
	near, far := relayCandidates(i.address, i.settings.Zone, i.mesh.Peers())
	i.relays.mu.Lock()
	defer i.relays.mu.Unlock()
	i.relays.ranked, i.relays.near = append(near, far...), len(near)
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
	out := slices.Clone(r.ranked)
	sortByHash(out[:min(relaysInUse, r.near)], upstream)
	far := out[r.near:]
	sortByHash(far[:min(relaysInUse, len(far))], upstream)
	return out
}

// isUsable reports whether a peer may still relay.
func (r *relayPeers) isUsable(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.ranked, address)
}

// sortByHash orders addresses by a hash of each with a key.
func sortByHash(addresses []string, key string) {
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(key+"\x00"+a), xxhash.Sum64String(key+"\x00"+b)), cmp.Compare(a, b))
	})
}
