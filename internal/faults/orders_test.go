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

// declare publishes that the engines have a version of an adapter loaded.
func (f *fleet) declare(revision int64, version string, checks bool) {
	f.engine.Orders.SetChecksFencing(checks)
	f.platform.Publish(revision, documentWith(version, api.EngineSetSpec{
		ChecksFencing: checks,
		Adapters:      []api.Adapter{{Name: "inventory", Version: version}},
	}))
}

func (f *fleet) loaded(version string) func() bool {
	return func() bool { return f.engine.Orders.State().Adapters["inventory"] == version }
}

// revisions never fall in the orders that an engine has taken.
func rising(taken []orders.Order) bool {
	for i := 1; i < len(taken); i++ {
		if taken[i].Fencing < taken[i-1].Fencing {
			return false
		}
	}
	return true
}

// A frozen instance that wakes gives no order on what it believed before, whether
// the engine checks the fencing number or not.
func TestWokenInstanceGivesNoOldOrder(t *testing.T) {
	for name, checks := range map[string]bool{"checking engine": true, "engine that doesn't check": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, "fort", "fort")
			f.declare(2, "v2", checks)
			f.eventually("version 2 is loaded", f.loaded("v2"))
			first := f.daemons[0] // of the lowest address: it gives the orders
			first.freeze()
			f.declare(3, "v3", checks)
			f.eventually("the other has taken over", f.loaded("v3"))
			<-time.After(pause.Threshold + 200*time.Millisecond) // the length of the fault
			first.wake()
			f.eventually("the woken one knows", func() bool { return first.status().Revision == 3 })
			f.declare(4, "v4", checks)
			f.eventually("version 4 is loaded", f.loaded("v4"))
			is.True(rising(f.engine.Orders.Accepted()))
		})
	}
}

// An instance cut off with an older revision doesn't order an engine that wouldn't
// refuse it.
func TestCutOffInstanceGivesNoOldOrder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	f.declare(2, "v2", false)
	f.eventually("version 2 is loaded", f.loaded("v2"))
	old := f.daemons[1]
	old.platWire.Partition("")
	cut(old, f.daemons[0])
	f.eventually("it is alone", func() bool { return old.reachable() == 0 })
	f.declare(3, "v3", false)
	f.eventually("version 3 is loaded", f.loaded("v3"))
	f.eventually("it has tried and refrained", func() bool { return old.metric("tacktally_order_failures_total") > 0 })
	is.True(f.loaded("v3")())
	is.True(rising(f.engine.Orders.Accepted()))
	old.platWire.Heal("")
	heal(old, f.daemons[0])
	f.eventually("it is back", func() bool { return old.status().Revision == 3 })
}

// What was changed behind the system's back is read back and put right.
func TestOrdersAreReadBack(t *testing.T) {
	t.Parallel()
	f := newTunedFleet(t, func(s *settings.Settings) { s.Upstreams.WeightLoadsPerMinute = 100 }, "fort")
	f.declare(2, "v2", true)
	f.eventually("version 2 is loaded", f.loaded("v2"))
	f.engine.Orders.Forget()
	f.eventually("it is loaded again", f.loaded("v2"))
}

// Models are loaded and roles taken as declared, once.
func TestModelsAndRolesAreOrdered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	f.engine.Orders.SetChecksFencing(true)
	f.platform.Publish(2, documentWith("roles", api.EngineSetSpec{ChecksFencing: true, LoadModels: true, Role: api.RoleDecode}))
	f.eventually("model and role are as declared", func() bool {
		s := f.engine.Orders.State()
		return len(s.Models) == 1 && s.Models[0] == modelName && s.Role == api.RoleDecode
	})
	f.eventually("another round was made", func() bool { return f.daemons[0].metric("tacktally_order_rounds_total") > 3 })
	is.Equal(len(f.engine.Orders.Accepted()), 2)
}

// Loads keep the store's rate.
func TestWeightLoadsKeepTheRate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTunedFleet(t, func(s *settings.Settings) { s.Upstreams.WeightLoadsPerMinute = 2 }, "fort")
	f.platform.Publish(2, documentWith("many", api.EngineSetSpec{Adapters: []api.Adapter{
		{Name: "a", Version: "1"}, {Name: "b", Version: "1"}, {Name: "c", Version: "1"}, {Name: "d", Version: "1"},
	}}))
	f.eventually("a load is deferred", func() bool { return f.daemons[0].metric("tacktally_orders_deferred_total") > 0 })
	is.Equal(len(f.engine.Orders.Accepted()), 2)
}
