package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a record that reports nothing: it reports each kind of violation, and nothing that is allowed.
func TestStopsReportViolations(t *testing.T) {
	const grace, timeout = 4 * time.Second, 15 * time.Second
	stop := time.Now()
	after := func(d time.Duration) time.Time { return stop.Add(d) }
	cut := func(sent, ended time.Duration) StopResult {
		return StopResult{Begun: after(sent), Sent: after(sent), Ended: after(ended)}
	}
	type run struct {
		begun, ended time.Duration
		unended      bool
	}
	for name, c := range map[string]struct {
		got  StopResult
		runs []run
		want string // empty for none
	}{
		"a response is cut before a stop":                 {cut(-9*time.Second, -time.Second), []run{{-9 * time.Second, -time.Second, false}}, "was cut"},
		"a response is cut early in the grace period":     {cut(-time.Second, 2*time.Second), []run{{0, 2 * time.Second, false}}, "was cut"},
		"a run has ended before the last sixth":           {cut(-time.Second, 4*time.Second), []run{{0, 3300 * time.Millisecond, false}}, "was cut"},
		"a late request is cut":                           {cut(3100*time.Millisecond, 4*time.Second), []run{{3200 * time.Millisecond, 0, true}}, "was cut"},
		"a run in the last sixth is cut":                  {cut(2900*time.Millisecond, 4*time.Second), []run{{3 * time.Second, 3500 * time.Millisecond, false}}, ""},
		"a caller that read nothing notices a cut late":   {StopResult{Begun: stop, Sent: stop, Ended: after(6 * time.Second), Paused: 1500 * time.Millisecond}, []run{{0, 3800 * time.Millisecond, false}}, ""},
		"a cut is noticed late and was early":             {StopResult{Begun: stop, Sent: stop, Ended: after(6 * time.Second), Paused: 1500 * time.Millisecond}, []run{{0, 2 * time.Second, false}}, "was cut"},
		"a response is cut later than the process ends":   {cut(0, 6*time.Second), []run{{0, 3800 * time.Millisecond, false}}, "was cut"},
		"a run that goes on is cut":                       {cut(-time.Second, 4*time.Second), []run{{0, 0, true}}, ""},
		"a response is cut at its timeout":                {cut(-20*time.Second, -5*time.Second), []run{{-20 * time.Second, -5 * time.Second, false}}, ""},
		"a connection ends before its request runs":       {cut(0, time.Second), nil, ""},
		"a run is refused":                                {StopResult{Status: http.StatusServiceUnavailable, Complete: true}, []run{{0, 0, true}}, "was refused with 503"},
		"a run has a final response":                      {StopResult{Status: http.StatusBadGateway, Complete: true}, []run{{0, 0, true}}, ""},
		"a request that may run once runs twice":          {StopResult{StopRequest: StopRequest{AtMostOnce: true}, Complete: true}, []run{{0, 0, true}, {0, 0, true}}, "ran 2 times"},
		"a request that may run again runs twice":         {StopResult{Complete: true}, []run{{0, 0, true}, {0, 0, true}}, ""},
		"an event is missing":                             {StopResult{Status: http.StatusOK, Complete: true, Got: []int{1, 3}}, []run{{0, 0, true}}, "missing or double"},
		"an event comes twice":                            {StopResult{Status: http.StatusOK, Got: []int{1, 1}}, []run{{0, 0, true}}, "missing or double"},
		"a response without its last event looks whole":   {StopResult{StopRequest: StopRequest{Events: 2}, Status: http.StatusOK, Complete: true, Got: []int{1}}, []run{{0, 0, true}}, "1 events in place of 2"},
		"a response with all events":                      {StopResult{StopRequest: StopRequest{Events: 2}, Status: http.StatusOK, Complete: true, Got: []int{1, 2}}, []run{{0, 0, true}}, ""},
		"a response is cut where the process after began": {cut(30*time.Second, 31*time.Second), []run{{30 * time.Second, 0, true}}, "was cut"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewStops(grace, timeout)
			s.Terminate(0, after(-time.Minute), stop)
			s.Terminate(0, after(-time.Minute), after(time.Second)) // the first signal counts
			for _, r := range c.runs {
				recorded := &StopRun{begun: after(r.begun)}
				if !r.unended {
					recorded.ended = after(r.ended)
				}
				s.runs[""] = append(s.runs[""], recorded)
			}
			s.Answer(c.got)
			got := strings.Join(s.Check(), "; ")
			is.True(strings.Contains(got, c.want))
			is.Equal(got == "", c.want == "")
		})
	}
}
