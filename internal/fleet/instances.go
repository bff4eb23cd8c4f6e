package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/scheduler"
)

// Instance is one of the instances that share the upstreams.
type Instance struct {
	// Address is the peer address.
	Address string
	// Incarnation identifies its process; 0 if unknown, and for this instance.
	Incarnation uint64
	// Zone is the availability zone, empty if unknown.
	Zone string
	// Cores is the processor time of the instance, in cores; 0 if unknown.
	Cores float64
	// Reachable reports whether the instance is reachable as far as known: it is linked to this one, or
	// a peer attests it (see package membership).
	Reachable bool
	// MayOwn reports whether the instance may own shards: it is reachable and not leaving.
	MayOwn bool
	// Draining reports whether the instance is leaving, or has left in order.
	Draining bool
	// Settled reports whether the instance has run long enough to know the others.
	Settled bool
	// Established reports whether the instance has run for longer than a current list may lag behind (CurrentListAge).
	Established bool
}

// SetInstances sets the instances that share the upstreams, including this one.
func (f *Fleet) SetInstances(instances []Instance) {
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.Address, b.Address) })
	f.mu.Lock()
	before := f.instances
	f.mu.Unlock()
	if f.setInstances(instances) {
		f.probeOpenCircuits()
	}
	f.sendOriginsToNewKeepers(before)
	f.updateGrantLimits()
}

// lostSince reports whether an instance that was reachable isn't any more, and didn't leave.
func lostSince(before, now []Instance) bool {
	reachable := make(map[string]bool, len(before))
	for _, i := range before {
		reachable[i.Address] = i.Reachable
	}
	return slices.ContainsFunc(now, func(i Instance) bool { return reachable[i.Address] && !i.Reachable && !i.Draining })
}

// probeOpenCircuits lets one request probe each upstream whose circuit is open. An instance that was
// partitioned off has opened the circuits of upstreams on the other side; it may own their shard again as
// soon as it is back, and would refuse all requests to them while the circuits are open.
func (f *Fleet) probeOpenCircuits() {
	f.o.Log.Info().Str("event", "avoided_tested").Int("instances_in_reach", f.ReachableInstances()).Msg("")
	for _, s := range f.all() {
		s.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.ProbeOpenCircuits(now) })
	}
}

// setInstances sets the instances and reports whether more of them are reachable than before.
func (f *Fleet) setInstances(instances []Instance) (moreReachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(instances, f.instances) {
		return false
	}
	moreReachable = countReachable(instances) > countReachable(f.instances)
	if lostSince(f.instances, instances) {
		f.lostInstance = time.Now()
	}
	f.instances = instances
	f.hasPeers.Store(len(instances) > 1)
	for _, s := range f.services {
		f.updateRetryBudgets(s)
	}
	f.owners.setInstances(instances)
	f.buckets.update(time.Now(), f.o.Instance, instances)
	return moreReachable
}

func countReachable(instances []Instance) (n int) {
	for _, i := range instances {
		if i.Reachable {
			n++
		}
	}
	return n
}

// ReachableInstances returns how many instances may own shards, including this one.
func (f *Fleet) ReachableInstances() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, i := range f.instances {
		if i.MayOwn {
			n++
		}
	}
	return n
}

// reachableShare returns the share of the known instances that are reachable, including this one.
func (f *Fleet) reachableShare() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(countReachable(f.instances)) / float64(len(f.instances))
}

// Settled reports whether this instance has run long enough to know the others.
func (f *Fleet) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.instances, func(i Instance) bool { return i.Address == f.o.Instance && i.Settled })
}
