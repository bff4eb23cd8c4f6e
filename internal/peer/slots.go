package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/ratelimit"
)

// ErrNoReply means that a peer didn't reply in time.
var ErrNoReply = errors.New("peer did not reply in time")

// slotFrames bounds the frames that wait on the stream of one slot: the notice that the request is
// queued, the decision, the first token and the release.
const slotFrames = 4

// SlotRequest requests a slot at one of the upstreams of a shard from the instance that schedules
// the shard. Times are relative, since clocks differ.
type SlotRequest struct {
	Service string `cbor:"1,keyasint"`
	// Shard is the shard of the service's upstreams, counted from 0.
	Shard int `cbor:"2,keyasint,omitempty"`
	// ID of the request, for logs.
	ID           string `cbor:"3,keyasint"`
	Rank         int    `cbor:"4,keyasint,omitempty"`
	Organisation string `cbor:"5,keyasint,omitempty"`
	// Age is the time since the request arrived, Timeout the time left until its deadline, MaxWait
	// how long after its arrival it waits for a free slot (0: only bounded by the deadline), and
	// LatencyObjective its latency objective.
	Age              time.Duration `cbor:"6,keyasint"`
	Timeout          time.Duration `cbor:"7,keyasint"`
	MaxWait          time.Duration `cbor:"8,keyasint,omitempty"`
	LatencyObjective time.Duration `cbor:"9,keyasint,omitempty"`
	// PromptTokens, MaxOutput and ExpectedOutput are in tokens. Segments are those of the prompt.
	PromptTokens   int             `cbor:"10,keyasint,omitempty"`
	MaxOutput      int             `cbor:"11,keyasint,omitempty"`
	ExpectedOutput int             `cbor:"12,keyasint,omitempty"`
	Segments       []PromptSegment `cbor:"13,keyasint,omitempty"`
	// Bytes is the size of the request's body, which is kept while it waits.
	Bytes int `cbor:"14,keyasint,omitempty"`
	// FailedUpstream is an upstream that already failed the request.
	FailedUpstream string `cbor:"15,keyasint,omitempty"`
	// Zone is the availability zone in which the request arrived.
	Zone string `cbor:"16,keyasint,omitempty"`
	// Restricted requests run only in these Regions.
	Restricted bool     `cbor:"17,keyasint,omitempty"`
	Regions    []string `cbor:"18,keyasint,omitempty"`
	// Digest of the request's content, the same for each attempt.
	Digest uint64 `cbor:"19,keyasint,omitempty"`
	// ExcludedUpstreams are the IDs of upstreams to which the requester may not send at present.
	ExcludedUpstreams []string `cbor:"20,keyasint,omitempty"`
	// Attempt is what the request is to the retry budget.
	Attempt AttemptKind `cbor:"21,keyasint,omitempty"`
	// Limits are the advertised limits that the requester knows of the service's upstreams: a new
	// owner of the shard may know none.
	Limits []ratelimit.Update `cbor:"22,keyasint,omitempty"`
	// Brittle are the upstreams that have said to the requester that they are brittle, with the number of
	// refusals in a second that they survive, by ID.
	Brittle map[string]int `cbor:"23,keyasint,omitempty"`
	// RestrictedVersion requests run only at upstreams of the software version Version.
	RestrictedVersion bool   `cbor:"24,keyasint,omitempty"`
	Version           string `cbor:"25,keyasint,omitempty"`
	// SilentFor is how long the failed upstream has sent nothing, where the request still waits for it.
	SilentFor time.Duration `cbor:"26,keyasint,omitempty"`
}

// AttemptKind is what a slot request is to the retry budget.
type AttemptKind uint8

const (
	// FirstAttempt is the first attempt of a request, which adds to the budget.
	FirstAttempt AttemptKind = iota
	// RequeuedAttempt is an attempt for which a slot was requested before and which wasn't sent. It
	// doesn't change the budget.
	RequeuedAttempt
	// RetryAttempt is an attempt after one that was sent, which needs budget.
	RetryAttempt
)

// PromptSegment is a segment of a prompt that other prompts may share as a prefix.
type PromptSegment struct {
	// PrefixHash identifies the prompt up to the end of the segment.
	PrefixHash uint64 `cbor:"1,keyasint"`
	// Tokens is the length of the segment.
	Tokens int `cbor:"2,keyasint"`
	// ID identifies the segment's text, whatever stands before it.
	ID uint64 `cbor:"3,keyasint,omitempty"`
}

// SlotGrant allows the request to be sent to an upstream now.
type SlotGrant struct {
	// Upstream is the ID of the upstream.
	Upstream string `cbor:"1,keyasint"`
	// PredictedFirstToken is the time until the first token is expected.
	PredictedFirstToken time.Duration `cbor:"2,keyasint,omitempty"`
	// Running is the number of requests that the upstream runs, including this one.
	Running int `cbor:"3,keyasint,omitempty"`
	// ListVersion is the version of the list from which the upstream was chosen, for logs.
	ListVersion int64 `cbor:"4,keyasint,omitempty"`
	// PrefillRate, in prompt tokens per second, and IntervalMicros, in microseconds between output
	// tokens, are the owner's estimates of the upstream's speed; 0 means unknown. The next owner of
	// the shard starts with them.
	PrefillRate    int `cbor:"5,keyasint,omitempty"`
	IntervalMicros int `cbor:"6,keyasint,omitempty"`
	// Limited reports whether the owner knows an advertised limit of the upstream.
	Limited bool `cbor:"7,keyasint,omitempty"`
}

// SlotRefusal refuses a slot. The request hasn't run.
type SlotRefusal struct {
	Reason     string        `cbor:"1,keyasint"`
	Detail     string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// SlotRelease returns a slot and reports how the request ended at the upstream.
type SlotRelease struct {
	// Result is a scheduler.Result.
	Result uint8 `cbor:"1,keyasint"`
	// Output is the number of output tokens of a complete response.
	Output int `cbor:"2,keyasint,omitempty"`
}

// Slot is a slot that a peer granted. Release returns it.
type Slot struct {
	Grant SlotGrant
	// Queued reports whether the request waited for a free slot.
	Queued bool

	link *link
	id   uint64
}

// AcquireSlot requests a slot from a peer and blocks until it grants or refuses one, or ctx ends. A
// peer that sends nothing within ackTimeout has failed; one that replied that the request is queued
// may take longer. An error means that the peer didn't decide.
func (m *Mesh) AcquireSlot(ctx context.Context, address string, r *SlotRequest, ackTimeout time.Duration) (*Slot, *SlotRefusal, error) {
	ackCtx, cancel := context.WithTimeoutCause(ctx, ackTimeout, ErrNoReply)
	defer cancel()
	l, err := m.ensureLink(ackCtx, address)
	if err != nil {
		return nil, nil, err
	}
	id, s := l.openStreamSized(slotFrames)
	f, queued, err := l.requestSlot(ctx, ackCtx, id, s, r)
	if err != nil {
		l.trySend(&Frame{Type: TypeCancel, Stream: id}) // if the outbox is full, the end of the link cancels the request
		l.closeStream(id)
		return nil, nil, err
	}
	if f.Type == TypeSlotRefused {
		l.closeStream(id)
		return nil, f.SlotRefusal, nil
	}
	return &Slot{Grant: *f.SlotGrant, Queued: queued, link: l, id: id}, nil, nil
}

// requestSlot returns the decision on a slot, and whether the request was queued before. The first
// frame of the reply must arrive within ackCtx.
func (l *link) requestSlot(ctx, ackCtx context.Context, id uint64, s *stream, r *SlotRequest) (f *Frame, queued bool, err error) {
	if err := l.send(ackCtx, &Frame{Type: TypeSlotRequest, Stream: id, SlotRequest: r}); err != nil {
		return nil, false, causeOf(ackCtx, err)
	}
	f, err = l.nextFrame(ackCtx, s)
	if err != nil {
		err = causeOf(ackCtx, err)
		if errors.Is(err, ErrNoReply) {
			l.recordMissedReply(boottime.Now())
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
		return nil, queued, fmt.Errorf("%w: type %d is no decision on a slot", ErrMalformedFrame, f.Type)
	}
	return f, queued, nil
}

// causeOf returns the cause of the context's end if it has ended, and err otherwise.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// Started reports to the peer that the first token has arrived, and the load report of the response;
// the zero value if it had none.
func (s *Slot) Started(load loadreport.Report) {
	s.sendAsync(&Frame{Type: TypeSlotStarted, Stream: s.id, Load: loadOf(load)})
}

// Release returns the slot to the peer, with the load report of a response that had no first token;
// the zero value if there is none.
func (s *Slot) Release(r SlotRelease, load loadreport.Report) {
	s.sendAsync(&Frame{Type: TypeSlotReleased, Stream: s.id, SlotRelease: &r, Load: loadOf(load)})
	s.link.closeStream(s.id)
}

// Lost reports whether the link has ended, so that the peer no longer counts the slot.
func (s *Slot) Lost() bool { return s.link.ctx.Err() != nil }

// sendAsync sends a frame without blocking. It may not drop one, or the peer would count the slot
// as taken indefinitely.
func (s *Slot) sendAsync(f *Frame) {
	if s.link.trySend(f) {
		return
	}
	go func() { _ = s.link.send(s.link.ctx, f) }() // fails only if the link ends, which also releases the slot
}

// SlotStream is the granting side of a slot: it sends the decision and receives the peer's frames
// about the slot.
type SlotStream struct {
	// Peer is the address of the requesting peer.
	Peer string

	link   *link
	id     uint64
	frames <-chan *Frame
}

// SendQueued notifies the peer that the request is queued. It doesn't block; if the outbox is full,
// nothing is sent.
func (s *SlotStream) SendQueued() { s.link.trySend(&Frame{Type: TypeSlotQueued, Stream: s.id}) }

// SendGrant sends the peer its slot. It blocks while the outbox is full.
func (s *SlotStream) SendGrant(ctx context.Context, g SlotGrant) error {
	return s.link.send(ctx, &Frame{Type: TypeSlotGranted, Stream: s.id, SlotGrant: &g})
}

// SendRefusal notifies the peer that it gets no slot. It blocks while the outbox is full.
func (s *SlotStream) SendRefusal(ctx context.Context, r SlotRefusal) error {
	return s.link.send(ctx, &Frame{Type: TypeSlotRefused, Stream: s.id, SlotRefusal: &r})
}

// SlotEvent is what a peer reports about a slot that it holds: the first token or the release.
type SlotEvent struct {
	// Release is nil for the first token.
	Release *SlotRelease
	// Load is the load report of the response; the zero value if there is none. It may be invalid.
	Load loadreport.Report
}

// Next blocks until the peer sends another frame about a slot that it holds. An error means that the
// link ended or the peer cancelled.
func (s *SlotStream) Next(ctx context.Context) (SlotEvent, error) {
	select {
	case f := <-s.frames:
		return SlotEvent{Release: f.SlotRelease, Load: f.Load.report()}, nil
	case <-ctx.Done():
		return SlotEvent{}, context.Cause(ctx)
	}
}
