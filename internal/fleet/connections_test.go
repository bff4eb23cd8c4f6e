package fleet

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/view"
)

// After a restart or a change of address, the connections of the previous process must not be used.
func TestRestartedUpstreamGetsNewConnections(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.9:1", instances(1))
	u := view.Upstream{ID: "i-1", Service: "app", Address: "10.0.0.1:80", Slots: 4, Incarnation: 1}
	f.SetUpstreams(view.List{Version: 1, Upstreams: []view.Upstream{u}})
	first := f.ConnectionsTo("i-1")
	u.Leaving = true
	f.SetUpstreams(view.List{Version: 2, Upstreams: []view.Upstream{u}})
	is.True(f.ConnectionsTo("i-1") == first) // the same process
	u.Incarnation = 2
	f.SetUpstreams(view.List{Version: 3, Upstreams: []view.Upstream{u}})
	second := f.ConnectionsTo("i-1")
	is.True(second != first)
	u.Address = "10.0.0.2:80"
	f.SetUpstreams(view.List{Version: 4, Upstreams: []view.Upstream{u}})
	is.True(f.ConnectionsTo("i-1") != second)
	f.SetUpstreams(view.List{Version: 5})
	is.True(f.ConnectionsTo("i-1") == nil)
}
