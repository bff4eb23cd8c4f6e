package relay

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
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

// Where no peer has a path, a connection is refused without asking any again.
func TestSearchAmongPeersWithoutPathIsBounded(t *testing.T) {
	is := is.New(t)
	refusing, asked := refusingPeers(t, 3*searchesPerSecond/2, Isolated)
	c := NewClient(ClientOptions{Peers: func(string) []string { return refusing }, Dialer: newPair(t).client.o.Dialer})
	for range 3 {
		_, err := c.Dial(t.Context(), "i-1")
		is.True(errors.Is(err, ErrNoRelay))
	}
	is.True(asked.Load() >= searchesPerSecond)
	is.True(asked.Load() <= int64(len(refusing)))
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
