package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// pollInterval is how often a pool with waiting work looks at the clock: for
// upstreams that are avoided no longer and for work that can't be in time.
const pollInterval = 20 * time.Millisecond

// pool drives one scheduler.Core with the clock. Safe for concurrent use.
type pool struct {
	name string
	// onShed is called, without locks held, with the rank of work shed for load.
	onShed func(rank int)

	mu    sync.Mutex
	core  *scheduler.Core
	timer *time.Timer
}

// turn is what a waiting request is told: one of the two is set.
type turn struct {
	grant   *scheduler.Grant
	problem *api.Problem
}

func newPool(name string, core *scheduler.Core, onShed func(int)) *pool {
	p := &pool{name: name, core: core, onShed: onShed}
	p.timer = time.AfterFunc(time.Hour, p.poll)
	p.timer.Stop()
	return p
}

// acquire blocks until the request may be sent, is shed, or ctx ends.
func (p *pool) acquire(ctx context.Context, r *scheduler.Request) (*scheduler.Grant, *api.Problem) {
	turns := make(chan turn, 1)
	r.Value = turns
	p.apply(func(now time.Time) scheduler.Decisions { return p.core.Submit(now, r) })
	select {
	case t := <-turns:
		return t.grant, t.problem
	case <-ctx.Done():
	}
	p.mu.Lock()
	cancelled := p.core.Cancel(r)
	p.mu.Unlock()
	if cancelled {
		return nil, endedWaiting(ctx)
	}
	t := <-turns // it was decided at the same moment
	if t.grant != nil {
		p.apply(func(now time.Time) scheduler.Decisions { return p.core.Cancelled(now, t.grant) })
		return nil, endedWaiting(ctx)
	}
	return nil, t.problem
}

func endedWaiting(ctx context.Context) *api.Problem {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return api.Refuse(api.ReasonDeadlineExpired, "the deadline passed while the request waited; come back later or allow more time").WithRetryAfter(time.Second)
	}
	return api.Refuse(api.ReasonCallerGone, "the caller closed the connection while the request waited")
}

// apply runs one step of the core and carries out what it decided.
func (p *pool) apply(step func(now time.Time) scheduler.Decisions) {
	p.mu.Lock()
	d := step(time.Now())
	p.schedule()
	p.mu.Unlock()
	p.carryOut(d)
}

// schedule sets the timer while work waits. The caller holds the lock.
func (p *pool) schedule() {
	if _, waiting := p.core.NextExpiry(); waiting {
		p.timer.Reset(pollInterval)
		return
	}
	p.timer.Stop()
}

func (p *pool) poll() {
	p.apply(func(now time.Time) scheduler.Decisions { return p.core.Poll(now) })
}

func (p *pool) carryOut(d scheduler.Decisions) {
	for _, g := range d.Grants {
		g.Request.Value.(chan turn) <- turn{grant: g}
	}
	for _, s := range d.Sheds {
		s.Request.Value.(chan turn) <- turn{problem: s.Problem}
		if shedForLoad(s.Problem.Reason) && p.onShed != nil {
			p.onShed(s.Request.Rank)
		}
	}
}

func shedForLoad(r api.Reason) bool {
	return r == api.ReasonQueueFull || r == api.ReasonPredictedLate || r == api.ReasonDeadlineExpired
}

func (p *pool) setMembers(members []scheduler.Member) {
	p.apply(func(now time.Time) scheduler.Decisions {
		p.core.SetMembers(members)
		return p.core.Poll(now)
	})
}

func (p *pool) markLeaving(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.MarkLeaving(address)
}

func (p *pool) queued(ranks int) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Queued(ranks)
}

// UpstreamStatus is what an instance knows of an upstream, for operators.
type UpstreamStatus struct {
	Address        string    `json:"address"`
	Zone           string    `json:"zone"`
	Leaving        bool      `json:"leaving"`
	Running        int       `json:"running"`
	Window         int       `json:"window"`
	PromptTokens   int       `json:"pendingPromptTokens"`
	PrefillPerSec  float64   `json:"prefillTokensPerSecond"`
	IntervalMillis float64   `json:"tokenIntervalMillis"`
	AvoidedUntil   time.Time `json:"avoidedUntil,omitzero"`
}

func (p *pool) status() []UpstreamStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []UpstreamStatus
	for _, u := range p.core.Upstreams() {
		out = append(out, UpstreamStatus{
			Address:        u.Address,
			Zone:           u.Zone,
			Leaving:        u.Leaving,
			Running:        u.Running,
			Window:         u.Window.Size(),
			PromptTokens:   u.Pending,
			PrefillPerSec:  u.Speed.Prefill(),
			IntervalMillis: float64(u.Speed.Interval()) / float64(time.Millisecond),
			AvoidedUntil:   u.AvoidUntil,
		})
	}
	return out
}
