package scheduler

import "time"

// Ending is how a request that was granted an upstream ended there. The numbers go over
// the wire between instances: new ones are added at the end.
type Ending uint8

const (
	// Cancelled: it wasn't sent, or its caller left, or its time was over. Nothing is
	// learned of the upstream.
	Cancelled Ending = iota
	// Completed: the whole answer came.
	Completed
	// Erred: the upstream answered with a failure of its own.
	Erred
	// LostAnswer: it was sent, and its answer got lost or broke off.
	LostAnswer
	// Unreachable: no connection could be made.
	Unreachable
	// Busy: the upstream refused it for lack of room.
	Busy
	// Misdirected: another upstream has the address, so this one has left.
	Misdirected
	endings // their number
)

// IsKnown tells whether an ending that came over the wire is one of these.
func (e Ending) IsKnown() bool { return e < endings }

// End records how a granted request ended, with the output tokens of a whole answer.
func (c *Core) End(now time.Time, g *Grant, e Ending, output int) Decisions {
	switch e {
	case Completed:
		return c.Done(now, g, output)
	case Erred:
		return c.Erred(now, g)
	case LostAnswer:
		return c.Lost(now, g)
	case Unreachable:
		return c.Failed(now, g)
	case Busy:
		return c.Busy(now, g)
	case Misdirected:
		c.MarkLeaving(g.Upstream.ID)
		return c.Cancelled(now, g)
	default:
		return c.Cancelled(now, g)
	}
}
