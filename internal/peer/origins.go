package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/wait"
)

// errNoOrigins means that a peer is of a version that doesn't know the frames about origins.
var errNoOrigins = errors.New("the peer's version has no origins of streams")

// maxOrigins bounds the entries of one frame.
const maxOrigins = 4096

// StreamOrigin says which software version of a service's upstreams began a stream.
type StreamOrigin struct {
	// Request is the hash of the ID of the request that brought the stream's first event.
	Request uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint,omitempty"`
	// Remaining is how much longer the stream may be resumed.
	Remaining time.Duration `cbor:"4,keyasint"`
}

// OriginQuery asks for the origin of a stream of a service; Request is 0 if its first request is unknown.
type OriginQuery struct {
	Request uint64 `cbor:"1,keyasint,omitempty"`
	Service string `cbor:"2,keyasint"`
	// Lifetime is how long after its first event a stream may be resumed.
	Lifetime time.Duration `cbor:"3,keyasint"`
}

// OriginReply is the reply to an OriginQuery.
type OriginReply struct {
	// Known reports that Version of Service began the stream. Peers of earlier versions don't name the service.
	Known   bool   `cbor:"1,keyasint,omitempty"`
	Version string `cbor:"2,keyasint,omitempty"`
	Service string `cbor:"6,keyasint,omitempty"`
	// HasOnlyVersion reports that the peer has seen no version of the service's upstreams but OnlyVersion
	// within the Lifetime, or since it started unless Followed.
	HasOnlyVersion bool   `cbor:"3,keyasint,omitempty"`
	OnlyVersion    string `cbor:"4,keyasint,omitempty"`
	// HasNoVersion reports that the peer knows no version of the service; peers of earlier versions leave it out.
	HasNoVersion bool `cbor:"8,keyasint,omitempty"`
	// ConfigRevision is the revision of the peer's configuration.
	ConfigRevision int64 `cbor:"9,keyasint,omitempty"`
	// Followed reports that the peer has followed the list for the Lifetime, and Complete that its list is current as well.
	// Peers of earlier versions leave Followed out.
	Followed bool `cbor:"7,keyasint,omitempty"`
	Complete bool `cbor:"5,keyasint,omitempty"`
}

// MaxListedVersions is the number of versions from which on a ListHistory counts as incomplete.
const MaxListedVersions = 1 << 12

// ListHistory says which software versions the upstreams of each service have had since the sender, or peers before it, have
// followed the list.
type ListHistory struct {
	Followed time.Duration   `cbor:"1,keyasint"`
	Versions []ListedVersion `cbor:"2,keyasint,omitempty"`
}

// ListedVersion is a version of a service's upstreams.
type ListedVersion struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint,omitempty"`
	// Gone is for how long no upstream on the list has had it; 0 if one has.
	Gone time.Duration `cbor:"3,keyasint,omitempty"`
}

// isValid reports whether the durations and the number of versions are within their bounds. No history is valid.
func (h *ListHistory) isValid() bool {
	if h == nil {
		return true
	}
	for _, v := range h.Versions {
		if v.Service == "" || v.Gone < 0 || v.Gone > maxRemaining {
			return false
		}
	}
	return h.Followed >= 0 && h.Followed <= maxRemaining && len(h.Versions) < MaxListedVersions
}

func areValidOrigins(list []StreamOrigin) bool {
	for _, o := range list {
		if o.Remaining < 0 || o.Remaining > maxRemaining {
			return false
		}
	}
	return len(list) > 0 && len(list) <= maxOrigins
}

const (
	// originDelivery is how long origins wait for a link to their peer, which may be restarting, and
	// originRetry the time between two looks for it.
	originDelivery = 5 * time.Second
	originRetry    = 50 * time.Millisecond
)

// SendOrigins sends origins to a peer. It doesn't block. If no link to the peer is up, they wait for one in the
// background, for originDelivery. Those that were sent on a link within originDelivery before its end are sent anew, since the
// peer may not have read them.
func (m *Mesh) SendOrigins(address string, list []StreamOrigin) {
	if l := m.reachableLink(address); l != nil && m.knowsOrigins(address) && l.keepOrigins(boottime.Now(), list) {
		sendOrigins(l, list)
		return
	}
	m.mu.Lock()
	waiting := m.pendingOrigins[address]
	m.pendingOrigins[address] = append(waiting, list[:min(len(list), maxOrigins-len(waiting))]...)
	m.mu.Unlock()
	if len(waiting) == 0 {
		m.Go(func(ctx context.Context) { m.deliverOrigins(ctx, address) })
	}
}

// deliverOrigins sends the origins that wait for a link to a peer. It blocks until it is up, or drops them after
// originDelivery.
func (m *Mesh) deliverOrigins(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, originDelivery)
	defer cancel()
	l, err := m.ensureLink(ctx, address)
	for err != nil && wait.For(ctx, originRetry) {
		l, err = m.ensureLink(ctx, address)
	}
	m.mu.Lock()
	list := m.pendingOrigins[address]
	delete(m.pendingOrigins, address)
	m.mu.Unlock()
	switch {
	case err != nil || !m.knowsOrigins(address):
	case l.keepOrigins(boottime.Now(), list):
		sendOrigins(l, list)
	default: // the link has just ended
		m.SendOrigins(address, list)
	}
}

// resendOrigins sends the origins anew that a peer may not have read before its link ended.
func (m *Mesh) resendOrigins(address string, ended *link) {
	if list := ended.takeOrigins(boottime.Now()); len(list) > 0 && m.ctx.Err() == nil {
		m.SendOrigins(address, list)
	}
}

// sentOrigins are origins that were sent on a link.
type sentOrigins struct {
	at   time.Time
	list []StreamOrigin
}

// keepOrigins records origins that are about to be sent on the link, maxOrigins at most for originDelivery. It reports whether
// it did: not once they were taken.
func (l *link) keepOrigins(now time.Time, list []StreamOrigin) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.originsTaken {
		return false
	}
	list = list[max(len(list)-maxOrigins, 0):]
	l.origins = append(l.origins, sentOrigins{now, list})
	l.originCount += len(list)
	for now.Sub(l.origins[0].at) >= originDelivery || l.originCount > maxOrigins {
		l.originCount -= len(l.origins[0].list)
		l.origins[0] = sentOrigins{}
		l.origins = l.origins[1:]
	}
	return true
}

// takeOrigins returns the recorded origins of streams that can still be resumed, once. It is called when the link has ended.
func (l *link) takeOrigins(now time.Time) (out []StreamOrigin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.origins {
		elapsed := now.Sub(s.at)
		for _, o := range s.list {
			if o.Remaining -= elapsed; o.Remaining > 0 && elapsed < originDelivery {
				out = append(out, o)
			}
		}
	}
	l.originsTaken, l.origins, l.originCount = true, nil, 0
	return out
}

func sendOrigins(l *link, list []StreamOrigin) {
	for len(list) > 0 {
		n := min(len(list), maxOrigins)
		l.trySend(&Frame{Type: TypeOrigins, Origins: list[:n]}) // lost if the outbox is full
		list = list[n:]
	}
}

// QueryOrigin asks a peer for the origin of a stream, and blocks until it replies, at most for the duration
// within. An error means that there was no reply.
func (m *Mesh) QueryOrigin(ctx context.Context, address string, q *OriginQuery, within time.Duration) (*OriginReply, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, within, ErrNoReply)
	defer cancel()
	if _, err := m.ensureLink(ctx, address); err != nil {
		return nil, err
	}
	if !m.knowsOrigins(address) {
		return nil, errNoOrigins
	}
	var reply *OriginReply
	err := m.roundTrip(ctx, address, &Frame{Type: TypeOriginQuery, OriginQuery: q}, func(f *Frame) { reply = f.OriginReply })
	if err != nil {
		return nil, causeOf(ctx, err)
	}
	if reply == nil {
		return nil, fmt.Errorf("%w: no reply to a query of a stream's origin", ErrMalformedFrame)
	}
	return reply, nil
}

// knowsOrigins reports whether a peer has said in its hello that it knows the frames about origins. Others
// would end the link.
func (m *Mesh) knowsOrigins(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	return p != nil && p.hello.KnowsOrigins
}
