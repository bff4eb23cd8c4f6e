package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written. A busy instance
	// logs that many in a few seconds.
	maxQueuedLines = 4096
	// batchBytes is the size of a batch from which no further lines are added to it.
	batchBytes = 32 << 10
)

// AsyncWriter writes lines to another writer in the background. If the queue is full, a
// line is dropped and counted, so that logging never blocks. Safe for concurrent use.
type AsyncWriter struct {
	dest    io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stopped sync.WaitGroup
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter to dest, which may block. Close stops it.
func NewAsyncWriter(dest io.Writer) *AsyncWriter {
	w := &AsyncWriter{dest: dest, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	w.stopped.Go(w.run)
	return w
}

// Write queues one whole line. It implements io.Writer, never blocks, and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes one more batch of the queued lines and stops the writer. It blocks until the
// batch is written. Lines that are queued afterwards are lost.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.done) })
	w.stopped.Wait()
}

func (w *AsyncWriter) run() {
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			reported = w.write(w.batch(line), reported)
		case <-w.done:
			if remaining := w.batch(nil); len(remaining) > 0 {
				w.write(remaining, reported)
			}
			return
		}
	}
}

// batch appends queued lines to out, without blocking, until out has batchBytes.
func (w *AsyncWriter) batch(out []byte) []byte {
	for len(out) < batchBytes {
		select {
		case line := <-w.lines:
			out = append(out, line...)
		default:
			return out
		}
	}
	return out
}

// write writes lines, followed by the number of lines dropped since the last write if there
// are any. It returns the total number of dropped lines reported.
func (w *AsyncWriter) write(out []byte, reported int64) int64 {
	dropped := w.dropped.Load()
	if dropped > reported {
		out = fmt.Appendf(out, "event=log_lines_dropped count=%d\n", dropped-reported)
	}
	_, _ = w.dest.Write(out) // there is no other place to report the error
	return dropped
}
