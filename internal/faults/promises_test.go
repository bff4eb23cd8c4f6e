package faults

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/pause"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/service"
)

const (
	release = "/services/" + claims + "/release" // declared non-idempotent
	lookup  = "/services/" + claims + "/lookup"
	chat    = "/v1/chat/completions"
)

func prompt(text string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":4,"messages":[{"role":"user","content":%q}]}`, modelName, stream, text)
}

// metric returns the value of a metric of a daemon, 0 when it has none.
func (p *process) metric(name string) float64 {
	r, err := p.fleet.client.Get("http://" + p.ip + ":7002/metrics")
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	var text strings.Builder
	buffer := make([]byte, 1<<16)
	for {
		n, err := r.Body.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	for line := range strings.Lines(text.String()) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			return v
		}
	}
	return 0
}

func (f *fleet) runs(body string) int {
	n := 0
	for _, c := range f.service.Calls() {
		if c.Body == body {
			n++
		}
	}
	return n
}

func TestConfigurationReachesEveryInstanceAndNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort", "pettah")
	all := func(revision int64) {
		t.Helper()
		for _, p := range f.daemons {
			f.eventually(fmt.Sprintf("%s has revision %d", p.ip, revision), func() bool { return p.status().Revision == revision })
		}
	}
	f.daemons[2].platWire.Cut("") // learns from its peers alone
	f.publish(3)
	all(3)
	f.platform.Publish(2, document("stale"))
	f.eventually("the stale value is seen", func() bool { return f.daemons[0].metric("tacktally_config_older_total") > 0 })
	all(3)
	f.platform.Publish(3, document("another"))
	f.eventually("the conflict is reported", func() bool { return f.daemons[0].metric("tacktally_config_conflicts_total") > 0 })
	f.platform.Publish(4, []byte(`{"tiers": 7}`))
	f.eventually("the fault is reported", func() bool { return f.daemons[0].metric("tacktally_config_rejected_total") > 0 })
	all(3)
	// An instance that starts while the platform is stale must not serve under
	// what the platform says while a peer knows better.
	f.publish(1)
	f.daemons[0].kill()
	f.daemons[0].start()
	f.daemons[0].waitReady()
	is.Equal(f.daemons[0].status().Revision, int64(3))
	f.publish(5)
	all(5)
}

func TestStartsFromPeersWhileThePlatformIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	f.platform.SetDown(true)
	f.daemons[0].kill()
	f.daemons[0].start()
	f.daemons[0].waitReady()
	is.Equal(f.daemons[0].status().Revision, int64(1))
	f.eventually("it serves", func() bool { return f.daemons[0].send(call{path: lookup, body: "q"}).outcome == api.Answered })
}

func TestWokenInstanceServesUnderWhatIsInForce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	frozen := f.daemons[1]
	frozen.freeze()
	f.publish(4)
	f.eventually("the other has it", func() bool { return f.daemons[0].status().Revision == 4 })
	<-time.After(pause.Threshold + 200*time.Millisecond) // the length of the fault
	early := make(chan reply, 1)
	go func() { early <- frozen.send(call{path: lookup, body: "q"}) }()
	frozen.wake()
	r := <-early
	is.Equal(r.outcome, api.Answered)
	is.Equal(r.header.Get(api.HeaderRevision), "4")
	is.True(frozen.metric("tacktally_pauses_total") > 0)
}

func TestGracefulShutdownCutsNothingOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	arrived, hold := make(chan service.Call, 9), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	f.engine.SetFaults(engine.Faults{HoldToken: hold})
	leaving := f.daemons[0]
	var held sync.WaitGroup
	replies := make([]reply, 3)
	held.Go(func() { replies[0] = leaving.send(call{path: release, body: "a", key: leaving.issue()}) })
	held.Go(func() { replies[1] = leaving.send(call{path: chat, body: prompt("b", true)}) })
	held.Go(func() { replies[2] = f.daemons[1].send(call{path: release, body: "c", key: leaving.issue()}) })
	<-arrived
	<-arrived
	f.eventually("all are in flight", func() bool { return leaving.status().InFlight == 3 && len(f.engine.Runs()) == 1 })
	key := leaving.issue()
	leaving.signal(syscall.SIGTERM)
	f.eventually("it drains", func() bool { return leaving.status().Draining })
	r := leaving.send(call{path: lookup, body: "new"})
	is.Equal(r.problem.Reason, api.ReasonDraining)
	is.True(r.problem.RetryAfterSeconds > 0)
	r = f.daemons[1].send(call{path: release, body: "new", key: key})
	is.Equal(r.problem.Reason, api.ReasonDraining)
	is.Equal(r.outcome, api.NotRun)
	close(hold)
	held.Wait()
	<-leaving.exited
	is.Equal(leaving.command.ProcessState.ExitCode(), 0)
	is.Equal(replies[0].body, service.Answer("a"))
	is.True(strings.HasSuffix(replies[1].body, "data: [DONE]\n\n"))
	is.Equal(replies[2].body, service.Answer("c"))
	is.Equal(f.runs("new"), 0)
}

// An upstream that leaves gets no new work, whoever says so first: the list, or
// the upstream itself while the list lags.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	for _, own := range []bool{false, true} {
		t.Run(fmt.Sprintf("own word %t", own), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, "fort", "fort")
			second := service.New()
			f.list = append(f.list, platform.Instance{Address: f.serve(f.ip(200)+":9001", second), Zone: "fort", Set: claims, State: platform.Live})
			f.platform.SetInstances(f.list)
			for _, p := range f.daemons {
				f.eventually("the list is in use", func() bool { return p.status().ListVersion == 2 })
			}
			if own {
				f.platform.FreezeList()
				f.service.SetFaults(service.Faults{Leaving: true})
				f.eventually("it was called and said so", func() bool {
					f.daemons[0].send(call{path: lookup, body: "x"})
					return len(f.service.Calls()) > 0
				})
				f.eventually("the peer knows", func() bool { return f.daemons[1].leaves(f.ip(100) + ":9001") })
			} else {
				f.leave(f.ip(100) + ":9001")
				for _, p := range f.daemons {
					f.eventually("the list is in use", func() bool { return p.status().ListVersion == 3 })
				}
			}
			before := len(f.service.Calls())
			for i := range 20 {
				is.Equal(f.daemons[i%2].send(call{path: lookup, body: "y"}).outcome, api.Answered)
			}
			is.Equal(len(f.service.Calls()), before)
			is.True(len(second.Calls()) >= 20)
		})
	}
}

func (f *fleet) leave(address string) {
	for i := range f.list {
		if f.list[i].Address == address {
			f.list[i].State = platform.Leaving
		}
	}
	f.platform.SetInstances(f.list)
}

// leaves tells whether a daemon counts an upstream of the service as leaving.
func (p *process) leaves(address string) bool {
	var r struct {
		Status struct {
			Upstreams []struct {
				Address string `json:"address"`
				Leaving bool   `json:"leaving"`
			} `json:"upstreams"`
		} `json:"status"`
	}
	p.read("/v1/resources/Service/"+claims, &r)
	for _, u := range r.Status.Upstreams {
		if u.Address == address {
			return u.Leaving
		}
	}
	return false
}

func TestCutOffZoneGoesOnServing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort", "pettah")
	alone := f.daemons[2]
	old := f.daemons[0].issue()
	for _, p := range f.daemons[:2] {
		cut(alone, p)
	}
	alone.platWire.Cut("")
	f.eventually("it is alone", func() bool { return alone.reachable() == 0 })
	is.Equal(alone.send(call{path: lookup, body: "a"}).body, service.Answer("a"))
	is.Equal(alone.send(call{path: release, body: "b", key: alone.issue()}).body, service.Answer("b"))
	is.Equal(alone.send(call{path: release, body: "c", key: "my-own-id", attempt: "1"}).body, service.Answer("c"))
	// A key of the other side can't be used here, and says so at once.
	r := alone.send(call{path: release, body: "d", key: old, timeout: 300 * time.Millisecond})
	is.Equal(r.problem.Reason, api.ReasonIssuerUnreachable)
	is.Equal(r.problem.AttemptOutcome, api.NotRun)
	for _, p := range f.daemons[:2] {
		heal(alone, p)
	}
	f.eventually("it is back", func() bool { return alone.reachable() == 2 })
	is.Equal(alone.send(call{path: release, body: "d", key: old}).body, service.Answer("d"))
	is.Equal(f.runs("d"), 1)
}

// Answers come back out of order, at two instances, over one link.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	const n = 8
	holds := make([]chan struct{}, n)
	answers := make([]reply, n)
	arrived := make(chan service.Call)
	var all sync.WaitGroup
	for i := range n {
		holds[i] = make(chan struct{})
		f.service.SetFaults(service.Faults{Arrived: arrived, Hold: holds[i]})
		key := f.daemons[0].issue()
		all.Go(func() {
			answers[i] = f.daemons[i%2].send(call{path: release, body: fmt.Sprint("quote ", i), key: key})
		})
		<-arrived
	}
	for i := n - 1; i >= 0; i-- {
		close(holds[i])
	}
	all.Wait()
	for i := range n {
		is.Equal(answers[i].body, service.Answer(fmt.Sprint("quote ", i)))
	}
}

// While every place is taken, lower work makes room for higher and is told so at
// once, with a time to come back.
func TestHigherTierIsNeverShedFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTunedFleet(t, func(s *settings.Settings) { s.Queue.MaxItems = 2 }, "fort")
	p := f.daemons[0]
	arrived, hold := make(chan service.Call, 99), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	var all sync.WaitGroup
	lower, higher := make(chan reply, 99), make(chan reply, 99)
	send := func(tier string, to chan reply) {
		all.Go(func() { to <- p.send(call{path: lookup, body: tier, tier: tier}) })
	}
	for i := 1; i <= 10; i++ { // 8 are sent, 2 wait
		send("desk", lower)
		f.eventually("it is held", func() bool { return p.status().InFlight == i })
	}
	for range 2 { // each takes the place of one that waits
		send("counter", higher)
		r := <-lower
		is.Equal(r.problem.Reason, api.ReasonDisplaced)
		is.Equal(r.outcome, api.NotRun)
		is.True(r.problem.RetryAfterSeconds > 0)
	}
	r := p.send(call{path: lookup, body: "x", tier: "desk"}) // lower never displaces
	is.Equal(r.problem.Reason, api.ReasonQueueFull)
	r = p.send(call{path: lookup, body: "x", tier: "counter"})
	is.Equal(r.problem.Reason, api.ReasonQueueFull) // only higher work waits now
	close(hold)
	all.Wait()
	for range 2 {
		is.Equal((<-higher).outcome, api.Answered)
	}
}

// The bound of an instance on requests held goes by tiers too.
func TestFullInstanceTakesHigherTiers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTunedFleet(t, func(s *settings.Settings) { s.Callers.MaxInFlight = 9 }, "fort")
	p := f.daemons[0]
	hold := make(chan struct{})
	f.service.SetFaults(service.Faults{Hold: hold})
	var all sync.WaitGroup
	lower := make(chan reply, 99)
	for n := 1; n <= 9; n++ { // 8 are sent, 1 waits
		all.Go(func() { lower <- p.send(call{path: lookup, body: "low", tier: "desk"}) })
		f.eventually("it is held", func() bool { return p.status().InFlight == n })
	}
	is.Equal(p.send(call{path: lookup, body: "x", tier: "desk"}).problem.Reason, api.ReasonQueueFull)
	higher := make(chan reply)
	go func() { higher <- p.send(call{path: lookup, body: "high", tier: "counter"}) }()
	is.Equal((<-lower).problem.Reason, api.ReasonDisplaced)
	is.Equal(p.send(call{path: lookup, body: "x", tier: "counter"}).problem.Reason, api.ReasonQueueFull) // nothing lower waits
	close(hold)
	is.Equal((<-higher).outcome, api.Answered)
	all.Wait()
}

// The same across instances of a zone: before work of a higher tier is refused at
// one, the lower work that waits at the other is given up.
func TestHigherTierIsNeverShedBeforeLowerWorkOfAPeer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTunedFleet(t, func(s *settings.Settings) { s.Queue.MaxItems = 1 }, "fort", "fort")
	hold := make(chan struct{})
	f.service.SetFaults(service.Faults{Hold: hold})
	var all sync.WaitGroup
	lower := make(chan reply, 99)
	for i, tier := range []string{"counter", "desk"} { // 8 are sent by each, 1 waits
		p := f.daemons[i]
		for n := 1; n <= 9; n++ {
			all.Go(func() {
				r := p.send(call{path: lookup, body: tier, tier: tier})
				if r.problem.Reason == api.ReasonDisplaced {
					lower <- r
				}
			})
			f.eventually("it is held", func() bool { return p.status().InFlight == n })
		}
	}
	r := f.daemons[0].send(call{path: lookup, body: "x", tier: "counter"})
	is.Equal(r.problem.Reason, api.ReasonQueueFull)
	is.Equal(f.daemons[1].queued(1), 0) // nothing lower waits any more
	is.Equal((<-lower).outcome, api.NotRun)
	// Nor is lower work taken to wait while the other is under pressure.
	is.Equal(f.daemons[1].send(call{path: lookup, body: "y", tier: "desk"}).problem.Reason, api.ReasonDisplaced)
	close(hold)
	all.Wait()
}

// queued returns how many calls of a rank wait for the service at a daemon.
func (p *process) queued(rank int) int {
	var r struct {
		Status struct {
			Queued []int `json:"queued"`
		} `json:"status"`
	}
	p.read("/v1/resources/Service/"+claims, &r)
	return r.Status.Queued[rank]
}

// A connection that breaks after the request ran: unknown and once for a
// non-idempotent request, sent again for an idempotent one.
func TestBrokenUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort")
	p := f.daemons[0]
	f.service.SetFaults(service.Faults{Break: true})
	key := p.issue()
	r := p.send(call{path: release, body: "a", key: key})
	is.Equal(r.problem.Reason, api.ReasonUpstreamLost)
	is.Equal(r.outcome, api.Unknown)
	f.service.SetFaults(service.Faults{})
	r = p.send(call{path: release, body: "a", key: key}) // gets the same end
	is.Equal(r.problem.Reason, api.ReasonUpstreamLost)
	is.Equal(f.runs("a"), 1)
	f.service.SetFaults(service.Faults{Break: true})
	r = p.send(call{path: lookup, body: "b", timeout: 3 * time.Second})
	is.Equal(r.outcome, api.Unknown) // it ran, and there was no other upstream
	is.True(f.runs("b") >= 1)
	is.True(p.metric(`tacktally_retries_total{reason="retry_upstream_lost"}`) >= 1)
}

// An instance that refuses before it has asked the issuer can't know whether
// another sending ran.
func TestRefusalWithoutTheIssuerIsNeverNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTunedFleet(t, func(s *settings.Settings) { s.Callers.MaxInFlight = 1 }, "fort", "fort")
	issuer, other := f.daemons[0], f.daemons[1]
	key := issuer.issue()
	again := call{path: release, body: "a", key: key}
	is.Equal(issuer.send(again).body, service.Answer("a"))
	uncertain := func(r reply, reason api.Reason) {
		t.Helper()
		is.Equal(r.problem.Reason, reason)
		is.Equal(r.outcome, api.Unknown)
		is.Equal(r.problem.AttemptOutcome, api.NotRun)
	}
	tierless := again
	tierless.tier = "gold"
	uncertain(other.send(tierless), api.ReasonTierNotAllowed)
	// The issuer itself, full.
	arrived, hold := make(chan service.Call), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	held := make(chan reply)
	go func() { held <- issuer.send(call{path: lookup, body: "b"}) }()
	<-arrived
	uncertain(issuer.send(again), api.ReasonQueueFull)
	close(hold)
	<-held
	// An instance that has no configuration yet.
	f.platform.SetDown(true)
	cut(issuer, other)
	other.kill()
	other.start()
	f.eventually("it listens", func() bool { return other.send(again).status != 0 })
	uncertain(other.send(again), api.ReasonNoConfiguration)
	is.Equal(f.runs("a"), 1)
}

func TestCutAnswerNeverLooksWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort")
	f.service.SetFaults(service.Faults{CutBody: true})
	r := f.daemons[0].send(call{path: lookup, body: "a"})
	is.True(!r.whole)
}

// A stream that breaks is resumed at its engine: the caller sees nothing of it,
// and the prompt is read once.
func TestBrokenStreamIsResumed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	body := prompt("a long dossier", true)
	f.engine.SetFaults(engine.Faults{CutAfter: 2})
	r := f.daemons[0].send(call{path: chat, body: body})
	is.Equal(r.outcome, api.Answered)
	whole := ""
	for n := 1; n <= 4; n++ {
		whole += engine.Token([]byte(body), n)
	}
	is.Equal(text(r.body), whole)
	is.Equal(len(f.engine.Runs()), 1)
	is.Equal(f.daemons[0].metric(`tacktally_retries_total{reason="retry_stream_resumed"}`), 1.0)
	// Another instance takes the stream up from an event's ID; another
	// organisation doesn't get it.
	id := strings.TrimPrefix(strings.SplitN(r.body, "\n", 2)[0], "id: ")
	resume := map[string]string{api.HeaderLastEventID: id}
	is.Equal(text(f.daemons[1].send(call{path: chat, body: body, header: resume}).body), strings.TrimPrefix(whole, engine.Token([]byte(body), 1)))
	is.True(!strings.Contains(f.daemons[1].send(call{path: chat, body: body, header: resume, apiKey: otherKey}).body, "data: "))
	is.Equal(len(f.engine.Runs()), 1)
}

func TestCallerChosenIDs(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "fort", "fort", "pettah")
	first, other := f.daemons[0], f.daemons[2]
	for name, c := range map[string]struct {
		before, send *call // sent to first, then send to other
		reason       api.Reason
		runs         int
	}{
		"first attempt runs":                    {nil, &call{attempt: "1"}, "", 1},
		"a repeat finds it elsewhere":           {&call{attempt: "1"}, &call{attempt: "2"}, "", 1},
		"an unmarked one finds it":              {&call{attempt: "1"}, &call{}, "", 1},
		"OpenAI's mark counts":                  {nil, &call{header: map[string]string{api.HeaderRetryCount: "0"}}, "", 1},
		"a repeat nobody holds":                 {nil, &call{attempt: "2"}, api.ReasonNotFirstAttempt, 0},
		"an unmarked one nobody holds":          {nil, &call{}, api.ReasonNotFirstAttempt, 0},
		"another body under the ID":             {&call{attempt: "1"}, &call{attempt: "2", body: "changed"}, api.ReasonKeyMismatch, 1},
		"not allowed to the other organisation": {nil, &call{attempt: "1", apiKey: otherKey}, api.ReasonKeyRequired, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			id := "id of " + name
			with := func(c *call) call {
				c.path, c.key = release, id
				if c.body == "" {
					c.body = name
				}
				return *c
			}
			if c.before != nil {
				is.Equal(first.send(with(c.before)).body, service.Answer(name))
			}
			r := other.send(with(c.send))
			is.Equal(r.problem.Reason, c.reason)
			if c.reason == "" {
				is.Equal(r.body, service.Answer(name))
			}
			is.Equal(f.runs(name), c.runs)
			is.Equal(f.runs("changed"), 0)
		})
	}
}

// A plain caller without a key needs one more round trip and nothing else.
func TestKeyIsGivenWith428(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	r := f.daemons[0].send(call{path: release, body: "a"})
	is.Equal(r.status, http.StatusPreconditionRequired)
	is.Equal(r.outcome, api.NotRun)
	key := r.problem.IdempotencyKey
	is.Equal(f.daemons[1].send(call{path: release, body: "a", key: key}).body, service.Answer("a"))
	for name, c := range map[string]call{
		"another body":         {path: release, body: "b", key: key},
		"another organisation": {path: release, body: "a", key: key, apiKey: otherKey},
	} {
		for _, p := range f.daemons {
			is.Equal(p.send(c).problem.Reason, api.ReasonKeyMismatch) // a stranger never sees the answer
		}
		_ = name
	}
	forged := key[:len(key)-4] + "AAAA"
	is.Equal(f.daemons[0].send(call{path: release, body: "f", key: forged}).problem.Reason, api.ReasonKeyInvalid)
	is.Equal(f.runs("a"), 1)
	is.Equal(f.runs("b")+f.runs("f"), 0)
}
