package transfer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/virtualtime"
	"github.com/tacktally/tacktally/internal/wait"
)

// configuration returns a configuration of a version with some routes. Those of the same seed are
// similar.
func configuration(version, routes int, seed uint64) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d\n", version)
	for n := range routes {
		mark := (uint64(n) + seed) * 0x9E3779B97F4A7C15
		fmt.Fprintf(&b, "route r-%x host %x.example prefix /%x/ timeout 9000 service app\n", mark, mark>>20, mark>>40)
	}
	return []byte(b.String())
}

func TestEncodingIsSmallWhereBaseIsSimilar(t *testing.T) {
	small, large := configuration(1, 45, 1), configuration(2, 1445, 1)
	for name, c := range map[string]struct {
		base, content []byte
		most          int // bytes
	}{
		"no base":            {nil, large, len(large) / 2},
		"many routes added":  {small, large, len(large) / 2},
		"one route added":    {large, configuration(3, 1446, 1), 1000},
		"the same":           {large, large, 1000},
		"many routes less":   {large, small, 1000},
		"nothing in common":  {configuration(2, 1445, 99_999), large, len(large)},
		"less than a window": {nil, []byte("version 1"), 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			encoded, err := encode(c.base, c.content)
			is.NoErr(err)
			is.True(len(encoded) <= c.most)
			content, err := decode(c.base, encoded)
			is.NoErr(err)
			is.True(bytes.Equal(content, c.content))
		})
	}
}

func TestSenderServesPartsOfTheLatest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := NewSender()
	first, second := configuration(1, 3000, 1), configuration(2, 4000, 1)
	p, err := s.Part(now, first, &peer.PartRequest{ID: 1})
	is.NoErr(err)
	is.Equal(p.Digest, Digest(first))
	is.Equal(len(p.Data), partBytes)
	is.True(p.Size > 2*partBytes)
	p, err = s.Part(now, first, &peer.PartRequest{ID: 1, Digest: p.Digest, Offset: partBytes})
	is.NoErr(err)
	is.Equal(p.Offset, partBytes)
	// A newer one is in force: it is sent from the start, as the difference to the base.
	p, err = s.Part(now, second, &peer.PartRequest{ID: 1, Digest: p.Digest, Offset: 2 * partBytes, Base: Digest(first)})
	is.NoErr(err)
	is.Equal(p.Digest, Digest(second))
	is.Equal(p.Base, Digest(first))
	is.Equal(p.Offset, 0)
	p, err = s.Part(now, second, &peer.PartRequest{ID: 2, Base: 12345}) // a base that it doesn't have
	is.NoErr(err)
	is.Equal(p.Base, uint64(0))
	p, err = s.Part(now, nil, &peer.PartRequest{ID: 3})
	is.NoErr(err)
	is.True(p.Busy) // without a configuration
}

// A fleet that requests a large configuration from the few instances that have it first must not
// share their links among all requests, so that none completes in time.
func TestSenderServesFewReceiversAtATime(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := NewSender()
	content := configuration(1, 3000, 1)
	busy := func(now time.Time, id uint64, offset int) bool {
		p, err := s.Part(now, content, &peer.PartRequest{ID: id, Digest: Digest(content), Offset: offset})
		is.NoErr(err)
		return p.Busy
	}
	for id := range uint64(maxReceivers) {
		is.True(!busy(now, id+1, 0))
	}
	is.True(busy(now, 99, 0))
	is.True(!busy(now, 1, partBytes)) // goes on
	encoded, err := encode(nil, content)
	is.NoErr(err)
	is.True(!busy(now, 1, len(encoded)/partBytes*partBytes)) // the last part
	is.True(!busy(now, 99, 0))
	is.True(busy(now, 100, 0))
	is.True(!busy(now.Add(receiverTimeout), 100, 0)) // the others are gone
}

func TestSenderBoundsItsBases(t *testing.T) {
	is := is.New(t)
	s := NewSender()
	for version := range 20 {
		s.Record(configuration(version, 20_000, 1))
	}
	bytes := 0
	for _, d := range s.documents {
		bytes += len(d.content)
	}
	is.True(bytes <= maxDocumentBytes)
	for version := range 20 {
		s.Record(configuration(version, 10, 1))
	}
	is.Equal(len(s.documents), maxDocuments)
}

// fleet is a set of senders, and one receiver that learns of them.
type fleet struct {
	t         *testing.T
	content   map[string][]byte // in force at the peers
	senders   map[string]*Sender
	fail      func(address string, r *peer.PartRequest) error // nil fails nothing
	requests  []string                                        // peers, in order
	parallel  int                                             // requests in progress
	inForce   []byte
	refuse    bool // whether what is received comes into force
	fromEarly bool // whether peers send no parts
	receiver  *Receiver
	// background runs the transfers.
	background sync.WaitGroup
}

func newFleet(t *testing.T, peers map[string][]byte) *fleet {
	f := &fleet{t: t, content: peers, senders: map[string]*Sender{}}
	for address := range peers {
		f.senders[address] = NewSender()
	}
	f.receiver = NewReceiver(ReceiverOptions{
		Go:      func(run func(context.Context)) { f.background.Go(func() { run(t.Context()) }) },
		Fetch:   f.fetch,
		InForce: func() []byte { return f.inForce },
		Holders: f.holders,
		Accept: func(_ string, _ int64, content []byte, _ time.Time) {
			if !f.refuse {
				f.inForce = content
			}
		},
		Metrics: telemetry.NewMetrics(),
		Log:     telemetry.NewLogger(io.Discard, "error", "test"),
	})
	return f
}

func (f *fleet) holders() (out []string) {
	for address, content := range f.content {
		if !bytes.Equal(content, f.inForce) {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

func (f *fleet) fetch(ctx context.Context, address string, r *peer.PartRequest) (*peer.State, time.Time, error) {
	f.requests = append(f.requests, address)
	f.parallel++
	if f.parallel > 1 {
		f.t.Error("two transfers at a time")
	}
	wait.For(ctx, time.Millisecond)
	f.parallel--
	if f.fail != nil {
		if err := f.fail(address, r); err != nil {
			return nil, time.Now(), err
		}
	}
	if f.fromEarly {
		return &peer.State{Revision: 7, Content: f.content[address]}, time.Now(), nil
	}
	p, err := f.senders[address].Part(time.Now(), f.content[address], r)
	return &peer.State{Revision: 7, Part: p}, time.Now(), err
}

func TestReceiverGetsTheConfiguration(t *testing.T) {
	old, latest, later := configuration(1, 45, 1), configuration(2, 3000, 1), configuration(3, 3100, 1)
	other := errors.New("link to the peer closed")
	for name, c := range map[string]struct {
		inForce []byte
		prepare func(f *fleet)
		want    []byte
		most    int // requests
	}{
		"without one":              {nil, func(*fleet) {}, latest, 4},
		"as a difference":          {old, func(*fleet) {}, latest, 4},
		"from an earlier instance": {old, func(f *fleet) { f.fromEarly = true }, latest, 1},
		"one peer is lost on the way": {old, func(f *fleet) {
			f.fail = func(address string, r *peer.PartRequest) error {
				if address == "a" && r.Offset > 0 {
					delete(f.content, "a") // no longer linked
					return other
				}
				return nil
			}
		}, latest, 7},
		"all are busy at first": {old, func(f *fleet) {
			for _, s := range f.senders {
				for id := range uint64(maxReceivers) {
					s.admit(time.Now(), id+1)
				}
			}
		}, latest, 20},
		"a newer one meanwhile": {old, func(f *fleet) {
			f.fail = func(_ string, r *peer.PartRequest) error {
				if r.Offset > 0 {
					f.content["a"], f.content["b"] = later, later
				}
				return nil
			}
		}, later, 6},
		"the base is another of the same digest": {old, func(f *fleet) {
			for _, s := range f.senders {
				s.documents = []document{{Digest(old), configuration(9, 45, 1)}}
			}
		}, latest, 8},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, map[string][]byte{"a": latest, "b": latest})
				f.inForce = c.inForce
				c.prepare(f)
				f.receiver.Start("a", Digest(latest))
				f.receiver.Start("b", Digest(latest)) // has no effect
				f.background.Wait()
				is.True(bytes.Equal(f.inForce, c.want))
				is.True(len(f.requests) <= c.most)
				is.True(!f.receiver.active)
			})
		})
	}
}

// A configuration that is not accepted would be received again and again.
func TestReceiverDoesNotReceiveRefusedConfigurationAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		content := configuration(2, 3000, 1)
		f := newFleet(t, map[string][]byte{"a": content})
		f.refuse = true
		f.receiver.Start("a", Digest(content))
		f.background.Wait()
		received := len(f.requests)
		f.receiver.Start("a", Digest(content))
		f.background.Wait()
		is.Equal(len(f.requests), received)
		is.True(!f.receiver.active)
	})
}

// Peers that hold two configurations, neither of which is accepted, would be asked in turn without
// end.
func TestReceiverStopsAfterRefusedConfiguration(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		content, other := configuration(2, 45, 1), configuration(3, 45, 1)
		f := newFleet(t, map[string][]byte{"a": content, "b": other})
		f.refuse = true
		f.receiver.Start("a", Digest(content))
		f.background.Wait()
		is.Equal(len(f.requests), 1)
	})
}
