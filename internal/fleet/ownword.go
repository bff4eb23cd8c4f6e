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

// wordKept is how long the word is kept of a process that isn't on the list any more: its entry may come
// back, around an outage.
const wordKept = time.Minute

const (
	// newFor is how long each message to peers repeats a word that is new; others are told in turn.
	newFor = 2 * time.Second
	// mostNew and inTurn bound the words that one message tells.
	mostNew = 128
	inTurn  = 8
)

// word is what a process has said of its leaving.
type word struct {
	heard time.Time
	last  time.Time // when it was on the list last
}

// RecordLeavingNotice takes the word of an upstream of the list, in an answer, that it leaves. It returns whether
// that is news for peers.
func (f *Fleet) RecordLeavingNotice(id string) bool {
	process := f.ProcessOf(id)
	return process != "" && f.learnLeaving("its own word", process)
}

// MergeLeavingNotices takes what a peer tells of processes that have said that they leave.
func (f *Fleet) MergeLeavingNotices(peer string, processes []string) (news bool) {
	for _, process := range processes {
		news = f.learnLeaving("peer "+peer, process) || news
	}
	return news
}

// learnLeaving sends nothing more to a process of the list.
func (f *Fleet) learnLeaving(from, process string) bool {
	f.mu.Lock()
	_, known := f.saidLeaving[process]
	u := f.processes[process]
	if known || u == nil {
		f.mu.Unlock()
		return false
	}
	now := time.Now()
	f.saidLeaving[process] = word{heard: now, last: now}
	updated := updates{}
	f.refresh(u, updated)
	shards := updated.apply()
	version := f.version
	f.mu.Unlock()
	f.o.Log.Info().Str("event", "upstream_says_leaving").Str("process", process).Str("from", from).Int64("list", version).Msg("")
	poll(shards)
	return true
}

// AllLeavingNotices returns the processes that have said that they leave, in order, for a peer that may know none
// of them.
func (f *Fleet) AllLeavingNotices() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.saidLeaving))
}

// NextLeavingNotices returns the processes of which peers are to be told now that they have said that they leave: what is
// new, and of the rest some in turn, so that one that knows nothing hears of all.
func (f *Fleet) NextLeavingNotices() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var fresh, rest []string
	for process, w := range f.saidLeaving {
		if now.Sub(w.heard) < newFor {
			fresh = append(fresh, process)
		} else {
			rest = append(rest, process)
		}
	}
	slices.SortFunc(fresh, func(a, b string) int {
		return cmp.Or(f.saidLeaving[b].heard.Compare(f.saidLeaving[a].heard), cmp.Compare(a, b))
	})
	slices.Sort(rest)
	return gossip.Select(fresh, rest, mostNew, inTurn, &f.wordsTold)
}

// forgetWords drops the word of processes that have been off the list for long. The caller holds the lock.
func (f *Fleet) forgetWords(now time.Time) {
	for process, w := range f.saidLeaving {
		switch {
		case f.processes[process] != nil:
			w.last = now
			f.saidLeaving[process] = w
		case now.Sub(w.last) > wordKept:
			delete(f.saidLeaving, process)
		}
	}
	f.rests.Prune(now.Add(-wordKept))
	f.limits.Prune(now, wordKept, func(process string) bool { return f.processes[process] != nil })
}
