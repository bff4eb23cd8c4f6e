package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const log = `time=2026-02-03T12:00:01.000Z level=info instance=a event=shard_owner service="quota of crews" shard=0 owner=b
not a line of ours
  4.2 front-a time=2026-02-03T12:00:02.000Z level=info instance=b event=request_ended request=2 reason=deadline_expired detail="rank 1, 2 waiting" service=s organisation=crews took=1500.5
time=2026-02-03T12:00:03.000Z level=info instance=a event=request_ended request=1 reason=organisation_limit detail="used \"all\"" organisation=crews service=s took=4
time=2026-02-03T12:00:03.100Z level=info instance=a event=attempt_failed request=3 upstream=u status=lost cause=reset
time=2026-02-03T12:00:03.200Z level=info instance=b event=attempt_failed request=4 upstream=u status=lost cause=reset
time=2026-02-03T12:00:03.300Z level=info instance=a event=request_ended request=3 organisation=crews service=s took=100
time=2026-02-03T12:00:04.000Z level=info instance=a event=shard_owner service="quota of crews" shard=0 owner=c
`

func read(t *testing.T) []Line {
	t.Helper()
	lines, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	Sort(lines)
	return lines
}

func TestReadParsesPairs(t *testing.T) {
	is := is.New(t)
	lines := read(t)
	is.Equal(len(lines), 7)
	is.Equal(lines[0].Fields["service"], "quota of crews")
	is.Equal(lines[1].Event, "request_ended")
	is.Equal(lines[1].Milliseconds("took"), 1500500*time.Microsecond)
	is.Equal(lines[2].Fields["detail"], `used "all"`)
}

func TestReadAcceptsTruncatedLine(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(`time=2026-02-03T12:00:01.000Z event=stopped cause="half` + "\ntime=never event=x\n"))
	is.NoErr(err)
	is.Equal(len(lines), 1)
	is.Equal(lines[0].Fields["cause"], `"half`)
}

func TestTraceHasLinesAndCauses(t *testing.T) {
	for request, want := range map[string]struct {
		lines int
		cause string
		text  string
	}{
		"1": {1, "owner of the organisation's token bucket", "owner=b"}, // the later change of owner doesn't count
		"3": {2, "1 other attempts at u failed within 2s", "request=3"},
		"9": {0, "", ""},
	} {
		t.Run(request, func(t *testing.T) {
			is := is.New(t)
			trace := TraceRequest(read(t), request)
			is.Equal(len(trace.Lines), want.lines)
			if want.cause == "" {
				is.Equal(len(trace.Causes), 0)
				return
			}
			is.Equal(trace.Causes[0].Explanation, want.cause)
			is.True(strings.Contains(trace.Causes[0].Line.Text, want.text))
		})
	}
}

// An upstream leaves. One instance receives the change; another still sends a request to it.
func TestTraceShowsWhenInstancesStoppedUsingUpstream(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(`time=2026-02-03T12:00:01.000Z instance=a event=upstreams version=4 changed="u ready, v ready" from=source
time=2026-02-03T12:00:02.000Z instance=b event=upstreams version=5 changed="u leaving" from=source
time=2026-02-03T12:00:03.000Z instance=b event=upstreams version=6 changed="u gone, w ready" from=source
time=2026-02-03T12:00:05.000Z instance=a event=request_ended request=1 upstream=u list=4 list_age=4000
time=2026-02-03T12:00:09.000Z instance=a event=upstreams version=6 changed="u gone" from="peer b"
`))
	is.NoErr(err)
	trace := TraceRequest(lines, "1")
	is.Equal(len(trace.Causes), 2)
	is.Equal(trace.Causes[0].Explanation, "b stopped using u (leaving)")
	is.Equal(trace.Causes[1].Explanation, "a stopped using u (gone)")
	is.Equal(trace.Causes[1].Line.Fields["from"], "peer b")
}

// An upstream leaves, and instances use it again because of an entry that was written earlier.
func TestTraceShowsThatLeavingUpstreamWasUsedAgain(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(`time=2026-02-03T12:00:01.000Z instance=a event=upstreams version=4 changed="u ready" from=source
time=2026-02-03T12:00:02.000Z instance=a event=upstreams version=5 changed="u leaving" from=source
time=2026-02-03T12:00:03.000Z instance=a event=upstreams version=6 changed="u ready" from=source
time=2026-02-03T12:00:03.500Z instance=a event=request_ended request=1 upstream=u list=6 list_age=4
time=2026-02-03T12:00:04.000Z instance=a event=upstreams version=7 changed="u leaving" from=source
`))
	is.NoErr(err)
	trace := TraceRequest(lines, "1")
	is.Equal(len(trace.Causes), 2)
	is.Equal(trace.Causes[1].Explanation, "a resumed using u")
	is.Equal(trace.Causes[1].Line.Fields["version"], "6")
}

func TestOutcomesAreCountedByArrivalTime(t *testing.T) {
	is := is.New(t)
	o, err := CountOutcomes(read(t), "reason", time.Second)
	is.NoErr(err)
	is.Equal(len(o.Names), 3)
	is.Equal(o.Counts["deadline_expired"], []int{1, 0, 0}) // it arrived 1.5 s before its end
	is.Equal(o.Counts["organisation_limit"], []int{0, 0, 1})
	is.Equal(o.Total(answeredName), 1)
	var svg bytes.Buffer
	is.NoErr(o.WriteSVG(&svg))
	is.True(strings.Contains(svg.String(), "<svg"))
}

func TestCountOutcomesRejectsLineWithWrongDate(t *testing.T) {
	is := is.New(t)
	lines := read(t)
	lines[1].Time = lines[1].Time.AddDate(100, 0, 0)
	_, err := CountOutcomes(lines, "reason", time.Second)
	is.True(err != nil)
}

func FuzzRead(f *testing.F) {
	for _, line := range strings.Split(log, "\n") {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err == nil {
			_, _ = CountOutcomes(lines, "reason", time.Hour) // an error is fine, a panic is not
		}
	})
}
