package daemon

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/platform"
)

// An instance that woke up read a list that another goroutine had read and not applied yet, went on as if it were in
// use, and sent a request to an upstream that the list says has left.
func TestWhoeverReadsAListWaitsUntilItIsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		i := newInstanceList()
		list := platform.List{Version: 3}
		release := make(chan struct{})
		inUse, woke := false, false
		go i.apply(list, func() {
			<-release
			inUse = true
		})
		synctest.Wait()
		go func() {
			i.apply(list, func() { t.Error("one list is applied twice") })
			woke = true
		}()
		synctest.Wait()
		is.True(!woke)
		close(release)
		synctest.Wait()
		is.True(inUse)
		is.True(woke)
	})
}
