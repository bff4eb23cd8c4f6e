package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
)

// Fetch asks a peer for its state and hands it to the Handler.
func (m *Mesh) Fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeoutCause(ctx, fetchTimeout, ErrNoReply)
	defer cancel()
	asked := boottime.Now()
	return m.ask(ctx, address, &Frame{Type: TypeFetch, Fetch: m.o.Handler.FetchRequest()}, func(f *Frame) {
		if f.State != nil {
			m.o.Handler.MergeState(address, asked, f.State)
		}
	})
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
	for _, p := range m.toAsk() {
		all.Go(func() {
			if m.Fetch(ctx, p.Address) == nil {
				cancel()
			}
		})
	}
	all.Wait()
}

// mostAsked bounds the peers that FetchAny asks of a fleet with few links: all that may know
// more are those that read the source, and some others for the case that these are cut off
// from it. Each hands over a whole configuration.
const mostAsked = 8

// toAsk returns the peers that FetchAny asks: those linked to, in a large fleet some of them.
func (m *Mesh) toAsk() []Status {
	peers := slices.DeleteFunc(m.Peers(), func(p Status) bool { return m.sparse != nil && !p.Linked })
	if m.sparse == nil || len(peers) <= mostAsked {
		return peers
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b Status) int {
		switch {
		case a.ReadsSource == b.ReadsSource:
			return 0
		case a.ReadsSource:
			return -1
		default:
			return 1
		}
	})
	return peers[:mostAsked]
}

// ScheduleFetch fetches a peer's state in the background, once a fetch that has just begun has
// ended or is slow. Of several that wait for that, the last is made: all tell of what is newest.
func (m *Mesh) ScheduleFetch(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	held := fetchPatience - boottime.Since(m.fetched)
	if m.fetches == 0 || held <= 0 {
		m.fetchNow(address)
		return
	}
	if m.fetchNext == "" {
		time.AfterFunc(held, m.fetchWaiting)
	}
	m.fetchNext = address
}

// fetchNow begins a fetch. The caller holds the lock.
func (m *Mesh) fetchNow(address string) {
	m.fetches++
	m.fetched = boottime.Now()
	m.wg.Go(func() {
		err := m.Fetch(m.ctx, address)
		m.mu.Lock()
		m.fetches--
		m.mu.Unlock()
		if err != nil && m.ctx.Err() == nil {
			m.o.Log.Warn().Str("event", "fetch_failed").Str("peer", address).Str("cause", err.Error()).Msg("")
		}
		m.fetchWaiting()
	})
}

// fetchWaiting makes the fetch that waits, if there is one.
func (m *Mesh) fetchWaiting() {
	m.mu.Lock()
	address := m.fetchNext
	m.fetchNext = ""
	m.mu.Unlock()
	if address != "" {
		m.ScheduleFetch(address)
	}
}
