package processor

import (
	"fmt"
	"os"
	"time"
)

// probe measures how long bytes that arrive at this process wait until they are read: they wait for the processor, and
// behind what has arrived before. Timers don't show that, since they are served first.
type probe struct {
	in, out *os.File
	sent    chan time.Time
	delays  chan time.Duration
	pending time.Time // when the byte that wasn't read yet was written; zero if there is none
}

// newProbe returns a probe that measures with the two ends of a pipe. close ends it.
func newProbe() (*probe, error) {
	out, in, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("open a pipe to measure delays; allow more file descriptors: %w", err)
	}
	p := &probe{in: in, out: out, sent: make(chan time.Time, 1), delays: make(chan time.Duration, 1)}
	go p.read()
	return p, nil
}

func (p *probe) read() {
	var b [1]byte
	for {
		if _, err := p.out.Read(b[:]); err != nil {
			return // closed
		}
		p.delays <- time.Since(<-p.sent)
	}
}

// measure returns the delay of the byte that the previous call wrote, or how long it has waited so far, and writes
// the next one if it was read.
func (p *probe) measure(now time.Time) (delay time.Duration) {
	if !p.pending.IsZero() {
		select {
		case delay = <-p.delays:
		default:
			return now.Sub(p.pending)
		}
	}
	p.sent <- now
	if _, err := p.in.Write([]byte{0}); err != nil {
		return delay // closed
	}
	p.pending = now
	return delay
}

func (p *probe) close() {
	_ = p.in.Close()
	_ = p.out.Close()
}
