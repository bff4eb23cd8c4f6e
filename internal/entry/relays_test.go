package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
)

// relayTestPeers returns peers of two availability zones, and one that can't relay for each reason.
func relayTestPeers(perZone int) []peer.Status {
	out := []peer.Status{
		{Address: "draining", Zone: "near", Reachable: true, Draining: true},
		{Address: "isolated", Zone: "near", Reachable: true, Isolated: true},
		{Address: "unreachable", Zone: "near"},
	}
	for i := range perZone {
		out = append(out, peer.Status{Address: fmt.Sprint("near-", i), Zone: "near", Reachable: true}, peer.Status{Address: fmt.Sprint("far-", i), Zone: "far", Reachable: true})
	}
	return out
}

// The peers of the own zone are asked first, and those that can't relay not at all.
func TestRelaysOfTheOwnZoneComeFirst(t *testing.T) {
	is := is.New(t)
	r := &relayPeers{self: "self", zone: "near", peers: func() []peer.Status { return relayTestPeers(10) }}
	for _, upstream := range []string{"a", "b", "c"} {
		order := r.forUpstream(upstream)
		is.Equal(len(order), 20)
		is.Equal(slices.IndexFunc(order, func(a string) bool { return strings.HasPrefix(a, "far") }), 10)
	}
	is.True(r.isUsable("near-3"))
	is.True(!r.isUsable("draining"))
	is.True(!r.isUsable("isolated"))
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
