package soak

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a program that is restarted whenever it ends, until Stop. Signals go only to the
// process that it started itself. Safe for concurrent use.
type Process struct {
	command []string
	log     io.Writer

	mu      sync.Mutex
	running *exec.Cmd
	started time.Time
	ended   chan struct{} // closed when running has ended
	stopped bool
}

// StartProcess starts a program. Its standard output and standard error go to log.
func StartProcess(log io.Writer, command ...string) (*Process, error) {
	p := &Process{command: command, log: log}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p, p.start()
}

// start starts the program. The caller holds the lock.
func (p *Process) start() error {
	c := exec.Command(p.command[0], p.command[1:]...)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.command[0], err)
	}
	p.running = c
	p.started = time.Now()
	p.ended = make(chan struct{})
	go p.reap(c, p.ended)
	return nil
}

// reap waits until a process has ended and starts the next one, unless Stop was called.
func (p *Process) reap(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	fmt.Fprintf(p.log, "soak: process %d ended: %v\n", c.Process.Pid, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(ended)
	if p.stopped {
		return
	}
	if err := p.start(); err != nil {
		fmt.Fprintln(p.log, "soak:", err)
	}
}

// StartedAt returns the start time of the current process.
func (p *Process) StartedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

// pid returns the ID of the current process.
func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running.Process.Pid
}

// Signal sends a signal to the current process. It does nothing if that has ended.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
	default:
		_ = p.running.Process.Signal(s) // fails if the process has just ended
	}
}

// Stop kills the process without restarting it, and blocks until it has ended.
func (p *Process) Stop() {
	p.mu.Lock()
	p.stopped = true
	ended := p.ended
	p.mu.Unlock()
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.Signal(os.Kill.(syscall.Signal)))
	<-ended
}
