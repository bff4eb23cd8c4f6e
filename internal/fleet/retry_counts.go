package fleet

import "github.com/tacktally/tacktally/internal/retryschedule"

// RetryCounts returns by rank how many callers this instance told to retry when, as the owner of
// shards, and how many did.
func (f *Fleet) RetryCounts() (total [retryschedule.Ranks]retryschedule.Counts) {
	shards, dropped := f.allAndDropped()
	total = dropped.retries
	for _, s := range shards {
		for rank, counts := range s.pool.RetryCounts() {
			total[rank] = total[rank].Add(counts)
		}
	}
	return total
}
