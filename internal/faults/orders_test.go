package faults

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/orders"
	"github.com/tacktally/tacktally/internal/pause"
	"github.com/tacktally/tacktally/internal/settings"
)

// publishAdapter publishes the version of an adapter that the engines have to load, and sets whether
// they check the fencing number.
func (f *fleet) publishAdapter(revision int64, version string, checks bool) {
	f.engine.Orders.SetChecksFencing(checks)
	f.platform.Publish(revision, documentWith(version, api.EngineSetSpec{
		ChecksFencing: checks,
		Adapters:      []api.Adapter{{Name: "inventory", Version: version}},
	}))
}

// adapterLoaded returns a condition that holds when the engine has loaded a version of the adapter.
func (f *fleet) adapterLoaded(version string) func() bool {
	return func() bool { return f.engine.Orders.State().Adapters["inventory"] == version }
}

// fencingNeverDecreases reports whether the fencing numbers of the accepted orders never decrease.
func fencingNeverDecreases(accepted []orders.Order) bool {
	for i := 1; i < len(accepted); i++ {
		if accepted[i].Fencing < accepted[i-1].Fencing {
			return false
		}
	}
	return true
}

// A frozen instance that resumes sends no order that is based on a stale revision, whether the engine
// checks the fencing number or not.
func TestResumedInstanceSendsNoStaleOrder(t *testing.T) {
	for name, checks := range map[string]bool{"checking engine": true, "engine that doesn't check": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, "fort", "fort")
			f.publishAdapter(2, "v2", checks)
			f.eventually("version 2 is loaded", f.adapterLoaded("v2"))
			first := f.daemons[0] // has the lowest address, so that it sends the orders
			first.freeze()
			f.publishAdapter(3, "v3", checks)
			f.eventually("the other instance has taken over", f.adapterLoaded("v3"))
			<-time.After(pause.Threshold + 200*time.Millisecond) // the duration of the fault
			first.resume()
			f.eventually("the resumed instance has revision 3", func() bool { return first.status().Revision == 3 })
			f.publishAdapter(4, "v4", checks)
			f.eventually("version 4 is loaded", f.adapterLoaded("v4"))
			is.True(fencingNeverDecreases(f.engine.Orders.Accepted()))
		})
	}
}

// A partitioned instance with an older revision sends no order to an engine that doesn't check the
// fencing number and so wouldn't refuse it.
func TestPartitionedInstanceSendsNoStaleOrder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	f.publishAdapter(2, "v2", false)
	f.eventually("version 2 is loaded", f.adapterLoaded("v2"))
	old := f.daemons[1]
	old.platformRelay.Partition("")
	partition(old, f.daemons[0])
	f.eventually("the instance is isolated", func() bool { return old.reachable() == 0 })
	f.publishAdapter(3, "v3", false)
	f.eventually("version 3 is loaded", f.adapterLoaded("v3"))
	f.eventually("the isolated instance has failed to send an order", func() bool { return old.metric("tacktally_order_failures_total") > 0 })
	is.True(f.adapterLoaded("v3")())
	is.True(fencingNeverDecreases(f.engine.Orders.Accepted()))
	old.platformRelay.Heal("")
	heal(old, f.daemons[0])
	f.eventually("the instance has caught up", func() bool { return old.status().Revision == 3 })
}

// The state of an engine is read back. An engine that lost its state gets its orders again.
func TestLostEngineStateIsOrderedAgain(t *testing.T) {
	t.Parallel()
	f := newConfiguredFleet(t, func(s *settings.Settings) { s.Upstreams.WeightLoadsPerMinute = 100 }, "fort")
	f.publishAdapter(2, "v2", true)
	f.eventually("version 2 is loaded", f.adapterLoaded("v2"))
	f.engine.Orders.Reset()
	f.eventually("version 2 is loaded again", f.adapterLoaded("v2"))
}

// The declared models and roles are each ordered exactly once.
func TestModelsAndRolesAreOrderedOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	f.engine.Orders.SetChecksFencing(true)
	f.platform.Publish(2, documentWith("roles", api.EngineSetSpec{ChecksFencing: true, LoadModels: true, Role: api.RoleDecode}))
	f.eventually("model and role are as declared", func() bool {
		s := f.engine.Orders.State()
		return len(s.Models) == 1 && s.Models[0] == modelName && s.Role == api.RoleDecode
	})
	f.eventually("further order rounds have run", func() bool { return f.daemons[0].metric("tacktally_order_rounds_total") > 3 })
	is.Equal(len(f.engine.Orders.Accepted()), 2)
}

// Weight loads stay within the rate that the weight store can serve; further loads are deferred.
func TestWeightLoadsAreRateLimited(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newConfiguredFleet(t, func(s *settings.Settings) { s.Upstreams.WeightLoadsPerMinute = 2 }, "fort")
	f.platform.Publish(2, documentWith("many", api.EngineSetSpec{Adapters: []api.Adapter{
		{Name: "a", Version: "1"}, {Name: "b", Version: "1"}, {Name: "c", Version: "1"}, {Name: "d", Version: "1"},
	}}))
	f.eventually("a load is deferred", func() bool { return f.daemons[0].metric("tacktally_orders_deferred_total") > 0 })
	is.Equal(len(f.engine.Orders.Accepted()), 2)
}
