package soak

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Mode is how a proxy harms what passes through it.
type Mode int

// The modes.
const (
	// Pass harms nothing.
	Pass Mode = iota
	// Slow delays each piece in each direction.
	Slow
	// Resets ends each connection with a reset, new ones too.
	Resets
	// Silent passes nothing on.
	Silent
	// OneWay passes on what callers send and holds what comes back.
	OneWay
	modes // their number
)

// ModeOf maps a number to one of the harmful modes.
func ModeOf(n int) Mode { return Slow + Mode(n)%(modes-Slow) }

const (
	// slowBy is the delay of each piece.
	slowBy = 60 * time.Millisecond
	// piece is the size of the pieces that are passed on.
	piece = 16 << 10
	// dialTimeout bounds the making of the second half of a connection.
	dialTimeout = time.Second
)

// Proxy passes connections on to a target on loopback. Safe for concurrent use.
type Proxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	harms   []*harm       // those in force; the last one counts
	changed chan struct{} // closed at each change
	conns   map[*net.TCPConn]struct{}
	stuck   map[*net.TCPConn]struct{} // those that are silent for good
	closed  bool
}

type harm struct{ mode Mode }

// NewProxy returns a proxy that listens on loopback. Close ends it.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[*net.TCPConn]struct{}{}, stuck: map[*net.TCPConn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns where it listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget changes where new connections go.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// Inject puts a mode in force until the returned function is called.
func (p *Proxy) Inject(m Mode) (undo func()) {
	h := &harm{mode: m}
	p.change(func() { p.harms = append(p.harms, h) })
	if m == Resets {
		p.resetAll()
	}
	return func() {
		p.change(func() {
			for i, other := range p.harms {
				if other == h {
					p.harms = append(p.harms[:i:i], p.harms[i+1:]...)
					return
				}
			}
		})
	}
}

// Silence makes all connections that are open now silent for good, without a reset.
func (p *Proxy) Silence() {
	p.change(func() {
		for c := range p.conns {
			p.stuck[c] = struct{}{}
		}
	})
}

// Close ends the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // nothing is accepted any more either way
	p.change(func() { p.closed = true })
	p.resetAll()
}

func (p *Proxy) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // then closing resets; a connection that is gone needs none
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *Proxy) serve(caller *net.TCPConn) {
	if mode, _, _ := p.state(); mode == Resets {
		reset(caller)
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	c, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		reset(caller)
		return
	}
	callee := c.(*net.TCPConn)
	if !p.register(caller, callee) {
		return
	}
	go p.pump(callee, caller, true)
	p.pump(caller, callee, false)
}

func (p *Proxy) register(conns ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if p.closed {
			reset(c)
			continue
		}
		p.conns[c] = struct{}{}
	}
	return !p.closed
}

func (p *Proxy) state() (mode Mode, changed <-chan struct{}, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.harms) > 0 {
		mode = p.harms[len(p.harms)-1].mode
	}
	return mode, p.changed, p.closed
}

// pump passes bytes on in one direction until either end is over.
func (p *Proxy) pump(to, from *net.TCPConn, forward bool) {
	buffer := make([]byte, piece)
	for {
		n, err := from.Read(buffer)
		p.hold(from, forward)
		if wasReset(from) { // what a path holds up is lost when its sender resets
			p.end(to, from)
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF { //nolint:errorlint // net returns it bare
			_ = to.CloseWrite() // the other direction may go on
			return
		}
		p.end(to, from)
		return
	}
}

// wasReset tells whether a connection was reset by the other side.
func wasReset(c *net.TCPConn) (reset bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true // it is closed
	}
	err = raw.Control(func(fd uintptr) {
		pending, failed := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		reset = failed == nil && syscall.Errno(pending) == syscall.ECONNRESET
	})
	return reset || err != nil
}

// Open returns how many connections are open, two for each that passes.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// hold blocks for as long as a piece of a connection may not pass.
func (p *Proxy) hold(from *net.TCPConn, forward bool) {
	for {
		mode, changed, closed := p.state()
		switch {
		case p.isStuck(from) && !closed:
		case closed || mode == Pass || mode == Resets || (mode == OneWay && forward):
			return
		case mode == Slow:
			time.Sleep(slowBy)
			return
		}
		<-changed
	}
}

func (p *Proxy) isStuck(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, stuck := p.stuck[c]
	return stuck
}

func (p *Proxy) end(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		reset(c)
		delete(p.conns, c)
		delete(p.stuck, c)
	}
}
