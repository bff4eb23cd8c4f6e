// Package dispatch serves requests at one instance. A request waits for a grant from the scheduler,
// is sent to an upstream, and the response is written to a buffer.
//
// Retries:
//   - A request of which no byte was written is always retried.
//   - An idempotent request that was refused or lost is retried within the retry budget.
//   - A truncated stream is resumed at its engine.
//   - A non-idempotent request of which a byte was written is never sent again.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/orglimit"
	"github.com/tacktally/tacktally/internal/pause"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/pool"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/subset"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/upstream"
)

const (
	// prefixIndexBlocks bounds the prefix blocks remembered per engine.
	prefixIndexBlocks = 2048
	// initialRetryBudget lets an instance with little traffic retry occasionally.
	initialRetryBudget = 5
	// maxRetryBudget bounds the retries that can be saved up.
	maxRetryBudget = 100
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 3
)

var errPaused = errors.New("the instance was paused after the decision")

var errShuttingDown = errors.New("the instance is shutting down")

// Options configures a Dispatcher.
type Options struct {
	// Instance is this instance's peer address.
	Instance string
	// Zone is this instance's availability zone. Only upstreams of this zone are used.
	Zone string
	// Subset is the approximate number of upstreams used of a set that has more.
	Subset           int
	Limits           queue.Limits
	RetryBudgetShare float64 // share of the first attempts that may be retried
	Client           *upstream.Client
	Metrics          *telemetry.Metrics
	Log              *log.Logger
	// ShedLowerAtPeers asks the peers of the zone to shed waiting work of lower tiers than
	// rank, before work of this rank is shed for lack of capacity. It blocks until no reachable
	// peer holds lower work, for a bounded time. May be nil.
	ShedLowerAtPeers func(set string, rank int)
	// Announce sends the pending prompt tokens to the peers at once, after a long prompt was sent
	// or its prefill ended. It must not block. May be nil.
	Announce func()
	// OnUpstreamLeaving is called when an upstream announced in a response that it leaves. It must
	// not block. May be nil.
	OnUpstreamLeaving func(address string)
	// Spill sends requests for which the zone has no free capacity to another zone. May be nil.
	Spill Spiller
	// Organisations limits the tokens per second of each organisation over all instances.
	Organisations *orglimit.Limiter
	// Gate refreshes the configuration and the instance list after a pause. It is called before
	// each decision.
	Gate *pause.Gate
	// Quarantine holds the requests that are believed to crash upstreams.
	Quarantine *quarantine.Registry
	// OnQuarantineChange is called when Quarantine has changes for the peers, and OnResponseRecorded when these
	// come from a response, often several within moments. They must not block.
	OnQuarantineChange func()
	OnResponseRecorded func()
}

// Dispatcher serves requests at this instance. It is safe for concurrent use.
type Dispatcher struct {
	o        Options
	budget   *retrybudget.Budget
	inFlight atomic.Int64
	aborted  atomic.Bool     // set before serving is done
	serving  context.Context // done once Abort was called
	abort    context.CancelFunc
	// cancellations are the calls that cancel streams.
	cancellations sync.WaitGroup

	mu      sync.Mutex
	pools   map[string]*pool.Pool
	members map[string][]scheduler.Member
	listed  map[setMember]bool   // all upstreams of the list, including those not used here
	leaving map[string]time.Time // time of the last leaving notice, by address
	// expiring reports whether a timer for the end of notices runs.
	expiring bool
	// states are those of the upstreams in the last list, by address. entered is when another process than before was
	// listed at an address.
	states  map[string]platform.State
	entered map[string]time.Time
}

// setMember is an upstream of a set.
type setMember struct{ set, address string }

// New returns a dispatcher without upstreams.
func New(o Options) *Dispatcher {
	serving, abort := context.WithCancel(context.Background())
	return &Dispatcher{
		o:       o,
		serving: serving,
		abort:   abort,
		budget:  retrybudget.New(retrybudget.Options{Share: o.RetryBudgetShare, Initial: initialRetryBudget, Max: maxRetryBudget}),
		pools:   map[string]*pool.Pool{},
		members: map[string][]scheduler.Member{},
		leaving: map[string]time.Time{},
		entered: map[string]time.Time{},
	}
}

// SetInstances applies a new instance list, and sends the waiting requests for which the list
// provides capacity.
func (d *Dispatcher) SetInstances(list []platform.Instance) {
	d.applyList(list)
	for _, p := range d.snapshotPools() {
		p.Poll()
	}
}

// snapshotPools returns the current pools. Pools that may decide on requests must be called without
// holding d.mu: a decision may be announced to the peers in a heartbeat, which reads all queues.
func (d *Dispatcher) snapshotPools() []*pool.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.pools))
}

func (d *Dispatcher) applyList(list []platform.Instance) {
	sets := d.selectMembers(list)
	all := map[setMember]bool{}
	for _, i := range list {
		if i.Set != "" {
			all[setMember{i.Set, i.Address}] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropFormerNoticesLocked(list)
	d.listed = all
	d.members = sets
	for name := range sets {
		d.poolLocked(name) // the pool must exist before cache events and peer load arrive
	}
	d.updateMembersLocked()
}

// selectMembers returns the upstreams of the list that this instance uses, by set.
func (d *Dispatcher) selectMembers(list []platform.Instance) map[string][]scheduler.Member {
	instances := []string{d.o.Instance}
	upstreams := map[string][]string{}
	leaving := map[string]bool{}
	for _, i := range list {
		switch {
		case i.Zone != d.o.Zone:
		case i.Set != "":
			upstreams[i.Set] = append(upstreams[i.Set], i.Address)
			leaving[i.Address] = i.State == platform.Leaving
		case i.State == platform.Live && i.Address != d.o.Instance:
			instances = append(instances, i.Address)
		}
	}
	out := map[string][]scheduler.Member{}
	for set, addresses := range upstreams {
		for _, a := range subset.Select(d.o.Instance, instances, addresses, d.o.Subset) {
			out[set] = append(out[set], scheduler.Member{Address: a, Zone: d.o.Zone, Leaving: leaving[a]})
		}
	}
	return out
}

// membersLocked returns the members of a set. A member is leaving if either the list or a recent
// leaving notice says so. The caller holds d.mu.
func (d *Dispatcher) membersLocked(set string) []scheduler.Member {
	out := slices.Clone(d.members[set])
	for i := range out {
		out[i].Leaving = out[i].Leaving || d.isNoticedLocked(out[i])
	}
	return out
}

// isLeaving reports whether an upstream of a set is leaving, by the list or by a recent notice.
func (d *Dispatcher) isLeaving(set, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.membersLocked(set), func(m scheduler.Member) bool { return m.Address == address && m.Leaving })
}

// ShedLower sheds waiting work of lower tiers than rank, at the request of a peer.
func (d *Dispatcher) ShedLower(set string, rank int) {
	d.mu.Lock()
	p := d.pools[set]
	d.mu.Unlock()
	if p != nil {
		p.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.ShedLower(now, rank) })
	}
}

// Displace sheds the least important request that waits in any set and is of a lower tier than
// rank. It returns false if there is none.
func (d *Dispatcher) Displace(rank int) bool {
	var worst *pool.Pool
	lowest := rank
	for _, p := range d.snapshotPools() {
		if r := p.LowestRank(); r > lowest {
			worst, lowest = p, r
		}
	}
	return worst != nil && worst.Displace(rank)
}

// Abort ends the requests that are being served: their buffers end with a Problem, and those that wait aren't sent any more.
// It doesn't block.
func (d *Dispatcher) Abort() {
	d.aborted.Store(true)
	d.abort()
}

// InFlight returns the number of requests being served.
func (d *Dispatcher) InFlight() int { return int(d.inFlight.Load()) }

// Queued returns the number of waiting requests by rank, for each set that has any.
func (d *Dispatcher) Queued(ranks int) map[string][]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]int{}
	for name, p := range d.pools {
		queued := p.Queued(ranks)
		if slices.ContainsFunc(queued, func(n int) bool { return n > 0 }) {
			out[name] = queued
		}
	}
	return out
}

// Upstreams returns the status of the upstreams of a set.
func (d *Dispatcher) Upstreams(set string) []pool.UpstreamStatus { return d.pool(set).Status() }

func (d *Dispatcher) pool(name string) *pool.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.poolLocked(name)
}

// poolLocked returns the pool of a set, which it creates if needed. The caller holds d.mu.
func (d *Dispatcher) poolLocked(name string) *pool.Pool {
	if p := d.pools[name]; p != nil {
		return p
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	picker := balancer.NewPredictive(config.DefaultPrefillWeight, random)
	core := scheduler.New(scheduler.Options{Picker: picker, Limits: d.o.Limits, PrefixIndexBlocks: prefixIndexBlocks, StrictTiers: true})
	core.SetMembers(d.membersLocked(name))
	o := pool.Options{Core: core, Picker: picker, Announce: d.o.Announce}
	if d.o.ShedLowerAtPeers != nil {
		o.ShedLowerAtPeers = func(rank int) { d.o.ShedLowerAtPeers(name, rank) }
	}
	p := pool.New(o)
	d.pools[name] = p
	return p
}

// Pending returns the prompt tokens that were sent to upstreams and await prefill, by address.
func (d *Dispatcher) Pending() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]int{}
	for _, p := range d.pools {
		p.AddPending(out)
	}
	return out
}

// HasList reports whether an instance list is in use.
func (d *Dispatcher) HasList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed != nil
}

// isListed reports whether an address is an upstream of the set in any zone. A stream is resumed at
// the engine that runs it, which may be in another zone.
func (d *Dispatcher) isListed(set, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed[setMember{set, address}]
}

// Members returns the addresses of the upstreams of a set that this instance uses and that are not
// leaving.
func (d *Dispatcher) Members(set string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, m := range d.membersLocked(set) {
		if !m.Leaving {
			out = append(out, m.Address)
		}
	}
	return out
}

// CacheEvent implements cacheevents.Sink.
func (d *Dispatcher) CacheEvent(address string, added, dropped []uint64) {
	d.o.Metrics.Count("tacktally_cache_events_total")
	d.eachCore(func(c *scheduler.Core) { c.ApplyCacheEvent(address, added, dropped) })
}

// CacheCleared implements cacheevents.Sink.
func (d *Dispatcher) CacheCleared(address string) {
	d.eachCore(func(c *scheduler.Core) { c.ClearCache(address) })
}

// eachCore calls f for each scheduler, under the lock of its pool.
func (d *Dispatcher) eachCore(f func(*scheduler.Core)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		p.View(f)
	}
}

// SetPeerLoad sets the pending prompt tokens that another instance reported, by upstream. A nil map
// removes the instance.
func (d *Dispatcher) SetPeerLoad(instance string, pending map[string]int) {
	for _, p := range d.snapshotPools() {
		p.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
			core.SetPeerLoad(instance, scheduler.Load{Pending: pending})
			return core.Poll(now)
		})
	}
}

// Serve serves a request under a configuration snapshot. It writes the response to the buffer,
// finishes the buffer, and blocks until then.
func (d *Dispatcher) Serve(ctx context.Context, s *config.Snapshot, r *request.Request, b *answer.Buffer) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	ctx, cancel := context.WithDeadlineCause(ctx, r.Deadline, context.DeadlineExceeded)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	defer context.AfterFunc(d.serving, func() { abort(errShuttingDown) })()
	started := time.Now()
	end := d.serve(ctx, s, r, b, started)
	if end.Problem != nil && d.aborted.Load() {
		end.Problem = abortedProblem(end.Outcome(), b.Started())
	}
	if r.NonIdempotent && r.LastEventID != "" && end.Outcome() == api.NotRun {
		end.Problem = end.Problem.WithUnknownOutcome() // only the resumption didn't run
	}
	b.Finish(end)
	d.recordEnd(r, end, time.Since(started))
}

// abortedProblem returns the problem of a request that the shutdown of the instance ended with the given outcome.
func abortedProblem(o api.Outcome, began bool) *api.Problem {
	switch {
	case o == api.NotRun:
		return api.Refuse(api.ReasonDraining, "this instance is shutting down; send the request again, another instance will serve it").WithRetryAfter(time.Second)
	case began:
		return api.UnknownOutcome(api.ReasonUpstreamCut, "this instance shut down while the upstream was responding; check what the request did, or resume with Last-Event-ID")
	default:
		return api.UnknownOutcome(api.ReasonUpstreamLost, "this instance shut down while the upstream ran the request; check what it did before you send it under a new key")
	}
}

func (d *Dispatcher) recordEnd(r *request.Request, end answer.End, took time.Duration) {
	d.o.Metrics.Ended(r.Tier, end.Outcome(), took)
	event := d.o.Log.Info().Str("event", "request_ended").Str("request", r.ID).Str("key", identityOf(r).Key.String()).
		Str("organisation", r.Organisation).Str("tier", r.Tier).
		Str("outcome", string(end.Outcome())).Dur("took", took)
	if reason := end.Reason(); reason != api.ReasonNone {
		d.o.Metrics.Refused(reason)
		event = event.Str("reason", string(reason))
	}
	event.Msg("")
}

// serve resolves the request in the snapshot and makes its attempts.
func (d *Dispatcher) serve(ctx context.Context, s *config.Snapshot, r *request.Request, b *answer.Buffer, started time.Time) answer.End {
	set, weight, problem := resolveSet(s, r)
	if problem != nil {
		return answer.End{Problem: problem}
	}
	pool := d.pool(set)
	pool.SetPrefillWeight(weight)
	tier, ok := s.Tier(r.Tier)
	if !ok {
		return answer.End{Problem: api.Refuse(api.ReasonUnknownTier, "tier %q isn't declared in revision %d; send the request again", r.Tier, s.Revision)}
	}
	org, ok := s.Organisation(r.Organisation)
	if !ok {
		return answer.End{Problem: api.Refuse(api.ReasonUnknownAPIKey, "organisation %q isn't declared in revision %d; ask your operator", r.Organisation, s.Revision)}
	}
	identity := identityOf(r)
	if left := d.o.Quarantine.Admit(started, identity); left > 0 {
		return answer.End{Problem: d.o.Quarantine.Refusal(identity, left)}
	}
	a := &attempts{
		identity: identity, dispatcher: d, snapshot: s, request: r, buffer: b, pool: pool,
		set: set, tier: tier, organisation: org,
	}
	take := orglimit.TakeRequest{
		Organisation: org.Name,
		TotalRate:    org.TokensPerSecond,
		Tokens:       r.PromptTokens + r.MaxOutputTokens,
		TopTier:      tier.Rank == 0,
	}
	if r.Spilled {
		return a.run(ctx) // the zone that it came from has taken its tokens already
	}
	granted, wait := d.o.Organisations.Take(started, take)
	if !granted {
		p := api.Refuse(api.ReasonOrganisationLimit, "organisation %s has used its %g tokens per second; retry after the given time, or ask your operator for more", org.Name, org.TokensPerSecond)
		return answer.End{Problem: p.WithRetryAfter(wait)}
	}
	end := a.run(ctx)
	d.o.Organisations.Return(org.Name, a.unused(end))
	return end
}

// resolveSet returns the set of upstreams that serves the request, and the weight of prefill cost
// in the choice among them.
func resolveSet(s *config.Snapshot, r *request.Request) (name string, prefillWeight float64, problem *api.Problem) {
	if r.Kind == request.Service {
		if _, ok := s.Service(r.Service); !ok {
			return "", 0, api.Refuse(api.ReasonUnknownService, "service %q isn't declared in revision %d; ask your operator", r.Service, s.Revision)
		}
		return r.Service, 0, nil
	}
	set, ok := s.EngineSetByModel(r.Model)
	if !ok {
		return "", 0, api.Refuse(api.ReasonUnknownModel, "model %q isn't served in revision %d; GET /v1/models lists those that are", r.Model, s.Revision)
	}
	return set.Name, set.PrefillWeight, nil
}

func (d *Dispatcher) recordRetry(r *request.Request, reason api.Reason, cause error) {
	d.o.Metrics.Retried(reason)
	d.o.Log.Warn().Str("event", "retry").Str("request", r.ID).Str("reason", string(reason)).
		Str("cause", fmt.Sprint(cause)).Msg("")
}
