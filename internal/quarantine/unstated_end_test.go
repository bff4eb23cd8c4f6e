package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/virtualtime"
)

// A response without a stated end must not clear a request that crashes its upstreams, and must count as lost
// once the crash is known, before or after.
func TestUnstatedEndIsAResponseOnlyIfItsUpstreamLives(t *testing.T) {
	for name, c := range map[string]struct {
		history     func(b *Registry, upstream string, at time.Time)
		quarantined bool
	}{
		"crash known afterwards": {func(b *Registry, upstream string, at time.Time) {
			b.RecordUnstatedEnd(at, upstream, key("x"), false)
			b.RecordCrash(at.Add(10*time.Millisecond), upstream)
		}, true},
		"crash known before": {func(b *Registry, upstream string, at time.Time) {
			b.RecordLostResponse(at, upstream, key("y+"), true)
			b.RecordCrash(at, upstream)
			b.RecordUnstatedEnd(at.Add(10*time.Millisecond), upstream, key("x"), false)
		}, true},
		"no crash": {func(b *Registry, upstream string, at time.Time) {
			b.RecordUnstatedEnd(at, upstream, key("x"), false)
		}, false},
		"crash long afterwards": {func(b *Registry, upstream string, at time.Time) {
			b.RecordUnstatedEnd(at, upstream, key("x"), false)
			b.RecordCrash(at.Add(2*lossWindow), upstream)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newRegistry(true)
			for i, upstream := range []string{"1", "2"} {
				at := start.Add(time.Duration(i) * time.Minute)
				c.history(b, upstream, at)
				b.ConfirmResponse(at.Add(ConfirmAfter), at, upstream, key("x"), time.Time{})
			}
			is.Equal(b.Remaining(start.Add(time.Minute+ConfirmAfter), key("x")) > 0, c.quarantined)
		})
	}
}

func TestConfirmedResponseClearsItsRequest(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	crashOf(b, start, "1", "x")
	crashOf(b, start, "2", "x")
	is.True(b.Remaining(start.Add(settleTime), key("x")) > 0)
	b.RecordUnstatedEnd(start.Add(time.Minute), "3", key("x"), false)
	is.True(b.Remaining(start.Add(time.Minute), key("x")) > 0)
	is.True(b.ConfirmResponse(start.Add(time.Minute+ConfirmAfter), start.Add(time.Minute), "3", key("x"), time.Time{}))
	is.Equal(b.Remaining(start.Add(time.Minute+ConfirmAfter), key("x")), time.Duration(0))
}

// Guards against a quarantine that ends since a crash looked like the end of a response and couldn't be diagnosed: no
// neighbour of the upstream accepted connections, or this process was paused.
func TestUnstatedEndClearsOnlyWhereItsUpstreamIsAlive(t *testing.T) {
	for name, alive := range map[string]bool{"alive": true, "in doubt": false} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newRegistry(true)
				for n := range 3 {
					promptCrash(b, time.Now(), fmt.Sprint(n), fmt.Sprint(n, ":P"))
				}
				held := prompt("9:P")
				<-time.After(settleTime)
				is.True(b.Remaining(time.Now(), held) > 0)
				b.TrackUnstatedEnd("3", prompt("3:P"), time.Now(), true, func() bool { return alive }, func() {})
				<-time.After(ConfirmAfter)
				synctest.Wait()
				is.Equal(b.Remaining(time.Now(), held) > 0, !alive)
			})
		})
	}
	is := is.New(t)
	b := newRegistry(true)
	crashOf(b, start, "1", "x")
	crashOf(b, start, "2", "x")
	paused := start.Add(10 * ConfirmAfter)
	b.RecordUnstatedEnd(start, "3", key("x"), false)
	is.True(!b.ConfirmResponse(paused, start, "3", key("x"), time.Time{}))
	is.True(b.Remaining(paused, key("x")) > 0)
}

// An upstream that has restarted under its name must be able to clear requests: its crash was another one.
func TestResponseAfterACrashIsConfirmed(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	crashOf(b, start, "1", "x")
	crashOf(b, start, "2", "x")
	ended := start.Add(time.Minute)
	b.RecordUnstatedEnd(ended, "1", key("x"), false)
	is.True(b.ConfirmResponse(ended.Add(ConfirmAfter), ended, "1", key("x"), time.Time{}))
	is.Equal(b.Remaining(ended.Add(ConfirmAfter), key("x")), time.Duration(0))
}

// Guards against a crash of a leaving upstream that isn't noticed: it was found to have terminated, which alone shows none,
// right before a response broke off there. Another process may have its address by then.
func TestLostResponseAfterALeavingTerminationShowsACrash(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		crash bool
	}{
		"at once":          {0, true},
		"20 ms later":      {20 * time.Millisecond, true},
		"lossWindow later": {lossWindow, true},
		"long after it":    {lossWindow + time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newRegistry(true)
			b.RecordUnstatedEnd(start, "1", key("x"), false)
			is.True(b.NeedsDiagnosis(start, "1"))
			is.True(!b.RecordLeavingTermination(start, "1")) // it may have left in order
			at := start.Add(c.after)
			check, changed := b.RecordLostResponse(at, "1", key("y"), false)
			is.Equal(changed, c.crash)
			is.Equal(check, !c.crash)
			is.Equal(b.HasCrashed(at, start, "1"), c.crash)
		})
	}
}

// Guards against a crash that is recorded for a response which broke off long before the upstream left.
func TestLostResponseLongBeforeALeavingTerminationIsNoCrash(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	b.RecordLostResponse(start, "1", key("x"), false)
	later := start.Add(lossWindow + time.Millisecond)
	b.RecordUnstatedEnd(later, "1", key("y"), false)
	is.True(!b.RecordLeavingTermination(later, "1"))
	is.True(!b.HasCrashed(later, start, "1"))
}

// Guards against responses that end as broken for minutes after a crash, at the next process of the same name, and against
// short ones that look complete once that has crashed, too: not all upstreams number their processes.
func TestCrashBeforeAResponseBeganIsNotThatOfItsProcess(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	b.RecordLostResponse(start, "1", key("x"), false)
	is.True(b.RecordCrash(start, "1"))
	now := start.Add(time.Minute)
	is.True(b.HasCrashed(now, start.Add(-time.Second), "1"))
	is.True(b.HasCrashed(now, start.Add(lossWindow), "1")) // times of peers aren't exact
	is.True(!b.HasCrashed(now, start.Add(lossWindow+time.Millisecond), "1"))

	b.RecordLostResponse(now, "1", key("x"), false)
	b.RecordCrash(now, "1") // the next process of that name
	is.True(b.HasCrashed(now, now.Add(-time.Second), "1"))
}
