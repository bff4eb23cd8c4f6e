package view

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// Guards against a log line for each heartbeat of each invalid entry when there are more of them than errors are
// remembered.
func TestManyMalformedEntriesAreLoggedSeldom(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		v := newView(nil)
		v.o.Log = telemetry.NewLogger(&out, "info", "a")
		report := func() int {
			out.Reset()
			for i := range 3 * maxMalformedLogged {
				v.ReportMalformed(fmt.Errorf("decode the entry servers/i-%d: slots is missing", i))
			}
			return strings.Count(out.String(), "event=entry_malformed")
		}
		is.Equal(report(), maxMalformedLogged)
		is.Equal(report(), 0)
		<-time.After(malformedLogPeriod)
		is.Equal(report(), maxMalformedLogged)
	})
}
