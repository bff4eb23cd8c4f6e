package faults

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/history"
	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/service"
)

var (
	randomRuns = flag.Int("random-runs", 3, "number of random concurrent runs")
	randomSeed = flag.Uint64("random-seed", 1, "seed of the first random run")
)

// Callers send and retry requests through every instance while random faults are injected and healed; the
// history must satisfy the guarantees. CI makes the default number of runs, -random-runs sets another.
func TestRandomConcurrentRuns(t *testing.T) {
	for n := range *randomRuns {
		seed := *randomSeed + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runRandomCase(t, seed)
		})
	}
}

const (
	randomCallers  = 6
	randomRequests = 40 // per caller
	randomFaults   = 10
)

func runRandomCase(t *testing.T, seed uint64) {
	f := newFleet(t, "fort", "fort", "pettah")
	recorder := history.NewRecorder()
	var callers sync.WaitGroup
	done := make(chan struct{})
	for i := range randomCallers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		callers.Go(func() {
			for n := range randomRequests {
				<-time.After(time.Duration(random.IntN(40)) * time.Millisecond) // spreads the requests over the faults
				f.sendWithRetries(recorder, random, i, newTask(random, fmt.Sprintf("request %d of caller %d", n, i)))
			}
		})
	}
	go func() {
		callers.Wait()
		close(done)
	}()
	f.injectRandomFaults(rand.New(rand.NewPCG(seed, 99)), done)
	<-done
	f.service.SetFaults(service.Faults{})
	for _, c := range f.service.Calls() {
		recorder.RecordDispatch(history.Dispatch{Key: c.Body, At: c.At})
	}
	for _, r := range f.engine.Runs() {
		recorder.RecordDispatch(history.Dispatch{Key: r.Body, At: r.At})
	}
	t.Logf("seed %d: %s", seed, recorder.Summary())
	for _, v := range recorder.Check() {
		t.Errorf("seed %d: %v", seed, v)
	}
	if !recorder.Linearizable() {
		t.Errorf("seed %d: the history isn't that of a register that accepts each key at most once", seed)
	}
	for _, p := range f.daemons {
		f.eventually(fmt.Sprintf("seed %d: %s is idle", seed, p.ip), p.isIdle)
	}
}

// isIdle reports whether a daemon has no request in flight and counts none as outstanding at an upstream.
func (p *process) isIdle() bool {
	if s := p.status(); s.Revision == 0 || s.InFlight > 0 {
		return false
	}
	for _, path := range []string{"/v1/resources/Service/" + claimsService, "/v1/resources/EngineSet/" + readerEngines} {
		var r struct {
			Status struct {
				Upstreams []struct {
					Running int `json:"running"`
					Pending int `json:"pendingPromptTokens"`
				} `json:"upstreams"`
			} `json:"status"`
		}
		p.getResource(path, &r)
		for _, u := range r.Status.Upstreams {
			if u.Running != 0 || u.Pending != 0 {
				return false
			}
		}
	}
	return true
}

// task is one request, and the only correct response.
type task struct {
	path, body, response string
	nonIdempotent        map[string]string // header that marks a request whose path isn't declared non-idempotent
}

// newTask returns a call or a streamed model request at random. Both may run at most once.
func newTask(random *rand.Rand, name string) task {
	if random.IntN(2) == 0 {
		return task{path: releasePath, body: name, response: service.ResponseBody(name)}
	}
	body := prompt(name, true)
	want := ""
	for n := 1; n <= 4; n++ {
		want += engine.Token([]byte(body), n)
	}
	return task{path: chatPath, body: body, response: want, nonIdempotent: map[string]string{api.HeaderNonIdempotent: "true"}}
}

// sendWithRetries sends one request with one key up to four times, some of them concurrently, each to a
// random instance.
func (f *fleet) sendWithRetries(recorder *history.Recorder, random *rand.Rand, caller int, do task) {
	key, ok := f.issueFromAnyInstance(random)
	if !ok {
		return
	}
	recorder.ExpectBody(do.body, do.response)
	var all sync.WaitGroup
	for range 1 + random.IntN(4) {
		p := f.daemons[random.IntN(len(f.daemons))]
		send := func() {
			started := time.Now()
			r := p.send(call{path: do.path, body: do.body, key: key, timeout: 300 * time.Millisecond, clientTimeout: true, header: do.nonIdempotent})
			if r.outcome != "" {
				recorder.RecordAttempt(history.Attempt{Key: do.body, Caller: caller, Outcome: r.outcome, Reason: r.problem.Reason, Body: streamText(r.body), Sent: started, Received: time.Now()})
			}
		}
		if random.IntN(2) == 0 {
			all.Go(send)
		} else {
			send()
		}
	}
	all.Wait()
}

// issueFromAnyInstance requests a key from random instances. It gives up after 5 attempts.
func (f *fleet) issueFromAnyInstance(random *rand.Rand) (string, bool) {
	for range 5 {
		p := f.daemons[random.IntN(len(f.daemons))]
		r := p.send(call{path: releasePath, body: "x", timeout: 300 * time.Millisecond, clientTimeout: true})
		if r.problem.IdempotencyKey != "" {
			return r.problem.IdempotencyKey, true
		}
	}
	return "", false
}

// injectRandomFaults injects and heals random faults until randomFaults are over or the callers are done.
func (f *fleet) injectRandomFaults(random *rand.Rand, done <-chan struct{}) {
	tick := time.NewTicker(60 * time.Millisecond)
	defer tick.Stop()
	for n := range randomFaults {
		select {
		case <-tick.C:
		case <-done:
			return
		}
		a := f.daemons[random.IntN(len(f.daemons))]
		b := f.daemons[random.IntN(len(f.daemons))]
		switch random.IntN(10) {
		case 0:
			a.kill()
			a.start()
		case 1:
			a.freeze()
			<-tick.C
			a.resume()
		case 2:
			partition(a, b)
			<-tick.C
			heal(a, b)
		case 3:
			f.platform.SetDown(n%2 == 0)
		case 4:
			f.publish(int64(random.IntN(20) + 1))
		case 5:
			f.service.SetFaults(service.Faults{Break: n%2 == 0})
		case 7:
			f.engine.SetFaults(engine.Faults{TruncateAfter: 1 + random.IntN(3)})
		case 9:
			f.platform.SetInstances(f.list) // the same list with a new version
		case 8:
			f.engine.SetFaults(engine.Faults{Garbage: n%2 == 0, Refuse: n%2 == 1})
			<-tick.C
			f.engine.SetFaults(engine.Faults{})
		case 6:
			a.platformRelay.Partition("")
			<-tick.C
			a.platformRelay.Heal("")
		}
	}
}
