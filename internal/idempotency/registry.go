package idempotency

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
)

// Limits are the limits of a Registry.
type Limits struct {
	// Lifetime is the lifetime of an issued key.
	Lifetime time.Duration
	// MaxEntries bounds the issued keys that haven't expired and the caller-chosen IDs in use,
	// together.
	MaxEntries int
	// MaxAnswerBytes bounds the total size of the retained responses, in bytes.
	MaxAnswerBytes int64
}

// Fingerprint is a hash of the content of a request. It distinguishes requests under the same key.
type Fingerprint [sha256.Size]byte

// String returns the hash in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Use is one attempt of a request under a key or a caller-chosen ID.
type Use struct {
	// Key is the issued key, or the organisation and the caller-chosen ID.
	Key string
	// Organisation is the organisation that sends the request.
	Organisation string
	// Fingerprint is the hash of the request's content.
	Fingerprint Fingerprint
	// Expiry is the time at which the key expires, on the registry's clock.
	Expiry time.Duration
}

type entry struct {
	use      Use
	buffer   *answer.Buffer
	evicted  bool
	size     int
	retained *list.Element // element of Registry.answers; nil while running
}

// Registry remembers the keys in use and their responses. It is safe for concurrent use. No method
// blocks on I/O.
type Registry struct {
	limits Limits
	clock  *Clock

	mu       sync.Mutex
	entries  map[string]*entry
	expiries []expiry   // by time: keys to remove and reservations to release
	answers  *list.List // of *entry, oldest response first
	bytes    int64
	reserved int
	// reservedBy is the number of reservations by organisation.
	reservedBy map[string]int
}

// expiry is the time at which a key is removed or, if key is empty, a reservation is released.
type expiry struct {
	at           time.Duration
	key          string
	organisation string
}

// NewRegistry returns an empty registry.
func NewRegistry(limits Limits, clock *Clock) *Registry {
	return &Registry{limits: limits, clock: clock, entries: map[string]*entry{}, answers: list.New(), reservedBy: map[string]int{}}
}

// Reserve reserves an entry for a key that is about to be issued to an organisation. The
// reservation is released when the key expires, so there is always an entry for an issued key. One
// organisation may reserve at most half of all entries, so that some remain for the others.
func (r *Registry) Reserve(organisation string) *api.Problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Elapsed()
	r.expire(now)
	own := r.reservedBy[organisation]
	if r.reserved >= r.limits.MaxEntries || own >= max(r.limits.MaxEntries/2, 1) {
		wait := r.expiries[0].at - now
		return api.Refuse(api.ReasonKeyLimit,
			"%d idempotency keys are issued and not expired, %d of them to %s; retry after the given time or raise idempotency.maxEntries", r.reserved, own, organisation).WithRetryAfter(wait)
	}
	r.reserved++
	r.reservedBy[organisation]++
	r.expiries = append(r.expiries, expiry{at: now + r.limits.Lifetime, organisation: organisation})
	return nil
}

// Begin adds a use of a key. First is true for the one use that may dispatch; its response must be
// written to the returned buffer, which must be finished. Every other use gets the buffer of the
// first, or a Problem.
func (r *Registry) Begin(u Use) (buffer *answer.Buffer, first bool, problem *api.Problem) {
	r.mu.Lock()
	now := r.clock.Elapsed()
	r.expire(now)
	if e, ok := r.entries[u.Key]; ok {
		defer r.mu.Unlock()
		return r.join(e, u)
	}
	if now >= u.Expiry {
		r.mu.Unlock()
		return nil, false, api.UnknownOutcome(api.ReasonKeyExpired,
			"the key has expired and its earlier use is no longer known; it won't run any more: check what it did before you request a new key").WithAttemptNotRun()
	}
	e := &entry{use: u, buffer: answer.New(true)}
	r.entries[u.Key] = e
	r.expiries = insertExpiry(r.expiries, expiry{at: u.Expiry, key: u.Key})
	r.mu.Unlock()
	e.buffer.OnEnd(func(_ answer.End, size int) { r.retain(e, size) })
	return e.buffer, true, nil
}

// Join returns the buffer of an earlier use of a key, without adding a use. Found is false if the
// registry doesn't know the key.
func (r *Registry) Join(u Use) (buffer *answer.Buffer, found bool, problem *api.Problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(r.clock.Elapsed())
	e, ok := r.entries[u.Key]
	if !ok {
		return nil, false, nil
	}
	b, _, p := r.join(e, u)
	return b, true, p
}

func (r *Registry) join(e *entry, u Use) (*answer.Buffer, bool, *api.Problem) {
	if e.use.Organisation != u.Organisation || e.use.Fingerprint != u.Fingerprint {
		return nil, false, api.Refuse(api.ReasonKeyMismatch,
			"the key was used for another request; use each key for one request, and send retries unchanged")
	}
	if e.evicted {
		return nil, false, api.UnknownOutcome(api.ReasonAnswerEvicted,
			"the request ran and was answered, but its response is no longer retained; look up the result at the service")
	}
	return e.buffer, false, nil
}

// retain counts a finished response, and evicts the oldest responses beyond the limit.
func (r *Registry) retain(e *entry, size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[e.use.Key] != e {
		return
	}
	e.size = size
	e.retained = r.answers.PushBack(e)
	r.bytes += int64(size)
	for r.bytes > r.limits.MaxAnswerBytes {
		oldest := r.answers.Front().Value.(*entry)
		r.release(oldest)
		oldest.evicted = true
		oldest.buffer = nil
	}
}

func (r *Registry) release(e *entry) {
	if e.retained == nil {
		return
	}
	r.answers.Remove(e.retained)
	e.retained = nil
	r.bytes -= int64(e.size)
}

// expire removes expired keys and reservations. A use that is still running is kept until it ends.
func (r *Registry) expire(now time.Duration) {
	kept := r.expiries[:0]
	done := 0
	for _, x := range r.expiries {
		if x.at > now {
			break
		}
		done++
		if x.key == "" {
			r.releaseReservation(x.organisation)
			continue
		}
		if e := r.entries[x.key]; e != nil && e.retained == nil && !e.evicted {
			kept = append(kept, x) // still running
			continue
		}
		if e := r.entries[x.key]; e != nil {
			r.release(e)
			delete(r.entries, x.key)
		}
	}
	if done > 0 {
		rest := r.expiries[done:]
		r.expiries = append(kept, rest...)
	}
}

func (r *Registry) releaseReservation(organisation string) {
	r.reserved--
	r.reservedBy[organisation]--
	if r.reservedBy[organisation] == 0 {
		delete(r.reservedBy, organisation)
	}
}

// insertExpiry inserts x in order of time. Keys almost always expire in the order in which they
// were issued, so the search from the end is short.
func insertExpiry(list []expiry, x expiry) []expiry {
	i := len(list)
	for i > 0 && list[i-1].at > x.at {
		i--
	}
	list = append(list, expiry{})
	copy(list[i+1:], list[i:])
	list[i] = x
	return list
}

// Stats are the numbers of entries, of reservations and of bytes in retained responses.
type Stats struct {
	Entries     int
	Reserved    int
	AnswerBytes int64
}

// Stats returns the current Stats.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(r.clock.Elapsed())
	return Stats{Entries: len(r.entries), Reserved: r.reserved, AnswerBytes: r.bytes}
}
