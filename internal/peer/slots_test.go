package peer

import (
	"context"
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/loadreport"
)

func TestSlotIsGrantedStartedAndReleased(t *testing.T) {
	for _, service := range []string{"free", "busy"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			close(p.hb.hold)
			slot, refusal, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: service}, time.Minute)
			is.NoErr(err)
			is.True(refusal == nil)
			is.Equal(slot.Grant.Upstream, "u")
			slot.Started(loadreport.Report{})
			is.Equal(<-p.hb.slots, "started")
			slot.Release(SlotRelease{Result: 3, Output: 40}, loadreport.Report{})
			is.Equal(<-p.hb.slots, "released 3 40")
			is.True(!slot.Lost())
		})
	}
}

// Without the report, the owner decides on the load that it counts alone.
func TestLoadReportArrivesWithTheFirstToken(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	slot, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	slot.Started(loadreport.Report{Running: 3, Waiting: 1, Slots: 5, WorkPercent: 68})
	is.Equal(<-p.hb.slots, "started {3 1 5 68 false 0}")
	slot.Release(SlotRelease{Result: 3, Output: 40}, loadreport.Report{})
	is.Equal(<-p.hb.slots, "released 3 40")
}

// An upstream that refuses for load sends no first token; its report matters most to the owner.
func TestLoadReportOfARefusalArrivesWithTheRelease(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	slot, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	slot.Release(SlotRelease{Result: 2}, loadreport.Report{Running: 5, Waiting: 4, Slots: 5})
	is.Equal(<-p.hb.slots, "released 2 0 {5 4 5 0 false 0}")
}

// One report is sent for each request, and the budget for control traffic is a few kilobytes a second.
func TestLoadReportIsSmall(t *testing.T) {
	without := len(mustEncode(t, &Frame{Type: TypeSlotStarted, Stream: 70_000}))
	with := len(mustEncode(t, &Frame{Type: TypeSlotStarted, Stream: 70_000, Load: &Load{Running: 3, Waiting: 1, Slots: 5, WorkPercent: 68}}))
	t.Logf("a frame has %d bytes, and %d with a load report", without, with)
	if with-without > 12 {
		t.Errorf("a load report adds %d bytes; must be at most 12", with-without)
	}
}

// startedFrame is the frame of type TypeSlotStarted with any content of the field of the load report,
// and with a field of a newer build.
type startedFrame struct {
	Version uint8          `cbor:"1,keyasint"`
	Type    Type           `cbor:"2,keyasint"`
	Stream  uint64         `cbor:"3,keyasint"`
	Load    any            `cbor:"23,keyasint,omitempty"`
	Newer   map[string]int `cbor:"99,keyasint,omitempty"`
}

// A link that closes releases all slots granted on it. Frames of older and newer builds, and reports
// that can't be used, must not close it.
func TestLoadReportsOfOtherBuildsKeepTheLink(t *testing.T) {
	figures := map[int]int{1: 3, 2: 1, 3: 5, 4: 68}
	for name, c := range map[string]struct {
		load  any
		newer map[string]int
		want  string
	}{
		"older: without a report":        {nil, nil, "started"},
		"newer: a further field":         {figures, map[string]int{"x": 1}, "started {3 1 5 68 false 0}"},
		"newer: a further figure":        {map[int]int{1: 3, 2: 1, 3: 5, 4: 68, 5: 7}, nil, "started {3 1 5 68 false 0}"},
		"without the work percentage":    {map[int]int{1: 3, 3: 5}, nil, "started {3 0 5 0 false 0}"},
		"empty":                          {map[int]int{}, nil, "started"},
		"negative":                       {map[int]int{1: -4, 3: 5}, nil, "started {-4 0 5 0 false 0}"},
		"a text":                         {"3,1,5,68", nil, "started {-1 0 0 0 false 0}"},
		"a figure that isn't a number":   {map[int]string{1: "3"}, nil, "started {-1 0 0 0 false 0}"},
		"a figure that exceeds all ints": {map[int]uint64{1: math.MaxUint64}, nil, "started {-1 0 0 0 false 0}"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			slot, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "free"}, time.Minute)
			is.NoErr(err)
			frame, err := cbor.Marshal(startedFrame{Version: Version, Type: TypeSlotStarted, Stream: slot.id, Load: c.load, Newer: c.newer})
			is.NoErr(err)
			slot.link.out <- frame
			is.Equal(<-p.hb.slots, c.want)
			slot.Release(SlotRelease{Result: 3, Output: 40}, loadreport.Report{})
			is.Equal(<-p.hb.slots, "released 3 40") // on the same link
			is.True(!slot.Lost())
		})
	}
}

// An instance of a build without load reports gets the first token from one that sends a report.
func TestOlderBuildsIgnoreLoadReports(t *testing.T) {
	is := is.New(t)
	frame := mustEncode(t, &Frame{Type: TypeSlotStarted, Stream: 7, Load: &Load{Running: 3, Slots: 5}})
	var older struct { // the fields of the frame before load reports, as far as this type sets them
		Version uint8  `cbor:"1,keyasint"`
		Type    Type   `cbor:"2,keyasint"`
		Stream  uint64 `cbor:"3,keyasint,omitempty"`
	}
	is.NoErr(decoder.Unmarshal(frame, &older))
	is.Equal(older.Type, TypeSlotStarted)
	is.Equal(older.Stream, uint64(7))
}

func TestSlotIsRefused(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	slot, refusal, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "full"}, time.Minute)
	is.NoErr(err)
	is.True(slot == nil)
	is.Equal(refusal.RetryAfter, time.Second)
}

// A peer may be frozen although the link to it is up.
func TestAcquireSlotTimesOutOnASilentPeer(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	_, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "silent"}, time.Millisecond)
	is.True(errors.Is(err, ErrNoReply))
	is.Equal(<-p.hb.slots, "gone") // the request is cancelled at the peer
}

// A link may go silent without a reset while the one that the peer dialled still works. Requests
// without a reply end it, so that it is dialled again.
func TestLinkWithoutRepliesIsEnded(t *testing.T) {
	for _, c := range []struct {
		name   string
		misses int
		quiet  time.Duration
		dead   bool
	}{
		{"one lost reply", 1, time.Minute, false},
		{"silent", 2, deadSilence, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			l := p.a.reachableLink(p.addressB)
			now := time.Now().Add(time.Hour) // after all frames that may still arrive
			l.recordFrame(now)
			for range c.misses {
				l.recordMissedReply(now.Add(c.quiet))
			}
			is.Equal(l.ctx.Err() != nil, c.dead)
		})
	}
}

// A frame that arrives before the link was silent for deadSilence shows that the peer is alive, no
// matter how many requests got no reply.
func TestSlowLinkIsKept(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	l := p.a.reachableLink(p.addressB)
	now := time.Now()
	l.recordFrame(now)
	for range 5 {
		l.recordMissedReply(now)
	}
	l.recordFrame(now)
	l.closeIfDead() // as the timer calls it after deadSilence
	is.NoErr(l.ctx.Err())
	for range maxUnanswered {
		l.recordMissedReply(now)
	}
	l.closeIfDead()
	is.True(errors.Is(context.Cause(l.ctx), errSilent)) // no further frame has arrived
}

// The owner of a shard that lost power isn't sent further requests for a while. Its link still
// ends.
func TestSilentLinkEndsWithoutFurtherRequests(t *testing.T) {
	p := newPair(t)
	l := p.a.reachableLink(p.addressB)
	for range maxUnanswered {
		l.recordMissedReply(time.Now())
	}
	<-l.ctx.Done()
}

func TestSlotRequestsWithoutReplyEndTheLink(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	l := p.a.reachableLink(p.addressB)
	for context.Cause(l.ctx) == nil { // a request that isn't sent in time doesn't count, and a frame ends the silence
		l.mu.Lock()
		l.lastFrame = time.Now().Add(-time.Hour)
		l.mu.Unlock()
		_, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "silent"}, time.Millisecond)
		is.True(errors.Is(err, ErrNoReply))
		l.mu.Lock()
		unanswered := l.unanswered
		l.mu.Unlock()
		is.True(context.Cause(l.ctx) != nil || unanswered < maxUnanswered)
	}
	is.True(errors.Is(context.Cause(l.ctx), errSilent))
}

// A peer whose link went silent dials another one. What it holds on the old link no longer counts,
// even on a side that hasn't noticed that link's end.
func TestNewLinkFromAPeerEndsThePreviousOne(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	slot, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	silenced := p.a.reachableLink(p.addressB)
	p.a.mu.Lock()
	p.a.peers[p.addressB].link = nil // as after its end, which the other side doesn't notice
	p.a.mu.Unlock()
	go func() { _, _ = p.a.dial(p.a.ctx, p.addressB) }()
	is.Equal(<-p.hb.slots, "gone")
	<-silenced.ctx.Done()
	is.True(slot.Lost())
}

// A peer may know this instance under a second address, and closes that link when the hello names
// the first one. The existing link stays.
func TestDialUnderAnAliasKeepsTheExistingLink(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	slot, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	alias := strings.Replace(p.addressB, "127.0.0.1", "localhost", 1)
	_, err = p.a.dial(t.Context(), alias)
	is.True(errors.Is(err, ErrMalformedFrame)) // the hello has its own address
	is.True(!slot.Lost())
	slot.Release(SlotRelease{Result: 1}, loadreport.Report{})
	is.Equal(<-p.hb.slots, "released 1 0")
}

func TestSlotIsReleasedWhenItsLinkEnds(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	slot, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	p.a.reachableLink(p.addressB).cancel(errSilent)
	is.Equal(<-p.hb.slots, "gone")
	is.True(slot.Lost())
}

func TestAcquireSlotFailsWithoutALink(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	_, _, err := p.a.AcquireSlot(t.Context(), "127.0.0.1:1", &SlotRequest{Service: "free"}, time.Minute)
	is.True(errors.Is(err, ErrUnreachable))
}

func TestQuotaTokensAreTakenAndReturned(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	reply, err := p.a.TakeQuota(t.Context(), p.addressB, &QuotaRequest{Organisation: "crews", Rate: 1, Tokens: 9}, time.Minute, nil)
	is.NoErr(err)
	is.True(reply.Granted)
	reply, err = p.a.TakeQuota(t.Context(), p.addressB, &QuotaRequest{Organisation: "crews", Rate: 1, Tokens: 100}, time.Minute, nil)
	is.NoErr(err)
	is.Equal(*reply, QuotaReply{Wait: 100})
	p.a.ReturnQuota(p.addressB, &QuotaReturn{Organisation: "crews", Tokens: 9})
	is.Equal(<-p.hb.slots, "returned 9")
	_, err = p.a.TakeQuota(t.Context(), "127.0.0.1:1", &QuotaRequest{Organisation: "crews", Rate: 1}, time.Minute, nil)
	is.True(errors.Is(err, ErrUnreachable))
}

// Guards against a caller whose request ID ends links: all slots granted on a link are lost with it. Callers and
// upstreams may send headers with any bytes beyond ASCII.
func TestTextThatIsNotUTF8KeepsTheLink(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	first, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	second, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "free", ID: "\xff"}, time.Minute)
	is.NoErr(err)
	is.Equal(second.Grant.Upstream, "u")
	is.True(!first.Lost())
}

// Guards against a decision on a request that is sent although its link has ended, or its peer has cancelled it: it says
// that the caller has gone.
func TestNothingIsSentAfterTheEnd(t *testing.T) {
	const tries = 100 // a select takes any of the cases that are ready
	for name, test := range map[string]struct{ linkEnds, cancelled bool }{
		"the link has ended":         {true, false},
		"the request was cancelled":  {false, true},
		"the link ends the requests": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			l := p.b.reachableLink(p.a.o.Address)
			for l == nil { // until it is linked in this direction, too
				l = p.b.reachableLink(p.a.o.Address)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.cancelled {
				cancel()
			}
			if test.linkEnds {
				l.cancel(ErrLinkClosed)
			}
			for range tries {
				is.True(l.send(ctx, &Frame{Type: TypeSlotRefused, Stream: 1, SlotRefusal: &SlotRefusal{Reason: "caller_gone"}}) != nil)
			}
		})
	}
}

// Guards against requests that wait at an owner which ends, and are refused as if their callers had gone: the next owner is
// to be asked.
func TestNoDecisionComesFromAnOwnerThatEnds(t *testing.T) {
	const rounds = 200 // what a link still carries when it ends is a matter of chance
	for range rounds {
		p := newPair(t)
		refused := make(chan *SlotRefusal)
		go func() {
			_, refusal, _ := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "ending"}, time.Minute)
			refused <- refusal
		}()
		<-p.hb.begun
		p.b.cancel()
		if refusal := <-refused; refusal != nil {
			t.Fatalf("refused: %v", refusal)
		}
	}
}
