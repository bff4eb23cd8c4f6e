package quarantine

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/telemetry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func key(name string) Request {
	return Request{Key: KeyOf("crews", "POST", "h", "/"+name, nil)}
}

func newRegistry(owns bool) *Registry {
	return New(telemetry.NewLogger(io.Discard, "error", "test"), func(Key) bool { return owns })
}

// crashOf records the crash of an upstream with the given requests. A name that ends in + stands
// for a request whose response had started.
func crashOf(b *Registry, at time.Time, upstream string, names ...string) {
	for _, name := range names {
		k, started := key(name), false
		if name[len(name)-1] == '+' {
			k, started = key(name[:len(name)-1]), true
		}
		b.RecordLostResponse(at, upstream, k, started)
	}
	b.RecordCrash(at, upstream)
}

func TestWhichRequestsAreQuarantined(t *testing.T) {
	type crashes map[string][]string // requests that were there, by upstream
	for name, c := range map[string]struct {
		crashes     crashes
		quarantined []string
		free        []string
	}{
		"one crash is not enough":                            {crashes{"1": {"x"}}, nil, []string{"x"}},
		"two crashes, no other suspect":                      {crashes{"1": {"x"}, "2": {"x"}}, []string{"x"}, nil},
		"two crashes, each with different others":            {crashes{"1": {"x", "a", "b+"}, "2": {"x", "c", "d+"}}, []string{"x"}, []string{"a", "b", "c", "d"}},
		"two requests at two crashes: undecided":             {crashes{"1": {"x", "y"}, "2": {"x", "y"}}, nil, []string{"x", "y"}},
		"a third crash decides":                              {crashes{"1": {"x", "y"}, "2": {"x", "y"}, "3": {"x"}}, []string{"x"}, []string{"y"}},
		"both at three crashes: both":                        {crashes{"1": {"x", "y"}, "2": {"x", "y"}, "3": {"x", "y"}}, []string{"x", "y"}, nil},
		"a started response is weaker evidence":              {crashes{"1": {"x", "y+"}, "2": {"x", "y+"}}, []string{"x"}, []string{"y"}},
		"started at three crashes is not enough":             {crashes{"1": {"y+"}, "2": {"y+"}, "3": {"y+"}}, nil, []string{"y"}},
		"started at four crashes is enough":                  {crashes{"1": {"y+"}, "2": {"y+"}, "3": {"y+"}, "4": {"y+"}}, []string{"y"}, nil},
		"a crash with a cause is no evidence against others": {crashes{"1": {"x"}, "2": {"x", "a"}, "3": {"x", "a"}, "4": {"x", "a"}}, []string{"x"}, []string{"a"}},
		"each alone at one crash, both at two others: both":  {crashes{"1": {"x"}, "2": {"x", "a"}, "3": {"x", "a"}, "4": {"a"}}, []string{"x", "a"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newRegistry(true)
			last := start
			for i, upstream := range slices.Sorted(maps.Keys(c.crashes)) {
				last = start.Add(time.Duration(i) * time.Second)
				crashOf(b, last, upstream, c.crashes[upstream]...)
			}
			now := last.Add(settleTime)
			for _, k := range c.quarantined {
				is.True(b.Remaining(now, key(k)) > initialPeriod-5*time.Second)
			}
			for _, k := range c.free {
				is.Equal(b.Remaining(now, key(k)), time.Duration(0))
			}
		})
	}
}

// Two instances see different requests of one crash. Until each has received the other's update,
// neither may quarantine the request that it has seen there.
func TestNoVerdictBeforeAllInstancesHaveReported(t *testing.T) {
	is := is.New(t)
	one, other := newRegistry(true), newRegistry(true)
	for i, upstream := range []string{"1", "2"} {
		at := start.Add(time.Duration(i-1) * time.Second)
		crashOf(one, at, upstream, "x")
		crashOf(other, at, upstream, "y", "x")
	}
	is.Equal(one.Remaining(start.Add(settleTime-1), key("x")), time.Duration(0))
	one.Merge(start.Add(settleTime/2), other.NextUpdate(start.Add(settleTime/2)))
	is.Equal(one.Remaining(start.Add(2*settleTime), key("x")), time.Duration(0)) // x or y
}

// A request that many callers send identically is answered all the time, and some of its responses
// are lost at any crash: it is quarantined only after four crashes without a response between them.
func TestFrequentlyAnsweredRequestNeedsFourCrashes(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	at := start
	b.RecordResponse(at, key("hot"))
	for i := range 3 {
		at = at.Add(time.Second)
		crashOf(b, at, fmt.Sprint("a", i), "hot")
	}
	is.Equal(b.Remaining(at.Add(settleTime), key("hot")), time.Duration(0))
	b.RecordResponse(at, key("hot"))
	for i := range 4 {
		at = at.Add(time.Second)
		crashOf(b, at, fmt.Sprint("b", i), "hot")
	}
	is.True(b.Remaining(at.Add(settleTime), key("hot")) > 0)
	for i := range 2 * maxRecentResponses {
		b.RecordResponse(at, key(fmt.Sprint(i)))
	}
	is.True(!b.responses.has(key("hot").Key)) // the memory is bounded
}

// All upstreams of a service terminate at once, whatever they were running.
func TestSimultaneousCrashesCountOnceAgainstAStartedResponse(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	for i := range 20 {
		crashOf(b, start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), "y+", fmt.Sprint("once", i))
	}
	is.Equal(b.Remaining(start.Add(time.Second), key("y")), time.Duration(0))
	for i := range 3 {
		crashOf(b, start.Add(time.Duration(i+1)*time.Second), fmt.Sprint("later", i), "y+")
	}
	is.True(b.Remaining(start.Add(4*time.Second), key("y")) > 0)
}

func TestAnsweredRequestIsNoCause(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	crashOf(b, start, "1", "x")
	is.True(b.RecordResponse(start.Add(time.Second), key("x")))
	is.True(!b.RecordResponse(start.Add(time.Second), key("x"))) // no change
	crashOf(b, start.Add(2*time.Second), "2", "x")
	is.Equal(b.Remaining(start.Add(3*time.Second), key("x")), time.Duration(0))
	for _, upstream := range []string{"3", "4", "5"} {
		crashOf(b, start.Add(4*time.Second), upstream, "x")
		b.crashes[upstream].at = start.Add(time.Duration(upstream[0]) * time.Second)
	}
	is.True(b.Remaining(start.Add(5*time.Second), key("x")) > 0) // four crashes since the response
	is.True(b.RecordResponse(start.Add(6*time.Second), key("x")))
	is.Equal(b.Remaining(start.Add(6*time.Second), key("x")), time.Duration(0)) // answered by an upstream that was still running it
	is.True(!b.RecordResponse(start, key("other")))
}

func TestLostResponseAloneIsNoCrash(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	check, _ := b.RecordLostResponse(start, "1", key("x"), false)
	is.True(check)
	check, _ = b.RecordLostResponse(start, "1", key("y"), false)
	is.True(!check) // a diagnosis is due already
	check, _ = b.RecordLostResponse(start.Add(2*checkInterval), "1", key("y"), false)
	is.True(check)
	is.True(!b.RecordCrash(start, "2"))                   // no response was lost there
	is.True(!b.RecordCrash(start.Add(2*lossWindow), "1")) // the loss is too old to belong to the crash
	b.RecordLostResponse(start.Add(2*lossWindow), "1", key("x"), false)
	is.True(b.RecordCrash(start.Add(2*lossWindow), "1"))
	_, changed := b.RecordLostResponse(start.Add(2*lossWindow), "1", key("z"), false)
	is.True(changed) // lost in the same crash
}

// A connection that is refused is evidence only where a response ended or was lost just before.
func TestUpstreamThatRefusesConnectionsIsDiagnosedAfterALoss(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	is.True(!b.NeedsDiagnosis(start, "1")) // nothing ended there
	b.RecordUnstatedEnd(start, "1", key("x"), false)
	is.True(b.NeedsDiagnosis(start, "1"))
	is.True(!b.NeedsDiagnosis(start, "1")) // one is running
	is.True(b.NeedsDiagnosis(start.Add(2*checkInterval), "1"))
	is.True(!b.NeedsDiagnosis(start.Add(2*lossWindow), "1"))
}

// An upstream that stays alive and breaks connections for a long time keeps only its last losses in
// memory.
func TestLossesExpire(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	for i := range 1000 {
		b.RecordLostResponse(start.Add(time.Duration(i)*100*time.Millisecond), "1", key("x"), false)
	}
	is.True(len(b.losses["1"]) <= 11)
}

// After a quarantine period one instance lets one probe through; each probe that crashes an
// upstream lengthens the next period.
func TestOneProbeIsLetThroughAfterAQuarantinePeriod(t *testing.T) {
	is := is.New(t)
	owner, other := newRegistry(true), newRegistry(false)
	for _, b := range []*Registry{owner, other} {
		crashOf(b, start.Add(-time.Second), "1", "x")
		crashOf(b, start, "2", "x")
		is.Equal(b.Admit(start.Add(time.Second), key("x")), initialPeriod-time.Second)
	}
	over := start.Add(initialPeriod)
	is.Equal(other.Admit(over, key("x")), probeTimeout)
	is.Equal(owner.Admit(over, key("x")), time.Duration(0))
	is.Equal(owner.Remaining(over, key("x")), time.Duration(0)) // the probe may go on
	is.Equal(owner.Admit(over.Add(time.Second), key("x")), probeTimeout)
	crashOf(owner, over.Add(2*time.Second), "3", "x")
	is.Equal(owner.Remaining(over.Add(2*time.Second), key("x")), periodFactor*initialPeriod)
	other.Merge(over.Add(2*time.Second), owner.NextUpdate(over.Add(2*time.Second)))
	is.Equal(other.Remaining(over.Add(2*time.Second), key("x")), periodFactor*initialPeriod)
	crashOf(owner, over.Add(3*time.Second), "4", "x") // was still running since before
	is.Equal(owner.Remaining(over.Add(3*time.Second), key("x")), periodFactor*initialPeriod-time.Second)
	is.Equal(periodLength(9), maxPeriod)
}

// Instances see different requests of three crashes, and exchange updates in any order, late,
// twice, or not at all for a while. All reach the same verdict, and the end of the period doesn't
// drift with message delays.
func TestInstancesAgreeWhateverTheOrderOfUpdates(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, seed))
		registries := []*Registry{newRegistry(false), newRegistry(false), newRegistry(false)}
		for crash := range 3 {
			at := start.Add(time.Duration(crash) * time.Second)
			for i, b := range registries {
				there := []string{fmt.Sprintf("n%d-%d", crash, i)}
				if i == random.IntN(len(registries)) || i == crash {
					there = append(there, "x")
				}
				crashOf(b, at, fmt.Sprint(crash), there...)
			}
		}
		now := start.Add(3 * time.Second)
		for range 400 {
			from, to := random.IntN(3), random.IntN(3)
			update := registries[from].NextUpdate(now)
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond) // message delay
			registries[to].Merge(now, update)
		}
		for i, b := range registries {
			left := b.Remaining(now, key("x"))
			late := left - (start.Add(2*time.Second + initialPeriod).Sub(now))
			if late < -time.Second || late > time.Second {
				t.Errorf("seed %d: instance %d quarantines x for %v longer than the crashes allow", seed, i, late)
			}
			if n := len(b.quarantined); n != 1 {
				t.Errorf("seed %d: instance %d quarantines %d requests, want 1", seed, i, n)
			}
		}
	}
}

// A clearing outlasts older updates, however late they arrive.
func TestOldUpdatesRestoreNoSuspicion(t *testing.T) {
	is := is.New(t)
	one, other := newRegistry(true), newRegistry(true)
	crashOf(one, start.Add(-time.Second), "1", "x")
	crashOf(one, start, "2", "x")
	is.True(one.Remaining(start.Add(time.Second), key("x")) > 0)
	old := one.NextUpdate(start.Add(time.Second))
	one.RecordResponse(start.Add(2*time.Second), key("x"))
	other.Merge(start.Add(2*time.Second), old)
	is.True(other.Remaining(start.Add(2*time.Second), key("x")) > 0)
	is.True(other.Merge(start.Add(3*time.Second), one.NextUpdate(start.Add(3*time.Second))))
	is.Equal(other.Remaining(start.Add(3*time.Second), key("x")), time.Duration(0))
	for range 20 { // repeated delivery of an old update
		one.Merge(start.Add(3*time.Second), old)
		other.Merge(start.Add(3*time.Second), old)
	}
	is.Equal(one.Remaining(start.Add(4*time.Second), key("x")), time.Duration(0))
	is.Equal(other.Remaining(start.Add(4*time.Second), key("x")), time.Duration(0))
}

// The crashing requests of one organisation don't displace those of another.
func TestOneOrganisationFillsOnlyItsOwnShare(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	crashOf(b, start.Add(-time.Second), "1", "x")
	crashOf(b, start, "2", "x")
	is.True(b.Remaining(start.Add(time.Second), key("x")) > 0)
	for i := range 3 * maxQuarantined {
		k := Request{Key: KeyOf("others", "POST", "h", fmt.Sprint(i), nil)}
		at := start.Add(time.Second + time.Duration(i)*(2*simultaneousWindow+settleTime))
		for n := range 2 {
			upstream := fmt.Sprintf("%d-%d", i, n)
			at = at.Add(simultaneousWindow)
			b.RecordLostResponse(at, upstream, k, false)
			b.RecordCrash(at, upstream)
		}
		b.Remaining(at.Add(settleTime), k)
	}
	is.True(b.Remaining(start.Add(time.Second), key("x")) > 0)
	is.Equal(len(b.quarantined), 1+maxPerOrganisation)
	is.Equal(len(b.crashes), maxCrashes)
}

// A verdict for which the bounds leave no room must not be reached again and again: the registry would examine
// the same evidence forever, with its lock held.
func TestVerdictWithoutRoomEnds(t *testing.T) {
	for name, segment := range map[string]string{"a request": "", "a segment": "P"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newRegistry(true)
			for i := range maxPerOrganisation {
				b.quarantine(key(fmt.Sprint(i)).Key, period{until: start.Add(maxPeriod), count: 3})
			}
			for i := range 3 {
				promptCrash(b, start.Add(time.Duration(i)*time.Second), fmt.Sprint(i), fmt.Sprintf("%d:%s", i%2, segment))
			}
			b.Remaining(start.Add(3*time.Second), key("x"))
			is.Equal(len(b.quarantined), maxPerOrganisation)
		})
	}
}

func TestUpdatesAreBounded(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	for i := range 100 {
		var there []string
		for n := range 40 {
			there = append(there, fmt.Sprintf("%d-%d", i, n))
		}
		crashOf(b, start, fmt.Sprint(i), there...)
	}
	update := b.NextUpdate(start)
	is.True(update.IsValid())
	encoded, err := cbor.Marshal(update)
	is.NoErr(err)
	is.True(len(encoded) < 8<<10)
	for range 100 { // older crashes are sent round-robin
		update = b.NextUpdate(start.Add(recentWindow))
		is.True(len(update.Crashes) <= maxOlder)
	}
	is.True(b.NextUpdate(start.Add(crashRetention+time.Second)) == nil)
}

// There are more crashes than instances store, and each instance knows different ones. A crash that
// one instance has dropped is still sent by another; it must not be stored again, count as a change
// and be sent on.
//
// With 76 crashes and 63 instances each instance stored again what it had just dropped and
// announced it, 900,000 times in all, until the fleet did nothing else.
func TestDroppedCrashesAreNotExchangedForever(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	registries := make([]*Registry, 8)
	for i := range registries {
		registries[i] = newRegistry(true)
	}
	now := start
	changes := 0
	exchange := func(rounds int) {
		changes = 0
		for range rounds {
			from, to := registries[random.IntN(len(registries))], registries[random.IntN(len(registries))]
			update := from.NextUpdate(now)
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond) // message delay
			if to.Merge(now, update) {
				changes++
			}
		}
	}
	for burst := range 8 { // bursts of several crashes
		for i := range 11 {
			crashOf(registries[random.IntN(len(registries))], now, fmt.Sprint(burst, "-", i), fmt.Sprint("k", burst, "-", i))
		}
		exchange(500)
	}
	exchange(100)
	is.True(changes <= 5)
	for _, b := range registries {
		is.True(len(b.crashes) <= maxCrashes)
	}
}

func TestKeysDistinguishRequests(t *testing.T) {
	is := is.New(t)
	same := KeyOf("o", "POST", "h", "/a", []byte("b"))
	is.Equal(KeyOf("o", "POST", "h", "/a", []byte("b")), same)
	for _, other := range []Key{
		KeyOf("p", "POST", "h", "/a", []byte("b")), KeyOf("o", "PUT", "h", "/a", []byte("b")), KeyOf("o", "POST", "i", "/a", []byte("b")),
		KeyOf("o", "POST", "h", "/ab", nil), KeyOf("o", "POST", "h", "/a", []byte("c")), KeyOf("o", "POST", "h/", "a", []byte("b")),
	} {
		is.True(other != same)
	}
}

func FuzzMerge(f *testing.F) {
	b := newRegistry(true)
	crashOf(b, start, "1", "x", "y+")
	crashOf(b, start, "2", "x")
	encoded, err := cbor.Marshal(b.NextUpdate(start.Add(time.Second)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, content []byte) {
		var n Update
		if cbor.Unmarshal(content, &n) != nil || !n.IsValid() {
			return
		}
		b := newRegistry(true)
		b.Merge(start, &n)
		if update := b.NextUpdate(start); update != nil && !update.IsValid() {
			t.Errorf("NextUpdate returned an invalid update: %+v", update)
		}
	})
}

// A request that many callers send alike is at three crashes within moments, beside the one that causes them. It must
// not be quarantined before a response to it can show that it isn't the cause; the other one is.
func TestFrequentRequestIsNotQuarantinedBeforeItIsAnswered(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	at := start
	for i := range 3 {
		at = start.Add(time.Duration(i) * 60 * time.Millisecond)
		crashOf(b, at, fmt.Sprint(i), "bad", "hot")
	}
	is.Equal(b.Remaining(at, key("hot")), time.Duration(0))
	b.RecordResponse(at.Add(settleTime/2), key("hot"))
	is.Equal(b.Remaining(at.Add(settleTime), key("hot")), time.Duration(0))
	is.True(b.Remaining(at.Add(settleTime), key("bad")) > 0)
	crashOf(b, at.Add(time.Second), "3", "alone", "hot")
	crashOf(b, at.Add(time.Second), "4", "alone")
	crashOf(b, at.Add(time.Second), "5", "alone")
	is.True(b.Remaining(at.Add(time.Second), key("alone")) > 0) // at once, where no other request explains them as well
}
