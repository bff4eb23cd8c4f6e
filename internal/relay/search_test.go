package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/virtualtime"
)

// refusingPeers returns the addresses of n peers that refuse, and the count of requests to them.
func refusingPeers(t *testing.T, n int, reply Reply) (addresses []string, asked *atomic.Int64) {
	t.Helper()
	asked = &atomic.Int64{}
	for range n {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			asked.Add(1)
			refuse(w, reply)
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return addresses, asked
}

// An instance whose first three peers had no path failed, though the next one had one. It must find it however
// many have none, and not ask these again for the next connection.
func TestSearchEndsAtThePeerThatHasAPath(t *testing.T) {
	for name, reply := range map[string]Reply{"isolated": Isolated, "no path to the upstream": NoPath, "busy": Busy, "draining": Draining} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			working := p.client.o.Peers("")[0]
			refusing, asked := refusingPeers(t, 40, reply)
			p.client.o.Peers = func(string) []string { return append(refusing, working) }
			p.dial(t)
			is.True(asked.Load() > 40-maxParallel)
			if reply == Isolated || reply == NoPath {
				p.dial(t)
				is.True(asked.Load() <= 40+maxParallel) // those that hadn't replied yet are asked again
			}
		})
	}
}

// Nobody's refusal counts forever, and one that concerns one upstream doesn't count for others.
func TestRefusalsAreForgotten(t *testing.T) {
	is := is.New(t)
	c := NewClient(ClientOptions{Peers: func(string) []string { return []string{"isolated", "without path", "silent", "good"} }})
	now := time.Now()
	c.remember(now, dialed{peer: "isolated", reply: Isolated}, "a")
	c.remember(now, dialed{peer: "without path", reply: NoPath}, "a")
	c.remember(now, dialed{peer: "silent", reply: NoReply}, "a")
	is.Equal(c.candidates(now, "a"), []string{"good", "silent"})
	is.Equal(c.candidates(now, "b"), []string{"without path", "good", "silent"})
	is.Equal(c.candidates(now.Add(refusedFor), "a"), []string{"isolated", "without path", "silent", "good"})
	is.Equal(len(c.refused)+len(c.avoided), 0)
}

// Where no peer has a path, peers are asked at the stated rate however long they take, and one that refused isn't
// asked again within refusedFor.
func TestSearchAmongPeersWithoutPathIsBounded(t *testing.T) {
	const peers, connections = 3 * searchesPerSecond / 2, 30
	for name, c := range map[string]struct {
		takes time.Duration
		reply Reply
	}{
		"at once":                      {0, Isolated},
		"within the time for the next": {nextPeerAfter / 2, Isolated},
		"after the next one was asked": {nextPeerAfter + nextPeerAfter/2, Isolated},
		"for this upstream only":       {nextPeerAfter / 2, NoPath},
		"not in time":                  {peerTimeout, NoReply},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &peersWithoutPath{takes: c.takes, reply: c.reply, refusedAt: map[string]time.Time{}}
				client := NewClient(ClientOptions{Peers: func(string) []string { return addressesOf(peers) }})
				client.askPeer = p.ask
				start := time.Now()
				bound := func(connections int) int {
					return alwaysAsked*connections + searchesPerSecond + int(time.Since(start)*searchesPerSecond/time.Second)
				}
				for i := range connections {
					_, err := client.Dial(t.Context(), "i-1")
					is.True(errors.Is(err, ErrNoRelay))
					is.True(p.asked <= bound(i+1))
					if i == 0 {
						is.True(p.asked >= searchesPerSecond)
					}
					if c.takes == 0 {
						is.Equal(p.asked, min(bound(i+1), peers)) // no time has passed
					}
				}
				is.Equal(p.early, 0)
			})
		})
	}
}

// peersWithoutPath are peers of which each gives the same reply after the same time.
type peersWithoutPath struct {
	takes time.Duration
	reply Reply

	mu        sync.Mutex
	asked     int
	early     int // asked within refusedFor after a refusal
	refusedAt map[string]time.Time
}

func (p *peersWithoutPath) ask(_ context.Context, peer, _ string) dialed {
	p.mu.Lock()
	p.asked++
	if at, ok := p.refusedAt[peer]; ok && time.Since(at) < refusedFor {
		p.early++
	}
	p.mu.Unlock()
	<-time.After(p.takes)
	if p.reply != NoReply {
		p.mu.Lock()
		p.refusedAt[peer] = time.Now()
		p.mu.Unlock()
	}
	return dialed{peer: peer, reply: p.reply}
}

// addressesOf returns the addresses of n peers.
func addressesOf(n int) (addresses []string) {
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:7003", i))
	}
	return addresses
}

// The limit holds for connections to real servers as well, at the speed of the machine.
func TestSearchAmongServersWithoutPathIsBounded(t *testing.T) {
	is := is.New(t)
	refusing, asked := refusingPeers(t, 3*searchesPerSecond/2, Isolated)
	c := NewClient(ClientOptions{Peers: func(string) []string { return refusing }, Dialer: newPair(t).client.o.Dialer})
	const connections = 3
	start := time.Now()
	for range connections {
		_, err := c.Dial(t.Context(), "i-1")
		is.True(errors.Is(err, ErrNoRelay))
	}
	is.True(asked.Load() >= searchesPerSecond)
	is.True(float64(asked.Load()) <= alwaysAsked*connections+searchesPerSecond*(1+time.Since(start).Seconds()))
}

// An upstream that is down must not be looked for at each peer of a large fleet.
func TestSearchForAFailedUpstreamAsksFewPeers(t *testing.T) {
	for reply, want := range map[Reply]error{Unreachable: ErrUpstreamUnreachable, Unknown: ErrNoRelay} {
		is := is.New(t)
		peers, asked := refusingPeers(t, 20, reply)
		c := NewClient(ClientOptions{Peers: func(string) []string { return peers }, Dialer: newPair(t).client.o.Dialer})
		_, err := c.Dial(t.Context(), "i-1")
		is.True(errors.Is(err, want))
		is.True(strings.Contains(err.Error(), peers[0]+" "+string(reply)))
		is.Equal(asked.Load(), int64(maxAboutUpstream))
	}
}
