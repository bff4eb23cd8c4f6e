package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
)

// The first hubs of a zone read; who they are is membership's to say.
func TestTheFirstHubsOfAZoneRead(t *testing.T) {
	for name, c := range map[string]struct {
		age  time.Duration
		role peer.Role
		want bool
	}{
		"first":                     {findFor, peer.Role{HubRank: 0}, true},
		"second":                    {findFor, peer.Role{HubRank: 1}, true},
		"third":                     {findFor, peer.Role{HubRank: 2}, false},
		"none":                      {findFor, peer.Role{HubRank: -1}, false},
		"a seed that is none":       {findFor, peer.Role{HubRank: -1, Seed: true}, false},
		"first, just started":       {findFor - 1, peer.Role{HubRank: 0}, false},
		"alone, just started":       {0, peer.Role{HubRank: 0, NoOtherSeed: true}, true},
		"a seed, just started":      {0, peer.Role{HubRank: 2, Seed: true}, true},
		"none, and it just started": {0, peer.Role{HubRank: -1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var r reading
			is.New(t).Equal(r.due(time.Now(), c.age, c.role), c.want)
		})
	}
}

func TestAnOldProofMakesAnyInstanceReadForAWhile(t *testing.T) {
	is := is.New(t)
	var r reading
	now := time.Now()
	none := peer.Role{HubRank: -1}
	is.True(!r.due(now, time.Minute, none))
	r.alarm(now)
	is.True(r.due(now.Add(alarmHold/2), time.Minute, none))
	is.True(!r.due(now.Add(alarmHold), time.Minute, none))
}

// While the source is away for all, not all ask it: eight of a zone, and twice as many each 5 s,
// so that whoever alone can reach it is among them some time.
func TestHowManyReadWhileWhatTheyHaveIsTooOld(t *testing.T) {
	is := is.New(t)
	var r reading
	start := time.Now()
	reads := func(at time.Duration, rank int) bool {
		return r.due(start.Add(at), time.Minute, peer.Role{HubRank: -1, ZoneRank: rank})
	}
	for at := time.Duration(0); at <= 2*widenAlarm; at += askInterval {
		r.alarm(start.Add(at))
		want := alarmedReaders << int(at/widenAlarm)
		is.True(reads(at, want-1))
		is.True(!reads(at, want))
	}
	is.True(reads(2*widenAlarm+alarmHold-time.Second, alarmedReaders-1)) // it is held
	is.True(!reads(2*widenAlarm+alarmHold, 0))
	r.alarm(start.Add(time.Hour)) // another time
	is.True(!reads(time.Hour, alarmedReaders))
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
	far := peer.Status{Address: "10.0.0.1:1", Zone: "merkato", Linked: true, ReadsSource: true}
	near := peer.Status{Address: "10.0.0.2:1", Zone: "bole", Linked: true}
	lost := peer.Status{Address: "10.0.0.3:1", Zone: "bole", Reachable: true, ReadsSource: true} // it has no link any more
	is.Equal(reader("bole", []peer.Status{near, lost}), "")
	is.Equal(reader("bole", []peer.Status{far, near, lost}), "")
	near.ReadsSource = true
	is.Equal(reader("bole", []peer.Status{far, near, lost}), "10.0.0.2:1")
	near.ReadsSource = false
	is.Equal(reader("bole", []peer.Status{far, near, lost}), "")
}
