package faults

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/platform"
)

// crashingService is a service that terminates as soon as it starts to run a request with crashingBody.
type crashingService struct {
	server  *http.Server
	crashes *atomic.Int32
	// responds makes it begin a response that states no end before.
	responds bool
}

const crashingBody = "crash"

func (m *crashingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if string(body) != crashingBody {
		_, _ = fmt.Fprintf(w, "did %s", body)
		return
	}
	m.crashes.Add(1)
	if m.responds {
		w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
		w.(http.Flusher).Flush()
	}
	_ = m.server.Close() // closes the listener and all connections
}

// startCrashingServices replaces the service by 12 crashing ones.
func (f *fleet) startCrashingServices(responds bool) (crashes *atomic.Int32) {
	f.t.Helper()
	crashes = &atomic.Int32{}
	list := []platform.Instance{}
	for _, i := range f.list {
		if i.Set != claimsService {
			list = append(list, i)
		}
	}
	for i := range 12 {
		address := fmt.Sprintf("%s:9%03d", f.ip(150), 100+i)
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err != nil {
			f.t.Fatal(err)
		}
		m := &crashingService{crashes: crashes, responds: responds}
		m.server = &http.Server{Handler: m}
		go m.server.Serve(l) //nolint:errcheck // ends with Close
		f.t.Cleanup(func() { _ = m.server.Close() })
		list = append(list, platform.Instance{Address: address, Zone: "fort", Set: claimsService, State: platform.Live})
	}
	f.platform.SetInstances(list)
	for _, p := range f.daemons {
		f.eventually("the new services are in use", func() bool { return p.send(call{path: lookupPath, body: "x"}).body == "did x" })
	}
	return crashes
}

// A request that crashes each upstream that runs it is quarantined, although the caller sends it again to
// any instance, each time with a new ID or key. This applies to the API of package callerapi as it does to
// routed requests.
func TestRequestThatCrashesUpstreamsIsQuarantinedAtCallerAPI(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	crashes := f.startCrashingServices(false)
	var last reply
	for try := range 16 {
		last = f.daemons[try%2].send(call{path: lookupPath, body: crashingBody})
	}
	is.True(crashes.Load() <= 6) // three, and three retries after that
	is.Equal(last.problem.Reason, api.ReasonCrashesUpstreams)
	is.Equal(last.outcome, api.NotRun)
	is.Equal(f.daemons[0].send(call{path: lookupPath, body: "y"}).body, "did y")
	last = f.daemons[1].send(call{path: releasePath, body: crashingBody, key: f.daemons[1].issue()})
	is.True(last.problem.Reason != api.ReasonCrashesUpstreams) // another request
}

// Where the response that a crash ends states no end, it looks complete: the crash must be found all the same,
// by connections that are refused.
func TestCrashesInResponsesWithoutStatedEndAreFoundAtCallerAPI(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	crashes := f.startCrashingServices(true)
	n := 0
	f.eventually("the request is quarantined", func() bool {
		p := f.daemons[n%2]
		n++
		last := p.send(call{path: lookupPath, body: crashingBody})
		for range 12 { // some of their connections are refused
			p.send(call{path: lookupPath, body: "y"})
		}
		return last.problem.Reason == api.ReasonCrashesUpstreams
	})
	is.True(crashes.Load() <= 6) // three, and three while the last is found
}

// crashingMessage crashes each engine that begins to answer a chat that has it before the last message.
const crashingMessage = "dead message"

// rejectedMessage makes an engine reject a chat before it runs it.
const rejectedMessage = "rejected message"

// startCrashingEngines replaces the engines by 12 that crash when they answer a chat with crashingMessage.
func (f *fleet) startCrashingEngines() (crashes *atomic.Int32) {
	f.t.Helper()
	crashes = &atomic.Int32{}
	list := []platform.Instance{}
	for _, i := range f.list {
		if i.Set != readerEngines {
			list = append(list, i)
		}
	}
	for i := range 12 {
		address := fmt.Sprintf("%s:9%03d", f.ip(150), 200+i)
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err != nil {
			f.t.Fatal(err)
		}
		server := &http.Server{}
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("Content-Type", "application/json")
			if strings.Contains(string(body), rejectedMessage) {
				w.WriteHeader(http.StatusBadRequest)
				_, _ = io.WriteString(w, `{"error":{"message":"rejected"}}`)
				return
			}
			if !strings.Contains(string(body), crashingMessage) {
				_, _ = io.WriteString(w, `{"choices":[{"text":"new engine","message":{"role":"assistant","content":"new engine"},"finish_reason":"stop"}],"usage":{"prompt_tokens":9,"completion_tokens":2,"total_tokens":11}}`)
				return
			}
			crashes.Add(1)
			w.(http.Flusher).Flush()
			_ = server.Close() // closes the listener and all connections
		})
		go server.Serve(l) //nolint:errcheck // ends with Close
		f.t.Cleanup(func() { _ = server.Close() })
		list = append(list, platform.Instance{Address: address, Zone: "fort", Set: readerEngines, State: platform.Live})
	}
	f.platform.SetInstances(list)
	for _, p := range f.daemons {
		f.eventually("the new engines are in use", func() bool { return strings.Contains(p.send(chatCall("sound", "x")).body, "new engine") })
	}
	return crashes
}

// chatCall is a chat of a shared first message, another one, and one of its own.
func chatCall(second, own string) call {
	return call{path: chatPath, body: fmt.Sprintf(`{"model":%q,"max_tokens":4,"messages":[{"role":"system","content":"shared"},{"role":"user","content":%q},{"role":"user","content":%q}]}`, modelName, second, own)}
}

// segmentVerdict is the log line of a verdict on segments; one on a whole request has none.
var segmentVerdict = regexp.MustCompile(`event=request_held .*segments="?[0-9a-f]`)

// hasQuarantinedSegments reports whether the instance has logged a verdict on segments of prompts.
func (p *process) hasQuarantinedSegments() bool {
	content, err := os.ReadFile(p.log.Name())
	return err == nil && segmentVerdict.Match(content)
}

// A message that crashes each engine that begins to answer a chat with it is quarantined, although no two chats are
// alike. Chats with the same first message go on.
func TestMessageThatCrashesEnginesIsQuarantinedAtCallerAPI(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	crashes := f.startCrashingEngines()
	for n := range 2 { // each is sent to several engines, some of which may have crashed already
		before := crashes.Load()
		f.eventually("the chat has crashed engines", func() bool {
			f.daemons[n].send(chatCall(crashingMessage, fmt.Sprint("own ", n)))
			return crashes.Load() > before
		})
		f.eventually("an engine rejects a chat with the message, which shows nothing", func() bool {
			got := f.daemons[n].send(chatCall(crashingMessage, rejectedMessage))
			// After the second chat has crashed its engines, the verdict may come first.
			quarantined := n > 0 && got.problem.Reason == api.ReasonCrashesUpstreams && f.daemons[n].hasQuarantinedSegments()
			return got.status == http.StatusBadRequest || quarantined
		})
	}
	f.eventually("the message is quarantined", func() bool {
		return f.daemons[0].hasQuarantinedSegments() && f.daemons[1].hasQuarantinedSegments()
	})
	crashed := crashes.Load()
	is.True(crashed <= 8) // five, and three later
	for n := range 16 {
		last := f.daemons[n%2].send(chatCall(crashingMessage, fmt.Sprint("later ", n)))
		is.Equal(last.problem.Reason, api.ReasonCrashesUpstreams)
		sound := fmt.Sprint("own ", n)
		f.eventually("a sound chat finds an engine that hasn't crashed", func() bool {
			got := f.daemons[n%2].send(chatCall("sound", sound))
			is.True(got.status == http.StatusOK || got.problem.Reason != api.ReasonCrashesUpstreams)
			return got.status == http.StatusOK
		})
	}
	is.Equal(crashes.Load(), crashed)
}
