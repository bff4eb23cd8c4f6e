package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/peer"
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
