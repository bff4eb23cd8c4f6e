package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a worker of the application. It runs as many requests at once as it has slots, queues a few more, and refuses
// others. It is safe for concurrent use.
type worker struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration // of one request
	record            *record
	listener          net.Listener

	mu      sync.Mutex
	running int
	waiting int
	answers int // so far
	freed   chan struct{}
	// garbled reports whether more bytes follow the n-th answer, late: when the next request has come on its connection.
	garbled func(n int) bool
	// answer, if set, returns the answer to a request that has run, given the one that a sound worker gives. It is set
	// before the first request.
	answer func(r *http.Request, whole []byte) []byte
}

func newWorker(r *record, id, service, zone string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, slots: 6, queue: 24, work: 15 * time.Millisecond, record: r, listener: l, freed: make(chan struct{})}
	w.garbled = func(int) bool { return false }
	go w.serve()
	return w, nil
}

// entry returns the entry of the worker in the store.
func (w *worker) entry(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":1}`,
		w.service, w.listener.Addr(), w.zone, w.slots, state)
}

// garble sets which answers are followed by more bytes.
func (w *worker) garble(garbled func(n int) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.garbled = garbled
}

func (w *worker) serve() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serveConn(conn)
	}
}

// serveConn serves the requests of one connection, one at a time.
func (w *worker) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	follows := false // more bytes follow the last answer
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Tacktally-Attempt-Id")
		if follows {
			w.record.add("worker %s sends more bytes after its last answer, before it answers %s", w.id, id)
			if _, err := conn.Write([]byte(shedExample)); err != nil {
				return
			}
		}
		answer := w.handle(r, id)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		follows = w.isGarbled()
	}
}

// isGarbled counts an answer, and reports whether more bytes follow it.
func (w *worker) isGarbled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers++
	return w.garbled(w.answers)
}

// shedExample is the refusal of a worker as the platform's examples of messages show it, without an attempt ID.
const shedExample = "HTTP/1.1 503 Service Unavailable\r\nTacktally-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// handle runs or refuses a request and returns the answer.
func (w *worker) handle(r *http.Request, id string) []byte {
	if r.Header.Get("Tacktally-Expect-Instance") != w.id {
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nTacktally-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
	}
	if !w.admit() {
		w.record.add("worker %s refuses %s", w.id, id)
		return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nTacktally-Attempt-Id: %s\r\nTacktally-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	defer w.release()
	w.record.ran(id, w.id)
	time.Sleep(w.work/2 + time.Duration(rand.Int64N(int64(w.work))))
	body := "done " + id + " by " + w.id + "\n"
	whole := []byte("HTTP/1.1 200 OK\r\nTacktally-Attempt-Id: " + id + "\r\nTacktally-Response-Signature: " + w.id + "." + id +
		"\r\nTacktally-Server-Load: " + w.load() + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	if w.answer != nil {
		return w.answer(r, whole)
	}
	return whole
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", min(w.running, w.slots), w.waiting, w.slots)
}

// admit waits for a slot, and reports false if the worker refuses the request.
func (w *worker) admit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.slots && w.waiting >= w.queue {
		return false
	}
	w.waiting++
	for w.running >= w.slots {
		freed := w.freed
		w.mu.Unlock()
		<-freed
		w.mu.Lock()
	}
	w.waiting--
	w.running++
	return true
}

func (w *worker) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	close(w.freed)
	w.freed = make(chan struct{})
}
