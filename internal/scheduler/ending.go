package scheduler

import "time"

// Result is how a request that was granted an upstream ended there. The numbers go over
// the wire between instances: new ones are added at the end.
type Result uint8

const (
	// Cancelled: it wasn't sent, or its caller left, or its time was over. Nothing is
	// learned of the upstream.
	Cancelled Result = iota
	// Completed: the whole answer came.
	Completed
	// UpstreamError: the upstream answered with a failure of its own.
	UpstreamError
	// LostResponse: it was sent, and its answer got lost or broke off.
	LostResponse
	// Unreachable: no connection could be made.
	Unreachable
	// Busy: the upstream refused it for lack of room.
	Busy
	// Misdirected: another upstream has the address, so this one has left.
	Misdirected
	endings // their number
)

// IsKnown tells whether an ending that came over the wire is one of these.
func (e Result) IsKnown() bool { return e < endings }

// End records how a granted request ended, with the output tokens of a whole answer.
func (c *Core) End(now time.Time, g *Grant, e Result, output int) Decisions {
	switch e {
	case Completed:
		return c.RecordCompleted(now, g, output)
	case UpstreamError:
		return c.RecordUpstreamError(now, g)
	case LostResponse:
		return c.RecordLostResponse(now, g)
	case Unreachable:
		return c.RecordFailure(now, g)
	case Busy:
		return c.RecordBusy(now, g)
	case Misdirected:
		c.MarkLeaving(g.Upstream.ID)
		return c.RecordCancelled(now, g)
	default:
		return c.RecordCancelled(now, g)
	}
}
