package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tacktally/tacktally/internal/estimate"
	"github.com/tacktally/tacktally/internal/loadreport"
)

// loadedUpstream returns an upstream with all of its six slots taken, at which two requests may wait.
func loadedUpstream() *Upstream {
	u := &Upstream{ID: "u", Zone: "bole", Slots: 6, MaxBacklog: 2, Running: 6, Speed: estimate.NewSpeed()}
	u.ObserveHold(60 * time.Millisecond)
	for range 100 {
		u.ObserveLoad(now, loadreport.Report{Running: 4, Slots: 6})
	}
	return u
}

// The backlog must loosen no other limit, and end with the reports.
func TestRequestsBeyondTheSlots(t *testing.T) {
	for name, c := range map[string]struct {
		change func(u *Upstream)
		want   int // requests beyond the slots
	}{
		"as many as the setting says":    {func(*Upstream) {}, 2},
		"no more than the maximum":       {func(u *Upstream) { u.MaxBacklog = 1 }, 1},
		"none without the setting":       {func(u *Upstream) { u.MaxBacklog = 0 }, 0},
		"requests of others count":       {func(u *Upstream) { u.Running, u.RunningElsewhere = 1, 5 }, 2},
		"those that wait there count":    {func(u *Upstream) { u.Running = 7 }, 1},
		"as many wait there as may":      {func(u *Upstream) { u.ObserveLoad(now, loadreport.Report{Running: 6, Waiting: 2, Slots: 6}) }, 2},
		"none while more wait there":     {func(u *Upstream) { u.ObserveLoad(now, loadreport.Report{Running: 6, Waiting: 3, Slots: 6}) }, 0},
		"none while the hold is unknown": {func(u *Upstream) { u.load.hold = 0 }, 0},
		"two would wait 200 ms":          {func(u *Upstream) { u.load.hold = 600 * time.Millisecond }, 2},
		"two would wait longer":          {func(u *Upstream) { u.load.hold = 601 * time.Millisecond }, 1},
		"one would wait 200 ms":          {func(u *Upstream) { u.load.hold = 1200 * time.Millisecond }, 1},
		"one would wait longer":          {func(u *Upstream) { u.load.hold = 1201 * time.Millisecond }, 0},
		"the wait is that of this moment": {func(u *Upstream) {
			u.load.hold = 400 * time.Millisecond
			reportWork(u, now, 100, 10)
			u.ObserveLoad(now, loadreport.Report{Running: 6, Slots: 6, WorkPercent: 250})
		}, 1},
		"none after failures":            {func(u *Upstream) { u.Failures = 1 }, 0},
		"none while cold":                {func(u *Upstream) { u.ColdUntil = now.Add(1) }, 0},
		"cold start over":                {func(u *Upstream) { u.ColdUntil = now }, 2},
		"none after a move":              {func(u *Upstream) { u.MoveFrom(now, u.CopyState()) }, 0},
		"none after the reports stop":    {func(u *Upstream) { u.load.at = now.Add(-reportLifetime - 1) }, 0},
		"none after reports are dropped": {func(u *Upstream) { u.DropReports() }, 0},
		"none at its grant limit": {func(u *Upstream) {
			u.GrantLimits = GrantLimits{Set: true, Warm: 6}
			for range 6 {
				u.RecordGrant(now)
			}
		}, 0},
		"one below its grant limit": {func(u *Upstream) {
			u.GrantLimits = GrantLimits{Set: true, Warm: 7}
			for range 6 {
				u.RecordGrant(now)
			}
		}, 1},
		"none at its rate limit": {func(u *Upstream) { u.SetRateLimit(RateLimit{Set: true, PerSecond: 1}) }, 0},
		"none while leaving":     {func(u *Upstream) { u.Leaving = true }, 0},
		"none with an open circuit": {func(u *Upstream) {
			u.Failures, u.FailedAt, u.CircuitOpenUntil = 1, now, now.Add(time.Second)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := loadedUpstream()
			c.change(u)
			got := 0
			for u.HasCapacity(now, 1) {
				u.Running++
				u.RecordGrant(now)
				got++
			}
			is.Equal(got, c.want)
		})
	}
}

// An upstream that responds again after failures may have restarted and must get no request beyond its
// slots until its recovery is recorded.
func TestRespondingUpstreamWithFailuresGetsItsSlotsAlone(t *testing.T) {
	is := is.New(t)
	u := loadedUpstream()
	u.Failures, u.FailedAt = 1, now.Add(-time.Second)
	u.MarkSeen(now)
	is.True(!u.HasCapacity(now, 1))
	u.Running--
	is.True(u.HasCapacity(now, 1))
}

// The scheduler counts an upstream with free slots that has reached its grant limit as limited. One
// whose slots are taken is full and must not be counted.
func TestUpstreamAtItsGrantLimitIsFullAtItsSlots(t *testing.T) {
	is := is.New(t)
	u := loadedUpstream()
	is.True(!u.IsFull(now))
	u.GrantLimits = GrantLimits{Set: true, Warm: 1}
	u.RecordGrant(now)
	is.True(u.IsFull(now))
}

// The window of an upstream of unknown slots bounds its requests with and without reports.
func TestReportsDoNotWidenTheWindow(t *testing.T) {
	is := is.New(t)
	u := loadedUpstream()
	u.Slots, u.Window = 0, estimate.NewWindow()
	u.Running = u.Window.Size()
	is.True(u.IsFull(now))
}

// An upstream that has failed gets one probe, also if it reported a low load before.
func TestReportsAllowNoSecondProbe(t *testing.T) {
	is := is.New(t)
	u := loadedUpstream()
	u.Failures, u.FailedAt, u.Running = 1, now, 1
	is.True(!u.HasCapacity(now.Add(time.Millisecond), 1))
}

// Reports that stop must have no effect on the number of requests or on predictions after 1 s, and
// reports that resume must not revive the number of another time.
func TestEffectOfReportsEndsWithinOneSecond(t *testing.T) {
	is := is.New(t)
	u := loadedUpstream()
	reportWork(u, now.Add(-time.Hour), 100, 10)
	u.ObserveLoad(now, loadreport.Report{Running: 4, Slots: 6, WorkPercent: 250})
	at := now.Add(reportLifetime)
	is.True(u.WorkFactor(at, 0) > 1)
	at = at.Add(1)
	is.Equal(u.WorkFactor(at, 0), 1.0)
	is.Equal(u.extraPlainTime(at), time.Duration(0))
	is.Equal(u.InTransit(at), 0.0)
	is.Equal(u.WorkPercent(at), 0)
	is.True(u.IsFull(at))
	is.Equal(u.backlog(at), 0)
	u.ObserveLoad(at, loadreport.Report{Running: 4, Slots: 6})
	is.True(math.Abs(u.InTransit(at)-2*inTransitGain) < 1e-9)
}

// While a report is on its way, requests are granted and released, so that a single report shows little.
// The number in transit must average over several, and a single report must not end the backlog.
func TestNumberInTransitIsSmoothed(t *testing.T) {
	is := is.New(t)
	u := loadedUpstream()
	u.load.inTransit = 0
	u.ObserveLoad(now, loadreport.Report{Running: 3, Slots: 6})
	is.True(u.InTransit(now) < 0.5)
	for i := range 200 { // two in transit on average
		u.ObserveLoad(now, loadreport.Report{Running: 3 + 2*(i%2), Slots: 6})
	}
	is.True(math.Abs(u.InTransit(now)-2) < 0.2)
	u.Running = 3
	u.ObserveLoad(now, loadreport.Report{Running: 6, Slots: 6})
	u.Running = 6
	is.True(!u.IsFull(now))
}

// Requests that an upstream holds for another owner, which this one does not count, are no reason to
// grant more.
func TestRequestsOfUnknownOwnersAllowNoMore(t *testing.T) {
	is := is.New(t)
	u := loadedUpstream()
	u.Running = 5
	for range 100 {
		u.ObserveLoad(now, loadreport.Report{Running: 6, Slots: 6})
	}
	is.Equal(u.InTransit(now), 0.0)
	is.True(!u.IsFull(now)) // its own slots stay in use
	u.Running = 6
	is.True(u.IsFull(now))
}

// Whatever an upstream reports and however long its requests hold slots, it gets at most MaxBacklog
// requests more than its slots, none of them if their expected wait is long or more wait there already,
// and none after its reports stop.
func TestFalseReportsCostAtMostMaxBacklog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := &Upstream{Slots: rapid.IntRange(1, 8).Draw(t, "slots"), MaxBacklog: rapid.IntRange(0, 8).Draw(t, "max"), Speed: estimate.NewSpeed()}
		at := now
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond / 10)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				r := drawReport(t)
				u.ObserveLoad(at, r)
			case 1:
				for u.HasCapacity(at, 1) {
					u.Running++
				}
			case 2:
				u.Running = max(u.Running-1, 0)
			case 3:
				u.ObserveHold(time.Duration(rapid.IntRange(-1, 3_000_000).Draw(t, "hold")) * time.Microsecond)
			}
			checkBacklog(t, u, at)
			factor := u.WorkFactor(at, time.Duration(rapid.IntRange(0, 5000).Draw(t, "over"))*time.Millisecond)
			if !(factor >= 1/maxWorkFactor-1e-9 && factor <= maxWorkFactor+1e-9) {
				t.Fatalf("work factor %v", factor)
			}
			if p := u.Speed.Prefill(); !(p > 0) || math.IsInf(p, 0) || u.PredictFirstToken(at, 1000) < 0 {
				t.Fatalf("prefill rate %v", p)
			}
		}
	})
}

// checkBacklog checks the bounds of the requests that may wait at an upstream.
func checkBacklog(t *rapid.T, u *Upstream, at time.Time) {
	beyond := u.backlog(at)
	if beyond < 0 || beyond > u.MaxBacklog || u.Running > u.Slots+u.MaxBacklog {
		t.Fatalf("%d beyond the slots, %d running", beyond, u.Running)
	}
	if beyond > 0 && (u.load.last.Waiting > u.MaxBacklog || at.Sub(u.load.at) > reportLifetime) {
		t.Fatal("requests beyond the slots although more wait or reports have stopped")
	}
	full := u.CopyState()
	full.Slots, full.Running = u.Slots, u.Slots+beyond-1
	if beyond > 0 && full.SlotWait(at) > maxSlotWait {
		t.Fatalf("the last of %d would wait for %v", beyond, full.SlotWait(at))
	}
}

// drawReport draws a valid report, with arbitrary figures.
func drawReport(t *rapid.T) loadreport.Report {
	slots := rapid.IntRange(1, loadreport.MaxFigure).Draw(t, "reported slots")
	return loadreport.Report{
		Running:     rapid.IntRange(0, slots).Draw(t, "reported running"),
		Waiting:     rapid.SampledFrom([]int{0, 0, 0, 1, loadreport.MaxFigure}).Draw(t, "reported waiting"),
		Slots:       slots,
		WorkPercent: rapid.SampledFrom([]int{0, 1, 68, 100, 250, loadreport.MaxFigure}).Draw(t, "reported percent"),
	}
}

// The limit must not grow by the requests granted beyond the slots: neither the reports that show them
// waiting nor the holds of completed requests may raise it above that of the first moment.
func TestLimitDoesNotGrowByFeedback(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := &Upstream{Slots: rapid.IntRange(1, 8).Draw(t, "slots"), MaxBacklog: 8}
		hold := time.Duration(rapid.IntRange(1, 3000).Draw(t, "hold")) * time.Millisecond
		u.ObserveHold(hold)
		u.ObserveLoad(now, loadreport.Report{Slots: u.Slots})
		u.load.inTransit = rapid.Float64Range(0, 8).Draw(t, "in transit")
		first := u.backlog(now)
		for range 60 {
			for u.HasCapacity(now, 1) {
				u.Running++
			}
			u.ObserveLoad(now, loadreport.Report{Running: min(u.Running, u.Slots), Waiting: max(u.Running-u.Slots, 0), Slots: u.Slots})
			if u.Running > u.Slots+first || u.backlog(now) > first {
				t.Fatalf("%d running of %d slots and %d beyond them", u.Running, u.Slots, first)
			}
			u.Running--
			u.ObserveHold(hold)
		}
	})
}

// reportWork observes n reports of a work time, the last one at the given time.
func reportWork(u *Upstream, at time.Time, percent, n int) {
	for i := range n {
		u.ObserveLoad(at.Add(-time.Duration(n-1-i)*workSampleInterval), loadreport.Report{Running: 1, Slots: 6, WorkPercent: percent})
	}
}

func TestWorkFactor(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		usual, last int
		age, over   time.Duration
		want        float64
	}{
		"a machine in its usual state":       {100, 100, 0, 0, 1},
		"one that is always slow":            {300, 300, 0, 0, 1},
		"one that is always slow, disturbed": {300, 750, 0, 0, 2.5},
		"a new report counts fully":          {100, 250, 0, 0, 2.5},
		"half of it after a half-life":       {100, 250, 300 * ms, 0, 1.75},
		"the average over a half-life":       {100, 250, 0, 300 * ms, 1 + 1.5*0.5/math.Ln2},
		"the average of a long time":         {100, 250, 0, 30 * time.Second, 1 + 1.5/(100*math.Ln2)},
		"faster than usual":                  {100, 50, 0, 0, 0.5},
		"a false report is bounded":          {100, 1_000_000, 0, 0, 10},
		"a false report downwards, too":      {1000, 1, 0, 0, 0.1},
		"no work time reported":              {100, 0, 0, 0, 1},
		"reports that stopped":               {100, 250, 1001 * ms, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &Upstream{Speed: estimate.NewSpeed()}
			reportWork(u, now, c.usual, 10)
			u.ObserveLoad(now, loadreport.Report{Slots: 6, WorkPercent: c.last})
			got := u.WorkFactor(now.Add(c.age), c.over)
			is.True(math.Abs(got-c.want) < 1e-9)
		})
	}
}

// A disturbance of 600 ms must not count as the usual state, whenever it happens, nor must a false
// report. A change that lasts must.
func TestUsualWorkTime(t *testing.T) {
	const step = 50 * time.Millisecond
	for name, c := range map[string]struct {
		percent func(at time.Duration) int
		want    int
	}{
		"undisturbed":                {func(time.Duration) int { return 68 }, 68},
		"disturbed at the beginning": {func(at time.Duration) int { return disturbed(at < 600*time.Millisecond) }, 100},
		"disturbed 15% of the time":  {func(at time.Duration) int { return disturbed(at%(4*time.Second) < 600*time.Millisecond) }, 100},
		"slower for good":            {func(at time.Duration) int { return disturbed(at > 5*time.Second) }, 250},
		"one report in ten is false": {func(at time.Duration) int {
			if at/step%10 == 3 {
				return 1
			}
			return 100
		}, 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &Upstream{Speed: estimate.NewSpeed()}
			for at := time.Duration(0); at < 10*time.Second; at += step {
				u.ObserveLoad(now.Add(at), loadreport.Report{Slots: 5, WorkPercent: c.percent(at)})
			}
			is.Equal(u.TypicalWorkPercent(), c.want)
		})
	}
}

// disturbed returns the work time of an ordinary machine, disturbed or not.
func disturbed(d bool) int {
	if d {
		return 250
	}
	return 100
}

// A machine that was disturbed from the first report on is learned as slow. Once its usual state is
// known, its learned times must be those of that state.
func TestLearnedTimesFollowAShorterUsualWorkTime(t *testing.T) {
	is := is.New(t)
	u := engine("u", 10_000, 25*time.Millisecond, 0)
	before := u.Speed.PredictFirstToken(3000)
	reportWork(u, now, 250, 5)
	u.ObservePlainResponse(150 * time.Millisecond)
	reportWork(u, now.Add(10*time.Second), 100, maxWorkSamples)
	is.True(math.Abs(float64(u.Speed.PredictFirstToken(3000))/float64(before)-0.4) < 0.01)
	is.True((u.load.plainTime - 60*time.Millisecond).Abs() < time.Microsecond)
	learned := u.Speed
	reportWork(u, now.Add(20*time.Second), 250, maxWorkSamples)
	is.Equal(u.Speed, learned) // the way back is learned from responses
}

// While an engine is disturbed, long prompts and long responses go elsewhere.
func TestPickerAvoidsDisturbedEngine(t *testing.T) {
	for name, w := range map[string]Work{
		"late first token":     {PromptTokens: 3000, FirstTokenWithin: 200 * time.Millisecond, EndWithin: 12 * time.Second},
		"unlikely to complete": {PromptTokens: 100, ExpectedOutput: 150, MaxOutput: 300, FirstTokenWithin: 2 * time.Second, EndWithin: 1600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &ObjectivePicker{Weights: DefaultObjectiveWeights}
			a, b := engine("a", 20_000, 8*time.Millisecond, 0), engine("b", 20_000, 8*time.Millisecond, 2)
			list := []*Upstream{a, b}
			reportWork(a, now, 100, 10)
			reportWork(b, now, 100, 10)
			is.Equal(p.Pick(now, list, w).Upstream.ID, "a")
			a.ObserveLoad(now, loadreport.Report{Slots: 10, WorkPercent: 250})
			is.Equal(p.Pick(now, list, w).Upstream.ID, "b")
			is.Equal(p.Pick(now.Add(900*time.Millisecond), list, w).Upstream.ID, "a") // the disturbance is over
		})
	}
}

// The quick check for upstreams that are too slow goes by the usual speed and must not exclude one that
// is faster at the moment.
func TestFasterEngineIsNotExcludedByItsUsualSpeed(t *testing.T) {
	is := is.New(t)
	u := engine("u", 16_000, 10*time.Millisecond, 0)
	p := &CompletionProbabilities{MinTokens: 110}
	w := Work{EndWithin: time.Second}
	is.True(p.isTooSlow(u, w))
	reportWork(u, now, 100, 10)
	is.True(p.isTooSlow(u, w))
	u.ObserveLoad(now, loadreport.Report{Slots: 6, WorkPercent: 50})
	is.True(!p.isTooSlow(u, w))
}

// A plain request avoids an upstream that is slow at the moment or always, by the extra time. An
// upstream that falsely reports to be fast must not attract all requests.
func TestPickerAddsExtraTimeOfSlowPlainUpstream(t *testing.T) {
	const took = 60 * time.Millisecond
	for name, c := range map[string]struct {
		usual, last int
		took        time.Duration
		running     int // of the other one, which is ordinary
		want        string
	}{
		"ordinary, less crowded":                {100, 100, took, 1, "a"},
		"disturbed":                             {100, 250, took, 1, "b"},
		"disturbed, but the other is crowded":   {100, 250, took, 3, "a"},
		"always slow":                           {300, 300, 3 * took, 1, "b"},
		"always slow, but the other is crowded": {300, 300, 3 * took, 4, "a"},
		"falsely fast, and crowded":             {1, 1, took, -2, "b"},
		"without the figure":                    {0, 0, took, 1, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &ObjectivePicker{Weights: DefaultObjectiveWeights}
			a, b := &Upstream{ID: "a", Zone: "bole", Slots: 6}, &Upstream{ID: "b", Zone: "bole", Slots: 6}
			a.Running, b.Running = max(-c.running, 0), max(c.running, 0)
			reportWork(a, now, c.usual, 10)
			reportWork(b, now, min(c.usual*100, 100), 10)
			a.ObservePlainResponse(c.took)
			b.ObservePlainResponse(took)
			a.ObserveLoad(now, loadreport.Report{Slots: 6, WorkPercent: c.last})
			is.Equal(p.Pick(now, []*Upstream{a, b}, Work{Zone: "bole"}).Upstream.ID, c.want)
		})
	}
}

// Extra requests are granted only where no slot is free.
func TestPickerPrefersFreeSlot(t *testing.T) {
	is := is.New(t)
	p := &ObjectivePicker{Weights: DefaultObjectiveWeights}
	u := loadedUpstream()
	free := &Upstream{ID: "free", Zone: "bole", Slots: 6, Running: 5}
	is.Equal(p.Pick(now, []*Upstream{u, free}, Work{Zone: "bole"}).Upstream.ID, "free")
	free.Running = 6
	is.Equal(p.Pick(now, []*Upstream{u, free}, Work{Zone: "bole"}).Upstream.ID, "u")
}

// The state of a process moves with it to another shard. That of another process is not used.
func TestReportsMoveWithTheProcess(t *testing.T) {
	is := is.New(t)
	old := loadedUpstream()
	reportWork(old, now, 100, 10)
	old.ObserveLoad(now, loadreport.Report{Running: 4, Slots: 6, WorkPercent: 250})
	state := old.CopyState()
	same := &Upstream{ID: "u"}
	same.MoveFrom(now, state)
	is.Equal(same.load, old.load)
	is.Equal(same.WorkFactor(now, 0), 2.5)
	old.ObserveLoad(now, loadreport.Report{Slots: 6})
	is.Equal(same.WorkFactor(now, 0), 2.5) // it is a copy
	restarted := &Upstream{ID: "u", Incarnation: 1}
	restarted.MoveFrom(now, state)
	is.Equal(restarted.load, loadState{})
}

// BenchmarkLoad measures a choice among 1,000 upstreams, all of them reporting, and a load update.
// "Candidates" is the choice as the scheduler makes it, among the 16 upstreams with capacity. "Disturbed"
// is the worst case, in which all upstreams are.
func BenchmarkLoad(b *testing.B) {
	const n, free = 1000, 16
	w := Work{PromptTokens: 1000, ExpectedOutput: 200, MaxOutput: 400, Spread: NewSpread(0.48), FirstTokenWithin: time.Second, EndWithin: 12 * time.Second}
	p := &ObjectivePicker{Weights: DefaultObjectiveWeights}
	for _, state := range []struct {
		name    string
		percent int
	}{{"no work time", 0}, {"usual", 100}, {"disturbed", 250}} {
		list := make([]*Upstream, n)
		for i := range list {
			list[i] = engine(fmt.Sprint(i), 16_000, 13*time.Millisecond, 10)
			list[i].MaxBacklog = 2
			list[i].ObserveHold(400 * time.Millisecond)
			reportWork(list[i], now, min(state.percent, 100), 10)
			list[i].ObserveLoad(now, loadreport.Report{Running: 9, Waiting: 1, Slots: 10, WorkPercent: state.percent})
		}
		for i := range free {
			list[i].Running = 5
		}
		w.CompletionProbabilities = NewCompletionProbabilities(now, list, w)
		b.Run("choice/candidates/"+state.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(now, list[:free], w)
			}
		})
		b.Run("choice/all/"+state.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(now, list, w)
			}
		})
		b.Run("update/"+state.name, func(b *testing.B) {
			b.ReportAllocs()
			at, i := now, 0
			for b.Loop() {
				at, i = at.Add(time.Millisecond), i+1
				list[i%n].ObserveLoad(at, loadreport.Report{Running: 9, Slots: 10, WorkPercent: state.percent})
			}
		})
	}
}
