package demo

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/dghubble/sling"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/standin/rig"
)

const (
	// minWords and maxWords limit the length of a prompt. The lengths differ by a factor of up to 100.
	minWords  = 20
	maxWords  = 2000
	maxOutput = 64
)

var tiers = []string{rig.TierUrgent, rig.TierNormal, rig.TierBatch}

// traffic sends requests and counts their outcomes.
type traffic struct {
	o      Options
	url    string
	client *http.Client

	mu     sync.Mutex
	counts map[string]*tierCounts
}

// tierCounts counts the outcomes of a tier's requests.
type tierCounts struct {
	sent, answered, notRun, unknown int
	firstByte                       *hdrhistogram.Histogram // time to the first byte, in ms
}

func newTraffic(o Options, url string) *traffic {
	t := &traffic{o: o, url: url, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}, counts: map[string]*tierCounts{}}
	for _, name := range tiers {
		t.counts[name] = &tierCounts{firstByte: hdrhistogram.New(1, 120_000, 2)}
	}
	return t
}

// run sends requests at the rate of the options and prints a report every reportInterval. It
// blocks until ctx is done.
func (t *traffic) run(ctx context.Context) {
	send := time.NewTicker(time.Duration(float64(time.Second) / max(t.o.Rate, 0.1)))
	defer send.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	var sent sync.WaitGroup
	for {
		select {
		case <-send.C:
			sent.Go(func() { t.request(ctx) })
		case <-report.C:
			t.report()
		case <-ctx.Done():
			sent.Wait()
			t.report()
			return
		}
	}
}

// request sends a chat completion or a booking.
func (t *traffic) request(ctx context.Context) {
	tier := tiers[rand.IntN(len(tiers))]
	if rand.IntN(8) == 0 {
		t.book(ctx, tier)
		return
	}
	words := minWords + int(float64(maxWords-minWords)*rand.Float64()*rand.Float64()*rand.Float64())
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		rig.Model, 4+rand.IntN(maxOutput), strings.Repeat("crate ", words))
	t.do(ctx, tier, "/v1/chat/completions", body, "")
}

// book confirms a booking, which must run at most once. The response to the first request has
// status 428 and a key, with which the second request is sent.
func (t *traffic) book(ctx context.Context, tier string) {
	body := fmt.Sprintf(`{"lorry":%d}`, rand.IntN(1000))
	if key := t.do(ctx, "", "/services/"+rig.Bookings+"/confirm", body, ""); key != "" {
		t.do(ctx, tier, "/services/"+rig.Bookings+"/confirm", body, key)
	}
}

// do sends a request, counts its outcome under the tier unless that is empty, and returns
// the issued key of a response with status 428.
func (t *traffic) do(ctx context.Context, tier, path, body, key string) string {
	s := sling.New().Base(t.url).Post(path).Body(bytes.NewReader([]byte(body))).
		Set("Authorization", "Bearer "+rig.APIKey).Set(api.HeaderTier, tier)
	if key != "" {
		s = s.Set(api.HeaderIdempotencyKey, key)
	}
	h, err := s.Request()
	if err != nil {
		return ""
	}
	start := time.Now()
	response, err := t.client.Do(h.WithContext(ctx))
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	_, _ = reader.Peek(1)
	firstByte := time.Since(start)
	_, err = io.Copy(io.Discard, reader)
	outcome := api.Outcome(response.Header.Get(api.HeaderOutcome))
	if trailer := response.Trailer.Get(api.HeaderOutcome); trailer != "" {
		outcome = api.Outcome(trailer)
	}
	if err == nil && ctx.Err() == nil && tier != "" {
		t.count(tier, outcome, firstByte)
	}
	if response.StatusCode == http.StatusPreconditionRequired {
		return issuedKey(response)
	}
	return ""
}

func issuedKey(r *http.Response) string { return r.Header.Get(api.HeaderIssuedKey) }

func (t *traffic) count(tier string, o api.Outcome, firstByte time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts[tier]
	c.sent++
	switch o {
	case api.Answered:
		c.answered++
		_ = c.firstByte.RecordValue(max(firstByte.Milliseconds(), 1))
	case api.NotRun:
		c.notRun++
	default:
		c.unknown++
	}
}

func (t *traffic) report() {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := tabwriter.NewWriter(t.o.Out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "tier\tended\tanswered\tnot-run\tunknown\tfirst byte p50\tp95\t")
	for _, name := range tiers {
		c := t.counts[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d ms\t%d ms\t\n", name, c.sent, c.answered, c.notRun, c.unknown,
			c.firstByte.ValueAtQuantile(50), c.firstByte.ValueAtQuantile(95))
	}
	_ = w.Flush()
	fmt.Fprintln(t.o.Out)
}
