package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
)

func TestTheFirstOfAZoneRead(t *testing.T) {
	near := func(address string) peer.Status {
		return peer.Status{Address: address, Zone: "bole", Reachable: true}
	}
	far := peer.Status{Address: "10.0.0.0:1", Zone: "merkato", Reachable: true}
	lost := peer.Status{Address: "10.0.0.0:2", Zone: "bole"}
	leaves := near("10.0.0.0:3")
	leaves.Draining = true
	for name, c := range map[string]struct {
		peers []peer.Status
		want  bool
	}{
		"alone":                    {nil, true},
		"second":                   {[]peer.Status{near("10.0.0.1:1")}, true},
		"third":                    {[]peer.Status{near("10.0.0.1:1"), near("10.0.0.2:1")}, false},
		"third, a far one first":   {[]peer.Status{near("10.0.0.1:1"), far}, true},
		"third, one is lost":       {[]peer.Status{near("10.0.0.1:1"), lost}, true},
		"third, one leaves":        {[]peer.Status{near("10.0.0.1:1"), leaves}, true},
		"first of a number of ten": {[]peer.Status{near("10.0.0.6:1"), near("10.0.0.7:1"), near("10.0.0.8:1")}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var r reading
			is.New(t).Equal(r.due(time.Now(), "10.0.0.5:1", "bole", c.peers), c.want)
		})
	}
}

func TestAnOldProofMakesAnyInstanceReadForAWhile(t *testing.T) {
	is := is.New(t)
	var r reading
	now := time.Now()
	peers := []peer.Status{
		{Address: "10.0.0.1:1", Zone: "bole", Reachable: true}, {Address: "10.0.0.2:1", Zone: "bole", Reachable: true},
	}
	is.True(!r.due(now, "10.0.0.5:1", "bole", peers))
	r.alarm(now)
	is.True(r.due(now.Add(alarmHold/2), "10.0.0.5:1", "bole", peers))
	is.True(!r.due(now.Add(alarmHold), "10.0.0.5:1", "bole", peers))
}

func TestFromWhichAgeOnPeersAreAsked(t *testing.T) {
	for age, want := range map[time.Duration]oldness{
		0: fresh, 999 * time.Millisecond: fresh, time.Second: ageing, 1999 * time.Millisecond: ageing, 2 * time.Second: tooOld, time.Hour: tooOld,
	} {
		is.New(t).Equal(oldnessOf(age, 2*time.Second, askListShare, alarmListShare), want)
	}
}

func TestTheReaderOfTheZoneIsAsked(t *testing.T) {
	is := is.New(t)
	var r reading
	peers := []peer.Status{
		{Address: "10.0.0.1:1", Zone: "merkato", Reachable: true}, {Address: "10.0.0.2:1", Zone: "bole", Reachable: true},
	}
	is.Equal(r.reader("bole", peers), "")
	r.heard("10.0.0.1:1", true)
	is.Equal(r.reader("bole", peers), "")
	r.heard("10.0.0.2:1", true)
	is.Equal(r.reader("bole", peers), "10.0.0.2:1")
	r.heard("10.0.0.2:1", false)
	is.Equal(r.reader("bole", peers), "")
}
