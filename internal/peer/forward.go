package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/request"
)

// Forward sends a request to a peer and relays the answer into the buffer, which
// it finishes unless it returns an error. Sent tells, with an error, whether the
// request may have reached the peer. It blocks until the answer ends.
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
	for {
		f, err := l.nextFrame(ctx, s)
		if err != nil {
			l.trySend(&Frame{Type: TypeCancel, Stream: id})
			return true, err
		}
		done, err := l.relay(ctx, id, f, b)
		if err != nil {
			l.trySend(&Frame{Type: TypeCancel, Stream: id})
			return true, err
		}
		if done {
			return true, nil
		}
	}
}

// relay passes one frame of an answer on.
func (l *link) relay(ctx context.Context, id uint64, f *Frame, b *answer.Buffer) (done bool, err error) {
	switch f.Type {
	case TypeHead:
		b.Start(*f.Head)
	case TypeData:
		if err := b.Write(ctx, f.Data); err != nil {
			return false, err
		}
		return false, l.send(ctx, &Frame{Type: TypeCredit, Stream: id, Credit: charge(len(f.Data))})
	case TypeEnd:
		b.Finish(*f.End)
		return true, nil
	}
	return false, nil
}

// Fetch asks a peer for its state and hands it to the Handler.
func (m *Mesh) Fetch(ctx context.Context, address string) error {
	l := m.linkTo(address)
	if l == nil {
		return fmt.Errorf("%w %s", ErrUnreachable, address)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	id, s := l.open()
	defer l.closeStream(id)
	if err := l.send(ctx, &Frame{Type: TypeFetch, Stream: id}); err != nil {
		return err
	}
	f, err := l.nextFrame(ctx, s)
	if err != nil {
		return err
	}
	if f.State != nil {
		m.o.Handler.Learn(address, f.State)
	}
	return nil
}

// linkPoll is how often FetchAll looks whether a link has come up.
const linkPoll = 10 * time.Millisecond

// FetchAll fetches the state of every peer that is to be linked to, waiting for
// its link, until ctx ends.
func (m *Mesh) FetchAll(ctx context.Context) {
	var all sync.WaitGroup
	for _, p := range m.Peers() {
		all.Go(func() { m.fetchWhenLinked(ctx, p.Address) })
	}
	all.Wait()
}

func (m *Mesh) fetchWhenLinked(ctx context.Context, address string) {
	t := time.NewTicker(linkPoll)
	defer t.Stop()
	for m.Fetch(ctx, address) != nil {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// FetchAny fetches the state of the linked peers until one has answered or ctx ends.
func (m *Mesh) FetchAny(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	for _, p := range m.Peers() {
		all.Go(func() {
			if m.Fetch(ctx, p.Address) == nil {
				cancel()
			}
		})
	}
	all.Wait()
}

// FetchSoon fetches a peer's state in the background, one fetch at a time.
func (m *Mesh) FetchSoon(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fetching || m.ctx.Err() != nil {
		return
	}
	m.fetching = true
	m.wg.Go(func() {
		err := m.Fetch(m.ctx, address)
		m.mu.Lock()
		m.fetching = false
		m.mu.Unlock()
		if err != nil && m.ctx.Err() == nil {
			m.o.Log.Warn().Str("event", "fetch_failed").Str("peer", address).Str("cause", err.Error()).Msg("")
		}
	})
}
