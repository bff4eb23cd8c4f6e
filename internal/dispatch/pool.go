package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// pollInterval is how often a pool with waiting work looks at the clock: for
// upstreams that are avoided no longer and for work that can't be in time.
const pollInterval = 20 * time.Millisecond

// pool drives one scheduler.Core with the clock. Safe for concurrent use.
type pool struct {
	// press tells the peers that work of a rank is about to be shed for load, and
	// returns when none within reach holds lower work. May be nil.
	press func(rank int)
	// announce tells the peers at once what is pending. May be nil.
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

// turn is what a waiting request is told: one of the two is set.
type turn struct {
	grant   *scheduler.Grant
	problem *api.Problem
}

func newPool(core *scheduler.Core, picker *balancer.Predictive) *pool {
	p := &pool{core: core, picker: picker}
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
	long := slices.ContainsFunc(d.Grants, p.core.IsLong)
	p.mu.Unlock()
	p.carryOut(d)
	if long && p.announce != nil {
		p.announce()
	}
}

// firstToken records a first token, and tells the peers when a long prompt was read.
func (p *pool) firstToken(g *scheduler.Grant) {
	long := false
	p.apply(func(now time.Time) scheduler.Decisions {
		long = p.core.IsLong(g)
		return p.core.FirstToken(now, g)
	})
	if long && p.announce != nil {
		p.announce()
	}
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
		tell := func() { s.Request.Value.(chan turn) <- turn{problem: s.Problem} }
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
func (p *pool) relieved(rank int) <-chan struct{} {
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

func (p *pool) setMembers(members []scheduler.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetMembers(members)
}

func (p *pool) markLeaving(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.MarkLeaving(address)
}

func (p *pool) lowestRank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.LowestRank()
}

// displace gives up one waiting request of a lower tier than rank.
func (p *pool) displace(rank int) (displaced bool) {
	p.apply(func(time.Time) scheduler.Decisions {
		d := p.core.Displace(rank)
		displaced = len(d.Sheds) > 0
		return d
	})
	return displaced
}

func (p *pool) addPending(to map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.Copy(to, p.core.Pending())
}

func (p *pool) setPrefillWeight(w float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.PrefillWeight = w
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
