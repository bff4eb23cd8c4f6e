package fleet

import (
	"slices"
	"time"
)

// An upstream that leaves says so in its answers, too, and its entry may say so much later: while the
// source is away its answers are the only word. It holds for the process that said it, whatever is
// published of that process then, since what is published may have been written before.

// wordKept is how long the word is kept of a process that isn't on the list any more: its entry may come
// back, around an outage.
const wordKept = time.Minute

// mostTold bounds the processes that peers are told of.
const mostTold = 128

// SaysLeaving takes the word of an upstream of the list, in an answer, that it leaves. It returns whether
// that is news for peers.
func (f *Fleet) SaysLeaving(id string) bool {
	process := f.ProcessOf(id)
	return process != "" && f.learnLeaving("its own word", process)
}

// LearnLeaving takes what a peer tells of processes that have said that they leave.
func (f *Fleet) LearnLeaving(peer string, processes []string) (news bool) {
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
	f.saidLeaving[process] = time.Now()
	told := pending{}
	f.weigh(u, told)
	shards := told.tell()
	version := f.version
	f.mu.Unlock()
	f.o.Log.Info().Str("event", "upstream_says_leaving").Str("process", process).Str("from", from).Int64("list", version).Msg("")
	poll(shards)
	return true
}

// SaidLeaving returns the processes that have said that they leave, for peers.
func (f *Fleet) SaidLeaving() (out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for process := range f.saidLeaving {
		out = append(out, process)
	}
	slices.Sort(out)
	return out[:min(len(out), mostTold)]
}

// forgetWords drops the word of processes that have been off the list for long. The caller holds the lock.
func (f *Fleet) forgetWords(now time.Time) {
	for process, heard := range f.saidLeaving {
		switch {
		case f.processes[process] != nil:
			f.saidLeaving[process] = now
		case now.Sub(heard) > wordKept:
			delete(f.saidLeaving, process)
		}
	}
}
