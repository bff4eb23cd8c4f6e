package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
)

// QuotaRequest requests tokens from the instance that keeps an organisation's bucket.
type QuotaRequest struct {
	Organisation string `cbor:"1,keyasint"`
	// Rate, in tokens per second, and Burst are those of the whole quota.
	Rate  float64 `cbor:"2,keyasint"`
	Burst float64 `cbor:"3,keyasint"`
	// Tokens is the number of tokens requested.
	Tokens int `cbor:"4,keyasint"`
	// Reserve is how many tokens must remain for more important requests.
	Reserve float64 `cbor:"5,keyasint,omitempty"`
	// Allowance is how many tokens the organisation may use in a window beyond its quota. Instances other
	// than the owner of the bucket grant a part of it. 0 if there is none.
	Allowance float64 `cbor:"6,keyasint,omitempty"`
}

// QuotaReply is the reply to a QuotaRequest.
type QuotaReply struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	// Wait is the time after which to request again if no tokens were granted.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// Partial reports that the sender doesn't grant the whole quota at present: another instance may grant
	// what it refuses.
	Partial bool `cbor:"3,keyasint,omitempty"`
}

// QuotaReturn returns tokens that were granted and not used.
type QuotaReturn struct {
	Organisation string `cbor:"1,keyasint"`
	Tokens       int    `cbor:"2,keyasint"`
}

func (r *QuotaRequest) isValid() bool {
	return r.Organisation != "" && r.Rate > 0 && r.Burst >= 0 && r.Tokens >= 0 && r.Reserve >= 0 && r.Allowance >= 0
}

// lateReplyTimeout bounds how long a reply is awaited that didn't arrive in time. The link of a peer that sends
// nothing at all ends before.
const lateReplyTimeout = 5 * time.Second

// TakeQuota requests tokens from a peer and blocks until it replies, at most for the duration
// within. An error means that there was no reply in that time; one that arrives later is passed to
// late, on another goroutine.
func (m *Mesh) TakeQuota(ctx context.Context, address string, r *QuotaRequest, within time.Duration, late func(*QuotaReply)) (*QuotaReply, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, within, ErrNoReply)
	defer cancel()
	l, err := m.ensureLink(ctx, address)
	if err != nil {
		return nil, causeOf(ctx, err)
	}
	id, s := l.openStreamSized(replyFrames)
	if err := l.send(ctx, &Frame{Type: TypeQuotaRequest, Stream: id, QuotaRequest: r}); err != nil {
		l.closeStream(id)
		return nil, causeOf(ctx, err)
	}
	f, err := l.nextFrame(ctx, s)
	if err != nil {
		if errors.Is(context.Cause(ctx), ErrNoReply) {
			l.recordMissedReply(boottime.Now())
		}
		go l.awaitLateReply(id, s, late)
		return nil, causeOf(ctx, err)
	}
	l.closeStream(id)
	if f.QuotaReply == nil {
		return nil, fmt.Errorf("%w: no reply to a request for tokens", ErrMalformedFrame)
	}
	return f.QuotaReply, nil
}

// awaitLateReply passes the reply to a request for tokens to late if it still arrives.
func (l *link) awaitLateReply(id uint64, s *stream, late func(*QuotaReply)) {
	defer l.closeStream(id)
	ctx, cancel := context.WithTimeout(l.ctx, lateReplyTimeout)
	defer cancel()
	if f, err := l.nextFrame(ctx, s); err == nil && f.QuotaReply != nil {
		late(f.QuotaReply)
	}
}

// ReturnQuota returns tokens to a peer if a link to it is up. Otherwise the bucket refills with
// time.
func (m *Mesh) ReturnQuota(address string, r *QuotaReturn) {
	if l := m.reachableLink(address); l != nil {
		l.trySend(&Frame{Type: TypeQuotaReturn, QuotaReturn: r})
	}
}
