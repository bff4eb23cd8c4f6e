package membership

import (
	"slices"
	"time"
)

// Member is one instance of the fleet.
type Member struct {
	// Address for peers.
	Address string
	// Zone is its availability zone.
	Zone string
	// Incarnation names its process.
	Incarnation uint64
	// Cores is the processor time that it has, in cores; 0 is unknown.
	Cores float64
	// Started is when its process started, by this instance's clock.
	Started time.Time
	// Draining instances take no new work.
	Draining bool
}

// Record is what one instance tells another of a member.
type Record struct {
	Address     string  `cbor:"1,keyasint"`
	Zone        string  `cbor:"2,keyasint,omitempty"`
	Incarnation uint64  `cbor:"3,keyasint,omitempty"`
	Cores       float64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since its process started.
	Age      time.Duration `cbor:"5,keyasint,omitempty"`
	Draining bool          `cbor:"6,keyasint,omitempty"`
	// Removed takes back what was told of it before.
	Removed bool `cbor:"7,keyasint,omitempty"`
}

// Kind of a telling says what the teller knows its members by, which decides whether the
// listener may pass it on.
type Kind uint8

// The kinds.
const (
	// None takes back what was told before.
	None Kind = iota
	// Direct members are linked to the teller, a hub. Other hubs pass them on.
	Direct
	// Indirect members are linked to the teller or to a hub that has told it. They aren't
	// passed on: what goes in circles could never be taken back.
	Indirect
	// Bootstrap members are those that somebody vouches for to the teller. An instance that
	// starts finds the hubs among them.
	Bootstrap
)

// Update is what one instance tells another at a time. A Full one replaces all before it.
type Update struct {
	Kind    Kind     `cbor:"1,keyasint"`
	Full    bool     `cbor:"2,keyasint,omitempty"`
	Records []Record `cbor:"3,keyasint,omitempty"`
}

// maxPastIncarnations is how many former incarnations of an address are remembered: news of them may
// be under way for as long as a process stands still.
const maxPastIncarnations = 4

// entry is what a table knows of one member.
type entry struct {
	Member
	pastIncarnations []uint64 // incarnations that were there before
	// linked tells whether a link to it is up, hubLinked and alive whether it is vouched for as
	// Reached tells and by anybody.
	linked, hubLinked, alive bool
	everAlive                bool      // anybody has vouched for its process before
	bootstrappedAt           time.Time // when it was introduced last
	lastAliveAt              time.Time
	linkFailedAt             time.Time // when a link to it ended or couldn't be made

	published publishedState // what is told to others
	changedAt uint64         // the table's change at which that changed last
}

// publishedState is what of a member is told to others.
type publishedState struct {
	Member
	linked, hubLinked, alive bool
}

// update takes what is told of the member, and tells whether it is news of its process of
// today. A link to a process is proof of it; a telling may be older than what is known.
func (e *entry) update(m Member, proof bool) bool {
	switch {
	case m.Incarnation == e.Incarnation:
	case proof, !slices.Contains(e.pastIncarnations, m.Incarnation) && m.Started.After(e.Started):
		e.pastIncarnations = append(e.pastIncarnations, e.Incarnation)
		e.pastIncarnations = e.pastIncarnations[max(len(e.pastIncarnations)-maxPastIncarnations, 0):]
		e.linked, e.everAlive = false, false
	default:
		return false
	}
	if m.Incarnation == e.Incarnation && !e.Started.IsZero() {
		m.Started = e.Started // the first word is the least delayed
	}
	e.Member = m
	return true
}

func (e *entry) record(now time.Time, gone bool) Record {
	if gone {
		return Record{Address: e.Address, Removed: true}
	}
	return Record{Address: e.Address, Zone: e.Zone, Incarnation: e.Incarnation, Cores: e.Cores, Age: now.Sub(e.Started), Draining: e.Draining}
}

func (n *Record) member(now time.Time) Member {
	return Member{Address: n.Address, Zone: n.Zone, Incarnation: n.Incarnation, Cores: n.Cores, Started: now.Add(-n.Age), Draining: n.Draining}
}
