package experiment

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/prefix"
)

// ranks is the number of tiers.
const ranks = 4

// Result holds the figures of one run, or of several with different seeds. Arrays are indexed by the rank
// of the tier.
type Result struct {
	// Offered counts the requests that arrived, InTime those that were answered within their timeout and
	// their bound on the time to first token.
	Offered [ranks]int
	InTime  [ranks]int
	// Sheds counts the shed requests by tier and reason.
	Sheds [ranks]map[api.Reason]int
	// Late counts late responses and requests that timed out.
	Late [ranks]int
	// PrefilledTokens counts the prompt tokens that were prefilled, WastedTokens those of them that had been
	// prefilled before or whose response wasn't in time.
	PrefilledTokens int
	WastedTokens    int
	// RecomputedTokens counts those of WastedTokens that had been prefilled before, by any engine.
	RecomputedTokens int
	// TopTierTTFT and TTFT hold the times to first token in ms, of rank 0 and of all tiers.
	TopTierTTFT, TTFT *hdrhistogram.Histogram
	// Violations counts the requests of a higher tier that were shed for load while a reachable instance
	// had lower tiers queued.
	Violations int
}

func newResult() *Result {
	r := &Result{TopTierTTFT: hdrhistogram.New(1, 200_000, 3), TTFT: hdrhistogram.New(1, 200_000, 3)}
	for i := range r.Sheds {
		r.Sheds[i] = map[api.Reason]int{}
	}
	return r
}

func (r *Result) recordOffered(a *arrival) { r.Offered[a.class.tier]++ }

func (r *Result) recordShed(j *job, reason api.Reason) { r.Sheds[j.arrival.class.tier][reason]++ }

// recordPrefill counts a prompt whose prefill is done, and the tokens of it that some engine had prefilled
// before.
func (r *Result) recordPrefill(w *simulation, j *job) {
	j.prefillCounted = true
	prefilled := j.sequence.Prefilled()
	r.PrefilledTokens += prefilled
	cached := j.sequence.Prompt - prefilled
	recomputed := 0
	for i, b := range j.arrival.prefixHashes {
		if w.seenBlocks[b] && i*prefix.BlockTokens >= cached {
			recomputed += prefix.BlockTokens
		}
		w.seenBlocks[b] = true
	}
	r.WastedTokens += min(recomputed, prefilled)
	r.RecomputedTokens += min(recomputed, prefilled)
	j.recomputed = min(recomputed, prefilled)
}

// recordWasted counts all prompt tokens that were prefilled for a response that wasn't in time.
func (r *Result) recordWasted(j *job) {
	if j.sequence == nil {
		return
	}
	if !j.prefillCounted {
		r.PrefilledTokens += j.sequence.Prefilled()
	}
	r.WastedTokens += j.sequence.Prefilled() - j.recomputed
}

// recordResponse counts a completed response as in time or late.
func (r *Result) recordResponse(w *simulation, j *job) {
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
	r.recordWasted(j)
}

// recordLate counts a request that timed out.
func (r *Result) recordLate(_ *simulation, j *job) {
	r.Late[j.arrival.class.tier]++
	r.recordWasted(j)
}

// Goodput returns the share of a tier's requests that were answered in time, from 0 to 1.
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

// WastedShare returns the share of the prefilled tokens that was wasted.
func (r *Result) WastedShare() float64 {
	return float64(r.WastedTokens) / float64(max(r.PrefilledTokens, 1))
}

// merge adds the result of another seed.
func (r *Result) merge(o *Result) {
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
