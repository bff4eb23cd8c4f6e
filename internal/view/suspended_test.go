package view

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// While a machine is suspended, its monotonic clock stands still, so that ages by that clock wouldn't
// include the time. An API key that was revoked meanwhile would be accepted until the next proof.
func TestAgesCountWhileMachineIsSuspended(t *testing.T) {
	is := is.New(t)
	suspended := time.Duration(0)
	v := newView(nil)
	v.o.Now = func() time.Time { return time.Now().Add(suspended) }
	sent := v.o.Now() // of a read that is in progress as the machine is suspended
	v.SetConfiguration(1, []byte("a"), v.o.Now())
	v.SetUpstreams([]Upstream{{ID: "a", Service: "s", Revision: 1}}, 1, v.o.Now())
	_, age := v.Table()
	is.True(v.IsUsable(age))

	suspended = 6 * time.Second
	_, age = v.Table()
	is.True(!v.IsUsable(age))
	v.SetConfiguration(1, []byte("a"), sent)
	_, age = v.Table()
	is.True(!v.IsUsable(age)) // it confirms nothing about the time since
	listAge, _ := v.ListAge()
	is.True(listAge >= suspended)
	is.Equal(v.SourceUptime(), time.Duration(0)) // entries may have lapsed

	v.SetConfiguration(1, []byte("a"), v.o.Now())
	_, age = v.Table()
	is.True(v.IsUsable(age))
}
