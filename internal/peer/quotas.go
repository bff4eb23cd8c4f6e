package peer

import (
	"context"
	"fmt"
	"time"
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
}

// QuotaReply is the reply to a QuotaRequest.
type QuotaReply struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	// Wait is the time after which to request again if no tokens were granted.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
}

// QuotaReturn returns tokens that were granted and not used.
type QuotaReturn struct {
	Organisation string `cbor:"1,keyasint"`
	Tokens       int    `cbor:"2,keyasint"`
}

func (r *QuotaRequest) isValid() bool {
	return r.Organisation != "" && r.Rate > 0 && r.Burst >= 0 && r.Tokens >= 0 && r.Reserve >= 0
}

// TakeQuota requests tokens from a peer and blocks until it replies, at most for the duration
// within. An error means that there was no reply.
func (m *Mesh) TakeQuota(ctx context.Context, address string, r *QuotaRequest, within time.Duration) (*QuotaReply, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, within, ErrNoReply)
	defer cancel()
	var reply *QuotaReply
	err := m.roundTrip(ctx, address, &Frame{Type: TypeQuotaRequest, QuotaRequest: r}, func(f *Frame) { reply = f.QuotaReply })
	if err != nil {
		return nil, causeOf(ctx, err)
	}
	if reply == nil {
		return nil, fmt.Errorf("%w: no reply to a request for tokens", ErrMalformedFrame)
	}
	return reply, nil
}

// ReturnQuota returns tokens to a peer if a link to it is up. Otherwise the bucket refills with
// time.
func (m *Mesh) ReturnQuota(address string, r *QuotaReturn) {
	if l := m.reachableLink(address); l != nil {
		l.trySend(&Frame{Type: TypeQuotaReturn, QuotaReturn: r})
	}
}
