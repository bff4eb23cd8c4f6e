package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/ratelimit"
)

// ErrNoReply: a peer that is linked to didn't answer in time.
var ErrNoReply = errors.New("the peer didn't answer in time")

// slotFrames bounds the frames that wait on the stream of one slot: a reply that the
// request waits, a decision, the first token and the release.
const slotFrames = 4

// SlotRequest asks an instance that schedules a shard of upstreams for a slot at one of
// them. Times are relative, since clocks differ.
type SlotRequest struct {
	Service string `cbor:"1,keyasint"`
	// Shard of the service's upstreams, counted from 0.
	Shard int `cbor:"2,keyasint,omitempty"`
	// ID of the request, for logs.
	ID           string `cbor:"3,keyasint"`
	Rank         int    `cbor:"4,keyasint,omitempty"`
	Organisation string `cbor:"5,keyasint,omitempty"`
	// Age is the time since the request arrived, Timeout what is left until its
	// deadline, Patience how long after its arrival it waits for room, 0 without such a
	// bound, and Aim its latency objective.
	Age              time.Duration `cbor:"6,keyasint"`
	Timeout          time.Duration `cbor:"7,keyasint"`
	MaxWait          time.Duration `cbor:"8,keyasint,omitempty"`
	LatencyObjective time.Duration `cbor:"9,keyasint,omitempty"`
	// PromptTokens, Output and Expected are tokens; Parts are those of the prompt.
	PromptTokens   int             `cbor:"10,keyasint,omitempty"`
	MaxOutput      int             `cbor:"11,keyasint,omitempty"`
	ExpectedOutput int             `cbor:"12,keyasint,omitempty"`
	Segments       []PromptSegment `cbor:"13,keyasint,omitempty"`
	// Bytes of the body that waits.
	Bytes int `cbor:"14,keyasint,omitempty"`
	// Exclude is an upstream that failed the request already.
	Exclude string `cbor:"15,keyasint,omitempty"`
	// Zone is the availability zone that the request came to.
	Zone string `cbor:"16,keyasint,omitempty"`
	// Restricted requests run in these Regions alone.
	Restricted bool     `cbor:"17,keyasint,omitempty"`
	Regions    []string `cbor:"18,keyasint,omitempty"`
	// Digest of what the request asks for, the same for each try.
	Digest uint64 `cbor:"19,keyasint,omitempty"`
	// Unavailable are upstreams that the asking instance may not send to now, by their IDs.
	Unavailable []string `cbor:"20,keyasint,omitempty"`
	// Attempt says what the request is to the budget of repeats.
	Attempt AttemptKind `cbor:"21,keyasint,omitempty"`
	// Limits are those that the asking instance knows of the service's upstreams: one that has just become the owner
	// may know none.
	Limits []ratelimit.Update `cbor:"22,keyasint,omitempty"`
}

// AttemptKind is what a request for a slot is to the budget out of which requests are sent again.
type AttemptKind uint8

const (
	// FirstAttempt: the slot is for the first attempt of a request, which adds to the budget.
	FirstAttempt AttemptKind = iota
	// RequeuedAttempt: it is for an attempt that was asked for before and wasn't sent.
	RequeuedAttempt
	// RetryAttempt: the request was sent before, so that the budget must have it.
	RetryAttempt
)

// PromptSegment is a part of a prompt that other prompts may begin with too.
type PromptSegment struct {
	// PrefixHash names the text up to its end.
	PrefixHash uint64 `cbor:"1,keyasint"`
	// Tokens is its own length.
	Tokens int `cbor:"2,keyasint"`
}

// SlotGrant lets the request be sent to an upstream now.
type SlotGrant struct {
	// Upstream by its ID.
	Upstream string `cbor:"1,keyasint"`
	// PredictedFirstToken is the time in which the first token is expected.
	PredictedFirstToken time.Duration `cbor:"2,keyasint,omitempty"`
	// Running is how many requests the upstream runs, this one included.
	Running int `cbor:"3,keyasint,omitempty"`
	// ListVersion is the version of the list from which the upstream was chosen, for logs.
	ListVersion int64 `cbor:"4,keyasint,omitempty"`
	// PrefillRate and Interval are what the owner has learned of the upstream's speed: prompt tokens a
	// second, and microseconds between output tokens; 0 is unknown. Whoever owns the shard next
	// begins with it.
	PrefillRate    int `cbor:"5,keyasint,omitempty"`
	IntervalMicros int `cbor:"6,keyasint,omitempty"`
	// Limited tells whether the owner knows that the upstream has named a limit.
	Limited bool `cbor:"7,keyasint,omitempty"`
}

// SlotRefusal gives the request up. It hasn't run.
type SlotRefusal struct {
	Reason     string        `cbor:"1,keyasint"`
	Detail     string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// SlotRelease gives a slot back and says how the request went at the upstream.
type SlotRelease struct {
	// Result as the scheduler numbers them.
	Result uint8 `cbor:"1,keyasint"`
	// Output tokens of a whole answer.
	Output int `cbor:"2,keyasint,omitempty"`
}

// Slot is a slot that a peer granted, or is asked for. Release gives it back.
type Slot struct {
	Grant SlotGrant
	// Queued tells that the request waited for room.
	Queued bool

	link *link
	id   uint64
}

// AcquireSlot asks a peer for a slot and blocks until it grants or refuses one, or ctx
// ends. A peer that says nothing within ackWithin has failed; one that has said that the
// request waits may take longer. The error says that the peer didn't decide.
func (m *Mesh) AcquireSlot(ctx context.Context, address string, r *SlotRequest, ackWithin time.Duration) (*Slot, *SlotRefusal, error) {
	ackCtx, cancel := context.WithTimeoutCause(ctx, ackWithin, ErrNoReply)
	defer cancel()
	l, err := m.linkFor(ackCtx, address)
	if err != nil {
		return nil, nil, err
	}
	id, s := l.openWith(slotFrames)
	f, queued, err := l.askSlot(ctx, ackCtx, id, s, r)
	if err != nil {
		l.trySend(&Frame{Type: TypeCancel, Stream: id}) // or the end of the link says it
		l.closeStream(id)
		return nil, nil, err
	}
	if f.Type == TypeSlotRefused {
		l.closeStream(id)
		return nil, f.SlotRefusal, nil
	}
	return &Slot{Grant: *f.SlotGrant, Queued: queued, link: l, id: id}, nil, nil
}

// askSlot returns the decision on a slot, and whether the request waited for it. The first frame of the reply
// comes within ackCtx.
func (l *link) askSlot(ctx, ackCtx context.Context, id uint64, s *stream, r *SlotRequest) (f *Frame, queued bool, err error) {
	if err := l.send(ackCtx, &Frame{Type: TypeSlotRequest, Stream: id, SlotRequest: r}); err != nil {
		return nil, false, causeOf(ackCtx, err)
	}
	f, err = l.nextFrame(ackCtx, s)
	if err != nil {
		err = causeOf(ackCtx, err)
		if errors.Is(err, ErrNoReply) {
			l.miss(boottime.Now())
		}
		return nil, false, err
	}
	if f.Type == TypeSlotQueued {
		queued = true
		if f, err = l.nextFrame(ctx, s); err != nil {
			return nil, queued, err
		}
	}
	if f.Type != TypeSlotGranted && f.Type != TypeSlotRefused {
		return nil, queued, fmt.Errorf("%w: type %d decides on no slot", ErrMalformedFrame, f.Type)
	}
	return f, queued, nil
}

// causeOf prefers the cause of a context's end to its bare error.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// Started tells the peer that the first token has come.
func (s *Slot) Started() { s.tell(&Frame{Type: TypeSlotStarted, Stream: s.id}) }

// Release gives the slot back.
func (s *Slot) Release(r SlotRelease) {
	s.tell(&Frame{Type: TypeSlotReleased, Stream: s.id, SlotRelease: &r})
	s.link.closeStream(s.id)
}

// Lost tells whether the link has ended, so that the peer no longer counts the slot.
func (s *Slot) Lost() bool { return s.link.ctx.Err() != nil }

// tell sends a frame without blocking. None may be left out, or the peer would count the
// slot as taken for ever.
func (s *Slot) tell(f *Frame) {
	if s.link.trySend(f) {
		return
	}
	go func() { _ = s.link.send(s.link.ctx, f) }() // fails only with the link, which says it too
}

// SlotStream is the peer's side of a slot: it decides and hears what becomes of it.
type SlotStream struct {
	// Peer that asks, by its address.
	Peer string

	link *link
	id   uint64
	in   <-chan *Frame
}

// SendQueued tells the peer that the request waits.
func (s *SlotStream) SendQueued() { s.link.trySend(&Frame{Type: TypeSlotQueued, Stream: s.id}) }

// SendGrant tells the peer its slot.
func (s *SlotStream) SendGrant(ctx context.Context, g SlotGrant) error {
	return s.link.send(ctx, &Frame{Type: TypeSlotGranted, Stream: s.id, SlotGrant: &g})
}

// SendRefusal tells the peer that it gets none.
func (s *SlotStream) SendRefusal(ctx context.Context, r SlotRefusal) error {
	return s.link.send(ctx, &Frame{Type: TypeSlotRefused, Stream: s.id, SlotRefusal: &r})
}

// Next blocks until the peer says more of a slot that it holds: its first token, with a
// nil release, or the release. The error says that the peer has gone or has cancelled.
func (s *SlotStream) Next(ctx context.Context) (*SlotRelease, error) {
	select {
	case f := <-s.in:
		return f.SlotRelease, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
