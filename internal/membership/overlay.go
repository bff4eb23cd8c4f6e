package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// startupPeriod is how long after its start an instance may know fewer members than others:
	// until then each instance that it links to sends it a Bootstrap update, and seeds link to each
	// other.
	startupPeriod = 5 * time.Second
	// bootstrapRatio is how many times as many members as a peer an instance must know to send it a
	// Bootstrap update: counts always differ a little while instances come and go, and a Bootstrap
	// update of 300 members is 18 KB (60 bytes each).
	bootstrapRatio = 2
	// seedInterval is how long an instance waits for one seed before it tries the next one as well:
	// seeds may be stale, and all starting instances connect to them.
	seedInterval = 250 * time.Millisecond
	// hubLinkDelay is how long after its start an instance links to hubs of other zones: in a fleet
	// that starts all at once, each instance considers itself a hub until it has received a
	// Bootstrap update.
	hubLinkDelay = 300 * time.Millisecond
	// dialDelay is how long the one of two hubs with the higher address waits for the other to make
	// the link between them.
	dialDelay = 500 * time.Millisecond
	// maxLostTried is how many of the instances of a zone that are no longer attested are tried at a
	// time, in addition to the hubs: if most of a zone are lost, each that is left may be the hub that
	// the others look for. Those that can't be linked to are tried once. With twelve, the rest of a
	// simulated fleet of 300 that has lost two thirds converges in 10 rounds instead of 40.
	maxLostTried = 12
	// widenInterval is how long an instance tries the hubs of a zone before it tries twice as many
	// instances: when most of a zone are lost at once, those that are left must find each other among
	// the addresses of the lost ones, which may not even refuse a connection.
	widenInterval = 200 * time.Millisecond
	// maxWidenSteps bounds how often it does so: to 192 instances, more than a zone has.
	maxWidenSteps = 6
	// hubCachePeriod is how long computed hubs are reused while the table doesn't change: candidates
	// also change with the passage of time alone.
	hubCachePeriod = time.Second
)

// Overlay is a Table with the links that an instance should keep. It isn't safe for concurrent use.
type Overlay struct {
	*Table
	seeds   []string // in the order in which they are tried
	started time.Time
	random  *rand.Rand

	hubs           map[string][]string  // by zone
	lost           map[string][]string  // by zone, the strongest instances that were lost recently
	hubsChange     uint64               // the table's change count at which hubs and lost were computed
	hubsAt         time.Time            // when they were computed
	hubWantedSince map[string]time.Time // since when links to hubs of other zones are wanted, by address
	zoneFound      map[string]bool      // by zone, whether a hub of it has ever sent updates
	zoneLostSince  map[string]time.Time // by zone, since when no hub of it sends updates
}

// NewOverlay returns the overlay of an instance that has just started. Random is used for choices that
// may differ between instances.
func NewOverlay(now time.Time, self Member, random *rand.Rand) *Overlay {
	return &Overlay{random: random, Table: NewTable(self), started: now, hubWantedSince: map[string]time.Time{}, zoneFound: map[string]bool{}, zoneLostSince: map[string]time.Time{}}
}

// SetSeeds sets the addresses by which the fleet is found. They are tried in a random order, so that
// instances that start together don't all connect to the same one.
func (o *Overlay) SetSeeds(addresses []string) {
	o.seeds = slices.Clone(addresses)
	o.random.Shuffle(len(o.seeds), func(i, j int) { o.seeds[i], o.seeds[j] = o.seeds[j], o.seeds[i] })
}

// SeedCount returns the number of seeds other than this instance.
func (o *Overlay) SeedCount() (n int) {
	for _, s := range o.seeds {
		if s != o.self.Address {
			n++
		}
	}
	return n
}

// KnownCount returns the number of other instances that are known, including seeds that haven't been
// seen yet.
func (o *Overlay) KnownCount() int {
	n := len(o.members)
	for _, s := range o.seeds {
		if _, met := o.members[s]; !met && s != o.self.Address {
			n++
		}
	}
	return n
}

// IsSeed reports whether this instance is one of the seeds.
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

// IsHub reports whether this instance is a hub of its zone, by what it knows.
func (o *Overlay) IsHub(now time.Time) bool { return o.isHub(now, o.self.Zone, o.self.Address) }

// HubRank returns this instance's place among the hubs of its zone, counted from 0; -1 where it is no
// hub.
func (o *Overlay) HubRank(now time.Time) int {
	return slices.Index(o.allHubs(now)[o.self.Zone], o.self.Address)
}

// ZoneRank returns how many reachable instances of its zone precede this instance in the order by
// which hubs are selected.
func (o *Overlay) ZoneRank(now time.Time) int {
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

// WantedLinks returns the addresses with which this instance should keep links now, in order.
func (o *Overlay) WantedLinks(now time.Time) []string {
	out := append(o.wantedSeeds(now), o.linkTargets(now, o.self.Zone)...)
	if o.IsHub(now) && now.Sub(o.started) >= hubLinkDelay {
		out = append(out, o.wantedHubs(now)...)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(address string) bool { return address == o.self.Address })
}

// linkTargets returns the instances of a zone to link to: its hubs and some recently lost instances,
// which may be hubs if they are still running. While no hub of the zone sends updates, their number
// doubles every widenInterval.
func (o *Overlay) linkTargets(now time.Time, zone string) []string {
	if o.receivesFrom(zone) {
		o.zoneFound[zone] = true
		delete(o.zoneLostSince, zone)
		return o.hubsAndLost(now, zone)
	}
	if !o.zoneFound[zone] && now.Sub(o.started) < bootstrapPeriod {
		return o.allHubs(now)[zone] // this instance has just started, and the hubs may have, too
	}
	since, known := o.zoneLostSince[zone]
	if !known {
		since = now
		o.zoneLostSince[zone] = now
	}
	steps := min(int(now.Sub(since)/widenInterval), maxWidenSteps)
	if steps == 0 {
		return o.hubsAndLost(now, zone)
	}
	limit := HubsPerZone << steps
	c := o.candidates(now, limit)[zone]
	if c == nil {
		return nil // all members of the zone were forgotten
	}
	return c.strongest(limit)
}

// hubsAndLost returns the hubs of a zone and some instances of it that were lost recently.
func (o *Overlay) hubsAndLost(now time.Time, zone string) []string {
	hubs := o.allHubs(now)[zone]
	return append(slices.Clone(hubs), o.lost[zone]...)
}

// receivesFrom reports whether a hub of a zone sends updates to this instance.
func (o *Overlay) receivesFrom(zone string) bool {
	for peer, s := range o.sources {
		if e := o.members[peer]; e != nil && e.Zone == zone && s.kind != None && s.expires.IsZero() {
			return true
		}
	}
	return false
}

// wantedHubs returns the hubs of other zones to which this instance, a hub itself, makes links.
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

// wantedSeeds returns the seeds to link to. A seed that has just started links to all other seeds.
// Other instances try one after the other until they have joined the fleet.
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

// hasJoined reports whether the instance has found the fleet: it is linked to a hub of its zone, or
// is a hub itself and linked to any instance.
func (o *Overlay) hasJoined(now time.Time) bool {
	hub := o.IsHub(now)
	for _, e := range o.members {
		if e.linked && (hub || o.isHub(now, o.self.Zone, e.Address)) {
			return hub || e.Zone == o.self.Zone
		}
	}
	return false
}

// ReconnectCandidate returns a random unreachable address to be tried, so that the parts of a fleet
// find each other again after a partition. Only hubs try, one address at a time; an instance that has
// lost all others of its zone is a hub by its own computation.
func (o *Overlay) ReconnectCandidate(now time.Time) (address string, found bool) {
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
	slices.Sort(out) // so that the result depends on the random source only
	return out[o.random.IntN(len(out))], true
}

// KindFor returns the kind of updates that a linked peer gets continuously.
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

// SendsBootstrap reports whether a peer that has dialled this instance gets a Bootstrap update: it
// gets no Indirect updates, and has just started or reports that it knows far fewer instances. This
// holds on every instance, not only on seeds: any instance may be the only one that the peer knows,
// and one that others use as a seed may not know that it is a seed.
func (o *Overlay) SendsBootstrap(now time.Time, peer string, known int) bool {
	e := o.members[peer]
	if e == nil || o.KindFor(now, peer) == Indirect {
		return false
	}
	return now.Sub(e.Started) < startupPeriod || bootstrapRatio*known < o.KnownCount()
}
