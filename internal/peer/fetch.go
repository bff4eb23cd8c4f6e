package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
)

// Fetch requests a peer's state and passes it to Handler.MergeState. It blocks until the peer
// replies, ctx ends or fetchTimeout has passed.
func (m *Mesh) Fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeoutCause(ctx, fetchTimeout, ErrNoReply)
	defer cancel()
	requestedAt := boottime.Now()
	return m.roundTrip(ctx, address, &Frame{Type: TypeFetch, Fetch: m.o.Handler.FetchRequest()}, func(f *Frame) {
		if f.State != nil {
			m.o.Handler.MergeState(address, requestedAt, f.State)
		}
	})
}

// FetchPart requests one part of a peer's configuration. It returns the peer's reply and when it was
// requested. It blocks until the peer replies, ctx ends or fetchTimeout has passed.
func (m *Mesh) FetchPart(ctx context.Context, address string, r *PartRequest) (s *State, requestedAt time.Time, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, fetchTimeout, ErrNoReply)
	defer cancel()
	requestedAt = boottime.Now()
	err = m.roundTrip(ctx, address, &Frame{Type: TypeFetch, Fetch: &FetchRequest{Part: r}}, func(f *Frame) { s = f.State })
	if err == nil && s == nil {
		err = ErrMalformedFrame
	}
	return s, requestedAt, err
}

// linkPollInterval is how often FetchAll checks whether a link has come up.
const linkPollInterval = 10 * time.Millisecond

// FetchAll fetches the state of every known peer. It waits for links that aren't up yet, and blocks
// until all fetches have succeeded or ctx ends.
func (m *Mesh) FetchAll(ctx context.Context) {
	var all sync.WaitGroup
	for _, p := range m.Peers() {
		all.Go(func() { m.fetchWhenLinked(ctx, p.Address) })
	}
	all.Wait()
}

func (m *Mesh) fetchWhenLinked(ctx context.Context, address string) {
	t := time.NewTicker(linkPollInterval)
	defer t.Stop()
	for m.Fetch(ctx, address) != nil {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// FetchAny requests the state of the linked peers and blocks until one has replied, all have
// failed, or ctx ends.
func (m *Mesh) FetchAny(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	for _, p := range m.peersToFetchFrom() {
		all.Go(func() {
			if m.Fetch(ctx, p.Address) == nil {
				cancel()
			}
		})
	}
	all.Wait()
}

// maxFetchPeers bounds the peers that FetchAny queries in a sparse mesh. Only peers that read the
// source may have newer state; a few others are queried in case those can't reach the source.
// Each replies with a whole configuration.
const maxFetchPeers = 8

// peersToFetchFrom returns the peers that FetchAny queries: all known peers in a full mesh; in a
// sparse one the linked peers, at most maxFetchPeers of them, those that read the source first.
func (m *Mesh) peersToFetchFrom() []Status {
	peers := slices.DeleteFunc(m.Peers(), func(p Status) bool { return m.sparse != nil && !p.Linked })
	if m.sparse == nil || len(peers) <= maxFetchPeers {
		return peers
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	readsSource := func(s Status) bool { return s.Report != nil && s.ReadsSource }
	slices.SortStableFunc(peers, func(a, b Status) int {
		switch {
		case readsSource(a) == readsSource(b):
			return 0
		case readsSource(a):
			return -1
		default:
			return 1
		}
	})
	return peers[:maxFetchPeers]
}

// ScheduleFetch fetches a peer's state in the background. While another background fetch is in
// progress, it waits until that one ends, or is maxFetchDelay old. Of the fetches that wait, only
// the last one requested is made: all peers announce the latest state.
func (m *Mesh) ScheduleFetch(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	delay := maxFetchDelay - boottime.Since(m.lastFetch)
	if m.activeFetches == 0 || delay <= 0 {
		m.startFetch(address)
		return
	}
	if m.pendingFetch == "" {
		time.AfterFunc(delay, m.startPendingFetch)
	}
	m.pendingFetch = address
}

// startFetch starts a background fetch. The caller holds the lock.
func (m *Mesh) startFetch(address string) {
	m.activeFetches++
	m.lastFetch = boottime.Now()
	m.wg.Go(func() {
		err := m.Fetch(m.ctx, address)
		m.mu.Lock()
		m.activeFetches--
		m.mu.Unlock()
		if err != nil && m.ctx.Err() == nil {
			m.o.Log.Warn().Str("event", "fetch_failed").Str("peer", address).Str("cause", err.Error()).Msg("could not fetch the peer's state; its next announcement triggers another fetch")
		}
		m.startPendingFetch()
	})
}

// startPendingFetch starts the fetch that waits, if there is one.
func (m *Mesh) startPendingFetch() {
	m.mu.Lock()
	address := m.pendingFetch
	m.pendingFetch = ""
	m.mu.Unlock()
	if address != "" {
		m.ScheduleFetch(address)
	}
}
