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
	// hopLatency is the one-way latency between an instance and an engine or a peer.
	hopLatency = 500 * time.Microsecond
	// pollInterval is the time between two polls of an instance's scheduler.
	pollInterval = 20 * time.Millisecond
	// prefixIndexBlocks bounds what an instance knows of an engine's cache.
	prefixIndexBlocks = 2048
	instances         = 2
	// cacheEventDelay is the delay of an engine's cache events, cacheEventLoss the share of them that is
	// lost.
	cacheEventDelay = 500 * time.Millisecond
	cacheEventLoss  = 0.1
	// heartbeatInterval is the time between two heartbeats, suspectAfter the time without one after which
	// the reported load of an instance is dropped.
	heartbeatInterval = 500 * time.Millisecond
	suspectAfter      = 2 * time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function to run at a virtual time. Events at the same time run in the order in which they were
// scheduled.
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

// simulation is one run: engines, instances and requests in virtual time. Not safe for concurrent use.
type simulation struct {
	policy      Policy
	now         time.Duration
	events      eventHeap
	scheduled   int
	engines     map[string]*simEngine
	instances   []*simInstance
	partitioned bool // the instances can't reach each other
	seenBlocks  map[uint64]bool
	jobs        []*job
	result      *Result
}

// simEngine is an engine, stepped in virtual time.
type simEngine struct {
	sim      *simulation
	address  string
	model    *engine.Model
	stepping bool
}

// simInstance is an instance, reduced to its scheduler.
type simInstance struct {
	sim  *simulation
	core *scheduler.Core
	name string
	dead bool
}

// job is one attempt of a request at an instance.
type job struct {
	arrival          *arrival
	instance         *simInstance
	request          *scheduler.Request
	grant            *scheduler.Grant
	sequence         *engine.Sequence
	first            time.Duration // since its arrival, 0 before the first token
	ended            bool
	resumedElsewhere bool // its stream continues after its instance was killed
	prefillCounted   bool // its prompt is counted in the result

	recomputed int // prompt tokens that some engine had prefilled before
}

func newSimulation(d Deployment, p Policy, seed uint64) *simulation {
	w := &simulation{policy: p, engines: map[string]*simEngine{}, seenBlocks: map[uint64]bool{}, result: newResult()}
	var members []scheduler.Member
	for i, s := range d.engines {
		address := string(rune('A' + i))
		w.engines[address] = &simEngine{sim: w, address: address, model: engine.NewModel(s)}
		members = append(members, scheduler.Member{Address: address})
	}
	w.sendCacheEvents(rand.New(rand.NewPCG(seed, 99)))
	for i := range instances {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		core := scheduler.New(scheduler.Options{
			Picker:            p.Picker(random),
			Limits:            queue.Limits{MaxItems: 2000, MaxBytes: 1 << 40},
			PrefixIndexBlocks: prefixIndexBlocks,
			Unqueued:          p.Unqueued,
			StrictTiers:       true,
		})
		core.SetMembers(members)
		w.instances = append(w.instances, &simInstance{sim: w, core: core, name: string(rune('0' + i))})
	}
	return w
}

// sendCacheEvents makes every engine send its cache events to the instances, delayed and with losses.
func (w *simulation) sendCacheEvents(random *rand.Rand) {
	for address, e := range w.engines {
		e.model.OnCacheChange(func(added, dropped []uint64) {
			if random.Float64() < cacheEventLoss {
				return
			}
			w.after(cacheEventDelay, func() {
				for _, i := range w.instances {
					if !i.dead && !w.policy.Unqueued {
						i.core.ApplyCacheEvent(address, added, dropped)
					}
				}
			})
		})
	}
}

// at schedules do at a virtual time.
func (w *simulation) at(t time.Duration, do func()) {
	w.scheduled++
	heap.Push(&w.events, event{at: t, order: w.scheduled, do: do})
}

func (w *simulation) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *simulation) clock() time.Time { return epoch.Add(w.now) }

// run processes events until none is left.
func (w *simulation) run() {
	for w.events.Len() > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// poll polls an instance's scheduler every pollInterval until the given time.
func (w *simulation) poll(i *simInstance, until time.Duration) {
	if w.now > until || i.dead {
		return
	}
	i.apply(i.core.Poll(w.clock()))
	w.after(pollInterval, func() { w.poll(i, until) })
}

// arrive submits a request to an instance and schedules its timeout.
func (w *simulation) arrive(a *arrival, i *simInstance) {
	j := &job{arrival: a, instance: i}
	w.result.recordOffered(a)
	w.jobs = append(w.jobs, j)
	w.submit(j)
	w.at(a.at+a.class.timeout, func() { w.timeOut(j) })
}

func (w *simulation) submit(j *job) {
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
		PrefixHashes:        j.arrival.prefixHashes,
		Bytes:               j.arrival.prompt * 4,
		Value:               j,
	}
	j.instance.apply(j.instance.core.Submit(w.clock(), j.request))
}

// apply carries out the decisions of the scheduler.
func (i *simInstance) apply(d scheduler.Decisions) {
	w := i.sim
	for _, g := range d.Grants {
		j := g.Request.Value.(*job)
		j.grant = g
		w.after(hopLatency, func() { w.engines[g.Upstream.Address].begin(j) })
		if i.core.HasLongPrefill(g) {
			i.sendLoad()
		}
	}
	for _, s := range d.Sheds {
		j := s.Request.Value.(*job)
		j.ended = true
		w.result.recordShed(j, s.Problem.Reason)
		if isLoadShed(s.Problem.Reason) {
			w.applyPressure(i, s.Request.Rank)
		}
	}
}

// sendLoad sends the pending load to the other instances, which receive it after hopLatency.
func (i *simInstance) sendLoad() {
	w := i.sim
	if w.policy.Unqueued || i.dead {
		return
	}
	pending := i.core.Pending()
	for _, other := range w.instances {
		if other == i || w.partitioned {
			continue
		}
		w.after(hopLatency, func() {
			if other.dead || w.partitioned {
				return
			}
			other.core.SetPeerLoad(i.name, scheduler.Load{Pending: pending})
			other.apply(other.core.Poll(w.clock()))
		})
	}
}

// sendHeartbeats sends the load to the other instances every heartbeatInterval until the given time.
func (w *simulation) sendHeartbeats(i *simInstance, until time.Duration) {
	if w.now > until || i.dead {
		return
	}
	i.sendLoad()
	w.after(heartbeatInterval, func() { w.sendHeartbeats(i, until) })
}

// isLoadShed reports whether a request was shed for load.
func isLoadShed(r api.Reason) bool {
	return r == api.ReasonQueueFull || r == api.ReasonPredictedLate || r == api.ReasonDeadlineExpired
}

// applyPressure makes the other reachable instances shed lower tiers first.
func (w *simulation) applyPressure(from *simInstance, rank int) {
	for _, i := range w.instances {
		if i != from && !i.dead && !w.partitioned && !w.policy.noPressure {
			i.apply(i.core.ShedLower(w.clock(), rank))
		}
	}
	w.checkShed(from, rank)
}

// checkShed counts a violation if a request of a rank is shed for load while a reachable instance has lower
// tiers queued.
func (w *simulation) checkShed(from *simInstance, rank int) {
	for _, i := range w.instances {
		if i.dead || (i != from && w.partitioned) {
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

// begin adds a request to the engine.
func (e *simEngine) begin(j *job) {
	if j.ended {
		return
	}
	j.sequence = &engine.Sequence{Prompt: j.arrival.prompt, Output: j.arrival.output, PrefixHashes: j.arrival.prefixHashes, Value: j}
	e.model.Add(j.sequence)
	e.step()
}

// step starts the next step. Its tokens are sent when it ends.
func (e *simEngine) step() {
	if e.stepping || e.model.Idle() {
		return
	}
	e.stepping = true
	took, sequences := e.model.Step()
	emitted := make([]int, len(sequences))
	for i, s := range sequences {
		emitted[i] = s.Emitted()
	}
	e.sim.after(took, func() {
		e.stepping = false
		for i, s := range sequences {
			e.sendToken(s.Value.(*job), emitted[i])
		}
		e.step()
	})
}

// sendToken sends output token n of a request to its instance.
func (e *simEngine) sendToken(j *job, n int) {
	w := e.sim
	if n == 1 {
		w.result.recordPrefill(w, j)
		w.after(hopLatency, func() { w.firstToken(j) })
	}
	if n >= j.sequence.Output {
		w.after(hopLatency, func() { w.done(j) })
	}
}

func (w *simulation) firstToken(j *job) {
	if j.ended || j.instance.dead {
		return
	}
	j.first = w.now - j.arrival.at
	long := j.instance.core.HasLongPrefill(j.grant)
	j.instance.apply(j.instance.core.RecordFirstToken(w.clock(), j.grant))
	if long {
		j.instance.sendLoad()
	}
}

func (w *simulation) done(j *job) {
	if j.ended || (j.instance.dead && !j.resumedElsewhere) {
		return
	}
	j.ended = true
	w.result.recordResponse(w, j)
	if j.resumedElsewhere {
		return
	}
	j.instance.apply(j.instance.core.RecordCompleted(w.clock(), j.grant, j.arrival.output))
}

// timeOut ends a request whose timeout has passed, and cancels it at its engine.
func (w *simulation) timeOut(j *job) {
	if j.ended || (j.instance.dead && !j.resumedElsewhere) {
		return
	}
	j.ended = true
	w.result.recordLate(w, j)
	if j.resumedElsewhere {
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

// kill kills an instance. The callers of requests without a first token, and all callers of the baselines,
// retry at another instance, and the requests are cancelled at their engines.
func (w *simulation) kill(i *simInstance, jobs []*job) {
	i.dead = true
	w.after(suspectAfter, func() { w.dropLoad(i) })
	for _, j := range jobs {
		if j.instance != i || j.ended {
			continue
		}
		if j.first > 0 && !w.policy.Unqueued {
			j.resumedElsewhere = true // its caller resumes the stream through another instance
			continue
		}
		j.ended = true
		if j.sequence != nil {
			w.engines[j.grant.Upstream.Address].model.Cancel(j.sequence)
			w.result.recordWasted(j)
		}
		retry := &job{arrival: j.arrival, instance: w.instances[1]}
		w.jobs = append(w.jobs, retry)
		w.after(hopLatency, func() { w.submit(retry) })
		w.at(j.arrival.at+j.arrival.class.timeout, func() { w.timeOut(retry) })
	}
}

// dropLoad drops the load that an instance reported to the others.
func (w *simulation) dropLoad(removed *simInstance) {
	for _, i := range w.instances {
		if i != removed {
			i.core.SetPeerLoad(removed.name, scheduler.Load{})
		}
	}
}

// Policy is a scheduling policy.
type Policy struct {
	Name     string
	Picker   func(random *rand.Rand) balancer.Picker
	Unqueued bool

	noPressure bool // peers don't shed for each other, which violates the guarantee; for a test
}

// Policies returns the policy of the daemon first, then the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "tacktally", Picker: func(r *rand.Rand) balancer.Picker { return balancer.NewPredictive(config.DefaultPrefillWeight, r) }},
		{Name: "round robin", Unqueued: true, Picker: func(*rand.Rand) balancer.Picker { return &balancer.RoundRobin{} }},
		{Name: "least outstanding", Unqueued: true, Picker: func(*rand.Rand) balancer.Picker { return balancer.LeastOutstanding{} }},
		{Name: "power of two", Unqueued: true, Picker: func(r *rand.Rand) balancer.Picker { return &balancer.PowerOfTwo{Random: r} }},
	}
}
