package peer

import (
	"context"
	"errors"
	"time"
)

// maxLeaseGroups is the maximum number of groups in one frame.
const maxLeaseGroups = 64

// ErrNoLeases means that the peer is of an earlier version, which knows no leases.
var ErrNoLeases = errors.New("the peer is of a version that knows no leases")

// LeaseBuckets requests leases of groups of buckets from a peer and blocks until it replies with those that it
// grants, at most for the duration within. An error means that there was no reply.
func (m *Mesh) LeaseBuckets(ctx context.Context, address string, groups []int, within time.Duration) (granted []int, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, within, ErrNoReply)
	defer cancel()
	if _, err := m.ensureLink(ctx, address); err != nil {
		return nil, causeOf(ctx, err)
	}
	if !m.knowsLeases(address) {
		return nil, ErrNoLeases
	}
	err = m.roundTrip(ctx, address, &Frame{Type: TypeLeaseRequest, LeaseGroups: groups}, func(f *Frame) { granted = f.LeaseGroups })
	if err != nil {
		return nil, causeOf(ctx, err)
	}
	return granted, nil
}

// knowsLeases reports whether a peer has said in its hello that it knows the frames about leases. Others would end
// the link.
func (m *Mesh) knowsLeases(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	return p != nil && p.hello.KnowsLeases
}
