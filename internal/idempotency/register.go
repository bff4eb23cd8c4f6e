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

// Limits bounds a Register.
type Limits struct {
	// Lifetime of keys.
	Lifetime time.Duration
	// MaxEntries bounds keys that are issued and not expired, and IDs in use.
	MaxEntries int
	// MaxAnswerBytes bounds the answers held.
	MaxAnswerBytes int64
}

// Fingerprint sets apart requests under one key: a sum over what is asked.
type Fingerprint [sha256.Size]byte

// String returns the sum in hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Use is one attempt of a request under a key or a caller-chosen ID.
type Use struct {
	// Key is the issued key, or the organisation and the caller-chosen ID.
	Key string
	// Organisation that sends it.
	Organisation string
	// Fingerprint of what is asked.
	Fingerprint Fingerprint
	// Expiry of the key on the register's clock.
	Expiry time.Duration
}

type entry struct {
	use     Use
	buffer  *answer.Buffer
	evicted bool
	size    int
	held    *list.Element // place in Register.answers, nil while running
}

// Register remembers the keys in use and their answers. Safe for concurrent use.
// No method blocks on input or output.
type Register struct {
	limits Limits
	clock  *Clock

	mu       sync.Mutex
	entries  map[string]*entry
	expiries []expiry   // in order of expiry: keys to forget and reservations to free
	answers  *list.List // of *entry, oldest answer first
	bytes    int64
	reserved int
	// reservedBy counts reservations by organisation.
	reservedBy map[string]int
}

// expiry frees a reservation (key is empty) or forgets a key.
type expiry struct {
	at           time.Duration
	key          string
	organisation string
}

// NewRegister returns an empty register.
func NewRegister(limits Limits, clock *Clock) *Register {
	return &Register{limits: limits, clock: clock, entries: map[string]*entry{}, answers: list.New(), reservedBy: map[string]int{}}
}

// Reserve keeps room for a key about to be issued to an organisation. The room is
// freed when the key expires, so that a key once issued always finds room. One
// organisation may have half of all, so that the others find some.
func (r *Register) Reserve(organisation string) *api.Problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Elapsed()
	r.forget(now)
	own := r.reservedBy[organisation]
	if r.reserved >= r.limits.MaxEntries || own >= max(r.limits.MaxEntries/2, 1) {
		wait := r.expiries[0].at - now
		return api.Refuse(api.ReasonKeyLimit,
			"%d idempotency keys are issued and not expired, %d of them to %s; come back later or raise idempotency.maxEntries", r.reserved, own, organisation).WithRetryAfter(wait)
	}
	r.reserved++
	r.reservedBy[organisation]++
	r.expiries = append(r.expiries, expiry{at: now + r.limits.Lifetime, organisation: organisation})
	return nil
}

// Begin enters a use of a key. First is true for the one use that may dispatch;
// its answer must be written to the returned buffer and finished. Every other
// use gets the buffer of the first, or a Problem.
func (r *Register) Begin(u Use) (buffer *answer.Buffer, first bool, problem *api.Problem) {
	r.mu.Lock()
	now := r.clock.Elapsed()
	r.forget(now)
	if e, ok := r.entries[u.Key]; ok {
		defer r.mu.Unlock()
		return r.join(e, u)
	}
	if now >= u.Expiry {
		r.mu.Unlock()
		return nil, false, api.UnknownOutcome(api.ReasonKeyExpired,
			"the key's lifetime is over and its earlier use is forgotten; it will not run from now on: check what it did before you ask for a new key")
	}
	e := &entry{use: u, buffer: answer.New(true)}
	r.entries[u.Key] = e
	r.expiries = insertExpiry(r.expiries, expiry{at: u.Expiry, key: u.Key})
	r.mu.Unlock()
	e.buffer.OnEnd(func(_ answer.End, size int) { r.hold(e, size) })
	return e.buffer, true, nil
}

// Join finds a use of a key without entering one. Found is false when the
// register doesn't know the key.
func (r *Register) Join(u Use) (buffer *answer.Buffer, found bool, problem *api.Problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(r.clock.Elapsed())
	e, ok := r.entries[u.Key]
	if !ok {
		return nil, false, nil
	}
	b, _, p := r.join(e, u)
	return b, true, p
}

func (r *Register) join(e *entry, u Use) (*answer.Buffer, bool, *api.Problem) {
	if e.use.Organisation != u.Organisation || e.use.Fingerprint != u.Fingerprint {
		return nil, false, api.Refuse(api.ReasonKeyMismatch,
			"the key was used for another request; use one key for one request, and send repeats unchanged")
	}
	if e.evicted {
		return nil, false, api.UnknownOutcome(api.ReasonAnswerEvicted,
			"the request ran and was answered, but its answer is no longer held; look the result up at the service")
	}
	return e.buffer, false, nil
}

// hold counts a finished answer, and drops the oldest answers past the bound.
func (r *Register) hold(e *entry, size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[e.use.Key] != e {
		return
	}
	e.size = size
	e.held = r.answers.PushBack(e)
	r.bytes += int64(size)
	for r.bytes > r.limits.MaxAnswerBytes {
		oldest := r.answers.Front().Value.(*entry)
		r.release(oldest)
		oldest.evicted = true
		oldest.buffer = nil
	}
}

func (r *Register) release(e *entry) {
	if e.held == nil {
		return
	}
	r.answers.Remove(e.held)
	e.held = nil
	r.bytes -= int64(e.size)
}

// forget drops what has expired. A use still running is kept until it ends.
func (r *Register) forget(now time.Duration) {
	kept := r.expiries[:0]
	done := 0
	for _, x := range r.expiries {
		if x.at > now {
			break
		}
		done++
		if x.key == "" {
			r.free(x.organisation)
			continue
		}
		if e := r.entries[x.key]; e != nil && e.held == nil && !e.evicted {
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

func (r *Register) free(organisation string) {
	r.reserved--
	r.reservedBy[organisation]--
	if r.reservedBy[organisation] == 0 {
		delete(r.reservedBy, organisation)
	}
}

// insertExpiry keeps the order. Keys nearly always expire in the order in which
// they were issued, so the search from the end is short.
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

// Stats tells how full the register is.
type Stats struct {
	Entries     int
	Reserved    int
	AnswerBytes int64
}

// Stats returns how full the register is.
func (r *Register) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(r.clock.Elapsed())
	return Stats{Entries: len(r.entries), Reserved: r.reserved, AnswerBytes: r.bytes}
}
