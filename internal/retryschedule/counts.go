package retryschedule

// Ranks is the number of ranks that are counted separately. The last one includes all less
// important ranks.
const Ranks = 4

// Counts are the numbers of refusals and retries of one rank since the schedule was created.
type Counts struct {
	// ToldEarly and ToldLate are refused requests by the kind of time that their callers were told.
	ToldEarly, ToldLate int64
	// ReturnedOnTime and ReturnedEarly are requests that returned at the time told, or before it.
	ReturnedOnTime, ReturnedEarly int64
	// RefusedAgain are requests that returned on time and were refused. ToldEarly and ToldLate
	// include them.
	RefusedAgain int64
}

// Add returns the sums of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{
		ToldEarly:      c.ToldEarly + o.ToldEarly,
		ToldLate:       c.ToldLate + o.ToldLate,
		ReturnedOnTime: c.ReturnedOnTime + o.ReturnedOnTime,
		ReturnedEarly:  c.ReturnedEarly + o.ReturnedEarly,
		RefusedAgain:   c.RefusedAgain + o.RefusedAgain,
	}
}

// Counts returns the counts by rank.
func (s *Schedule) Counts() [Ranks]Counts { return s.counts }

func (s *Schedule) countsOf(rank int) *Counts { return &s.counts[min(rank, Ranks-1)] }
