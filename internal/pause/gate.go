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
	// Patience bounds a refresh; afterwards serving goes on with what is known.
	Patience time.Duration

	mu    sync.Mutex
	epoch uint64
}

// Pass returns at once unless there was a pause since the last refresh.
func (g *Gate) Pass(ctx context.Context) {
	epoch := g.Detector.Epoch()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch >= epoch {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.Patience)
	defer cancel()
	g.Refresh(ctx)
	g.epoch = epoch
}
