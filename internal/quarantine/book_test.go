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

func key(name string) Key { return KeyOf("crews", "POST", "h", "/"+name, nil) }

func newBook(owns bool) *Registry {
	return New(telemetry.NewLogger(io.Discard, "error", "test"), func(Key) bool { return owns })
}

// crashOf lets an upstream crash under some requests; those whose name ends in + had begun to be answered.
func crashOf(b *Registry, at time.Time, upstream string, names ...string) {
	for _, name := range names {
		k, begun := key(name), false
		if name[len(name)-1] == '+' {
			k, begun = key(name[:len(name)-1]), true
		}
		b.RecordLostResponse(at, upstream, k, begun)
	}
	b.RecordCrash(at, upstream)
}

func TestWhoIsHeldBack(t *testing.T) {
	type crashes map[string][]string // who was there, by upstream
	for name, c := range map[string]struct {
		crashes crashes
		held    []string
		free    []string
	}{
		"one crash says little":                        {crashes{"1": {"x"}}, nil, []string{"x"}},
		"two alone":                                    {crashes{"1": {"x"}, "2": {"x"}}, []string{"x"}, nil},
		"two, beside others each time":                 {crashes{"1": {"x", "a", "b+"}, "2": {"x", "c", "d+"}}, []string{"x"}, []string{"a", "b", "c", "d"}},
		"two at two crashes: which?":                   {crashes{"1": {"x", "y"}, "2": {"x", "y"}}, nil, []string{"x", "y"}},
		"the third tells":                              {crashes{"1": {"x", "y"}, "2": {"x", "y"}, "3": {"x"}}, []string{"x"}, []string{"y"}},
		"both at three: both":                          {crashes{"1": {"x", "y"}, "2": {"x", "y"}, "3": {"x", "y"}}, []string{"x", "y"}, nil},
		"one that was answering is suspected less":     {crashes{"1": {"x", "y+"}, "2": {"x", "y+"}}, []string{"x"}, []string{"y"}},
		"answering at three isn't enough":              {crashes{"1": {"y+"}, "2": {"y+"}, "3": {"y+"}}, nil, []string{"y"}},
		"answering at four is":                         {crashes{"1": {"y+"}, "2": {"y+"}, "3": {"y+"}, "4": {"y+"}}, []string{"y"}, nil},
		"a crash with a cause speaks against no other": {crashes{"1": {"x"}, "2": {"x", "a"}, "3": {"x", "a"}, "4": {"x", "a"}}, []string{"x"}, []string{"a"}},
		"each alone at one, both at two others: both":  {crashes{"1": {"x"}, "2": {"x", "a"}, "3": {"x", "a"}, "4": {"a"}}, []string{"x", "a"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBook(true)
			last := start
			for i, upstream := range slices.Sorted(maps.Keys(c.crashes)) {
				last = start.Add(time.Duration(i) * time.Second)
				crashOf(b, last, upstream, c.crashes[upstream]...)
			}
			now := last.Add(settleFor)
			for _, k := range c.held {
				is.True(b.Remaining(now, key(k)) > firstTerm-5*time.Second)
			}
			for _, k := range c.free {
				is.Equal(b.Remaining(now, key(k)), time.Duration(0))
			}
		})
	}
}

// Two instances see parts of one crash. Until each has heard of the other's part, neither may hold back
// the request that it has seen there.
func TestNothingIsHeldBackBeforeAllHaveTold(t *testing.T) {
	is := is.New(t)
	one, other := newBook(true), newBook(true)
	for i, upstream := range []string{"1", "2"} {
		at := start.Add(time.Duration(i-1) * time.Second)
		crashOf(one, at, upstream, "x")
		crashOf(other, at, upstream, "y", "x")
	}
	is.Equal(one.Remaining(start.Add(settleFor-1), key("x")), time.Duration(0))
	one.MergeUpdate(start.Add(settleFor/2), other.NextUpdate(start.Add(settleFor/2)))
	is.Equal(one.Remaining(start.Add(2*settleFor), key("x")), time.Duration(0)) // x or y
}

// A request that many callers send alike is answered all the time, and at any crash some of it is lost: it is
// held back only if it was at four crashes and never answered between them.
func TestARequestThatIsAnsweredOftenIsHardlySuspected(t *testing.T) {
	is := is.New(t)
	b := newBook(true)
	at := start
	b.RecordResponse(at, key("hot"))
	for i := range 3 {
		at = at.Add(time.Second)
		crashOf(b, at, fmt.Sprint("a", i), "hot")
	}
	is.Equal(b.Remaining(at.Add(settleFor), key("hot")), time.Duration(0))
	b.RecordResponse(at, key("hot"))
	for i := range 4 {
		at = at.Add(time.Second)
		crashOf(b, at, fmt.Sprint("b", i), "hot")
	}
	is.True(b.Remaining(at.Add(settleFor), key("hot")) > 0)
	for i := range 2 * answeredMost {
		b.RecordResponse(at, key(fmt.Sprint(i)))
	}
	is.True(!b.answered.has(key("hot"))) // it is bounded
}

// All upstreams of a service end at once, under whatever they answered.
func TestCrashesOfOneMomentCountOnce(t *testing.T) {
	is := is.New(t)
	b := newBook(true)
	for i := range 20 {
		crashOf(b, start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), "y+", fmt.Sprint("once", i))
	}
	is.Equal(b.Remaining(start.Add(time.Second), key("y")), time.Duration(0))
	for i := range 3 {
		crashOf(b, start.Add(time.Duration(i+1)*time.Second), fmt.Sprint("later", i), "y+")
	}
	is.True(b.Remaining(start.Add(4*time.Second), key("y")) > 0)
}

func TestAnAnsweredRequestIsNoCause(t *testing.T) {
	is := is.New(t)
	b := newBook(true)
	crashOf(b, start, "1", "x")
	is.True(b.RecordResponse(start.Add(time.Second), key("x")))
	is.True(!b.RecordResponse(start.Add(time.Second), key("x"))) // no news any more
	crashOf(b, start.Add(2*time.Second), "2", "x")
	is.Equal(b.Remaining(start.Add(3*time.Second), key("x")), time.Duration(0))
	for _, upstream := range []string{"3", "4", "5"} {
		crashOf(b, start.Add(4*time.Second), upstream, "x")
		b.crashes[upstream].at = start.Add(time.Duration(upstream[0]) * time.Second)
	}
	is.True(b.Remaining(start.Add(5*time.Second), key("x")) > 0) // since it was answered, four
	is.True(b.RecordResponse(start.Add(6*time.Second), key("x")))
	is.Equal(b.Remaining(start.Add(6*time.Second), key("x")), time.Duration(0)) // a run that was under way
	is.True(!b.RecordResponse(start, key("other")))
}

func TestALostAnswerAloneIsNoCrash(t *testing.T) {
	is := is.New(t)
	b := newBook(true)
	check, _ := b.RecordLostResponse(start, "1", key("x"), false)
	is.True(check)
	check, _ = b.RecordLostResponse(start, "1", key("y"), false)
	is.True(!check) // it is looked at already
	check, _ = b.RecordLostResponse(start.Add(2*checkEvery), "1", key("y"), false)
	is.True(check)
	is.True(!b.RecordCrash(start, "2"))                // nothing was lost there
	is.True(!b.RecordCrash(start.Add(2*lossFor), "1")) // what was lost so long before was lost otherwise
	b.RecordLostResponse(start.Add(2*lossFor), "1", key("x"), false)
	is.True(b.RecordCrash(start.Add(2*lossFor), "1"))
	_, news := b.RecordLostResponse(start.Add(2*lossFor), "1", key("z"), false)
	is.True(news) // lost in the same crash
}

// An upstream that lives and breaks connections for long is remembered for its last losses alone.
func TestLossesAreForgotten(t *testing.T) {
	is := is.New(t)
	b := newBook(true)
	for i := range 1000 {
		b.RecordLostResponse(start.Add(time.Duration(i)*100*time.Millisecond), "1", key("x"), false)
	}
	is.True(len(b.losses["1"]) <= 11)
}

// After a term one try is let through, by one instance; each that crashes an upstream makes the next
// term longer.
func TestOneTryIsLetThroughAfterATerm(t *testing.T) {
	is := is.New(t)
	owner, other := newBook(true), newBook(false)
	for _, b := range []*Registry{owner, other} {
		crashOf(b, start.Add(-time.Second), "1", "x")
		crashOf(b, start, "2", "x")
		is.Equal(b.Admit(start.Add(time.Second), key("x")), firstTerm-time.Second)
	}
	over := start.Add(firstTerm)
	is.Equal(other.Admit(over, key("x")), probeFor)
	is.Equal(owner.Admit(over, key("x")), time.Duration(0))
	is.Equal(owner.Remaining(over, key("x")), time.Duration(0)) // that one goes on
	is.Equal(owner.Admit(over.Add(time.Second), key("x")), probeFor)
	crashOf(owner, over.Add(2*time.Second), "3", "x")
	is.Equal(owner.Remaining(over.Add(2*time.Second), key("x")), termFactor*firstTerm)
	other.MergeUpdate(over.Add(2*time.Second), owner.NextUpdate(over.Add(2*time.Second)))
	is.Equal(other.Remaining(over.Add(2*time.Second), key("x")), termFactor*firstTerm)
	crashOf(owner, over.Add(3*time.Second), "4", "x") // under way since before
	is.Equal(owner.Remaining(over.Add(3*time.Second), key("x")), termFactor*firstTerm-time.Second)
	is.Equal(termOf(9), longestTerm)
}

// Instances see parts of three crashes, and tell each other in any order, late, twice or not at all for a
// while. All come to the same belief, and it doesn't drift with the time that messages take.
func TestInstancesAgreeWhateverTheOrderOfNews(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, seed))
		books := []*Registry{newBook(false), newBook(false), newBook(false)}
		for crash := range 3 {
			at := start.Add(time.Duration(crash) * time.Second)
			for i, b := range books {
				there := []string{fmt.Sprintf("n%d-%d", crash, i)}
				if i == random.IntN(len(books)) || i == crash {
					there = append(there, "x")
				}
				crashOf(b, at, fmt.Sprint(crash), there...)
			}
		}
		now := start.Add(3 * time.Second)
		for range 400 {
			from, to := random.IntN(3), random.IntN(3)
			news := books[from].NextUpdate(now)
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond) // on the way
			books[to].MergeUpdate(now, news)
		}
		for i, b := range books {
			left := b.Remaining(now, key("x"))
			late := left - (start.Add(2*time.Second + firstTerm).Sub(now))
			if late < -time.Second || late > time.Second {
				t.Errorf("seed %d: instance %d holds x back %v longer than others may", seed, i, late)
			}
			if n := len(b.held); n != 1 {
				t.Errorf("seed %d: instance %d holds %d requests back", seed, i, n)
			}
		}
	}
}

// What is cleared stays so however late the old news comes.
func TestOldNewsBringsNoSuspicionBack(t *testing.T) {
	is := is.New(t)
	one, other := newBook(true), newBook(true)
	crashOf(one, start.Add(-time.Second), "1", "x")
	crashOf(one, start, "2", "x")
	is.True(one.Remaining(start.Add(time.Second), key("x")) > 0)
	old := one.NextUpdate(start.Add(time.Second))
	one.RecordResponse(start.Add(2*time.Second), key("x"))
	other.MergeUpdate(start.Add(2*time.Second), old)
	is.True(other.Remaining(start.Add(2*time.Second), key("x")) > 0)
	is.True(other.MergeUpdate(start.Add(3*time.Second), one.NextUpdate(start.Add(3*time.Second))))
	is.Equal(other.Remaining(start.Add(3*time.Second), key("x")), time.Duration(0))
	for range 20 { // there and back, a second each time
		one.MergeUpdate(start.Add(3*time.Second), old)
		other.MergeUpdate(start.Add(3*time.Second), old)
	}
	is.Equal(one.Remaining(start.Add(4*time.Second), key("x")), time.Duration(0))
	is.Equal(other.Remaining(start.Add(4*time.Second), key("x")), time.Duration(0))
}

// One organisation's crashing requests push out no other's.
func TestOneOrganisationFillsOnlyItsOwnPart(t *testing.T) {
	is := is.New(t)
	b := newBook(true)
	crashOf(b, start.Add(-time.Second), "1", "x")
	crashOf(b, start, "2", "x")
	is.True(b.Remaining(start.Add(time.Second), key("x")) > 0)
	for i := range 3 * maxHeld {
		k := KeyOf("others", "POST", "h", fmt.Sprint(i), nil)
		at := start.Add(time.Duration(i) * time.Millisecond)
		for n := range 2 {
			upstream := fmt.Sprintf("%d-%d", i, n)
			at = at.Add(sameMoment)
			b.RecordLostResponse(at, upstream, k, false)
			b.RecordCrash(at, upstream)
		}
		b.Remaining(at.Add(settleFor), k)
	}
	is.True(b.Remaining(start.Add(time.Second), key("x")) > 0)
	is.Equal(len(b.held), 1+maxOfOrganisation)
	is.Equal(len(b.crashes), maxCrashes)
}

func TestNewsIsBounded(t *testing.T) {
	is := is.New(t)
	b := newBook(true)
	for i := range 100 {
		var there []string
		for n := range 40 {
			there = append(there, fmt.Sprintf("%d-%d", i, n))
		}
		crashOf(b, start, fmt.Sprint(i), there...)
	}
	news := b.NextUpdate(start)
	is.True(news.IsValid())
	encoded, err := cbor.Marshal(news)
	is.NoErr(err)
	is.True(len(encoded) < 8<<10)
	for range 100 { // all come in turn
		news = b.NextUpdate(start.Add(newFor))
		is.True(len(news.Crashes) <= toldInTurn)
	}
	is.True(b.NextUpdate(start.Add(crashFor+time.Second)) == nil)
}

// More crashes than are kept, known to instances in parts. What one has dropped another one still tells;
// it must not come back, be news, and be told on.
//
// Seen on a day of 76 crashes with 63 instances: each re-learned what it had just dropped, announced it, and
// so on, 900,000 times, until the fleet did nothing else.
func TestMoreCrashesThanAreKeptSettle(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	books := make([]*Registry, 8)
	for i := range books {
		books[i] = newBook(true)
	}
	now := start
	news := 0
	talk := func(rounds int) {
		news = 0
		for range rounds {
			from, to := books[random.IntN(len(books))], books[random.IntN(len(books))]
			told := from.NextUpdate(now)
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond) // on the way
			if to.MergeUpdate(now, told) {
				news++
			}
		}
	}
	for moment := range 8 { // of many crashes each
		for i := range 11 {
			crashOf(books[random.IntN(len(books))], now, fmt.Sprint(moment, "-", i), fmt.Sprint("k", moment, "-", i))
		}
		talk(500)
	}
	talk(100)
	is.True(news <= 5)
	for _, b := range books {
		is.True(len(b.crashes) <= maxCrashes)
	}
}

func TestKeysTellRequestsApart(t *testing.T) {
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

func FuzzLearn(f *testing.F) {
	b := newBook(true)
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
		b := newBook(true)
		b.MergeUpdate(start, &n)
		if told := b.NextUpdate(start); told != nil && !told.IsValid() {
			t.Errorf("tells what it wouldn't take: %+v", told)
		}
	})
}
