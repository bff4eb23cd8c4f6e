package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// step is the time between two rounds, the interval at which the peer package maintains links.
const step = 100 * time.Millisecond

// simulated is a simulated fleet in which links come up within a round and updates arrive in the next
// one.
type simulated struct {
	now         time.Time
	instances   map[string]*instance
	order       []string         // in which they act, for repeatable runs
	partitioned map[string]bool  // by zone
	poweredOff  map[string]bool  // addresses that don't even refuse a link
	scheduled   map[int][]func() // by the round in which they are called
	rounds      int
	random      *rand.Rand
	sent        int // records sent in the last round
}

type instance struct {
	self     Member
	overlay  *Overlay
	links    map[string]bool
	dialled  map[string]bool // links that this side dialled
	sentUpTo map[string]sentState
	inbox    []message
	frozen   bool
}

// sentState is the change counts up to which updates were sent over a link.
type sentState struct {
	kind      Kind
	change    uint64
	bootstrap uint64
}

type message struct {
	from   string
	update *Update
}

func newSimulated(seed uint64) *simulated {
	return &simulated{now: time.Unix(1000, 0), instances: map[string]*instance{}, partitioned: map[string]bool{}, poweredOff: map[string]bool{}, scheduled: map[int][]func(){}, random: rand.New(rand.NewPCG(seed, 1))}
}

func addressOf(n int) string { return fmt.Sprintf("10.%d.%d.%d:7000", n%6, n/250, n%250) }

// start starts a process at an address, with a new incarnation.
func (s *simulated) start(address, zone string, cores float64, seeds []string) {
	m := Member{Address: address, Zone: zone, Incarnation: s.random.Uint64() | 1, Cores: cores, Started: s.now}
	i := &instance{self: m, overlay: NewOverlay(s.now, m, rand.New(rand.NewPCG(s.random.Uint64(), 2))), links: map[string]bool{}, dialled: map[string]bool{}, sentUpTo: map[string]sentState{}}
	i.overlay.SetSeeds(seeds)
	if s.instances[address] == nil && !slices.Contains(s.order, address) {
		s.order = append(s.order, address)
	}
	s.instances[address] = i
}

// startFleet starts n instances in six zones; one in sixteen has more cores.
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

// The numbers of rounds after which a silent link and a dial without any response are detected.
const (
	silentRounds = 20
	failedRounds = 3
)

// powerOff stops an instance without closing its links.
func (s *simulated) powerOff(address string) {
	delete(s.instances, address)
	s.poweredOff[address] = true
	s.after(silentRounds, func() { s.endLinks(address) })
}

// after schedules a function call a number of rounds later.
func (s *simulated) after(rounds int, f func()) {
	at := s.rounds + rounds
	s.scheduled[at] = append(s.scheduled[at], f)
}

// endLinks ends all links of an address, which both sides detect.
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
			delete(i.sentUpTo, side[1])
			i.overlay.LinkDown(s.now, side[1])
		}
	}
}

// setPartitioned sets whether a zone is partitioned from all others.
func (s *simulated) setPartitioned(zone string, partitioned bool) {
	s.partitioned[zone] = partitioned
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
	return a.self.Zone == b.self.Zone || (!s.partitioned[a.self.Zone] && !s.partitioned[b.self.Zone])
}

// round makes each instance, in random order, receive, link and send once.
func (s *simulated) round() {
	s.now = s.now.Add(step)
	s.rounds++
	for _, f := range s.scheduled[s.rounds] {
		f()
	}
	delete(s.scheduled, s.rounds)
	s.sent = 0
	s.random.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
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
		if i.links[m.from] { // messages over a link that has ended are lost
			i.overlay.Merge(s.now, m.from, m.update)
		}
	}
	i.overlay.Tick(s.now)
	want := i.overlay.WantedLinks(s.now)
	if candidate, found := i.overlay.ReconnectCandidate(s.now); found {
		want = append(want, candidate)
	}
	for _, other := range want {
		s.dial(address, i, other)
	}
	for _, other := range slices.Sorted(maps.Keys(i.links)) {
		s.send(address, i, other)
	}
}

func (s *simulated) dial(address string, i *instance, other string) {
	o := s.instances[other]
	if i.links[other] {
		return
	}
	switch {
	case s.poweredOff[other]:
		s.after(failedRounds, func() { i.overlay.LinkFailed(s.now, other) })
		return
	case o == nil || !s.reaches(i, o):
		i.overlay.LinkFailed(s.now, other)
		return
	}
	i.links[other], o.links[address] = true, true
	i.dialled[other] = true
	i.overlay.LinkUp(s.now, o.self)
	o.overlay.LinkUp(s.now, i.self)
}

func (s *simulated) send(address string, i *instance, other string) {
	o := s.instances[other]
	if o == nil {
		return // it is powered off
	}
	sent := i.sentUpTo[other]
	retract := false
	if kind := i.overlay.KindFor(s.now, other); kind != sent.kind {
		sent.kind, sent.change = kind, 0
		retract = kind == None
	}
	send := func(kind Kind, since uint64) uint64 {
		update, change := i.overlay.UpdateSince(s.now, kind, since)
		if len(update.Records) > 0 || update.Full {
			o.inbox = append(o.inbox, message{address, update})
			s.sent += len(update.Records)
		}
		return change
	}
	if sent.kind != None || retract {
		sent.change = send(sent.kind, sent.change)
	}
	if !i.dialled[other] && i.overlay.SendsBootstrap(s.now, other, o.overlay.KnownCount()) {
		sent.bootstrap = send(Bootstrap, sent.bootstrap)
	}
	i.sentUpTo[other] = sent
}

// mismatch returns one wrong entry of an instance's table, "" if there is none: exactly the instances
// that it can reach must be reachable in it, with their current incarnations.
func (s *simulated) mismatch() string {
	for _, address := range slices.Sorted(maps.Keys(s.instances)) {
		i := s.instances[address]
		reachable := 0
		for _, m := range i.overlay.Members(s.now) {
			o := s.instances[m.Address]
			running := o != nil && s.reaches(i, o)
			if m.Reachable != running {
				return fmt.Sprintf("%s: %s reachable %v, want %v", address, m.Address, m.Reachable, running)
			}
			if running && m.Incarnation != o.self.Incarnation {
				return fmt.Sprintf("%s has an old incarnation of %s", address, m.Address)
			}
			if m.Reachable {
				reachable++
			}
		}
		expected := 0
		for _, o := range s.instances {
			if o != i && s.reaches(i, o) {
				expected++
			}
		}
		if reachable != expected {
			return fmt.Sprintf("%s has %d reachable of %d", address, reachable, expected)
		}
	}
	return ""
}

// converge runs rounds until all tables are right, and returns their number.
func (s *simulated) converge(t *testing.T, limit int) int {
	t.Helper()
	for n := 1; n <= limit; n++ {
		s.round()
		if s.mismatch() == "" {
			return n
		}
	}
	t.Fatalf("not within %d rounds: %s", limit, s.mismatch())
	return 0
}

// settle runs rounds for a duration.
func (s *simulated) settle(d time.Duration) {
	for range int(d / step) {
		s.round()
	}
}
