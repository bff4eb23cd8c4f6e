package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"

	"github.com/coder/websocket"

	"github.com/tacktally/tacktally/internal/answer"
)

const (
	// window is how many bytes of a response may be in transit on a stream.
	window = answer.StreamWindowBytes
	// maxDataBytes bounds the data of one frame.
	maxDataBytes = 32 << 10
	// writeTimeout bounds the writing of one frame. A slower link is closed.
	writeTimeout = 10 * time.Second
	// outboxFrames bounds the frames that wait to be written.
	outboxFrames = 256
)

// ErrLinkClosed means that the link ended. What was sent on it may or may not have arrived.
var ErrLinkClosed = errors.New("link to the peer closed")

// link is one connection. One goroutine writes its frames and another reads them; send may be
// called by any.
type link struct {
	conn    *websocket.Conn
	out     chan []byte
	ctx     context.Context
	cancel  context.CancelCauseFunc
	upSince time.Time // when the connection was established
	// unwritten is the number of frames that were queued and not yet written.
	unwritten atomic.Int64

	mu           sync.Mutex
	streams      map[uint64]*stream // streams opened by this side
	next         uint64
	lastFrame    time.Time // when the last frame was received
	unanswered   int       // consecutive requests without a reply in time
	openRequests int       // requests of the peer that are open
	lastRequest  time.Time // when the peer last sent a request
	// origins are those that were last sent, originCount their number, and originsTaken whether the link has ended and they
	// are sent elsewhere.
	origins      []sentOrigins
	originCount  int
	originsTaken bool
}

const (
	// maxUnanswered consecutive requests without a reply, and deadSilence without any frame, make a
	// link dead: its peer may have lost power, or only this link was silenced while frames still
	// arrive on the one that the peer dialled. A peer that is merely slow replies late: its
	// processor may be throttled for a tenth of a second, several times in a row. Until the link
	// ends, slots that were granted on it count as taken.
	maxUnanswered = 2
	deadSilence   = 500 * time.Millisecond
)

// recordFrame records that a frame was received.
func (l *link) recordFrame(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFrame = now
	l.unanswered = 0
}

// lastReceived returns when the last frame was received.
func (l *link) lastReceived() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastFrame
}

// isIdle reports whether no request of either side is open on the link, and the peer has sent none
// for the duration unrequested.
func (l *link) isIdle(now time.Time, unrequested time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams) == 0 && l.openRequests == 0 && now.Sub(l.lastRequest) >= unrequested
}

// recordRequest records that the peer sent a request, or that one has ended; delta is the change in
// the number of its open requests.
func (l *link) recordRequest(now time.Time, delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRequest = now
	l.openRequests += delta
}

// recordMissedReply records that a request got no reply in time. It ends the link if it is dead, or
// schedules a check for when it will be: there may be no further request to trigger one.
func (l *link) recordMissedReply(now time.Time) {
	l.mu.Lock()
	l.unanswered++
	left := deadSilence - now.Sub(l.lastFrame)
	suspect := l.unanswered >= maxUnanswered
	l.mu.Unlock()
	switch {
	case !suspect:
	case left <= 0:
		l.cancel(errSilent)
	default:
		time.AfterFunc(left, l.closeIfDead)
	}
}

// closeIfDead ends the link unless a frame was received since the last missed reply.
func (l *link) closeIfDead() {
	l.mu.Lock()
	dead := l.unanswered >= maxUnanswered
	l.mu.Unlock()
	if dead {
		l.cancel(errSilent)
	}
}

// stream is a request that this side sent, with the frames of its reply. Credit bounds what waits
// in inbox.
type stream struct {
	inbox chan *Frame
}

const (
	// creditThreshold is the number of bytes read after which credit is sent. The sender still has
	// the rest of the window meanwhile.
	creditThreshold = window / 4
	// minCharge is the least that a chunk counts against the window, so that many small chunks
	// can't fill an inbox.
	minCharge = 256
	// inboxFrames holds a whole window of the smallest chunks, the head and the end, so that a slow
	// reader of one stream never blocks the link.
	inboxFrames = window/minCharge + 8
)

// charge returns how many bytes a chunk of the given size counts against the window.
func charge(bytes int) int { return max(bytes, minCharge) }

func newLink(ctx context.Context, conn *websocket.Conn) *link {
	conn.SetReadLimit(MaxFrameBytes)
	ctx, cancel := context.WithCancelCause(ctx)
	return &link{
		conn:      conn,
		out:       make(chan []byte, outboxFrames),
		ctx:       ctx,
		cancel:    cancel,
		streams:   map[uint64]*stream{},
		lastFrame: boottime.Now(),
		upSince:   boottime.Now(),
	}
}

// run reads and writes frames until the link ends, and returns the cause. It calls handle for each
// frame in turn; handle must not block for long.
func (l *link) run(handle func(*Frame) error) error {
	go l.writeLoop()
	err := l.readLoop(handle)
	l.cancel(fmt.Errorf("%w: %w", ErrLinkClosed, err))
	l.conn.CloseNow()
	return err
}

func (l *link) readLoop(handle func(*Frame) error) error {
	for {
		f, err := l.readFrame()
		if err != nil {
			return err
		}
		l.recordFrame(boottime.Now())
		if err := handle(f); err != nil {
			return err
		}
	}
}

func (l *link) readFrame() (*Frame, error) {
	kind, b, err := l.conn.Read(l.ctx)
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, fmt.Errorf("%w: unexpected text message", ErrMalformedFrame)
	}
	return Decode(b)
}

func (l *link) writeLoop() {
	for {
		select {
		case b := <-l.out:
			ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
			err := l.conn.Write(ctx, websocket.MessageBinary, b)
			cancel()
			l.unwritten.Add(-1)
			if err != nil {
				l.cancel(fmt.Errorf("%w: %w", ErrLinkClosed, err))
				l.conn.CloseNow()
				return
			}
		case <-l.ctx.Done():
			return
		}
	}
}

// send queues a frame for writing, unless the link or ctx has ended. It blocks while the outbox is full.
func (l *link) send(ctx context.Context, f *Frame) error {
	switch {
	case l.ctx.Err() != nil:
		return context.Cause(l.ctx)
	case ctx.Err() != nil:
		return ctx.Err()
	}
	b, err := Encode(f)
	if err != nil {
		return err
	}
	l.unwritten.Add(1)
	select {
	case l.out <- b:
		return nil
	case <-l.ctx.Done():
		err = context.Cause(l.ctx)
	case <-ctx.Done():
		err = ctx.Err()
	}
	l.unwritten.Add(-1)
	return err
}

// trySend queues a frame for writing unless the outbox is full, and reports whether it did.
func (l *link) trySend(f *Frame) bool {
	b, err := Encode(f)
	return err == nil && l.trySendEncoded(b)
}

// trySendEncoded queues an encoded frame for writing unless the outbox is full, and reports whether
// it did.
func (l *link) trySendEncoded(b []byte) bool {
	l.unwritten.Add(1)
	select {
	case l.out <- b:
		return true
	default:
		l.unwritten.Add(-1)
		return false
	}
}

// openStream opens a stream of this side.
func (l *link) openStream() (uint64, *stream) { return l.openStreamSized(inboxFrames) }

// openStreamSized opens a stream whose inbox holds the given number of frames.
func (l *link) openStreamSized(frames int) (uint64, *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	s := &stream{inbox: make(chan *Frame, frames)}
	l.streams[l.next] = s
	return l.next, s
}

func (l *link) closeStream(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, id)
}

// deliver passes a frame to its stream. Frames of closed streams are dropped.
func (l *link) deliver(f *Frame) {
	l.mu.Lock()
	s := l.streams[f.Stream]
	l.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case s.inbox <- f:
	case <-l.ctx.Done():
	}
}

// nextFrame blocks until the next frame of a stream arrives, the link ends or ctx ends.
func (l *link) nextFrame(ctx context.Context, s *stream) (*Frame, error) {
	select {
	case f := <-s.inbox:
		return f, nil
	default:
	}
	select {
	case f := <-s.inbox:
		return f, nil
	case <-l.ctx.Done():
		return nil, context.Cause(l.ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
