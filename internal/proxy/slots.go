package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/pool"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// Slots asks other instances for slots. *peer.Mesh implements it.
type Slots interface {
	AcquireSlot(ctx context.Context, address string, r *peer.SlotRequest, ackWithin time.Duration) (*peer.Slot, *peer.SlotRefusal, error)
}

// UseSlots lets the fleet ask other instances. It is called once, before requests come.
func (f *Fleet) UseSlots(s Slots) { f.slots = s }

// want is a request for a slot.
type want struct {
	id      string
	service string
	request *scheduler.Request
	parts   []Part
}

// Acquire blocks until the request gets a slot, is refused, or ctx ends.
func (f *Fleet) Acquire(ctx context.Context, w *want) (lease, *api.Problem) {
	shard, owners := f.shardAndOwners(w)
	for _, owner := range owners {
		if owner == f.o.Instance {
			break
		}
		l, problem, err := f.ask(ctx, owner, shard, w)
		switch {
		case err == nil:
			return l, problem
		case ctx.Err() != nil:
			return nil, pool.EndedWaiting(ctx)
		}
		f.distrust(owner, w.id, err)
	}
	w.request.Chain = chain(w.parts)
	w.request.Zone = f.o.Zone
	grant, problem := shard.pool.Acquire(ctx, w.request)
	if problem != nil {
		return nil, problem
	}
	return &ownLease{shard: shard, grant: grant, listVersion: f.listVersion()}, nil
}

// shardAndOwners returns a shard and who schedules it; no owner means this instance.
func (f *Fleet) shardAndOwners(w *want) (*shard, []string) {
	f.mu.Lock()
	s := f.serviceOf(w.service)
	f.mu.Unlock()
	shard := draw(s.shards)
	if f.slots == nil {
		return shard, nil
	}
	return shard, f.ownersOf(shardKey{service: w.service, index: shard.index})
}

// ownersOf returns the instances to ask for what is in a shard, in order; none means this
// one.
func (f *Fleet) ownersOf(k shardKey) []string {
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	if len(instances) == 1 {
		return nil
	}
	owners := f.owners.of(k, instances, time.Now())
	if len(owners) > 0 && f.owners.changed(k, owners[0]) {
		f.o.Log.Info().Str("event", "shard_owner").Str("service", k.service).Int("shard", k.index).
			Str("owner", owners[0]).Int("instances", len(instances)).Msg("")
	}
	return owners
}

// distrust notes that an owner couldn't be asked.
func (f *Fleet) distrust(owner, id string, err error) {
	f.o.Metrics.Count("tacktally_slot_requests_undecided_total")
	f.o.Log.Warn().Str("event", "owner_silent").Str("request", id).Str("owner", owner).Str("cause", err.Error()).Msg("")
	f.owners.distrust(owner, time.Now())
}

// ask asks the owner of a shard for a slot. The error says that it didn't decide.
func (f *Fleet) ask(ctx context.Context, owner string, s *shard, w *want) (lease, *api.Problem, error) {
	slot, refusal, err := f.slots.AcquireSlot(ctx, owner, f.slotRequest(time.Now(), s, w), ackWithin)
	switch {
	case err != nil:
		return nil, nil, err
	case refusal != nil:
		return nil, problemOf(refusal), nil
	}
	l := &peerLease{owner: owner, grant: slot.Grant, slot: slot, all: &f.leases}
	f.leases.add(l)
	return l, nil, nil
}

func (f *Fleet) slotRequest(now time.Time, s *shard, w *want) *peer.SlotRequest {
	r := w.request
	out := &peer.SlotRequest{
		Service:      s.service,
		Shard:        s.index,
		ID:           w.id,
		Rank:         r.Rank,
		Organisation: r.Organisation,
		Age:          now.Sub(r.Arrived),
		Timeout:      r.Deadline.Sub(now),
		Patience:     r.Patience,
		Aim:          r.Aim,
		Prompt:       r.Prompt,
		Output:       r.Output,
		Expected:     r.Expected,
		Bytes:        r.Bytes,
		Exclude:      r.Exclude,
		Zone:         f.o.Zone,
	}
	for _, p := range w.parts {
		out.Parts = append(out.Parts, peer.PromptPart{Sum: p.Sum, Tokens: p.Tokens})
	}
	return out
}

// requestOf turns a peer's request into the scheduler's.
func requestOf(now time.Time, r *peer.SlotRequest) *scheduler.Request {
	var parts []Part
	for _, p := range r.Parts {
		parts = append(parts, Part{Sum: p.Sum, Tokens: p.Tokens})
	}
	return &scheduler.Request{
		Rank:         r.Rank,
		Organisation: r.Organisation,
		Share:        1,
		Arrived:      now.Add(-r.Age),
		Deadline:     now.Add(r.Timeout),
		Patience:     r.Patience,
		Aim:          r.Aim,
		LateIsWorth:  true,
		Prompt:       r.Prompt,
		Output:       r.Output,
		Expected:     r.Expected,
		Chain:        chain(parts),
		Bytes:        r.Bytes,
		Exclude:      r.Exclude,
		Zone:         r.Zone,
	}
}

func problemOf(r *peer.SlotRefusal) *api.Problem {
	return api.Refuse(api.Reason(r.Reason), "%s", r.Detail).WithRetryAfter(r.RetryAfter)
}

// ServeSlot decides on a slot that a peer asks for, as the peer's own scheduler would,
// and blocks until it is given back or ctx ends. Whoever is asked decides: only the one
// that asks has to believe that this instance owns the shard.
func (f *Fleet) ServeSlot(ctx context.Context, r *peer.SlotRequest, s *peer.SlotStream) {
	shard := f.shardAt(r.Service, r.Shard)
	waiting := shard.pool.Submit(requestOf(time.Now(), r))
	turn, decided := waiting.Decided()
	if !decided {
		s.Queued()
		turn = waiting.Wait(ctx)
	}
	if turn.Problem != nil {
		p := turn.Problem
		err := s.Refused(ctx, peer.SlotRefusal{Reason: string(p.Reason), Detail: p.Detail, RetryAfter: p.RetryAfter})
		f.logSlot(r, s.Peer, "refused", string(p.Reason), err)
		return
	}
	ending, output := f.serveGrant(ctx, shard, r, s, turn.Grant)
	shard.pool.End(turn.Grant, ending, output)
}

// serveGrant tells the peer its slot and returns how the request ended.
func (f *Fleet) serveGrant(ctx context.Context, sh *shard, r *peer.SlotRequest, s *peer.SlotStream, g *scheduler.Grant) (scheduler.Ending, int) {
	err := s.Granted(ctx, peer.SlotGrant{Upstream: g.Upstream.ID, Predicted: g.Predicted(), Running: g.Running, ListVersion: f.listVersion()})
	f.logSlot(r, s.Peer, "granted", g.Upstream.ID, err)
	for err == nil {
		var release *peer.SlotRelease
		release, err = s.Next(ctx)
		switch {
		case err != nil:
		case release == nil:
			sh.pool.FirstToken(g)
		case scheduler.Ending(release.Ending).IsKnown():
			return scheduler.Ending(release.Ending), release.Output
		default:
			return scheduler.Cancelled, 0 // a peer of a newer version
		}
	}
	return scheduler.Cancelled, 0
}

func (f *Fleet) logSlot(r *peer.SlotRequest, asking, decision, why string, err error) {
	line := f.o.Log.Debug().Str("event", "slot").Str("request", r.ID).Str("peer", asking).Str("decision", decision).Str("why", why)
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Msg("")
}

// shardAt returns a shard of a service. Where the peer sees more shards than there are
// here, its list is another one, and any shard will do.
func (f *Fleet) shardAt(service string, index int) *shard {
	f.mu.Lock()
	defer f.mu.Unlock()
	shards := f.serviceOf(service).shards
	return shards[index%len(shards)]
}

// errNotUsable: an upstream that was granted may not be sent to, by this instance's list.
var errNotUsable = errors.New("the upstream may not be sent to")

// errNotListed: the upstream of a grant isn't on this instance's list.
var errNotListed = fmt.Errorf("%w: it isn't on the list", errNotUsable)

// mayBeSent tells whether an upstream that was granted may be sent to, by this instance's
// own list: the one that granted it may know less.
func (f *Fleet) mayBeSent(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	leaving, listed := f.leaving[id]
	switch {
	case !listed:
		return errNotListed
	case leaving:
		return fmt.Errorf("%w: %s is leaving", errNotUsable, id)
	default:
		return nil
	}
}

// listVersion returns the version of the list that upstreams are chosen from.
func (f *Fleet) listVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.Version
}

// lease is the right to send one request to an upstream. End is called once.
type lease interface {
	// Upstream by its ID.
	Upstream() string
	// Owner is the instance that granted it, empty for this one.
	Owner() string
	// ListVersion is the version of the list by which it was granted.
	ListVersion() int64
	// Predicted is the time in which the first token is expected.
	Predicted() time.Duration
	// FirstToken and Heard record that the first token, or anything else, has come.
	FirstToken()
	Heard()
	// End gives the slot back and says how the request ended.
	End(e scheduler.Ending, output int)
}

// ownLease is granted by this instance.
type ownLease struct {
	shard       *shard
	grant       *scheduler.Grant
	listVersion int64
}

func (l *ownLease) Upstream() string                   { return l.grant.Upstream.ID }
func (l *ownLease) Owner() string                      { return "" }
func (l *ownLease) ListVersion() int64                 { return l.listVersion }
func (l *ownLease) Predicted() time.Duration           { return l.grant.Predicted() }
func (l *ownLease) FirstToken()                        { l.shard.pool.FirstToken(l.grant) }
func (l *ownLease) Heard()                             { l.grant.Upstream.Heard(time.Now()) }
func (l *ownLease) End(e scheduler.Ending, output int) { l.shard.pool.End(l.grant, e, output) }

// heldSlot is a slot that a peer granted. *peer.Slot implements it.
type heldSlot interface {
	Started()
	Release(r peer.SlotRelease)
	// Lost tells whether the peer no longer counts the slot.
	Lost() bool
}

// peerLease is granted by the owner of a shard.
type peerLease struct {
	owner string
	grant peer.SlotGrant
	slot  heldSlot
	all   *leases
}

func (l *peerLease) Upstream() string         { return l.grant.Upstream }
func (l *peerLease) Owner() string            { return l.owner }
func (l *peerLease) ListVersion() int64       { return l.grant.ListVersion }
func (l *peerLease) Predicted() time.Duration { return l.grant.Predicted }
func (l *peerLease) FirstToken()              { l.slot.Started() }
func (l *peerLease) Heard()                   {} // the owner hears of first tokens and endings
func (l *peerLease) End(e scheduler.Ending, output int) {
	l.all.remove(l)
	l.slot.Release(peer.SlotRelease{Ending: uint8(e), Output: output})
}

// leases are those that owners granted to this instance. Safe for concurrent use.
type leases struct {
	mu   sync.Mutex
	held map[*peerLease]struct{}
}

func (a *leases) add(l *peerLease) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held == nil {
		a.held = map[*peerLease]struct{}{}
	}
	a.held[l] = struct{}{}
}

func (a *leases) remove(l *peerLease) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.held, l)
}

// lost counts, by upstream, what runs here by grants that no owner counts any more: its
// link ended. Whoever owns the shard now learns of them from heartbeats.
func (a *leases) lost() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]int{}
	for l := range a.held {
		if l.slot.Lost() {
			out[l.Upstream()]++
		}
	}
	return out
}

// endings are how the statuses of a sending are told to the scheduler.
var endings = map[status]scheduler.Ending{
	done:        scheduler.Completed,
	notSent:     scheduler.Unreachable,
	notUsable:   scheduler.Cancelled,
	notRun:      scheduler.Busy,
	misdirected: scheduler.Misdirected,
	lost:        scheduler.LostAnswer,
	garbage:     scheduler.LostAnswer,
	cut:         scheduler.LostAnswer,
	failed:      scheduler.Erred,
	callerGone:  scheduler.Cancelled,
	outOfTime:   scheduler.Cancelled,
}

// endingOf tells how a sending ended, with the status that was passed on.
func endingOf(s status, passed int) scheduler.Ending {
	if s == done && passed >= http.StatusInternalServerError {
		return scheduler.Erred
	}
	return endings[s]
}
