package dispatch

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/upstream"
)

// Guards against a leaving engine that has closed its port and is taken for crashed, so that the requests which it has
// answered become suspects.
func TestTerminationOfALeavingEngineIsNoCrash(t *testing.T) {
	request := quarantine.Request{Key: quarantine.Key{Digest: 1}}
	for name, c := range map[string]struct {
		leaves, breaksOff, crash bool
	}{
		"leaving":                                {leaves: true},
		"leaving, and a response has broken off": {leaves: true, breaksOff: true, crash: true},
		"not leaving":                            {crash: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, _ := newScriptedAttempts(t, nil, newStreamRequest(false))
			d := a.dispatcher
			d.o.OnQuarantineChange = func() {}
			closed, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			address := closed.Addr().String()
			is.NoErr(closed.Close())
			d.members = map[string][]scheduler.Member{"readers": {{Address: address}}}
			d.leaving = map[string]time.Time{}
			d.o.Quarantine.RecordUnstatedEnd(time.Now(), address, request, false)
			if c.breaksOff {
				d.o.Quarantine.RecordLostResponse(time.Now(), address, request, false)
			}
			if c.leaves {
				d.MarkLeaving(address)
			}
			d.diagnose("readers", address)
			is.Equal(d.o.Quarantine.HasCrashed(time.Now(), time.Time{}, address), c.crash)
		})
	}
}

// Guards against an engine that gets request after request though no connection to it can be opened: a dial that times out
// is a failure of the engine, unlike an attempt that this instance or its caller stopped.
func TestDialTimeoutIsAFailureOfTheEngine(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		for name, c := range map[string]struct {
			connectTimeout time.Duration
			stop           func(a *attempts, cancel context.CancelCauseFunc)
			failed         bool
		}{
			"the dial times out":        {time.Nanosecond, func(*attempts, context.CancelCauseFunc) {}, true},
			"the caller left":           {time.Second, func(_ *attempts, cancel context.CancelCauseFunc) { cancel(context.Canceled) }, false},
			"the deadline has passed":   {time.Second, func(a *attempts, _ context.CancelCauseFunc) { a.request.Deadline = time.Now() }, false},
			"paused after the decision": {time.Second, func(a *attempts, _ context.CancelCauseFunc) { a.generation++ }, false},
		} {
			t.Run(fmt.Sprintf("%s/%t", name, nonIdempotent), func(t *testing.T) {
				is := is.New(t)
				a, address := newHeldAttempts(t, &heldEngine{onHeld: func() {}})
				a.request.NonIdempotent = nonIdempotent
				client := upstream.NewClient(c.connectTimeout)
				t.Cleanup(client.Close)
				a.dispatcher.o.Client = client
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				grant, problem := a.acquire(ctx)
				is.Equal(problem, nil)
				a.dispatcher.o.Quarantine.RecordUnstatedEnd(time.Now(), address, a.identity, false)
				c.stop(a, cancel)
				result := a.send(ctx, grant, a.call(grant))
				avoided := a.dispatcher.Upstreams(a.set)[0].CircuitOpenUntil
				is.Equal(avoided.After(time.Now()), c.failed)
				// The diagnosis of an upstream isn't started twice.
				is.Equal(a.dispatcher.o.Quarantine.NeedsDiagnosis(time.Now(), address), !c.failed)
				is.True(result.Status == upstream.NotWritten || name == "the caller left") // of a pooled connection
			})
		}
	}
}
