package benchmarks

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/rig"
)

// tokensPerStream is the number of events in one streamed response.
const tokensPerStream = 100

// serveImmediately responds without a delay, so that only the network path and the daemon are measured.
func serveImmediately(w http.ResponseWriter, h *http.Request) {
	_, _ = io.Copy(io.Discard, h.Body)
	if strings.HasPrefix(h.URL.Path, "/call") {
		_, _ = io.WriteString(w, "ok")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range tokensPerStream {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":\"token %d\"}}]}\n\n", n)
		_ = control.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// environment holds the base URLs of an upstream and of a daemon in front of it.
type environment struct {
	direct string
	daemon string
}

// newEnvironment starts a daemon with 16 upstreams that respond without a delay.
func newEnvironment(b *testing.B) environment {
	b.Helper()
	r, err := rig.Start(rig.Options{Engines: []engine.Spec{}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(r.Close)
	var list []platform.Instance
	var direct string
	for range 16 {
		s := httptest.NewServer(http.HandlerFunc(serveImmediately))
		b.Cleanup(s.Close)
		direct = s.URL
		address := strings.TrimPrefix(s.URL, "http://")
		list = append(list,
			platform.Instance{Address: address, Zone: rig.Zone, Set: rig.EngineSet, State: platform.Live},
			platform.Instance{Address: address, Zone: rig.Zone, Set: rig.Bookings, State: platform.Live})
	}
	r.Platform.SetInstances(list)
	for r.Daemons[0].Status().ListVersion < 2 {
		<-time.After(time.Millisecond)
	}
	return environment{direct: direct, daemon: r.URL(0)}
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// load sends b.N requests from the given number of concurrent clients. It reports the median time of a
// request, and the processor time of the whole process per request.
func load(b *testing.B, url, path, body string, clients int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	took := hdrhistogram.New(1, 60_000_000, 3) // µs
	var mu sync.Mutex
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	failed := atomic.Int64{}
	before := processorTime()
	b.ReportAllocs()
	b.ResetTimer()
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for remaining.Add(-1) >= 0 {
				started := time.Now()
				if !request(client, url+path, body) {
					failed.Add(1)
				}
				mu.Lock()
				_ = took.RecordValue(time.Since(started).Microseconds())
				mu.Unlock()
			}
		})
	}
	all.Wait()
	b.StopTimer()
	spent := processorTime() - before
	b.ReportMetric(float64(took.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-µs/op")
	if failed.Load() > 0 {
		b.Errorf("%d of %d requests got no complete response", failed.Load(), b.N)
	}
}

// request sends one request and reports whether it got a complete response with status 200.
func request(client *http.Client, url, body string) bool {
	h, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	h.Header.Set("Authorization", "Bearer "+rig.APIKey)
	h.Header.Set(api.HeaderTier, rig.TierBatch)
	r, err := client.Do(h)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, bufio.NewReader(r.Body))
	return err == nil && r.StatusCode == http.StatusOK
}

// BenchmarkAddedCost measures calls and streams of 100 tokens, directly at the upstream and through the
// daemon. The difference is what the daemon adds.
func BenchmarkAddedCost(b *testing.B) {
	stream := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[]}`, rig.Model, tokensPerStream)
	for _, clients := range []int{1, 64, 512} {
		e := newEnvironment(b)
		for _, c := range []struct{ name, url, path, body string }{
			{"call/direct", e.direct, "/call", "x"},
			{"call/daemon", e.daemon, "/services/" + rig.Bookings + "/call", "x"},
			{"stream/direct", e.direct, "/v1/chat/completions", stream},
			{"stream/daemon", e.daemon, "/v1/chat/completions", stream},
		} {
			b.Run(fmt.Sprintf("%s/%d", c.name, clients), func(b *testing.B) { load(b, c.url, c.path, c.body, clients) })
		}
	}
}
