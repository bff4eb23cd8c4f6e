package faults

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/standin/engine"
	standinplatform "github.com/tacktally/tacktally/internal/standin/platform"
	"github.com/tacktally/tacktally/internal/standin/service"
)

// The variables make the test binary run as a stand-in at an address.
const (
	standInVariable = "TACKTALLY_TEST_STANDIN"
	addressVariable = "TACKTALLY_TEST_ADDRESS"
)

// The roles of stand-ins.
const (
	rolePlatform   = "platform"
	roleFastEngine = "fast engine"
	roleSlowEngine = "slow engine"
	roleService    = "service"
)

func runStandIn(role, address string) int {
	var h http.Handler
	switch role {
	case rolePlatform:
		h = standInPlatform(address)
	case roleFastEngine:
		h = engine.NewServer(engine.Spec{PrefillPerSecond: 1e6, StepBase: time.Millisecond, Slots: 8, ChunkTokens: 512, CacheBlocks: 64})
	case roleSlowEngine:
		h = engine.NewServer(engine.Spec{PrefillPerSecond: 1e4, StepBase: 20 * time.Millisecond, Slots: 8, ChunkTokens: 512, CacheBlocks: 64})
	default:
		h = service.New()
	}
	fmt.Fprintln(os.Stderr, http.ListenAndServe(address, h))
	return 1
}

// network of the fleet whose stand-ins are processes: that of its platform.
func standInPlatform(address string) http.Handler {
	var network [3]int
	_, _ = fmt.Sscanf(address, "%d.%d.%d.", &network[0], &network[1], &network[2])
	at := func(last, port int) string {
		return fmt.Sprintf("%d.%d.%d.%d:%d", network[0], network[1], network[2], last, port)
	}
	s := standinplatform.New()
	s.Publish(1, document("processes"))
	s.SetInstances([]platform.Instance{
		{Address: at(10, 7004), Zone: "fort", State: platform.Live},
		{Address: at(11, 7004), Zone: "fort", State: platform.Live},
		{Address: at(101, 9000), Zone: "fort", Set: readers, State: platform.Live},
		{Address: at(102, 9000), Zone: "fort", Set: readers, State: platform.Live},
		{Address: at(103, 9000), Zone: "fort", Set: claims, State: platform.Live},
	})
	return s
}

// startStandIn runs a stand-in in a process of its own until the test ends.
func (f *fleet) startStandIn(role, address string) {
	c := selfCommand()
	c.Env = append(os.Environ(), standInVariable+"="+role, addressVariable+"="+address)
	if err := c.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
}

// The whole path with every part in a process of its own: two daemons, the
// platform, two engines of unlike speed and a plain service.
func TestWholePathAsSeparateProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.startStandIn(rolePlatform, f.ip(2)+":9000")
	f.startStandIn(roleFastEngine, f.ip(101)+":9000")
	f.startStandIn(roleSlowEngine, f.ip(102)+":9000")
	f.startStandIn(roleService, f.ip(103)+":9000")
	for _, last := range []int{10, 11} {
		p := &process{fleet: f, ip: f.ip(last), zone: "fort"}
		p.peerWire = f.relay(p.ip+":7004", p.ip+":7003")
		p.platWire = f.relay(p.ip+":7005", f.ip(2)+":9000")
		f.daemons = append(f.daemons, p)
	}
	for _, p := range f.daemons {
		p.start()
	}
	for _, p := range f.daemons {
		p.waitReady()
	}
	f.waitLinked()
	f.eventually("the upstreams answer", func() bool {
		return f.daemons[0].send(call{path: lookup, body: "x"}).outcome == api.Answered &&
			f.daemons[0].send(call{path: chat, body: prompt("x", true)}).outcome == api.Answered
	})
	key := f.daemons[0].issue()
	is.Equal(f.daemons[1].send(call{path: release, body: "a", key: key}).body, service.Answer("a")) // forwarded
	seen := map[string]bool{}
	f.eventually("both engines are used", func() bool {
		replies := make(chan reply, 40)
		for i := range cap(replies) {
			go func() {
				replies <- f.daemons[i%2].send(call{path: chat, body: prompt(fmt.Sprint("dossier ", i), true)})
			}()
		}
		for range cap(replies) {
			r := <-replies
			is.Equal(r.outcome, api.Answered)
			seen[r.header.Get(api.HeaderUpstream)] = true
		}
		return len(seen) == 2
	})
}
