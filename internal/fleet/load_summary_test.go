package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/view"
)

// The gauges of an instance must cover all shards that it owns.
func TestLoadReportsAreSummedOverShards(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	f.SetUpstreams(view.List{Version: 2, Upstreams: []view.Upstream{
		{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 5},
		{ID: "v", Service: "t", Address: "127.0.0.1:2", Slots: 5},
	}})
	f.SetInstances([]Instance{{Address: "10.0.0.1:1", Reachable: true, MayOwn: true}})
	is.Equal(f.LoadReports(), scheduler.LoadReports{})
	for i, s := range f.all() {
		g, problem := s.pool.Acquire(t.Context(), generation().Request)
		is.True(problem == nil)
		s.pool.RecordLoad(g, loadreport.Report{Running: 1, Slots: 5, WorkPercent: 100 * (i % 2)})
	}
	shards := len(f.all())
	is.True(shards > 1)
	r := f.LoadReports()
	is.Equal(r.WithoutWork, int64((shards+1)/2))
	is.Equal(r.WithWork, int64(shards/2))
	is.Equal(r.Upstreams, shards)
	is.True(!r.Newest.IsZero())
}

// Guards against counts that go back within a process, when a service gets fewer shards.
func TestCountsDoNotGoBackWithFewerShards(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	var list []view.Upstream
	for i := range 3 * shardSize {
		list = append(list, view.Upstream{ID: fmt.Sprintf("u-%d", i), Service: "s", Address: "127.0.0.1:1", Slots: 5})
	}
	f.SetUpstreams(view.List{Version: 2, Upstreams: list})
	for _, s := range f.all() {
		g, problem := s.pool.Acquire(t.Context(), generation().Request)
		is.True(problem == nil)
		s.pool.RecordLoad(g, loadreport.Report{Running: 1, Slots: 5})
	}
	before := f.LoadReports()
	is.Equal(before.WithoutWork, int64(3))
	f.SetUpstreams(view.List{Version: 3, Upstreams: list[:shardSize]})
	is.Equal(len(f.all()), 1)
	after := f.LoadReports()
	is.Equal(after.WithoutWork, before.WithoutWork)
	is.Equal(after.Newest, before.Newest)
	is.True(after.Upstreams <= before.Upstreams) // those of the present
}
