package faults

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tacktally/tacktally/internal/history"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/service"
)

// step is the step that a request has reached when the fault is injected.
type step string

const (
	keyIssued step = "key issued"
	forwarded step = "forwarded"
	queued    step = "queued"
	written   step = "written to the upstream"
	firstByte step = "first byte"
	midStream step = "mid-stream"
	answered  step = "answered"
	draining  step = "draining"
)

var steps = []step{keyIssued, forwarded, queued, written, firstByte, midStream, answered, draining}

// fault injects a fault and heals it. heal is nil where the fault doesn't end.
type fault struct {
	name   string
	inject func(c *cell)
	heal   func(c *cell)
}

var faults = []fault{
	{"kill", func(c *cell) { c.issuer().kill() }, nil},
	{"freeze and resume", func(c *cell) { c.issuer().freeze() }, func(c *cell) { c.issuer().resume() }},
	{"partition",
		func(c *cell) { partition(c.issuer(), c.entry()); partition(c.issuer(), c.otherZone()) },
		func(c *cell) { heal(c.issuer(), c.entry()); heal(c.issuer(), c.otherZone()) }},
	{"platform partition", func(c *cell) { c.issuer().platformRelay.Partition("") }, func(c *cell) { c.issuer().platformRelay.Heal("") }},
	{"platform stale", func(c *cell) { c.fleet.publish(0 + 1) }, func(c *cell) { c.fleet.publish(9) }},
	{"upstream slow", func(c *cell) {}, nil}, // the fake holds its response until after the retries
	{"upstream leaving", func(c *cell) { c.markLeaving() }, nil},
	{"late response", func(c *cell) { c.sendToAll(150 * time.Millisecond) }, nil},
	{"operator race", func(c *cell) {
		c.fleet.platform.Publish(5, document("one"))
		c.fleet.platform.Publish(5, document("two"))
		c.fleet.publish(6)
	}, nil},
}

// combinedFaults are faults that are injected together or twice.
var combinedFaults = []fault{
	{"freeze twice",
		func(c *cell) {
			c.issuer().freeze()
			c.sendToAll(100 * time.Millisecond)
			c.issuer().resume()
			c.issuer().freeze()
		},
		func(c *cell) { c.issuer().resume() }},
	{"kill during a partition",
		func(c *cell) { partition(c.issuer(), c.entry()); c.issuer().kill() },
		func(c *cell) { heal(c.issuer(), c.entry()) }},
	{"freeze during a configuration change",
		func(c *cell) { c.issuer().freeze(); c.fleet.publish(7) },
		func(c *cell) { c.issuer().resume() }},
	{"kill and restart at the same address",
		func(c *cell) { c.issuer().kill() },
		func(c *cell) { c.issuer().start(); c.issuer().waitReady() }},
	{"platform down and partition",
		func(c *cell) { c.fleet.platform.SetDown(true); partition(c.issuer(), c.entry()) },
		func(c *cell) { c.fleet.platform.SetDown(false); heal(c.issuer(), c.entry()) }},
}

// cell is one request under one fault at one step.
type cell struct {
	fleet       *fleet
	recorder    *history.Recorder
	step        step
	key         string
	body        string
	model       bool
	arrived     chan service.Call
	hold        chan struct{}
	releaseOnce sync.Once
	sent        sync.WaitGroup
	fillers     int
}

func (c *cell) issuer() *process    { return c.fleet.daemons[0] }
func (c *cell) entry() *process     { return c.fleet.daemons[1] }
func (c *cell) otherZone() *process { return c.fleet.daemons[2] }

// Each fault is injected at each step of a request, while the request is retried at every instance. The
// history must be that of a register that accepts each key at most once, with only correct responses.
func TestFaultMatrix(t *testing.T) {
	for _, f := range append(append([]fault{}, faults...), combinedFaults...) {
		for _, s := range steps {
			t.Run(f.name+"/"+string(s), func(t *testing.T) {
				t.Parallel()
				runCell(t, f, s)
			})
		}
	}
}

func runCell(t *testing.T, f fault, s step) {
	c := &cell{
		fleet:    newConfiguredFleet(t, func(s *settings.Settings) { s.Platform.Wait = settings.Duration(time.Second) }, "fort", "fort", "pettah"),
		recorder: history.NewRecorder(),
		step:     s,
		arrived:  make(chan service.Call, 64),
		hold:     make(chan struct{}),
	}
	c.key = c.issuer().issue()
	c.body = "release " + c.key[len(c.key)-12:]
	c.model = s == firstByte || s == midStream
	if c.model {
		c.body = fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":5,"messages":[{"role":"user","content":%q}]}`, modelName, c.body)
	}
	c.recorder.ExpectBody(c.body, c.expectedResponse())
	c.drive()
	f.inject(c)
	c.sendToAll(400 * time.Millisecond)
	c.releaseUpstreams()
	if f.heal != nil {
		f.heal(c)
	}
	c.sendToAll(2 * time.Second)
	c.sent.Wait()
	c.check(t)
}

// drive sends the request and blocks until it has reached its step.
func (c *cell) drive() {
	f := c.fleet
	switch c.step {
	case keyIssued:
	case forwarded:
		c.issuer().freeze()
		c.sendAsync(c.entry())
		c.issuer().resume()
	case queued:
		c.holdService()
		c.fill()
		c.sendAsync(c.entry())
		f.eventually("the request is queued", func() bool { return c.issuer().status().InFlight > c.fillers })
	case written:
		c.holdService()
		c.sendAsync(c.entry())
		c.awaitArrival()
	case firstByte:
		f.engine.SetFaults(engine.Faults{HoldToken: c.hold})
		c.sendAsync(c.entry())
		f.eventually("the engine runs the request", func() bool { return len(f.engine.Runs()) == 1 })
	case midStream:
		f.engine.SetFaults(engine.Faults{HoldToken: c.hold})
		c.sendAsync(c.entry())
		for range 2 {
			c.hold <- struct{}{}
		}
	case answered:
		c.send(c.entry(), 5*time.Second)
	case draining:
		c.holdService()
		c.sendAsync(c.entry())
		c.awaitArrival()
		c.issuer().signal(syscall.SIGTERM)
		f.eventually("the issuer drains", func() bool { return c.issuer().status().Draining })
	}
}

// holdService makes the service hold its responses until releaseUpstreams.
func (c *cell) holdService() {
	c.fleet.service.SetFaults(service.Faults{Arrived: c.arrived, Hold: c.hold})
}

// fill occupies the service with other requests, so that the next one is queued.
func (c *cell) fill() {
	for c.fillers = 0; ; {
		key := c.issuer().issue()
		before := c.fillers
		c.fillers++
		c.sent.Go(func() {
			c.issuer().send(call{path: "/services/" + claimsService + "/release", body: "filler " + key, key: key, timeout: 5 * time.Second})
		})
		c.fleet.eventually("the filler is in flight", func() bool { return c.issuer().status().InFlight == before+1 })
		if c.fillers > 8 {
			break
		}
	}
	for range 8 {
		<-c.arrived
	}
}

// awaitArrival blocks until the request reaches the service.
func (c *cell) awaitArrival() {
	for call := range c.arrived {
		if call.Body == c.body {
			return
		}
	}
}

// releaseUpstreams lets the fakes finish the requests that they hold.
func (c *cell) releaseUpstreams() { c.releaseOnce.Do(func() { close(c.hold) }) }

// markLeaving marks all upstreams of the issuer's zone as leaving in the instance list.
func (c *cell) markLeaving() {
	list := append([]platform.Instance(nil), c.fleet.list...)
	for i := range list {
		if list[i].Set != "" && list[i].Zone == c.issuer().zone {
			list[i].State = platform.Leaving
		}
	}
	c.fleet.platform.SetInstances(list)
}

func (c *cell) sendAsync(p *process) {
	c.sent.Go(func() { c.send(p, 5*time.Second) })
}

// sendToAll sends the request to every daemon concurrently and waits for the responses.
func (c *cell) sendToAll(timeout time.Duration) {
	var all sync.WaitGroup
	for _, p := range c.fleet.daemons {
		all.Go(func() { c.send(p, timeout) })
	}
	all.Wait()
}

func (c *cell) send(p *process, timeout time.Duration) {
	path := "/services/" + claimsService + "/release"
	if c.model {
		path = "/v1/chat/completions"
	}
	started := time.Now()
	r := p.send(call{path: path, body: c.body, key: c.key, timeout: timeout, clientTimeout: true})
	if r.outcome == "" {
		return
	}
	c.recorder.RecordAttempt(history.Attempt{Key: c.body, Outcome: r.outcome, Reason: r.problem.Reason, Body: streamText(r.body), Sent: started, Received: time.Now()})
}

// streamText returns the text of a stream without the event IDs, which identify the run and not its
// content. Another body is returned unchanged.
func streamText(body string) string {
	var out []string
	for _, line := range strings.Split(body, "\n") {
		if i := strings.Index(line, `"text":"`); i >= 0 {
			line = line[i+len(`"text":"`):]
			out = append(out, line[:strings.IndexByte(line, '"')])
		}
	}
	if out == nil {
		return body
	}
	return strings.Join(out, "")
}

// expectedResponse returns the only correct response to the request.
func (c *cell) expectedResponse() string {
	if !c.model {
		return service.ResponseBody(c.body)
	}
	out := ""
	for n := 1; n <= 5; n++ {
		out += engine.Token([]byte(c.body), n)
	}
	return out
}

// check adds the runs that the fakes recorded to the history and checks it.
func (c *cell) check(t *testing.T) {
	t.Helper()
	for _, call := range c.fleet.service.Calls() {
		if call.Body == c.body {
			c.recorder.RecordDispatch(history.Dispatch{Key: c.body, At: call.At})
		}
	}
	for _, run := range c.fleet.engine.Runs() {
		if run.Body == c.body {
			c.recorder.RecordDispatch(history.Dispatch{Key: c.body, At: run.At})
		}
	}
	for _, v := range c.recorder.Check() {
		t.Errorf("%v", v)
	}
	if !c.recorder.Linearizable() {
		t.Error("the history isn't that of a register that accepts each key at most once")
	}
}
