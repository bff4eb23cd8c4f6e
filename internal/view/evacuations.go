package view

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// retainAfterRestore is how long an evacuation stays in effect that the source had before it was
// restored from a copy and no longer has. Operators either publish it again, or have ended it in the
// meantime.
const retainAfterRestore = 30 * time.Second

// retainAfterRewrite replaces retainAfterRestore once a configuration newer than the one before the
// restore shows that operators have published again: they publish evacuations along with it.
const retainAfterRewrite = 5 * time.Second

// Evacuations are the availability zones whose upstreams get no new requests.
type Evacuations struct {
	// Version is the position of the source up to which Zones is complete; 0 where nothing is
	// known.
	Version int64
	// Zones that are evacuated, in order.
	Zones []string
	// Retained are those of Zones that the source had in an earlier epoch only, with the time for which
	// they still count as evacuated.
	Retained map[string]time.Duration
}

// published returns the zones that the source lists as evacuated.
func (e Evacuations) published() []string {
	zones := slices.DeleteFunc(slices.Clone(e.Zones), func(zone string) bool {
		_, retained := e.Retained[zone]
		return retained
	})
	return slices.Compact(slices.Sorted(slices.Values(zones)))
}

// ZoneChange is the beginning or the end of one availability zone's evacuation.
type ZoneChange struct {
	Zone      string
	Evacuated bool
	// Revision of the source at which it was published.
	Revision int64
}

// evacuations is what an instance knows of evacuated zones.
type evacuations struct {
	version   int64
	published []string
	all       []string // published or retained, in order
	// retained are zones evacuated in an earlier epoch, with the time until which each still counts as
	// evacuated.
	retained map[string]time.Time
	// resolved are zones that the source has published in this epoch, or whose retention has expired.
	resolved map[string]bool
	// previousVersion is the last version known of earlier epochs; retainUntil is when the retention of
	// such zones ends.
	previousVersion int64
	retainUntil     time.Time
	releaseTimer    *time.Timer // nil until a zone was retained
}

// SetEvacuations implements Sink. It sets all zones that are evacuated, as the source had them at a
// revision.
func (v *View) SetEvacuations(zones []string, revision int64) {
	v.receiveEvacuations(Evacuations{Version: revision, Zones: zones}, "source")
}

// ApplyZoneChanges implements Sink. It applies changes in order, which are complete after one revision and up to
// another. Changes at or before the known version are ignored, and so are all if the known version is before the former
// revision: others may be missing in between.
func (v *View) ApplyZoneChanges(changes []ZoneChange, after, complete int64) (known bool) {
	v.mu.Lock()
	e := &v.evacuations
	if e.version == 0 || e.version < after || complete <= e.version {
		known = e.version > 0 && complete <= e.version
		v.mu.Unlock()
		return known
	}
	zones := slices.Clone(e.published)
	for _, c := range changes {
		if c.Revision <= e.version {
			continue
		}
		zones = slices.DeleteFunc(zones, func(zone string) bool { return zone == c.Zone })
		if c.Evacuated {
			zones = append(zones, c.Zone)
		}
		if EpochOf(c.Revision) == EpochOf(e.version) {
			e.resolve(c.Zone)
		}
	}
	v.mu.Unlock()
	v.receiveEvacuations(Evacuations{Version: complete, Zones: zones}, "source")
	return true
}

// MergeEvacuations merges the evacuations that a peer sent, where they are newer.
func (v *View) MergeEvacuations(e Evacuations, peer string) { v.receiveEvacuations(e, "peer "+peer) }

// CurrentEvacuations returns the evacuations in effect. The caller must not modify Zones.
func (v *View) CurrentEvacuations() Evacuations {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := &v.evacuations
	out := Evacuations{Version: e.version, Zones: e.all}
	for zone, until := range e.retained {
		if out.Retained == nil {
			out.Retained = map[string]time.Duration{}
		}
		out.Retained[zone] = max(until.Sub(v.o.Now()), 0)
	}
	return out
}

// receiveEvacuations merges all zones as of a version, and publishes the result if it has changed.
func (v *View) receiveEvacuations(received Evacuations, from string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := &v.evacuations
	before, version := e.all, e.version
	e.merge(v.o.Now(), received)
	v.publishEvacuations(before, version, from)
}

// releaseRetained ends the retention of the zones for which it has expired.
func (v *View) releaseRetained() {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := &v.evacuations
	before := e.all
	e.release(v.o.Now())
	v.publishEvacuations(before, e.version, "held for long enough")
}

// publishEvacuations recomputes the evacuated zones, schedules the next release, and logs and
// reports a change. The caller holds the lock.
func (v *View) publishEvacuations(before []string, version int64, from string) {
	e := &v.evacuations
	e.all = e.effective()
	v.scheduleRelease()
	if slices.Equal(before, e.all) {
		return
	}
	age := time.Duration(0)
	if v.table != nil {
		age = v.o.Now().Sub(v.asOf)
	}
	v.o.Metrics.Count("tacktally_evacuations_changed_total")
	v.o.Log.Info().Str("event", "evacuation").Str("evacuated", strings.Join(e.all, ",")).
		Str("before", strings.Join(before, ",")).Int("held", len(e.retained)).Int64("version", e.version).
		Int64("version_before", version).Dur("proof_age", age).Str("from", from).Msg("")
	if v.o.OnEvacuations != nil {
		v.o.OnEvacuations(e.all)
	}
}

// scheduleRelease sets the timer for the retention that expires first. The caller holds the lock.
func (v *View) scheduleRelease() {
	e := &v.evacuations
	if len(e.retained) == 0 {
		return
	}
	left := slices.MinFunc(slices.Collect(maps.Values(e.retained)), time.Time.Compare).Sub(v.o.Now())
	if e.releaseTimer == nil {
		e.releaseTimer = time.AfterFunc(left, v.releaseRetained)
		return
	}
	e.releaseTimer.Reset(left)
}

// merge merges received evacuations. Zones that an earlier epoch had are retained for a while, unless
// they have been published in this epoch.
func (e *evacuations) merge(now time.Time, received Evacuations) {
	published := received.published()
	switch {
	case received.Version > e.version:
		if e.version > 0 && EpochOf(received.Version) > EpochOf(e.version) {
			e.enterEpoch(now)
		}
		e.version, e.published = received.Version, published
	case EpochOf(received.Version) < EpochOf(e.version) && received.Version > e.previousVersion && now.Before(e.retainUntil):
		e.previousVersion = received.Version
		e.retain(published, e.retainUntil)
	}
	if EpochOf(received.Version) == EpochOf(e.version) {
		for zone, left := range received.Retained {
			e.retain([]string{zone}, now.Add(min(left, retainAfterRestore)))
		}
	}
	for _, zone := range e.published {
		e.resolve(zone)
	}
}

// enterEpoch retains the zones that the previous epoch had.
func (e *evacuations) enterEpoch(now time.Time) {
	previous := e.published
	e.previousVersion, e.retainUntil = e.version, now.Add(retainAfterRestore)
	e.resolved = map[string]bool{}
	e.retain(previous, e.retainUntil)
}

// shortenRetention limits all retention to retainAfterRewrite from now on, since operators have
// published in this epoch and publish the evacuations that still apply along with it.
func (e *evacuations) shortenRetention(now time.Time) {
	until := now.Add(retainAfterRewrite)
	if until.Before(e.retainUntil) {
		e.retainUntil = until
	}
	for zone, known := range e.retained {
		if until.Before(known) {
			e.retained[zone] = until
		}
	}
}

// retain keeps zones evacuated until a time, except those already resolved in this epoch.
func (e *evacuations) retain(zones []string, until time.Time) {
	for _, zone := range zones {
		if e.resolved[zone] {
			continue
		}
		if e.retained == nil {
			e.retained = map[string]time.Time{}
		}
		if known, retained := e.retained[zone]; !retained || until.Before(known) {
			e.retained[zone] = until
		}
	}
}

// resolve ends the retention of a zone: from now on only what the source publishes counts.
func (e *evacuations) resolve(zone string) {
	delete(e.retained, zone)
	if e.resolved == nil {
		e.resolved = map[string]bool{}
	}
	e.resolved[zone] = true
}

// release resolves the zones whose retention has expired.
func (e *evacuations) release(now time.Time) {
	for zone, until := range e.retained {
		if !now.Before(until) {
			e.resolve(zone)
		}
	}
}

// effective returns all zones that count as evacuated, in order.
func (e *evacuations) effective() []string {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(e.published, slices.Collect(maps.Keys(e.retained))))))
}
