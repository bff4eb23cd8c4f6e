package view

// epochSpan is the number of revisions that one era may have. Decimal, so that both can be read in logs.
const epochSpan = 1_000_000_000_000

// maxEpochs bounds eras, so that each position is an int64.
const maxEpochs = 1_000_000

// Position orders what a source publishes. A source may come back from an older copy of itself and give revisions
// out again: that begins a new era, and revisions of unlike eras don't compare. Position is the revision where there
// was no such return. Not ok are negative numbers, revisions from eraSpan on and eras from mostEras on.
func Position(era, revision int64) (position int64, ok bool) {
	ok = era >= 0 && era < maxEpochs && revision >= 0 && revision < epochSpan
	return era*epochSpan + revision, ok
}

// EpochOf returns the era of a position, and RevisionOf its revision within that.
func EpochOf(position int64) int64 { return position / epochSpan }

// RevisionOf returns the revision of a position within its era.
func RevisionOf(position int64) int64 { return position % epochSpan }
