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

const (
	// maxMalformedLogged bounds the errors of invalid entries that are remembered as logged, and malformedLogPeriod is
	// how long others aren't logged at all once there are as many: each heartbeat of an invalid entry repeats its error.
	maxMalformedLogged = 64
	malformedLogPeriod = time.Minute
)

// ReportMalformed implements Sink. It logs an error once, however often the invalid entry is read, as
// long as the error is remembered (see maxMalformedLogged).
func (v *View) ReportMalformed(err error) {
	v.o.Metrics.Count("tacktally_source_malformed_total")
	if v.shouldLogMalformed(err.Error()) {
		v.o.Log.Error().Str("event", "entry_malformed").Str("cause", err.Error()).Msg("the malformed entry is left out; fix the process that registers it")
	}
}

// shouldLogMalformed reports whether the error of an invalid entry is logged, and records it as logged.
func (v *View) shouldLogMalformed(cause string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.o.Now()
	full := len(v.loggedMalformed) >= maxMalformedLogged
	switch {
	case v.loggedMalformed[cause], full && now.Sub(v.malformedSince) < malformedLogPeriod:
		return false
	case full, v.loggedMalformed == nil:
		v.loggedMalformed, v.malformedSince = map[string]bool{}, now
	}
	v.loggedMalformed[cause] = true
	return true
}
