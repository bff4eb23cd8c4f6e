package telemetry

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
)

func TestEachReasonHasACounter(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	for _, r := range api.RefusalReasons {
		m.Refused(r)
	}
	for _, r := range api.RetryReasons {
		m.Retried(r)
	}
	var out bytes.Buffer
	m.Write(&out)
	for _, r := range slices.Concat(api.RefusalReasons, api.RetryReasons) {
		is.True(strings.Contains(out.String(), `{reason="`+string(r)+`"} 1`)) // counted once
	}
}

func TestLoggerWritesOneLineOfPairs(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	NewLogger(&out, "info", "10.0.0.1:7003").Info().Str("event", "retry").Bool("again", true).Int("n", 3).Str("cause", "a \"quoted\"\nline").Msg("")
	_, rest, ok := strings.Cut(out.String(), " ")
	is.True(ok && strings.HasPrefix(out.String(), "time="))
	is.Equal(rest, `level=info instance=10.0.0.1:7003 event=retry again=true n=3 cause="a \"quoted\"\nline"`+"\n")
}
