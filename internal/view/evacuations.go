package view

import (
	"slices"
	"strings"
	"time"
)

// Evacuations are the availability zones whose upstreams are to get nothing new, as the source
// has them.
type Evacuations struct {
	// Version is the revision of the source up to which Zones is complete; 0 where nothing is
	// known.
	Version int64
	// Zones that are evacuated, in order.
	Zones []string
}

// ZoneChange is the begin or the end of one availability zone's evacuation.
type ZoneChange struct {
	Zone      string
	Evacuated bool
	// Revision of the source at which it was published.
	Revision int64
}

// Evacuations implements Sink: it takes all zones that are evacuated, as the source had them at a
// revision.
func (v *View) Evacuations(zones []string, revision int64) {
	v.learnEvacuations(Evacuations{Version: revision, Zones: zones}, "source")
}

// ZoneChanges implements Sink: it takes what has changed, in order, up to a revision. What is known
// at a later revision stays.
func (v *View) ZoneChanges(changes []ZoneChange, complete int64) {
	now := v.Evacuated()
	if now.Version == 0 || complete <= now.Version {
		return
	}
	zones := slices.Clone(now.Zones)
	for _, c := range changes {
		if c.Revision <= now.Version {
			continue
		}
		zones = slices.DeleteFunc(zones, func(zone string) bool { return zone == c.Zone })
		if c.Evacuated {
			zones = append(zones, c.Zone)
		}
	}
	v.learnEvacuations(Evacuations{Version: complete, Zones: zones}, "source")
}

// LearnEvacuations takes what a peer believes, if it is newer.
func (v *View) LearnEvacuations(e Evacuations, peer string) { v.learnEvacuations(e, "peer "+peer) }

// Evacuated returns what is believed. Zones are not to be changed.
func (v *View) Evacuated() Evacuations {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.evacuations
}

// learnEvacuations takes all zones as of a revision, unless a later one is known. Who uses them is
// told, and the log, if any has changed.
func (v *View) learnEvacuations(e Evacuations, from string) {
	e.Zones = slices.Compact(slices.Sorted(slices.Values(e.Zones)))
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.evacuations
	if e.Version <= before.Version {
		return
	}
	v.evacuations = e
	if slices.Equal(before.Zones, e.Zones) {
		return
	}
	age := time.Duration(0)
	if v.table != nil {
		age = v.o.Now().Sub(v.asOf)
	}
	v.o.Metrics.Count("tacktally_evacuations_changed_total")
	v.o.Log.Info().Str("event", "evacuation").Str("evacuated", strings.Join(e.Zones, ",")).
		Str("before", strings.Join(before.Zones, ",")).Int64("version", e.Version).
		Int64("version_before", before.Version).Dur("proof_age", age).Str("from", from).Msg("")
	if v.o.OnEvacuations != nil {
		v.o.OnEvacuations(e.Zones)
	}
}
