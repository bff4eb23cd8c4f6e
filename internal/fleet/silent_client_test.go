package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/peer"
)

// call lets the other instance serve a request, and passes its reply to the caller or, if it took longer, to late.
func (m *silentMember) call(ctx context.Context, address string, within time.Duration, serve func(other *silentMember), late func()) error {
	other := m.harness.members[slices.IndexFunc(m.harness.members, func(o *silentMember) bool { return o.address == address })]
	replied := make(chan struct{})
	go func() {
		m.passes(other)
		serve(other)
		other.passes(m)
		close(replied)
	}()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-replied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	go func() {
		<-replied
		late()
	}()
	return peer.ErrNoReply
}

// silentClient is the SlotClient and QuotaClient of an instance.
type silentClient struct{ *silentMember }

func (c silentClient) FleetSize() int { return len(c.harness.members) }

func (c silentClient) TakeQuota(ctx context.Context, address string, r *peer.QuotaRequest, within time.Duration, late func(*peer.QuotaReply)) (*peer.QuotaReply, error) {
	var reply *peer.QuotaReply
	err := c.call(ctx, address, within, func(other *silentMember) { reply = other.current().quotas.ServeTake(r) }, func() { late(reply) })
	if err != nil {
		return nil, err
	}
	return reply, nil
}

func (c silentClient) LeaseBuckets(ctx context.Context, address string, groups []int, within time.Duration) ([]int, error) {
	var granted []int
	err := c.call(ctx, address, within, func(other *silentMember) { granted = other.current().quotas.ServeLeases(c.address, groups) }, func() {})
	if err != nil {
		return nil, err
	}
	return granted, nil
}

func (c silentClient) ReturnQuota(address string, r *peer.QuotaReturn) {
	go func() {
		_ = c.call(context.Background(), address, time.Hour, func(other *silentMember) { other.current().quotas.ServeReturn(r) }, func() {})
	}()
}

func (c silentClient) AcquireSlot(ctx context.Context, address string, r *peer.SlotRequest, within time.Duration) (*peer.Slot, *peer.SlotRefusal, error) {
	var p *api.Problem
	err := c.call(ctx, address, within, func(other *silentMember) {
		f := other.current().fleet
		_, p = f.chargeByRole(f.shardAt(r.Service, r.Shard), r.Attempt)
	}, func() {})
	switch {
	case err != nil:
		return nil, nil, err
	case p != nil:
		return nil, &peer.SlotRefusal{Reason: string(p.Reason)}, nil
	default:
		return &peer.Slot{Grant: peer.SlotGrant{Upstream: "u"}}, nil, nil
	}
}

// current returns the process that runs at present.
func (m *silentMember) current() (process struct {
	fleet  *Fleet
	quotas *Quotas
}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	process.fleet, process.quotas = m.fleet, m.quotas
	return process
}
