package peer

import (
	"errors"
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
			slot.Release(SlotRelease{Ending: 3, Output: 40})
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
