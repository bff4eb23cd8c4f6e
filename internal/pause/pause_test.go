package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/virtualtime"
)

// sleep lets virtual time pass.
func sleep(d time.Duration) { <-time.After(d) }

func TestPausesAreCountedOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := NewDetector()
		ctx, cancel := context.WithCancel(t.Context())
		go d.Run(ctx)
		sleep(10 * time.Second) // Run gives signs of life
		is.Equal(d.Generation(), uint64(0))
		cancel()
		synctest.Wait()
		sleep(Threshold + time.Millisecond) // no sign of life
		is.Equal(d.Generation(), uint64(1))
		is.Equal(d.Generation(), uint64(1)) // counted once
	})
}

// After a pause, only the first EnsureFresh refreshes. A refresh that takes too long is cancelled.
func TestGateRefreshesOnceAfterAPause(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		refreshes := 0
		g := &Gate{Detector: NewDetector(), RefreshTimeout: time.Second, Refresh: func(ctx context.Context) {
			refreshes++
			<-ctx.Done() // the platform doesn't respond
		}}
		g.EnsureFresh(t.Context())
		is.Equal(refreshes, 0)
		sleep(2 * time.Second)
		started := time.Now()
		for range 5 {
			g.EnsureFresh(t.Context())
		}
		is.Equal(refreshes, 1)
		is.Equal(time.Since(started), time.Second) // virtual time
	})
}
