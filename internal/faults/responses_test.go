package faults

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/service"
	"github.com/tacktally/tacktally/internal/upstream"
)

// A partitioned zone goes on serving. A key that the other side issued is refused immediately, and works
// again after the partition.
func TestPartitionedZoneGoesOnServing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort", "pettah")
	isolated := f.daemons[2]
	old := f.daemons[0].issue()
	for _, p := range f.daemons[:2] {
		partition(isolated, p)
	}
	isolated.platformRelay.Partition("")
	f.eventually("the instance is isolated", func() bool { return isolated.reachable() == 0 })
	is.Equal(isolated.send(call{path: lookupPath, body: "a"}).body, service.ResponseBody("a"))
	is.Equal(isolated.send(call{path: releasePath, body: "b", key: isolated.issue()}).body, service.ResponseBody("b"))
	is.Equal(isolated.send(call{path: releasePath, body: "c", key: "my-own-id", attempt: "1"}).body, service.ResponseBody("c"))
	// A key of the other side can't be verified here and is refused immediately.
	r := isolated.send(call{path: releasePath, body: "d", key: old, timeout: 300 * time.Millisecond})
	is.Equal(r.problem.Reason, api.ReasonIssuerUnreachable)
	is.Equal(r.problem.AttemptOutcome, api.NotRun)
	for _, p := range f.daemons[:2] {
		heal(isolated, p)
	}
	f.eventually("the partition has healed", func() bool { return isolated.reachable() == 2 })
	is.Equal(isolated.send(call{path: releasePath, body: "d", key: old}).body, service.ResponseBody("d"))
	is.Equal(f.runCount("d"), 1)
}

// Each caller gets the response to its own request, although the responses arrive out of order, at two
// instances, over one link.
func TestEachCallerGetsItsOwnResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	const n = 8
	holds := make([]chan struct{}, n)
	replies := make([]reply, n)
	arrived := make(chan service.Call)
	var all sync.WaitGroup
	for i := range n {
		holds[i] = make(chan struct{})
		f.service.SetFaults(service.Faults{Arrived: arrived, Hold: holds[i]})
		key := f.daemons[0].issue()
		all.Go(func() {
			replies[i] = f.daemons[i%2].send(call{path: releasePath, body: fmt.Sprint("quote ", i), key: key})
		})
		<-arrived
	}
	for i := n - 1; i >= 0; i-- {
		close(holds[i])
	}
	all.Wait()
	for i := range n {
		is.Equal(replies[i].body, service.ResponseBody(fmt.Sprint("quote ", i)))
	}
}

// The connection to the upstream breaks after the request ran. A non-idempotent request ends with outcome
// unknown and isn't sent again, an idempotent one is retried.
func TestBrokenUpstreamConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort")
	p := f.daemons[0]
	f.service.SetFaults(service.Faults{Break: true})
	key := p.issue()
	r := p.send(call{path: releasePath, body: "a", key: key})
	is.Equal(r.problem.Reason, api.ReasonUpstreamLost)
	is.Equal(r.outcome, api.Unknown)
	f.service.SetFaults(service.Faults{})
	r = p.send(call{path: releasePath, body: "a", key: key}) // the retry gets the same result
	is.Equal(r.problem.Reason, api.ReasonUpstreamLost)
	is.Equal(f.runCount("a"), 1)
	f.service.SetFaults(service.Faults{Break: true})
	r = p.send(call{path: lookupPath, body: "b", timeout: 3 * time.Second})
	is.Equal(r.outcome, api.Unknown) // it ran, and there is no other upstream
	is.True(f.runCount("b") >= 1)
	is.True(p.metric(`tacktally_retries_total{reason="retry_upstream_lost"}`) >= 1)
}

// A forwarded response whose peer link breaks is resumed on a new link, unnoticed by the caller.
func TestForwardedResponseOutlivesItsLink(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	issuer, entry := f.daemons[0], f.daemons[1]
	hold := make(chan struct{})
	f.engine.SetFaults(engine.Faults{HoldToken: hold})
	body := prompt("a long dossier", true)
	key := issuer.issue()
	got := make(chan reply)
	go func() { got <- entry.send(call{path: chatPath, body: body, key: key}) }()
	hold <- struct{}{} // two tokens have arrived
	partition(issuer, entry)
	f.eventually("the instances are partitioned", func() bool { return entry.reachable() == 0 })
	heal(issuer, entry)
	close(hold)
	r := <-got
	is.Equal(r.outcome, api.Answered)
	want := ""
	for n := 1; n <= 4; n++ {
		want += engine.Token([]byte(body), n)
	}
	is.Equal(streamText(r.body), want)
	is.Equal(len(f.engine.Runs()), 1)
}

// A truncated response must not look complete to the caller.
func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort")
	f.service.SetFaults(service.Faults{TruncateBody: true})
	r := f.daemons[0].send(call{path: lookupPath, body: "a"})
	is.True(!r.complete)
	f.service.SetFaults(service.Faults{ResetBody: true}) // its response has no end but that of its connection
	r = f.daemons[0].send(call{path: releasePath, body: "b", key: f.daemons[0].issue()})
	is.True(!r.complete)
}

// A response that ends with its connection must not be reported as answered, neither to its caller nor to a
// retry that gets what was retained: its service may have crashed in the middle of it.
func TestResponseWithoutStatedEndIsNotReportedAsAnswered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	issuer, other := f.daemons[0], f.daemons[1]
	f.service.SetFaults(service.Faults{CutBody: true})
	key := issuer.issue()
	for _, p := range []*process{issuer, other} { // the other one asks the issuer
		r := p.send(call{path: releasePath, body: "a", key: key})
		is.Equal(r.body, service.ResponseBody("a")[:1])
		is.Equal(r.outcome, api.Unknown)
		is.Equal(r.header.Get(api.HeaderReason), string(api.ReasonUpstreamEndUnstated))
		is.True(!r.endStated)
	}
	is.Equal(f.runCount("a"), 1)
	is.Equal(issuer.metric(`tacktally_refusals_total{reason="upstream_end_unstated"}`), 1.0)
}

// Guards against a response that stops in its head or framing and looks whole to a caller: the first one, one that joins it
// at another instance, or one that retries later and gets what was retained.
func TestResponseCutInItsFramingIsWholeForNoCaller(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "fort", "fort")
	issuer, other := f.daemons[0], f.daemons[1]
	arrived, hold := make(chan service.Call), make(chan struct{})
	for name, raw := range map[string]string{
		"in the status line":        "HTTP/1.1 200 O",
		"in the length":             "HTTP/1.1 200 OK\r\nContent-Length: 1",
		"before the blank line":     "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n",
		"after an interim response": "HTTP/1.1 103 Early Hints\r\n\r\n",
		"by a switch of protocols":  "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"in a body":                 "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nhello",
		"in the size of a chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1",
		"before the trailer":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
		"in the trailer":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nLast: 1\r\n",
		"between events":            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 18\r\n\r\ndata: 1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f.service.SetFaults(service.Faults{Raw: raw, Arrived: arrived, Hold: hold})
			c := call{path: releasePath, body: name, key: issuer.issue()}
			replies := make(chan reply, 2)
			go func() { replies <- issuer.send(c) }()
			<-arrived
			go func() { replies <- other.send(c) }()
			f.eventually("the second caller is served", func() bool { return other.metric("tacktally_callers_held") == 1 })
			hold <- struct{}{}
			for _, r := range []reply{<-replies, <-replies, issuer.send(c), other.send(c)} {
				failed := r.status >= http.StatusInternalServerError || strings.Contains(r.body, "event: error\n")
				is.True(!r.complete || (failed && r.outcome == api.Unknown))
				is.True(r.status != http.StatusServiceUnavailable) // which promises that it hasn't run
			}
			is.Equal(f.runCount(name), 1)
			f.service.SetFaults(service.Faults{})
			is.Equal(issuer.send(call{path: lookupPath, body: "a"}).outcome, api.Answered) // closes the circuit of the service
		})
	}
}

// A broken stream is resumed at its engine, unnoticed by the caller and without a second prefill.
func TestBrokenStreamIsResumed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	body := prompt("a long dossier", true)
	f.engine.SetFaults(engine.Faults{TruncateAfter: 2})
	r := f.daemons[0].send(call{path: chatPath, body: body})
	is.Equal(r.outcome, api.Answered)
	want := ""
	for n := 1; n <= 4; n++ {
		want += engine.Token([]byte(body), n)
	}
	is.Equal(streamText(r.body), want)
	is.Equal(len(f.engine.Runs()), 1)
	is.Equal(f.daemons[0].metric(`tacktally_retries_total{reason="retry_stream_resumed"}`), 1.0)
	// Another instance resumes the stream after the ID of an event, but not for another organisation.
	id := strings.TrimPrefix(strings.SplitN(r.body, "\n", 2)[0], "id: ")
	resume := map[string]string{api.HeaderLastEventID: id}
	is.Equal(streamText(f.daemons[1].send(call{path: chatPath, body: body, header: resume}).body), strings.TrimPrefix(want, engine.Token([]byte(body), 1)))
	is.True(!strings.Contains(f.daemons[1].send(call{path: chatPath, body: body, header: resume, apiKey: otherKey}).body, "data: "))
	is.Equal(len(f.engine.Runs()), 1)
}

// Guards against pieces that are missing or come twice where a caller resumes a stream at any instance while its first
// request is still served, under a key, where the second one joins the first, and without one.
func TestStreamIsResumedWhileItsFirstRequestIsServed(t *testing.T) {
	t.Parallel()
	for _, keyed := range []bool{false, true} {
		for at := range 2 {
			t.Run(fmt.Sprintf("keyed %t, at %d", keyed, at), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, "fort", "fort")
				hold := make(chan struct{})
				f.engine.SetFaults(engine.Faults{HoldToken: hold})
				body := prompt("a long dossier", true)
				key := ""
				if keyed {
					key = f.daemons[0].issue()
				}
				h, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.daemons[0].ip+":7001"+chatPath, strings.NewReader(body))
				is.NoErr(err)
				h.Header.Set("Authorization", "Bearer "+apiKey)
				if keyed {
					h.Header.Set(api.HeaderIdempotencyKey, key)
				}
				first, err := f.client.Do(h)
				is.NoErr(err)
				defer first.Body.Close()
				reader := bufio.NewReader(first.Body)
				line, err := reader.ReadString('\n')
				is.NoErr(err)
				id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: ")
				is.True(ok)
				got := make(chan reply)
				go func() {
					got <- f.daemons[at].send(call{path: chatPath, body: body, key: key, header: map[string]string{api.HeaderLastEventID: id}})
				}()
				hold <- struct{}{} // another token, of either of them
				close(hold)
				rest, err := io.ReadAll(reader)
				is.NoErr(err)
				want := ""
				for n := 1; n <= 4; n++ {
					want += engine.Token([]byte(body), n)
				}
				is.Equal(streamText(string(rest)), want)
				r := <-got
				is.Equal(r.outcome, api.Answered)
				is.Equal(streamText(r.body), strings.TrimPrefix(want, engine.Token([]byte(body), 1)))
				is.True(strings.HasSuffix(r.body, "data: [DONE]\n\n"))
				is.Equal(len(f.engine.Runs()), 1)
			})
		}
	}
}

// Guards against pieces that come twice: a retry under a key that names an event which no instance has sent must not
// get the retained response from its start, as if it had none of it.
func TestUnknownEventIDIsRefusedUnderAKey(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	body := prompt("a long dossier", true)
	key := f.daemons[0].issue()
	is.Equal(f.daemons[0].send(call{path: chatPath, body: body, key: key}).outcome, api.Answered)
	for _, p := range f.daemons {
		for _, k := range []string{"", key} {
			r := p.send(call{path: chatPath, body: body, key: k, header: map[string]string{api.HeaderLastEventID: "12"}})
			is.Equal(r.problem.Reason, api.ReasonInvalidRequest)
		}
	}
	is.Equal(len(f.engine.Runs()), 1)
}

// Guards against a stream that its caller gives up though its engine serves it: an instance that had started and hadn't
// read the instance list yet took the engine for one that is no longer in service, after a restart of all instances.
func TestStreamIsResumedOnceTheListIsKnown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort")
	p := f.daemons[0]
	body := prompt("a dossier", true)
	whole := p.send(call{path: chatPath, body: body})
	is.Equal(whole.outcome, api.Answered)
	events := strings.SplitAfter(whole.body, "\n\n")
	id, ok := upstream.EventToken([]byte(events[1]))
	is.True(ok)
	f.platform.SetListDown(true)
	p.kill()
	p.start()
	f.eventually("the instance has the configuration", func() bool { return p.status().Revision == 1 })
	is.Equal(p.status().ListVersion, int64(0))
	again := call{path: chatPath, body: body, header: map[string]string{api.HeaderLastEventID: id.String()}}
	r := p.send(again)
	is.Equal(r.problem.Reason, api.ReasonNoConfiguration)
	is.True(r.problem.RetryAfterSeconds > 0)
	again.key = "an ID"
	is.Equal(p.send(again).outcome, api.Unknown)
	ready, err := f.client.Get("http://" + p.ip + ":7002/readyz")
	is.NoErr(err)
	ready.Body.Close()
	is.Equal(ready.StatusCode, http.StatusServiceUnavailable)
	f.platform.SetListDown(false)
	p.waitReady()
	again.key = ""
	r = p.send(again)
	is.Equal(r.outcome, api.Answered)
	is.Equal(r.body, strings.Join(events[2:], ""))
	is.Equal(len(f.engine.Runs()), 1)
}
