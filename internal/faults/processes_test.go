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

// The environment variables make the test binary run as a fake at an address.
const (
	fakeRoleVariable = "TACKTALLY_TEST_STANDIN"
	addressVariable  = "TACKTALLY_TEST_ADDRESS"
)

// The roles of fakes.
const (
	rolePlatform   = "platform"
	roleFastEngine = "fast engine"
	roleSlowEngine = "slow engine"
	roleService    = "service"
)

// runFake serves a fake until the process is killed.
func runFake(role, address string) int {
	var h http.Handler
	switch role {
	case rolePlatform:
		h = newFakePlatform(address)
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

// newFakePlatform returns the platform of a fleet whose fakes are separate processes. The addresses of its
// instances are in the network of the platform's own address.
func newFakePlatform(address string) http.Handler {
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
		{Address: at(101, 9000), Zone: "fort", Set: readerEngines, State: platform.Live},
		{Address: at(102, 9000), Zone: "fort", Set: readerEngines, State: platform.Live},
		{Address: at(103, 9000), Zone: "fort", Set: claimsService, State: platform.Live},
	})
	return s
}

// startFake runs a fake as a separate process until the test ends.
func (f *fleet) startFake(role, address string) {
	c := selfCommand()
	c.Env = append(os.Environ(), fakeRoleVariable+"="+role, addressVariable+"="+address)
	if err := c.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
}

// End to end with each component in a separate process: two daemons, the platform, two engines of
// different speed and a plain service.
func TestEndToEndAsSeparateProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.startFake(rolePlatform, f.ip(2)+":9000")
	f.startFake(roleFastEngine, f.ip(101)+":9000")
	f.startFake(roleSlowEngine, f.ip(102)+":9000")
	f.startFake(roleService, f.ip(103)+":9000")
	for _, last := range []int{10, 11} {
		p := &process{fleet: f, ip: f.ip(last), zone: "fort"}
		p.peerRelay = f.relay(p.ip+":7004", p.ip+":7003")
		p.platformRelay = f.relay(p.ip+":7005", f.ip(2)+":9000")
		f.daemons = append(f.daemons, p)
	}
	for _, p := range f.daemons {
		p.start()
	}
	for _, p := range f.daemons {
		p.waitReady()
	}
	f.waitLinked()
	f.eventually("the upstreams respond", func() bool {
		return f.daemons[0].send(call{path: lookupPath, body: "x"}).outcome == api.Answered &&
			f.daemons[0].send(call{path: chatPath, body: prompt("x", true)}).outcome == api.Answered
	})
	key := f.daemons[0].issue()
	is.Equal(f.daemons[1].send(call{path: releasePath, body: "a", key: key}).body, service.ResponseBody("a")) // forwarded
	seen := map[string]bool{}
	f.eventually("both engines are used", func() bool {
		replies := make(chan reply, 40)
		for i := range cap(replies) {
			go func() {
				replies <- f.daemons[i%2].send(call{path: chatPath, body: prompt(fmt.Sprint("dossier ", i), true)})
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
