package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// eventInterval is the time between two events of a stream.
const eventInterval = 40 * time.Millisecond

// eventCount returns how many events the stream of a path has: its last element.
func eventCount(path string) int {
	n, _ := strconv.Atoi(path[strings.LastIndexByte(path, '/')+1:]) // the rig writes the paths
	return n
}

// event returns the n-th event of the stream of a path.
func event(path string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, path, n)
}

// serveEngine serves as a model worker in a process of its own until that is killed. It prints each run, and each stream
// that it has sent to its end. Its streams state no length: each ends with its connection.
func serveEngine(id, address string) int {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return failed
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return failed
		}
		go serveStream(conn, id)
	}
}

// serveStream answers one request with a stream, and closes the connection at its end.
func serveStream(conn net.Conn, worker string) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a check of the connection
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.Header.Get("Tacktally-Expect-Instance") != worker {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nTacktally-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", worker)
		return
	}
	id := r.Header.Get("Tacktally-Attempt-Id")
	fmt.Println("run", id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTacktally-Attempt-Id: %s\r\nTacktally-Response-Signature: %s.%s\r\n\r\n", id, worker, id)
	for n := 1; n <= eventCount(r.URL.Path); n++ {
		time.Sleep(eventInterval)
		if _, err := io.WriteString(conn, event(r.URL.Path, n)); err != nil {
			return // the caller has left
		}
	}
	fmt.Println("end", id)
}

// engine is a model worker, a process of its own.
type engine struct {
	id, address, zone string
	born              int64 // Unix milliseconds of its start, 0 if its entry doesn't tell it
	record            *record
	command           *exec.Cmd
	ended             chan struct{}
}

func startEngine(r *record, id, zone string) (*engine, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return startEngineAt(r, id, zone, address)
}

func startEngineAt(r *record, id, zone, address string) (*engine, error) {
	e := &engine{id: id, address: address, zone: zone, record: r, ended: make(chan struct{})}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e.command = exec.Command(program, engineCommand, id, e.address)
	e.command.Stderr = os.Stderr
	out, err := e.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := started.start(e.command); err != nil {
		return nil, err
	}
	go e.follow(out)
	return e, nil
}

// follow records what the process prints, until it has ended.
func (e *engine) follow(out io.Reader) {
	defer close(e.ended)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		switch what, id, _ := strings.Cut(lines.Text(), " "); what {
		case "run":
			e.record.ran(id, e.id)
		case "end":
			e.record.add("worker %s has sent the whole stream %s", e.id, id)
		}
	}
	started.wait(e.command)
}

// kill ends the process at once, and waits until it has ended.
func (e *engine) kill() {
	_ = e.command.Process.Signal(syscall.SIGKILL) // it may have ended
	<-e.ended
}

func (e *engine) entry(state string, sequence int) string {
	born := ""
	if e.born != 0 {
		born = fmt.Sprintf(`,"born":%d`, e.born)
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":10,"state":%q,"cold_remaining_ms":0,"sequence":%d%s}`,
		desk, e.address, e.zone, state, sequence, born)
}
