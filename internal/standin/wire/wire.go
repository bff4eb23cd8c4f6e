// Package wire is a stand-in of the network between two processes: a TCP relay
// that a test can cut for chosen sources.
//
// A cut is silent, as in a partition: connections stay open and nothing passes.
// What was under way is lost with the connection, which Heal closes.
package wire

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

const bufferBytes = 32 << 10

// Relay passes connections to a target. Safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	passed atomic.Int64

	mu    sync.Mutex
	cuts  map[string]bool // by source IP; "" cuts all
	conns map[*pair]bool
}

type pair struct {
	source string
	a, b   net.Conn
	cut    bool
}

// Listen starts a relay on an address.
func Listen(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("a relay can't listen on %s: %w", address, err)
	}
	r := &Relay{listener: l, target: target, cuts: map[string]bool{}, conns: map[*pair]bool{}}
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.close()
	}
}

// RelayedBytes returns how many bytes have passed, both ways.
func (r *Relay) RelayedBytes() int64 { return r.passed.Load() }

// Partition lets nothing pass for connections from the source IP; "" stands for all.
func (r *Relay) Partition(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[source] = true
	for p := range r.conns {
		if source == "" || p.source == source {
			p.cut = true
		}
	}
}

// Heal ends a cut, and closes the connections that it had silenced.
func (r *Relay) Heal(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cuts, source)
	for p := range r.conns {
		if p.cut && (source == "" || p.source == source) {
			p.close()
		}
	}
}

func (p *pair) close() {
	p.a.Close()
	if p.b != nil {
		p.b.Close()
	}
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(conn)
	}
}

func (r *Relay) relay(conn net.Conn) {
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	p := &pair{source: source, a: conn}
	r.mu.Lock()
	p.cut = r.cuts[source] || r.cuts[""]
	r.conns[p] = true
	r.mu.Unlock()
	defer r.forget(p)
	if r.isCut(p) {
		var one [1]byte
		for { // silent until Heal or the other side closes
			if _, err := conn.Read(one[:]); err != nil {
				return
			}
		}
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.mu.Lock()
	p.b = target
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { r.copy(p, target, conn); done <- struct{}{} }()
	go func() { r.copy(p, conn, target); done <- struct{}{} }()
	<-done
}

func (r *Relay) isCut(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.cut
}

func (r *Relay) forget(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.close()
	delete(r.conns, p)
}

// copy passes bytes on, and swallows them while cut.
func (r *Relay) copy(p *pair, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.isCut(p) {
			r.passed.Add(int64(n))
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
