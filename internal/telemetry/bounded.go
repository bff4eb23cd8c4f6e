package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxQueuedLines is how many lines may wait to be written: some seconds of a busy
	// instance's.
	maxQueuedLines = 4096
	// batchBytes bounds what is written at once.
	batchBytes = 32 << 10
)

// AsyncWriter writes lines in the background. A line for which there is no room is
// dropped and counted, so that whoever logs never waits. Safe for concurrent use.
type AsyncWriter struct {
	dest    io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stopped sync.WaitGroup
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns a writer to another one, which may block.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	b := &AsyncWriter{dest: to, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	b.stopped.Go(b.run)
	return b
}

// Write implements io.Writer for one whole line. It never blocks.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *AsyncWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits and ends. Lines written later are dropped.
func (b *AsyncWriter) Close() {
	b.once.Do(func() { close(b.done) })
	b.stopped.Wait()
}

func (b *AsyncWriter) run() {
	told := int64(0)
	for {
		select {
		case line := <-b.lines:
			told = b.write(b.batch(line), told)
		case <-b.done:
			if rest := b.batch(nil); len(rest) > 0 {
				b.write(rest, told)
			}
			return
		}
	}
}

// batch adds the lines that wait to a first one.
func (b *AsyncWriter) batch(out []byte) []byte {
	for len(out) < batchBytes {
		select {
		case line := <-b.lines:
			out = append(out, line...)
		default:
			return out
		}
	}
	return out
}

// write writes lines, and says how many were dropped since the last time.
func (b *AsyncWriter) write(out []byte, told int64) int64 {
	dropped := b.dropped.Load()
	if dropped > told {
		out = fmt.Appendf(out, "event=log_lines_dropped count=%d\n", dropped-told)
	}
	_, _ = b.dest.Write(out) // there is nowhere else to tell it
	return dropped
}
