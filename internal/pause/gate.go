package pause

import (
	"context"
	"sync"
	"time"
)

// Gate makes work wait, after a pause, until what the process believed before
// has been read anew. Safe for concurrent use.
type Gate struct {
	// Detector notices the pauses.
	Detector *Detector
	// Refresh reads anew; it is called once for each pause.
	Refresh func(ctx context.Context)
	// RefreshTimeout bounds a refresh; afterwards serving goes on with what is known.
	RefreshTimeout time.Duration

	mu         sync.Mutex
	generation uint64
}

// EnsureFresh returns at once unless there was a pause since the last refresh.
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
