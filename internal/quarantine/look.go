package quarantine

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/tacktally/tacktally/internal/wait"
)

// Probe makes a connection to an upstream and closes it. It blocks for the time of making one at most.
type Probe func(ctx context.Context) error

// Neighbours is how many others are looked at beside an upstream that refuses connections, drawn by chance:
// some of them may have ended, too.
const Neighbours = 5

// secondLook is the time between two looks: a process closes its connections and its port one after the
// other.
const secondLook = 100 * time.Millisecond

// Finding is what comes of looking at an upstream at which answers were lost.
type Finding uint8

const (
	// Lives: it takes connections, or nothing tells, as where a path is cut.
	Lives Finding = iota
	// Ended: its process has ended.
	Ended
	// InDoubt: it refuses connections, and so do all others that were looked at.
	InDoubt
)

// Look finds out whether the process of an upstream has ended. One that has refuses connections; one that is
// cut off is silent, and one whose connection was reset takes another. But a path that is cut may refuse, too:
// then it does so for the neighbours, other upstreams on the same way.
func Look(ctx context.Context, upstream Probe, neighbours []Probe) Finding {
	err := upstream(ctx)
	if err == nil {
		wait.For(ctx, secondLook)
		err = upstream(ctx)
	}
	switch {
	case !errors.Is(err, syscall.ECONNREFUSED):
		return Lives
	case len(neighbours) == 0 || anyAccepts(ctx, neighbours):
		return Ended
	default:
		return InDoubt
	}
}

// anyAccepts tells whether any of some upstreams takes connections. They are looked at together.
func anyAccepts(ctx context.Context, all []Probe) bool {
	ctx, end := context.WithCancel(ctx)
	defer end()
	found := make(chan error, len(all))
	for _, p := range all {
		go func() { found <- p(ctx) }()
	}
	for range all {
		if <-found == nil {
			return true
		}
	}
	return false
}
