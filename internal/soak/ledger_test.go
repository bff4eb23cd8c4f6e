package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A ledger that finds nothing proves something only if it finds what is wrong.
func TestTheLedgerFindsBrokenPromises(t *testing.T) {
	for name, c := range map[string]struct {
		history func(l *Ledger)
		want    string
	}{
		"twice":      {func(l *Ledger) { l.Sent(Request{ID: "1", AtMostOnce: true}); l.Ran("1"); l.Ran("1") }, "ran 2 times"},
		"never sent": {func(l *Ledger) { l.Ran("1") }, "no caller sent it"},
		"a false promise": {func(l *Ledger) {
			l.Sent(Request{ID: "1", AtMostOnce: true})
			l.Ran("1")
			l.Answered("1", Response{Status: 503})
		}, "was refused"},
		"another's answer": {func(l *Ledger) {
			l.Sent(Request{ID: "1"})
			l.Ran("1")
			l.Answered("1", Response{Status: 200, Body: "answer to 2", Complete: true})
		}, "in place of"},
		"a forged header": {func(l *Ledger) { l.Sent(Request{ID: "1"}); l.Forged("1", "Kv-From") }, "Kv-From"},
		"a lost answer":   {func(l *Ledger) { l.Sent(Request{ID: "1"}); l.Ran("1"); l.Answered("1", Response{}) }, "was lost"},
		"work for nobody": {func(l *Ledger) {
			l.Sent(Request{ID: "1"})
			l.Left("1")
			l.runs["1"] = []time.Time{time.Now().Add(2 * goneSlack)}
			l.Answered("1", Response{})
		}, "after its caller had left"},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			c.history(l)
			found := strings.Join(append(l.Check(time.Second), l.CheckPlanned()...), "; ")
			if !strings.Contains(found, c.want) {
				t.Errorf("found %q, not %q", found, c.want)
			}
		})
	}
}

func TestTheLedgerExcusesCallersThatLeft(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Sent(Request{ID: "1"})
	l.Ran("1")
	l.Left("1")
	l.Answered("1", Response{})
	is.Equal(len(l.Check(time.Second))+len(l.CheckPlanned()), 0)
}

// A request that reaches an upstream late is found, but for the time for which the machine
// stood still.
func TestLateArrivalsAtUpstreamsThatLeftAreFound(t *testing.T) {
	is := is.New(t)
	d, now := NewDepartures(), time.Now()
	var stalls Stalls
	d.Left("u", "removed")
	d.left["u"] = now.Add(-3 * time.Second)
	d.Reached("1", "v") // it stays
	is.Equal(len(d.Check(0, &stalls)), 0)
	d.Reached("2", "u")
	is.Equal(len(d.Check(4*time.Second, &stalls)), 0)
	is.Equal(len(d.Check(2*time.Second, &stalls)), 1)
	stalls.look(now.Add(-5*time.Second), now.Add(-1500*time.Millisecond)) // half of it before it left
	is.Equal(len(d.Check(2*time.Second, &stalls)), 0)
}

func TestStallsAreNotedFromABoundOn(t *testing.T) {
	is := is.New(t)
	var s Stalls
	now := time.Now()
	s.look(now, now.Add(stallFrom-1))
	is.Equal(s.String(), "")
	s.look(now, now.Add(stallFrom))
	is.True(strings.HasPrefix(s.String(), "250ms before "))
}
