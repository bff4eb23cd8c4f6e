package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/routing"
)

// checkQuarantine returns a refusal if the request has been quarantined since its arrival, on the
// evidence of any instance.
func (j *job) checkQuarantine() *api.Problem {
	if left := j.handler.o.Quarantine.Remaining(time.Now(), j.identity); left > 0 {
		return j.handler.o.Quarantine.Refusal(j.identity, left)
	}
	return nil
}

// beforeSend returns an error if the request may no longer be sent to a process of the granted upstream. It
// is called right before the first byte is written.
func (j *job) beforeSend(g fleet.Grant, process string) error {
	if j.handler.o.Quarantine.Remaining(time.Now(), j.identity) > 0 {
		return quarantine.ErrQuarantined
	}
	if j.handler.o.Fleet.ProcessOf(g.Upstream()) != process {
		return fleet.ErrReplaced
	}
	j.sentAt = time.Now()
	j.sentVersion = j.handler.o.Fleet.VersionOf(g.Upstream())
	if j.origin.Restricted && j.sentVersion != j.origin.Version {
		return fleet.ErrOtherVersion
	}
	return j.handler.o.Fleet.BeginAttempt(g)
}

// recordCrashEvidence records what the result of an attempt shows about crashes, and announces
// changes to the peers.
func (j *job) recordCrashEvidence(r attemptResult) {
	registry, now := j.handler.o.Quarantine, time.Now()
	switch {
	case (r.status == completed || r.status == upstreamFailed || r.status == unconfirmed || errors.Is(r.err, errUnreached) || errors.Is(r.err, errNoStatedEnd)) && j.framing == exchange.UntilClose:
		registry.TrackUnstatedEnd(r.process, j.identity, j.completionBegan(r), j.hasStarted(), j.handler.livenessCheck(j.upstream, r.process), j.handler.o.AnnounceSoon)
		// A stream that ends so soon may be a crash, which no other request may notice for a while.
		if j.route.Kind == routing.Stream && !j.hasStarted() && registry.NeedsDiagnosis(now, r.process) {
			j.handler.startDiagnosis(j.upstream, r.process)
		}
	case r.status == completed || r.status == upstreamFailed:
		if registry.RecordCompletion(now, j.identity, j.completionBegan(r)) {
			j.handler.o.AnnounceSoon()
		}
	case r.status == misdirected:
		j.handler.recordTermination(r.process, j.handler.o.Fleet.IsLeaving(r.process)) // another process has its address
	case errors.Is(r.err, errMisplaced), errors.Is(r.err, errOutOfMemory): // the upstream lives
	case (r.status == lost || r.status == truncated) && !errors.Is(r.err, errSilent) && j.handler.o.Fleet.BlamesUpstream(r.err):
		check, changed := registry.RecordLostResponse(now, r.process, j.identity, j.hasStarted())
		if changed {
			j.handler.o.Announce()
		}
		switch {
		case errors.Is(r.err, errTerminated):
			j.handler.recordCrash(r.process)
		case check:
			j.handler.startDiagnosis(j.upstream, r.process)
		}
	case r.status == notSent && j.handler.o.Fleet.BlamesUpstream(r.err) && registry.NeedsDiagnosis(now, r.process):
		j.handler.startDiagnosis(j.upstream, r.process)
	}
}

// hasStarted reports whether the last response had got so far that the upstream ran the request for a while. One
// that crashes when it begins to write may have sent its first event.
func (j *job) hasStarted() bool { return j.events > 1 }

// completionBegan returns when a complete and successful response began; the zero time for any other one.
func (j *job) completionBegan(r attemptResult) time.Time {
	if r.status != completed || j.status >= http.StatusBadRequest {
		return time.Time{}
	}
	return j.respondedAt
}

// startDiagnosis diagnoses an upstream in the background, unless it has been removed.
func (h *Handler) startDiagnosis(upstream, process string) {
	leaving := h.o.Fleet.IsLeaving(process)
	if connections := h.o.Fleet.ConnectionsTo(upstream); connections != nil {
		go h.diagnose(upstream, process, leaving, connections, quarantine.Diagnose)
	}
}

// diagnose checks whether the process of an upstream at which responses ended or were lost has terminated, by check,
// and records a crash if so. Leaving reports whether the process was known to be leaving when the diagnosis was due: its
// entry may be removed since. diagnose blocks for the connection checks.
func (h *Handler) diagnose(upstream, process string, leaving bool, connections *exchange.Pool, check connectionDiagnosis) {
	diagnosis, neighbours := h.diagnoseProcess(context.Background(), upstream, connections, check)
	switch diagnosis {
	case quarantine.Terminated:
		h.recordTermination(process, leaving || h.o.Fleet.IsLeaving(process)) // it may have announced so meanwhile
	case quarantine.Inconclusive:
		h.o.Log.Info().Str("event", "crash_in_doubt").Str("upstream", upstream).Int("neighbours", neighbours).
			Msg("no other upstream of its zone accepts connections from this instance; not recorded as a crash")
	case quarantine.Alive, quarantine.Unreached:
	}
}

// livenessCheck returns a function that reports whether an upstream's process is listed and accepts connections. It
// blocks for the connection check.
func (h *Handler) livenessCheck(upstream, process string) func() bool {
	return func() bool {
		connections := h.o.Fleet.ConnectionsTo(upstream)
		return connections != nil && h.o.Fleet.ProcessOf(upstream) == process && connections.CheckConnection(context.Background()) == nil
	}
}

// recordTermination records a crash, unless the process may have terminated in order since it was leaving.
func (h *Handler) recordTermination(process string, leaving bool) {
	if !leaving {
		h.recordCrash(process)
	} else if h.o.Quarantine.RecordLeavingTermination(time.Now(), process) {
		h.o.Announce()
	}
}

func (h *Handler) recordCrash(process string) {
	if h.o.Quarantine.RecordCrash(time.Now(), process) {
		h.o.Announce()
	}
}
