package faults

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/pause"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/service"
)

// A configuration reaches every instance, also one that only its peers reach. Stale, conflicting and
// invalid revisions are reported and not applied.
func TestConfigurationReachesEveryInstanceAndNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort", "pettah")
	all := func(revision int64) {
		t.Helper()
		for _, p := range f.daemons {
			f.eventually(fmt.Sprintf("%s has revision %d", p.ip, revision), func() bool { return p.status().Revision == revision })
		}
	}
	f.daemons[2].platformRelay.Partition("") // receives the configuration only from its peers
	f.publish(3)
	all(3)
	f.platform.Publish(2, document("stale"))
	f.eventually("the stale revision is reported", func() bool { return f.daemons[0].metric("tacktally_config_older_total") > 0 })
	all(3)
	f.platform.Publish(3, document("another"))
	f.eventually("the conflict is reported", func() bool { return f.daemons[0].metric("tacktally_config_conflicts_total") > 0 })
	f.platform.Publish(4, []byte(`{"tiers": 7}`))
	f.eventually("the invalid configuration is reported", func() bool { return f.daemons[0].metric("tacktally_config_rejected_total") > 0 })
	all(3)
	// An instance that starts while the platform serves a stale revision must use the newer one of its
	// peers.
	f.publish(1)
	f.daemons[0].kill()
	f.daemons[0].start()
	f.daemons[0].waitReady()
	is.Equal(f.daemons[0].status().Revision, int64(3))
	f.publish(5)
	all(5)
}

func TestInstanceStartsFromPeersWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	f.platform.SetDown(true)
	f.daemons[0].kill()
	f.daemons[0].start()
	f.daemons[0].waitReady()
	is.Equal(f.daemons[0].status().Revision, int64(1))
	f.eventually("it serves", func() bool { return f.daemons[0].send(call{path: lookupPath, body: "q"}).outcome == api.Answered })
}

// A frozen instance that resumes applies the newest configuration before it serves the first request.
func TestResumedInstanceServesWithCurrentConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	frozen := f.daemons[1]
	frozen.freeze()
	f.publish(4)
	f.eventually("the other instance has revision 4", func() bool { return f.daemons[0].status().Revision == 4 })
	<-time.After(pause.Threshold + 200*time.Millisecond) // the duration of the fault
	early := make(chan reply, 1)
	go func() { early <- frozen.send(call{path: lookupPath, body: "q"}) }()
	frozen.resume()
	r := <-early
	is.Equal(r.outcome, api.Answered)
	is.Equal(r.header.Get(api.HeaderRevision), "4")
	is.True(frozen.metric("tacktally_pauses_total") > 0)
}

// Guards against requests that are cut since the configuration or the instance list no longer has what they use: the
// attempts that run go on, and so does a request that waits while an upstream is left.
func TestRequestsOutlastWhatIsRemoved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort")
	p := f.daemons[0]
	arrived, hold, token := make(chan service.Call, 19), make(chan struct{}), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	f.engine.SetFaults(engine.Faults{HoldToken: token})
	replies := make([]reply, 8)
	var stream, waiting reply
	var sent sync.WaitGroup
	for i := range 8 { // as many as run at a time
		path, key := lookupPath, ""
		if i == 0 {
			path, key = releasePath, p.issue()
		}
		sent.Go(func() { replies[i] = p.send(call{path: path, body: "a", key: key}) })
		<-arrived
	}
	sent.Go(func() { waiting = p.send(call{path: lookupPath, body: "waits"}) })
	sent.Go(func() { stream = p.send(call{path: chatPath, body: prompt("b", true)}) })
	token <- struct{}{}
	f.eventually("all are in flight", func() bool { return p.status().InFlight == 10 })

	var without api.Document
	is.NoErr(json.Unmarshal(document("2"), &without))
	without.Organisations, without.EngineSets, without.Services = without.Organisations[1:], nil, nil
	content, err := json.Marshal(&without)
	is.NoErr(err)
	f.platform.Publish(2, content)
	var left []platform.Instance
	for _, i := range f.list {
		if i.Set != readerEngines {
			left = append(left, i)
		}
	}
	f.platform.SetInstances(left)
	f.eventually("the configuration and the list are in use", func() bool { s := p.status(); return s.Revision == 2 && s.ListVersion == 2 })
	is.Equal(p.send(call{path: lookupPath, body: "new"}).problem.Reason, api.ReasonUnknownAPIKey)
	close(hold)
	close(token)
	sent.Wait()
	for _, r := range replies {
		is.Equal(r.outcome, api.Answered)
	}
	is.Equal(waiting.outcome, api.Answered)
	is.Equal(stream.outcome, api.Answered)
	is.True(strings.HasSuffix(stream.body, "data: [DONE]\n\n"))
}
