package pool

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// Operators see the figures of the load reports, and without reports the status that they saw before.
func TestStatusShowsLoadReports(t *testing.T) { virtualtime.Test(t, testStatusShowsLoadReports) }

func testStatusShowsLoadReports(t *testing.T) {
	is := is.New(t)
	p := New(Options{Core: scheduler.New(scheduler.Options{Picker: &balancer.ObjectivePicker{}, Limits: queue.Limits{MaxItems: 9, MaxBytes: 1 << 20}})})
	p.SetMembers([]scheduler.Member{{ID: "u", Slots: 5}})
	g, problem := p.Acquire(t.Context(), &scheduler.Request{Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)})
	is.True(problem == nil)
	text, err := json.Marshal(p.Status())
	is.NoErr(err)
	is.True(!strings.Contains(string(text), "requestsInTransit") && !strings.Contains(string(text), "workPercent"))

	for range 100 {
		p.RecordLoad(g, loadreport.Report{Slots: 5, WorkPercent: 250})
	}
	s := p.Status()[0]
	is.True(s.InTransit > 0.9 && s.InTransit <= 1)
	is.Equal(s.WorkPercent, 250)
	r := p.LoadReports()
	is.Equal(r.WithWork, int64(100))
	is.Equal(r.Upstreams, 1)
}
