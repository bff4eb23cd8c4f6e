package view

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// holdAfterRestore is how long an evacuation is believed that the source had before it came back from a copy, and doesn't
// have now: operators write it again, or have taken the zone back meanwhile.
const holdAfterRestore = 30 * time.Second

// holdAfterRewrite is the same once a configuration that is newer than the one before the return shows that operators have
// written again: evacuations come beside it.
const holdAfterRewrite = 5 * time.Second

// Evacuations are the availability zones whose upstreams are to get nothing new.
type Evacuations struct {
	// Version is the position of the source up to which Zones is complete; 0 where nothing is
	// known.
	Version int64
	// Zones that are evacuated, in order.
	Zones []string
	// Held are those of Zones that the source had in an earlier era only, with the time for which they are still
	// believed to be evacuated.
	Held map[string]time.Duration
}

// published returns the zones that the source has.
func (e Evacuations) published() []string {
	zones := slices.DeleteFunc(slices.Clone(e.Zones), func(zone string) bool {
		_, held := e.Held[zone]
		return held
	})
	return slices.Compact(slices.Sorted(slices.Values(zones)))
}

// ZoneChange is the begin or the end of one availability zone's evacuation.
type ZoneChange struct {
	Zone      string
	Evacuated bool
	// Revision of the source at which it was published.
	Revision int64
}

// evacuations is what is believed of them.
type evacuations struct {
	version   int64
	published []string
	all       []string // published or held, in order
	// held are zones that an earlier era had, until when each is believed to be evacuated.
	held map[string]time.Time
	// resolved are zones that this era has had, or that were held for long enough.
	resolved map[string]bool
	// previousVersion is the version that was known last of earlier eras, and until when such are held.
	previousVersion int64
	holdUntil       time.Time
	releaseTimer    *time.Timer // nil until a zone was held
}

// SetEvacuations implements Sink: it takes all zones that are evacuated, as the source had them at a
// revision.
func (v *View) SetEvacuations(zones []string, revision int64) {
	v.receiveEvacuations(Evacuations{Version: revision, Zones: zones}, "source")
}

// ApplyZoneChanges implements Sink: it takes what has changed, in order, up to a revision. What is known
// at a later revision stays.
func (v *View) ApplyZoneChanges(changes []ZoneChange, complete int64) {
	v.mu.Lock()
	e := &v.evacuations
	if e.version == 0 || complete <= e.version {
		v.mu.Unlock()
		return
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
}

// MergeEvacuations takes what a peer believes, if it is newer.
func (v *View) MergeEvacuations(e Evacuations, peer string) { v.receiveEvacuations(e, "peer "+peer) }

// CurrentEvacuations returns what is believed. Zones are not to be changed.
func (v *View) CurrentEvacuations() Evacuations {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := &v.evacuations
	out := Evacuations{Version: e.version, Zones: e.all}
	for zone, until := range e.held {
		if out.Held == nil {
			out.Held = map[string]time.Duration{}
		}
		out.Held[zone] = max(until.Sub(v.o.Now()), 0)
	}
	return out
}

// receiveEvacuations takes all zones as of a revision, unless a later one is known. Who uses them is
// told, and the log, if any has changed.
func (v *View) receiveEvacuations(told Evacuations, from string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := &v.evacuations
	before, version := e.all, e.version
	e.merge(v.o.Now(), told)
	v.publishEvacuations(before, version, from)
}

// releaseHeld ends what was held for long enough.
func (v *View) releaseHeld() {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := &v.evacuations
	before := e.all
	e.release(v.o.Now())
	v.publishEvacuations(before, e.version, "held for long enough")
}

// publishEvacuations tells of a change, and looks again when the first zone that is held has been for long enough. The
// caller holds the lock.
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
		Str("before", strings.Join(before, ",")).Int("held", len(e.held)).Int64("version", e.version).
		Int64("version_before", version).Dur("proof_age", age).Str("from", from).Msg("")
	if v.o.OnEvacuations != nil {
		v.o.OnEvacuations(e.all)
	}
}

// scheduleRelease lets releaseHeld be called when the first zone has been held for long enough. The caller holds the lock.
func (v *View) scheduleRelease() {
	e := &v.evacuations
	if len(e.held) == 0 {
		return
	}
	left := slices.MinFunc(slices.Collect(maps.Values(e.held)), time.Time.Compare).Sub(v.o.Now())
	if e.releaseTimer == nil {
		e.releaseTimer = time.AfterFunc(left, v.releaseHeld)
		return
	}
	e.releaseTimer.Reset(left)
}

// merge takes what somebody believes. What an earlier era had is held for a while where it isn't known here to have
// ended.
func (e *evacuations) merge(now time.Time, told Evacuations) {
	published := told.published()
	switch {
	case told.Version > e.version:
		if e.version > 0 && EpochOf(told.Version) > EpochOf(e.version) {
			e.enterEpoch(now)
		}
		e.version, e.published = told.Version, published
	case EpochOf(told.Version) < EpochOf(e.version) && told.Version > e.previousVersion && now.Before(e.holdUntil):
		e.previousVersion = told.Version
		e.hold(published, e.holdUntil)
	}
	if EpochOf(told.Version) == EpochOf(e.version) {
		for zone, left := range told.Held {
			e.hold([]string{zone}, now.Add(min(left, holdAfterRestore)))
		}
	}
	for _, zone := range e.published {
		e.resolve(zone)
	}
}

// enterEpoch holds what the era before had.
func (e *evacuations) enterEpoch(now time.Time) {
	before := e.published
	e.previousVersion, e.holdUntil = e.version, now.Add(holdAfterRestore)
	e.resolved = map[string]bool{}
	e.hold(before, e.holdUntil)
}

// shortenHold is called when operators have written again in this era: what they hold on to comes beside it.
func (e *evacuations) shortenHold(now time.Time) {
	until := now.Add(holdAfterRewrite)
	if until.Before(e.holdUntil) {
		e.holdUntil = until
	}
	for zone, known := range e.held {
		if until.Before(known) {
			e.held[zone] = until
		}
	}
}

// hold believes zones to be evacuated until a time, but for those that this era has had.
func (e *evacuations) hold(zones []string, until time.Time) {
	for _, zone := range zones {
		if e.resolved[zone] {
			continue
		}
		if e.held == nil {
			e.held = map[string]time.Time{}
		}
		if known, held := e.held[zone]; !held || until.Before(known) {
			e.held[zone] = until
		}
	}
}

// resolve goes by what the source says of a zone from now on.
func (e *evacuations) resolve(zone string) {
	delete(e.held, zone)
	if e.resolved == nil {
		e.resolved = map[string]bool{}
	}
	e.resolved[zone] = true
}

// release ends what was held for long enough.
func (e *evacuations) release(now time.Time) {
	for zone, until := range e.held {
		if !now.Before(until) {
			e.resolve(zone)
		}
	}
}

// effective returns all zones that count as evacuated, in order.
func (e *evacuations) effective() []string {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(e.published, slices.Collect(maps.Keys(e.held))))))
}
