package view

import (
	"context"
	"time"
)

// recheckInterval is how often at most the entry of one upstream is read because of its own word. One
// that leaves says so with each answer; others do now and then, none in 5,000 answers of a steady
// day, and reads are bounded in number.
const recheckInterval = time.Second

// RecheckUpstream is told of an upstream that may be leaving by its own word. Unless the list says so, its
// entry is read: its own word comes with each answer, also where news of the list is held up.
// It doesn't block.
func (v *View) RecheckUpstream(id string) {
	known, ask := v.beginRecheck(id)
	if ask {
		go v.readEntry(known)
	}
}

// beginRecheck returns an upstream's entry, and whether it is to be read anew.
func (v *View) beginRecheck(id string) (known Upstream, ask bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, listed := v.upstreams.entries[id]
	now := v.o.Now()
	if !listed || known.Leaving || now.Sub(v.recheckedAt[id]) < recheckInterval {
		return known, false
	}
	for other, at := range v.recheckedAt {
		if now.Sub(at) >= recheckInterval {
			delete(v.recheckedAt, other)
		}
	}
	if v.recheckedAt == nil {
		v.recheckedAt = map[string]time.Time{}
	}
	v.recheckedAt[id] = now
	return known, true
}

// readEntry reads what is published of an upstream, and takes it.
func (v *View) readEntry(known Upstream) {
	c, err := v.o.Source.ReadEntry(context.Background(), known.ID)
	if err != nil && !c.Unreadable {
		v.o.Log.Warn().Str("event", "upstream_doubted").Str("upstream", known.ID).Str("cause", err.Error()).Msg("its entry couldn't be read")
		return
	}
	if err != nil {
		v.ReportMalformed(err)
	}
	v.o.Log.Info().Str("event", "upstream_doubted").Str("upstream", known.ID).Int64("revision", c.Upstream.Revision).
		Bool("leaving", c.Upstream.Leaving).Bool("gone", c.Removed).Bool("unreadable", c.Unreadable).Msg("")
	v.updateList("its own word", func(r *roster, now time.Time) { r.applyEntry(now, known, c) })
}
