package peer

import (
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLeasesAreRequestedAndGranted(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	granted, err := p.a.LeaseBuckets(t.Context(), p.addressB, []int{3, 5}, time.Minute)
	is.NoErr(err)
	is.Equal(granted, []int{3})
	_, err = p.a.LeaseBuckets(t.Context(), "127.0.0.1:1", []int{3}, time.Minute)
	is.True(errors.Is(err, ErrUnreachable))
	b, err := Encode(&Frame{Type: TypeLeaseRequest, Stream: 1, LeaseGroups: make([]int, maxLeaseGroups+1)})
	is.NoErr(err)
	_, err = Decode(b)
	is.True(errors.Is(err, ErrMalformedFrame))
}

// A peer of an earlier version would end the link at a frame that it doesn't know.
func TestPeerThatKnowsNoLeasesIsNotAsked(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	for p.b.reachableLink(p.a.o.Address) == nil { // its hello comes on both links
		runtime.Gosched()
	}
	p.a.mu.Lock()
	p.a.peers[p.addressB].hello.KnowsLeases = false
	p.a.mu.Unlock()
	_, err := p.a.LeaseBuckets(t.Context(), p.addressB, []int{3}, time.Minute)
	is.True(errors.Is(err, ErrNoLeases))
}

// Tokens that were granted after the requester had gone on were lost to the organisation.
func TestLateReplyToARequestForTokensIsPassedOn(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	late := make(chan *QuotaReply, 1)
	_, err := p.a.TakeQuota(t.Context(), p.addressB, &QuotaRequest{Organisation: "held", Rate: 1, Tokens: 9}, time.Millisecond, func(r *QuotaReply) { late <- r })
	is.True(errors.Is(err, ErrNoReply))
	is.Equal(len(late), 0)
	close(p.hb.hold)
	is.True((<-late).Granted)
}
