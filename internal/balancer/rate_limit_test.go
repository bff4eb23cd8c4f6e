package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// granted counts the requests that an upstream is granted in the given time if callers always want
// more.
func granted(u *Upstream, from time.Time, length time.Duration) (n int) {
	for now := from; now.Before(from.Add(length)); now = now.Add(5 * time.Millisecond) {
		for u.AllowsGrant(now) {
			u.RecordGrant(now)
			n++
		}
	}
	return n
}

// The previous owner may have used up the limit, so a new owner starts without tokens.
func TestTokenBucketStartsEmpty(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond float64
		min, max  int // in four seconds
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
			is.True(n >= c.min && n <= c.max)
		})
	}
}

func TestTokenBucketBurstIsSmall(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	u := &Upstream{}
	u.SetRateLimit(RateLimit{Set: true, PerSecond: 2})
	is.True(!u.AllowsGrant(now))
	n := granted(u, now.Add(time.Hour), 5*time.Millisecond)
	is.Equal(n, 1)
	u.SetRateLimit(RateLimit{Set: true, PerSecond: 50}) // a raised limit
	n = granted(u, now.Add(2*time.Hour), time.Second)
	is.True(n >= 45 && n <= 54)
	u.SetRateLimit(RateLimit{})
	is.True(u.AllowsGrant(now.Add(3 * time.Hour)))
}

// Many isolated instances each have a small share of the limit, and few of them may grant at the
// same time.
func TestProbabilisticLimitsAddUpToTheLimit(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	total := 0
	for range 600 {
		u := &Upstream{}
		u.SetRateLimit(RateLimit{Set: true, PerSecond: 1.9 / 600, Probabilistic: true})
		is.True(!u.AllowsGrant(now))
		total += granted(u, now.Add(time.Hour), 30*time.Second)
	}
	is.True(total >= 20 && total <= 100) // 57 on average, with a standard deviation of 8
}
