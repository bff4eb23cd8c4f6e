package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/estimate"
	"github.com/tacktally/tacktally/internal/prefix"
)

var now = time.Unix(1000, 0)

func upstreams(n int) []*Upstream {
	out := make([]*Upstream, n)
	for i := range out {
		out[i] = &Upstream{Address: fmt.Sprint(i), Speed: estimate.NewSpeed(), Window: estimate.NewWindow(), PrefixIndex: prefix.NewIndex(100)}
	}
	return out
}

func predictive() *Predictive { return NewPredictive(3, rand.New(rand.NewPCG(1, 2))) }

func TestPredictivePicksLowestCost(t *testing.T) {
	hashes := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	w := Work{PromptTokens: 600, ExpectedOutput: 10, PrefixHashes: hashes}
	for name, c := range map[string]struct {
		change func(us []*Upstream)
		want   string // "" for none
	}{
		"the one that has the prompt cached":             {func(us []*Upstream) { us[2].PrefixIndex.Add(hashes) }, "2"},
		"not one that is leaving":                        {func(us []*Upstream) { us[2].PrefixIndex.Add(hashes); us[2].Leaving = true; us[0].PendingTokens = 1 }, "1"},
		"not one with an open circuit":                   {func(us []*Upstream) { us[0].CircuitOpenUntil = now.Add(1); us[1].Leaving = true }, "2"},
		"not one with a full window":                     {func(us []*Upstream) { us[0].Running, us[1].Running = 99, 99 }, "2"},
		"the one with the fewest pending tokens":         {func(us []*Upstream) { us[0].PendingTokens, us[1].PendingTokens, us[2].PendingTokens = 300, 100, 200 }, "1"},
		"counting the pending tokens of other instances": {func(us []*Upstream) { us[0].PendingElsewhere, us[1].PendingElsewhere = 300, 300 }, "2"},
		"none with too many pending tokens": {func(us []*Upstream) {
			us[0].PendingTokens, us[1].PendingTokens, us[2].PendingElsewhere = 9000, 9000, 9000
		}, ""},
		"a failed one only for a probe": {func(us []*Upstream) { us[0].Leaving, us[1].Leaving = true, true; us[2].Failures, us[2].Running = 1, 1 }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			us := upstreams(3)
			c.change(us)
			got := ""
			if choice := predictive().Pick(now, us, w); choice.Upstream != nil {
				got = choice.Upstream.Address
			}
			is.Equal(got, c.want)
		})
	}
}

// Among many upstreams only a sample is considered, but the one that was sent the beginning of the
// prompt is found.
func TestPrefixAffinityAmongManyUpstreams(t *testing.T) {
	is := is.New(t)
	us := upstreams(5000)
	p := predictive()
	first := Work{PromptTokens: 640, PrefixHashes: []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}}
	cached := us[4321]
	cached.PrefixIndex.Add(first.PrefixHashes)
	p.RecordSent(cached, first)
	longer := Work{PromptTokens: 900, PrefixHashes: append(append([]uint64{}, first.PrefixHashes...), 11, 12, 13)}
	is.Equal(p.Pick(now, us, first).Upstream, cached)
	is.Equal(p.Pick(now, us, Work{PromptTokens: 640, PrefixHashes: longer.PrefixHashes[:8]}).Upstream != nil, true)
	for _, u := range us {
		u.Leaving = true
	}
	is.Equal(p.Pick(now, us, first).Upstream, nil)
}

func TestBaselines(t *testing.T) {
	is := is.New(t)
	us := upstreams(3)
	us[0].Running, us[1].Running, us[2].Running = 2, 1, 3
	is.Equal(LeastOutstanding{}.Pick(now, us, Work{}).Upstream, us[1])
	rr := &RoundRobin{}
	us[1].Leaving = true
	for _, want := range []int{0, 2, 2, 0} {
		u := rr.Pick(now, us, Work{}).Upstream
		is.Equal(u, us[want])
		rr.RecordSent(u, Work{})
	}
	two := &PowerOfTwo{Random: rand.New(rand.NewPCG(1, 2))}
	for range 100 {
		is.True(!two.Pick(now, us, Work{}).Upstream.Leaving)
	}
	is.Equal(two.Pick(now, nil, Work{}).Upstream, nil)
}
