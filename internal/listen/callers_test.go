package listen

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// bounded is a server that takes so many connections; requests to /hold wait.
type bounded struct {
	t       *testing.T
	address string
	refused atomic.Int32
	begun   chan struct{}
	release chan struct{}
	idle    chan struct{} // received from when the server has noted that a connection is idle
}

func serve(t *testing.T, most int) *bounded {
	t.Helper()
	b := &bounded{t: t, begun: make(chan struct{}, 9), release: make(chan struct{}), idle: make(chan struct{}, 9)}
	l, err := TCP("test", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = l.Addr().String()
	callers := NewLimitedListener(l, most, func() { b.refused.Add(1) })
	state := func(conn net.Conn, now http.ConnState) {
		callers.ConnState(conn, now)
		if now == http.StateIdle {
			b.idle <- struct{}{}
		}
	}
	s := &http.Server{ConnState: state, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			b.begun <- struct{}{}
			<-b.release
		}
	})}
	go func() { _ = s.Serve(callers) }()
	t.Cleanup(func() { s.Close() })
	return b
}

// caller is one connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (b *bounded) dial() *caller {
	b.t.Helper()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { c.Close() })
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) ask(path string) error {
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	return err
}

// answered tells whether an answer comes, and not the connection's end.
func (c *caller) answered() bool {
	r, err := http.ReadResponse(c.reader, nil)
	return err == nil && r.StatusCode == http.StatusOK
}

func TestAnIdleConnectionMakesRoomForANewOne(t *testing.T) {
	is := is.New(t)
	b := serve(t, 2)
	first, second := b.dial(), b.dial()
	for _, c := range []*caller{first, second} {
		is.NoErr(c.ask("/"))
		is.True(c.answered())
		<-b.idle // an answer comes before the server notes that its connection is idle
	}
	third := b.dial()
	is.NoErr(third.ask("/"))
	is.True(third.answered())
	_, err := first.reader.ReadByte()
	is.True(errors.Is(err, io.EOF)) // it was idle for longest
	is.NoErr(second.ask("/"))
	is.True(second.answered())
	is.Equal(b.refused.Load(), int32(0))
}

// Connections on which nothing was ever asked for must not keep callers out.
func TestConnectionsThatNeverAskMakeRoomToo(t *testing.T) {
	is := is.New(t)
	b := serve(t, 3)
	for range 10 {
		b.dial()
	}
	c := b.dial()
	is.NoErr(c.ask("/"))
	is.True(c.answered())
}

func TestWhileAllAreAtWorkANewConnectionIsClosedUnread(t *testing.T) {
	is := is.New(t)
	b := serve(t, 1)
	busy := b.dial()
	is.NoErr(busy.ask("/hold"))
	<-b.begun
	turnedAway := b.dial()
	_, err := turnedAway.reader.ReadByte()
	is.True(err != nil)
	is.Equal(b.refused.Load(), int32(1))
	close(b.release)
	is.True(busy.answered()) // it wasn't disturbed
}
