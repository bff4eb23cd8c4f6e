package peer

import (
	"fmt"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/membership"
)

// errUpdateBeforeHello ends a dialled link whose first frame is an update: it isn't known which process has sent it, and
// the sender won't repeat what it contains on this link.
var errUpdateBeforeHello = fmt.Errorf("%w: an update about members came before the hello", ErrMalformedFrame)

// mergeMembership merges a membership update from a process of a peer, unless a later one came before, on another
// link: that one began with a full update, and the sender won't repeat what it contained. It ignores updates of
// former processes, but for Bootstrap ones: what these say lapses by itself.
func (m *Mesh) mergeMembership(from string, incarnation uint64, update *membership.Update) {
	if m.sparse == nil || from == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[from]; p != nil && update.Kind != membership.Bootstrap && (!p.isCurrent(incarnation) || !p.control.recordUpdate(incarnation, update.Sequence)) {
		m.o.Log.Info().Str("event", "membership_overtaken").Str("peer", from).Uint64("sequence", update.Sequence).Msg("")
		return
	}
	m.sparse.overlay.Merge(boottime.Now(), from, update)
	m.sparse.notify()
}

// recordUpdate records that an update of a peer's process with a number has come. It reports whether it is in order.
func (c *linkControl) recordUpdate(incarnation, sequence uint64) bool {
	if sequence > 0 && incarnation == c.updatesOf && sequence < c.updateReceived {
		return false
	}
	c.updatesOf, c.updateReceived = incarnation, sequence
	return true
}

// sendUpdates sends each linked peer the membership updates that it is due.
func (m *Mesh) sendUpdates(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sparse.rounds++
	overlay := m.sparse.overlay
	overlay.SetSelfDraining(m.sparse.draining)
	overlay.Tick(now)
	encoded := map[updateCursor][]byte{}
	for address, p := range m.peers {
		if l := m.liveLink(address, p); l != nil {
			m.sendUpdatesTo(now, address, p, l, encoded)
		}
	}
}

// sendUpdatesTo sends a peer the changes since its last update, and a bootstrap update if it needs
// one. The caller holds the lock.
func (m *Mesh) sendUpdatesTo(now time.Time, address string, p *peerState, l *link, encoded map[updateCursor][]byte) {
	overlay, c := m.sparse.overlay, &p.control
	if c.updateLink != l {
		// The kind sent before stays: what the peer has received of it on the previous link may have to be withdrawn.
		c.updateLink, c.updatesSent, c.bootstrapSent = l, updateCursor{kind: c.updatesSent.kind}, updateCursor{kind: membership.Bootstrap}
	}
	kind := overlay.KindFor(now, address)
	if c.updatesSent.kind != kind {
		cursor := updateCursor{kind: kind}
		m.sendUpdateOn(now, l, &cursor, encoded)
		if kind != membership.None || cursor.change > 0 { // a withdrawal that wasn't sent is sent with the next updates
			c.updatesSent = cursor
		}
	} else if kind != membership.None {
		m.sendUpdateOn(now, l, &c.updatesSent, encoded)
	}
	dialledBy := m.accepted[address] != nil
	if dialledBy && overlay.SendsBootstrap(now, address, p.knownPeers()) {
		m.sendUpdateOn(now, l, &c.bootstrapSent, encoded)
	}
}

// sendUpdateOn sends the changes beyond the cursor on a link and advances the cursor, unless the
// outbox is full. The caller holds the lock.
func (m *Mesh) sendUpdateOn(now time.Time, l *link, cursor *updateCursor, encoded map[updateCursor][]byte) {
	change := m.sparse.overlay.ChangeCount()
	if cursor.change == change && change > 0 {
		return
	}
	b, known := encoded[*cursor]
	if !known {
		b = m.encodeUpdate(now, *cursor)
		encoded[*cursor] = b
	}
	if b == nil || l.trySendEncoded(b) { // otherwise the next update includes the changes
		cursor.change = change
	}
}

// encodeUpdate returns the encoded update from a cursor on; nil if there are no changes. The caller
// holds the lock.
func (m *Mesh) encodeUpdate(now time.Time, cursor updateCursor) []byte {
	update, _ := m.sparse.overlay.UpdateSince(now, cursor.kind, cursor.change)
	if len(update.Records) == 0 && !update.Full {
		return nil
	}
	update.Sequence = m.sparse.rounds
	b, err := Encode(&Frame{Type: TypeMembership, Membership: update})
	if err != nil {
		panic("peer: a membership update must always encode: " + err.Error())
	}
	return b
}
