package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is one client attempt and how it ended.
type call struct {
	id       string
	sent     time.Time
	ended    time.Time
	deadline time.Duration
	kept     bool // the connection had answered a request before
	status   int  // 0 without an answer
	complete bool
	err      error
}

// attempts numbers the client attempts of a run.
var attempts atomic.Int64

// client sends requests over a kept connection, one at a time.
type client struct {
	address string
	record  *record
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.used = nil, false
}

// do sends one request and reads its answer to the end. It opens a connection if none is open, waiting until one
// can be opened.
func (c *client) do(ctx context.Context, method, path, headers, body string, deadline time.Duration) *call {
	for c.conn == nil && ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	}
	if ctx.Err() != nil {
		return nil
	}
	k := &call{id: fmt.Sprintf("a%06d", attempts.Add(1)), deadline: deadline, kept: c.used}
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\nTacktally-Attempt-Id: %s\r\nTacktally-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, k.id, deadline.Milliseconds(), headers, len(body), body)
	k.sent = time.Now()
	c.record.add("client sends %s %s %s to %s, kept connection %t", k.id, method, path, c.address, k.kept)
	_ = c.conn.SetDeadline(k.sent.Add(deadline))
	if _, k.err = io.WriteString(c.conn, request); k.err == nil {
		c.read(k, method)
	}
	k.ended = time.Now()
	c.record.add("client has for %s: status %d, complete %t, after %d ms, %v", k.id, k.status, k.complete, k.ended.Sub(k.sent).Milliseconds(), k.err)
	if k.err != nil {
		c.close()
	}
	c.used = true
	return k
}

func (c *client) read(k *call, method string) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		k.err = err
		return
	}
	k.status = response.StatusCode
	_, k.err = io.Copy(io.Discard, response.Body)
	k.complete = k.err == nil
	if k.err == nil && (response.Close || strings.EqualFold(response.Header.Get("Connection"), "close")) {
		c.close()
	}
}
