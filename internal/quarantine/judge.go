package quarantine

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// suspicion is how strongly a crash speaks against a request that was there.
type suspicion int

const (
	// answering: something of its answer had come, so that the upstream had run it for a while. So
	// little speaks also against one that was answered lately.
	answering suspicion = 1
	// unanswered: nothing had. What crashes an upstream mostly does as it begins to run.
	unanswered suspicion = 2
)

func suspicionOf(begun bool) suspicion {
	if begun {
		return answering
	}
	return unanswered
}

const (
	// enoughAlone is the suspicion, over all crashes without another cause, from which on a request is
	// held back that was at them as nobody else was: two crashes without an answer.
	enoughAlone = 2 * int(unanswered)
	// enoughAnyway is the same where others were there, too: three.
	enoughAnyway = 3 * int(unanswered)
)

// judge holds back the requests that explain crashes best. The caller holds the lock.
func (b *Registry) judge(now time.Time) {
	if b.judgeAt.IsZero() {
		return
	}
	b.explain()
	for {
		guilty := b.guilty(now)
		if len(guilty) == 0 {
			break
		}
		for _, k := range guilty {
			b.hold(k, term{until: b.lastCrash(k).Add(termOf(1)), count: 1, clearings: b.cleared[k].count})
		}
		b.explain()
	}
	if !now.Before(b.judgeAt) {
		b.judgeAt = time.Time{}
	}
}

// explain drops from crashes at which a request was that is held back all others that were there: the
// crash has its cause.
func (b *Registry) explain() {
	for _, c := range b.crashes {
		if b.explained(c) {
			maps.DeleteFunc(c.suspects, func(k Key, _ suspicion) bool { return !b.isHeld(k) })
		}
	}
}

func (b *Registry) isHeld(k Key) bool {
	_, held := b.held[k]
	return held
}

func (b *Registry) explained(c *crash) bool {
	for k := range c.suspects {
		if b.isHeld(k) {
			return true
		}
	}
	return false
}

// guilty returns the requests against which most speaks, if it is enough.
func (b *Registry) guilty(now time.Time) (out []Key) {
	all := b.scores(func(*crash) bool { return true })
	settled := b.scores(func(c *crash) bool { return now.Sub(c.heard) >= settleFor })
	for k, score := range all {
		if score >= enoughAnyway || (settled[k] >= enoughAlone && b.standsOut(k, settled)) {
			out = append(out, k)
		}
	}
	most := 0
	for _, k := range out {
		most = max(most, all[k])
	}
	return slices.DeleteFunc(out, func(k Key) bool { return all[k] < most })
}

// sameMoment is the time within which crashes count once against a request that was being answered, or was
// lately: what ends many processes at once is none of those that ran well. One that is sent on from crash to crash
// by an eager caller has had no answer.
const sameMoment = 100 * time.Millisecond

// scores adds up the suspicion of each request over the crashes that count and have no cause yet.
func (b *Registry) scores(counts func(*crash) bool) map[Key]int {
	score, last := map[Key]int{}, map[Key]time.Time{}
	for _, c := range b.inOrder() {
		if !counts(c) || b.explained(c) {
			continue
		}
		for k, s := range c.suspects {
			at, some := last[k]
			if s == answering && some && c.at.Sub(at) < sameMoment {
				continue
			}
			score[k] += int(s)
			last[k] = c.at
		}
	}
	return score
}

// inOrder returns the crashes by their times.
func (b *Registry) inOrder() []*crash {
	return slices.SortedFunc(maps.Values(b.crashes), func(x, y *crash) int { return x.at.Compare(y.at) })
}

// standsOut tells whether nobody who was at a crash with a request is suspected as much.
func (b *Registry) standsOut(k Key, scores map[Key]int) bool {
	for _, c := range b.crashes {
		if _, there := c.suspects[k]; !there {
			continue
		}
		for other := range c.suspects {
			if other != k && scores[other] >= scores[k] {
				return false
			}
		}
	}
	return true
}

// lastCrash is the time of the last crash that a request was at.
func (b *Registry) lastCrash(k Key) (last time.Time) {
	for _, c := range b.crashes {
		if _, there := c.suspects[k]; there && c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// names lists requests for logs, in order.
func names(suspects map[Key]suspicion) string {
	var out []string
	for k, s := range suspects {
		name := k.String()
		if s == answering {
			name += " answering"
		}
		out = append(out, name)
	}
	slices.Sort(out)
	return joined(out)
}

func joined(list []string) string { return strings.Join(list, ", ") }
