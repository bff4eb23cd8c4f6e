package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/request"
)

// Forward sends a request to a peer and relays the response into the buffer, which it finishes
// unless it returns an error. With an error, sent reports whether the request may have reached the
// peer. Forward blocks until the response ends.
//
// A buffer that already holds the beginning of the response, from an earlier call with the same
// key, is resumed: the peer sends the same response from its start, and the bytes that the buffer
// has are skipped.
func (m *Mesh) Forward(ctx context.Context, address string, r *request.Request, b *answer.Buffer) (sent bool, err error) {
	l := m.reachableLink(address)
	if l == nil {
		return false, fmt.Errorf("%w %s", ErrUnreachable, address)
	}
	id, s := l.openStream()
	defer l.closeStream(id)
	if err := l.send(ctx, &Frame{Type: TypeOpen, Stream: id, Request: r.ForPeer(time.Now())}); err != nil {
		return false, err
	}
	in := &incomingResponse{link: l, id: id, buffer: b, skip: b.Written()}
	for {
		f, err := l.nextFrame(ctx, s)
		if err != nil {
			l.trySend(&Frame{Type: TypeCancel, Stream: id})
			return true, err
		}
		done, err := in.handle(ctx, f)
		if err != nil {
			l.trySend(&Frame{Type: TypeCancel, Stream: id})
			return true, err
		}
		if done {
			return true, nil
		}
	}
}

// incomingResponse is a response that is received on a stream.
type incomingResponse struct {
	link       *link
	id         uint64
	buffer     *answer.Buffer
	uncredited int // bytes read since credit was last sent
	skip       int // bytes of the response that the buffer already has
}

// handle writes one frame to the buffer, and sends credit for the data that was read.
func (r *incomingResponse) handle(ctx context.Context, f *Frame) (done bool, err error) {
	switch f.Type {
	case TypeHead:
		r.buffer.Start(*f.Head)
	case TypeData:
		if err := r.write(ctx, f.Data); err != nil {
			return false, err
		}
		r.uncredited += charge(len(f.Data))
		if r.uncredited < creditThreshold {
			return false, nil
		}
		err := r.link.send(ctx, &Frame{Type: TypeCredit, Stream: r.id, Credit: r.uncredited})
		r.uncredited = 0
		return false, err
	case TypeEnd:
		r.buffer.Finish(*f.End)
		return true, nil
	}
	return false, nil
}

func (r *incomingResponse) write(ctx context.Context, data []byte) error {
	n := min(r.skip, len(data))
	r.skip -= n
	if n == len(data) {
		return nil
	}
	return r.buffer.Write(ctx, data[n:])
}

// SendPressure notifies every reachable peer of the zone that work is about to be shed for lack of
// capacity. It blocks until each peer has shed its lower-ranked work, or ctx ends.
func (m *Mesh) SendPressure(ctx context.Context, p Pressure) {
	var all sync.WaitGroup
	for _, peer := range m.Peers() {
		if peer.Reachable && peer.Zone == m.o.Zone {
			all.Go(func() { _ = m.roundTrip(ctx, peer.Address, &Frame{Type: TypePressure, Pressure: &p}, func(*Frame) {}) })
		}
	}
	all.Wait()
}

// replyFrames is the number of frames in the reply to a roundTrip.
const replyFrames = 1

// roundTrip sends a frame on a new stream and passes the frame that answers it to onReply. It
// blocks until the reply arrives, ctx ends or the link ends.
func (m *Mesh) roundTrip(ctx context.Context, address string, f *Frame, onReply func(*Frame)) error {
	l, err := m.ensureLink(ctx, address)
	if err != nil {
		return err
	}
	id, s := l.openStreamSized(replyFrames)
	defer l.closeStream(id)
	f.Stream = id
	if err := l.send(ctx, f); err != nil {
		return err
	}
	reply, err := l.nextFrame(ctx, s)
	if err != nil {
		if errors.Is(context.Cause(ctx), ErrNoReply) {
			l.recordMissedReply(boottime.Now())
		}
		return err
	}
	onReply(reply)
	return nil
}
