package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/settings"
)

// Guards against refusals of streams whose keepers have restarted at their address: the fleet tells the new process from the
// former one by its incarnation.
func TestFleetKnowsTheProcessesOfPeers(t *testing.T) {
	now := time.Now()
	serving := peer.Status{Address: "10.0.0.1:1", Incarnation: 7, Zone: "z", Cores: 0.5, Reachable: true, Started: now.Add(-time.Minute)}
	for name, c := range map[string]struct {
		change func(*peer.Status)
		want   fleet.Instance
	}{
		"serving":      {func(*peer.Status) {}, fleet.Instance{Reachable: true, MayOwn: true, Settled: true, Established: true}},
		"draining":     {func(p *peer.Status) { p.Draining = true }, fleet.Instance{Reachable: true, Draining: true, Settled: true, Established: true}},
		"not reached":  {func(p *peer.Status) { p.Reachable = false }, fleet.Instance{Settled: true, Established: true}},
		"settled":      {func(p *peer.Status) { p.Started = now.Add(-settleTime) }, fleet.Instance{Reachable: true, MayOwn: true, Settled: true}},
		"just started": {func(p *peer.Status) { p.Started = now }, fleet.Instance{Reachable: true, MayOwn: true}},
		"start is not known": {func(p *peer.Status) { p.Started = time.Time{} },
			fleet.Instance{Reachable: true, MayOwn: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := serving
			c.change(&p)
			c.want.Address, c.want.Incarnation, c.want.Zone, c.want.Cores = p.Address, p.Incarnation, p.Zone, p.Cores
			is.Equal(fleetInstance(p, now), c.want)
		})
	}
}

// Guards against an owner that grants for up to settledCheckInterval after others were told that it is leaving, beside its
// successor, which grants the whole at once.
func TestInstanceThatIsLeavingOwnsNothingFromItsNextRefreshOn(t *testing.T) {
	is := is.New(t)
	i := newInstance(t, settings.Overload{})
	refreshes := func() bool {
		before := i.lastFleet.at
		i.refreshFleet()
		return i.lastFleet.at.After(before)
	}
	i.lastFleet.at = time.Now() // it has just refreshed
	is.True(!refreshes())
	i.ready.draining.Store(true)
	is.True(refreshes())
	is.True(!refreshes())
}
