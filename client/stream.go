package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
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

// Stream is a streamed response. It must be used by one goroutine at a time.
type Stream struct {
	ctx      context.Context
	request  *requestState
	response *http.Response
	lines    *bufio.Scanner
	done     bool
}

// Stream sends a request whose body asks for a streamed response, and blocks until the stream
// is open. The error is an *Error. The caller must close the stream.
func (c *Client) Stream(ctx context.Context, r Request) (*Stream, error) {
	s := &Stream{ctx: ctx, request: &requestState{client: c, request: r}}
	if err := s.connect(); err != nil {
		return nil, err
	}
	return s, nil
}

// connect sends the request, with retries, until a stream is open. The stream continues after
// the last event received.
func (s *Stream) connect() error {
	for {
		response, err := s.request.attempt(s.ctx)
		if err == nil {
			if media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type")); media == contentTypeEvents {
				s.open(response)
				return nil
			}
			_, err = s.request.read(response)
			if err == nil {
				err = fmt.Errorf("the response is not a stream; ask for one in the body")
				s.request.err, s.request.uncertain = err, true
				return s.request.newError(s.ctx)
			}
		}
		delay, retry := s.request.handleFailure(err)
		if !retry || !wait.For(s.ctx, delay) {
			return s.request.newError(s.ctx)
		}
	}
}

func (s *Stream) open(response *http.Response) {
	s.response = response
	s.lines = bufio.NewScanner(response.Body)
	s.lines.Buffer(nil, maxEventBytes)
}

// Next returns the data of the next event. It blocks until an event arrives. It returns io.EOF
// after the last event, and an *Error if the stream can't be completed. An interrupted stream
// is resumed after the last event received, without another prefill of the prompt.
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

// event reads the next event of the open stream. An error event is returned as an error.
func (s *Stream) event() ([]byte, error) {
	e := event{data: []byte{}}
	for s.lines.Scan() {
		switch line := s.lines.Bytes(); {
		case len(line) > 0:
			e.addLine(line)
			if len(e.data) > maxEventBytes {
				return nil, ErrTooLarge
			}
		case !e.hasData:
			e.failed = false // an event without data isn't one
		case e.failed:
			return nil, problemOf(e.data)
		default:
			if e.id != "" {
				s.request.lastID = e.id
			}
			return e.data, nil
		}
	}
	if errors.Is(s.lines.Err(), bufio.ErrTooLong) {
		return nil, ErrTooLarge
	}
	return nil, errors.Join(errIncomplete, s.lines.Err())
}

// event is an event as far as it was read.
type event struct {
	data    []byte
	id      string
	hasData bool
	failed  bool
}

// addLine adds a line with a field or a comment.
func (e *event) addLine(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "data":
		if e.hasData {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		e.hasData = true
	case "id":
		e.id = string(value)
	case "event":
		e.failed = string(value) == "error"
	}
}

// problemOf returns the problem in the data of an error event.
func problemOf(data []byte) error {
	var e struct {
		Error *api.Problem `json:"error"`
	}
	if err := json.Unmarshal(data, &e); err != nil || e.Error == nil {
		return errIncomplete
	}
	return e.Error
}

// reconnect resumes the stream after the last event received. A stream that can't be resumed
// isn't started again, since its user has already received a part of it.
func (s *Stream) reconnect(cause error) error {
	s.response.Body.Close()
	delay, retry := s.request.handleFailure(cause)
	s.request.uncertain = true
	if s.request.lastID == "" || !retry || !wait.For(s.ctx, delay) {
		return s.request.newError(s.ctx)
	}
	return s.connect()
}

// Close closes the stream and its connection.
func (s *Stream) Close() error {
	s.done = true
	return s.response.Body.Close()
}
