package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// granted counts what an upstream is granted in so long, where callers always want more.
func granted(u *Upstream, from time.Time, length time.Duration) (n int) {
	for now := from; now.Before(from.Add(length)); now = now.Add(5 * time.Millisecond) {
		for u.AllowsGrant(now) {
			u.RecordGrant(now)
			n++
		}
	}
	return n
}

// Whoever granted before may have granted all there was, so that a new owner begins with nothing.
func TestALimitBeginsWithNothingSavedUp(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond   float64
		least, most int // in four seconds
	}{
		"less than one": {0.2, 0, 1},
		"a few":         {2, 7, 8},
		"many":          {450, 1790, 1800},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			u := &Upstream{}
			is.True(u.AllowsGrant(now))
			u.SetRateLimit(RateLimit{Set: true, PerSecond: c.perSecond})
			is.True(!u.AllowsGrant(now))
			n := granted(u, now, 4*time.Second)
			is.True(n >= c.least && n <= c.most)
		})
	}
}

func TestLittleIsSavedUp(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	u := &Upstream{}
	u.SetRateLimit(RateLimit{Set: true, PerSecond: 2})
	is.True(!u.AllowsGrant(now))
	n := granted(u, now.Add(time.Hour), 5*time.Millisecond)
	is.Equal(n, 1)
	u.SetRateLimit(RateLimit{Set: true, PerSecond: 50}) // a limit that rises
	n = granted(u, now.Add(2*time.Hour), time.Second)
	is.True(n >= 45 && n <= 54)
	u.SetRateLimit(RateLimit{})
	is.True(u.AllowsGrant(now.Add(3 * time.Hour)))
}

// Each of many instances that decide alone has a small part, and hardly any of them has one at the same time.
func TestWhatIsGrantedByChanceAddsUpToTheLimit(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	total := 0
	for range 600 {
		u := &Upstream{}
		u.SetRateLimit(RateLimit{Set: true, PerSecond: 1.9 / 600, Probabilistic: true})
		is.True(!u.AllowsGrant(now))
		total += granted(u, now.Add(time.Hour), 30*time.Second)
	}
	is.True(total >= 20 && total <= 100) // 57 on the average, with a deviation of 8
}
