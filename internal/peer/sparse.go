package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/reach"

	"github.com/cenkalti/backoff/v5"

	"github.com/tacktally/tacktally/internal/membership"
)

const (
	// maintenanceInterval is how often the wanted links are checked, and how long membership
	// updates are batched. A change is known everywhere after two such steps: from a hub to a hub,
	// and on to its zone.
	maintenanceInterval = 100 * time.Millisecond
	// unusedAfter is how long a link that was dialled on use is kept while unused. A link costs
	// about 50 KB on either side and two heartbeats a second; a new one costs the request that
	// waits for it one and a half round trips.
	unusedAfter = 10 * time.Second
	// crossedDialWindow is how far apart two links may have come up that two instances dialled to
	// each other at the same time. If they are further apart, the peer has lost the older one,
	// since it dials only while it has none.
	crossedDialWindow = time.Second
	// probeInterval is how often a hub dials an unreachable instance.
	probeInterval = time.Second
	// slowDialAfter is how long a dial may take before other instances are tried as hubs in the
	// peer's place: an instance without power doesn't even refuse a connection. Processors may be
	// throttled for a tenth of a second.
	slowDialAfter = 300 * time.Millisecond
	// maxSparseRedial bounds the delay before a wanted link is dialled again, and so how long a
	// zone takes to be found again after a network partition.
	maxSparseRedial = time.Second
)

// sparseState is the additional state of a sparse mesh. It is guarded by the mesh's lock, except
// wake.
type sparseState struct {
	overlay   *membership.Overlay
	wake      chan struct{}
	lastProbe time.Time
	rounds    uint64 // of updates sent, by which they are numbered
	draining  bool   // this instance's last heartbeat reported that it accepts no new work
}

// linkControl controls when a peer is dialled and which updates it is sent. It is guarded by the
// mesh's lock.
type linkControl struct {
	lastUsed      time.Time     // when a link was last requested
	dialDone      chan struct{} // closed once the dial in progress has ended or its link is up; nil if none is in progress
	nextDial      time.Time     // earliest time of the next dial
	redialBackoff *backoff.ExponentialBackOff

	updateLink    *link // the link on which the updates below were sent
	updatesSent   updateCursor
	bootstrapSent updateCursor
	// updatesOf is the incarnation that has sent the last update, and updateReceived its number.
	updatesOf, updateReceived uint64
}

func newSparseState(m *Mesh) *sparseState {
	self := membership.Member{Address: m.o.Address, Zone: m.o.Zone, Incarnation: m.o.Incarnation, Cores: m.o.Cores, Started: m.started}
	return &sparseState{overlay: membership.NewOverlay(m.started, self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), wake: make(chan struct{}, 1)}
}

// notify triggers an immediate check of the wanted links. It doesn't block.
func (s *sparseState) notify() {
	select {
	case s.wake <- struct{}{}:
	default: // a check is already pending
	}
}

// maintainLinks dials wanted links, ends unused ones and sends membership updates until the mesh is
// closed.
func (m *Mesh) maintainLinks() {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			m.sendUpdates(boottime.Now())
		case <-m.sparse.wake:
		case <-m.ctx.Done():
			return
		}
		m.updateLinks(boottime.Now())
	}
}

// updateLinks dials the peers to which links are wanted and ends unused links.
func (m *Mesh) updateLinks(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	overlay := m.sparse.overlay
	wanted := map[string]bool{}
	for _, address := range overlay.WantedLinks(now) {
		wanted[address] = true
		m.startDial(now, address)
	}
	if now.Sub(m.sparse.lastProbe) >= probeInterval {
		m.sparse.lastProbe = now
		if address, found := overlay.ReconnectCandidate(now); found {
			m.startDial(now, address)
		}
	}
	for address, p := range m.peers {
		m.closeIfUnused(now, address, p, wanted[address])
	}
}

// closeIfUnused ends a link that this side dialled once it is neither wanted nor used, and removes
// a peer without links. The caller holds the lock.
func (m *Mesh) closeIfUnused(now time.Time, address string, p *peerState, wanted bool) {
	unused := !wanted && now.Sub(p.control.lastUsed) >= unusedAfter && now.Sub(p.knownSince) >= unusedAfter
	if !unused {
		return
	}
	if p.link != nil && p.link.isIdle(now, unusedAfter) && m.sparse.overlay.KindFor(now, address) == membership.None {
		p.link.cancel(errUnused)
	}
	if p.link == nil && m.accepted[address] == nil && p.control.dialDone == nil {
		delete(m.peers, address)
	}
}

var errUnused = errors.New("link is unused")

// startDial dials a peer unless a link to it is up or being dialled, or its redial delay hasn't
// passed. The caller holds the lock.
func (m *Mesh) startDial(now time.Time, address string) {
	p := m.ensurePeer(address)
	if p == nil || p.control.dialDone != nil || now.Before(p.control.nextDial) || m.liveLink(address, p) != nil {
		return
	}
	done := make(chan struct{})
	p.control.dialDone = done
	m.wg.Go(func() { m.dialAndServe(address, p, done) })
}

// dialAndServe establishes a link, serves it until it ends, and schedules the next dial. Callers
// that wait for the dial are woken when done is closed.
func (m *Mesh) dialAndServe(address string, p *peerState, done chan struct{}) {
	slow := time.AfterFunc(slowDialAfter, func() { m.reportSlowDial(address, done) })
	up, err := m.dial(m.ctx, address)
	slow.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &p.control
	if c.redialBackoff == nil {
		c.redialBackoff = backoff.NewExponentialBackOff()
		c.redialBackoff.InitialInterval = firstRedial
		c.redialBackoff.MaxInterval = maxSparseRedial
	}
	if up {
		c.redialBackoff.Reset()
	} else {
		m.sparse.overlay.LinkFailed(boottime.Now(), address)
	}
	c.nextDial = boottime.Now().Add(c.redialBackoff.NextBackOff())
	if c.dialDone == done {
		c.finishDial()
	}
	m.logLinkEnded(address, "dialled", err)
}

// reportSlowDial reports a dial that is still in progress to the overlay as failed.
func (m *Mesh) reportSlowDial(address string, done chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[address]; p != nil && p.control.dialDone == done {
		m.sparse.overlay.LinkFailed(boottime.Now(), address)
	}
}

// finishDial wakes the callers that wait for a dial. The caller holds the lock.
func (c *linkControl) finishDial() {
	if c.dialDone != nil {
		close(c.dialDone)
		c.dialDone = nil
	}
}

// recordLinked records in the overlay that a peer has sent its hello on a link. The caller holds
// the lock.
func (m *Mesh) recordLinked(p *peerState) {
	now := boottime.Now()
	h := p.hello
	m.sparse.overlay.LinkUp(now, membership.Member{Address: h.Address, Zone: h.Zone, Incarnation: h.Incarnation, Cores: h.Cores, Started: p.started})
	if p.link != nil {
		p.control.finishDial()
	}
	m.sparse.notify()
}

// recordUnlinked records in the overlay that the last link to a peer has ended.
func (m *Mesh) recordUnlinked(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	if p == nil || m.liveLink(address, p) != nil {
		return
	}
	m.sparse.overlay.LinkDown(boottime.Now(), address)
	m.sparse.notify()
}

// replaceDialled ends the link that this side dialled to a peer that has now dialled one itself,
// unless the two dials crossed. It applies to a sparse mesh. The caller holds the lock.
func (m *Mesh) replaceDialled(address string) {
	p := m.peers[address]
	if m.sparse == nil || p == nil || p.link == nil || boottime.Since(p.link.upSince) < crossedDialWindow {
		return
	}
	p.link.cancel(errReplaced)
	p.link = nil
}

// liveLink returns a link to a peer that is up and on which a frame was received within
// SuspectAfter, or nil. The caller holds the lock.
func (m *Mesh) liveLink(address string, p *peerState) *link {
	now := boottime.Now()
	for _, l := range []*link{p.link, m.accepted[address]} {
		if l != nil && l.ctx.Err() == nil && now.Sub(l.lastReceived()) < m.o.SuspectAfter {
			return l
		}
	}
	return nil
}

// useLink records that a link to a peer is used. It returns the link if it is up. Otherwise it
// starts a dial and returns the channel that is closed when the dial has ended or its link is up; nil
// if none is in progress.
func (m *Mesh) useLink(address string) (*link, <-chan struct{}) {
	if m.sparse == nil {
		return m.reachableLink(address), nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	p := m.ensurePeer(address)
	if p == nil {
		return nil, nil
	}
	p.control.lastUsed = now
	if l := m.liveLink(address, p); l != nil {
		return l, nil
	}
	m.startDial(now, address)
	return nil, p.control.dialDone
}

// ensureLink returns the link to a peer. In a sparse mesh it dials one if needed, and blocks until
// the link is up, the dial has failed or ctx ends.
func (m *Mesh) ensureLink(ctx context.Context, address string) (*link, error) {
	l, dialDone := m.useLink(address)
	if l != nil {
		return l, nil
	}
	if dialDone == nil {
		return nil, fmt.Errorf("%w %s", ErrUnreachable, address)
	}
	select {
	case <-dialDone:
	case <-ctx.Done():
		return nil, causeOf(ctx, ctx.Err())
	}
	if l := m.reachableLink(address); l != nil {
		return l, nil
	}
	return nil, fmt.Errorf("%w %s", ErrUnreachable, address)
}

// closeSilentSparseLinks ends links on which no frame was received for SuspectAfter, and returns
// the peers that have no live link any more as a result. The caller holds the lock.
func (m *Mesh) closeSilentSparseLinks(now time.Time) (silent []string) {
	for address, p := range m.peers {
		ended := false
		for _, l := range []*link{p.link, m.accepted[address]} {
			if l != nil && l.ctx.Err() == nil && now.Sub(l.lastReceived()) >= m.o.SuspectAfter {
				l.cancel(errSilent) // releases the slots that the peer holds on it
				ended = true
			}
		}
		if ended && m.liveLink(address, p) == nil {
			silent = append(silent, address)
		}
	}
	return silent
}

// updateCursor is the state up to which a peer has been sent updates. Peers with the same cursor
// get the same bytes.
type updateCursor struct {
	kind   membership.Kind
	change uint64 // of the membership table; 0: nothing was sent
}

// memberStatuses returns the status of all known peers, sorted by address. The caller holds the
// lock.
func (m *Mesh) memberStatuses(now time.Time) []Status {
	known := m.sparse.overlay.Members(now)
	out := make([]Status, 0, len(known))
	for _, k := range known {
		s := Status{
			Address:     k.Address,
			Zone:        k.Zone,
			Incarnation: k.Incarnation,
			Draining:    k.Draining,
			Reach:       k.Reach,
			Isolated:    k.Reach == reach.Isolated,
			Reachable:   k.Reachable,
			Cores:       k.Cores,
			Started:     boottime.ToMonotonic(k.Started),
		}
		if p := m.peers[k.Address]; p != nil {
			s.Linked = m.liveLink(k.Address, p) != nil
			s.LastSeen = boottime.ToMonotonic(p.lastSeen)
			if s.Linked {
				s.Report = p.report()
			}
		}
		out = append(out, s)
	}
	sortByAddress(out)
	return out
}

// MembershipChangeCount returns the number of changes so far of the set of peers and of their
// reachability. Changes that come with the passage of time alone don't count. It is 0 in a full mesh.
func (m *Mesh) MembershipChangeCount() uint64 {
	if m.sparse == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sparse.overlay.ChangeCount()
}

// Role is the role of an instance in a sparse mesh.
type Role struct {
	// HubRank is its place among the hubs of its availability zone, counted from 0; -1 if it is no
	// hub.
	HubRank int
	// ZoneRank is how many reachable instances of its zone precede it in the order in which hubs
	// are selected.
	ZoneRank int
	// NoOtherSeed reports whether it knows no seed but itself, so that it has no way to find peers.
	NoOtherSeed bool
	// Seed reports whether it is one of the seeds by which others find the fleet.
	Seed bool
}

// Role returns the current role of this instance.
func (m *Mesh) Role() Role {
	m.mu.Lock()
	defer m.mu.Unlock()
	overlay := m.sparse.overlay
	now := boottime.Now()
	return Role{HubRank: overlay.HubRank(now), ZoneRank: overlay.ZoneRank(now), Seed: overlay.IsSeed(), NoOtherSeed: overlay.SeedCount() == 0}
}

// LinkCount returns the number of peers to which links are up.
func (m *Mesh) LinkCount() int {
	sameZone, otherZones := m.linksByZone()
	return len(sameZone) + len(otherZones)
}

// setDraining records whether this instance is draining, for the next membership updates.
func (m *Mesh) setDraining(draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sparse.draining = draining
}
