package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/ratelimit"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/view"
)

// deliverHeartbeat passes a heartbeat of one instance to another one, which fetches the sender's state if it is behind.
func deliverHeartbeat(from, to *Instance) (fetched bool) {
	sender, receiver := &peerHandler{from}, &peerHandler{to}
	if fetched = to.isBehind(&peer.Heartbeat{InformedS: sender.Heartbeat().InformedS}); fetched {
		receiver.MergeState(from.Address(), boottime.Now(), sender.State(receiver.FetchRequest()))
	}
	return fetched
}

// listUpstreams lists an upstream that leaves and one with a limit at an instance, and returns their processes.
func listUpstreams(i *Instance) (leaving, limited string) {
	var all []view.Upstream
	for _, id := range []string{"leaving", "limited"} {
		all = append(all, view.Upstream{ID: id, Service: "s", Address: "127.0.0.1:9", Slots: 1})
	}
	i.fleet.ApplyListChange(view.ListChange{Version: 1, Changed: all})
	return i.fleet.ProcessOf("leaving"), i.fleet.ProcessOf("limited")
}

// Guards against instances that learn from one another, having all just started, that there are no quarantine periods,
// leaving notices and limits, and don't ask the one that was there before.
func TestInstancesThatStartTogetherLearnWhatASurvivorKnows(t *testing.T) {
	is := is.New(t)
	survivor, first, second := newInstance(t, settings.Overload{}), newInstance(t, settings.Overload{}), newInstance(t, settings.Overload{})
	survivor.informed.since = time.Now().Add(-time.Hour)
	quarantineSegments(t, survivor)
	leaving, limited := "", ""
	for _, i := range []*Instance{first, second, survivor} {
		leaving, limited = listUpstreams(i)
	}
	is.True(survivor.fleet.RecordLeavingNotice(leaving))
	is.True(survivor.fleet.ObserveLimit(limited, time.Now(), ratelimit.Observation{Kind: ratelimit.Limited, PerSecond: 3}))
	is.True(deliverHeartbeat(first, second))
	is.True(deliverHeartbeat(second, first))
	is.True(deliverHeartbeat(survivor, first))
	is.True(deliverHeartbeat(first, second)) // which also knows what was before it
	for _, i := range []*Instance{first, second} {
		for segment := range uint64(quarantinedSegments) {
			is.True(i.quarantine.Remaining(time.Now(), crashingRequest(0, segment)) > 0)
		}
		is.True(i.fleet.IsLeaving(leaving))
		_, known := i.fleet.Limit("limited")
		is.True(known)
		is.True(!deliverHeartbeat(survivor, i))
	}
	is.True(!deliverHeartbeat(first, second))
	is.True(deliverHeartbeat(first, survivor)) // for the first time; its state is no older
	is.True(!deliverHeartbeat(first, survivor))
}

// Guards against states that carry all quarantine periods to each peer, and against one that lacks them and counts as complete.
func TestStateHasQuarantinePeriodsForWhoLacksThem(t *testing.T) {
	is := is.New(t)
	i := newInstance(t, settings.Overload{})
	i.informed.since = time.Now().Add(-time.Minute)
	quarantineSegments(t, i)
	h := &peerHandler{i}
	is.Equal(len(h.State(&peer.FetchRequest{Quarantined: true}).Quarantined), quarantinedSegments)
	is.Equal(len(h.State(&peer.FetchRequest{Informed: time.Second}).Quarantined), quarantinedSegments)
	for _, r := range []*peer.FetchRequest{{}, {Informed: time.Minute}, {Informed: time.Hour}} {
		s := h.State(r)
		is.Equal(len(s.Quarantined), 0)
		is.Equal(s.Informed, time.Duration(0))
	}
	h.MergeState("127.0.0.1:9", boottime.Now(), &peer.State{Informed: time.Second}) // it was informed for longer
	is.True(slices.Contains([]int{60, 61}, h.Heartbeat().InformedS))
	i.informed.since = time.Now().Add(-2 * wantedInformation)
	is.Equal(h.Heartbeat().InformedS, int(wantedInformation.Seconds()))
	is.True(!i.informed.lacks(time.Now(), wantedInformation))
}

// Guards against an instance that was stopped for a while and takes what it was told before and since for all there is.
func TestPausedInstanceLearnsWhatWasToldMeanwhile(t *testing.T) {
	is := is.New(t)
	running, paused, started := newInstance(t, settings.Overload{}), newInstance(t, settings.Overload{}), newInstance(t, settings.Overload{})
	for _, i := range []*Instance{running, paused} {
		i.informed.since = time.Now().Add(-time.Hour)
		i.refreshFleet()
	}
	is.True(deliverHeartbeat(running, paused)) // for the first time
	is.True(!deliverHeartbeat(running, paused))
	quarantineSegments(t, running)
	is.True(!deliverHeartbeat(running, paused))
	paused.lastFleet.pauses-- // it has been paused since the last refresh
	paused.lastFleet.at = time.Now().Add(-time.Minute)
	paused.refreshFleet()
	is.True(!deliverHeartbeat(started, paused)) // it wasn't there
	is.True(deliverHeartbeat(running, paused))
	is.True(paused.quarantine.Remaining(time.Now(), crashingRequest(0, 0)) > 0)
	is.True(!deliverHeartbeat(running, paused))
	paused.refreshFleet()
	is.True(!deliverHeartbeat(running, paused))
	is.True(deliverHeartbeat(paused, started)) // it still knows what was told before
	is.Equal(started.quarantine.Count(time.Now()), quarantinedSegments)
	is.True(!deliverHeartbeat(running, started))
}

// Guards against an instance that takes what a peer was told before and after a pause for all there is.
func TestPausedInstanceOffersOnlyWhatItWasToldSince(t *testing.T) {
	is := is.New(t)
	running, paused, started := newInstance(t, settings.Overload{}), newInstance(t, settings.Overload{}), newInstance(t, settings.Overload{})
	for _, i := range []*Instance{running, paused} {
		i.informed.since = time.Now().Add(-time.Hour)
		i.refreshFleet()
	}
	deliverHeartbeat(running, paused) // for the first time
	quarantineSegments(t, running)
	paused.lastFleet.pauses-- // it has been paused since the last refresh
	paused.lastFleet.at = time.Now().Add(-time.Minute)
	paused.refreshFleet()
	is.True(deliverHeartbeat(paused, started)) // for the first time
	is.True(deliverHeartbeat(running, started))
	is.Equal(started.quarantine.Count(time.Now()), quarantinedSegments)
}
