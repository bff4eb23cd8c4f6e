package daemon

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/dispatch"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/telemetry"
)

// newPeerHandler returns the handler of an instance that knows nothing yet.
func newPeerHandler() *peerHandler {
	log := telemetry.NewLogger(io.Discard, "error", "test")
	return (*peerHandler)(&Daemon{
		holder:     config.NewHolder(),
		instances:  newInstanceList(),
		quarantine: quarantine.New(log, func(quarantine.Key) bool { return true }),
	})
}

// Guards against an instance that has just started and sends requests to upstreams that its peers have quarantined
// some time ago: heartbeats have one of those each.
func TestStateOfAPeerHasAllQuarantinedRequests(t *testing.T) {
	is := is.New(t)
	from, to := newPeerHandler(), newPeerHandler()
	request := func(n int) quarantine.Request {
		return quarantine.Request{Key: quarantine.KeyOf("crews", "POST", "h.example", "/x", fmt.Append(nil, n))}
	}
	const requests, crashes = 3, 3
	at := time.Now().Add(-10 * time.Second)
	for n := range requests * crashes {
		upstream := fmt.Sprint("i-", n)
		from.quarantine.RecordLostResponse(at, upstream, request(n/crashes), false)
		from.quarantine.RecordCrash(at, upstream)
		at = at.Add(time.Second / 2)
		from.quarantine.Remaining(at, request(0)) // updates the verdicts
	}
	to.MergeState("peer", boottime.Now(), from.State(to.FetchRequest()))
	for n := range requests {
		is.True(to.quarantine.Remaining(time.Now(), request(n)) > 0)
	}
}

// Guards against an engine that gets no requests, since a peer with an older list repeats the leaving notice of the one
// before it at its address.
func TestPeersNoticeOfAFormerEngineIsIgnored(t *testing.T) {
	is := is.New(t)
	p := newPeerHandler()
	p.dispatcher = dispatch.New(dispatch.Options{Zone: "bole", Subset: 48})
	const address = "10.0.0.9:1"
	engine := platform.Instance{Address: address, Zone: "bole", Set: "readers", State: platform.Live}
	apply := func(version int64, list ...platform.Instance) {
		p.instances.apply(platform.List{Version: version, Instances: list}, func() { p.dispatcher.SetInstances(list) })
	}
	hear := func(listVersion int64) []string {
		p.HandleHeartbeat("peer", &peer.Heartbeat{Brief: true, ListVersion: listVersion, Leaving: []string{address}})
		return p.dispatcher.Members("readers")
	}
	apply(1, engine)
	is.Equal(hear(1), nil) // of the engine that is listed
	is.True(p.instances.addLeavingNotice(address))
	apply(2)
	is.Equal(p.instances.leavingNotices(), nil)
	hear(1)
	apply(3, engine)
	is.Equal(p.dispatcher.Members("readers"), []string{address})
	is.Equal(hear(1), []string{address})
	is.Equal(hear(2), []string{address})
	is.Equal(hear(3), nil)
}
