package dispatch

import (
	"time"

	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// leavingNoticeTTL is the time for which the leaving notice of an upstream counts in addition
// to the instance list, which lags behind.
const leavingNoticeTTL = time.Minute

// recordLeavingNotice records that an upstream announced that it leaves, in a response to a request that was sent to it at
// the given time.
func (d *Dispatcher) recordLeavingNotice(address string, sentAt time.Time) {
	d.mu.Lock()
	former := sentAt.Before(d.entered[address])
	d.mu.Unlock()
	if former {
		return
	}
	d.MarkLeaving(address)
	if d.o.OnUpstreamLeaving != nil {
		d.o.OnUpstreamLeaving(address)
	}
}

// MarkLeaving stops sending new work to an upstream that announced that it leaves, either to this
// instance or to a peer.
func (d *Dispatcher) MarkLeaving(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[address] = time.Now()
	for _, p := range d.pools {
		p.MarkLeaving(address)
	}
	if !d.expiring {
		d.expiring = true
		time.AfterFunc(leavingNoticeTTL, d.expireLeavingNotices)
	}
}

// expireLeavingNotices removes the notices that have expired, and sends the waiting requests for which their upstreams
// provide capacity.
func (d *Dispatcher) expireLeavingNotices() {
	d.removeExpiredNotices()
	for _, p := range d.snapshotPools() {
		p.Poll()
	}
}

func (d *Dispatcher) removeExpiredNotices() {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := leavingNoticeTTL
	for address, at := range d.leaving {
		if left := leavingNoticeTTL - time.Since(at); left > 0 {
			next = min(next, left)
		} else {
			delete(d.leaving, address)
		}
	}
	d.updateMembersLocked()
	d.expiring = len(d.leaving) > 0
	if d.expiring {
		time.AfterFunc(next, d.expireLeavingNotices)
	}
}

// dropFormerNoticesLocked drops the notices of upstreams that a new list doesn't have, or has for another process than
// the list before. The caller holds d.mu.
func (d *Dispatcher) dropFormerNoticesLocked(list []platform.Instance) {
	states := platform.UpstreamStates(list)
	for address := range d.leaving {
		if _, listed := states[address]; !listed {
			delete(d.leaving, address)
		}
	}
	for address := range platform.Entered(d.states, states) {
		delete(d.leaving, address)
		d.entered[address] = time.Now()
	}
	for address := range d.entered {
		if _, listed := states[address]; !listed {
			delete(d.entered, address)
		}
	}
	d.states = states
}

// updateMembersLocked applies the members of all sets to their pools. The caller holds d.mu.
func (d *Dispatcher) updateMembersLocked() {
	for name, p := range d.pools {
		p.SetMembers(d.membersLocked(name))
	}
}

// isNoticedLocked reports whether an upstream has announced lately that it leaves. The caller holds d.mu.
func (d *Dispatcher) isNoticedLocked(m scheduler.Member) bool {
	at, ok := d.leaving[m.Address]
	return ok && time.Since(at) < leavingNoticeTTL
}
