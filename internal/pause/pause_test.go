package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pass lets virtual time go by.
func pass(d time.Duration) { <-time.After(d) }

func TestPausesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := NewDetector()
		ctx, cancel := context.WithCancel(t.Context())
		go d.Run(ctx)
		pass(10 * time.Second) // alive all the time
		is.Equal(d.Generation(), uint64(0))
		cancel()
		synctest.Wait()
		pass(Threshold + time.Millisecond) // nobody shows it alive
		is.Equal(d.Generation(), uint64(1))
		is.Equal(d.Generation(), uint64(1)) // counted once
	})
}

// After a pause the first to pass reads anew, and no other does again; a refresh that
// takes too long is given up.
func TestGateRefreshesOnceAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		refreshes := 0
		g := &Gate{Detector: NewDetector(), RefreshTimeout: time.Second, Refresh: func(ctx context.Context) {
			refreshes++
			<-ctx.Done() // the platform doesn't answer
		}}
		g.EnsureFresh(t.Context())
		is.Equal(refreshes, 0)
		pass(2 * time.Second)
		begun := time.Now()
		for range 5 {
			g.EnsureFresh(t.Context())
		}
		is.Equal(refreshes, 1)
		is.Equal(time.Since(begun), time.Second) // virtual time
	})
}
