package fleet

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/view"
)

// Guards against slot requests that tell the owner that a process is brittle, since its predecessor under the
// ID was: the owner would grant it one request at a time.
func TestBrittleReportBelongsToProcess(t *testing.T) {
	is := is.New(t)
	f := fleetOf("10.0.0.1:1", instances(1))
	f.ObserveReport("i-7", loadreport.Report{Brittle: true, MaxRefusals: 3})
	is.Equal(f.brittleOf("s"), map[string]int{"i-7": 3})
	entry := view.Upstream{ID: "i-7", Service: "s", Address: "127.0.0.1:1", Slots: 9, Incarnation: 9}
	f.ApplyListChange(view.ListChange{Version: 2, Changed: []view.Upstream{entry}})
	is.Equal(len(f.brittleOf("s")), 0)
	f.ObserveReport("i-7", loadreport.Report{}) // late, of the predecessor
	f.ObserveReport("i-7@9", loadreport.Report{Brittle: true, MaxRefusals: 2})
	f.ObserveReport("i-7", loadreport.Report{})
	is.Equal(f.brittleOf("s"), map[string]int{"i-7": 2})
}
