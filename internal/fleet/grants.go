package fleet

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/view"
)

// ErrNotUsable means that a granted upstream may not be sent to, by the list of this instance.
var ErrNotUsable = errors.New("the upstream is not usable")

// The reasons for which an upstream is not usable.
var (
	// ErrNotListed means that the upstream isn't on the list of this instance.
	ErrNotListed = fmt.Errorf("%w: it is not on the list", ErrNotUsable)
	// ErrLeaving means that the upstream has announced that it is leaving.
	ErrLeaving = fmt.Errorf("%w: it is leaving", ErrNotUsable)
	// ErrLimitUnknown means that the granting instance didn't know of the limit that the upstream
	// advertises.
	ErrLimitUnknown = fmt.Errorf("%w: it advertises a limit that the grant does not account for", ErrNotUsable)
	// ErrOtherVersion means that the upstream isn't of the software version that began the stream.
	ErrOtherVersion = fmt.Errorf("%w: it isn't of the version that began the stream", ErrNotUsable)
	// ErrReplaced means that the process to send to is no longer on the list; its upstream may have another one.
	ErrReplaced = fmt.Errorf("%w: its process is no longer on the list", ErrNotUsable)
	// ErrEvacuated means that operators evacuate the availability zone of the upstream.
	ErrEvacuated = fmt.Errorf("%w: its availability zone is evacuated", ErrNotUsable)
)

// unusableReason returns why an upstream of the list gets no new requests, nil if it does get them. The
// caller holds the lock.
func (f *Fleet) unusableReason(u view.Upstream) error {
	_, announced := f.leavingNotices[processName(u.ID, u.Incarnation)]
	switch {
	case u.Leaving, announced:
		return ErrLeaving
	case slices.Contains(f.evacuated, u.Zone):
		return ErrEvacuated
	default:
		return nil
	}
}

// CheckUsable returns nil if a granted upstream may be sent to by the list of this instance, and the
// reason otherwise: the granting instance may have older information.
func (f *Fleet) CheckUsable(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[id]
	switch {
	case u == nil:
		return ErrNotListed
	case u.unusable == nil && f.backoffs.Check(time.Now(), id) != nil:
		return ErrBackingOff
	default:
		return u.unusable
	}
}

// listVersion returns the version of the list from which upstreams are selected.
func (f *Fleet) listVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Grant is the right to send one request to an upstream. End is called exactly once.
type Grant interface {
	// Upstream returns the ID of the upstream.
	Upstream() string
	// Owner returns the granting instance, empty for this one.
	Owner() string
	// ListVersion returns the version of the list by which the upstream was granted.
	ListVersion() int64
	// Limited reports whether the granting instance knew that the upstream advertises a limit.
	Limited() bool
	// PredictedFirstToken returns the predicted time to the first token.
	PredictedFirstToken() time.Duration
	// RecordLoad records the valid load report of the response, which RecordFirstToken passes to the owner,
	// or End if there is no first token. It is called before both.
	RecordLoad(r loadreport.Report)
	// RecordFirstToken and RecordActivity record that the first token, or any other part of the response, has
	// arrived.
	RecordFirstToken()
	RecordActivity()
	// End releases the slot and reports how the request ended, with its number of output tokens. With the result
	// scheduler.Unused the retry budget gets back what the grant was charged.
	End(r scheduler.Result, output int)
}

// localGrant is a Grant of this instance.
type localGrant struct {
	fleet       *Fleet
	shard       *shard
	grant       *scheduler.Grant
	listVersion int64
	retryBudget *retrybudget.Budget // charged for the attempt
	attempt     peer.AttemptKind
	load        pendingLoad
}

func (g *localGrant) Upstream() string                   { return g.grant.Upstream.ID }
func (g *localGrant) Owner() string                      { return "" }
func (g *localGrant) ListVersion() int64                 { return g.listVersion }
func (g *localGrant) Limited() bool                      { return g.grant.Limited }
func (g *localGrant) PredictedFirstToken() time.Duration { return g.grant.PredictedFirstToken() }
func (g *localGrant) RecordLoad(r loadreport.Report)     { g.load.set(r) }
func (g *localGrant) RecordActivity()                    { g.grant.Upstream.MarkSeen(time.Now()) }

// RecordFirstToken implements Grant.
func (g *localGrant) RecordFirstToken() {
	g.fleet.recordLoad(g.shard, g.grant, g.load.take())
	g.shard.pool.RecordFirstToken(g.grant)
}

// End implements Grant. A report that End passes is of a response without a first token, such as a
// refusal, and doesn't count this request; so the request is ended first.
func (g *localGrant) End(r scheduler.Result, output int) {
	g.fleet.endGrant(g.shard, g.grant, "", r, output)
	if r == scheduler.Unused {
		refund(g.retryBudget, g.attempt)
	}
	g.fleet.recordLoad(g.shard, g.grant, g.load.take())
}

// endGrant releases the slot of a grant, with the result that the reporting instance observed; empty for
// this instance. It logs whose report opened the circuit of an upstream.
func (f *Fleet) endGrant(s *shard, g *scheduler.Grant, reporter string, r scheduler.Result, output int) {
	opened := false
	s.pool.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
		before := g.Upstream.CircuitOpenUntil
		decisions := core.End(now, g, r, output)
		opened = g.Upstream.CircuitOpenUntil.After(before)
		return decisions
	})
	if !opened {
		return
	}
	f.o.Metrics.Count(`tacktally_circuits_opened_total{reporter="` + reporterKind(reporter) + `"}`)
	f.o.Log.Info().Str("event", "circuit_opened").Str("upstream", g.Upstream.ID).Str("service", s.service).
		Str("reporter", reporter).Str("result", r.String()).Msg("")
}

func reporterKind(reporter string) string {
	if reporter == "" {
		return "self"
	}
	return "peer"
}

// grantedSlot is a slot that a peer granted. *peer.Slot implements it.
type grantedSlot interface {
	// Started reports the first token and the load report of the response; the zero value for none.
	Started(load loadreport.Report)
	// Release returns the slot, with the load report of a response that had no first token.
	Release(r peer.SlotRelease, load loadreport.Report)
	// Lost reports whether the peer no longer counts the slot.
	Lost() bool
}

// peerGrant is a Grant of the owner of a shard, another instance.
type peerGrant struct {
	owner     string
	slotGrant peer.SlotGrant
	slot      grantedSlot
	tracked   *peerGrants
	load      pendingLoad
}

func (g *peerGrant) Upstream() string                   { return g.slotGrant.Upstream }
func (g *peerGrant) Owner() string                      { return g.owner }
func (g *peerGrant) ListVersion() int64                 { return g.slotGrant.ListVersion }
func (g *peerGrant) Limited() bool                      { return g.slotGrant.Limited }
func (g *peerGrant) PredictedFirstToken() time.Duration { return g.slotGrant.PredictedFirstToken }
func (g *peerGrant) RecordLoad(r loadreport.Report)     { g.load.set(r) }
func (g *peerGrant) RecordFirstToken()                  { g.slot.Started(g.load.take()) }
func (g *peerGrant) RecordActivity()                    {} // the owner gets first tokens and results only

// End implements Grant.
func (g *peerGrant) End(r scheduler.Result, output int) {
	g.tracked.remove(g)
	g.slot.Release(peer.SlotRelease{Result: uint8(r), Output: output}, g.load.take())
}

// peerGrants holds the unfinished grants of other instances. It is safe for concurrent use.
type peerGrants struct {
	mu     sync.Mutex
	grants map[*peerGrant]struct{}
}

func (a *peerGrants) add(g *peerGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.grants == nil {
		a.grants = map[*peerGrant]struct{}{}
	}
	a.grants[g] = struct{}{}
}

func (a *peerGrants) remove(g *peerGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.grants, g)
}

// lost counts, by upstream, the running requests whose grant no owner counts any more, since the link to
// the owner has ended. The current owner learns of them from heartbeats.
func (a *peerGrants) lost() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]int{}
	for g := range a.grants {
		if g.slot.Lost() {
			out[g.Upstream()]++
		}
	}
	return out
}
