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

// step is how far a request has come when the fault strikes.
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

// fault is what strikes, and how it ends. Heal is nil where it doesn't.
type fault struct {
	name   string
	strike func(c *cell)
	heal   func(c *cell)
}

var faults = []fault{
	{"kill", func(c *cell) { c.issuer().kill() }, nil},
	{"freeze and wake", func(c *cell) { c.issuer().freeze() }, func(c *cell) { c.issuer().wake() }},
	{"zone cut",
		func(c *cell) { cut(c.issuer(), c.entry()); cut(c.issuer(), c.far()) },
		func(c *cell) { heal(c.issuer(), c.entry()); heal(c.issuer(), c.far()) }},
	{"platform cut", func(c *cell) { c.issuer().platWire.Partition("") }, func(c *cell) { c.issuer().platWire.Heal("") }},
	{"platform stale", func(c *cell) { c.fleet.publish(0 + 1) }, func(c *cell) { c.fleet.publish(9) }},
	{"upstream slow", func(c *cell) {}, nil}, // the stand-in holds its answer until after the repeats
	{"upstream leaving", func(c *cell) { c.leave() }, nil},
	{"late answer", func(c *cell) { c.repeat(150 * time.Millisecond) }, nil},
	{"operator race", func(c *cell) {
		c.fleet.platform.Publish(5, document("one"))
		c.fleet.platform.Publish(5, document("two"))
		c.fleet.publish(6)
	}, nil},
}

// pairs are faults that strike together or twice.
var pairs = []fault{
	{"freeze twice",
		func(c *cell) {
			c.issuer().freeze()
			c.repeat(100 * time.Millisecond)
			c.issuer().wake()
			c.issuer().freeze()
		},
		func(c *cell) { c.issuer().wake() }},
	{"kill during a cut",
		func(c *cell) { cut(c.issuer(), c.entry()); c.issuer().kill() },
		func(c *cell) { heal(c.issuer(), c.entry()) }},
	{"freeze over a configuration change",
		func(c *cell) { c.issuer().freeze(); c.fleet.publish(7) },
		func(c *cell) { c.issuer().wake() }},
	{"kill and return at the same address",
		func(c *cell) { c.issuer().kill() },
		func(c *cell) { c.issuer().start(); c.issuer().waitReady() }},
	{"platform down and zone cut",
		func(c *cell) { c.fleet.platform.SetDown(true); cut(c.issuer(), c.entry()) },
		func(c *cell) { c.fleet.platform.SetDown(false); heal(c.issuer(), c.entry()) }},
}

// cell is one request under one fault at one step.
type cell struct {
	fleet   *fleet
	record  *history.Recorder
	at      step
	key     string
	body    string
	model   bool
	arrived chan service.Call
	release chan struct{}
	once    sync.Once
	sent    sync.WaitGroup
	fillers int
}

func (c *cell) issuer() *process { return c.fleet.daemons[0] }
func (c *cell) entry() *process  { return c.fleet.daemons[1] }
func (c *cell) far() *process    { return c.fleet.daemons[2] }

func TestFaultMatrix(t *testing.T) {
	for _, f := range append(append([]fault{}, faults...), pairs...) {
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
		fleet:   newTunedFleet(t, func(s *settings.Settings) { s.Platform.Wait = settings.Duration(time.Second) }, "fort", "fort", "pettah"),
		record:  history.NewRecorder(),
		at:      s,
		arrived: make(chan service.Call, 64),
		release: make(chan struct{}),
	}
	c.key = c.issuer().issue()
	c.body = "release " + c.key[len(c.key)-12:]
	c.model = s == firstByte || s == midStream
	if c.model {
		c.body = fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":5,"messages":[{"role":"user","content":%q}]}`, modelName, c.body)
	}
	c.record.ExpectBody(c.body, c.whole())
	c.drive()
	f.strike(c)
	c.repeat(400 * time.Millisecond)
	c.letGo()
	if f.heal != nil {
		f.heal(c)
	}
	c.repeat(2 * time.Second)
	c.sent.Wait()
	c.check(t)
}

// drive brings the request to its step.
func (c *cell) drive() {
	f := c.fleet
	switch c.at {
	case keyIssued:
	case forwarded:
		c.issuer().freeze()
		c.sendLater(c.entry())
		c.issuer().wake()
	case queued:
		c.holdService()
		c.fill()
		c.sendLater(c.entry())
		f.eventually("the request is queued", func() bool { return c.issuer().status().InFlight > c.fillers })
	case written:
		c.holdService()
		c.sendLater(c.entry())
		c.awaitArrival()
	case firstByte:
		f.engine.SetFaults(engine.Faults{HoldToken: c.release})
		c.sendLater(c.entry())
		f.eventually("the engine runs it", func() bool { return len(f.engine.Runs()) == 1 })
	case midStream:
		f.engine.SetFaults(engine.Faults{HoldToken: c.release})
		c.sendLater(c.entry())
		for range 2 {
			c.release <- struct{}{}
		}
	case answered:
		c.send(c.entry(), 5*time.Second)
	case draining:
		c.holdService()
		c.sendLater(c.entry())
		c.awaitArrival()
		c.issuer().signal(syscall.SIGTERM)
		f.eventually("the issuer drains", func() bool { return c.issuer().status().Draining })
	}
}

func (c *cell) holdService() {
	c.fleet.service.SetFaults(service.Faults{Arrived: c.arrived, Hold: c.release})
}

// fill occupies the service with other requests until one more has to wait.
func (c *cell) fill() {
	for c.fillers = 0; ; {
		key := c.issuer().issue()
		before := c.fillers
		c.fillers++
		c.sent.Go(func() {
			c.issuer().send(call{path: "/services/" + claims + "/release", body: "filler " + key, key: key, timeout: 5 * time.Second})
		})
		c.fleet.eventually("a filler is held", func() bool { return c.issuer().status().InFlight == before+1 })
		if c.fillers > 8 {
			break
		}
	}
	for range 8 {
		<-c.arrived
	}
}

func (c *cell) awaitArrival() {
	for call := range c.arrived {
		if call.Body == c.body {
			return
		}
	}
}

// letGo lets the stand-ins finish what they hold.
func (c *cell) letGo() { c.once.Do(func() { close(c.release) }) }

func (c *cell) leave() {
	list := append([]platform.Instance(nil), c.fleet.list...)
	for i := range list {
		if list[i].Set != "" && list[i].Zone == c.issuer().zone {
			list[i].State = platform.Leaving
		}
	}
	c.fleet.platform.SetInstances(list)
}

func (c *cell) sendLater(p *process) {
	c.sent.Go(func() { c.send(p, 5*time.Second) })
}

// repeat sends the request to every daemon at once and waits for the answers.
func (c *cell) repeat(timeout time.Duration) {
	var all sync.WaitGroup
	for _, p := range c.fleet.daemons {
		all.Go(func() { c.send(p, timeout) })
	}
	all.Wait()
}

func (c *cell) send(p *process, timeout time.Duration) {
	path := "/services/" + claims + "/release"
	if c.model {
		path = "/v1/chat/completions"
	}
	begun := time.Now()
	r := p.send(call{path: path, body: c.body, key: c.key, timeout: timeout, hasty: true})
	if r.outcome == "" {
		return
	}
	c.record.RecordAttempt(history.Attempt{Key: c.body, Outcome: r.outcome, Reason: r.problem.Reason, Body: text(r.body), Sent: begun, Received: time.Now()})
}

// text leaves out the event IDs of a stream, which name the run and not its content.
func text(body string) string {
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

func (c *cell) whole() string {
	if !c.model {
		return service.Answer(c.body)
	}
	out := ""
	for n := 1; n <= 5; n++ {
		out += engine.Token([]byte(c.body), n)
	}
	return out
}

// check reads the history: what the stand-ins saw and what callers were told.
func (c *cell) check(t *testing.T) {
	t.Helper()
	for _, call := range c.fleet.service.Calls() {
		if call.Body == c.body {
			c.record.RecordDispatch(history.Dispatch{Key: c.body, At: call.At})
		}
	}
	for _, run := range c.fleet.engine.Runs() {
		if run.Body == c.body {
			c.record.RecordDispatch(history.Dispatch{Key: c.body, At: run.At})
		}
	}
	for _, v := range c.record.Check() {
		t.Errorf("%v", v)
	}
	if !c.record.Linearizable() {
		t.Error("the history is not that of a register that takes each key at most once")
	}
}
