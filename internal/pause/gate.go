package pause

import (
	"context"
	"sync"
	"time"
)

// Gate blocks work after a pause until the state of the process has been refreshed. It is safe for
// concurrent use.
type Gate struct {
	// Detector detects the pauses.
	Detector *Detector
	// Refresh reads the state again. It is called once for each pause, and must return when ctx is
	// done.
	Refresh func(ctx context.Context)
	// RefreshTimeout bounds a refresh. After it, serving continues with the known state.
	RefreshTimeout time.Duration

	mu         sync.Mutex
	generation uint64
}

// EnsureFresh returns at once unless there was a pause since the last refresh. After a pause, it
// blocks until a refresh has ended.
func (g *Gate) EnsureFresh(ctx context.Context) {
	generation := g.Detector.Generation()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.generation >= generation {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.RefreshTimeout)
	defer cancel()
	g.Refresh(ctx)
	g.generation = generation
}
