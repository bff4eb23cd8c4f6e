package config

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Errors of Holder.Offer beside *RejectedError.
var (
	// ErrOlderRevision: the value is older than one already accepted. The
	// source is stale; nothing is to be done unless it stays so.
	ErrOlderRevision = errors.New("older than the accepted revision; it is ignored")
	// ErrConflict: one revision with two contents. Publish a new revision.
	ErrConflict = errors.New("another content was seen under this revision; publish under a new revision")
)

// Holder keeps the highest accepted snapshot of a process.
//
// It never goes back: not to a lower revision, and not to another content of the
// same revision. Safe for concurrent use; no method blocks on input or output.
type Holder struct {
	mu       sync.Mutex
	current  *Snapshot
	since    time.Time
	rejected *Rejection
}

// Rejection is the latest published value that was not accepted.
type Rejection struct {
	Revision int64     `json:"revision"`
	At       time.Time `json:"at"`
	Error    string    `json:"error"`
}

// NewHolder returns a Holder without a snapshot.
func NewHolder() *Holder {
	return &Holder{}
}

// Offer takes a published value from any source: the platform or a peer.
// It returns true when the value was accepted as a new revision, and nil and
// false when it is the one already held. Parts holds what is at hand of its parts;
// those of the snapshot held needn't be in it. A *MissingPartsError asks for more.
func (h *Holder) Offer(now time.Time, revision int64, content []byte, parts Parts) (bool, error) {
	if accepted, err, done := h.compareCurrent(now, revision, content); done {
		return accepted, err
	}
	next, err := acceptReusing(h.Current(), revision, bytes.Clone(content), parts)
	h.mu.Lock()
	defer h.mu.Unlock()
	var missing *MissingPartsError
	if errors.As(err, &missing) {
		return false, missing
	}
	if err != nil {
		h.reject(now, revision, err)
		return false, fmt.Errorf("revision %d: %w", revision, err)
	}
	if h.current != nil && h.current.Revision >= revision {
		return false, h.checkNotNewer(now, revision, content)
	}
	h.current = next
	h.since = now
	return true, nil
}

// compareCurrent answers for a value that isn't newer than the one held.
func (h *Holder) compareCurrent(now time.Time, revision int64, content []byte) (accepted bool, err error, done bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil || revision > h.current.Revision {
		return false, nil, false
	}
	return false, h.checkNotNewer(now, revision, content), true
}

func (h *Holder) checkNotNewer(now time.Time, revision int64, content []byte) error {
	if revision < h.current.Revision {
		return fmt.Errorf("revision %d under %d: %w", revision, h.current.Revision, ErrOlderRevision)
	}
	if bytes.Equal(content, h.current.Content) {
		return nil
	}
	err := fmt.Errorf("revision %d: %w", revision, ErrConflict)
	h.reject(now, revision, err)
	return err
}

func (h *Holder) reject(now time.Time, revision int64, err error) {
	h.rejected = &Rejection{Revision: revision, At: now, Error: err.Error()}
}

// Current returns the snapshot in force, or nil before the first.
func (h *Holder) Current() *Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Revision returns the accepted revision, or 0 before the first.
func (h *Holder) Revision() int64 {
	if s := h.Current(); s != nil {
		return s.Revision
	}
	return 0
}

// Status returns the snapshot, since when it is in force here, and the latest
// rejection, which may be nil.
func (h *Holder) Status() (s *Snapshot, since time.Time, rejected *Rejection) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current, h.since, h.rejected
}
