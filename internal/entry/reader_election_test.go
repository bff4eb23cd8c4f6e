package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
)

// The first hubs of a zone read the source. Package membership selects the hubs.
func TestFirstHubsOfAZoneReadTheSource(t *testing.T) {
	for name, c := range map[string]struct {
		age  time.Duration
		role peer.Role
		want bool
	}{
		"first":                       {discoveryTime, peer.Role{HubRank: 0}, true},
		"second":                      {discoveryTime, peer.Role{HubRank: 1}, true},
		"third":                       {discoveryTime, peer.Role{HubRank: 2}, false},
		"no hub":                      {discoveryTime, peer.Role{HubRank: -1}, false},
		"seed, no hub":                {discoveryTime, peer.Role{HubRank: -1, Seed: true}, false},
		"first, just started":         {discoveryTime - 1, peer.Role{HubRank: 0}, false},
		"no other seed, just started": {0, peer.Role{HubRank: 0, NoOtherSeed: true}, true},
		"seed, just started":          {0, peer.Role{HubRank: 2, Seed: true}, true},
		"no hub, just started":        {0, peer.Role{HubRank: -1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var r readerElection
			is.New(t).Equal(r.shouldRead(time.Now(), c.age, c.role), c.want)
		})
	}
}

func TestStaleProofMakesAnyInstanceReadForAlarmHold(t *testing.T) {
	is := is.New(t)
	var r readerElection
	now := time.Now()
	noHub := peer.Role{HubRank: -1}
	is.True(!r.shouldRead(now, time.Minute, noHub))
	r.recordAlarm(now)
	is.True(r.shouldRead(now.Add(alarmHold/2), time.Minute, noHub))
	is.True(!r.shouldRead(now.Add(alarmHold), time.Minute, noHub))
}

// While the source is down for all instances, only some poll it: eight of a zone, and twice as many
// every 5 s, so that an instance that alone can reach it is eventually among them.
func TestReaderCountWidensWhileStateIsStale(t *testing.T) {
	is := is.New(t)
	var r readerElection
	start := time.Now()
	reads := func(at time.Duration, rank int) bool {
		return r.shouldRead(start.Add(at), time.Minute, peer.Role{HubRank: -1, ZoneRank: rank})
	}
	for at := time.Duration(0); at <= 2*widenInterval; at += fetchInterval {
		r.recordAlarm(start.Add(at))
		want := alarmedReaders << int(at/widenInterval)
		is.True(reads(at, want-1))
		is.True(!reads(at, want))
	}
	is.True(reads(2*widenInterval+alarmHold-time.Second, alarmedReaders-1)) // within alarmHold of the last alarm
	is.True(!reads(2*widenInterval+alarmHold, 0))
	r.recordAlarm(start.Add(time.Hour)) // a later, separate alarm
	is.True(!reads(time.Hour, alarmedReaders))
}

func TestStalenessByAge(t *testing.T) {
	for age, want := range map[time.Duration]staleness{
		0: fresh, 999 * time.Millisecond: fresh, time.Second: ageing, 1999 * time.Millisecond: ageing, 2 * time.Second: stale, time.Hour: stale,
	} {
		is.New(t).Equal(stalenessOf(age, 2*time.Second, listFetchShare, listAlarmShare), want)
	}
}

func TestZoneReaderIsALinkedReaderOfTheSameZone(t *testing.T) {
	is := is.New(t)
	otherZone := peer.Status{Address: "10.0.0.1:1", Zone: "merkato", Linked: true, Report: &peer.Report{ReadsSource: true}}
	sameZone := peer.Status{Address: "10.0.0.2:1", Zone: "bole", Linked: true, Report: &peer.Report{}}
	unlinked := peer.Status{Address: "10.0.0.3:1", Zone: "bole", Reachable: true, Report: &peer.Report{ReadsSource: true}} // its link is down
	is.Equal(zoneReader("bole", []peer.Status{sameZone, unlinked}), "")
	is.Equal(zoneReader("bole", []peer.Status{otherZone, sameZone, unlinked}), "")
	sameZone.ReadsSource = true
	is.Equal(zoneReader("bole", []peer.Status{otherZone, sameZone, unlinked}), "10.0.0.2:1")
	sameZone.Report = nil // it hasn't reported yet
	is.Equal(zoneReader("bole", []peer.Status{otherZone, sameZone, unlinked}), "")
	sameZone.Report = &peer.Report{}
	is.Equal(zoneReader("bole", []peer.Status{otherZone, sameZone, unlinked}), "")
}
