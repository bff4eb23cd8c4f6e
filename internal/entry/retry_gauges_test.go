package entry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/settings"
)

// Operators must see whether callers keep to the times that they are told. An instance without the
// schedule has no such gauges.
func TestRetryScheduleIsReported(t *testing.T) {
	for name, enabled := range map[string]bool{"enabled": true, "disabled": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			newInstance(t, settings.Overload{RetrySchedule: enabled}).metrics.Write(&out)
			is.Equal(strings.Contains(out.String(), `tacktally_retry_schedule{rank="2",event="told_late"} 0`), enabled)
			is.Equal(strings.Count(out.String(), "tacktally_retry_schedule{") > 0, enabled)
		})
	}
}
