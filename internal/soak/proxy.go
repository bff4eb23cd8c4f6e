package soak

import (
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Mode is the network fault that a proxy injects into its connections.
type Mode int

// The modes.
const (
	// Pass forwards everything; no fault.
	Pass Mode = iota
	// Slow delays each chunk in both directions.
	Slow
	// Resets closes each connection with a TCP reset, also new ones.
	Resets
	// Silent forwards nothing and keeps the connections open.
	Silent
	// OneWay forwards what callers send and holds back what is sent to them.
	OneWay
	// RefusesNew refuses new connections and forwards everything on the open ones. Only a Path refuses a
	// connection before it is established; other proxies close it with a reset.
	RefusesNew
)

// ModeOf maps a number to one of the modes other than Pass that a proxy of one target can have.
func ModeOf(n int) Mode { return Slow + Mode(n)%(RefusesNew-Slow) }

const (
	// slowDelay is the delay of each chunk in mode Slow.
	slowDelay = 60 * time.Millisecond
	// chunkBytes is the largest chunk that is forwarded at once.
	chunkBytes = 16 << 10
	// dialTimeout bounds the dial of the target.
	dialTimeout = time.Second
)

// Proxy forwards TCP connections to a target on loopback. Safe for concurrent use.
type Proxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	faults  []*linkFault  // active faults; the last one applies
	holds   []*hold       // in effect
	changed chan struct{} // closed and replaced at each change
	conns   map[*net.TCPConn]struct{}
	stuck   map[*net.TCPConn]struct{} // connections that forward nothing until the proxy is closed
	link    *Link                     // nil without a limit
	closed  bool
	isPath  bool // callers choose the target; see Path
}

type linkFault struct{ mode Mode }

// hold selects what is held back, by the caller's IP address and the direction.
type hold struct {
	selects func(caller netip.Addr, forward bool) bool
}

// NewProxy returns a proxy that listens on a free port of loopback until Close.
func NewProxy(target string) (*Proxy, error) { return newProxy(target, false) }

func newProxy(target string, isPath bool) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, isPath: isPath, changed: make(chan struct{}), conns: map[*net.TCPConn]struct{}{}, stuck: map[*net.TCPConn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget sets the address to which new connections are forwarded.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// SetLink limits what is forwarded to the rate of a link, which other proxies may share.
func (p *Proxy) SetLink(l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
}

// Inject applies a mode until the returned function is called. The mode injected last applies.
func (p *Proxy) Inject(m Mode) (undo func()) {
	f := &linkFault{mode: m}
	p.change(func() { p.faults = append(p.faults, f) })
	if m == Resets {
		p.resetAll()
	}
	return func() {
		p.change(func() {
			for i, other := range p.faults {
				if other == f {
					p.faults = append(p.faults[:i:i], p.faults[i+1:]...)
					return
				}
			}
		})
	}
}

// Silence stops forwarding on all connections that are open now, without a reset, until the proxy is
// closed.
func (p *Proxy) Silence() {
	p.change(func() {
		for c := range p.conns {
			p.stuck[c] = struct{}{}
		}
	})
}

// Hold forwards nothing of what is selected by the caller's IP address and the direction, forward from the caller, until the
// returned function is called. Connections stay open, and what was held back is then forwarded.
func (p *Proxy) Hold(selects func(caller netip.Addr, forward bool) bool) (undo func()) {
	h := &hold{selects}
	p.change(func() { p.holds = append(p.holds, h) })
	return func() {
		p.change(func() { p.holds = slices.DeleteFunc(p.holds, func(other *hold) bool { return other == h }) })
	}
}

// isHeld reports whether a direction of a caller's connection forwards nothing.
func (p *Proxy) isHeld(caller netip.Addr, forward bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.holds, func(h *hold) bool { return h.selects(caller, forward) })
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // no connection is accepted any more, also if it fails
	p.change(func() { p.closed = true })
	p.resetAll()
}

// change runs f with the lock held, and wakes all goroutines that wait for a change.
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
	_ = c.SetLinger(0) // makes Close send a reset; fails if the connection is closed already
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
	if mode, _, _ := p.state(); !p.isPath && (mode == Resets || mode == RefusesNew) {
		reset(caller)
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	if p.isPath {
		var err error
		if target, err = p.awaitTarget(caller); err != nil {
			reset(caller)
			return
		}
	}
	c, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		reset(caller)
		return
	}
	callee := c.(*net.TCPConn)
	if !p.register(caller, callee) {
		return
	}
	if p.isPath && confirm(caller) != nil {
		p.end(caller, callee)
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
	if len(p.faults) > 0 {
		mode = p.faults[len(p.faults)-1].mode
	}
	return mode, p.changed, p.closed
}

// pump forwards bytes in one direction until either side closes.
func (p *Proxy) pump(to, from *net.TCPConn, forward bool) {
	buffer := make([]byte, chunkBytes)
	caller := callerOf(to, from, forward)
	for {
		n, err := from.Read(buffer)
		p.limit(n, forward)
		p.hold(from, caller, forward)
		if wasReset(from) { // data that was held back is lost when its sender resets
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
		if err == io.EOF { //nolint:errorlint // net returns io.EOF unwrapped
			_ = to.CloseWrite() // the other direction stays open
			return
		}
		p.end(to, from)
		return
	}
}

// callerOf returns the IP address of the caller of a connection.
func callerOf(to, from *net.TCPConn, forward bool) netip.Addr {
	caller := to
	if forward {
		caller = from
	}
	return caller.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
}

// limit blocks until n bytes may be forwarded at the rate of the link.
func (p *Proxy) limit(n int, forward bool) {
	p.mu.Lock()
	l := p.link
	p.mu.Unlock()
	if l != nil && n > 0 {
		l.take(n, forward)
	}
}

// wasReset reports whether a connection was reset by the other side.
func wasReset(c *net.TCPConn) (reset bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true // closed already
	}
	err = raw.Control(func(fd uintptr) {
		pending, failed := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		reset = failed == nil && syscall.Errno(pending) == syscall.ECONNRESET
	})
	return reset || err != nil
}

// Open returns the number of open connections, two for each one that is forwarded.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// hold blocks while a chunk that was read from a connection may not be forwarded.
func (p *Proxy) hold(from *net.TCPConn, caller netip.Addr, forward bool) {
	for {
		mode, changed, closed := p.state()
		switch {
		case (p.isStuck(from) || p.isHeld(caller, forward)) && !closed:
		case closed || mode == Pass || mode == Resets || mode == RefusesNew || (mode == OneWay && forward):
			return
		case mode == Slow:
			time.Sleep(slowDelay)
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
