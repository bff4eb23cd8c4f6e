package entry

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/reach"
	"github.com/tacktally/tacktally/internal/relay"
	"github.com/tacktally/tacktally/internal/settings"
)

const (
	// relayedConnectionShare is the share of the file descriptors that connections relayed for peers may
	// use, two for each.
	relayedConnectionShare = 0.2
	// maxRelayed bounds the relayed connections in any case: each has two sockets with buffers.
	maxRelayed = 256
	// relaysInUse is how many peers this instance prefers as relays.
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
	cores      float64
	// regions are the regions of the availability zones; empty if there is one region.
	regions map[string]string
	// peers returns all peers of the instance.
	peers func() []peer.Status

	mu        sync.Mutex
	refreshed time.Time
	ranked    []string // the preferred ones first
	preferred int      // how many these are
	usable    map[string]bool
}

// refresh determines the peers that may relay, at most every relaysRefreshInterval. The caller holds the
// lock.
func (r *relayPeers) refresh(now time.Time) {
	if now.Sub(r.refreshed) < relaysRefreshInterval {
		return
	}
	r.refreshed = now
	r.ranked, r.preferred = r.rank(r.peers())
	r.usable = make(map[string]bool, len(r.ranked))
	for _, address := range r.ranked {
		r.usable[address] = true
	}
}

// rank returns the addresses of the peers that may relay in the order in which they are asked, and how many
// of them are preferred. Each instance ranks them in another order, so that those that relay share the load.
func (r *relayPeers) rank(peers []peer.Status) (ranked []string, preferred int) {
	area := r.areaWithCapacity(peers)
	peers = slices.DeleteFunc(slices.Clone(peers), func(p peer.Status) bool { return !mayRelay(p) })
	ranked = r.preferredWithin(area, peers)
	preferred = len(ranked)
	for _, address := range r.inTurn(peers) {
		if !slices.Contains(ranked[:preferred], address) {
			ranked = append(ranked, address)
		}
	}
	return ranked, preferred
}

// preferredWithin returns some peers that reach upstreams and are at most at the given distance.
func (r *relayPeers) preferredWithin(area int, peers []peer.Status) (out []string) {
	reaching := slices.DeleteFunc(slices.Clone(peers), func(p peer.Status) bool {
		return p.Reach != reach.Reaching || r.distance(p.Zone) > area
	})
	sortByWeight(reaching, r.self)
	for _, p := range reaching[:min(relaysInUse, len(reaching))] {
		out = append(out, p.Address)
	}
	return out
}

// inTurn returns the peers of each availability zone in turn, so that a connection is soon opened through
// another zone if the peers of one turn out to have no path. Those of a zone that reach upstreams come first.
func (r *relayPeers) inTurn(peers []peer.Status) (out []string) {
	zones := map[string][]peer.Status{}
	for _, p := range peers {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	for _, members := range zones {
		sortByWeight(members, r.self)
		slices.SortStableFunc(members, func(a, b peer.Status) int { return cmp.Compare(askRank(a.Reach), askRank(b.Reach)) })
	}
	order := slices.SortedFunc(maps.Keys(zones), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.distance(a), r.distance(b)), cmp.Compare(a, b))
	})
	for depth := 0; len(out) < len(peers); depth++ {
		for _, zone := range order {
			if depth < len(zones[zone]) {
				out = append(out, zones[zone][depth].Address)
			}
		}
	}
	return out
}

// mayRelay reports whether a peer isn't known to be unable to relay.
func mayRelay(p peer.Status) bool { return p.Reachable && !p.Draining && p.Reach != reach.Isolated }

// askRank orders peers of which it isn't known whether they reach upstreams behind those that do.
func askRank(s reach.State) int {
	if s == reach.Reaching {
		return 0
	}
	return 1
}

// maxDistance is the distance of the availability zones of other regions.
const maxDistance = 2

// distance returns how far an availability zone is: 0 for the own one, 1 for others of its region.
func (r *relayPeers) distance(zone string) int {
	switch {
	case zone == r.zone:
		return 0
	case r.regions[zone] == r.regions[r.zone]:
		return 1
	default:
		return maxDistance
	}
}

// areaWithCapacity returns the distance of the farthest availability zones in the smallest area around this
// instance whose instances that reach upstreams have at least the processor time of its isolated ones, this
// one included: no instance then relays much more than it serves itself.
func (r *relayPeers) areaWithCapacity(peers []peer.Status) int {
	var spare [maxDistance + 1]float64
	spare[0] = -weightOf(r.cores)
	for _, p := range peers {
		switch {
		case !p.Reachable:
		case p.Reach == reach.Isolated:
			spare[r.distance(p.Zone)] -= weightOf(p.Cores)
		case p.Reach == reach.Reaching && !p.Draining:
			spare[r.distance(p.Zone)] += weightOf(p.Cores)
		}
	}
	area, sum := 0, spare[0]
	for ; sum < 0 && area < maxDistance; area++ {
		sum += spare[area+1]
	}
	return area
}

// forUpstream returns the peers to ask for a connection to an upstream, in order. It spreads the upstreams
// over the preferred peers.
func (r *relayPeers) forUpstream(upstream string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(time.Now())
	out := slices.Clone(r.ranked)
	sortByHash(out[:r.preferred], upstream)
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
	return r.usable[address]
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

// weightOf returns the weight of an instance by its processor time, in cores; 0 is unknown.
func weightOf(cores float64) float64 {
	if cores <= 0 {
		return 1
	}
	return cores
}

// sortByWeight orders peers by weighted rendezvous hashing: over many keys each is first in proportion to its
// processor time.
func sortByWeight(peers []peer.Status, key string) {
	scores := make(map[string]float64, len(peers))
	for _, p := range peers {
		uniform := (float64(xxhash.Sum64String(key+"\x00"+p.Address)>>11) + 0.5) / (1 << 53)
		scores[p.Address] = -math.Log(uniform) / weightOf(p.Cores) // the smallest of exponential variables
	}
	slices.SortFunc(peers, func(a, b peer.Status) int {
		return cmp.Or(cmp.Compare(scores[a.Address], scores[b.Address]), cmp.Compare(a.Address, b.Address))
	})
}

// sortByHash orders addresses by a hash of each with a key.
func sortByHash(addresses []string, key string) {
	hashes := make(map[string]uint64, len(addresses))
	for _, address := range addresses {
		hashes[address] = xxhash.Sum64String(key + "\x00" + address)
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b)) })
}
