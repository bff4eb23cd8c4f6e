package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// stalled blocks each write until release is closed.
type stalled struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// A log reader that stops reading must not block the process.
func TestAsyncWriterDropsLinesWhileDestinationBlocks(t *testing.T) {
	is := is.New(t)
	dest := &stalled{release: make(chan struct{})}
	w := NewAsyncWriter(dest)
	for range 3 * maxQueuedLines { // never ends if Write blocks
		_, err := w.Write([]byte("event=x\n"))
		is.NoErr(err)
	}
	is.True(w.Dropped() >= maxQueuedLines)
	close(dest.release)
	w.Close()
	is.True(strings.Contains(dest.String(), "event=log_lines_dropped count="))
	written := int64(strings.Count(dest.String(), "event=x"))
	is.Equal(written+w.Dropped(), int64(3*maxQueuedLines)) // each is written or counted
}
