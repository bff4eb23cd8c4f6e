package fleet

import (
	"sync"
	"testing"

	"github.com/tacktally/tacktally/internal/scheduler"
)

// runningElsewhere returns how many requests of other instances count at an upstream.
func (f *Fleet) runningElsewhere(id string) (n int) {
	for _, s := range f.all() {
		s.pool.View(func(core *scheduler.Core) {
			for _, u := range core.Upstreams() {
				if u.ID == id {
					n = u.RunningElsewhere
				}
			}
		})
	}
	return n
}

// Guards against the load of a lost instance that counts for ever, since it was set again while upstreams were moved
// between shards.
func TestRemovedLoadStaysRemovedWhileShardsChange(t *testing.T) {
	f := fleetOf("10.0.0.0:1", instances(3))
	for round := range 3000 {
		f.SetPeerLoad("10.0.0.1:1", scheduler.Load{Running: map[string]int{"i-7": 3}})
		var both sync.WaitGroup
		both.Go(func() { f.SetPeerLoad("10.0.0.1:1", scheduler.Load{}) })
		both.Go(f.reapplyPeerLoads)
		both.Wait()
		if n := f.runningElsewhere("i-7"); n != 0 {
			t.Fatalf("round %d: %d requests of an instance without any count at the upstream", round, n)
		}
	}
}

// Guards against loads of one instance that are set at once and leave another one at the upstreams than the last one
// that is known.
func TestLoadAtUpstreamsIsTheLastOneSet(t *testing.T) {
	f := fleetOf("10.0.0.0:1", instances(3))
	for round := range 3000 {
		var both sync.WaitGroup
		both.Go(func() { f.SetPeerLoad("10.0.0.1:1", scheduler.Load{Running: map[string]int{"i-7": 3}}) })
		both.Go(func() { f.SetPeerLoad("10.0.0.1:1", scheduler.Load{Running: map[string]int{"i-7": 5}}) })
		both.Wait()
		f.mu.Lock()
		known := f.peerLoads["10.0.0.1:1"].Running["i-7"]
		f.mu.Unlock()
		if n := f.runningElsewhere("i-7"); n != known {
			t.Fatalf("round %d: %d requests of an instance count at the upstream, %d in its last load", round, n, known)
		}
	}
}
