package experiment

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/prefix"
)

const ranks = 4

// Result is what one run gave.
type Result struct {
	Offered [ranks]int
	InTime  [ranks]int
	// Sheds by tier and reason.
	Sheds [ranks]map[api.Reason]int
	// Late answers and requests that timed out.
	Late [ranks]int
	// PrefilledTokens is the prompt tokens read; PromptWasted those read again or for
	// answers that weren't in time.
	PrefilledTokens int
	WastedTokens    int
	// RecomputedTokens is the part of PromptWasted that was read again.
	RecomputedTokens int
	// First tokens, in ms, of tier 0 and of all.
	TopTierTTFT, TTFT *hdrhistogram.Histogram
	// Violations counts sheds of a higher tier for load while a reachable
	// instance still held lower work.
	Violations int
}

func newResult() *Result {
	r := &Result{TopTierTTFT: hdrhistogram.New(1, 200_000, 3), TTFT: hdrhistogram.New(1, 200_000, 3)}
	for i := range r.Sheds {
		r.Sheds[i] = map[api.Reason]int{}
	}
	return r
}

func (r *Result) offered(a *arrival) { r.Offered[a.class.tier]++ }

func (r *Result) shed(j *job, reason api.Reason) { r.Sheds[j.arrival.class.tier][reason]++ }

// read counts a prompt that an engine has read to its end, and how much of it had
// been read before, by any engine.
func (r *Result) read(w *world, j *job) {
	j.counted = true
	read := j.sequence.Prefilled()
	r.PrefilledTokens += read
	cached := j.sequence.Prompt - read
	again := 0
	for i, b := range j.arrival.chain {
		if w.readOnce[b] && i*prefix.BlockTokens >= cached {
			again += prefix.BlockTokens
		}
		w.readOnce[b] = true
	}
	r.WastedTokens += min(again, read)
	r.RecomputedTokens += min(again, read)
	j.readAgain = min(again, read)
}

// wasted counts all that was read for an answer that wasn't in time.
func (r *Result) wasted(j *job) {
	if j.sequence == nil {
		return
	}
	if !j.counted {
		r.PrefilledTokens += j.sequence.Prefilled()
	}
	r.WastedTokens += j.sequence.Prefilled() - j.readAgain
}

func (r *Result) answered(w *world, j *job) {
	c := j.arrival.class
	_ = r.TTFT.RecordValue(max(j.first.Milliseconds(), 1))
	if c.tier == 0 {
		_ = r.TopTierTTFT.RecordValue(max(j.first.Milliseconds(), 1))
	}
	inTime := w.now-j.arrival.at <= c.timeout && (c.firstToken == 0 || j.first <= c.firstToken)
	if inTime {
		r.InTime[c.tier]++
		return
	}
	r.Late[c.tier]++
	r.wasted(j)
}

func (r *Result) late(_ *world, j *job) {
	r.Late[j.arrival.class.tier]++
	r.wasted(j)
}

// Goodput returns the share of a tier's requests that were answered in time.
func (r *Result) Goodput(tier int) float64 {
	return float64(r.InTime[tier]) / float64(max(r.Offered[tier], 1))
}

// TotalGoodput returns the share of all requests that were answered in time.
func (r *Result) TotalGoodput() float64 {
	in, offered := 0, 0
	for i := range r.InTime {
		in += r.InTime[i]
		offered += r.Offered[i]
	}
	return float64(in) / float64(max(offered, 1))
}

// WastedShare returns the share of the prompt tokens read that was wasted.
func (r *Result) WastedShare() float64 {
	return float64(r.WastedTokens) / float64(max(r.PrefilledTokens, 1))
}

// add joins the result of another seed.
func (r *Result) add(o *Result) {
	for i := range r.Offered {
		r.Offered[i] += o.Offered[i]
		r.InTime[i] += o.InTime[i]
		r.Late[i] += o.Late[i]
		for reason, n := range o.Sheds[i] {
			r.Sheds[i][reason] += n
		}
	}
	r.PrefilledTokens += o.PrefilledTokens
	r.WastedTokens += o.WastedTokens
	r.RecomputedTokens += o.RecomputedTokens
	r.Violations += o.Violations
	r.TopTierTTFT.Merge(o.TopTierTTFT)
	r.TTFT.Merge(o.TTFT)
}
