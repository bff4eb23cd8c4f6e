package faults

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/service"
)

func TestCutOffZoneGoesOnServing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort", "pettah")
	alone := f.daemons[2]
	old := f.daemons[0].issue()
	for _, p := range f.daemons[:2] {
		cut(alone, p)
	}
	alone.platWire.Partition("")
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

// A forwarded answer whose link breaks in its midst goes on when the link is back:
// the caller sees nothing of it.
func TestForwardedAnswerOutlivesItsLink(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	issuer, entry := f.daemons[0], f.daemons[1]
	hold := make(chan struct{})
	f.engine.SetFaults(engine.Faults{HoldToken: hold})
	body := prompt("a long dossier", true)
	key := issuer.issue()
	got := make(chan reply)
	go func() { got <- entry.send(call{path: chat, body: body, key: key}) }()
	hold <- struct{}{} // two tokens have come
	cut(issuer, entry)
	f.eventually("they are apart", func() bool { return entry.reachable() == 0 })
	heal(issuer, entry)
	close(hold)
	r := <-got
	is.Equal(r.outcome, api.Answered)
	whole := ""
	for n := 1; n <= 4; n++ {
		whole += engine.Token([]byte(body), n)
	}
	is.Equal(text(r.body), whole)
	is.Equal(len(f.engine.Runs()), 1)
}

func TestCutAnswerNeverLooksWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort")
	f.service.SetFaults(service.Faults{TruncateBody: true})
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
	f.engine.SetFaults(engine.Faults{TruncateAfter: 2})
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
