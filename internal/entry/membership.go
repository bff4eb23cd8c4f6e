package entry

import (
	"time"

	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/view"
)

// fleetState is the state that was last passed to the fleet.
type fleetState struct {
	change     uint64 // the mesh's MembershipChangeCount
	at         time.Time
	settles    time.Time // when the next instance settles, zero if all had
	membership membershipSummary
	pauses     uint32 // the fleet's Pauses
	draining   bool   // this instance was leaving
}

// refreshFleet passes the known instances to the fleet if they have changed, one of them has settled, this one has begun
// to leave, or settledCheckInterval has passed.
func (i *Instance) refreshFleet() {
	i.fleet.RecordRunning()
	if pauses := i.fleet.Pauses(); pauses != i.lastFleet.pauses {
		i.lastFleet.pauses = pauses
		i.informed.interrupted(time.Now(), i.lastFleet.at)
	}
	change, now := i.mesh.MembershipChangeCount(), time.Now()
	settles := !i.lastFleet.settles.IsZero() && !now.Before(i.lastFleet.settles)
	draining := i.ready.draining.Load()
	if change == i.lastFleet.change && !settles && draining == i.lastFleet.draining && now.Sub(i.lastFleet.at) < settledCheckInterval {
		return
	}
	i.lastFleet.change, i.lastFleet.at, i.lastFleet.settles, i.lastFleet.draining = change, now, i.nextSettled(now), draining
	instances := []fleet.Instance{{Address: i.address, Zone: i.settings.Zone, Cores: i.settings.Routed.Cores, Reachable: true, MayOwn: !draining, Settled: time.Since(i.started) >= settleTime}}
	for _, p := range i.mesh.Peers() {
		instances = append(instances, fleetInstance(p, now))
	}
	i.fleet.SetInstances(instances)
	i.logMembership(instances)
}

// fleetInstance returns a peer as the fleet sees it.
func fleetInstance(p peer.Status, now time.Time) fleet.Instance {
	return fleet.Instance{
		Address:     p.Address,
		Incarnation: p.Incarnation,
		Zone:        p.Zone,
		Cores:       p.Cores,
		Reachable:   p.Reachable,
		MayOwn:      p.Reachable && !p.Draining,
		Draining:    p.Draining,
		Settled:     !p.Started.IsZero() && now.Sub(p.Started) >= settleTime,
		Established: !p.Started.IsZero() && now.Sub(p.Started) > view.CurrentListAge,
	}
}

// nextSettled returns when the next of the known instances will have settled, zero if all have.
func (i *Instance) nextSettled(now time.Time) (next time.Time) {
	consider := func(started time.Time) {
		at := started.Add(settleTime)
		if !started.IsZero() && at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	consider(i.started)
	for _, p := range i.mesh.Peers() {
		consider(p.Started)
	}
	return next
}

// membershipSummary is the part of the membership that is logged.
type membershipSummary struct{ known, reachable, hubRank, links int }

// logMembership logs the size of the fleet and this instance's hub rank if they have changed.
func (i *Instance) logMembership(instances []fleet.Instance) {
	now := membershipSummary{known: len(instances), hubRank: i.mesh.Role().HubRank, links: i.mesh.LinkCount()}
	for _, other := range instances {
		if other.Reachable {
			now.reachable++
		}
	}
	previous := i.lastFleet.membership
	i.lastFleet.membership = now
	if previous.known == now.known && previous.reachable == now.reachable && previous.hubRank == now.hubRank {
		return
	}
	i.log.Info().Str("event", "membership").Int("known", now.known).Int("in_reach", now.reachable).
		Int("hub", now.hubRank).Int("links", now.links).Msg("")
}
