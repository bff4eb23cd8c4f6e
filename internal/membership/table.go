package membership

import "time"

const (
	// HubsPerZone is how many hubs an availability zone has: one may be lost and one stand
	// still while the third still vouches for the zone.
	HubsPerZone = 3
	// bootstrapPeriod is how long an instance that was introduced counts as within reach
	// before anybody vouches for it: links to hubs are up within some 0.1 s, in a fleet that
	// starts all at once within a second.
	bootstrapPeriod = 2 * time.Second
	// candidatePeriod is how long an instance that nobody vouches for any more may still be
	// taken for a hub, unless a link to it has failed. When all hubs of a zone are lost at
	// once, its instances choose the next ones out of what the lost ones told last.
	candidatePeriod = 10 * time.Second
	// holdPeriod is how long what the last hub of the own zone told still counts after its link
	// has ended: until the next hubs are linked to and have told.
	holdPeriod = time.Second
	// forgetAfter is how long an instance is known that nobody vouches for. One that is cut
	// off is back within it, and is still counted as a part of the fleet meanwhile.
	forgetAfter = time.Minute
)

// Table is what one instance knows of all. It isn't safe for concurrent use.
type Table struct {
	self    Member
	members map[string]*entry
	sources map[string]*source // tellings by the peer that told them
	change  uint64             // counts changes of what is told
}

// source is what one peer has told and hasn't taken back.
type source struct {
	kind     Kind
	attested map[string]uint64 // incarnations by address
	expires  time.Time         // it counts, after its link has ended; zero before
}

// Status of a member.
type Status struct {
	Member
	// Reachable tells whether anybody vouches for it.
	Reachable bool
}

// NewTable returns the table of an instance that knows no other.
func NewTable(self Member) *Table {
	return &Table{self: self, members: map[string]*entry{}, sources: map[string]*source{}}
}

// ChangeCount counts the changes of which members there are and which are within reach, but for
// those that come with time alone.
func (t *Table) ChangeCount() uint64 { return t.change }

// Member returns what is known of an address.
func (t *Table) Member(address string) (Member, bool) {
	e := t.members[address]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// SetSelfDraining notes whether this instance itself drains: then it is no hub.
func (t *Table) SetSelfDraining(drains bool) { t.self.Draining = drains }

// LinkUp notes that a link to a member is up, which is proof of its process.
func (t *Table) LinkUp(now time.Time, m Member) {
	if m.Address == t.self.Address {
		return
	}
	e := t.entry(m.Address)
	if e.Incarnation == m.Incarnation {
		m.Draining = e.Draining // told by heartbeats
	}
	e.update(m, true)
	e.linked = true
	t.reevaluate(now, e)
}

// SetDraining notes what a member says of itself.
func (t *Table) SetDraining(now time.Time, address string, drains bool) {
	e := t.members[address]
	if e == nil || e.Draining == drains {
		return
	}
	e.Draining = drains
	t.reevaluate(now, e)
}

// LinkDown notes that the last link to a member has ended: it vouches for nobody any more.
func (t *Table) LinkDown(now time.Time, address string) {
	t.dropOrHoldSource(now, address)
	t.LinkFailed(now, address)
	if e := t.members[address]; e != nil {
		e.linked = false
		t.reevaluate(now, e)
	}
}

// LinkFailed notes that no link to a member could be made: until somebody vouches for it anew it
// isn't taken for a hub.
func (t *Table) LinkFailed(now time.Time, address string) {
	if e := t.members[address]; e != nil {
		e.linkFailedAt = now
	}
}

// dropOrHoldSource takes back what a peer has told, at once or, where it was the last that told of the
// whole fleet, after a while.
func (t *Table) dropOrHoldSource(now time.Time, peer string) {
	s := t.sources[peer]
	e := t.members[peer]
	if s == nil || s.kind != Indirect || e == nil || e.Zone != t.self.Zone || t.indirectSources() > 1 {
		t.dropSource(now, peer)
		return
	}
	s.expires = now.Add(holdPeriod)
	delete(s.attested, peer)
}

func (t *Table) indirectSources() (n int) {
	for _, s := range t.sources {
		if s.kind == Indirect {
			n++
		}
	}
	return n
}

// dropHeldSources drops what was held of other peers, once it is too old or somebody has told anew.
func (t *Table) dropHeldSources(now time.Time, all bool) {
	for peer, s := range t.sources {
		if !s.expires.IsZero() && (all || now.After(s.expires)) {
			t.dropSource(now, peer)
		}
	}
}

// Tick lets time pass: it forgets members for which nobody has vouched for long.
func (t *Table) Tick(now time.Time) {
	t.dropHeldSources(now, false)
	t.forget(now)
}

// dropSource takes back all that a peer has told.
func (t *Table) dropSource(now time.Time, peer string) {
	s := t.sources[peer]
	delete(t.sources, peer)
	if s == nil {
		return
	}
	for address := range s.attested {
		if e := t.members[address]; e != nil {
			t.reevaluate(now, e)
		}
	}
}

// Merge takes what a peer tells.
func (t *Table) Merge(now time.Time, from string, told *Update) {
	if told.Kind == Bootstrap {
		t.mergeBootstrap(now, told.Records)
		return
	}
	s := t.sources[from]
	if s == nil || told.Full || s.kind != told.Kind {
		t.dropSource(now, from)
		s = &source{kind: told.Kind, attested: map[string]uint64{}}
		t.sources[from] = s
	}
	defer t.dropHeldSources(now, told.Kind == Indirect)
	for i := range told.Records {
		t.mergeRecord(now, s, &told.Records[i])
	}
}

func (t *Table) mergeRecord(now time.Time, s *source, n *Record) {
	if n.Address == "" || n.Address == t.self.Address {
		return
	}
	if n.Removed {
		delete(s.attested, n.Address)
		if e := t.members[n.Address]; e != nil {
			t.reevaluate(now, e)
		}
		return
	}
	e := t.entry(n.Address)
	if !e.update(t.receivedMember(now, e, n), false) {
		return
	}
	known := s.attested[n.Address] == n.Incarnation
	s.attested[n.Address] = n.Incarnation
	if known {
		t.reevaluateIfChanged(now, e)
		return
	}
	t.reevaluate(now, e)
}

// mergeBootstrap takes introductions.
func (t *Table) mergeBootstrap(now time.Time, news []Record) {
	for i := range news {
		n := &news[i]
		if n.Address == "" || n.Address == t.self.Address || n.Removed {
			continue
		}
		e := t.entry(n.Address)
		if e.update(t.receivedMember(now, e, n), false) {
			e.bootstrappedAt = now
			t.reevaluateIfChanged(now, e)
		}
	}
}

// receivedMember returns the member that news is of. What an instance itself says of draining goes
// before what others say.
func (t *Table) receivedMember(now time.Time, e *entry, n *Record) Member {
	m := n.member(now)
	if e.linked && e.Incarnation == m.Incarnation {
		m.Draining = e.Draining
	}
	return m
}

func (t *Table) entry(address string) *entry {
	e := t.members[address]
	if e == nil {
		e = &entry{Member: Member{Address: address}}
		t.members[address] = e
	}
	return e
}

// reevaluate works out anew who vouches for a member, and notes whether that or the member itself
// has changed.
func (t *Table) reevaluate(now time.Time, e *entry) {
	was := e.alive
	e.hubLinked, e.alive = e.linked, e.linked
	for _, s := range t.sources {
		if incarnation, told := s.attested[e.Address]; told && incarnation == e.Incarnation {
			e.alive = true
			e.hubLinked = e.hubLinked || s.kind == Direct
		}
	}
	if was || e.alive {
		e.lastAliveAt = now
		e.everAlive = true
	}
	known := publishedState{e.Member, e.linked, e.hubLinked, e.alive}
	if e.changedAt == 0 || known != e.published {
		t.change++
		e.changedAt = t.change
		e.published = known
	}
}

// reevaluateIfChanged weighs a member for which nobody else vouches than before, if it has changed.
func (t *Table) reevaluateIfChanged(now time.Time, e *entry) {
	if e.changedAt == 0 || e.Member != e.published.Member {
		t.reevaluate(now, e)
	}
}

// isReachable tells whether a member counts as within reach.
func (t *Table) isReachable(now time.Time, e *entry) bool {
	hoped := !e.everAlive && e.bootstrappedAt.After(e.linkFailedAt) && now.Sub(e.bootstrappedAt) < bootstrapPeriod
	return e.alive || hoped
}

// Reachable tells whether a member is known to be within reach.
func (t *Table) Reachable(now time.Time, address string) bool {
	e := t.members[address]
	return e != nil && t.isReachable(now, e)
}

// Members returns all that are known, in no order.
func (t *Table) Members(now time.Time) []Status {
	out := make([]Status, 0, len(t.members))
	for _, e := range t.members {
		out = append(out, Status{Member: e.Member, Reachable: t.isReachable(now, e)})
	}
	return out
}

func (t *Table) forget(now time.Time) {
	for address, e := range t.members {
		last := e.lastAliveAt
		if e.bootstrappedAt.After(last) {
			last = e.bootstrappedAt
		}
		if !e.alive && now.Sub(last) > forgetAfter {
			delete(t.members, address)
			t.change++
		}
	}
}

// UpdateSince returns what is to be told in a telling of a kind beyond what was told at a change
// before, 0 for the first, and the change up to which it tells.
func (t *Table) UpdateSince(now time.Time, k Kind, since uint64) (*Update, uint64) {
	told := &Update{Kind: k, Full: since == 0}
	if k == None || since == t.change {
		return told, t.change
	}
	for _, e := range t.members {
		gone := !t.includes(now, k, e)
		if e.changedAt > since && (!gone || since > 0) {
			told.Records = append(told.Records, e.record(now, gone))
		}
	}
	return told, t.change
}

// includes includes whether a member belongs in a telling of a kind.
func (t *Table) includes(now time.Time, k Kind, e *entry) bool {
	switch k {
	case Direct:
		return e.linked && e.Zone == t.self.Zone
	case Indirect:
		return e.hubLinked
	default:
		return e.alive
	}
}
