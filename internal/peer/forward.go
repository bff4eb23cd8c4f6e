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

// Forward sends a request to a peer and relays the answer into the buffer, which
// it finishes unless it returns an error. Sent tells, with an error, whether the
// request may have reached the peer. It blocks until the answer ends.
//
// A buffer that holds a part of the answer already, from an earlier call under the
// same key, is gone on with: the peer gives the same answer from its start, and what
// was passed on is left out.
func (m *Mesh) Forward(ctx context.Context, address string, r *request.Request, b *answer.Buffer) (sent bool, err error) {
	l := m.linkTo(address)
	if l == nil {
		return false, fmt.Errorf("%w %s", ErrUnreachable, address)
	}
	id, s := l.open()
	defer l.closeStream(id)
	if err := l.send(ctx, &Frame{Type: TypeOpen, Stream: id, Request: r.ForPeer(time.Now())}); err != nil {
		return false, err
	}
	a := &arrival{link: l, id: id, buffer: b, skip: b.Written()}
	for {
		f, err := l.nextFrame(ctx, s)
		if err != nil {
			l.trySend(&Frame{Type: TypeCancel, Stream: id})
			return true, err
		}
		done, err := a.take(ctx, f)
		if err != nil {
			l.trySend(&Frame{Type: TypeCancel, Stream: id})
			return true, err
		}
		if done {
			return true, nil
		}
	}
}

// arrival is an answer that comes in on a stream.
type arrival struct {
	link   *link
	id     uint64
	buffer *answer.Buffer
	taken  int // bytes read since credit was last given
	skip   int // bytes of the answer that the buffer has had already
}

// take passes one frame on, and gives credit for what was read.
func (a *arrival) take(ctx context.Context, f *Frame) (done bool, err error) {
	switch f.Type {
	case TypeHead:
		a.buffer.Start(*f.Head)
	case TypeData:
		if err := a.write(ctx, f.Data); err != nil {
			return false, err
		}
		a.taken += charge(len(f.Data))
		if a.taken < creditAfter {
			return false, nil
		}
		err := a.link.send(ctx, &Frame{Type: TypeCredit, Stream: a.id, Credit: a.taken})
		a.taken = 0
		return false, err
	case TypeEnd:
		a.buffer.Finish(*f.End)
		return true, nil
	}
	return false, nil
}

func (a *arrival) write(ctx context.Context, data []byte) error {
	n := min(a.skip, len(data))
	a.skip -= n
	if n == len(data) {
		return nil
	}
	return a.buffer.Write(ctx, data[n:])
}

// SendPressure tells every peer of the zone within reach that work is about to be shed
// for lack of capacity, and waits until each holds no lower work, or ctx ends.
func (m *Mesh) SendPressure(ctx context.Context, p Pressure) {
	var all sync.WaitGroup
	for _, peer := range m.Peers() {
		if peer.Reachable && peer.Zone == m.o.Zone {
			all.Go(func() { _ = m.ask(ctx, peer.Address, &Frame{Type: TypePressure, Pressure: &p}, func(*Frame) {}) })
		}
	}
	all.Wait()
}

// replyFrames is how many frames answer what ask sends.
const replyFrames = 1

// ask sends a frame on a stream of its own and hands over the frame that answers it.
func (m *Mesh) ask(ctx context.Context, address string, f *Frame, answer func(*Frame)) error {
	l, err := m.linkFor(ctx, address)
	if err != nil {
		return err
	}
	id, s := l.openWith(replyFrames)
	defer l.closeStream(id)
	f.Stream = id
	if err := l.send(ctx, f); err != nil {
		return err
	}
	reply, err := l.nextFrame(ctx, s)
	if err != nil {
		if errors.Is(context.Cause(ctx), ErrNoReply) {
			l.miss(boottime.Now())
		}
		return err
	}
	answer(reply)
	return nil
}
