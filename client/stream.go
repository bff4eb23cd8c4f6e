package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	contentTypeEvents = "text/event-stream"
	doneData          = "[DONE]"
	maxEventBytes     = 1 << 20
)

// Stream is a streamed answer. It is for one goroutine.
type Stream struct {
	ctx      context.Context
	request  *requestState
	response *http.Response
	lines    *bufio.Scanner
	done     bool
}

// Stream sends a request whose body asks for a streamed answer. The error is an
// *Error. Close the stream when done.
func (c *Client) Stream(ctx context.Context, r Request) (*Stream, error) {
	s := &Stream{ctx: ctx, request: &requestState{client: c, request: r}}
	if err := s.connect(); err != nil {
		return nil, err
	}
	return s, nil
}

// connect sends the request, from the last event on, until a stream is open.
func (s *Stream) connect() error {
	for {
		response, err := s.request.attempt(s.ctx)
		if err == nil {
			if response.Header.Get("Content-Type") == contentTypeEvents {
				s.open(response)
				return nil
			}
			_, err = s.request.read(response)
			if err == nil {
				err = fmt.Errorf("the answer is no stream; ask for one in the body")
				s.request.err = err
				return s.request.newError(s.ctx)
			}
		}
		pause, again := s.request.handleFailure(err)
		if !again || !wait.For(s.ctx, pause) {
			return s.request.newError(s.ctx)
		}
	}
}

func (s *Stream) open(response *http.Response) {
	s.response = response
	s.lines = bufio.NewScanner(response.Body)
	s.lines.Buffer(nil, maxEventBytes)
}

// Next returns the data of the next event. It returns io.EOF after the last, and
// an *Error when the stream can't be completed. A stream that breaks is resumed
// where it broke, without reading the prompt again.
func (s *Stream) Next() ([]byte, error) {
	for !s.done {
		data, err := s.event()
		if err == nil && string(data) == doneData {
			s.done = true
			break
		}
		if err == nil {
			return data, nil
		}
		if err := s.reconnect(err); err != nil {
			return nil, err
		}
	}
	return nil, io.EOF
}

// event reads one event of the open stream.
func (s *Stream) event() ([]byte, error) {
	var data []byte
	id := ""
	failed := false
	for s.lines.Scan() {
		field, value, _ := bytes.Cut(s.lines.Bytes(), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(field) == 0 && len(value) == 0 && data != nil:
			if failed {
				return nil, problemOf(data)
			}
			if id != "" {
				s.request.lastID = id
			}
			return data, nil
		case string(field) == "data":
			data = append(data, value...)
		case string(field) == "id":
			id = string(value)
		case string(field) == "event":
			failed = string(value) == "error"
		}
	}
	return nil, errors.Join(errIncomplete, s.lines.Err())
}

func problemOf(data []byte) error {
	var e struct {
		Error *api.Problem `json:"error"`
	}
	if err := json.Unmarshal(data, &e); err != nil || e.Error == nil {
		return errIncomplete
	}
	return e.Error
}

// reconnect resumes after the last event received. A stream that can't be resumed
// isn't begun anew: its user has seen a part already.
func (s *Stream) reconnect(cause error) error {
	s.response.Body.Close()
	pause, again := s.request.handleFailure(cause)
	s.request.uncertain = true
	if s.request.lastID == "" || !again || !wait.For(s.ctx, pause) {
		return s.request.newError(s.ctx)
	}
	return s.connect()
}

// Close ends the stream.
func (s *Stream) Close() error {
	s.done = true
	return s.response.Body.Close()
}
