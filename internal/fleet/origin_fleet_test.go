package fleet

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
)

// originFleet is a fleet whose instances exchange origins directly. Killed ones receive and reply nothing.
type originFleet struct {
	list []Instance

	mu        sync.Mutex // an instance returns at the first reply, while others are still queried
	instances map[string]*Fleet
	killed    map[string]bool

	listAge  map[string]time.Duration // by instance
	listed   map[string]view.Upstream // by ID
	revision int64

	configRevision int64
	longest        time.Duration // for which an origin that was sent may be resumed
}

// originLifetime is how long streams may be resumed in these tests.
const originLifetime = 40 * time.Second

// newOriginFleet returns a fleet with two instances in each zone.
func newOriginFleet(zones int) *originFleet {
	o := &originFleet{instances: map[string]*Fleet{}, killed: map[string]bool{}, listAge: map[string]time.Duration{}, listed: map[string]view.Upstream{}}
	for n := range 2 * zones {
		o.list = append(o.list, Instance{Address: fmt.Sprintf("10.0.0.%d:1", n), Zone: fmt.Sprint("zone-", n%zones), Cores: 0.4, Reachable: true, MayOwn: true, Settled: true, Established: true})
	}
	for _, i := range o.list {
		o.start(i)
	}
	return o
}

// start starts an instance, in place of the previous one with its address.
func (o *originFleet) start(i Instance) *Fleet {
	f := New(Options{Instance: i.Address, Zone: i.Zone, Limits: queue.Limits{MaxItems: 1},
		Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test")})
	f.SetOriginClient(o)
	f.SetInstances(slices.Clone(o.list))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.instances[i.Address] = f
	delete(o.killed, i.Address)
	return f
}

// restart starts instances anew, which read the list and are known to all others as new processes.
func (o *originFleet) restart(instances ...Instance) {
	o.list = slices.Clone(o.list)
	for _, i := range instances {
		at := slices.IndexFunc(o.list, func(other Instance) bool { return other.Address == i.Address })
		o.list[at].Incarnation++
		o.list[at].Established = false
		f := o.start(i)
		f.ApplyListChange(view.ListChange{Version: o.revision, Changed: slices.Collect(maps.Values(o.listed))})
	}
	for _, f := range o.instances {
		f.SetInstances(slices.Clone(o.list))
	}
}

// kill ends instances.
func (o *originFleet) kill(addresses ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, address := range addresses {
		o.killed[address] = true
	}
}

// alive returns the instance at an address, nil if it was killed.
func (o *originFleet) alive(address string) *Fleet {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.killed[address] {
		return nil
	}
	return o.instances[address]
}

// publish sets the version of an upstream on all instances' lists.
func (o *originFleet) publish(id, version string) {
	o.revision++
	o.listed[id] = view.Upstream{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 9, Version: version}
	for _, f := range o.instances {
		f.ApplyListChange(view.ListChange{Version: o.revision, Changed: []view.Upstream{o.listed[id]}})
	}
}

func (o *originFleet) remove(id string) {
	o.revision++
	delete(o.listed, id)
	for _, f := range o.instances {
		f.ApplyListChange(view.ListChange{Version: o.revision, Removed: []string{id}})
	}
}

func (o *originFleet) SendOrigins(address string, list []peer.StreamOrigin) {
	o.mu.Lock()
	for _, origin := range list {
		o.longest = max(o.longest, origin.Remaining)
	}
	o.mu.Unlock()
	if f := o.alive(address); f != nil {
		f.MergeOrigins(list)
	}
}

func (o *originFleet) QueryOrigin(_ context.Context, address string, q *peer.OriginQuery, _ time.Duration) (*peer.OriginReply, error) {
	f := o.alive(address)
	if f == nil {
		return nil, peer.ErrNoReply
	}
	reply := f.ServeOrigin(q, o.listAge[address])
	reply.ConfigRevision = o.configRevision
	return reply, nil
}

// listOf returns the age of a list that has a given age now, and is never confirmed again.
func listOf(age time.Duration) func() time.Duration {
	confirmed := time.Now().Add(-age)
	return func() time.Duration { return time.Since(confirmed) }
}

func always() bool { return true }

func never() bool { return false }

// find returns the versions that the instances that are alive find, empty for none, each once.
func (o *originFleet) find(t *testing.T, request string) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	for address, f := range o.instances {
		if o.killed[address] {
			continue
		}
		_, version, known := f.FindOrigin(t.Context(), ResumedStream{Request: request, Service: "s", Lifetime: originLifetime, OnlyService: always, ConfigRevision: o.configRevision, ConfigAge: listOf(0), ListAge: listOf(o.listAge[address])})
		if !known {
			version = ""
		}
		out[version] = true
	}
	return out
}

func (o *originFleet) killAll(instances []Instance) {
	for _, i := range instances {
		o.kill(i.Address)
	}
}

// markUnreachable makes instances known as unreachable to all.
func (o *originFleet) markUnreachable(unreachable []Instance) {
	o.list = slices.Clone(o.list)
	for n, i := range o.list {
		if slices.Contains(unreachable, i) {
			o.list[n].Reachable, o.list[n].MayOwn = false, false
		}
	}
}

// startWithFirstVersion restarts an instance, whose list has the upstream a alone.
func (o *originFleet) startWithFirstVersion(i Instance) {
	o.list = slices.Clone(o.list)
	at := slices.Index(o.list, i)
	o.list[at].Incarnation++
	o.list[at].Established = false
	o.start(o.list[at]).ApplyListChange(view.ListChange{Version: 1, Changed: []view.Upstream{o.listed["a"]}})
}
