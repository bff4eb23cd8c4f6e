package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/soak"
)

// server runs the script on each connection, with the number of earlier connections.
func server(t *testing.T, script func(c net.Conn, r *bufio.Reader, n int)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c), n)
			}()
		}
	}()
	return l.Addr().String()
}

func newPool(address string) *Pool {
	return NewPool(Options{Address: address, ConnectTimeout: time.Second})
}

// readRequest reads one request, or returns nil at the end of the connection.
func readRequest(r *bufio.Reader) *http.Request {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q
}

func get(id string) *Request {
	return &Request{Method: "GET", Target: "/x", Host: "h.example", Header: http.Header{"Id": {id}},
		IsResponse: func(h http.Header) bool { return h.Get("Id") == "" || h.Get("Id") == id }}
}

// exchangeOnce makes an exchange and returns the whole body.
func exchangeOnce(p *Pool, r *Request) (string, error) {
	a, err := p.Do(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestRequestIsSentAsGiven(t *testing.T) {
	is := is.New(t)
	raw := make(chan string, 1)
	address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
		buffer := make([]byte, 4096)
		n, _ := r.Read(buffer)
		raw <- string(buffer[:n])
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	body, err := exchangeOnce(newPool(address), &Request{
		Method: "POST", Target: "//a/../b?x=%2f", Host: "h.example:80",
		Header: http.Header{"B": {"1", "2"}}, Body: []byte("body"),
	})
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(<-raw, "POST //a/../b?x=%2f HTTP/1.1\r\nHost: h.example:80\r\nB: 1\r\nB: 2\r\nContent-Length: 4\r\n\r\nbody")
}

func TestEndToEndHeadersOmitHopByHopHeaders(t *testing.T) {
	is := is.New(t)
	h := EndToEndHeaders(http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=3"}, "Transfer-Encoding": {"chunked"},
		"Upgrade": {"x"}, "Content-Length": {"3"}, "Content-Type": {"a/b"},
	})
	is.Equal(h, http.Header{"Content-Type": {"a/b"}})
}

// Checks which connections the next exchange may use, by what the upstream does with them after a
// response.
func TestWhichConnectionsAreKept(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	for name, c := range map[string]struct {
		response string
		kept     bool
	}{
		"plain":                  {response + "\r\nok", true},
		"chunked":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"announces close":        {response + "Connection: close\r\n\r\nok", false},
		"bytes after a response": {response + "\r\nokHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
		"idle timeout is 0":      {response + "Keep-Alive: timeout=0\r\n\r\nok", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connections := make(chan int, 9)
			address := server(t, func(conn net.Conn, r *bufio.Reader, n int) {
				connections <- n
				for readRequest(r) != nil {
					_, _ = io.WriteString(conn, c.response)
				}
			})
			p := newPool(address)
			for range 2 {
				body, err := exchangeOnce(p, get("1"))
				is.NoErr(err)
				is.Equal(body, "ok")
			}
			is.Equal(len(connections) == 1, c.kept)
		})
	}
}

// Only an announcement of the upstream counts: a response without a length also ends with its
// connection.
func TestWhichResponsesAnnounceAClose(t *testing.T) {
	for head, closing := range map[string]bool{
		"Content-Length: 2\r\n": false,
		"":                      false,
		"Content-Length: 2\r\nConnection: close\r\n":              true,
		"Content-Length: 2\r\nConnection: Keep-Alive , Close\r\n": true,
		"Content-Length: 2\r\nConnection: keep-alive, closed\r\n": false,
	} {
		is := is.New(t)
		address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\nok")
		})
		a, err := newPool(address).Do(t.Context(), get("1"))
		is.NoErr(err)
		is.Equal(a.Closing, closing) // according to its head
		a.Close()
	}
}

// A response whose body ends with its connection must be told from one that states its end, and a response
// without a body from both.
func TestHowResponsesAreFramed(t *testing.T) {
	for name, c := range map[string]struct {
		method, response string
		want             Framing
	}{
		"a length":              {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ByLength},
		"a length of 0":         {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ByLength},
		"a length and close":    {"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", ByLength},
		"chunks":                {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ByChunks},
		"nothing":               {"GET", "HTTP/1.1 200 OK\r\n\r\nok", UntilClose},
		"close alone":           {"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", UntilClose},
		"HTTP/1.0":              {"GET", "HTTP/1.0 200 OK\r\n\r\nok", UntilClose},
		"HEAD":                  {"HEAD", "HTTP/1.1 200 OK\r\n\r\n", ByLength},
		"HEAD, chunks":          {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ByLength},
		"204":                   {"GET", "HTTP/1.1 204 No Content\r\n\r\n", ByLength},
		"304":                   {"GET", "HTTP/1.1 304 Not Modified\r\n\r\n", ByLength},
		"after an interim head": {"GET", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nok", UntilClose},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := server(t, func(conn net.Conn, r *bufio.Reader, _ int) {
				readRequest(r)
				_, _ = io.WriteString(conn, c.response)
			})
			q := get("1")
			q.Method = c.method
			response, err := newPool(address).Do(t.Context(), q)
			is.NoErr(err)
			defer response.Close()
			is.Equal(response.Framing, c.want)
		})
	}
}

func TestBodyWithoutLengthEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it")
	})
	body, err := exchangeOnce(newPool(address), get("1"))
	is.NoErr(err)
	is.Equal(body, "all of it")
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func TestResetBodyIsTruncated(t *testing.T) {
	is := is.New(t)
	read := make(chan struct{})
	address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		<-read
		reset(c)
	})
	a, err := newPool(address).Do(context.Background(), get("1"))
	is.NoErr(err)
	_, err = io.ReadFull(a, make([]byte, 4))
	is.NoErr(err)
	close(read)
	_, err = io.ReadAll(a)
	is.True(errors.Is(err, ErrTruncated))
	a.Close()
}

func TestErrorsShowHowFarAnExchangeGot(t *testing.T) {
	for name, c := range map[string]struct {
		script func(c net.Conn, r *bufio.Reader, n int)
		want   error
	}{
		"closed after the request": {func(_ net.Conn, r *bufio.Reader, _ int) { readRequest(r) }, ErrNoResponse},
		"reset after the request":  {func(c net.Conn, r *bufio.Reader, _ int) { readRequest(r); reset(c) }, ErrNoResponse},
		"not HTTP":                 {func(c net.Conn, r *bufio.Reader, _ int) { readRequest(r); _, _ = io.WriteString(c, "what?\r\n\r\n") }, ErrInvalidResponse},
		"not HTTP, inside a line":  {func(c net.Conn, r *bufio.Reader, _ int) { readRequest(r); _, _ = io.WriteString(c, "wha") }, ErrInvalidResponse},
		"invalid head, closed": {func(c net.Conn, r *bufio.Reader, _ int) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n")
		}, ErrInvalidResponse},
		"switch of protocols": {func(c net.Conn, r *bufio.Reader, _ int) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
		}, ErrInvalidResponse},
		"no such status": {func(c net.Conn, r *bufio.Reader, _ int) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n")
		}, ErrInvalidResponse},
		"response to another request, cut": {func(c net.Conn, r *bufio.Reader, _ int) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 2\r\n\r\nn")
		}, ErrNoResponse},
		"responses to another request": {func(c net.Conn, r *bufio.Reader, _ int) {
			readRequest(r)
			_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 2\r\n\r\nno", 3))
		}, ErrInvalidResponse},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := exchangeOnce(newPool(server(t, c.script)), get("1"))
			is.New(t).True(errors.Is(err, c.want))
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is := is.New(t)
		is.NoErr(err)
		l.Close()
		_, err = exchangeOnce(newPool(l.Addr().String()), get("1"))
		is.True(errors.Is(err, ErrNotSent))
	})
}

func TestLateResponseToAnotherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nother")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
		readRequest(r) // blocks until the connection is closed: nothing more may arrive on it
	})
	p := newPool(address)
	body, err := exchangeOnce(p, get("1"))
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(p.OpenConnections(), 0)
}

// Guards against a response that is made up of the body of a response to another request, of which only the first bytes
// were skipped.
func TestBodyOfAResponseToAnotherRequestIsNoResponse(t *testing.T) {
	own := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"
	body := strings.Repeat("x", maxStrayBytes) + own
	for name, head := range map[string]string{
		"length":      fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)),
		"until close": "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
				readRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 0\r\n"+head+body)
			})
			got, err := exchangeOnce(newPool(address), get("1"))
			is.Equal(got, "")
			is.True(errors.Is(err, ErrInvalidResponse))
		})
	}
}

// Guards against the same where the request is HEAD: a response to HEAD has no body, and one to another request may have.
func TestResponseToAnotherRequestThanHEADIsInvalid(t *testing.T) {
	is := is.New(t)
	address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 26\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n")
	})
	r := get("1")
	r.Method = http.MethodHead
	_, err := exchangeOnce(newPool(address), r)
	is.True(errors.Is(err, ErrInvalidResponse))
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	is := is.New(t)
	address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	body, err := exchangeOnce(newPool(address), get("1"))
	is.NoErr(err)
	is.Equal(body, "ok")
}

// An upstream that responds before it has read a long body reads the rest later: no other bytes may
// take the place of that rest.
func TestConnectionWithAnUnfinishedBodyIsNotReused(t *testing.T) {
	is := is.New(t)
	connections := make(chan int, 9)
	hold := make(chan struct{})
	defer close(hold)
	address := server(t, func(c net.Conn, r *bufio.Reader, n int) {
		connections <- n
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		<-hold
	})
	p := newPool(address)
	for range 2 {
		body, err := exchangeOnce(p, &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 16<<20)})
		is.NoErr(err)
		is.Equal(body, "no")
	}
	is.Equal(len(connections), 2)
}

func TestCancelledContextAbortsAnExchange(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	begun := make(chan struct{})
	address := server(t, func(_ net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		close(begun)
		_, _ = r.ReadByte() // blocks until the other side closes
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	_, err := newPool(address).Do(ctx, get("1"))
	is.True(errors.Is(err, ErrNoResponse))
	<-closed
}

// A request that was given up must not reach its upstream later. The kernel retransmits bytes that
// were lost on the network path, even after the connection was closed, and they arrive seconds
// later; a reset discards them. The upstream sees a reset instead of an EOF.
func TestAbandonedExchangeIsReset(t *testing.T) {
	for name, response := range map[string]string{
		"before a response": "",
		"during the body":   "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, ended := make(chan struct{}), make(chan error, 1)
			p := newPool(server(t, func(c net.Conn, r *bufio.Reader, _ int) {
				readRequest(r)
				_, _ = io.WriteString(c, response)
				close(got)
				_, err := r.ReadByte()
				ended <- err
			}))
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-got
				cancel()
			}()
			a, err := p.Do(ctx, get("1"))
			if err == nil {
				_, err = io.ReadAll(a)
				a.Close()
			}
			is.True(err != nil)
			is.True(errors.Is(<-ended, syscall.ECONNRESET))
		})
	}
}

// The network path delays a request until after it was given up. It must not reach its upstream
// then, which may have left.
func TestAbandonedRequestDoesNotArriveLater(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 9)
	path, err := soak.NewProxy(server(t, func(_ net.Conn, r *bufio.Reader, _ int) {
		if readRequest(r) != nil {
			arrived <- struct{}{}
		}
	}))
	is.NoErr(err)
	defer path.Close()
	heal := path.Inject(soak.Silent)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = newPool(path.Address()).Do(ctx, get("1"))
	is.True(err != nil)
	is.True(path.Open() > 0) // it was in transit
	heal()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for path.Open() > 0 {
		select {
		case <-arrived:
			t.Fatal("the request arrived after it was given up")
		case <-tick.C:
		}
	}
	is.Equal(len(arrived), 0)
}

// BeforeSend is called once a connection exists, which may take a while, and nothing is written if
// it returns an error.
func TestNothingIsWrittenIfBeforeSendFails(t *testing.T) {
	is := is.New(t)
	connected, ended := make(chan struct{}), make(chan error, 1)
	p := newPool(server(t, func(_ net.Conn, r *bufio.Reader, _ int) {
		close(connected)
		_, err := r.ReadByte()
		ended <- err
	}))
	leaving := errors.New("the upstream is leaving")
	r := get("1")
	r.BeforeSend = func() error {
		<-connected
		return leaving
	}
	_, err := p.Do(context.Background(), r)
	is.True(errors.Is(err, ErrNotSent))
	is.True(errors.Is(err, leaving))
	is.Equal(<-ended, io.EOF)
	is.Equal(p.OpenConnections(), 0)
}

func TestIdleConnectionsClosedByTheUpstreamAreNotUsed(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address := server(t, func(c net.Conn, r *bufio.Reader, n int) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if n == 0 {
			_ = c.Close()
			close(closed)
		}
	})
	p := newPool(address)
	_, err := exchangeOnce(p, get("1"))
	is.NoErr(err)
	<-closed
	for isStillIdle(p.idle[0].net) { // until the EOF has arrived over the loopback
	}
	body, err := exchangeOnce(p, get("2"))
	is.NoErr(err)
	is.Equal(body, "ok")
}

// leavingConn is a connection that can't be used any more from some time on.
type leavingConn struct {
	net.Conn
	leaving *atomic.Bool
}

func (c leavingConn) IsUsable() bool { return !c.leaving.Load() }

// Guards against idle connections through a peer that is shutting down, which waits for them: it can't tell them from those
// whose response is silent.
func TestIdleConnectionsThatCantBeUsedAreClosed(t *testing.T) {
	is := is.New(t)
	more := make(chan struct{})
	address := server(t, func(c net.Conn, r *bufio.Reader, n int) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
		if n == 0 {
			<-more
		}
		_, _ = io.WriteString(c, "k")
		readRequest(r) // until it is closed
	})
	var leaving atomic.Bool
	p := NewPool(Options{Dial: func(ctx context.Context) (net.Conn, error) {
		c, err := Dialer(nil)(ctx, address)
		return leavingConn{c, &leaving}, err
	}})
	running, err := p.Do(t.Context(), get("1"))
	is.NoErr(err)
	defer running.Close()
	_, err = exchangeOnce(p, get("2"))
	is.NoErr(err)
	p.CloseExpired(time.Now())
	is.Equal(p.OpenConnections(), 2)
	leaving.Store(true)
	p.CloseExpired(time.Now())
	is.Equal(p.OpenConnections(), 1)
	close(more)
	body, err := io.ReadAll(running)
	is.NoErr(err)
	is.Equal(string(body), "ok")
}

func TestCloseEndsIdleConnections(t *testing.T) {
	is := is.New(t)
	address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for readRequest(r) != nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p := newPool(address)
	_, err := exchangeOnce(p, get("1"))
	is.NoErr(err)
	is.Equal(p.OpenConnections(), 1)
	p.CloseExpired(time.Now())
	is.Equal(p.OpenConnections(), 1)
	p.CloseExpired(time.Now().Add(maxIdleTimeout))
	is.Equal(p.OpenConnections(), 0)
	_, err = exchangeOnce(p, get("1"))
	is.NoErr(err)
	p.Close()
	is.Equal(p.OpenConnections(), 0)
	_, err = exchangeOnce(p, get("1"))
	is.NoErr(err)
	is.Equal(p.OpenConnections(), 0) // a closed pool keeps no connections
}

// Guards against chunks that are passed on as the body itself: net/http ignores the encoding in a response of HTTP/1.0,
// whose body then seems to end with its connection.
func TestChunksInAResponseOfHTTP10AreInvalid(t *testing.T) {
	long := "Long: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n"
	for name, raw := range map[string]string{
		"alone":                     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"in lower case":             "HTTP/1.0 200 OK\r\nSigned: a\r\ntransfer-encoding: CHUNKED\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"with a length":             "HTTP/1.0 200 OK\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"after an interim response": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"after a long header":       "HTTP/1.0 200 OK\r\n" + long + "Transfer-Encoding: chunked\r\n" + long + "\r\n2\r\nok\r\n0\r\n\r\n",
		"of another kind":           "HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
				readRequest(r)
				_, _ = io.WriteString(c, raw)
			})
			body, err := exchangeOnce(newPool(address), get("1"))
			is.Equal(body, "")
			is.True(errors.Is(err, ErrInvalidResponse))
		})
	}
}
