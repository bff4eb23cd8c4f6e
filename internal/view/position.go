package view

// epochSpan is the number of revisions that one epoch may have. It is a power of ten, so that epoch
// and revision can both be read from a position in logs.
const epochSpan = 1_000_000_000_000

// maxEpochs bounds the epochs, so that each position is an int64.
const maxEpochs = 1_000_000

// Position returns the order of a revision among everything that a source publishes. A source that is
// restored from an older copy of itself issues revisions again: that begins a new epoch, and
// revisions of different epochs can't be compared. Without a restore, the position equals the
// revision. Not ok are negative numbers, revisions from epochSpan on and epochs from maxEpochs on.
func Position(epoch, revision int64) (position int64, ok bool) {
	ok = epoch >= 0 && epoch < maxEpochs && revision >= 0 && revision < epochSpan
	return epoch*epochSpan + revision, ok
}

// EpochOf returns the epoch of a position.
func EpochOf(position int64) int64 { return position / epochSpan }

// RevisionOf returns the revision of a position within its epoch.
func RevisionOf(position int64) int64 { return position % epochSpan }
