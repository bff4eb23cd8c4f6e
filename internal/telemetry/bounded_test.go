package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// stalled blocks each write until it is released.
type stalled struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestAStalledReaderHoldsNobodyUp(t *testing.T) {
	is := is.New(t)
	to := &stalled{release: make(chan struct{})}
	b := NewAsyncWriter(to)
	for range 3 * maxQueuedLines { // would never return if it waited
		_, err := b.Write([]byte("event=x\n"))
		is.NoErr(err)
	}
	is.True(b.Dropped() >= maxQueuedLines)
	close(to.release)
	b.Close()
	is.True(strings.Contains(to.String(), "event=log_lines_dropped count="))
	written := int64(strings.Count(to.String(), "event=x"))
	is.Equal(written+b.Dropped(), int64(3*maxQueuedLines)) // each is written or counted
}
