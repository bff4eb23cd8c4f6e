package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
)

const (
	// unfinishedRequests are sent at once, to one slot each.
	unfinishedRequests = 32
	// unfinishedBytes are what each of them has of a response that its upstream doesn't go on with.
	unfinishedBytes = 200 << 10
	// mostHeld is how many of them fit into the memory for unfinished responses.
	mostHeld = int(bufferMemoryShare*harnessMemoryBytes) / unfinishedBytes
)

// unfinishedHarness returns a harness with upstreams, for one attempt each, that send the beginning of a response and
// nothing more until the returned function is called.
func unfinishedHarness(t *testing.T, beginning string) (r *harness, end func()) {
	r = newHarness(t)
	for i := range r.document.Routes {
		r.document.Routes[i].MaxAttempts = 1
	}
	r.document.Services = append(r.document.Services, r.document.Services[0])
	r.document.Services[1].Name = "sound"
	sound := r.document.Routes[2]
	sound.Name, sound.Prefix = "sound", "/sound/"
	sound.Split = append(sound.Split[:0:0], sound.Split[0])
	sound.Split[0].Service = "sound"
	plain := r.document.Routes[0]
	plain.Name, plain.Prefix, plain.Split = "plain", "/plain/", sound.Split
	r.document.Routes = append(r.document.Routes, sound, plain)
	r.publish(0)
	ended := make(chan struct{})
	for i := range unfinishedRequests / 8 {
		r.addUpstream(fmt.Sprint("a", i), func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.WriteString(w, beginning)
			w.(http.Flusher).Flush()
			select {
			case <-ended:
			case <-q.Context().Done():
			}
		})
	}
	r.addUpstreamOf("sound", "b", "", respondsWith("data: ok\n\n"))
	return r, func() { close(ended) }
}

// Guards against an instance that runs out of memory: each request holds one event without an end, which is bounded,
// but all requests together aren't.
func TestUnfinishedEventsTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	r, end := unfinishedHarness(t, "data: "+strings.Repeat("x", unfinishedBytes))
	responses := make(chan callerResponse, unfinishedRequests)
	for i := range unfinishedRequests {
		q := r.request("GET", "/stream/x", "", "Id", fmt.Sprint(i), "Timeout", "10s")
		go func() { responses <- r.do(q) }()
	}
	for range unfinishedRequests - mostHeld {
		a := <-responses
		is.NoErr(a.err)
		is.Equal(a.header.Get("Reason"), string(api.ReasonUpstreamGarbage)) // not that of a time-out
	}
	is.True(r.handler.memory.Taken() <= int64(bufferMemoryShare*harnessMemoryBytes))
	is.Equal(r.get("sound").body, "data: ok\n\n")
	end()
	for range mostHeld {
		<-responses
	}
	r.server.Close() // waits for the handlers
	is.Equal(r.handler.memory.Taken(), int64(0))
}

// Guards against an instance that runs out of memory: each request buffers the beginning of a body, which is bounded,
// but all requests together aren't. Callers get the body as it comes when memory is short.
func TestUnfinishedBodiesTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	beginning := strings.Repeat("x", unfinishedBytes)
	r, end := unfinishedHarness(t, beginning)
	heads := make(chan *http.Response, unfinishedRequests)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range unfinishedRequests {
		q := r.request("GET", "/safe/x", "", "Id", fmt.Sprint(i), "Timeout", "10s")
		go func() {
			response, err := client.Do(q)
			if err != nil {
				t.Error(err)
			}
			heads <- response
		}()
	}
	var started []*http.Response
	for range unfinishedRequests - mostHeld {
		response := <-heads
		is.Equal(response.StatusCode, 200) // not the problem of a time-out
		started = append(started, response)
	}
	is.True(r.handler.memory.Taken() <= int64(bufferMemoryShare*harnessMemoryBytes))
	is.Equal(r.get("plain").body, "data: ok\n\n")
	end()
	for range mostHeld {
		started = append(started, <-heads)
	}
	for _, response := range started {
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), beginning)
		is.NoErr(response.Body.Close())
	}
	r.server.Close()
	is.Equal(r.handler.memory.Taken(), int64(0))
}

// Guards against an instance that runs out of memory: callers begin bodies, each of which is bounded, but all of them
// aren't, and don't go on.
func TestBodiesOfCallersTogetherAreBounded(t *testing.T) {
	for name, length := range map[string]int64{"stated length": unfinishedBytes + 1, "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const mostBodies = int(bodyMemoryShare*harnessMemoryBytes) / unfinishedBytes
			r := newHarness(t)
			r.document.Limits.MaxBodyBytes = 1 << 20
			r.publish(0)
			r.addUpstream("a", respondsWith("ok"))
			responses := make(chan callerResponse, unfinishedRequests)
			var ends []func()
			for range unfinishedRequests {
				body, rest := io.Pipe()
				ends = append(ends, func() { _ = rest.Close() })
				q := r.request("POST", "/safe/x", "")
				q.Body, q.ContentLength = body, length
				go func() { responses <- r.do(q) }()
				go func() { _, _ = rest.Write(make([]byte, unfinishedBytes)) }()
			}
			for range unfinishedRequests - mostBodies {
				a := <-responses
				is.NoErr(a.err)
				is.Equal(a.header.Get("Reason"), string(api.ReasonQueueFull))
				is.Equal(a.header.Get("Outcome"), string(api.NotRun))
				is.True(a.header.Get("Retry-After") != "")
			}
			is.True(r.handler.bodyMemory.Taken() <= int64(bodyMemoryShare*harnessMemoryBytes))
			is.Equal(r.do(r.request("POST", "/safe/x", "small")).body, "ok")
			for _, end := range ends {
				end()
			}
			for range mostBodies {
				<-responses
			}
			r.server.Close()
			is.Equal(r.handler.bodyMemory.Taken(), int64(0))
		})
	}
}

// Guards against memory that is never given back: a failure response is kept while another upstream is tried.
func TestMemoryOfAKeptFailureIsGivenBack(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	fails := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, strings.Repeat("x", unfinishedBytes))
	}
	r.addUpstream("a", fails)
	taken := int64(0)
	r.addUpstream("b", func(w http.ResponseWriter, q *http.Request) {
		taken = r.handler.memory.Taken()
		fails(w, q)
	})
	is.Equal(len(r.get("safe").body), unfinishedBytes)
	is.True(taken >= unfinishedBytes)
	r.server.Close()
	is.Equal(r.handler.memory.Taken(), int64(0))
}

// Guards against pieces of a resumed stream that are held without a bound for all requests together, or never given back.
func TestHeldEventsTakeTheMemoryOfUnfinishedResponses(t *testing.T) {
	is := is.New(t)
	memory := newMemory(bufferMemoryShare, harnessMemoryBytes)
	piece := []byte("data: " + strings.Repeat("x", unfinishedBytes) + "\n\n")
	p := newStreamPosition(true, "1")
	p.memory = memory
	p.beginRun()
	placed, err := p.place(piece)
	is.NoErr(err)
	is.Equal(len(placed), 0) // held
	is.True(memory.Taken() >= int64(len(piece)))
	p.beginRun()
	is.Equal(memory.Taken(), int64(0))

	p.memory = newMemory(bufferMemoryShare, 1)
	p.beginRun()
	_, err = p.place(piece)
	is.True(err != nil)
	is.Equal(p.lastID, "1")
}
