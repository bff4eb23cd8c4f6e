package view

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A machine that is suspended for some seconds: its steady clock stands still, so that ages by it would be
// as young on waking as before. An API key that was taken away meanwhile would be taken until the next
// proof.
func TestBeliefsAgeWhileTheMachineIsSuspended(t *testing.T) {
	is := is.New(t)
	suspended := time.Duration(0)
	v := newView(nil)
	v.o.Now = func() time.Time { return time.Now().Add(suspended) }
	asked := v.o.Now() // of a proof that is under way as the machine stands still
	v.SetConfiguration(1, []byte("a"), v.o.Now())
	v.SetUpstreams([]Upstream{{ID: "a", Service: "s", Revision: 1}}, 1, v.o.Now())
	_, age := v.Table()
	is.True(v.IsUsable(age))

	suspended = 6 * time.Second
	_, age = v.Table()
	is.True(!v.IsUsable(age))
	v.SetConfiguration(1, []byte("a"), asked)
	_, age = v.Table()
	is.True(!v.IsUsable(age)) // it proves nothing of the time since
	listAge, _ := v.ListAge()
	is.True(listAge >= suspended)
	is.Equal(v.SourceUptime(), time.Duration(0)) // entries may have lapsed

	v.SetConfiguration(1, []byte("a"), v.o.Now())
	_, age = v.Table()
	is.True(v.IsUsable(age))
}
