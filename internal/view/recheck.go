package view

import (
	"context"
	"time"
)

// recheckInterval is the minimum time between two reads of one upstream's entry that its responses
// cause. An upstream that leaves announces with each response that it closes the connection; others
// do so occasionally (none in 5,000 responses under steady load). The interval is there since the
// number of reads of the source is limited.
const recheckInterval = time.Second

// RecheckUpstream reads the entry of an upstream whose responses suggest that it is leaving, unless
// the list has it as leaving already. The responses arrive also where updates of the list are
// delayed. It doesn't block.
func (v *View) RecheckUpstream(id string) {
	known, due := v.beginRecheck(id)
	if due {
		go v.readEntry(known)
	}
}

// beginRecheck returns an upstream's entry, and whether it must be read again now.
func (v *View) beginRecheck(id string) (known Upstream, due bool) {
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

// readEntry reads the published entry of one upstream and applies it to the list.
func (v *View) readEntry(known Upstream) {
	c, err := v.o.Source.ReadEntry(context.Background(), known.ID)
	if err != nil && !c.Unreadable {
		v.o.Log.Warn().Str("event", "upstream_doubted").Str("upstream", known.ID).Str("cause", err.Error()).Msg("reading the upstream's entry failed; its listed entry stays in use")
		return
	}
	if err != nil {
		v.ReportMalformed(err)
	}
	v.o.Log.Info().Str("event", "upstream_doubted").Str("upstream", known.ID).Int64("revision", c.Upstream.Revision).
		Bool("leaving", c.Upstream.Leaving).Bool("gone", c.Removed).Bool("unreadable", c.Unreadable).Msg("")
	v.updateList("its own word", func(r *roster, now time.Time) { r.applyEntry(now, known, c) })
}
