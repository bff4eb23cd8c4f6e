package fleet

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/retryschedule"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// In a burst, a caller is refused, retries with the same content under another request ID, and must
// be recognised and counted. Without the setting nothing is.
func TestRetryIsRecognisedByItsContent(t *testing.T) {
	for name, enabled := range map[string]bool{"enabled": true, "disabled": false} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := telemetry.NewLogger(io.Discard, "error", "test")
				f := New(Options{Instance: "10.0.0.0:1", Limits: queue.Limits{MaxItems: 100}, Overload: Overload{RetrySchedule: enabled}, Quarantine: quarantine.New(log, nil), Metrics: telemetry.NewMetrics(), Log: log})
				f.ApplyListChange(view.ListChange{Version: 1, Changed: []view.Upstream{{ID: "u", Service: "s", Address: "127.0.0.1:1", Zone: "a", Slots: 1}}})
				_, problem := f.Acquire(t.Context(), generation())
				is.True(problem == nil) // the slot is taken
				for _, id := range []string{"1", "2"} {
					req := generation()
					req.ID = id
					req.Identity.Key = quarantine.Key{Organisation: "a", Digest: 7}
					req.Request.Organisation = "a"
					req.Request.Rank = 1
					_, problem = f.Acquire(t.Context(), req)
					is.True(problem != nil)
					<-time.After(problem.RetryAfter)
				}
				want := [retryschedule.Ranks]retryschedule.Counts{}
				if enabled {
					want[1] = retryschedule.Counts{ToldEarly: 2, ReturnedOnTime: 1, RefusedAgain: 1}
				}
				is.Equal(f.RetryCounts(), want)
			})
		})
	}
}
