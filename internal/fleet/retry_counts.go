package fleet

import "github.com/tacktally/tacktally/internal/retryschedule"

// RetryCounts returns by rank how many callers this instance told to retry when, as the owner of
// shards, and how many did. The counts of a shard are lost when its service gets fewer shards.
func (f *Fleet) RetryCounts() (total [retryschedule.Ranks]retryschedule.Counts) {
	for _, s := range f.all() {
		for rank, counts := range s.pool.RetryCounts() {
			total[rank] = total[rank].Add(counts)
		}
	}
	return total
}
