package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/gossip"
)

// An upstream that leaves says so in its answers, too, and its entry may say so much later: while the
// source is away its answers are the only word. It holds for the process that said it, whatever is
// published of that process then, since what is published may have been written before.

// processStateTTL is how long the word is kept of a process that isn't on the list any more: its entry may come
// back, around an outage.
const processStateTTL = time.Minute

const (
	// recentFor is how long each message to peers repeats a word that is new; others are told in turn.
	recentFor = 2 * time.Second
	// maxRecent and inTurn bound the words that one message tells.
	maxRecent       = 128
	olderPerMessage = 8
)

// leavingNotice is what a process has said of its leaving.
type leavingNotice struct {
	received   time.Time
	lastListed time.Time // when it was on the list last
}

// RecordLeavingNotice takes the word of an upstream of the list, in an answer, that it leaves. It returns whether
// that is news for peers.
func (f *Fleet) RecordLeavingNotice(id string) bool {
	process := f.ProcessOf(id)
	return process != "" && f.addLeavingNotice("its own word", process)
}

// MergeLeavingNotices takes what a peer tells of processes that have said that they leave.
func (f *Fleet) MergeLeavingNotices(peer string, processes []string) (news bool) {
	for _, process := range processes {
		news = f.addLeavingNotice("peer "+peer, process) || news
	}
	return news
}

// addLeavingNotice sends nothing more to a process of the list.
func (f *Fleet) addLeavingNotice(from, process string) bool {
	f.mu.Lock()
	_, known := f.leavingNotices[process]
	u := f.processes[process]
	if known || u == nil {
		f.mu.Unlock()
		return false
	}
	now := time.Now()
	f.leavingNotices[process] = leavingNotice{received: now, lastListed: now}
	updated := memberUpdates{}
	f.refreshUsability(u, updated)
	shards := updated.apply()
	version := f.version
	f.mu.Unlock()
	f.o.Log.Info().Str("event", "upstream_says_leaving").Str("process", process).Str("from", from).Int64("list", version).Msg("")
	pollShards(shards)
	return true
}

// AllLeavingNotices returns the processes that have said that they leave, in order, for a peer that may know none
// of them.
func (f *Fleet) AllLeavingNotices() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.leavingNotices))
}

// NextLeavingNotices returns the processes of which peers are to be told now that they have said that they leave: what is
// new, and of the rest some in turn, so that one that knows nothing hears of all.
func (f *Fleet) NextLeavingNotices() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var fresh, rest []string
	for process, w := range f.leavingNotices {
		if now.Sub(w.received) < recentFor {
			fresh = append(fresh, process)
		} else {
			rest = append(rest, process)
		}
	}
	slices.SortFunc(fresh, func(a, b string) int {
		return cmp.Or(f.leavingNotices[b].received.Compare(f.leavingNotices[a].received), cmp.Compare(a, b))
	})
	slices.Sort(rest)
	return gossip.Select(fresh, rest, maxRecent, olderPerMessage, &f.noticesSent)
}

// pruneProcessState drops the word of processes that have been off the list for long. The caller holds the lock.
func (f *Fleet) pruneProcessState(now time.Time) {
	for process, w := range f.leavingNotices {
		switch {
		case f.processes[process] != nil:
			w.lastListed = now
			f.leavingNotices[process] = w
		case now.Sub(w.lastListed) > processStateTTL:
			delete(f.leavingNotices, process)
		}
	}
	f.backoffs.Prune(now.Add(-processStateTTL))
	f.limits.Prune(now, processStateTTL, func(process string) bool { return f.processes[process] != nil })
}
