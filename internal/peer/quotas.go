package peer

import (
	"context"
	"fmt"
	"time"
)

// QuotaRequest asks the instance that keeps an organisation's bucket for tokens.
type QuotaRequest struct {
	Organisation string `cbor:"1,keyasint"`
	// Rate in tokens a second, and Burst, of the whole quota.
	Rate  float64 `cbor:"2,keyasint"`
	Burst float64 `cbor:"3,keyasint"`
	// Tokens wanted.
	Tokens int `cbor:"4,keyasint"`
	// Reserve is how many are to be left for what is more important.
	Reserve float64 `cbor:"5,keyasint,omitempty"`
}

// QuotaReply answers it.
type QuotaReply struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	// Wait is when to come back, where none were granted.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
}

// QuotaReturn gives back tokens that were granted and not used.
type QuotaReturn struct {
	Organisation string `cbor:"1,keyasint"`
	Tokens       int    `cbor:"2,keyasint"`
}

func (r *QuotaRequest) isSane() bool {
	return r.Organisation != "" && r.Rate > 0 && r.Burst >= 0 && r.Tokens >= 0 && r.Reserve >= 0
}

// TakeQuota asks a peer for tokens and blocks until it answers, within so long. The error
// says that it didn't.
func (m *Mesh) TakeQuota(ctx context.Context, address string, r *QuotaRequest, within time.Duration) (*QuotaReply, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, within, ErrNoReply)
	defer cancel()
	var reply *QuotaReply
	err := m.ask(ctx, address, &Frame{Type: TypeQuotaRequest, QuotaRequest: r}, func(f *Frame) { reply = f.QuotaReply })
	if err != nil {
		return nil, causeOf(ctx, err)
	}
	if reply == nil {
		return nil, fmt.Errorf("%w: no reply to a request for tokens", ErrMalformedFrame)
	}
	return reply, nil
}

// ReturnQuota gives tokens back to a peer, if it is within reach; otherwise they come back
// with time.
func (m *Mesh) ReturnQuota(address string, r *QuotaReturn) {
	if l := m.linkTo(address); l != nil {
		l.trySend(&Frame{Type: TypeQuotaReturn, QuotaReturn: r})
	}
}
