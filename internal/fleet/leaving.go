package fleet

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/tacktally/tacktally/internal/gossip"
)

// An upstream that leaves announces so in its responses, too, since its list entry may be updated much
// later: while the source is away, its responses are the only notice. A notice holds for the process that
// sent it, whatever is published for that process afterwards, since the published entry may be older.

// processStateTTL is how long notices, backoffs and limits are kept for a process that is no longer on
// the list: its entry may come back during or after an outage of the source.
const processStateTTL = time.Minute

const (
	// recentFor is how long each message to peers repeats a new notice; older ones are sent round-robin.
	recentFor = 2 * time.Second
	// maxRecent and olderPerMessage bound the notices in one message.
	maxRecent       = 128
	olderPerMessage = 8
)

// leavingNotice is the announcement of a process that it is leaving.
type leavingNotice struct {
	received   time.Time
	lastListed time.Time // when the process was last on the list
}

// RecordLeavingNotice records that a process announced in a response that it is leaving. It reports
// whether there is an update for peers.
func (f *Fleet) RecordLeavingNotice(process string) bool {
	return f.addLeavingNotice("its own word", process)
}

// MergeLeavingNotices records leaving notices that a peer sent and reports whether any of them is new.
func (f *Fleet) MergeLeavingNotices(peer string, processes []string) (changed bool) {
	for _, process := range processes {
		changed = f.addLeavingNotice("peer "+peer, process) || changed
	}
	return changed
}

// addLeavingNotice stops sending to a process of the list and reports whether its notice is new.
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

// IsLeaving reports whether a process has announced that it is leaving: in a response, for processStateTTL after it was last
// listed, or by its entry while that is on the list.
func (f *Fleet) IsLeaving(process string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, announced := f.leavingNotices[process]
	u := f.processes[process]
	return announced || u != nil && errors.Is(u.unusable, ErrLeaving)
}

// AllLeavingNotices returns all processes with a leaving notice, sorted, for a peer that may know none of
// them.
func (f *Fleet) AllLeavingNotices() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.leavingNotices))
}

// NextLeavingNotices returns the processes with a leaving notice for the next message to peers: the
// recent ones, and a few of the older ones round-robin, so that a peer that has just started
// eventually receives all of them.
func (f *Fleet) NextLeavingNotices() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var recent, older []string
	for process, w := range f.leavingNotices {
		if now.Sub(w.received) < recentFor {
			recent = append(recent, process)
		} else {
			older = append(older, process)
		}
	}
	slices.SortFunc(recent, func(a, b string) int {
		return cmp.Or(f.leavingNotices[b].received.Compare(f.leavingNotices[a].received), cmp.Compare(a, b))
	})
	slices.Sort(older)
	return gossip.Select(recent, older, maxRecent, olderPerMessage, &f.noticesSent)
}

// pruneProcessState drops notices, backoffs and limits of processes that have been off the list for
// longer than processStateTTL. The caller holds the lock.
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
	f.reach.Prune(func(upstream string) bool { return f.upstreams[upstream] != nil })
	f.limits.Prune(now, processStateTTL, func(process string) bool { return f.processes[process] != nil })
}
