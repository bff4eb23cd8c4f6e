package entry

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/transfer"
	"github.com/tacktally/tacktally/internal/view"
)

// anyDocument is a source whose configurations are all valid.
type anyDocument struct{ nothing }

func (anyDocument) Decode([]byte) (*routing.Document, error) { return &routing.Document{}, nil }

// newInstanceWith returns an instance with a configuration in force.
func newInstanceWith(t *testing.T, content []byte) *Instance {
	i := newInstance(t, settings.Overload{})
	i.view = view.New(view.Options{Source: anyDocument{}, Lease: time.Second, Metrics: i.metrics, Log: telemetry.NewLogger(io.Discard, "error", "test")})
	i.view.SetEvacuations(nil, 1)
	i.view.SetConfiguration(7, content, time.Now())
	return i
}

// Replies that hold a large configuration whole, many at a time, fill the links of a fleet. A peer of
// an earlier version knows no other replies, and a small configuration needs none.
func TestStateLeavesOutLargeConfigurations(t *testing.T) {
	small, large := bytes.Repeat([]byte("s"), transfer.InlineBytes), bytes.Repeat([]byte("l"), transfer.InlineBytes+1)
	for name, c := range map[string]struct {
		content []byte
		request peer.FetchRequest
		whole   bool
		digest  uint64
	}{
		"large":                        {large, peer.FetchRequest{AcceptsParts: true}, false, transfer.Digest(large)},
		"large, known":                 {large, peer.FetchRequest{AcceptsParts: true, Revision: 7}, false, 0},
		"large, to an earlier version": {large, peer.FetchRequest{}, true, 0},
		"small":                        {small, peer.FetchRequest{AcceptsParts: true}, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &peerHandler{instance: newInstanceWith(t, c.content)}
			s := h.State(&c.request)
			is.Equal(s.Revision, int64(7))
			is.Equal(bytes.Equal(s.Content, c.content), c.whole)
			is.Equal(s.ContentDigest, c.digest)
		})
	}
}

// A peer that publishes the same content again, or announces only what is in force, proves it.
func TestDigestOfConfigurationInForceProvesIt(t *testing.T) {
	is := is.New(t)
	content := bytes.Repeat([]byte("l"), transfer.InlineBytes+1)
	i := newInstanceWith(t, content)
	asOf := time.Now().Add(time.Minute)
	(&peerHandler{instance: i}).mergeConfiguration("peer", asOf, &peer.State{Revision: 9, ContentDigest: transfer.Digest(content)})
	is.Equal(i.view.Revision(), int64(9))
	age, _ := i.view.Age()
	is.True(age < 0) // proven as of asOf
}

// A part comes with the revision and the age of the configuration that it belongs to.
func TestStateWithPartHasRevisionAndAge(t *testing.T) {
	is := is.New(t)
	content := bytes.Repeat([]byte("l"), transfer.InlineBytes+1)
	h := &peerHandler{instance: newInstanceWith(t, content)}
	s := h.State(&peer.FetchRequest{Part: &peer.PartRequest{ID: 1}})
	is.Equal(s.Revision, int64(7))
	is.True(s.Age > 0)
	is.Equal(s.Part.Digest, transfer.Digest(content))
	is.Equal(s.ListVersion, int64(0))
}
