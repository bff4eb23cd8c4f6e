package transfer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// retryDelay is the mean delay before another sender is asked. It doubles with each failure in
	// succession, maxDoublings times at most.
	retryDelay   = 60 * time.Millisecond
	maxDoublings = 2
)

// Why a transfer ends without a configuration.
var (
	errBusy     = errors.New("the sender serves other receivers")
	errRefused  = errors.New("the configuration was received and did not come into force")
	errNoParts  = errors.New("the sender has no configuration")
	errMismatch = errors.New("the parts don't add up to the announced configuration")
)

// ReceiverOptions configure a Receiver. The functions may be called by any goroutine.
type ReceiverOptions struct {
	// Go runs a function in the background, with a context that ends with the instance.
	Go func(f func(ctx context.Context))
	// Fetch requests one part from a peer. It blocks until the reply, for a bounded time, and returns
	// when it was requested. A peer that sends no parts replies with the whole content.
	Fetch func(ctx context.Context, address string, r *peer.PartRequest) (*peer.State, time.Time, error)
	// InForce returns the content of the configuration in force, nil without one.
	InForce func() []byte
	// Holders returns the peers that have announced a newer configuration.
	Holders func() []string
	// Accept takes a configuration that was received whole. It was current as of the given time.
	Accept  func(from string, revision int64, content []byte, asOf time.Time)
	Metrics *telemetry.Metrics
	Log     *log.Logger
}

// Receiver receives newer configurations, one at a time. It is safe for concurrent use.
type Receiver struct {
	o ReceiverOptions

	mu     sync.Mutex
	active bool
	// refused is the digest of the last configuration received that did not come into force. Only
	// the transfer in progress changes it.
	refused uint64
	// wholeOnly requests a configuration without a base, after a mismatch. Only the transfer in
	// progress uses it.
	wholeOnly bool
}

// NewReceiver returns a Receiver without a transfer.
func NewReceiver(o ReceiverOptions) *Receiver { return &Receiver{o: o} }

// Start starts the transfer of the configuration with a digest from a peer in the background, unless
// a transfer is in progress, or this one was received before in vain. Transfers go on until no peer
// has a newer configuration, or the instance ends.
func (r *Receiver) Start(address string, digest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active || digest == r.refused {
		return
	}
	r.active = true
	r.o.Go(func(ctx context.Context) { r.run(ctx, address) })
}

func (r *Receiver) run(ctx context.Context, address string) {
	failures := 0 // in succession
	for address != "" {
		err := r.receive(ctx, address)
		r.o.Metrics.Count(`tacktally_config_transfers_total{result="` + resultOf(err) + `"}`)
		if err != nil && !errors.Is(err, errBusy) && ctx.Err() == nil {
			r.o.Log.Warn().Str("event", "config_transfer_failed").Str("peer", address).Str("cause", err.Error()).Msg("")
		}
		failures++
		if err == nil {
			failures = 0
		}
		wait.For(ctx, delayAfter(failures))
		address = r.next(ctx, address, err)
	}
}

// delayAfter returns the delay before the next transfer after some failed ones in succession.
func delayAfter(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	mean := retryDelay << min(failures-1, maxDoublings)
	return mean/2 + rand.N(mean)
}

// resultOf returns the name of a transfer's result for the metrics.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "complete"
	case errors.Is(err, errBusy):
		return "busy"
	default:
		return "failed"
	}
}

// next returns the peer for another transfer, or "" after recording that none is in progress.
func (r *Receiver) next(ctx context.Context, previous string, err error) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders := r.o.Holders()
	if len(holders) == 0 || errors.Is(err, errRefused) || ctx.Err() != nil {
		r.active = false
		return ""
	}
	address := holders[rand.IntN(len(holders))]
	if address == previous && err != nil {
		address = holders[rand.IntN(len(holders))] // more likely another one
	}
	return address
}

// received is the part of an encoded configuration that has arrived.
type received struct {
	digest, base uint64
	encoded      []byte
}

// add adds a part, and drops the ones before it if it belongs to another configuration.
func (c *received) add(p *peer.Part) {
	if p.Digest != c.digest || p.Base != c.base || p.Offset != len(c.encoded) {
		*c = received{digest: p.Digest, base: p.Base}
	}
	if p.Offset == len(c.encoded) {
		c.encoded = append(c.encoded, p.Data...)
	}
}

// receive receives the configuration of a peer. It blocks until it is complete or a part is missing.
func (r *Receiver) receive(ctx context.Context, address string) error {
	base := r.o.InForce()
	request := peer.PartRequest{ID: rand.Uint64()}
	if !r.wholeOnly {
		request.Base = Digest(base)
	}
	var c received
	for {
		request.Digest, request.Offset = c.digest, len(c.encoded)
		s, requestedAt, err := r.o.Fetch(ctx, address, &request)
		switch {
		case err != nil:
			return err
		case s.Part == nil && len(s.Content) > 0:
			r.o.Accept(address, s.Revision, s.Content, requestedAt.Add(-s.Age))
			return nil
		case s.Part == nil:
			return errNoParts
		case s.Part.Busy:
			return errBusy
		case s.Part.Digest == r.refused:
			return errRefused
		}
		r.o.Metrics.Add("tacktally_config_received_bytes_total", len(s.Part.Data))
		c.add(s.Part)
		if len(c.encoded) >= s.Part.Size {
			return r.accept(address, s, requestedAt, base, &c)
		}
	}
}

// accept decodes a complete configuration and passes it on. It returns errRefused if the configuration
// doesn't come into force.
func (r *Receiver) accept(address string, s *peer.State, requestedAt time.Time, base []byte, c *received) error {
	if c.base == 0 {
		base = nil
	}
	content, err := decode(base, c.encoded)
	if err == nil && Digest(content) != c.digest {
		err = errMismatch
	}
	r.wholeOnly = err != nil
	if err != nil {
		return err
	}
	r.o.Accept(address, s.Revision, content, requestedAt.Add(-s.Age))
	inForce := Digest(r.o.InForce())
	r.mu.Lock()
	defer r.mu.Unlock()
	if inForce != c.digest {
		r.refused = c.digest
		return errRefused
	}
	r.refused = 0
	return nil
}
