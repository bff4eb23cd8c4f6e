package peer

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestASlotIsGrantedStartedAndGivenBack(t *testing.T) {
	for _, service := range []string{"free", "busy"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			close(p.hb.hold)
			slot, refusal, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: service}, time.Minute)
			is.NoErr(err)
			is.True(refusal == nil)
			is.Equal(slot.Grant.Upstream, "u")
			slot.Started()
			is.Equal(<-p.hb.slots, "started")
			slot.Release(SlotRelease{Result: 3, Output: 40})
			is.Equal(<-p.hb.slots, "released 3 40")
			is.True(!slot.Lost())
		})
	}
}

func TestASlotIsRefused(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	slot, refusal, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "full"}, time.Minute)
	is.NoErr(err)
	is.True(slot == nil)
	is.Equal(refusal.RetryAfter, time.Second)
}

// A peer that is linked to may be frozen all the same.
func TestASilentPeerIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	_, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "silent"}, time.Millisecond)
	is.True(errors.Is(err, ErrNoReply))
	is.Equal(<-p.hb.slots, "gone") // it is told that the slot isn't wanted any more
}

// A link may go silent without a reset while the one that the peer dialled lives: requests
// that get no reply end it, so that it is dialled anew.
func TestALinkThatAnswersNothingIsEnded(t *testing.T) {
	for _, c := range []struct {
		name   string
		misses int
		quiet  time.Duration
		dead   bool
	}{
		{"one lost reply", 1, time.Minute, false},
		{"silent", 2, quietFor, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			l := p.a.linkTo(p.addressB)
			now := time.Now().Add(time.Hour) // past all frames that may still come
			l.hear(now)
			for range c.misses {
				l.miss(now.Add(c.quiet))
			}
			is.Equal(l.ctx.Err() != nil, c.dead)
		})
	}
}

// A frame that comes before the link was quiet for long enough, however many requests went
// without a reply, shows that its peer lives.
func TestASlowLinkIsKept(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	l := p.a.linkTo(p.addressB)
	now := time.Now()
	l.hear(now)
	for range 5 {
		l.miss(now)
	}
	l.hear(now)
	l.endIfDead() // as the timer calls it, once the link may have been quiet for long
	is.NoErr(l.ctx.Err())
	for range maxUnanswered {
		l.miss(now)
	}
	l.endIfDead()
	is.True(errors.Is(context.Cause(l.ctx), errSilent)) // nothing more has come
}

// The owner of a shard that lost power isn't asked again for a while; its link ends all the
// same.
func TestASilentLinkIsEndedWithoutFurtherRequests(t *testing.T) {
	p := newPair(t)
	l := p.a.linkTo(p.addressB)
	for range maxUnanswered {
		l.miss(time.Now())
	}
	<-l.ctx.Done()
}

func TestRequestsWithoutAReplyCountAgainstTheirLink(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	l := p.a.linkTo(p.addressB)
	l.hear(time.Now().Add(-time.Hour))
	for range maxUnanswered {
		_, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "silent"}, time.Millisecond)
		is.True(errors.Is(err, ErrNoReply))
	}
	is.True(errors.Is(context.Cause(l.ctx), errSilent))
}

// A peer whose link went silent dials another one. What it holds on the old one counts no
// longer on the side that hasn't noticed its end.
func TestANewLinkOfAPeerEndsTheOneBefore(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	slot, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	silenced := p.a.linkTo(p.addressB)
	p.a.mu.Lock()
	p.a.peers[p.addressB].link = nil // as after its end, which the other side doesn't see
	p.a.mu.Unlock()
	go func() { _, _ = p.a.dial(p.a.ctx, p.addressB) }()
	is.Equal(<-p.hb.slots, "gone")
	<-silenced.ctx.Done()
	is.True(slot.Lost())
}

// A peer may know this instance under a second address, and hangs up once it hears its
// own: the link that it keeps lives on.
func TestALinkUnderAnotherAddressEndsNoGoodOne(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	slot, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	alias := strings.Replace(p.addressB, "127.0.0.1", "localhost", 1)
	_, err = p.a.dial(t.Context(), alias)
	is.True(errors.Is(err, ErrMalformedFrame)) // it calls itself by its own address
	is.True(!slot.Lost())
	slot.Release(SlotRelease{Result: 1})
	is.Equal(<-p.hb.slots, "released 1 0")
}

func TestASlotIsGivenBackByTheEndOfItsLink(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	slot, _, err := p.a.AcquireSlot(t.Context(), p.addressB, &SlotRequest{Service: "free"}, time.Minute)
	is.NoErr(err)
	p.a.linkTo(p.addressB).cancel(errSilent)
	is.Equal(<-p.hb.slots, "gone")
	is.True(slot.Lost())
}

func TestNoSlotFromAPeerThatIsNotLinked(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	_, _, err := p.a.AcquireSlot(t.Context(), "127.0.0.1:1", &SlotRequest{Service: "free"}, time.Minute)
	is.True(errors.Is(err, ErrUnreachable))
}

func TestTokensAreAskedForAndGivenBack(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	reply, err := p.a.TakeQuota(t.Context(), p.addressB, &QuotaRequest{Organisation: "crews", Rate: 1, Tokens: 9}, time.Minute)
	is.NoErr(err)
	is.True(reply.Granted)
	reply, err = p.a.TakeQuota(t.Context(), p.addressB, &QuotaRequest{Organisation: "crews", Rate: 1, Tokens: 100}, time.Minute)
	is.NoErr(err)
	is.Equal(*reply, QuotaReply{Wait: 100})
	p.a.ReturnQuota(p.addressB, &QuotaReturn{Organisation: "crews", Tokens: 9})
	is.Equal(<-p.hb.slots, "returned 9")
	_, err = p.a.TakeQuota(t.Context(), "127.0.0.1:1", &QuotaRequest{Organisation: "crews", Rate: 1}, time.Minute)
	is.True(errors.Is(err, ErrUnreachable))
}
