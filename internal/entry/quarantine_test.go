package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/prefix"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/settings"
)

// crashingRequest returns a request with the given shared segment in its prompt.
func crashingRequest(n int, segment uint64) quarantine.Request {
	key := quarantine.KeyOf("crews", "POST", "h.example", "/x", fmt.Append(nil, n))
	return quarantine.RequestOf(key, []prefix.Segment{{ID: segment}, {ID: uint64(1000 + n)}})
}

// quarantinedSegments is how many segments quarantineSegments quarantines: more than one heartbeat has of those that
// were quarantined some time ago.
const quarantinedSegments = 3

// quarantineSegments quarantines segments 0 to quarantinedSegments-1 at an instance, ten seconds ago.
func quarantineSegments(t *testing.T, i *Instance) {
	t.Helper()
	at := time.Now().Add(-10 * time.Second)
	for n := range 3 * quarantinedSegments {
		upstream := fmt.Sprint("i-", n)
		i.quarantine.RecordLostResponse(at, upstream, crashingRequest(n, uint64(n/3)), false)
		i.quarantine.RecordCrash(at, upstream)
		at = at.Add(time.Second / 2)
	}
	if left := i.quarantine.Remaining(at.Add(time.Second), crashingRequest(0, 0)); left <= 0 { // updates the verdicts
		t.Fatal("not quarantined")
	}
}

// Guards against an instance that has its configuration from a peer, and sends requests to upstreams that the whole
// fleet has quarantined: older verdicts come one with each heartbeat.
func TestStateOfAPeerHasAllQuarantinedSegments(t *testing.T) {
	is := is.New(t)
	old, started := newInstance(t, settings.Overload{}), newInstance(t, settings.Overload{})
	quarantineSegments(t, old)
	from, to := &peerHandler{old}, &peerHandler{started}
	is.True(started.isBehind(&peer.Heartbeat{})) // also if it has read its configuration itself
	to.MergeState(old.Address(), boottime.Now(), from.State(to.FetchRequest()))
	for segment := range uint64(quarantinedSegments) {
		is.True(started.quarantine.Remaining(time.Now(), crashingRequest(0, segment)) > 0)
	}
	is.True(!started.isBehind(&peer.Heartbeat{}))
	is.True(!to.FetchRequest().Quarantined)
}
