package membership

import (
	"time"

	"github.com/tacktally/tacktally/internal/reach"
)

const (
	// HubsPerZone is the number of hubs of an availability zone: one may be lost and one paused
	// while the third still attests the zone's instances.
	HubsPerZone = 3
	// bootstrapPeriod is how long an instance from a Bootstrap update counts as reachable before any
	// peer attests it: links to hubs are up within about 0.1 s, in a fleet that starts all at once
	// within a second.
	bootstrapPeriod = 2 * time.Second
	// candidatePeriod is how long an instance that is no longer attested may still become a hub,
	// unless a link to it has failed. When all hubs of a zone are lost at once, its instances compute
	// the next ones from the last updates of the lost ones.
	candidatePeriod = 10 * time.Second
	// holdPeriod is how long the updates of the last hub of this instance's zone still count after the
	// link to it has ended: until the next hubs are linked and have sent theirs.
	holdPeriod = time.Second
	// forgetAfter is how long an instance that is no longer attested stays known. One that is cut off
	// by a network partition is back within this time, and counts as a part of the fleet meanwhile.
	forgetAfter = time.Minute
)

// Table is what one instance knows of all other instances. It isn't safe for concurrent use.
type Table struct {
	self    Member
	members map[string]*entry
	sources map[string]*source // by the peer that sent the updates
	change  uint64             // counts changes of what updates to peers contain
}

// source is what one peer has sent and not withdrawn.
type source struct {
	kind     Kind
	attested map[string]uint64 // incarnations by address
	expires  time.Time         // set once its link has ended, when it is held for a while
}

// Status is a member and whether it is reachable.
type Status struct {
	Member
	// Reachable reports whether any peer attests it.
	Reachable bool
}

// NewTable returns the table of an instance that knows no other.
func NewTable(self Member) *Table {
	return &Table{self: self, members: map[string]*entry{}, sources: map[string]*source{}}
}

// ChangeCount returns the number of changes so far of the members and of their reachability. Changes
// that come with the passage of time alone don't count.
func (t *Table) ChangeCount() uint64 { return t.change }

// Member returns what is known of an address.
func (t *Table) Member(address string) (Member, bool) {
	e := t.members[address]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// SetSelfDraining sets whether this instance drains. A draining instance is no hub.
func (t *Table) SetSelfDraining(draining bool) { t.self.Draining = draining }

// LinkUp records that a link to a member is up, which is proof of its process.
func (t *Table) LinkUp(now time.Time, m Member) {
	if m.Address == t.self.Address {
		return
	}
	e := t.entry(m.Address)
	if e.Incarnation == m.Incarnation {
		m.Draining, m.Reach = e.Draining, e.Reach // known from heartbeats
	}
	e.update(m, true)
	e.linked = true
	t.reevaluate(now, e)
}

// SetReported records whether a member reports that it drains, and that it reaches upstreams.
func (t *Table) SetReported(now time.Time, address string, draining bool, reached reach.State) {
	e := t.members[address]
	if e == nil || (e.Draining == draining && e.Reach == reached) {
		return
	}
	e.Draining, e.Reach = draining, reached
	t.reevaluate(now, e)
}

// LinkDown records that the last link to a member has ended: it no longer attests other members.
func (t *Table) LinkDown(now time.Time, address string) {
	t.dropOrHoldSource(now, address)
	t.LinkFailed(now, address)
	if e := t.members[address]; e != nil {
		e.linked = false
		e.useReceived()
		t.reevaluate(now, e)
	}
}

// useReceived takes from the last record what the link that has ended said of the member: from now on only
// records tell its changes, and the last one may have been received while the link was up.
func (e *entry) useReceived() {
	if e.received.incarnation != e.Incarnation {
		e.Reach = reach.Unknown
		return
	}
	e.Reach = e.received.reach
	e.Draining = e.Draining || e.received.draining // a process that drains goes on to
}

// LinkFailed records that no link to a member could be made: it is no hub candidate until it is
// attested again.
func (t *Table) LinkFailed(now time.Time, address string) {
	if e := t.members[address]; e != nil {
		e.linkFailedAt = now
	}
}

// dropOrHoldSource drops what a peer has sent. It holds it for holdPeriod instead where the peer is in
// this instance's zone and was the only source of Indirect updates, which cover the whole fleet.
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

// dropHeldSources drops held sources that have expired, or all of them.
func (t *Table) dropHeldSources(now time.Time, all bool) {
	for peer, s := range t.sources {
		if !s.expires.IsZero() && (all || now.After(s.expires)) {
			t.dropSource(now, peer)
		}
	}
}

// Tick drops the updates of lost hubs that were held for holdPeriod, and forgets members that have
// not been attested for forgetAfter.
func (t *Table) Tick(now time.Time) {
	t.dropHeldSources(now, false)
	t.forget(now)
}

// dropSource withdraws all that a peer has sent.
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

// Merge merges an update from a peer. An Indirect one also replaces the updates of lost hubs that are
// still held, see holdPeriod.
func (t *Table) Merge(now time.Time, from string, update *Update) {
	defer t.mergeLost(now, update.Lost)
	if update.Kind == Bootstrap {
		t.mergeBootstrap(now, update.Records)
		return
	}
	s := t.sources[from]
	if s == nil || update.Full || s.kind != update.Kind {
		t.dropSource(now, from)
		s = &source{kind: update.Kind, attested: map[string]uint64{}}
		t.sources[from] = s
	}
	defer t.dropHeldSources(now, update.Kind == Indirect)
	for i := range update.Records {
		t.mergeRecord(now, s, &update.Records[i])
	}
}

func (t *Table) mergeRecord(now time.Time, s *source, r *Record) {
	if r.Address == "" || r.Address == t.self.Address {
		return
	}
	if r.Removed {
		delete(s.attested, r.Address)
		if e := t.members[r.Address]; e != nil {
			t.reevaluate(now, e)
		}
		return
	}
	e := t.entry(r.Address)
	if !e.update(t.receivedMember(now, e, r), false) {
		return
	}
	known := s.attested[r.Address] == r.Incarnation
	s.attested[r.Address] = r.Incarnation
	if known {
		t.reevaluateIfChanged(now, e)
		return
	}
	t.reevaluate(now, e)
}

// mergeBootstrap merges the records of a Bootstrap update.
func (t *Table) mergeBootstrap(now time.Time, records []Record) {
	for i := range records {
		r := &records[i]
		if r.Address == "" || r.Address == t.self.Address || r.Removed {
			continue
		}
		e := t.entry(r.Address)
		if e.update(t.receivedMember(now, e, r), false) {
			e.bootstrappedAt = now
			t.reevaluateIfChanged(now, e)
		}
	}
}

// mergeLost adds lost members that aren't known: an instance that starts on one side of a partition would take that side for
// the whole fleet. They are forgotten when the sender forgets them.
func (t *Table) mergeLost(now time.Time, records []Record) {
	for i := range records {
		r := &records[i]
		if r.Address == "" || r.Address == t.self.Address || t.members[r.Address] != nil || r.LostFor < 0 || r.LostFor > forgetAfter {
			continue
		}
		e := t.entry(r.Address)
		e.update(r.member(now), false)
		e.lastAliveAt = now.Add(-r.LostFor)
		t.reevaluate(now, e)
	}
}

// lost returns the records of the members that aren't reachable and haven't said that they are leaving.
func (t *Table) lost(now time.Time) (out []Record) {
	for _, e := range t.members {
		if known := now.Sub(e.lastKnownAt()); !e.Draining && !t.isReachable(now, e) && known <= forgetAfter {
			r := e.record(now, false)
			r.LostFor = known
			out = append(out, r)
		}
	}
	return out
}

// receivedMember returns the member that a record describes. Whether a linked member drains and reaches
// upstreams is known from the member itself, which takes precedence over the record.
func (t *Table) receivedMember(now time.Time, e *entry, r *Record) Member {
	m := r.member(now)
	e.received = receivedState{r.Incarnation, r.Draining, r.Reach}
	if e.linked && e.Incarnation == m.Incarnation {
		m.Draining, m.Reach = e.Draining, e.Reach
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

// reevaluate recomputes which sources attest a member, and counts a change where that or the member
// itself has changed.
func (t *Table) reevaluate(now time.Time, e *entry) {
	was := e.alive
	e.hubLinked, e.alive = e.linked, e.linked
	for _, s := range t.sources {
		if incarnation, attested := s.attested[e.Address]; attested && incarnation == e.Incarnation {
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

// reevaluateIfChanged reevaluates a member whose attestations are unchanged, if the member itself has
// changed.
func (t *Table) reevaluateIfChanged(now time.Time, e *entry) {
	if e.changedAt == 0 || e.Member != e.published.Member {
		t.reevaluate(now, e)
	}
}

// isReachable reports whether a member counts as reachable: it is attested, or was received in a
// Bootstrap update recently and has never been attested.
func (t *Table) isReachable(now time.Time, e *entry) bool {
	bootstrapped := !e.everAlive && e.bootstrappedAt.After(e.linkFailedAt) && now.Sub(e.bootstrappedAt) < bootstrapPeriod
	return e.alive || bootstrapped
}

// Reachable reports whether a member is known to be reachable.
func (t *Table) Reachable(now time.Time, address string) bool {
	e := t.members[address]
	return e != nil && t.isReachable(now, e)
}

// Members returns all known members, in no particular order.
func (t *Table) Members(now time.Time) []Status {
	out := make([]Status, 0, len(t.members))
	for _, e := range t.members {
		out = append(out, Status{Member: e.Member, Reachable: t.isReachable(now, e)})
	}
	return out
}

func (t *Table) forget(now time.Time) {
	for address, e := range t.members {
		if !e.alive && now.Sub(e.lastKnownAt()) > forgetAfter {
			delete(t.members, address)
			t.change++
		}
	}
}

// UpdateSince returns an update of a kind with the members that have changed since a change count, 0
// for a full one, and the change count up to which it is complete.
func (t *Table) UpdateSince(now time.Time, k Kind, since uint64) (*Update, uint64) {
	update := &Update{Kind: k, Full: since == 0}
	if k == None || since == t.change {
		return update, t.change
	}
	for _, e := range t.members {
		removed := !t.includes(now, k, e)
		if e.changedAt > since && (!removed || since > 0) {
			update.Records = append(update.Records, e.record(now, removed))
		}
	}
	if update.Full {
		update.Lost = t.lost(now)
	}
	return update, t.change
}

// includes reports whether updates of a kind contain a member.
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
