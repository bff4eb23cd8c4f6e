package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// step is the time between two rounds: a tenth of a second, as the peer package tends links.
const step = 100 * time.Millisecond

// simulated is a fleet in which links come up within a round and what is told arrives in the
// next one.
type simulated struct {
	now       time.Time
	instances map[string]*instance
	order     []string // in which they act, for repeatable runs
	cut       map[string]bool
	dark      map[string]bool  // without power: they don't even refuse a link
	later     map[int][]func() // what happens in a later round
	rounds    int
	draw      *rand.Rand
	told      int // members that were told in the last round
}

type instance struct {
	self    Member
	plan    *Overlay
	links   map[string]bool
	dialled map[string]bool // the links that this side dialled
	upTo    map[string]toldTo
	inbox   []message
	frozen  bool
}

type toldTo struct {
	kind       Kind
	change     uint64
	introduced uint64
}

type message struct {
	from    string
	telling *Update
}

func newSimulated(seed uint64) *simulated {
	return &simulated{now: time.Unix(1000, 0), instances: map[string]*instance{}, cut: map[string]bool{}, dark: map[string]bool{}, later: map[int][]func(){}, draw: rand.New(rand.NewPCG(seed, 1))}
}

func addressOf(n int) string { return fmt.Sprintf("10.%d.%d.%d:7000", n%6, n/250, n%250) }

// start starts a process at an address; the incarnation is never one of before.
func (s *simulated) start(address, zone string, cores float64, seeds []string) {
	m := Member{Address: address, Zone: zone, Incarnation: s.draw.Uint64() | 1, Cores: cores, Started: s.now}
	i := &instance{self: m, plan: NewOverlay(s.now, m, rand.New(rand.NewPCG(s.draw.Uint64(), 2))), links: map[string]bool{}, dialled: map[string]bool{}, upTo: map[string]toldTo{}}
	i.plan.SetSeeds(seeds)
	if s.instances[address] == nil && !slices.Contains(s.order, address) {
		s.order = append(s.order, address)
	}
	s.instances[address] = i
}

// startFleet starts n instances in six zones; one in sixteen is strong.
func startFleet(seed uint64, n int) (*simulated, []string) {
	s := newSimulated(seed)
	seeds := []string{addressOf(0), addressOf(1), addressOf(2)}
	for k := range n {
		cores := 0.2
		if k%16 == 5 {
			cores = 0.8
		}
		s.start(addressOf(k), fmt.Sprintf("zone-%d", k%6), cores, seeds)
	}
	return s, seeds
}

func (s *simulated) stop(address string) {
	delete(s.instances, address)
	s.endLinks(address)
}

// The rounds after which silence on a link and a dial without any answer are noticed.
const (
	silentRounds = 20
	failedRounds = 3
)

// darken takes an instance's power.
func (s *simulated) darken(address string) {
	delete(s.instances, address)
	s.dark[address] = true
	s.in(silentRounds, func() { s.endLinks(address) })
}

// in lets something happen so many rounds later.
func (s *simulated) in(rounds int, f func()) {
	at := s.rounds + rounds
	s.later[at] = append(s.later[at], f)
}

// endLinks ends all links of an address, which both sides notice.
func (s *simulated) endLinks(address string) {
	for _, other := range slices.Sorted(maps.Keys(s.instances)) {
		if s.instances[other].links[address] {
			s.endLink(other, address)
		}
	}
}

func (s *simulated) endLink(a, b string) {
	for _, side := range [][2]string{{a, b}, {b, a}} {
		if i := s.instances[side[0]]; i != nil && i.links[side[1]] {
			delete(i.links, side[1])
			delete(i.dialled, side[1])
			delete(i.upTo, side[1])
			i.plan.LinkDown(s.now, side[1])
		}
	}
}

// cutZone cuts a zone off, or heals it.
func (s *simulated) cutZone(zone string, cut bool) {
	s.cut[zone] = cut
	for _, a := range slices.Sorted(maps.Keys(s.instances)) {
		i := s.instances[a]
		for _, b := range slices.Sorted(maps.Keys(i.links)) {
			if o := s.instances[b]; o != nil && !s.reaches(i, o) {
				s.endLink(a, b)
			}
		}
	}
}

func (s *simulated) reaches(a, b *instance) bool {
	return a.self.Zone == b.self.Zone || (!s.cut[a.self.Zone] && !s.cut[b.self.Zone])
}

// round lets each instance, in an order drawn anew, hear, link and tell once.
func (s *simulated) round() {
	s.now = s.now.Add(step)
	s.rounds++
	for _, f := range s.later[s.rounds] {
		f()
	}
	delete(s.later, s.rounds)
	s.told = 0
	s.draw.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	for _, address := range s.order {
		if i := s.instances[address]; i != nil && !i.frozen {
			s.act(address, i)
		}
	}
}

func (s *simulated) act(address string, i *instance) {
	inbox := i.inbox
	i.inbox = nil
	for _, m := range inbox {
		if i.links[m.from] { // what a link that has ended brought is lost with it
			i.plan.Merge(s.now, m.from, m.telling)
		}
	}
	i.plan.Tick(s.now)
	want := i.plan.WantedLinks(s.now)
	if probe, some := i.plan.ReconnectCandidate(s.now); some {
		want = append(want, probe)
	}
	for _, other := range want {
		s.dial(address, i, other)
	}
	for _, other := range slices.Sorted(maps.Keys(i.links)) {
		s.tell(address, i, other)
	}
}

func (s *simulated) dial(address string, i *instance, other string) {
	o := s.instances[other]
	if i.links[other] {
		return
	}
	switch {
	case s.dark[other]:
		s.in(failedRounds, func() { i.plan.LinkFailed(s.now, other) })
		return
	case o == nil || !s.reaches(i, o):
		i.plan.LinkFailed(s.now, other)
		return
	}
	i.links[other], o.links[address] = true, true
	i.dialled[other] = true
	i.plan.LinkUp(s.now, o.self)
	o.plan.LinkUp(s.now, i.self)
}

func (s *simulated) tell(address string, i *instance, other string) {
	o := s.instances[other]
	if o == nil {
		return // it is without power
	}
	upTo := i.upTo[other]
	retract := false
	if kind := i.plan.KindFor(s.now, other); kind != upTo.kind {
		upTo.kind, upTo.change = kind, 0
		retract = kind == None
	}
	send := func(kind Kind, since uint64) uint64 {
		told, change := i.plan.UpdateSince(s.now, kind, since)
		if len(told.Records) > 0 || told.Full {
			o.inbox = append(o.inbox, message{address, told})
			s.told += len(told.Records)
		}
		return change
	}
	if upTo.kind != None || retract {
		upTo.change = send(upTo.kind, upTo.change)
	}
	if !i.dialled[other] && i.plan.SendsBootstrap(s.now, other, o.plan.KnownCount()) {
		upTo.introduced = send(Bootstrap, upTo.introduced)
	}
	i.upTo[other] = upTo
}

// wrong returns one thing that an instance believes and that isn't so, "" if there is none:
// it must hold within reach just those that it can reach, with their processes of today.
func (s *simulated) wrong() string {
	for _, address := range slices.Sorted(maps.Keys(s.instances)) {
		i := s.instances[address]
		inReach := 0
		for _, m := range i.plan.Members(s.now) {
			o := s.instances[m.Address]
			there := o != nil && s.reaches(i, o)
			if m.Reachable != there {
				return fmt.Sprintf("%s: %s in reach %v, is there %v", address, m.Address, m.Reachable, there)
			}
			if there && m.Incarnation != o.self.Incarnation {
				return fmt.Sprintf("%s holds an old process of %s", address, m.Address)
			}
			if m.Reachable {
				inReach++
			}
		}
		owed := 0
		for _, o := range s.instances {
			if o != i && s.reaches(i, o) {
				owed++
			}
		}
		if inReach != owed {
			return fmt.Sprintf("%s has %d in reach of %d", address, inReach, owed)
		}
	}
	return ""
}

// converge plays rounds until all beliefs are right, and returns how many it took.
func (s *simulated) converge(t *testing.T, most int) int {
	t.Helper()
	for n := 1; n <= most; n++ {
		s.round()
		if s.wrong() == "" {
			return n
		}
	}
	t.Fatalf("not within %d rounds: %s", most, s.wrong())
	return 0
}

// settle plays rounds for a time.
func (s *simulated) settle(d time.Duration) {
	for range int(d / step) {
		s.round()
	}
}
