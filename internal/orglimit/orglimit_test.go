package orglimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	total            = 1000.0 // tokens per second
	cost             = 20     // tokens of a request
	heartbeat        = 500 * time.Millisecond
	unreachableAfter = 2 * time.Second
	step             = 10 * time.Millisecond
)

func takeRequest(tokens int) TakeRequest {
	return TakeRequest{Organisation: "org", TotalRate: total, Tokens: tokens, TopTier: true}
}

var names = []string{"a", "b", "c"}

// fleet is three limiters that report their demands to each other in virtual time.
type fleet struct {
	limiters     map[string]*Limiter
	now          time.Time
	partitioned  map[string]bool // instances partitioned from the others
	lastReported map[string]map[string]time.Time
}

func newFleet() *fleet {
	f := &fleet{limiters: map[string]*Limiter{}, now: time.Unix(0, 0), partitioned: map[string]bool{}, lastReported: map[string]map[string]time.Time{}}
	for _, n := range names {
		f.limiters[n] = NewLimiter()
		f.limiters[n].SetInstances(len(names))
		f.lastReported[n] = map[string]time.Time{}
	}
	return f
}

// run sends requests to each instance at its rate, in tokens per second, and returns the tokens
// granted per second, by instance and in total.
func (f *fleet) run(d time.Duration, rates map[string]float64) (granted map[string]float64, sum float64) {
	granted = map[string]float64{}
	owed := map[string]float64{}
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		if f.now.UnixNano()%int64(heartbeat) == 0 {
			f.exchangeDemands()
		}
		for _, n := range names {
			for owed[n] += rates[n] * step.Seconds(); owed[n] >= cost; owed[n] -= cost {
				if ok, _ := f.limiters[n].Take(f.now, takeRequest(cost)); ok {
					granted[n] += cost / d.Seconds()
					sum += cost / d.Seconds()
				}
			}
		}
	}
	return granted, sum
}

func (f *fleet) exchangeDemands() {
	for _, from := range names {
		for _, to := range names {
			if from == to {
				continue
			}
			if !f.partitioned[from] && !f.partitioned[to] {
				f.limiters[to].SetPeerDemands(from, f.limiters[from].Demands(f.now))
				f.lastReported[to][from] = f.now
			} else if f.now.Sub(f.lastReported[to][from]) > unreachableAfter {
				f.limiters[to].RemovePeer(from)
			}
		}
	}
}

func TestSharesFollowDemand(t *testing.T) {
	for name, c := range map[string]struct {
		rates    map[string]float64
		minShare map[string]float64 // minimum granted, as a share of the total
	}{
		"all at one instance": {map[string]float64{"a": 3000}, map[string]float64{"a": 0.9}},
		"even":                {map[string]float64{"a": 3000, "b": 3000, "c": 3000}, map[string]float64{"a": 0.3, "b": 0.3, "c": 0.3}},
		"skewed":              {map[string]float64{"a": 4000, "b": 1000}, map[string]float64{"a": 0.7, "b": 0.15}},
		"below the total":     {map[string]float64{"a": 600, "b": 300}, map[string]float64{"a": 0.57, "b": 0.27}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			f.run(5*time.Second, c.rates) // until the demand is known
			granted, sum := f.run(20*time.Second, c.rates)
			is.True(sum <= 1.05*total)
			for n, minShare := range c.minShare {
				if granted[n] < minShare*total {
					t.Errorf("%s was granted %.0f of at least %.0f", n, granted[n], minShare*total)
				}
			}
		})
	}
}

// In a network partition, each side falls back to the static shares of its members. The sum stays
// at the total, except until the partition is detected.
func TestPartitionKeepsTheTotal(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	all := map[string]float64{"a": 3000, "b": 3000, "c": 3000}
	f.run(5*time.Second, all)
	f.partitioned["a"] = true
	_, sum := f.run(unreachableAfter+heartbeat, all)
	is.True(sum <= 2*total) // at most the total once more until the partition is detected
	granted, sum := f.run(20*time.Second, all)
	is.True(sum <= 1.05*total)
	is.True(granted["a"] >= 0.3*total) // its static share, no more
	is.True(granted["a"] <= 0.36*total)
	f.partitioned["a"] = false
	f.run(5*time.Second, all)
	_, sum = f.run(20*time.Second, all)
	is.True(sum <= 1.05*total && sum >= 0.9*total)
}

func TestExcessAfterAJumpInDemandIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.run(10*time.Second, map[string]float64{"a": 5000})
	_, sum := f.run(2*time.Second, map[string]float64{"a": 5000, "b": 5000, "c": 5000})
	is.True(sum*2 <= total*2+2*total*heartbeat.Seconds()) // one heartbeat for each of two jumps
}

func TestWaitIsTheTimeUntilTheDebtIsPaid(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	now := time.Unix(0, 0)
	ok, _ := l.Take(now, takeRequest(5*total)) // into debt
	is.True(ok)
	ok, wait := l.Take(now, takeRequest(cost))
	is.True(!ok)
	is.True(wait > 3900*time.Millisecond && wait < 4100*time.Millisecond)
	l.Return("org", 4*total)
	ok, _ = l.Take(now.Add(10*time.Millisecond), takeRequest(cost))
	is.True(ok)
	ok, _ = l.Take(now, TakeRequest{Organisation: "org", Tokens: 1e9}) // no limit
	is.True(ok)
}

// An organisation's lower tiers leave a reserve of its share to its highest tier.
func TestLowerTiersLeaveAReserveToTheTopTier(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	now := time.Unix(0, 0)
	lower := takeRequest(cost)
	lower.TopTier = false
	granted := 0
	for ok := true; ok; granted++ {
		ok, _ = l.Take(now, lower)
	}
	is.True(granted*cost >= 0.7*total && granted*cost <= 0.8*total)
	ok, _ := l.Take(now, takeRequest(cost))
	is.True(ok)
}

// grantedAtOnce returns the tokens that limiters grant at one time.
func grantedAtOnce(now time.Time, limiters []*Limiter) (sum float64) {
	for _, l := range limiters {
		for {
			if ok, _ := l.Take(now, takeRequest(cost)); !ok {
				break
			}
			sum += cost
		}
	}
	return sum
}

// Guards against a burst of many times an organisation's limit after a restart of all instances, or as instances are
// added: what one saved up while it knew of no others, or of fewer, must not be granted in full.
func TestBurstIsThatOfTheInstancesThatAreListed(t *testing.T) {
	for name, c := range map[string]struct {
		known int // instances in the list before; 0 without a list
		taken int // tokens of a request that found no upstream
	}{
		"list at once":                   {9, 0},
		"request before the first list":  {0, cost},
		"large request before the list":  {0, 5 * total},
		"request while a third is known": {3, cost},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			limiters := make([]*Limiter, 9)
			for i := range limiters {
				l := NewLimiter()
				if c.known > 0 {
					l.SetInstances(c.known)
				}
				if c.taken > 0 {
					l.Take(now, takeRequest(c.taken))
					l.Return("org", c.taken)
				}
				now = now.Add(step)
				l.SetInstances(len(limiters))
				limiters[i] = l
			}
			sum := grantedAtOnce(now, limiters)
			is.True(sum >= 0.9*total*burst.Seconds())
			is.True(sum <= total*burst.Seconds()+float64(len(limiters))*cost)
		})
	}
}

// Guards against organisations that use more than their limit by large requests with pauses between them: the debt of the
// last one was forgotten after a minute without requests.
func TestDebtOutlastsAPause(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	now := time.Unix(0, 0)
	const seconds = 100
	ok, _ := l.Take(now, takeRequest(seconds*total))
	is.True(ok)
	paid := now.Add((seconds - 1) * time.Second) // the first second is the burst
	for ; now.Before(paid); now = now.Add(heartbeat) {
		l.Demands(now)
	}
	ok, _ = l.Take(paid.Add(-heartbeat), takeRequest(cost))
	is.True(!ok)
	ok, _ = l.Take(paid.Add(heartbeat), takeRequest(cost))
	is.True(ok)
	// The organisation is removed once it has its burst again.
	l.Demands(now.Add(2 * idleTimeout))
	is.Equal(len(l.orgs), 0)
}
