package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/scheduler"
)

// Instance is one of those that share the upstreams.
type Instance struct {
	// Address for peers.
	Address string
	// Zone is its availability zone, empty where it isn't known.
	Zone string
	// Cores is the processor time that it has, in cores; 0 is unknown.
	Cores float64
	// InReach tells whether its link is up.
	InReach bool
	// MayOwn tells whether it may schedule for others: it is within reach and stays.
	MayOwn bool
	// Settled tells whether it has run long enough to know the others.
	Settled bool
}

// SetInstances takes the instances that share the upstreams, this one included.
func (f *Fleet) SetInstances(instances []Instance) {
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.Address, b.Address) })
	if f.setInstances(instances) {
		f.testAvoided()
	}
	f.limitStarts()
}

// testAvoided lets upstreams that are avoided be tested now. An instance that was cut off
// believes that those on the other side fail; it may own their shard again as soon as it is
// back, and would refuse all requests to them for as long as it avoids them.
func (f *Fleet) testAvoided() {
	f.o.Log.Info().Str("event", "avoided_tested").Int("instances_in_reach", f.InstancesInReach()).Msg("")
	for _, s := range f.all() {
		s.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.ProbeOpenCircuits(now) })
	}
}

// setInstances takes the instances and tells whether one of them came within reach.
func (f *Fleet) setInstances(instances []Instance) (reached bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(instances, f.instances) {
		return false
	}
	reached = inReach(instances) > inReach(f.instances)
	f.instances = instances
	for _, s := range f.services {
		f.shareRepeats(s)
	}
	f.owners.forget()
	return reached
}

func inReach(instances []Instance) (n int) {
	for _, i := range instances {
		if i.InReach {
			n++
		}
	}
	return n
}

// InstancesInReach returns how many instances may schedule for others, this one included.
func (f *Fleet) InstancesInReach() int {
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

// partInReach is the part of the known instances that are within reach, this one included.
func (f *Fleet) partInReach() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(inReach(f.instances)) / float64(len(f.instances))
}

// Settled tells whether this instance has run long enough to know the others.
func (f *Fleet) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.instances, func(i Instance) bool { return i.Address == f.o.Instance && i.Settled })
}
