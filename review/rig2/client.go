package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, path string
	deadline         time.Duration
	header           http.Header // in addition; may be nil
	body             []byte
}

// answer is what a client received; err says that the answer isn't complete.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// isPromise reports whether the answer promises that the request has not run and never will.
func (a answer) isPromise() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// client sends one request after the other, on a connection that it keeps.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer, until its deadline.
func (c *client) send(r request) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: fmt.Errorf("connect: %w", err)}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline))
	if _, err := c.conn.Write(r.encode()); err != nil {
		c.close()
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	a := answer{status: response.StatusCode, header: response.Header}
	a.body, a.err = io.ReadAll(response.Body)
	if a.err != nil || response.Close {
		c.close()
	}
	return a
}

func (r request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nTacktally-Attempt-Id: %s\r\nTacktally-Deadline-Ms: %d\r\n",
		r.method, r.path, host, apiKey, r.id, r.deadline.Milliseconds())
	_ = r.header.Write(&b) // writing to a buffer never fails
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

// get returns the status of a GET without a key; 0 without an answer.
func get(address, path string) int {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}
