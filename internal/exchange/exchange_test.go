package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/soak"
)

// server answers each connection by a script, which gets the connection and how many
// came before it.
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

// readRequest reads one request, or returns nil at the connection's end.
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

func TestEndToEndLeavesOutWhatConcernsOneConnection(t *testing.T) {
	is := is.New(t)
	h := EndToEndHeaders(http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=3"}, "Transfer-Encoding": {"chunked"},
		"Upgrade": {"x"}, "Content-Length": {"3"}, "Content-Type": {"a/b"},
	})
	is.Equal(h, http.Header{"Content-Type": {"a/b"}})
}

// What an upstream does with a connection after an answer, and whether the next
// exchange may use it.
func TestWhichConnectionsAreKept(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	for name, c := range map[string]struct {
		answer string
		kept   bool
	}{
		"plain":                 {answer + "\r\nok", true},
		"chunked":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"says close":            {answer + "Connection: close\r\n\r\nok", false},
		"bytes after an answer": {answer + "\r\nokHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
		"idle time is over":     {answer + "Keep-Alive: timeout=0\r\n\r\nok", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connections := make(chan int, 9)
			address := server(t, func(conn net.Conn, r *bufio.Reader, n int) {
				connections <- n
				for readRequest(r) != nil {
					_, _ = io.WriteString(conn, c.answer)
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

// Only what the upstream says counts: an answer without a length ends with its connection, too.
func TestWhichAnswersSayThatTheUpstreamCloses(t *testing.T) {
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
		is.Equal(a.Closing, closing) // by its head
		a.Close()
	}
}

func TestABodyWithoutLengthEndsWithItsConnection(t *testing.T) {
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

func TestABodyThatIsResetIsNotComplete(t *testing.T) {
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

func TestHowFarAFailedExchangeGot(t *testing.T) {
	for name, c := range map[string]struct {
		script func(c net.Conn, r *bufio.Reader, n int)
		want   error
	}{
		"closed after the request": {func(_ net.Conn, r *bufio.Reader, _ int) { readRequest(r) }, ErrNoResponse},
		"reset after the request":  {func(c net.Conn, r *bufio.Reader, _ int) { readRequest(r); reset(c) }, ErrNoResponse},
		"no HTTP":                  {func(c net.Conn, r *bufio.Reader, _ int) { readRequest(r); _, _ = io.WriteString(c, "what?\r\n\r\n") }, ErrInvalidResponse},
		"another request's answers": {func(c net.Conn, r *bufio.Reader, _ int) {
			readRequest(r)
			_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 2\r\n\r\nno", 3))
		}, ErrInvalidResponse},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := exchangeOnce(newPool(server(t, c.script)), get("1"))
			is.New(t).True(errors.Is(err, c.want))
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is := is.New(t)
		is.NoErr(err)
		l.Close()
		_, err = exchangeOnce(newPool(l.Addr().String()), get("1"))
		is.True(errors.Is(err, ErrNotSent))
	})
}

func TestALateAnswerOfAnotherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nother")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
		readRequest(r) // until it is closed: nothing more may come on it
	})
	p := newPool(address)
	body, err := exchangeOnce(p, get("1"))
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(p.OpenConnections(), 0)
}

func TestInterimAnswersAreSkipped(t *testing.T) {
	is := is.New(t)
	address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	body, err := exchangeOnce(newPool(address), get("1"))
	is.NoErr(err)
	is.Equal(body, "ok")
}

// An upstream that answers before it has read a long body reads the rest later: no
// other bytes may come in their place.
func TestAConnectionWithABodyStillDueIsNotUsedAgain(t *testing.T) {
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

func TestTheEndOfTheContextBreaksAnExchangeOff(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	begun := make(chan struct{})
	address := server(t, func(_ net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		close(begun)
		_, _ = r.ReadByte() // until the other side closes
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

// A request that was given up must not reach its upstream later. Bytes that a path has lost
// are repeated by the kernel, also after the connection was closed, and arrive seconds later;
// a reset discards them. The upstream sees a reset, and no end.
func TestWhatIsGivenUpIsReset(t *testing.T) {
	for name, answer := range map[string]string{
		"before an answer":    "",
		"while the body came": "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, ended := make(chan struct{}), make(chan error, 1)
			p := newPool(server(t, func(c net.Conn, r *bufio.Reader, _ int) {
				readRequest(r)
				_, _ = io.WriteString(c, answer)
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

// A path holds a request up until after it was given up. It doesn't reach its upstream then,
// which may have left meanwhile.
func TestWhatIsGivenUpDoesNotArriveLater(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 9)
	path, err := soak.NewProxy(server(t, func(_ net.Conn, r *bufio.Reader, _ int) {
		if readRequest(r) != nil {
			arrived <- struct{}{}
		}
	}))
	is.NoErr(err)
	defer path.Close()
	heal := path.Harm(soak.Silent)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = newPool(path.Address()).Do(ctx, get("1"))
	is.True(err != nil)
	is.True(path.Open() > 0) // it was under way
	heal()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for path.Open() > 0 {
		select {
		case <-arrived:
			t.Fatal("it arrived after it was given up")
		case <-tick.C:
		}
	}
	is.Equal(len(arrived), 0)
}

// Whether a request may be sent is asked when there is a connection, which may take its time,
// and nothing is written if it may not.
func TestARequestThatMayNotBeSentAnyMoreIsNotWritten(t *testing.T) {
	is := is.New(t)
	connected, ended := make(chan struct{}), make(chan error, 1)
	p := newPool(server(t, func(_ net.Conn, r *bufio.Reader, _ int) {
		close(connected)
		_, err := r.ReadByte()
		ended <- err
	}))
	left := errors.New("it has left")
	r := get("1")
	r.BeforeSend = func() error {
		<-connected
		return left
	}
	_, err := p.Do(context.Background(), r)
	is.True(errors.Is(err, ErrNotSent))
	is.True(errors.Is(err, left))
	is.Equal(<-ended, io.EOF)
	is.Equal(p.OpenConnections(), 0)
}

func TestIdleConnectionsThatTheUpstreamClosedAreNotUsed(t *testing.T) {
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
	for isQuiet(p.idle[0].net) { // until the end has come over the loopback
	}
	body, err := exchangeOnce(p, get("2"))
	is.NoErr(err)
	is.Equal(body, "ok")
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
	p.CloseExpired(time.Now().Add(maxIdle))
	is.Equal(p.OpenConnections(), 0)
	_, err = exchangeOnce(p, get("1"))
	is.NoErr(err)
	p.Close()
	is.Equal(p.OpenConnections(), 0)
	_, err = exchangeOnce(p, get("1"))
	is.NoErr(err)
	is.Equal(p.OpenConnections(), 0) // nothing is kept any more
}
