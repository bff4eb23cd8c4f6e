package transfer

import (
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/peer"
)

const (
	// InlineBytes is the size up to which a configuration is sent whole within a peer's state.
	InlineBytes = 16 << 10
	// partBytes is the size of a part. It takes 13 ms of a link of 10 Mbit/s, which other frames wait
	// for.
	partBytes = 16 << 10
	// maxReceivers is how many transfers a sender serves at a time, so that each of them completes
	// soon and its receiver can serve others.
	maxReceivers = 4
	// receiverTimeout is the silence after which a transfer no longer counts.
	receiverTimeout = time.Second
	// maxDocuments and maxDocumentBytes bound the configurations that are kept as bases: the latest
	// and some before it.
	maxDocuments     = 4
	maxDocumentBytes = 4 << 20
)

type document struct {
	digest  uint64
	content []byte
}

// Sender serves parts of the configuration in force. It is safe for concurrent use.
type Sender struct {
	mu        sync.Mutex
	documents []document           // the latest first
	encodings map[uint64][]byte    // of the latest, by the digest of the base; 0 is none
	receivers map[uint64]time.Time // when each transfer in progress last requested a part, by its ID
}

// NewSender returns a sender without a configuration.
func NewSender() *Sender {
	return &Sender{encodings: map[uint64][]byte{}, receivers: map[uint64]time.Time{}}
}

// Record records the configuration in force and returns its digest.
func (s *Sender) Record(content []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record(content)
}

// record records the configuration in force. The caller holds the lock.
func (s *Sender) record(content []byte) uint64 {
	if len(content) == 0 {
		return 0
	}
	if len(s.documents) > 0 && isSameSlice(s.documents[0].content, content) {
		return s.documents[0].digest
	}
	latest := document{Digest(content), content}
	kept, bytes := []document{latest}, len(content)
	for _, d := range s.documents {
		if bytes += len(d.content); len(kept) == maxDocuments || bytes > maxDocumentBytes {
			break
		}
		if d.digest != latest.digest {
			kept = append(kept, d)
		}
	}
	s.documents = kept
	clear(s.encodings)
	return latest.digest
}

// isSameSlice reports whether two non-empty slices share their memory, so that contents needn't be
// compared.
func isSameSlice(a, b []byte) bool { return len(a) == len(b) && &a[0] == &b[0] }

// Part returns the requested part of the configuration in force. If that isn't the one that the
// request continues, it is the first part.
func (s *Sender) Part(now time.Time, content []byte, r *peer.PartRequest) (*peer.Part, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := s.record(content)
	if digest == 0 || !s.admit(now, r.ID) {
		return &peer.Part{Busy: true}, nil
	}
	base := s.base(r.Base)
	encoded, err := s.encoding(base)
	if err != nil {
		return nil, err
	}
	p := &peer.Part{Digest: digest, Base: base.digest, Size: len(encoded), Offset: r.Offset}
	if r.Digest != digest || r.Offset > len(encoded) {
		p.Offset = 0
	}
	end := min(p.Offset+partBytes, len(encoded))
	p.Data = encoded[p.Offset:end]
	if end == len(encoded) {
		delete(s.receivers, r.ID)
	}
	return p, nil
}

// admit reports whether a transfer may begin or go on. The caller holds the lock.
func (s *Sender) admit(now time.Time, id uint64) bool {
	for other, last := range s.receivers {
		if now.Sub(last) >= receiverTimeout {
			delete(s.receivers, other)
		}
	}
	if _, goesOn := s.receivers[id]; !goesOn && len(s.receivers) >= maxReceivers {
		return false
	}
	s.receivers[id] = now
	return true
}

// base returns the earlier configuration with a digest; without one, an empty document. The caller
// holds the lock.
func (s *Sender) base(digest uint64) document {
	for _, d := range s.documents[1:] {
		if d.digest == digest {
			return d
		}
	}
	return document{}
}

// encoding returns the latest configuration as the difference to a base. The caller holds the lock.
func (s *Sender) encoding(base document) ([]byte, error) {
	if encoded := s.encodings[base.digest]; encoded != nil {
		return encoded, nil
	}
	encoded, err := encode(base.content, s.documents[0].content)
	if err != nil {
		return nil, err
	}
	s.encodings[base.digest] = encoded
	return encoded, nil
}
