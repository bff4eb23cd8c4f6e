package daemon

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/config"
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
