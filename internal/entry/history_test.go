package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/view"
)

// Guards against refusals of callers that resume streams after a rolling restart: an instance that has started learns from a
// peer, once, for how long list and configuration have been followed.
func TestInstanceThatStartsLearnsTheHistoryOfAPeer(t *testing.T) {
	is := is.New(t)
	content := []byte("configuration")
	old, started := newInstanceWith(t, content), newInstanceWith(t, content)
	for _, i := range []*Instance{old, started} {
		i.knowsQuarantined.Store(true)
	}
	heartbeat := &peer.Heartbeat{Revision: old.view.Revision(), FollowedS: int(time.Hour.Seconds())}
	is.True(!started.isBehind(heartbeat)) // nothing can be added before it has a list
	for _, i := range []*Instance{old, started} {
		i.fleet.ApplyListChange(view.ListChange{Version: 1, Changed: []view.Upstream{{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1, Version: "v2"}}})
	}
	old.fleet.MergeListHistory("former", &peer.ListHistory{Followed: time.Hour, Versions: []peer.ListedVersion{{Service: "s", Version: "v1", Gone: time.Minute}}})
	old.view.MergeRouteHistory(&view.RouteHistory{Revision: old.view.Revision(), Followed: time.Hour}, "former")
	from, to := &peerHandler{old}, &peerHandler{started}
	old.view.SetUpstreams(nil, 1, time.Now().Add(-time.Minute)) // nobody can read the list
	is.Equal(from.Heartbeat().FollowedS, 0)
	old.view.SetUpstreams(nil, 2, time.Now())
	is.True(from.Heartbeat().FollowedS >= heartbeat.FollowedS)
	is.True(started.isBehind(heartbeat))
	is.True(!started.isBehind(&peer.Heartbeat{Revision: heartbeat.Revision - 1, FollowedS: heartbeat.FollowedS})) // it would have a gap
	to.MergeState(old.Address(), boottime.Now(), from.State(to.FetchRequest()))
	is.True(started.followed() >= time.Hour)
	is.True(!started.isBehind(heartbeat))
	is.True(!to.FetchRequest().ListHistory)
	is.Equal(len(started.fleet.ListHistory(0).Versions), 2)
}

// Guards against streams of two versions: a stream may be resumed for as long as the timeout allowed that was in force when
// it began, though the timeout has been lowered since.
func TestLifetimeOfStreamsOutlivesALowerTimeout(t *testing.T) {
	is := is.New(t)
	i := newInstance(t, settings.Overload{})
	for _, timeout := range []time.Duration{20 * time.Second, 5 * time.Second} {
		table, err := routing.Build(&routing.Document{Services: []routing.Service{{Name: "s"}}, Routes: []routing.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, Resumable: true, Timeout: timeout, MaxAttempts: 1,
			Split: []routing.WeightedService{{Service: "s", Weight: 1}},
		}}})
		is.NoErr(err)
		i.tableChanged(table)
	}
	is.Equal(i.fleet.LongestLifetime("s"), 50*time.Second)
}
