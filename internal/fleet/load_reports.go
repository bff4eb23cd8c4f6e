package fleet

import (
	"time"

	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// The counters of load reports that this instance recorded as the owner of a shard: with and without
// the work percentage, and those of peers that are invalid.
const (
	loadReportsWithWork    = `tacktally_load_reports_total{work="reported"}`
	loadReportsWithoutWork = `tacktally_load_reports_total{work="missing"}`
	loadReportsInvalid     = "tacktally_invalid_peer_load_reports_total"
)

// recordLoad passes a load report to the scheduler of a shard and counts it. The zero value means that
// there is none. An invalid one, which only a peer can send, is counted and changes nothing.
func (f *Fleet) recordLoad(s *shard, g *scheduler.Grant, r loadreport.Report) {
	switch {
	case !r.IsSet():
		return
	case !r.IsValid():
		f.o.Metrics.Count(loadReportsInvalid)
		return
	case r.Slots == 0: // says nothing about the load
	case r.WorkPercent > 0:
		f.o.Metrics.Count(loadReportsWithWork)
	default:
		f.o.Metrics.Count(loadReportsWithoutWork)
	}
	s.pool.RecordLoad(g, r)
}

// maxLoadAge is the age above which a load report isn't passed to the owner, which would treat it as
// new. The owner disregards reports of that age.
const maxLoadAge = time.Second

// pendingLoad is the load report of a response until it is passed to the owner. Only the goroutine that
// relays the response uses it.
type pendingLoad struct {
	report loadreport.Report
	at     time.Time // when report was received
}

func (p *pendingLoad) set(r loadreport.Report) { p.report, p.at = r, time.Now() }

// take returns the report and removes it. The result is the zero value if there is none, or if it is
// older than maxLoadAge.
func (p *pendingLoad) take() loadreport.Report {
	r := p.report
	p.report = loadreport.Report{}
	if time.Since(p.at) > maxLoadAge {
		return loadreport.Report{}
	}
	return r
}

// LoadReports summarises the load reports that this instance recorded as the owner of shards, and the
// requests that it granted because of them.
func (f *Fleet) LoadReports() (total scheduler.LoadReports) {
	shards, dropped := f.allAndDropped()
	total.Add(dropped.reports)
	for _, s := range shards {
		total.Add(s.pool.LoadReports())
	}
	return total
}
