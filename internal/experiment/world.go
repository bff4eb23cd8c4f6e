package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/standin/engine"
)

const (
	// hop is the time between an instance and an engine or a peer, one way.
	hop = 500 * time.Microsecond
	// pollEvery is how often an instance looks at the clock.
	pollEvery = 20 * time.Millisecond
	// memoryBlocks is what an instance remembers of an engine's cache.
	memoryBlocks = 2048
	instances    = 2
	// cacheEventLag is how late engines tell of their caches, cacheEventGap the
	// share of the events that is lost.
	cacheEventLag = 500 * time.Millisecond
	cacheEventGap = 0.1
	// heartbeat is the time between two, and suspectAfter the silence after which
	// what an instance told is forgotten.
	heartbeat    = 500 * time.Millisecond
	suspectAfter = 2 * time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is something that happens at a time. Equal times keep their order.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// world is one run: engines, instances and requests in virtual time.
type world struct {
	policy    Policy
	now       time.Duration
	events    eventHeap
	scheduled int
	engines   map[string]*simEngine
	instances []*simInstance
	cut       bool // the instances can't hear each other
	readOnce  map[uint64]bool
	jobs      []*job
	result    *Result
}

// simEngine steps a model engine.
type simEngine struct {
	world    *world
	address  string
	model    *engine.Model
	stepping bool
}

// simInstance is an instance's scheduler.
type simInstance struct {
	world *world
	core  *scheduler.Core
	name  string
	dead  bool
}

// job is one request on its way.
type job struct {
	arrival  *arrival
	instance *simInstance
	request  *scheduler.Request
	grant    *scheduler.Grant
	sequence *engine.Sequence
	first    time.Duration // since its arrival, 0 before the first token
	ended    bool
	resumed  bool // its stream outlived its instance
	counted  bool // its prompt is counted

	readAgain int // prompt tokens read that some engine had read before
}

func newWorld(d Deployment, p Policy, seed uint64) *world {
	w := &world{policy: p, engines: map[string]*simEngine{}, readOnce: map[uint64]bool{}, result: newResult()}
	var members []scheduler.Member
	for i, s := range d.engines {
		address := string(rune('A' + i))
		w.engines[address] = &simEngine{world: w, address: address, model: engine.NewModel(s)}
		members = append(members, scheduler.Member{Address: address})
	}
	w.publishCacheEvents(rand.New(rand.NewPCG(seed, 99)))
	for i := range instances {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		core := scheduler.New(scheduler.Options{
			Picker:            p.Picker(random),
			Limits:            queue.Limits{MaxItems: 2000, MaxBytes: 1 << 40},
			PrefixIndexBlocks: memoryBlocks,
			Unqueued:          p.Unqueued,
			StrictTiers:       true,
		})
		core.SetMembers(members)
		w.instances = append(w.instances, &simInstance{world: w, core: core, name: string(rune('0' + i))})
	}
	return w
}

// publishCacheEvents lets every engine tell of its cache, late and with gaps.
func (w *world) publishCacheEvents(random *rand.Rand) {
	for address, e := range w.engines {
		e.model.OnCache(func(added, dropped []uint64) {
			if random.Float64() < cacheEventGap {
				return
			}
			w.after(cacheEventLag, func() {
				for _, i := range w.instances {
					if !i.dead && !w.policy.Unqueued {
						i.core.ApplyCacheEvent(address, added, dropped)
					}
				}
			})
		})
	}
}

func (w *world) at(t time.Duration, do func()) {
	w.scheduled++
	heap.Push(&w.events, event{at: t, order: w.scheduled, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) clock() time.Time { return epoch.Add(w.now) }

// run lets everything happen until nothing is left.
func (w *world) run() {
	for w.events.Len() > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// poll makes an instance look at the clock until the end.
func (w *world) poll(i *simInstance, until time.Duration) {
	if w.now > until || i.dead {
		return
	}
	i.apply(i.core.Poll(w.clock()))
	w.after(pollEvery, func() { w.poll(i, until) })
}

// arrive gives a request to an instance.
func (w *world) arrive(a *arrival, i *simInstance) {
	j := &job{arrival: a, instance: i}
	w.result.offered(a)
	w.jobs = append(w.jobs, j)
	w.submit(j)
	w.at(a.at+a.class.timeout, func() { w.timeOut(j) })
}

func (w *world) submit(j *job) {
	c := j.arrival.class
	j.request = &scheduler.Request{
		Rank:                c.tier,
		Organisation:        j.arrival.organisation,
		Share:               1,
		Arrived:             epoch.Add(j.arrival.at),
		Deadline:            epoch.Add(j.arrival.at + c.timeout),
		MaxTimeToFirstToken: c.firstToken,
		PromptTokens:        j.arrival.prompt,
		MaxOutput:           c.limit,
		PrefixHashes:        j.arrival.chain,
		Bytes:               j.arrival.prompt * 4,
		Value:               j,
	}
	j.instance.apply(j.instance.core.Submit(w.clock(), j.request))
}

// apply carries out what a core decided.
func (i *simInstance) apply(d scheduler.Decisions) {
	w := i.world
	for _, g := range d.Grants {
		j := g.Request.Value.(*job)
		j.grant = g
		w.after(hop, func() { w.engines[g.Upstream.Address].begin(j) })
		if i.core.HasLongPrefill(g) {
			i.tell()
		}
	}
	for _, s := range d.Sheds {
		j := s.Request.Value.(*job)
		j.ended = true
		w.result.shed(j, s.Problem.Reason)
		if forLoad(s.Problem.Reason) {
			w.press(i, s.Request.Rank)
		}
	}
}

// tell lets the other instances know what is pending, after a hop.
func (i *simInstance) tell() {
	w := i.world
	if w.policy.Unqueued || i.dead {
		return
	}
	pending := i.core.Pending()
	for _, other := range w.instances {
		if other == i || w.cut {
			continue
		}
		w.after(hop, func() {
			if other.dead || w.cut {
				return
			}
			other.core.SetPeerLoad(i.name, scheduler.Load{Pending: pending})
			other.apply(other.core.Poll(w.clock()))
		})
	}
}

// beat tells the other instances regularly, until the end.
func (w *world) beat(i *simInstance, until time.Duration) {
	if w.now > until || i.dead {
		return
	}
	i.tell()
	w.after(heartbeat, func() { w.beat(i, until) })
}

func forLoad(r api.Reason) bool {
	return r == api.ReasonQueueFull || r == api.ReasonPredictedLate || r == api.ReasonDeadlineExpired
}

// press lets the other instances within reach shed lower work first.
func (w *world) press(from *simInstance, rank int) {
	for _, i := range w.instances {
		if i != from && !i.dead && !w.cut && !w.policy.unrelieved {
			i.apply(i.core.ShedLower(w.clock(), rank))
		}
	}
	w.checkShed(from, rank)
}

// checkShed counts a violation when work of a rank is shed for load while an
// instance within reach holds lower work.
func (w *world) checkShed(from *simInstance, rank int) {
	for _, i := range w.instances {
		if i.dead || (i != from && w.cut) {
			continue
		}
		queued := i.core.Queued(ranks)
		for lower := rank + 1; lower < ranks; lower++ {
			if queued[lower] > 0 {
				w.result.Violations++
				return
			}
		}
	}
}

// begin admits a request at the engine.
func (e *simEngine) begin(j *job) {
	if j.ended {
		return
	}
	j.sequence = &engine.Sequence{Prompt: j.arrival.prompt, Output: j.arrival.output, Chain: j.arrival.chain, Value: j}
	e.model.Add(j.sequence)
	e.step()
}

// step makes the next step, whose tokens come when it is over.
func (e *simEngine) step() {
	if e.stepping || e.model.Idle() {
		return
	}
	e.stepping = true
	took, wrote := e.model.Step()
	written := make([]int, len(wrote))
	for i, s := range wrote {
		written[i] = s.Written()
	}
	e.world.after(took, func() {
		e.stepping = false
		for i, s := range wrote {
			e.wrote(s.Value.(*job), written[i])
		}
		e.step()
	})
}

// wrote passes a token to the instance.
func (e *simEngine) wrote(j *job, n int) {
	w := e.world
	if n == 1 {
		w.result.read(w, j)
		w.after(hop, func() { w.firstToken(j) })
	}
	if n >= j.sequence.Output {
		w.after(hop, func() { w.done(j) })
	}
}

func (w *world) firstToken(j *job) {
	if j.ended || j.instance.dead {
		return
	}
	j.first = w.now - j.arrival.at
	long := j.instance.core.HasLongPrefill(j.grant)
	j.instance.apply(j.instance.core.RecordFirstToken(w.clock(), j.grant))
	if long {
		j.instance.tell()
	}
}

func (w *world) done(j *job) {
	if j.ended || (j.instance.dead && !j.resumed) {
		return
	}
	j.ended = true
	w.result.answered(w, j)
	if j.resumed {
		return
	}
	j.instance.apply(j.instance.core.RecordCompleted(w.clock(), j.grant, j.arrival.output))
}

// timeOut ends a request whose caller waits no longer; the engine is told.
func (w *world) timeOut(j *job) {
	if j.ended || (j.instance.dead && !j.resumed) {
		return
	}
	j.ended = true
	w.result.late(w, j)
	if j.resumed {
		w.engines[j.grant.Upstream.Address].model.Cancel(j.sequence)
		return
	}
	if j.grant == nil {
		j.instance.core.Cancel(j.request)
		return
	}
	if j.sequence != nil {
		w.engines[j.grant.Upstream.Address].model.Cancel(j.sequence)
	}
	j.instance.apply(j.instance.core.RecordCancelled(w.clock(), j.grant))
}

// kill ends an instance: its callers turn to another one, its engines are cut off.
func (w *world) kill(i *simInstance, jobs []*job) {
	i.dead = true
	w.after(suspectAfter, func() { w.forget(i) })
	for _, j := range jobs {
		if j.instance != i || j.ended {
			continue
		}
		if j.first > 0 && !w.policy.Unqueued {
			j.resumed = true // its caller takes the stream up at the engine, through another instance
			continue
		}
		j.ended = true
		if j.sequence != nil {
			w.engines[j.grant.Upstream.Address].model.Cancel(j.sequence)
			w.result.wasted(j)
		}
		again := &job{arrival: j.arrival, instance: w.instances[1]}
		w.jobs = append(w.jobs, again)
		w.after(hop, func() { w.submit(again) })
		w.at(j.arrival.at+j.arrival.class.timeout, func() { w.timeOut(again) })
	}
}

// forget drops what an instance told.
func (w *world) forget(gone *simInstance) {
	for _, i := range w.instances {
		if i != gone {
			i.core.SetPeerLoad(gone.name, scheduler.Load{})
		}
	}
}

// Policy is a way to schedule.
type Policy struct {
	Name     string
	Picker   func(random *rand.Rand) balancer.Picker
	Unqueued bool

	unrelieved bool // peers don't relieve each other: breaks the promise, for a test
}

// Policies are what is measured: the daemon's own, and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "tacktally", Picker: func(r *rand.Rand) balancer.Picker { return balancer.NewPredictive(config.DefaultPrefillWeight, r) }},
		{Name: "round robin", Unqueued: true, Picker: func(*rand.Rand) balancer.Picker { return &balancer.RoundRobin{} }},
		{Name: "least outstanding", Unqueued: true, Picker: func(*rand.Rand) balancer.Picker { return balancer.LeastOutstanding{} }},
		{Name: "power of two", Unqueued: true, Picker: func(r *rand.Rand) balancer.Picker { return &balancer.PowerOfTwo{Random: r} }},
	}
}
