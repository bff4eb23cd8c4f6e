package gateway

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/pause"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// Guards against a request that may have run and is told that the attempt didn't: its key expired between two sendings of
// the attempt to the issuer, whose response to the first was lost.
func TestExpiredKeyOfAResentRequestSaysNothingOfTheAttempt(t *testing.T) {
	for resent, want := range map[bool]api.Outcome{false: api.NotRun, true: ""} {
		is := is.New(t)
		clock := idempotency.NewClock()
		g := New(Options{
			Registry: idempotency.NewRegistry(idempotency.Limits{Lifetime: time.Minute, MaxEntries: 9}, clock), Clock: clock,
			Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test"),
		})
		end := g.dispatchOrJoin(nil, &request.Request{Resent: resent}, idempotency.Use{Key: "a"}).Ended()
		is.Equal(end.Problem.Reason, api.ReasonKeyExpired)
		is.Equal(end.Problem.Outcome, api.Unknown)
		is.Equal(end.Problem.AttemptOutcome, want)
	}
}

// startingDispatcher is that of an instance that has just started.
type startingDispatcher struct{ Dispatcher }

func (startingDispatcher) HasList() bool { return false }

// Guards against a request that may have run and is told that it didn't: its key is of the process that served at the
// address of an instance before, which has started and has no configuration yet.
func TestStartingInstanceDoesNotKnowKeysOfTheProcessBeforeIt(t *testing.T) {
	is := is.New(t)
	clock, address := idempotency.NewClock(), "10.0.0.1:7003"
	before := idempotency.NewIssuer(address, 1, clock)
	g := New(Options{
		Issuer: idempotency.NewIssuer(address, 2, clock), Clock: clock, Holder: config.NewHolder(), Gate: &pause.Gate{Detector: pause.NewDetector()}, Dispatcher: startingDispatcher{},
		Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test"),
	})
	end := g.ServePeer(t.Context(), &request.Request{NonIdempotent: true, Key: before.Issue("gebremedhin", "", time.Minute)}).Ended()
	is.Equal(end.Problem.Outcome, api.Unknown)
	is.Equal(end.Problem.Reason, api.ReasonIssuerGone)
	end = g.ServePeer(t.Context(), &request.Request{}).Ended()
	is.Equal(end.Problem.Reason, api.ReasonNoConfiguration)
}

// heldDispatcher holds each request before it serves it.
type heldDispatcher struct {
	Dispatcher
	hold, served chan struct{}
}

func (d *heldDispatcher) Serve(_ context.Context, _ *config.Snapshot, _ *request.Request, b *answer.Buffer) {
	<-d.hold
	b.Finish(answer.End{})
	close(d.served)
}

// Guards against a shutdown that doesn't wait for a request that was admitted and isn't counted yet: its caller may have
// left, so that nothing else counts it.
func TestAdmittedRequestsAreInFlightAtOnce(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		virtualtime.Test(t, func(t *testing.T) {
			is := is.New(t)
			clock := idempotency.NewClock()
			d := &heldDispatcher{hold: make(chan struct{}), served: make(chan struct{})}
			g := New(Options{
				Issuer: idempotency.NewIssuer("10.0.0.1:7003", 1, clock), Clock: clock, Dispatcher: d,
				Registry: idempotency.NewRegistry(idempotency.Limits{Lifetime: time.Minute, MaxEntries: 9}, clock), Lifetime: time.Minute,
				Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test"),
			})
			r := &request.Request{NonIdempotent: nonIdempotent, Organisation: "gebremedhin"}
			if nonIdempotent {
				key, problem := g.Issue(r.Organisation, "")
				is.True(problem == nil)
				r.Key = key
			}
			ctx, leave := context.WithCancel(t.Context())
			g.Handle(ctx, nil, r)
			leave()
			is.Equal(g.InFlight(), 1)
			close(d.hold)
			<-d.served
			synctest.Wait()
			is.Equal(g.InFlight(), 0)
		})
	}
}
