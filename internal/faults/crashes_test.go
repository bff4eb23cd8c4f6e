package faults

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/platform"
)

// mortal is a service whose process ends as it begins to run the deadly request.
type mortal struct {
	server *http.Server
	ended  *atomic.Int32
}

const deadlyBody = "crash"

func (m *mortal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if string(body) != deadlyBody {
		_, _ = fmt.Fprintf(w, "did %s", body)
		return
	}
	m.ended.Add(1)
	_ = m.server.Close() // port and connections
}

// The same cause as in the incident of crashing requests, at the own interface: a caller comes again, at
// any instance, under an ID or a key of its own each time, with what crashes whatever runs it.
func TestARequestThatCrashesUpstreamsIsHeldBackAtTheOwnInterface(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	var ended atomic.Int32
	list := []platform.Instance{}
	for _, i := range f.list {
		if i.Set != claims {
			list = append(list, i)
		}
	}
	for i := range 12 {
		address := fmt.Sprintf("%s:9%03d", f.ip(150), 100+i)
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		is.NoErr(err)
		m := &mortal{ended: &ended}
		m.server = &http.Server{Handler: m}
		go m.server.Serve(l) //nolint:errcheck // ends with Close
		t.Cleanup(func() { _ = m.server.Close() })
		list = append(list, platform.Instance{Address: address, Zone: "fort", Set: claims, State: platform.Live})
	}
	f.platform.SetInstances(list)
	for _, p := range f.daemons {
		f.eventually("the new services are used", func() bool { return p.send(call{path: lookup, body: "x"}).body == "did x" })
	}
	var last reply
	for try := range 16 {
		last = f.daemons[try%2].send(call{path: lookup, body: deadlyBody})
	}
	is.True(ended.Load() <= 6) // three, and three tries after that
	is.Equal(last.problem.Reason, api.ReasonCrashesUpstreams)
	is.Equal(last.outcome, api.NotRun)
	is.Equal(f.daemons[0].send(call{path: lookup, body: "y"}).body, "did y")
	last = f.daemons[1].send(call{path: release, body: deadlyBody, key: f.daemons[1].issue()})
	is.True(last.problem.Reason != api.ReasonCrashesUpstreams) // another request
}
