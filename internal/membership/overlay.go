package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// startupPeriod is how long after its start an instance may know less than others: until
	// then it is introduced by whoever it is linked to, and seeds link to each other.
	startupPeriod = 5 * time.Second
	// bootstrapRatio is how many times as many as a peer an instance must know for the peer to know
	// far fewer: counts differ a little all the time while instances come and go, and an
	// introduction to all of 300 is 18 KB (worked out, 60 bytes each).
	bootstrapRatio = 2
	// seedInterval is how long an instance waits for one seed before it tries the next one
	// beside it: seeds may be stale, and all that start ask them.
	seedInterval = 250 * time.Millisecond
	// hubLinkDelay is how long after its start an instance links to hubs of other zones: in
	// a fleet that starts all at once each takes itself for a hub until it was introduced.
	hubLinkDelay = 300 * time.Millisecond
	// dialDelay is how long the one of two hubs with the higher address leaves it to the other
	// to make the link between them.
	dialDelay = 500 * time.Millisecond
	// maxLostTried is how many of the instances of a zone that nobody vouches for any more are
	// tried at a time, beside the hubs: if most of a zone are lost, each that is left may be
	// the hub that the others look for. Those that can't be linked to are tried once. With
	// twelve, what is left of a simulated fleet of 300 after the loss of two thirds finds
	// itself in 10 rounds in place of 40.
	maxLostTried = 12
	// widenInterval is how long an instance tries the hubs of a zone before it tries twice as
	// many: when most of a zone are lost at once, those that are left must find each other
	// among the addresses of the lost ones, which may not even refuse a connection.
	widenInterval = 200 * time.Millisecond
	// maxWidenSteps bounds how often it does so: to 192 instances, more than a zone has.
	maxWidenSteps = 6
	// hubCachePeriod is how long hubs are remembered: candidates change with time, too.
	hubCachePeriod = time.Second
)

// Overlay is a table with the plan that follows from it. It isn't safe for concurrent use.
type Overlay struct {
	*Table
	seeds   []string // in the order in which they are tried
	started time.Time
	random  *rand.Rand

	hubs           map[string][]string // by zone
	lost           map[string][]string // by zone, some that nobody vouches for any more
	hubsChange     uint64              // the table's change at which they were worked out
	hubsAt         time.Time
	hubWantedSince map[string]time.Time // since when hubs that others may link to are wanted
	zoneFound      map[string]bool      // by zone, whether a hub of it has ever told anything
	zoneLostSince  map[string]time.Time // by zone, since when no hub of it has told anything
}

// NewOverlay returns the plan of an instance that has just started. Draw is for what needn't
// be the same everywhere.
func NewOverlay(now time.Time, self Member, draw *rand.Rand) *Overlay {
	return &Overlay{random: draw, Table: NewTable(self), started: now, hubWantedSince: map[string]time.Time{}, zoneFound: map[string]bool{}, zoneLostSince: map[string]time.Time{}}
}

// SetSeeds takes the addresses at which others are to be found. They are tried in an order
// of this instance's own, so that those that start together don't ask the same one.
func (o *Overlay) SetSeeds(addresses []string) {
	o.seeds = slices.Clone(addresses)
	o.random.Shuffle(len(o.seeds), func(i, j int) { o.seeds[i], o.seeds[j] = o.seeds[j], o.seeds[i] })
}

// SeedCount is the number of seeds beside this instance itself.
func (o *Overlay) SeedCount() (n int) {
	for _, s := range o.seeds {
		if s != o.self.Address {
			n++
		}
	}
	return n
}

// KnownCount is the number of other instances that are known, seeds that weren't heard of among
// them.
func (o *Overlay) KnownCount() int {
	n := len(o.members)
	for _, s := range o.seeds {
		if _, met := o.members[s]; !met && s != o.self.Address {
			n++
		}
	}
	return n
}

// IsSeed tells whether others find the fleet by this instance.
func (o *Overlay) IsSeed() bool { return slices.Contains(o.seeds, o.self.Address) }

// allHubs returns the hubs of each known zone.
func (o *Overlay) allHubs(now time.Time) map[string][]string {
	if o.hubs != nil && o.hubsChange == o.change && now.Sub(o.hubsAt) < hubCachePeriod {
		return o.hubs
	}
	o.hubs, o.lost = map[string][]string{}, map[string][]string{}
	for zone, c := range o.candidates(now, maxLostTried) {
		o.lost[zone] = c.recent.addresses()
		o.hubs[zone] = c.strongest(HubsPerZone)
	}
	o.hubsChange, o.hubsAt = o.change, now
	return o.hubs
}

// IsHub tells whether this instance is a hub of its zone, as far as it knows.
func (o *Overlay) IsHub(now time.Time) bool { return o.isHub(now, o.self.Zone, o.self.Address) }

// HubRank is this instance's place among the hubs of its zone, counted from 0; -1 where it
// is none.
func (o *Overlay) HubRank(now time.Time) int {
	return slices.Index(o.allHubs(now)[o.self.Zone], o.self.Address)
}

// RankInZone is how many of its zone within reach go before this instance in the order in which
// hubs are chosen.
func (o *Overlay) RankInZone(now time.Time) int {
	own := rankedOf(&o.self)
	before := 0
	for _, e := range o.members {
		if e.Zone == o.self.Zone && !e.Draining && o.isReachable(now, e) && compareRanked(rankedOf(&e.Member), own) < 0 {
			before++
		}
	}
	return before
}

func (o *Overlay) isHub(now time.Time, zone, address string) bool {
	return slices.Contains(o.allHubs(now)[zone], address)
}

// WantedLinks returns the addresses with which links are to be kept now.
func (o *Overlay) WantedLinks(now time.Time) []string {
	out := append(o.wantedSeeds(now), o.linkTargets(now, o.self.Zone)...)
	if o.IsHub(now) && now.Sub(o.started) >= hubLinkDelay {
		out = append(out, o.wantedHubs(now)...)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(address string) bool { return address == o.self.Address })
}

// linkTargets returns the instances of a zone with which links are to be kept: its hubs, some that
// may be hubs if they are still there, and while no hub of the zone has told anything more
// and more of these.
func (o *Overlay) linkTargets(now time.Time, zone string) []string {
	if o.receivesFrom(zone) {
		o.zoneFound[zone] = true
		delete(o.zoneLostSince, zone)
		return o.hubsAndLost(now, zone)
	}
	if !o.zoneFound[zone] && now.Sub(o.started) < bootstrapPeriod {
		return o.allHubs(now)[zone] // it has just started, as the hubs may have
	}
	since, known := o.zoneLostSince[zone]
	if !known {
		since = now
		o.zoneLostSince[zone] = now
	}
	widened := min(int(now.Sub(since)/widenInterval), maxWidenSteps)
	if widened == 0 {
		return o.hubsAndLost(now, zone)
	}
	most := HubsPerZone << widened
	c := o.candidates(now, most)[zone]
	if c == nil {
		return nil // forgotten
	}
	return c.strongest(most)
}

// hubsAndLost returns the hubs of a zone with some that were lost lately.
func (o *Overlay) hubsAndLost(now time.Time, zone string) []string {
	hubs := o.allHubs(now)[zone]
	return append(slices.Clone(hubs), o.lost[zone]...)
}

// receivesFrom tells whether a hub of a zone tells this instance of others.
func (o *Overlay) receivesFrom(zone string) bool {
	for peer, s := range o.sources {
		if e := o.members[peer]; e != nil && e.Zone == zone && s.kind != None && s.expires.IsZero() {
			return true
		}
	}
	return false
}

// wantedHubs returns the hubs of other zones to which this one, a hub itself, makes links.
func (o *Overlay) wantedHubs(now time.Time) (out []string) {
	since := map[string]time.Time{}
	for zone := range o.allHubs(now) {
		if zone == o.self.Zone {
			continue
		}
		for _, hub := range o.linkTargets(now, zone) {
			first, before := o.hubWantedSince[hub]
			if !before {
				first = now
			}
			since[hub] = first
			if o.self.Address < hub || now.Sub(first) >= dialDelay {
				out = append(out, hub)
			}
		}
	}
	o.hubWantedSince = since
	return out
}

// wantedSeeds returns the seeds to be linked to: all of the others by a seed that has just
// started, and by others one after the other until a hub of the zone is linked to.
func (o *Overlay) wantedSeeds(now time.Time) []string {
	age := now.Sub(o.started)
	if o.IsSeed() && age < startupPeriod {
		return slices.Clone(o.seeds)
	}
	if o.hasJoined(now) {
		return nil
	}
	return slices.Clone(o.seeds[:min(len(o.seeds), 1+int(age/seedInterval))])
}

// hasJoined tells whether the instance has found the fleet: it is linked to a hub of its zone,
// or is a hub itself and linked to anybody.
func (o *Overlay) hasJoined(now time.Time) bool {
	hub := o.IsHub(now)
	for _, e := range o.members {
		if e.linked && (hub || o.isHub(now, o.self.Zone, e.Address)) {
			return hub || e.Zone == o.self.Zone
		}
	}
	return false
}

// ReconnectCandidate returns an address out of reach to be tried, so that parts of a fleet that have lost
// each other find together again. Hubs try one at a time; who has lost all others of its zone
// takes itself for a hub.
func (o *Overlay) ReconnectCandidate(now time.Time) (address string, some bool) {
	if !o.IsHub(now) {
		return "", false
	}
	var out []string
	for _, e := range o.members {
		if !o.isReachable(now, e) {
			out = append(out, e.Address)
		}
	}
	for _, s := range o.seeds {
		if s != o.self.Address && !o.Reachable(now, s) {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return "", false
	}
	slices.Sort(out) // the draw alone decides
	return out[o.random.IntN(len(out))], true
}

// KindFor returns what kind of telling a linked peer gets all the time.
func (o *Overlay) KindFor(now time.Time, peer string) Kind {
	e := o.members[peer]
	if e == nil {
		return None
	}
	hub := o.IsHub(now)
	switch {
	case hub && o.isHub(now, e.Zone, peer):
		return Direct
	case hub && e.Zone == o.self.Zone:
		return Indirect
	case o.IsSeed() && slices.Contains(o.seeds, peer):
		return Indirect
	default:
		return None
	}
}

// SendsBootstrap tells whether a peer that has dialled this instance is introduced to others
// beside: it isn't told of them anyway, and has just started or knows far fewer by its own
// word. Whoever comes to an instance may know nobody else; a seed needn't know that it is one.
func (o *Overlay) SendsBootstrap(now time.Time, peer string, known int) bool {
	e := o.members[peer]
	if e == nil || o.KindFor(now, peer) == Indirect {
		return false
	}
	return now.Sub(e.Started) < startupPeriod || bootstrapRatio*known < o.KnownCount()
}
