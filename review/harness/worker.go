package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in worker: it runs requests in its slots, echoes their IDs, signs its answers, and
// rejects what it has no room for.
type worker struct {
	id, service, zone string
	slots, queue      int
	record            *record
	// respond writes the body of an answer.
	respond func(w http.ResponseWriter, r *http.Request)
	// spoil, if set, is called before an answer. If it returns true, it has spoilt the answer.
	spoil func(w http.ResponseWriter) bool

	listener net.Listener
	server   *http.Server
	places   chan struct{} // slots and queue
	running  chan struct{}

	mu   sync.Mutex
	runs map[string]int // by attempt
}

func startWorker(w *worker) (*worker, error) {
	var err error
	if w.listener, err = net.Listen("tcp", "127.0.2.1:0"); err != nil {
		return nil, err
	}
	w.places, w.running = make(chan struct{}, w.slots+w.queue), make(chan struct{}, w.slots)
	w.runs = map[string]int{}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(w.listener) }() // ends with Close
	return w, nil
}

func (w *worker) close() { _ = w.server.Close() }

// entry is the worker's entry in the platform's store.
func (w *worker) entry(state string, sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d}`,
		w.service, w.listener.Addr(), w.zone, w.slots, state, sequence)
}

// runsOf returns how often an attempt has run here.
func (w *worker) runsOf(attempt string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[attempt]
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Tacktally-Expect-Instance") != w.id {
		out.Header().Set("Tacktally-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := r.Header.Get("Tacktally-Attempt-Id")
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	default:
		out.Header().Set("Tacktally-Not-Executed", "1")
		out.Header().Set("Tacktally-Attempt-Id", attempt)
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // the caller may have left
	select {
	case w.running <- struct{}{}:
		defer func() { <-w.running }()
	case <-r.Context().Done():
		return
	}
	w.mu.Lock()
	w.runs[attempt]++
	w.mu.Unlock()
	w.record.add("%s runs %s", w.id, attempt)
	out.Header().Set("Tacktally-Attempt-Id", attempt)
	out.Header().Set("Tacktally-Response-Signature", "signed."+w.id+"."+attempt)
	out.Header().Set("Tacktally-Server-Load", fmt.Sprintf("%d,%d,%d", len(w.running), len(w.places)-len(w.running), w.slots))
	if w.spoil != nil && w.spoil(out) {
		return
	}
	w.respond(out, r)
}

// respondPlain answers after some work, as dispatch-app does.
func respondPlain(w http.ResponseWriter, r *http.Request) {
	work := time.Duration(60+rand.IntN(50)) * time.Millisecond
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	body := make([]byte, 800)
	for n := range body {
		body[n] = 'b'
	}
	_, _ = w.Write(body) // the caller may have left
}

// respondStream answers with a stream of a few events, as tacktally-desk does.
func respondStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 5; n++ {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: words of event %d\n\n", n, n) // the caller may have left
		w.(http.Flusher).Flush()
	}
}
