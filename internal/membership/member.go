package membership

import (
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/reach"
)

// Member is one instance of the fleet.
type Member struct {
	// Address is the address under which peers reach it.
	Address string
	// Zone is its availability zone.
	Zone string
	// Incarnation identifies its process.
	Incarnation uint64
	// Cores is the processor time available to it, in cores; 0 is unknown.
	Cores float64
	// Started is when its process started, by this instance's clock.
	Started time.Time
	// Draining instances accept no new requests.
	Draining bool
	// Reach is whether it reaches upstreams, by its own account.
	Reach reach.State
}

// Record is what one instance sends another about a member.
type Record struct {
	Address     string  `cbor:"1,keyasint"`
	Zone        string  `cbor:"2,keyasint,omitempty"`
	Incarnation uint64  `cbor:"3,keyasint,omitempty"`
	Cores       float64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since its process started.
	Age      time.Duration `cbor:"5,keyasint,omitempty"`
	Draining bool          `cbor:"6,keyasint,omitempty"`
	// Reach is Unknown from a sender of an earlier version.
	Reach reach.State `cbor:"8,keyasint,omitempty"`
	// Removed withdraws the previous record of the address.
	Removed bool `cbor:"7,keyasint,omitempty"`
	// LostFor is the time since the member was last attested, in Update.Lost.
	LostFor time.Duration `cbor:"9,keyasint,omitempty"`
}

// Kind is the kind of an update: how its sender knows the members in it, which decides whether the
// receiver may pass them on.
type Kind uint8

// The kinds.
const (
	// None withdraws all that was sent before.
	None Kind = iota
	// Direct members are linked to the sender, a hub. Other hubs pass them on.
	Direct
	// Indirect members are linked to the sender or to a hub that has sent it updates. They aren't
	// passed on: records that circulate could never be withdrawn.
	Indirect
	// Bootstrap members are those that the sender knows to be attested. An instance that starts finds
	// the hubs among them.
	Bootstrap
)

// Update is one message about members from one instance to another. A Full one replaces all updates
// before it.
type Update struct {
	Kind    Kind     `cbor:"1,keyasint"`
	Full    bool     `cbor:"2,keyasint,omitempty"`
	Records []Record `cbor:"3,keyasint,omitempty"`
	// Lost are, in a Full update, the members that have become unreachable and still count as a part of the fleet.
	Lost []Record `cbor:"5,keyasint,omitempty"`
	// Sequence orders the updates of one process to one peer; 0 from senders of earlier versions.
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
}

// maxPastIncarnations is how many previous incarnations of an address are remembered: records of them
// may be delayed for as long as a process is paused.
const maxPastIncarnations = 4

// entry is what a table knows of one member.
type entry struct {
	Member
	pastIncarnations []uint64
	// linked: a link to it is up. hubLinked: it is linked to this instance, or to a hub that attests
	// it in a Direct update. alive: this instance or any peer attests it.
	linked, hubLinked, alive bool
	everAlive                bool      // its process has been attested before
	bootstrappedAt           time.Time // when a Bootstrap update last contained it
	lastAliveAt              time.Time
	linkFailedAt             time.Time // when a link to it last ended or couldn't be made

	// received is what the last record said of its process, also while a link to it says more.
	received receivedState

	published publishedState // what updates to peers contain
	changedAt uint64         // the table's change count when published last changed
}

// receivedState is what a record says of a member that changes while its process runs.
type receivedState struct {
	incarnation uint64
	draining    bool
	reach       reach.State
}

// publishedState is the state of a member that updates to peers depend on.
type publishedState struct {
	Member
	linked, hubLinked, alive bool
}

// lastKnownAt returns when the member was last attested, or contained in a Bootstrap update.
func (e *entry) lastKnownAt() time.Time {
	if e.bootstrappedAt.After(e.lastAliveAt) {
		return e.bootstrappedAt
	}
	return e.lastAliveAt
}

// update merges received data about the member, and reports whether the data concerns the member's
// current process. With proof, which a link to the process is, the data replaces another incarnation
// in any case; an update from a peer may be older than what is known.
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
		m.Started = e.Started // the first record is the least delayed
	}
	e.Member = m
	return true
}

func (e *entry) record(now time.Time, removed bool) Record {
	if removed {
		return Record{Address: e.Address, Removed: true}
	}
	return Record{Address: e.Address, Zone: e.Zone, Incarnation: e.Incarnation, Cores: e.Cores, Age: now.Sub(e.Started), Draining: e.Draining, Reach: e.Reach}
}

func (r *Record) member(now time.Time) Member {
	return Member{Address: r.Address, Zone: r.Zone, Incarnation: r.Incarnation, Cores: r.Cores, Started: now.Add(-r.Age), Draining: r.Draining, Reach: r.Reach}
}
