package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/settings"
)

// Operators must see whether upstreams report their load and how many requests are granted because of
// it. Without any report, the age must not look like that of a new one.
func TestLoadGaugesOfAnInstanceWithoutReports(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	newInstance(t, settings.Overload{MaxBacklog: 2}).metrics.Write(&out)
	for _, line := range []string{
		"tacktally_upstreams_reporting_load 0", "tacktally_load_report_age_seconds -1",
		"tacktally_mean_requests_in_transit 0", "tacktally_grants_beyond_slots 0",
	} {
		is.True(strings.Contains(out.String(), line+"\n"))
	}
}

// Each metric must show the figure that its name says.
func TestLoadGauges(t *testing.T) {
	is := is.New(t)
	r := scheduler.LoadReports{WithWork: 3, WithoutWork: 4, BeyondSlots: 5, Upstreams: 2, InTransit: 3, Newest: time.Now().Add(-time.Hour)}
	is.Equal(loadGauges["tacktally_upstreams_reporting_load"](r), 2.0)
	is.Equal(loadGauges["tacktally_mean_requests_in_transit"](r), 1.5)
	is.Equal(loadGauges["tacktally_grants_beyond_slots"](r), 5.0)
	is.True(loadGauges["tacktally_load_report_age_seconds"](r) >= 3600)
}
