package view

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// mostNamed bounds the upstreams that one line of the log names.
const mostNamed = 12

// state is what a list says of one upstream, as logs show it.
type state string

// The states of an upstream.
const (
	unlisted state = "gone"
	listed   state = "ready"
	leaving  state = "leaving"
	lapsed   state = "missing"
	cold     state = "cold"
)

// states returns the state of each upstream of the list.
func (r *roster) states(now time.Time) map[string]state {
	out := make(map[string]state, len(r.entries))
	for id, u := range r.entries {
		out[id] = r.stateOf(now, id, u)
	}
	return out
}

func (r *roster) stateOf(now time.Time, id string, u Upstream) state {
	_, missing := r.missing[id]
	switch {
	case missing:
		return lapsed
	case u.Leaving:
		return leaving
	case now.Before(r.cold[id]):
		return cold
	default:
		return listed
	}
}

// age is the time since the list was shown to be current last, 0 if it never was.
func (r *roster) age(now time.Time) time.Duration {
	if r.asOf.IsZero() {
		return 0
	}
	return now.Sub(r.asOf)
}

// differences names the upstreams whose state has changed, in order, with the new one.
func differences(before, after map[string]state) string {
	var out []string
	for id := range before {
		if after[id] == "" {
			out = append(out, id+" "+string(unlisted))
		}
	}
	for id, s := range after {
		if before[id] != s {
			out = append(out, id+" "+string(s))
		}
	}
	slices.Sort(out)
	if more := len(out) - mostNamed; more > 0 {
		out = append(out[:mostNamed], fmt.Sprintf("%d more", more))
	}
	return strings.Join(out, ", ")
}

// digest is a short sum of a list's content, so that logs of two instances show whether lists of
// one version are alike. It adds up the entries in any order; sorting them first cost as much as all else of a change.
func digest(list map[string]state) string {
	var sum uint32
	for id, s := range list {
		if s == cold {
			s = listed // until when is worked out by each instance for itself
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(id + " " + string(s))) // hashes take all
		sum += h.Sum32()
	}
	return fmt.Sprintf("%08x", sum)
}
