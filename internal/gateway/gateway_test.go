package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/idempotency"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/telemetry"
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
