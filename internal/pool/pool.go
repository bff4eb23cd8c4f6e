// Package pool drives one scheduler.Core with the clock, for goroutines that wait for
// their turn.
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
	"github.com/tacktally/tacktally/internal/scheduler"
)

// pollInterval is how often a pool with waiting work looks at the clock: for
// upstreams that are avoided no longer and for work that can't be in time.
const pollInterval = 20 * time.Millisecond

// timerSlack lets the timer fire after the time at which something expires, not with it.
const timerSlack = 100 * time.Microsecond

// Options of a Pool.
type Options struct {
	Core *scheduler.Core
	// Picker of the core, where its weight is to be changed. May be nil.
	Picker *balancer.Predictive
	// ShedLowerAtPeers tells the peers that work of a rank is about to be shed for load, and
	// returns when none within reach holds lower work. May be nil.
	ShedLowerAtPeers func(rank int)
	// Announce tells the peers at once what is pending. It must not block. May be nil.
	Announce func()
}

// Pool drives one scheduler.Core with the clock. Safe for concurrent use.
type Pool struct {
	press    func(rank int)
	announce func()

	mu      sync.Mutex
	core    *scheduler.Core
	picker  *balancer.Predictive
	timer   *time.Timer
	pressed pressed
}

// pressed is the last time that the peers were told of pressure. Done is closed
// when none within reach holds lower work any more.
type pressed struct {
	rank int
	at   time.Time
	done chan struct{}
}

// pressAgain is the age from which on the peers are told again. They hold lower
// work back for longer than that.
const pressAgain = 500 * time.Millisecond

// Decision is what a waiting request is told: one of the two is set.
type Decision struct {
	Grant   *scheduler.Grant
	Problem *api.Problem
}

// New returns a pool around a core, which nothing else may use any more.
func New(o Options) *Pool {
	p := &Pool{press: o.ShedLowerAtPeers, announce: o.Announce, core: o.Core, picker: o.Picker}
	p.timer = time.AfterFunc(time.Hour, p.Poll)
	p.timer.Stop()
	return p
}

// PendingRequest is a request that was submitted and is to be decided on.
type PendingRequest struct {
	pool    *Pool
	request *scheduler.Request
	turns   chan Decision
}

// Submit submits a request. Exactly one call of Decided that returns true, or of Wait, is
// to follow.
func (p *Pool) Submit(r *scheduler.Request) *PendingRequest {
	w := &PendingRequest{pool: p, request: r, turns: make(chan Decision, 1)}
	r.Value = w.turns
	p.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.Submit(now, r) })
	return w
}

// TryWait returns the decision if there is one already. It doesn't block.
func (w *PendingRequest) TryWait() (Decision, bool) {
	select {
	case t := <-w.turns:
		return t, true
	default:
		return Decision{}, false
	}
}

// Wait blocks until the request may be sent, is shed, or ctx ends.
func (w *PendingRequest) Wait(ctx context.Context) Decision {
	select {
	case t := <-w.turns:
		return t
	case <-ctx.Done():
	}
	p := w.pool
	p.mu.Lock()
	cancelled := p.core.Cancel(w.request)
	p.mu.Unlock()
	if cancelled {
		return Decision{Problem: WaitEndedProblem(ctx)}
	}
	t := <-w.turns // it was decided at the same moment
	if t.Grant != nil {
		p.End(t.Grant, scheduler.Cancelled, 0)
		return Decision{Problem: WaitEndedProblem(ctx)}
	}
	return t
}

// Acquire blocks until the request may be sent, is shed, or ctx ends.
func (p *Pool) Acquire(ctx context.Context, r *scheduler.Request) (*scheduler.Grant, *api.Problem) {
	t := p.Submit(r).Wait(ctx)
	return t.Grant, t.Problem
}

// End records how a granted request ended.
func (p *Pool) End(g *scheduler.Grant, e scheduler.Result, output int) {
	p.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.End(now, g, e, output) })
}

// WaitEndedProblem words the end of a context while a request waited.
func WaitEndedProblem(ctx context.Context) *api.Problem {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return api.Refuse(api.ReasonDeadlineExpired, "the deadline passed while the request waited; come back later or allow more time").WithRetryAfter(time.Second)
	}
	return api.Refuse(api.ReasonCallerGone, "the caller closed the connection while the request waited")
}

// Apply runs one step of the core under the lock and carries out what it decided.
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

// RecordFirstToken records a first token, and tells the peers when a long prompt was read.
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

// schedule sets the timer while work waits. The caller holds the lock.
func (p *Pool) schedule() {
	expiry, waiting := p.core.NextExpiry()
	if !waiting {
		p.timer.Stop()
		return
	}
	p.timer.Reset(min(pollInterval, max(time.Until(expiry), 0)+timerSlack))
}

// Poll gives up what can no longer be in time and sends what has room.
func (p *Pool) Poll() {
	p.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.Poll(now) })
}

func (p *Pool) carryOut(d scheduler.Decisions) {
	for _, g := range d.Grants {
		g.Request.Value.(chan Decision) <- Decision{Grant: g}
	}
	for _, s := range d.Sheds {
		tell := func() { s.Request.Value.(chan Decision) <- Decision{Problem: s.Problem} }
		if p.press == nil || !shedForLoad(s.Problem.Reason) {
			tell()
			continue
		}
		go func() { // lower work that waits at peers goes first
			<-p.relieved(s.Request.Rank)
			tell()
		}()
	}
}

// relieved returns a channel that is closed when no peer within reach holds work
// lower than a rank. The peers are told unless they hold it back already.
func (p *Pool) relieved(rank int) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pressed.done != nil && p.pressed.rank <= rank && time.Since(p.pressed.at) < pressAgain {
		return p.pressed.done
	}
	done := make(chan struct{})
	p.pressed = pressed{rank: rank, at: time.Now(), done: done}
	go func() {
		p.press(rank)
		close(done)
	}()
	return done
}

func shedForLoad(r api.Reason) bool {
	return r == api.ReasonQueueFull || r == api.ReasonPredictedLate || r == api.ReasonDeadlineExpired
}

// View calls f with the core under the lock. F must not change what waits.
func (p *Pool) View(f func(core *scheduler.Core)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.core)
}

// SetMembers replaces the upstreams.
func (p *Pool) SetMembers(members []scheduler.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetMembers(members)
}

// UpdateMembers takes upstreams that are new or have changed, and the IDs of those that have left the list.
func (p *Pool) UpdateMembers(changed []scheduler.Member, gone []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.UpdateMembers(changed, gone)
}

// AdoptRates takes what another instance has learned of an upstream's speed.
func (p *Pool) AdoptRates(id string, r estimate.Rates) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.AdoptRates(id, r)
}

// MarkLeaving stops new work to an upstream.
func (p *Pool) MarkLeaving(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.MarkLeaving(address)
}

// LowestRank returns the least important rank that waits, or -1.
func (p *Pool) LowestRank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.LowestRank()
}

// Displace gives up one waiting request of a lower tier than rank.
func (p *Pool) Displace(rank int) (displaced bool) {
	p.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions {
		d := core.Displace(now, rank)
		displaced = len(d.Sheds) > 0
		return d
	})
	return displaced
}

// AddPending adds the prompt tokens sent to upstreams and not read yet.
func (p *Pool) AddPending(to map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.Copy(to, p.core.Pending())
}

// SetPrefillWeight sets how much the choice minds reading a prompt again.
func (p *Pool) SetPrefillWeight(w float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.PrefillWeight = w
}

// Queued returns how many requests of each rank wait.
func (p *Pool) Queued(ranks int) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Queued(ranks)
}

// UpstreamStatus is what an instance knows of an upstream, for operators.
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
}

// Status returns what is known of the upstreams.
func (p *Pool) Status() []UpstreamStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
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
		})
	}
	return out
}
