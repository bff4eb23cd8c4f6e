package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"

	"github.com/coder/websocket"

	"github.com/tacktally/tacktally/internal/answer"
)

const (
	// window is how many bytes of an answer may be under way on a stream.
	window = answer.StreamWindowBytes
	// maxDataBytes bounds the data of one frame.
	maxDataBytes = 32 << 10
	// writeTimeout bounds the writing of one frame; a link slower is closed.
	writeTimeout = 10 * time.Second
	// outboxFrames bounds the frames waiting to be written.
	outboxFrames = 256
)

// ErrLinkClosed: the link ended. What was sent on it may or may not have arrived.
var ErrLinkClosed = errors.New("the link to the peer was closed")

// link is one connection. Its frames are written by one goroutine and read by
// another; send may be called by any.
type link struct {
	conn   *websocket.Conn
	out    chan []byte
	ctx    context.Context
	cancel context.CancelCauseFunc
	since  time.Time // it is up

	mu         sync.Mutex
	streams    map[uint64]*stream // streams opened by this side
	next       uint64
	heard      time.Time // when the last frame came
	unanswered int       // requests in a row to which none came in time
	serving    int       // requests of the peer that are open
	asked      time.Time // when the peer last asked for anything
}

const (
	// maxUnanswered requests in a row without a reply, and quietFor without any frame,
	// make a link dead: its peer may be without power, or the link alone was silenced and
	// frames go on coming on the one that the peer dialled. A peer that is merely slow
	// replies late: its processor may be held back for a tenth of a second, several times
	// in a row. Until the link ends, what was granted on it counts as taken.
	maxUnanswered = 2
	quietFor      = 500 * time.Millisecond
)

// hear notes that a frame came.
func (l *link) hear(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = now
	l.unanswered = 0
}

// lastHeard returns when the last frame came.
func (l *link) lastHeard() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard
}

// isIdle tells whether nothing that either side has asked for on the link is open, and the
// peer has asked for nothing for so long.
func (l *link) isIdle(now time.Time, unasked time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams) == 0 && l.serving == 0 && now.Sub(l.asked) >= unasked
}

// noteAsked notes that the peer asks for something; open tells by how many its open requests
// have become more.
func (l *link) noteAsked(now time.Time, open int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = now
	l.serving += open
}

// miss notes that a request got no reply in time, and ends the link if it is dead, or once
// it is: no more requests may come.
func (l *link) miss(now time.Time) {
	l.mu.Lock()
	l.unanswered++
	left := quietFor - now.Sub(l.heard)
	suspect := l.unanswered >= maxUnanswered
	l.mu.Unlock()
	switch {
	case !suspect:
	case left <= 0:
		l.cancel(errSilent)
	default:
		time.AfterFunc(left, l.endIfDead)
	}
}

// endIfDead ends the link unless a frame has come since it was missed.
func (l *link) endIfDead() {
	l.mu.Lock()
	dead := l.unanswered >= maxUnanswered
	l.mu.Unlock()
	if dead {
		l.cancel(errSilent)
	}
}

// stream is a request that this side sent, and the frames of its answer. Credit
// bounds what waits in inbox.
type stream struct {
	inbox chan *Frame
}

const (
	// creditAfter is how much is read before credit is given for it. The sender
	// always has the rest of the window meanwhile.
	creditAfter = window / 4
	// minCharge is what a piece counts for at least against the window, so that
	// many small pieces can't fill an inbox.
	minCharge = 256
	// inboxFrames holds a whole window of the smallest pieces, the head and the
	// end, so that a slow reader of one stream never blocks the link.
	inboxFrames = window/minCharge + 8
)

// charge is what a piece of so many bytes counts for against the window.
func charge(bytes int) int { return max(bytes, minCharge) }

func newLink(ctx context.Context, conn *websocket.Conn) *link {
	conn.SetReadLimit(MaxFrameBytes)
	ctx, cancel := context.WithCancelCause(ctx)
	return &link{
		conn:    conn,
		out:     make(chan []byte, outboxFrames),
		ctx:     ctx,
		cancel:  cancel,
		streams: map[uint64]*stream{},
		heard:   boottime.Now(),
		since:   boottime.Now(),
	}
}

// run writes and reads until the link ends, and returns why. Handle is called
// for each frame in turn and must not block for long.
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
		l.hear(boottime.Now())
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
		return nil, fmt.Errorf("%w: a text message", ErrMalformedFrame)
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

// send hands a frame to the writer. It blocks while the outbox is full.
func (l *link) send(ctx context.Context, f *Frame) error {
	b, err := Encode(f)
	if err != nil {
		return err
	}
	select {
	case l.out <- b:
		return nil
	case <-l.ctx.Done():
		return context.Cause(l.ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// trySend hands a frame to the writer if the outbox has room.
func (l *link) trySend(f *Frame) bool {
	b, err := Encode(f)
	return err == nil && l.offer(b)
}

// offer hands an encoded frame to the writer if the outbox has room.
func (l *link) offer(b []byte) bool {
	select {
	case l.out <- b:
		return true
	default:
		return false
	}
}

// open starts a stream of this side.
func (l *link) open() (uint64, *stream) { return l.openWith(inboxFrames) }

// openWith starts a stream on which so many frames may wait.
func (l *link) openWith(frames int) (uint64, *stream) {
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

// deliver hands a frame to the stream it belongs to. Frames of a stream already
// closed are dropped.
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

// next waits for the next frame of a stream.
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
