package daemon

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// After a pause, an instance read a list that another goroutine had read but not yet applied. It
// continued as if the list were in use, and sent a request to an upstream that had left according
// to the list.
func TestApplyingAListWaitsUntilItIsInUse(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		i := newInstanceList()
		list := platform.List{Version: 3}
		release := make(chan struct{})
		inUse, secondReturned := false, false
		go i.apply(list, func() {
			<-release
			inUse = true
		})
		synctest.Wait()
		go func() {
			i.apply(list, func() { t.Error("a list was applied twice") })
			secondReturned = true
		}()
		synctest.Wait()
		is.True(!secondReturned)
		close(release)
		synctest.Wait()
		is.True(inUse)
		is.True(secondReturned)
	})
}
