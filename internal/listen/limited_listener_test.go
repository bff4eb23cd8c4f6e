package listen

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// limitedServer is a server with a limited number of connections. Requests to /hold block until
// release is closed.
type limitedServer struct {
	t       *testing.T
	address string
	refused atomic.Int32
	begun   chan struct{}
	release chan struct{}
	idle    chan struct{} // gets a value after the listener has recorded a connection as idle
}

func serve(t *testing.T, maxConns int) *limitedServer {
	t.Helper()
	server := &limitedServer{t: t, begun: make(chan struct{}, 9), release: make(chan struct{}), idle: make(chan struct{}, 9)}
	l, err := TCP("test", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.address = l.Addr().String()
	limited := NewLimitedListener(l, maxConns, func() { server.refused.Add(1) })
	state := func(conn net.Conn, now http.ConnState) {
		limited.ConnState(conn, now)
		if now == http.StateIdle {
			server.idle <- struct{}{}
		}
	}
	s := &http.Server{ConnState: state, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			server.begun <- struct{}{}
			<-server.release
		}
	})}
	go func() { _ = s.Serve(limited) }()
	t.Cleanup(func() { s.Close() })
	return server
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *limitedServer) dial() *caller {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) send(path string) error {
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	return err
}

// answered reports whether the next thing received is a response and not the end of the connection.
func (c *caller) answered() bool {
	r, err := http.ReadResponse(c.reader, nil)
	return err == nil && r.StatusCode == http.StatusOK
}

func TestLongestIdleConnectionIsClosedForNewOne(t *testing.T) {
	is := is.New(t)
	server := serve(t, 2)
	first, second := server.dial(), server.dial()
	for _, c := range []*caller{first, second} {
		is.NoErr(c.send("/"))
		is.True(c.answered())
		<-server.idle // the response arrives before the connection is recorded as idle
	}
	third := server.dial()
	is.NoErr(third.send("/"))
	is.True(third.answered())
	_, err := first.reader.ReadByte()
	is.True(errors.Is(err, io.EOF)) // it was idle longest
	is.NoErr(second.send("/"))
	is.True(second.answered())
	is.Equal(server.refused.Load(), int32(0))
}

// Connections that never send a request must not keep callers out.
func TestConnectionsWithoutRequestsAreClosedForNewOnes(t *testing.T) {
	is := is.New(t)
	server := serve(t, 3)
	for range 10 {
		server.dial()
	}
	c := server.dial()
	is.NoErr(c.send("/"))
	is.True(c.answered())
}

func TestNewConnectionIsClosedUnreadWhileAllAreBusy(t *testing.T) {
	is := is.New(t)
	server := serve(t, 1)
	busy := server.dial()
	is.NoErr(busy.send("/hold"))
	<-server.begun
	refused := server.dial()
	_, err := refused.reader.ReadByte()
	is.True(err != nil)
	is.Equal(server.refused.Load(), int32(1))
	close(server.release)
	is.True(busy.answered()) // the busy connection wasn't affected
}

// pipeListener accepts the connections that it is given. What is written to a pipe has been read when the write
// returns.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// A connection whose request has been read in part must not be closed for a new one: its caller can't know whether
// the request runs. A new one that is closed unread is safe to retry.
func TestConnectionWithAPartOfARequestIsNotClosedForNewOne(t *testing.T) {
	is := is.New(t)
	inner, err := TCP("test", "127.0.0.1:0")
	is.NoErr(err)
	pipes := &pipeListener{Listener: inner, conns: make(chan net.Conn)}
	refused := make(chan struct{}, 1)
	limited := NewLimitedListener(pipes, 1, func() { refused <- struct{}{} })
	s := &http.Server{ConnState: limited.ConnState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = s.Serve(limited) }()
	t.Cleanup(func() { close(pipes.conns); s.Close() })
	dial := func() net.Conn {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { ours.Close() })
		pipes.conns <- theirs
		return ours
	}
	first := dial()
	for _, part := range []string{"GET / HT", "TP/1.1\r\nHo"} { // the first has been recorded when the second is read
		_, err = io.WriteString(first, part)
		is.NoErr(err)
	}
	dial()
	<-refused
	_, err = io.WriteString(first, "st: h\r\n\r\n")
	is.NoErr(err)
	is.True((&caller{first, bufio.NewReader(first)}).answered())
}

// A connection whose request has arrived but wasn't read yet must not be closed for a new one either: under a burst
// of connections each would be closed for the next, and none be served.
func TestConnectionWithAnUnreadRequestIsNotClosedForNewOne(t *testing.T) {
	is := is.New(t)
	l, err := TCP("test", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	refused := make(chan struct{}, 1)
	limited := NewLimitedListener(l, 1, func() { refused <- struct{}{} })
	ended := make(chan struct{})
	defer func() { l.Close(); <-ended }()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	first := dial()
	accepted, err := limited.Accept()
	is.NoErr(err)
	_, err = io.WriteString(first, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	for !hasUnread(accepted) { // loopback delivers at once, but not within the write
		runtime.Gosched()
	}
	go func() { defer close(ended); _, _ = limited.Accept() }()
	dial()
	<-refused
	b := make([]byte, 3)
	_, err = io.ReadFull(accepted, b)
	is.NoErr(err)
	is.Equal(string(b), "GET")
}

// Guards against a connection that is closed for a new one in the moment in which its request is read, and runs.
func TestRequestThatRunsIsAnsweredUnderABurstOfConnections(t *testing.T) {
	is := is.New(t)
	l, err := TCP("test", "127.0.0.1:0")
	is.NoErr(err)
	limited := NewLimitedListener(l, 4, func() {})
	var ran, served atomic.Int32
	s := &http.Server{ConnState: limited.ConnState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) })}
	go func() { _ = s.Serve(limited) }()
	t.Cleanup(func() { s.Close() })
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for range 250 {
				conn, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				c := &caller{conn, bufio.NewReader(conn)}
				if c.send("/") == nil && c.answered() {
					served.Add(1)
				}
				conn.Close()
			}
		})
	}
	callers.Wait()
	is.True(served.Load() > 0)
	is.Equal(ran.Load(), served.Load())
}

// Guards against requests that are read although there is no processor time for them: their connections are closed
// unread, while those that are open go on.
func TestConnectionsThatAreNotAdmittedAreClosedUnread(t *testing.T) {
	is := is.New(t)
	l, err := TCP("test", "127.0.0.1:0")
	is.NoErr(err)
	limited := NewLimitedListener(l, 4, func() {})
	var closed atomic.Bool
	shed := make(chan struct{}, 1)
	limited.Admit = func() bool { return !closed.Load() }
	limited.OnShed = func() { shed <- struct{}{} }
	s := &http.Server{ConnState: limited.ConnState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = s.Serve(limited) }()
	t.Cleanup(func() { s.Close() })
	dial := func() *caller {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		return &caller{c, bufio.NewReader(c)}
	}
	first := dial()
	is.NoErr(first.send("/"))
	is.True(first.answered())
	closed.Store(true)
	refused := dial()
	<-shed
	_, err = refused.reader.ReadByte()
	is.True(err != nil)
	is.NoErr(first.send("/"))
	is.True(first.answered())
	is.Equal(limited.OpenConnections(), 1)
	closed.Store(false)
	second := dial()
	is.NoErr(second.send("/"))
	is.True(second.answered())
}
