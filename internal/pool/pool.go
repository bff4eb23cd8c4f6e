// Package pool drives a scheduler.Core with the wall clock and makes it safe for concurrent use.
// A caller submits a request and waits for the decision.
package pool

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/estimate"
	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/retryschedule"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// pollInterval is the interval at which a Pool with waiting requests polls its Core: for circuits
// whose open period has ended and for requests that can no longer be in time.
const pollInterval = 20 * time.Millisecond

// timerSlack delays the timer past an expiry, so that the item has expired when the timer fires.
const timerSlack = 100 * time.Microsecond

// Options configure a Pool.
type Options struct {
	// Core must not be used by anything else after New.
	Core *scheduler.Core
	// Picker of the Core, required by SetPrefillWeight. May be nil.
	Picker *balancer.Predictive
	// ShedLowerAtPeers announces to the peers that requests of a rank are about to be shed for
	// load. It blocks until no reachable peer holds requests of lower tiers. May be nil.
	ShedLowerAtPeers func(rank int)
	// Announce immediately sends the peers this instance's pending tokens. It must not block. May
	// be nil.
	Announce func()
}

// Pool drives a scheduler.Core with the wall clock. It is safe for concurrent use.
type Pool struct {
	shedLowerAtPeers func(rank int)
	announce         func()

	mu       sync.Mutex
	core     *scheduler.Core
	picker   *balancer.Predictive
	timer    *time.Timer
	peerShed peerShed
}

// peerShed is the latest call of ShedLowerAtPeers. done is closed when it has returned.
type peerShed struct {
	rank int
	at   time.Time
	done chan struct{}
}

// peerShedLifetime is the time after which a call of ShedLowerAtPeers is repeated. Peers keep
// lower tiers out of their queues for longer than that.
const peerShedLifetime = 500 * time.Millisecond

// Decision is the decision on a request. Exactly one of the two fields is set.
type Decision struct {
	Grant   *scheduler.Grant
	Problem *api.Problem
}

// New returns a Pool that takes over o.Core.
func New(o Options) *Pool {
	p := &Pool{shedLowerAtPeers: o.ShedLowerAtPeers, announce: o.Announce, core: o.Core, picker: o.Picker}
	p.timer = time.AfterFunc(time.Hour, p.Poll)
	p.timer.Stop()
	return p
}

// PendingRequest is a submitted request whose decision is outstanding.
type PendingRequest struct {
	pool      *Pool
	request   *scheduler.Request
	decisions chan Decision
}

// Submit submits a request. It must be followed by exactly one call of Wait, or of TryWait that
// returns true.
func (p *Pool) Submit(r *scheduler.Request) *PendingRequest {
	w := &PendingRequest{pool: p, request: r, decisions: make(chan Decision, 1)}
	r.Value = w.decisions
	p.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.Submit(now, r) })
	return w
}

// TryWait returns the decision if there is one. It does not block.
func (w *PendingRequest) TryWait() (Decision, bool) {
	select {
	case d := <-w.decisions:
		return d, true
	default:
		return Decision{}, false
	}
}

// Wait blocks until the request is granted or shed, or ctx ends. If ctx ends, a grant made at the
// same moment is cancelled.
func (w *PendingRequest) Wait(ctx context.Context) Decision {
	select {
	case d := <-w.decisions:
		return d
	case <-ctx.Done():
	}
	p := w.pool
	p.mu.Lock()
	cancelled := p.core.Cancel(w.request)
	p.mu.Unlock()
	if cancelled {
		return Decision{Problem: WaitEndedProblem(ctx)}
	}
	d := <-w.decisions // it was decided concurrently
	if d.Grant != nil {
		p.End(d.Grant, scheduler.Cancelled, 0)
		return Decision{Problem: WaitEndedProblem(ctx)}
	}
	return d
}

// Acquire submits a request and blocks until it is granted or shed, or ctx ends.
func (p *Pool) Acquire(ctx context.Context, r *scheduler.Request) (*scheduler.Grant, *api.Problem) {
	d := p.Submit(r).Wait(ctx)
	return d.Grant, d.Problem
}

// End records the result of a granted request, and the output tokens of a complete response.
func (p *Pool) End(g *scheduler.Grant, r scheduler.Result, output int) {
	p.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.End(now, g, r, output) })
}

// WaitEndedProblem returns the problem for a request whose context ended while it waited.
func WaitEndedProblem(ctx context.Context) *api.Problem {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return api.Refuse(api.ReasonDeadlineExpired, "the deadline passed while the request waited; retry later or allow more time").WithRetryAfter(time.Second)
	}
	return api.Refuse(api.ReasonCallerGone, "the caller closed the connection while the request waited")
}

// Apply runs step with the Core under the lock and carries out its decisions. If it granted a
// request with a long prefill, the peers are informed.
func (p *Pool) Apply(step func(now time.Time, core *scheduler.Core) scheduler.Decisions) {
	p.mu.Lock()
	d := step(time.Now(), p.core)
	p.schedule()
	long := slices.ContainsFunc(d.Grants, p.core.HasLongPrefill)
	p.mu.Unlock()
	p.carryOut(d)
	if long && p.announce != nil {
		p.announce()
	}
}

// RecordFirstToken records a first token. If the prefill was long, the peers are informed.
func (p *Pool) RecordFirstToken(g *scheduler.Grant) {
	long := false
	p.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
		long = core.HasLongPrefill(g)
		return core.RecordFirstToken(now, g)
	})
	if long && p.announce != nil {
		p.announce()
	}
}

// RecordLoad records the load report of a response, before its first token.
func (p *Pool) RecordLoad(g *scheduler.Grant, r loadreport.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.RecordLoad(time.Now(), g, r)
}

// LearnBrittle records that another instance has seen upstreams say that they are brittle.
func (p *Pool) LearnBrittle(maxRefusals map[string]int) {
	if len(maxRefusals) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.LearnBrittle(time.Now(), maxRefusals)
}

// LoadReports summarises the load reports of the upstreams.
func (p *Pool) LoadReports() scheduler.LoadReports {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.LoadReports(time.Now())
}

// schedule sets the timer if requests wait, and stops it otherwise. The caller holds the lock.
func (p *Pool) schedule() {
	expiry, waiting := p.core.NextExpiry()
	if !waiting {
		p.timer.Stop()
		return
	}
	p.timer.Reset(min(pollInterval, max(time.Until(expiry), 0)+timerSlack))
}

// Poll sheds waiting requests that can no longer be in time, and grants those for which there is
// capacity.
func (p *Pool) Poll() {
	p.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.Poll(now) })
}

func (p *Pool) carryOut(d scheduler.Decisions) {
	for _, g := range d.Grants {
		g.Request.Value.(chan Decision) <- Decision{Grant: g}
	}
	for _, s := range d.Sheds {
		send := func() { s.Request.Value.(chan Decision) <- Decision{Problem: s.Problem} }
		if p.shedLowerAtPeers == nil || !isShedForLoad(s.Problem.Reason) {
			send()
			continue
		}
		go func() { // lower tiers that wait at peers are shed first
			<-p.lowerTiersShed(s.Request.Rank)
			send()
		}()
	}
}

// lowerTiersShed returns a channel that is closed when no reachable peer holds requests of tiers
// below rank. It calls ShedLowerAtPeers unless a recent call covers the rank.
func (p *Pool) lowerTiersShed(rank int) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peerShed.done != nil && p.peerShed.rank <= rank && time.Since(p.peerShed.at) < peerShedLifetime {
		return p.peerShed.done
	}
	done := make(chan struct{})
	p.peerShed = peerShed{rank: rank, at: time.Now(), done: done}
	go func() {
		p.shedLowerAtPeers(rank)
		close(done)
	}()
	return done
}

func isShedForLoad(r api.Reason) bool {
	return r == api.ReasonQueueFull || r == api.ReasonPredictedLate || r == api.ReasonDeadlineExpired
}

// View calls f with the Core under the lock. f must not change which requests wait.
func (p *Pool) View(f func(core *scheduler.Core)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.core)
}

// SetMembers replaces the list of upstreams.
func (p *Pool) SetMembers(members []scheduler.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetMembers(members)
}

// UpdateMembers applies changes to the list of upstreams: members that are new or changed, and the
// IDs of those removed.
func (p *Pool) UpdateMembers(changed []scheduler.Member, removed []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.UpdateMembers(changed, removed)
}

// AdoptRates applies speed estimates of an upstream that another instance has learned.
func (p *Pool) AdoptRates(id string, r estimate.Rates) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.AdoptRates(id, r)
}

// MarkLeaving stops new grants to an upstream.
func (p *Pool) MarkLeaving(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.MarkLeaving(id)
}

// LowestRank returns the least important rank with waiting requests, or -1.
func (p *Pool) LowestRank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.LowestRank()
}

// Displace sheds the least important waiting request of a tier below rank. It reports whether there
// was one.
func (p *Pool) Displace(rank int) (displaced bool) {
	p.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
		d := core.Displace(now, rank)
		displaced = len(d.Sheds) > 0
		return d
	})
	return displaced
}

// AddPending copies the prompt tokens sent and not yet prefilled into the map, by upstream ID.
func (p *Pool) AddPending(to map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.Copy(to, p.core.Pending())
}

// SetPrefillWeight sets the picker's weight of prefill time. Options.Picker must be set.
func (p *Pool) SetPrefillWeight(w float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.PrefillWeight = w
}

// Queued returns the number of waiting requests of each rank below ranks.
func (p *Pool) Queued(ranks int) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Queued(ranks)
}

// RetryCounts returns by rank how many callers were told to retry when, and how many did.
func (p *Pool) RetryCounts() [retryschedule.Ranks]retryschedule.Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.RetryCounts()
}

// UpstreamStatus is the state of an upstream as reported to operators.
type UpstreamStatus struct {
	Address          string    `json:"address"`
	Zone             string    `json:"zone"`
	Leaving          bool      `json:"leaving"`
	Running          int       `json:"running"`
	Window           int       `json:"window"`
	PendingTokens    int       `json:"pendingPromptTokens"`
	PrefillPerSec    float64   `json:"prefillTokensPerSecond"`
	IntervalMillis   float64   `json:"tokenIntervalMillis"`
	CircuitOpenUntil time.Time `json:"avoidedUntil,omitzero"`
	// InTransit is the mean number of requests counted at the upstream but not held by it, and
	// WorkPercent the work time that it reports, in percent of that of an ordinary machine; 0 without
	// a load report of the last second.
	InTransit   float64 `json:"requestsInTransit,omitzero"`
	WorkPercent int     `json:"workPercent,omitzero"`
}

// Status returns the state of all upstreams.
func (p *Pool) Status() []UpstreamStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []UpstreamStatus
	for _, u := range p.core.Upstreams() {
		out = append(out, UpstreamStatus{
			Address:          u.Address,
			Zone:             u.Zone,
			Leaving:          u.Leaving,
			Running:          u.Running,
			Window:           u.Window.Size(),
			PendingTokens:    u.PendingTokens,
			PrefillPerSec:    u.Speed.Prefill(),
			IntervalMillis:   float64(u.Speed.Interval()) / float64(time.Millisecond),
			CircuitOpenUntil: u.CircuitOpenUntil,
			InTransit:        u.InTransit(now),
			WorkPercent:      u.WorkPercent(now),
		})
	}
	return out
}
