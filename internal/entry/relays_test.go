package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/reach"
)

// relayTestPeers returns peers of two availability zones, and one that can't relay for each reason.
func relayTestPeers(perZone int) []peer.Status {
	out := []peer.Status{
		{Address: "draining", Zone: "near", Reachable: true, Draining: true},
		{Address: "isolated", Zone: "near", Reachable: true, Reach: reach.Isolated},
		{Address: "unreachable", Zone: "near"},
	}
	for i := range perZone {
		out = append(out,
			peer.Status{Address: fmt.Sprint("near-", i), Zone: "near", Reachable: true, Reach: reach.Reaching},
			peer.Status{Address: fmt.Sprint("far-", i), Zone: "far", Reachable: true, Reach: reach.Reaching})
	}
	return out
}

// The peers of the own zone are asked first, and those that can't relay not at all. A zone whose peers turn out
// to have no path must not keep an instance from asking those of the other one: the preferred peers are
// followed by one of each zone in turn.
func TestRelaysOfTheOwnZoneComeFirst(t *testing.T) {
	is := is.New(t)
	r := &relayPeers{self: "self", zone: "near", peers: func() []peer.Status { return relayTestPeers(10) }}
	for _, upstream := range []string{"a", "b", "c"} {
		order := r.forUpstream(upstream)
		is.Equal(len(order), 20)
		var far []int
		for i, address := range order {
			if strings.HasPrefix(address, "far") {
				far = append(far, i)
			}
		}
		is.True(far[0] >= relaysInUse && far[0] <= relaysInUse+1)
		is.Equal(len(far), 10)
		is.Equal(len(slices.Compact(slices.Sorted(slices.Values(order)))), 20)
	}
	is.True(r.isUsable("near-3"))
	is.True(!r.isUsable("draining"))
	is.True(!r.isUsable("isolated"))
}

// An instance whose neighbours are isolated too must not load the few that are left: those of other zones
// relay as well, in proportion to their processor time.
func TestRelaysOfOtherZonesAreUsedWhereTheOwnZoneIsShortOfThem(t *testing.T) {
	for name, test := range map[string]struct {
		isolated int // of ten neighbours
		other    bool
	}{
		"this instance alone": {0, false},
		"four neighbours":     {4, false},
		"five neighbours":     {5, true},
		"all but one":         {9, true},
		"all":                 {10, true},
	} {
		t.Run(name, func(t *testing.T) {
			first := map[string]int{}
			for self := range 200 {
				r := &relayPeers{self: fmt.Sprint(self), zone: "near", peers: func() []peer.Status {
					peers := slices.DeleteFunc(relayTestPeers(10), func(p peer.Status) bool { return p.Address == "isolated" })
					for i := range peers {
						var n int
						if _, err := fmt.Sscanf(peers[i].Address, "near-%d", &n); err == nil && n < test.isolated {
							peers[i].Reach = reach.Isolated
						}
					}
					return peers
				}}
				first[r.forUpstream("a")[0][:3]]++
			}
			is := is.New(t)
			is.Equal(first["far"] > 0, test.other)
			if test.other {
				is.True(first["far"] >= 200*10/20) // at least the share of the far ones among all that reach
			}
		})
	}
}

// Peers of which it isn't known whether they reach upstreams are asked after those that do.
func TestRelaysOfUnknownReachComeLastInTheirZone(t *testing.T) {
	is := is.New(t)
	r := &relayPeers{self: "self", zone: "near", peers: func() []peer.Status {
		return []peer.Status{
			{Address: "unknown-1", Zone: "near", Reachable: true}, {Address: "unknown-2", Zone: "near", Reachable: true},
			{Address: "reaching", Zone: "near", Reachable: true, Reach: reach.Reaching},
		}
	}}
	order := r.forUpstream("a")
	is.Equal(len(order), 3)
	is.Equal(order[0], "reaching")
}

// Isolated instances must not all ask the same peers, and one must not open links to all of them.
func TestRelaysShareTheLoad(t *testing.T) {
	is := is.New(t)
	first := map[string]int{}
	for self := range 100 {
		r := &relayPeers{self: fmt.Sprint(self), zone: "near", peers: func() []peer.Status { return relayTestPeers(20) }}
		used := map[string]bool{}
		for upstream := range 50 {
			address := r.forUpstream(fmt.Sprint(upstream))[0]
			first[address]++
			used[address] = true
		}
		is.True(len(used) <= relaysInUse)
	}
	is.Equal(len(first), 20)
	for _, n := range first {
		is.True(n < 3*100*50/20) // three times an equal share
	}
}
