// Package wire is a fake of the network between two processes: a TCP relay in which a test can
// partition selected sources.
//
// A partition is silent: connections stay open and nothing is relayed. Heal closes these connections,
// so that the data in flight is lost.
package wire

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

const bufferBytes = 32 << 10

// Relay forwards connections to a target. Safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	relayed atomic.Int64 // bytes

	mu          sync.Mutex
	partitioned map[string]bool // by source IP; "" means all
	conns       map[*pair]bool
}

// pair holds the two connections of one relayed connection.
type pair struct {
	source      string
	a, b        net.Conn
	partitioned bool
}

// Listen starts a relay from an address to a target. Close stops it.
func Listen(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s for a relay: %w", address, err)
	}
	r := &Relay{listener: l, target: target, partitioned: map[string]bool{}, conns: map[*pair]bool{}}
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.close()
	}
}

// RelayedBytes returns the number of bytes relayed in both directions.
func (r *Relay) RelayedBytes() int64 { return r.relayed.Load() }

// Partition stops relaying for connections from the source IP; "" means all.
func (r *Relay) Partition(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned[source] = true
	for p := range r.conns {
		if source == "" || p.source == source {
			p.partitioned = true
		}
	}
}

// Heal ends a partition, and closes the connections that it affected.
func (r *Relay) Heal(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.partitioned, source)
	for p := range r.conns {
		if p.partitioned && (source == "" || p.source == source) {
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
	p.partitioned = r.partitioned[source] || r.partitioned[""]
	r.conns[p] = true
	r.mu.Unlock()
	defer r.forget(p)
	if r.isPartitioned(p) {
		var one [1]byte
		for { // discards everything until Heal or the other side closes the connection
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

func (r *Relay) isPartitioned(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.partitioned
}

func (r *Relay) forget(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.close()
	delete(r.conns, p)
}

// copy relays bytes in one direction, and discards them while the connection is partitioned.
func (r *Relay) copy(p *pair, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.isPartitioned(p) {
			r.relayed.Add(int64(n))
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
