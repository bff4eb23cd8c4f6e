package upstream

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrBadResumeToken: the Last-Event-ID wasn't issued by an instance of tacktallyd.
var ErrBadResumeToken = errors.New("Last-Event-ID was not issued by tacktally; send the id of the last event received, or omit it to start a new request")

// ResumeToken is a position in a stream at its engine. It is sent as the ID of server-sent events,
// so that any instance can resume the stream.
type ResumeToken struct {
	Upstream string `cbor:"1,keyasint"`
	StreamID string `cbor:"2,keyasint"`
	Events   int    `cbor:"3,keyasint"`
	// Checksum is that of the data of the last of these events. Instances of earlier versions check it.
	Checksum uint32 `cbor:"4,keyasint,omitempty"`
	// Content is the checksum of the data of all these events; 0 in tokens of earlier versions.
	Content uint64 `cbor:"5,keyasint,omitempty"`
}

// isCheckable reports whether a resumed run can be compared with the events that the caller has.
func (t ResumeToken) isCheckable() bool { return t.Events == 0 || t.Content != 0 || t.Checksum != 0 }

// next returns the position after one more event.
func (t ResumeToken) next(event []byte) ResumeToken {
	t.Events++
	t.Checksum = checksumOf(event)
	t.Content = addContent(t.Content, event)
	return t
}

// isSame reports whether a position that was reached in a run is this one.
func (t ResumeToken) isSame(reached ResumeToken) bool {
	if t.Content != 0 {
		return reached.Content == t.Content
	}
	return reached.Checksum == t.Checksum
}

// addContent returns the checksum of the events before and the data of one more. It is never 0.
func addContent(before uint64, event []byte) uint64 {
	d := xxhash.New()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], before)
	_, _ = d.Write(b[:])
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, dataField) {
			_, _ = d.Write(bytes.TrimRight(line, "\r\n"))
			_, _ = d.Write([]byte{'\n'})
		}
	}
	return max(d.Sum64(), 1)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksumOf returns the checksum of an event's data.
func checksumOf(event []byte) uint32 {
	sum := uint32(0)
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, dataField) {
			sum = crc32.Update(sum, castagnoli, bytes.TrimRight(line, "\r\n"))
		}
	}
	return sum
}

// String returns the token encoded for the id field of an event.
func (t ResumeToken) String() string {
	b, err := cbor.Marshal(t)
	if err != nil {
		panic("upstream: a resume token must always encode: " + err.Error())
	}
	return base64.RawURLEncoding.EncodeToString(b)
}

// ParseResumeToken decodes a token. The caller must check that the upstream is one it may call.
func ParseResumeToken(text string) (ResumeToken, error) {
	var t ResumeToken
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || cbor.Unmarshal(b, &t) != nil {
		return t, ErrBadResumeToken
	}
	if _, err := netip.ParseAddrPort(t.Upstream); err != nil || !isValidStreamID(t.StreamID) || t.Events < 0 {
		return t, ErrBadResumeToken
	}
	return t, nil
}

// EventToken returns the token in the id field of an event that an instance relayed, and whether it
// has one.
func EventToken(event []byte) (ResumeToken, bool) {
	rest, ok := bytes.CutPrefix(event, []byte("id: "))
	if !ok {
		return ResumeToken{}, false
	}
	id, _, _ := bytes.Cut(rest, []byte("\n"))
	t, err := ParseResumeToken(string(id))
	return t, err == nil
}

func isValidStreamID(id string) bool {
	if id == "" || len(id) > 128 {
		return false
	}
	for _, c := range id {
		ok := c == '-' || c == '_' || ('0' <= c && c <= '9') || ('a' <= c && c <= 'z') || ('A' <= c && c <= 'Z')
		if !ok {
			return false
		}
	}
	return true
}
