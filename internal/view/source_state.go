package view

import (
	"time"
)

// SourceUptime returns for how long the configuration has been confirmed without a gap in which
// entries may lapse; 0 within such a gap.
func (v *View) SourceUptime() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil || v.sourceWasAway() {
		return 0
	}
	return v.o.Now().Sub(v.uptimeSince)
}

// SourceReached implements Sink. After an outage for all instances it lets the list settle.
func (v *View) SourceReached() {
	v.mu.Lock()
	back := !v.reachable
	first := !v.everReached
	v.reachable = true
	v.everReached = true
	if back && !first && v.sourceWasAway() {
		v.upstreams.settleUntil(v.o.Now().Add(v.o.SettlePeriod))
	}
	v.mu.Unlock()
	if back {
		v.o.Log.Info().Str("event", "source_reached").Bool("first", first).Msg("")
	}
}

// sourceWasAway reports whether the source was unreachable for all instances, so that entries may
// have lapsed: not even a peer could confirm the configuration. Otherwise only this instance couldn't
// reach it, and what is missing was removed. The result may be wrong while peers haven't yet sent
// their confirmations; see MergeSourceUptime. The caller holds the lock.
func (v *View) sourceWasAway() bool {
	return v.table != nil && v.o.Now().Sub(v.asOf) >= v.o.LapseAfter
}

// SourceUnreachable implements Sink.
func (v *View) SourceUnreachable(reading string, err error) {
	v.mu.Lock()
	lost := v.reachable
	v.reachable = false
	v.mu.Unlock()
	v.o.Metrics.Count("tacktally_source_errors_total")
	if lost {
		v.o.Log.Warn().Str("event", "source_lost").Str("reading", reading).Str("cause", err.Error()).Msg("")
	}
}

// ReportListRead implements Sink.
func (v *View) ReportListRead(r ListRead) {
	line := v.o.Log.Info().Str("event", "list_read").Int64("revision", r.Revision).Int64("known", v.ListVersion()).
		Int("pages", r.Pages).Dur("took", r.Took)
	if r.Cause != nil {
		line = line.Str("cause", r.Cause.Error())
	}
	line.Msg("")
}

// maxMalformedLogged is the number of errors of invalid entries that are remembered as logged. All
// are forgotten when there is one more.
const maxMalformedLogged = 64

// ReportMalformed implements Sink. It logs an error once, however often the invalid entry is read, as
// long as the error is remembered (see maxMalformedLogged).
func (v *View) ReportMalformed(err error) {
	v.o.Metrics.Count("tacktally_source_malformed_total")
	if v.wasLogged(err.Error()) {
		return
	}
	v.o.Log.Error().Str("event", "entry_malformed").Str("cause", err.Error()).Msg("the malformed entry is left out; fix the process that registers it")
}

// wasLogged reports whether the error of an invalid entry was logged before, and records it as logged.
func (v *View) wasLogged(cause string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loggedMalformed[cause] {
		return true
	}
	if v.loggedMalformed == nil || len(v.loggedMalformed) >= maxMalformedLogged {
		v.loggedMalformed = map[string]bool{}
	}
	v.loggedMalformed[cause] = true
	return false
}
