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

// tokensPerStream is the number of events of one streamed answer.
const tokensPerStream = 100

// instantEngine answers at once, so that only the way is measured.
func instantEngine(w http.ResponseWriter, h *http.Request) {
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

// world is a daemon before instant engines.
type world struct {
	direct string
	daemon string
}

func newWorld(b *testing.B) world {
	b.Helper()
	r, err := rig.Start(rig.Options{Engines: []engine.Spec{}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(r.Close)
	var list []platform.Instance
	var direct string
	for range 16 {
		s := httptest.NewServer(http.HandlerFunc(instantEngine))
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
	return world{direct: direct, daemon: r.URL(0)}
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// load sends b.N requests from so many workers and reports the median time, and
// the processor time for each request and token of everything in the process.
func load(b *testing.B, url, path, body string, workers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	defer client.CloseIdleConnections()
	took := hdrhistogram.New(1, 60_000_000, 3) // µs
	var mu sync.Mutex
	var left atomic.Int64
	left.Store(int64(b.N))
	failed := atomic.Int64{}
	before := cpu()
	b.ReportAllocs()
	b.ResetTimer()
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for left.Add(-1) >= 0 {
				begun := time.Now()
				if !request(client, url+path, body) {
					failed.Add(1)
				}
				mu.Lock()
				_ = took.RecordValue(time.Since(begun).Microseconds())
				mu.Unlock()
			}
		})
	}
	all.Wait()
	b.StopTimer()
	spent := cpu() - before
	b.ReportMetric(float64(took.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-µs/op")
	if failed.Load() > 0 {
		b.Errorf("%d of %d requests were not answered", failed.Load(), b.N)
	}
}

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

// BenchmarkAddedCost measures calls and streams of 100 tokens, to the stand-in
// directly and through the daemon. The difference is what the daemon adds.
func BenchmarkAddedCost(b *testing.B) {
	stream := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[]}`, rig.Model, tokensPerStream)
	for _, workers := range []int{1, 64, 512} {
		w := newWorld(b)
		for _, c := range []struct{ name, url, path, body string }{
			{"call/direct", w.direct, "/call", "x"},
			{"call/daemon", w.daemon, "/services/" + rig.Bookings + "/call", "x"},
			{"stream/direct", w.direct, "/v1/chat/completions", stream},
			{"stream/daemon", w.daemon, "/v1/chat/completions", stream},
		} {
			b.Run(fmt.Sprintf("%s/%d", c.name, workers), func(b *testing.B) { load(b, c.url, c.path, c.body, workers) })
		}
	}
}
