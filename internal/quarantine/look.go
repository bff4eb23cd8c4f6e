package quarantine

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/tacktally/tacktally/internal/wait"
)

// ConnectionCheck makes a connection to an upstream and closes it. It blocks for the time of making one at most.
type ConnectionCheck func(ctx context.Context) error

// MaxNeighbours is how many others are looked at beside an upstream that refuses connections, drawn by chance:
// some of them may have ended, too.
const MaxNeighbours = 5

// secondLook is the time between two looks: a process closes its connections and its port one after the
// other.
const secondLook = 100 * time.Millisecond

// Diagnosis is what comes of looking at an upstream at which answers were lost.
type Diagnosis uint8

const (
	// Alive: it takes connections, or nothing tells, as where a path is cut.
	Alive Diagnosis = iota
	// Terminated: its process has ended.
	Terminated
	// Inconclusive: it refuses connections, and so do all others that were looked at.
	Inconclusive
)

// Diagnose finds out whether the process of an upstream has ended. One that has refuses connections; one that is
// cut off is silent, and one whose connection was reset takes another. But a path that is cut may refuse, too:
// then it does so for the neighbours, other upstreams on the same way.
func Diagnose(ctx context.Context, upstream ConnectionCheck, neighbours []ConnectionCheck) Diagnosis {
	err := upstream(ctx)
	if err == nil {
		wait.For(ctx, secondLook)
		err = upstream(ctx)
	}
	switch {
	case !errors.Is(err, syscall.ECONNREFUSED):
		return Alive
	case len(neighbours) == 0 || anyAccepts(ctx, neighbours):
		return Terminated
	default:
		return Inconclusive
	}
}

// anyAccepts tells whether any of some upstreams takes connections. They are looked at together.
func anyAccepts(ctx context.Context, all []ConnectionCheck) bool {
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
