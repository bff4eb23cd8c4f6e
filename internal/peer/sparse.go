package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"

	"github.com/cenkalti/backoff/v5"

	"github.com/tacktally/tacktally/internal/membership"
)

const (
	// tendInterval is how often it is looked which links are wanted, and how long news of
	// members are gathered before they are passed on: two steps of it, from a hub to a hub and
	// on to its zone, are what a change takes to be known everywhere.
	tendInterval = 100 * time.Millisecond
	// unusedAfter is how long a link that was made on use is kept without any. A link costs
	// about 50 KB on either side and two heartbeats a second, a new one a round trip and a
	// half before the request that waits for it.
	unusedAfter = 10 * time.Second
	// crossedWithin is how far apart two links may have come up that two instances have
	// dialled to each other at the same time. Of links further apart the older one is dead to
	// the peer, which dials only while it has none.
	crossedWithin = time.Second
	// probeInterval is how often a hub tries an instance that is out of reach.
	probeInterval = time.Second
	// slowDial is how long a dial may take before others are tried for hubs in the peer's
	// place: an instance without power doesn't even refuse a connection. Processors are held
	// back for a tenth of a second at times.
	slowDial = 300 * time.Millisecond
	// maxSparseRedial bounds the pause before a wanted link is tried again: a zone that was
	// cut off is found again within it.
	maxSparseRedial = time.Second
)

// sparse is what a mesh with few links has beside its peers. It is guarded by the lock of
// the mesh, but for wake.
type sparse struct {
	plan   *membership.Overlay
	wake   chan struct{}
	probed time.Time
	drains bool // this instance takes no new work, by its last heartbeat
}

// tended is how a link to a peer is looked after. It is guarded by the lock of the mesh.
type tended struct {
	used    time.Time     // when a link was last asked for
	dialled chan struct{} // closed once the dial under way has ended or its link is up; nil while none is
	next    time.Time     // when to dial again, at the earliest
	pause   *backoff.ExponentialBackOff

	link       *link // to which was told
	told       toldUpTo
	introduced toldUpTo
}

func newSparse(m *Mesh) *sparse {
	self := membership.Member{Address: m.o.Address, Zone: m.o.Zone, Incarnation: m.o.Incarnation, Cores: m.o.Cores, Started: m.started}
	return &sparse{plan: membership.NewOverlay(m.started, self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), wake: make(chan struct{}, 1)}
}

// kick lets the mesh look at once which links are wanted.
func (s *sparse) kick() {
	select {
	case s.wake <- struct{}{}:
	default: // it is about to
	}
}

// tend makes the links that are wanted, ends those that aren't, and passes news of members
// on, until the mesh is closed.
func (m *Mesh) tend() {
	t := time.NewTicker(tendInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			m.passOn(boottime.Now())
		case <-m.sparse.wake:
		case <-m.ctx.Done():
			return
		}
		m.dialWanted(boottime.Now())
	}
}

// dialWanted dials the peers to which links are wanted and ends links that nobody uses.
func (m *Mesh) dialWanted(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	plan := m.sparse.plan
	wanted := map[string]bool{}
	for _, address := range plan.Wants(now) {
		wanted[address] = true
		m.dialSoon(now, address)
	}
	if now.Sub(m.sparse.probed) >= probeInterval {
		m.sparse.probed = now
		if address, some := plan.Probe(now); some {
			m.dialSoon(now, address)
		}
	}
	for address, p := range m.peers {
		m.endUnused(now, address, p, wanted[address])
	}
}

// endUnused ends a link that this side dialled once it is neither wanted nor used, and
// forgets a peer without links. The caller holds the lock.
func (m *Mesh) endUnused(now time.Time, address string, p *peerState, wanted bool) {
	unused := !wanted && now.Sub(p.tended.used) >= unusedAfter && now.Sub(p.since) >= unusedAfter
	if !unused {
		return
	}
	if p.link != nil && p.link.isIdle(now, unusedAfter) && m.sparse.plan.KindFor(now, address) == membership.Nothing {
		p.link.cancel(errUnused)
	}
	if p.link == nil && m.accepted[address] == nil && p.tended.dialled == nil {
		delete(m.peers, address)
	}
}

var errUnused = errors.New("nobody uses the link")

// dialSoon dials a peer unless a link to it is up, is being made, or has failed just now.
// The caller holds the lock.
func (m *Mesh) dialSoon(now time.Time, address string) {
	p := m.link(address)
	if p == nil || p.tended.dialled != nil || now.Before(p.tended.next) || m.liveLink(address, p) != nil {
		return
	}
	ended := make(chan struct{})
	p.tended.dialled = ended
	m.wg.Go(func() { m.dialOnce(address, p, ended) })
}

// dialOnce makes a link, runs it until it ends, and says when to try again. Those who wait
// for the dial are woken by the end of ended.
func (m *Mesh) dialOnce(address string, p *peerState, ended chan struct{}) {
	slow := time.AfterFunc(slowDial, func() { m.failSlow(address, ended) })
	up, err := m.dial(m.ctx, address)
	slow.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &p.tended
	if t.pause == nil {
		t.pause = backoff.NewExponentialBackOff()
		t.pause.InitialInterval = firstRedial
		t.pause.MaxInterval = maxSparseRedial
	}
	if up {
		t.pause.Reset()
	} else {
		m.sparse.plan.Fail(boottime.Now(), address)
	}
	t.next = boottime.Now().Add(t.pause.NextBackOff())
	if t.dialled == ended {
		t.settle()
	}
	m.linkEnded(address, "dialled", err)
}

// failSlow notes that a dial that is still under way takes long.
func (m *Mesh) failSlow(address string, dial chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[address]; p != nil && p.tended.dialled == dial {
		m.sparse.plan.Fail(boottime.Now(), address)
	}
}

// settle wakes those who wait for a dial. The caller holds the lock.
func (t *tended) settle() {
	if t.dialled != nil {
		close(t.dialled)
		t.dialled = nil
	}
}

// linkedTo notes that a peer has said who it is on a link. The caller holds the lock.
func (m *Mesh) linkedTo(p *peerState) {
	now := boottime.Now()
	h := p.hello
	m.sparse.plan.Link(now, membership.Member{Address: h.Address, Zone: h.Zone, Incarnation: h.Incarnation, Cores: h.Cores, Started: p.started})
	if p.link != nil {
		p.tended.settle()
	}
	m.sparse.kick()
}

// unlink notes that a link to a peer has ended.
func (m *Mesh) unlink(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	if p == nil || m.liveLink(address, p) != nil {
		return
	}
	m.sparse.plan.Unlink(boottime.Now(), address)
	m.sparse.kick()
}

// replaceDialled ends the link that this side dialled to a peer that now has dialled one
// itself, unless the two have crossed. The caller holds the lock.
func (m *Mesh) replaceDialled(address string) {
	p := m.peers[address]
	if m.sparse == nil || p == nil || p.link == nil || boottime.Since(p.link.since) < crossedWithin {
		return
	}
	p.link.cancel(errReplaced)
	p.link = nil
}

// liveLink returns a link to a peer that is up and on which the peer was heard of lately, nil
// if there is none. The caller holds the lock.
func (m *Mesh) liveLink(address string, p *peerState) *link {
	now := boottime.Now()
	for _, l := range []*link{p.link, m.accepted[address]} {
		if l != nil && l.ctx.Err() == nil && now.Sub(l.lastHeard()) < m.o.SuspectAfter {
			return l
		}
	}
	return nil
}

// useLink notes that a link to a peer is used. It returns the link if it is up, and
// otherwise what is closed once the dial under way has ended, nil where none is.
func (m *Mesh) useLink(address string) (*link, <-chan struct{}) {
	if m.sparse == nil {
		return m.linkTo(address), nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	p := m.link(address)
	if p == nil {
		return nil, nil
	}
	p.tended.used = now
	if l := m.liveLink(address, p); l != nil {
		return l, nil
	}
	m.dialSoon(now, address)
	return nil, p.tended.dialled
}

// linkFor returns the link to a peer. Where links are few it makes one and blocks until it
// is up or can't be made, or ctx ends.
func (m *Mesh) linkFor(ctx context.Context, address string) (*link, error) {
	l, dialled := m.useLink(address)
	if l != nil {
		return l, nil
	}
	if dialled == nil {
		return nil, fmt.Errorf("%w %s", ErrUnreachable, address)
	}
	select {
	case <-dialled:
	case <-ctx.Done():
		return nil, causeOf(ctx, ctx.Err())
	}
	if l := m.linkTo(address); l != nil {
		return l, nil
	}
	return nil, fmt.Errorf("%w %s", ErrUnreachable, address)
}

// endSilent ends links on which nothing was heard of for too long, and returns the peers that
// are out of reach by that. The caller holds the lock.
func (m *Mesh) endSilent(now time.Time) (silent []string) {
	for address, p := range m.peers {
		ended := false
		for _, l := range []*link{p.link, m.accepted[address]} {
			if l != nil && l.ctx.Err() == nil && now.Sub(l.lastHeard()) >= m.o.SuspectAfter {
				l.cancel(errSilent) // what is held on it is given back
				ended = true
			}
		}
		if ended && m.liveLink(address, p) == nil {
			silent = append(silent, address)
		}
	}
	return silent
}

// toldUpTo names a telling: those that were told the same get the same bytes.
type toldUpTo struct {
	kind   membership.Kind
	change uint64 // of the members; 0: nothing was told
}

// members returns the state of all known peers, sorted by address. The caller holds the lock.
func (m *Mesh) members(now time.Time) []Status {
	known := m.sparse.plan.Members(now)
	out := make([]Status, 0, len(known))
	for _, k := range known {
		s := Status{
			Address:     k.Address,
			Zone:        k.Zone,
			Incarnation: k.Incarnation,
			Draining:    k.Draining,
			Reachable:   k.InReach,
			Cores:       k.Cores,
			Started:     boottime.Steady(k.Started),
		}
		if p := m.peers[k.Address]; p != nil {
			s.Linked = m.liveLink(k.Address, p) != nil
			s.LastSeen = boottime.Steady(p.lastHeard)
			s.Revision = p.last.Revision
			s.InFlight = p.last.InFlight
			s.ReadsSource = p.last.ReadsSource
		}
		out = append(out, s)
	}
	sortByAddress(out)
	return out
}

// MembershipVersion counts the changes of which peers there are and which are within reach; what changes
// with time alone doesn't count. It is 0 where all are linked to all.
func (m *Mesh) MembershipVersion() uint64 {
	if m.sparse == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sparse.plan.Change()
}

// Role of an instance in a fleet with few links.
type Role struct {
	// HubRank is its place among the hubs of its availability zone, counted from 0; -1 where it
	// is none.
	HubRank int
	// ZoneRank is how many of its zone within reach go before it in the order of hubs.
	ZoneRank int
	// NoOtherSeed tells whether there is nobody to be found: it knows no seed but itself.
	NoOtherSeed bool
	// Seed tells whether others find the fleet by it.
	Seed bool
}

// Role returns the role that this instance has now.
func (m *Mesh) Role() Role {
	m.mu.Lock()
	defer m.mu.Unlock()
	plan := m.sparse.plan
	now := boottime.Now()
	return Role{HubRank: plan.HubRank(now), ZoneRank: plan.RankInZone(now), Seed: plan.IsSeed(), NoOtherSeed: plan.SeedCount() == 0}
}

// LinkCount is the number of peers to which links are up.
func (m *Mesh) LinkCount() int {
	near, far := m.links()
	return len(near) + len(far)
}

// noteDraining notes what this instance says of itself.
func (m *Mesh) noteDraining(drains bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sparse.drains = drains
}
