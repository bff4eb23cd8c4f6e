package quarantine

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/tacktally/tacktally/internal/wait"
)

// ConnectionCheck opens a connection to an upstream and closes it. It blocks for at most the
// connection timeout.
type ConnectionCheck func(ctx context.Context) error

// MaxNeighbours is the number of other upstreams, selected at random, that are checked if an
// upstream refuses connections. Several are checked, since some may have terminated too.
const MaxNeighbours = 5

// recheckDelay is the time after which an upstream that accepted a connection is checked again: a
// process that terminates doesn't close its connections and its port at the same time.
const recheckDelay = 100 * time.Millisecond

// Diagnosis is the result of Diagnose.
type Diagnosis uint8

const (
	// Alive: the upstream accepts connections.
	Alive Diagnosis = iota
	// Terminated: the upstream's process has terminated.
	Terminated
	// Inconclusive: the upstream and all checked neighbours refuse connections or don't accept
	// them.
	Inconclusive
	// Unreached: the check failed without a refusal, as in a network partition, and is no evidence of a crash.
	Unreached
)

// Diagnose checks whether the process of an upstream at which responses were lost has terminated. A
// terminated process refuses connections, a partitioned one doesn't respond, and one whose
// connection was reset accepts a new one. A partition may refuse connections as well, but then it
// also does so for the neighbours, other upstreams on the same network path. Diagnose blocks for
// the connection checks and recheckDelay.
func Diagnose(ctx context.Context, upstream ConnectionCheck, neighbours []ConnectionCheck) Diagnosis {
	err := upstream(ctx)
	if err == nil {
		wait.For(ctx, recheckDelay)
		err = upstream(ctx)
	}
	return diagnosisOf(ctx, err, neighbours)
}

// DiagnoseNow is Diagnose without the delay: a process that is about to close its port may count as alive.
func DiagnoseNow(ctx context.Context, upstream ConnectionCheck, neighbours []ConnectionCheck) Diagnosis {
	return diagnosisOf(ctx, upstream(ctx), neighbours)
}

// diagnosisOf returns the diagnosis by the result of the last connection check of the upstream.
func diagnosisOf(ctx context.Context, err error, neighbours []ConnectionCheck) Diagnosis {
	switch {
	case err == nil:
		return Alive
	case !errors.Is(err, syscall.ECONNREFUSED):
		return Unreached
	case len(neighbours) == 0 || anyAccepts(ctx, neighbours):
		return Terminated
	default:
		return Inconclusive
	}
}

// anyAccepts reports whether any of the upstreams accepts a connection. The checks run
// concurrently.
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
