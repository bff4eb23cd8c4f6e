package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// recordingSlot records the load reports that were sent to the owner, with a first token and with the
// release.
type recordingSlot struct{ started, released []loadreport.Report }

func (s *recordingSlot) Started(load loadreport.Report) { s.started = append(s.started, load) }
func (s *recordingSlot) Release(_ peer.SlotRelease, load loadreport.Report) {
	s.released = append(s.released, load)
}
func (s *recordingSlot) Lost() bool { return false }

// The owner treats a report as new when it arrives. One that waited long for the first token would
// count fully although the upstream's load has changed since.
func TestOnlyARecentLoadReportIsSentToTheOwner(t *testing.T) {
	report := loadreport.Report{Running: 3, Slots: 5, WorkPercent: 300}
	for name, c := range map[string]struct {
		record bool
		wait   time.Duration
		want   loadreport.Report
	}{
		"no report":       {false, 0, loadreport.Report{}},
		"at once":         {true, 0, report},
		"after a second":  {true, maxLoadAge, report},
		"after some more": {true, maxLoadAge + 1, loadreport.Report{}},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				slot := &recordingSlot{}
				g := &peerGrant{slot: slot, tracked: &peerGrants{}}
				if c.record {
					g.RecordLoad(report)
				}
				<-time.After(c.wait)
				g.RecordFirstToken()
				is.New(t).Equal(slot.started, []loadreport.Report{c.want})
			})
		})
	}
}

// A report that is sent twice would count twice; one that is sent only with the first token would be
// lost for a response that has none, such as a refusal for load.
func TestLoadReportIsSentToTheOwnerOnce(t *testing.T) {
	report := loadreport.Report{Running: 5, Waiting: 4, Slots: 5}
	for name, c := range map[string]struct {
		firstToken        bool
		started, released []loadreport.Report
	}{
		"with the first token": {true, []loadreport.Report{report}, []loadreport.Report{{}}},
		"with the release":     {false, nil, []loadreport.Report{report}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			slot := &recordingSlot{}
			g := &peerGrant{slot: slot, tracked: &peerGrants{}}
			g.RecordLoad(report)
			if c.firstToken {
				g.RecordFirstToken()
			}
			g.End(scheduler.Completed, 1)
			is.Equal(slot.started, c.started)
			is.Equal(slot.released, c.released)
		})
	}
}

// Reports of each kind are counted, and an invalid one must not fail the request under whose grant it
// came.
func TestRecordedLoadReportsAreCountedByKind(t *testing.T) {
	for name, c := range map[string]struct {
		report  loadreport.Report
		counter string // empty if none counts the report
	}{
		"none":                        {loadreport.Report{}, ""},
		"with the work percentage":    {loadreport.Report{Running: 3, Slots: 5, WorkPercent: 68}, loadReportsWithWork},
		"without the work percentage": {loadreport.Report{Running: 3, Slots: 5}, loadReportsWithoutWork},
		"negative":                    {loadreport.Report{Running: -1}, loadReportsInvalid},
		"more running than slots":     {loadreport.Report{Running: 6, Slots: 5}, loadReportsInvalid},
		"too large":                   {loadreport.Report{Slots: loadreport.MaxFigure + 1}, loadReportsInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleetOf("10.0.0.1:1", instances(1))
			f.SetInstances([]Instance{{Address: "10.0.0.1:1", Reachable: true, MayOwn: true}})
			g, problem := f.Acquire(t.Context(), generation())
			is.True(problem == nil)
			g.RecordLoad(c.report)
			g.RecordFirstToken()
			for _, counter := range []string{loadReportsWithWork, loadReportsWithoutWork, loadReportsInvalid} {
				is.Equal(f.o.Metrics.Value(counter) == 1, counter == c.counter)
			}
			g.End(scheduler.Completed, 1)
		})
	}
}
