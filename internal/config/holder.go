package config

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Errors of Holder.Offer, besides *RejectedError and *MissingPartsError.
var (
	// ErrOlderRevision is returned for a value that is older than the accepted one. Its
	// source is stale; no action is needed unless it stays so.
	ErrOlderRevision = errors.New("older than the accepted revision; it is ignored")
	// ErrConflict is returned for a value whose revision was accepted with other content.
	// Publish the value under a new revision.
	ErrConflict = errors.New("this revision was accepted with other content; publish under a new revision")
)

// Holder keeps the accepted snapshot with the highest revision.
//
// It never returns to a lower revision, nor replaces the content of a revision. Safe
// for concurrent use; no method blocks on input or output.
type Holder struct {
	mu       sync.Mutex
	current  *Snapshot
	since    time.Time
	rejected *Rejection
}

// Rejection describes the latest published value that was rejected.
type Rejection struct {
	Revision int64     `json:"revision"`
	At       time.Time `json:"at"`
	Error    string    `json:"error"`
}

// NewHolder returns a Holder that has no snapshot yet.
func NewHolder() *Holder {
	return &Holder{}
}

// Offer submits a published value, received from the platform or from a peer. It
// returns true if the value was accepted as a new revision, and false with a nil error
// if it is already in force. Parts are those parts of the document that the caller has;
// parts of the current snapshot may be left out. A *MissingPartsError lists the parts
// that are needed to decide. Other errors are *RejectedError, ErrOlderRevision and
// ErrConflict.
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

// compareCurrent returns the result of Offer for a value that isn't newer than the current
// snapshot. For a newer value it returns done false.
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
		return fmt.Errorf("revision %d is below %d: %w", revision, h.current.Revision, ErrOlderRevision)
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

// Current returns the snapshot in force, or nil if none has been accepted yet.
func (h *Holder) Current() *Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Revision returns the accepted revision, or 0 if none has been accepted yet.
func (h *Holder) Revision() int64 {
	if s := h.Current(); s != nil {
		return s.Revision
	}
	return 0
}

// Status returns the snapshot in force, the time at which it was accepted, and the latest
// rejection, or nil if there was none.
func (h *Holder) Status() (s *Snapshot, since time.Time, rejected *Rejection) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current, h.since, h.rejected
}
