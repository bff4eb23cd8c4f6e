package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A ledger that reports nothing proves something only if it reports each kind of violation.
func TestLedgerReportsViolations(t *testing.T) {
	for name, c := range map[string]struct {
		history func(l *Ledger)
		want    string
	}{
		"twice":      {func(l *Ledger) { l.Sent(Request{ID: "1", AtMostOnce: true}); l.Ran("1"); l.Ran("1") }, "ran 2 times"},
		"never sent": {func(l *Ledger) { l.Ran("1") }, "no caller sent it"},
		"refused but run": {func(l *Ledger) {
			l.Sent(Request{ID: "1", AtMostOnce: true})
			l.Ran("1")
			l.Answered("1", Response{Status: 503})
		}, "was refused"},
		"response of another request": {func(l *Ledger) {
			l.Sent(Request{ID: "1"})
			l.Ran("1")
			l.Answered("1", Response{Status: 200, Body: "answer to 2", Complete: true})
		}, "in place of"},
		"cut off inside an event": {func(l *Ledger) {
			l.Sent(Request{ID: "1", Events: 2})
			l.Ran("1")
			l.Cut("1", 99)
			l.Answered("1", Response{Status: 200, Body: StreamEvent("1", 1) + "id: 2", Complete: true, EndUnstated: true})
		}, "in place of"},
		"shorter than its upstream's body": {func(l *Ledger) {
			l.Sent(Request{ID: "1"})
			l.Ran("1")
			l.Answered("1", Response{Status: 200, Body: "answer", Complete: true, EndUnstated: true})
		}, "in place of"},
		"cut off, with a stated end": {func(l *Ledger) {
			l.Sent(Request{ID: "1", Events: 2})
			l.Ran("1")
			l.Cut("1", 99)
			l.Answered("1", Response{Status: 200, Body: StreamEvent("1", 1), Complete: true})
		}, "in place of"},
		"forged header": {func(l *Ledger) { l.Sent(Request{ID: "1"}); l.Forged("1", "Kv-From") }, "Kv-From"},
		"lost response": {func(l *Ledger) { l.Sent(Request{ID: "1"}); l.Ran("1"); l.Answered("1", Response{}) }, "was lost"},
		"run after its caller left": {func(l *Ledger) {
			l.Sent(Request{ID: "1"})
			l.Left("1")
			l.runs["1"] = []time.Time{time.Now().Add(2 * callerLeftSlack)}
			l.Answered("1", Response{})
		}, "after its caller had left"},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			c.history(l)
			violations := strings.Join(append(l.Check(time.Second), l.CheckPlanned()...), "; ")
			if !strings.Contains(violations, c.want) {
				t.Errorf("violations %q don't contain %q", violations, c.want)
			}
		})
	}
}

func TestLedgerExcusesBodiesCutOffWithoutASign(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Sent(Request{ID: "1", Events: 2})
	l.Ran("1")
	l.Cut("1", len(StreamEvent("1", 1)))
	l.Answered("1", Response{Status: 200, Body: StreamEvent("1", 1), Complete: true, EndUnstated: true})
	is.Equal(len(l.Check(time.Second)), 0)
}

func TestLedgerExcusesCallersThatLeft(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Sent(Request{ID: "1"})
	l.Ran("1")
	l.Left("1")
	l.Answered("1", Response{})
	is.Equal(len(l.Check(time.Second))+len(l.CheckPlanned()), 0)
}

// Late requests at an upstream that has left are reported, but the time for which the machine was
// stalled isn't counted.
func TestLateArrivalsAtUpstreamsThatLeftAreReported(t *testing.T) {
	is := is.New(t)
	d, now := NewDepartures(), time.Now()
	var stalls Stalls
	d.Left("u", "removed")
	d.left["u"] = now.Add(-3 * time.Second)
	d.Reached("1", "v") // hasn't left
	is.Equal(len(d.Check(0, &stalls)), 0)
	d.Reached("2", "u")
	is.Equal(len(d.Check(4*time.Second, &stalls)), 0)
	is.Equal(len(d.Check(2*time.Second, &stalls)), 1)
	stalls.compare(now.Add(-5*time.Second), now.Add(-1500*time.Millisecond)) // half of it before u left
	is.Equal(len(d.Check(2*time.Second, &stalls)), 0)
}

func TestStallsAreRecordedFromThreshold(t *testing.T) {
	is := is.New(t)
	var s Stalls
	now := time.Now()
	s.compare(now, now.Add(stallThreshold-1))
	is.Equal(s.String(), "")
	s.compare(now, now.Add(stallThreshold))
	is.True(strings.HasPrefix(s.String(), "250ms before "))
}
