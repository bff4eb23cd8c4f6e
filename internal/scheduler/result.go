package scheduler

import "time"

// Result is the result of a granted request at its upstream. The numbers are sent between
// instances; add new ones at the end.
type Result uint8

const (
	// Cancelled: the request was not sent, its caller disconnected, or its time ran out. It says
	// nothing about the upstream.
	Cancelled Result = iota
	// Completed: the whole response was received.
	Completed
	// UpstreamError: the upstream responded with an error of its own.
	UpstreamError
	// LostResponse: the request was sent, and its response was lost or truncated.
	LostResponse
	// Unreachable: no connection could be established.
	Unreachable
	// Busy: the upstream refused the request for lack of capacity.
	Busy
	// Misdirected: another upstream now has the address, so this one has left.
	Misdirected
	// Silent: the request was sent, and abandoned since the upstream sent nothing for too long.
	Silent
	// Unused: the request wasn't sent, since its grant is no longer needed. It says nothing about the upstream, and the
	// retry budget gets back what the grant was charged.
	Unused
	resultCount // number of results
)

var resultNames = [resultCount]string{"cancelled", "completed", "upstream_error", "lost_response", "unreachable", "busy", "misdirected", "silent", "unused"}

// String returns the result as logs show it.
func (r Result) String() string {
	if !r.IsKnown() {
		return "unknown"
	}
	return resultNames[r]
}

// IsKnown reports whether a result received from another instance is one of these.
func (r Result) IsKnown() bool { return r < resultCount }

// End records the result of a granted request, and the output tokens of a complete response.
func (c *Core) End(now time.Time, g *Grant, r Result, output int) Decisions {
	switch r {
	case Completed:
		return c.RecordCompleted(now, g, output)
	case UpstreamError:
		return c.RecordUpstreamError(now, g)
	case LostResponse:
		return c.RecordLostResponse(now, g)
	case Unreachable:
		return c.RecordFailure(now, g)
	case Silent:
		return c.RecordSilence(now, g)
	case Busy:
		return c.RecordBusy(now, g)
	case Misdirected:
		c.MarkLeaving(g.Upstream.ID)
		return c.RecordCancelled(now, g)
	default:
		return c.RecordCancelled(now, g)
	}
}
