package retryschedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

// refused returns a request with a deadline in the given time, of a rank that is mostly refused.
func refused(digest uint64, left time.Duration) Request {
	return Request{Digest: digest, Deadline: start.Add(left), GrantShare: 0.1, EarlyDelay: 100 * ms}
}

// A caller is told an early time if a retry is likely granted, since a late response is worth 0.3
// of one in time, and a late time otherwise, since an early retry would meet the same burst.
func TestDelay(t *testing.T) {
	for name, c := range map[string]struct {
		share, left, early, want time.Duration // share in percent
	}{
		"mostly granted: early":                      {share: 31, left: 12000 * ms, early: 100 * ms, want: 100 * ms},
		"at the threshold: late":                     {share: 30, left: 12000 * ms, early: 100 * ms, want: 2000 * ms},
		"deadline of 12 s, bursts of 2.5 to 6 s":     {share: 5, left: 12000 * ms, early: 100 * ms, want: 2000 * ms},
		"deadline of 1.5 s":                          {share: 5, left: 1500 * ms, early: 100 * ms, want: 250 * ms},
		"deadline of 0.8 s":                          {share: 5, left: 780 * ms, early: 100 * ms, want: 130 * ms},
		"the queue drains after half of the span":    {share: 5, left: 12000 * ms, early: 3100 * ms, want: 3100 * ms},
		"the queue drains after the span":            {share: 5, left: 12000 * ms, early: 9000 * ms, want: 3980 * ms},
		"early delay that exceeds the span, granted": {share: 90, left: 12000 * ms, early: 9000 * ms, want: 9000 * ms},
		"no time for a late retry":                   {share: 5, left: 330 * ms, early: 100 * ms, want: 100 * ms},
		"deadline has passed":                        {share: 5, left: -ms, early: 100 * ms, want: 100 * ms},
		"deadline of an hour":                        {share: 5, left: time.Hour, early: 100 * ms, want: 30000 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := refused(1, c.left)
			r.GrantShare, r.EarlyDelay = float64(c.share)/100, c.early
			is.Equal(New(Options{}).Refused(start, r), c.want)
		})
	}
}

// A retry counts as returning from 200 ms before the time told, and no longer 2 s after it. A
// caller that ignores the time counts as new, also with a short delay.
func TestReturning(t *testing.T) {
	for name, c := range map[string]struct {
		share float64
		after time.Duration
		want  Counts
	}{
		"at the time told":               {0.1, 2000 * ms, Counts{ToldLate: 1, ReturnedOnTime: 1}},
		"200 ms early":                   {0.1, 1800 * ms, Counts{ToldLate: 1, ReturnedOnTime: 1}},
		"earlier than that":              {0.1, 1799 * ms, Counts{ToldLate: 1, ReturnedEarly: 1}},
		"2 s late":                       {0.1, 4000 * ms, Counts{ToldLate: 1, ReturnedOnTime: 1}},
		"later than that":                {0.1, 4001 * ms, Counts{ToldLate: 1}},
		"early time":                     {0.9, 100 * ms, Counts{ToldEarly: 1, ReturnedOnTime: 1}},
		"at once in spite of 100 ms":     {0.9, 3 * ms, Counts{ToldEarly: 1, ReturnedEarly: 1}},
		"after half of the time of 0.1s": {0.9, 50 * ms, Counts{ToldEarly: 1, ReturnedOnTime: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(Options{})
			r := refused(7, 12*time.Second)
			r.GrantShare = c.share
			s.Refused(start, r)
			is.Equal(s.Returning(start.Add(c.after), 7) != NotReturning, c.want.ReturnedOnTime == 1)
			is.Equal(s.Counts()[0], c.want)
			is.Equal(s.Returning(start.Add(2*time.Second), 7), NotReturning) // an entry is used once
		})
	}
}

// A caller that can't honour the delay told comes at the end of the span that it honours. It must
// be recognised then.
func TestCallerWithLessTimeThanTheDelayIsRecognised(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	r := refused(7, 3*time.Second)
	r.GrantShare, r.EarlyDelay = 0.9, 10*time.Second
	is.Equal(s.Refused(start, r), 10*time.Second)
	is.Equal(s.Returning(start.Add(time.Second), 7), Late)
}

// A retry whose response may still be in time must be told apart from one whose response is late
// anyway: the second waits behind new requests.
func TestReturnsInTimeAndLate(t *testing.T) {
	for name, c := range map[string]struct {
		share     float64
		objective time.Duration
		after     time.Duration
		want      Return
	}{
		"told early":                         {0.9, 470 * ms, 106 * ms, InTime},
		"told early, with a short objective": {0.9, 100 * ms, 106 * ms, Late},
		"told early, without an objective":   {0.9, 0, 106 * ms, Late},
		"told late":                          {0.1, 470 * ms, 2000 * ms, Late},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(Options{})
			r := refused(7, 12*time.Second)
			r.GrantShare = c.share
			if c.objective > 0 {
				r.InTimeUntil = start.Add(c.objective)
			}
			s.Refused(start, r)
			is.Equal(s.Returning(start.Add(c.after), 7), c.want)
		})
	}
}

func TestUnknownRequestIsNotReturning(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	is.Equal(s.Returning(start, 7), NotReturning)
	s.Refused(start, refused(0, 12*time.Second))
	is.Equal(s.Returning(start.Add(2*time.Second), 0), NotReturning)
	is.Equal(len(s.byDigest), 0)
}

// The caller of a returning request has no retry left. A booking would keep others from its time,
// and make a later request with this content wait behind new ones.
func TestRequestRefusedAgainIsNotBooked(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	r := refused(7, 12*time.Second)
	r.Returned, r.Rank = true, 9
	is.Equal(s.Refused(start, r), 2*time.Second)
	is.Equal(len(s.byDigest), 0)
	is.Equal(s.Counts()[Ranks-1], Counts{ToldLate: 1, RefusedAgain: 1})
}

// Requests that are displaced at once, as when a request of a higher rank is refused, must not
// return together: their number at each time differs by at most one.
func TestRequestsRefusedTogetherReturnSpread(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	at := map[time.Duration]int{}
	for i := range 50 {
		at[s.Refused(start, refused(uint64(i+1), 12*time.Second))]++
	}
	is.Equal(len(at), 20) // 2 s in steps of 100 ms
	for _, n := range at {
		is.True(n == 2 || n == 3)
	}
}

// A retry that came early no longer comes at the time told, so that time is free again.
func TestEarlyReturnFreesItsTime(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	first := s.Refused(start, refused(1, 12*time.Second))
	is.True(s.Refused(start, refused(2, 12*time.Second)) != first)
	s.Returning(start, 1)
	is.Equal(s.Refused(start, refused(3, 12*time.Second)), first)
}

func TestOldestEntryIsDroppedFirst(t *testing.T) {
	is := is.New(t)
	s := New(Options{MaxEntries: 2})
	for digest := range uint64(3) {
		s.Refused(start, refused(digest+1, 12*time.Second))
	}
	back := start.Add(2200 * ms)
	is.Equal(s.Returning(back, 1), NotReturning)
	is.Equal(s.Returning(back, 2), Late)
	is.Equal(s.Returning(back, 3), Late)
}

// told is what the test remembers of a refusal.
type told struct{ from, until time.Time }

// For random refusals and returns: a delay is never longer than the caller honours unless the early
// delay is, a request is recognised exactly in its window, the table stays bounded, and the counts
// of booked times agree with the entries.
func TestScheduleAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Options{MaxEntries: 64})
		now := start
		model := map[uint64]told{}
		for range rapid.IntRange(1, 60).Draw(t, "operations") { // fewer than MaxEntries: none is dropped
			now = now.Add(time.Duration(rapid.IntRange(0, 40_000).Draw(t, "ms")) * ms / 10)
			digest := uint64(rapid.IntRange(1, 12).Draw(t, "digest"))
			if rapid.Bool().Draw(t, "returns") {
				want, known := model[digest]
				inWindow := known && !now.Before(want.from) && !now.After(want.until)
				if (s.Returning(now, digest) != NotReturning) != inWindow {
					t.Fatalf("returning: %v, want %v", !inWindow, inWindow)
				}
				delete(model, digest)
				continue
			}
			left := time.Duration(rapid.IntRange(1, 400_000).Draw(t, "left")) * ms
			r := Request{Digest: digest, Deadline: now.Add(left), GrantShare: rapid.Float64Range(0, 1).Draw(t, "share"), EarlyDelay: time.Duration(rapid.IntRange(100, 60_000).Draw(t, "early")) * ms}
			delay := s.Refused(now, r)
			checkDelay(t, r, left, delay)
			comes := min(delay, left/3)
			model[digest] = told{now.Add(comes - min(200*ms, comes/2)), now.Add(comes + 2*time.Second)}
			checkTable(t, s)
		}
	})
}

func checkDelay(t *rapid.T, r Request, left, delay time.Duration) {
	if r.GrantShare > 0.3 && delay != r.EarlyDelay {
		t.Fatalf("a rank that is mostly granted was told %v instead of %v", delay, r.EarlyDelay)
	}
	if delay != r.EarlyDelay && (delay >= left/3 || delay < min(left/6, 30*time.Second)-20*ms) {
		t.Fatalf("told %v with %v left", delay, left)
	}
}

// checkTable compares the counts of booked times with the entries.
func checkTable(t *rapid.T, s *Schedule) {
	if len(s.byDigest) > s.maxEntries {
		t.Fatalf("%d entries", len(s.byDigest))
	}
	want := map[int64]int{}
	for digest, i := range s.byDigest {
		if s.entries[i].digest != digest {
			t.Fatalf("entry %d is not of digest %d", i, digest)
		}
		want[int64(s.entries[i].at/step)]++
	}
	for _, b := range s.bins {
		if b.booked != 0 && b.booked != want[b.number] {
			t.Fatalf("step %d counts %d, has %d", b.number, b.booked, want[b.number])
		}
	}
}

// The table must hold no more entries than its bound, and a full one must not allocate: an owner
// refuses hundreds of requests per second in a burst.
func TestFullTableDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	s := New(Options{MaxEntries: 256})
	digest := uint64(0)
	refuse := func() {
		digest++
		s.Refused(start, refused(digest, 12*time.Second))
		s.Returning(start, digest-100)
	}
	for range 1000 {
		refuse()
	}
	is.Equal(testing.AllocsPerRun(1, func() {
		for range 20_000 {
			refuse()
		}
	}), 0.0)
	is.True(len(s.byDigest) <= 256)
}

// BenchmarkSchedule refuses a request and looks up another in a full table, with the spans of a
// deadline of 12 s and of the longest.
func BenchmarkSchedule(b *testing.B) {
	for name, left := range map[string]time.Duration{"12 s": 12 * time.Second, "10 min": 10 * time.Minute} {
		b.Run(name, func(b *testing.B) {
			s := New(Options{})
			now := start
			digest := uint64(0)
			step := func() {
				digest++
				now = now.Add(ms)
				r := refused(digest, left)
				r.Deadline = now.Add(left)
				s.Refused(now, r)
				s.Returning(now, digest-defaultMaxEntries+1) // the oldest entry
			}
			for range 3 * defaultMaxEntries {
				step()
			}
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}
