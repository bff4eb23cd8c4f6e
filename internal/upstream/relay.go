package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/sse"
)

const (
	contentTypeEvents = "text/event-stream"
	contentTypeJSON   = "application/json"
	doneData          = "[DONE]"
	maxEventBytes     = 1 << 20
)

// forwardedHeaders are the header fields of a service's response that are forwarded to the caller.
var forwardedHeaders = []string{"Cache-Control", "Content-Language", "Etag", "Last-Modified", "Location", "Retry-After"}

// relay writes one response to the buffer.
func relay(ctx context.Context, call Call, response *http.Response, b *answer.Buffer) Result {
	if response.StatusCode < http.StatusOK { // net/http skips interim responses, except a switch of protocols
		return Result{Status: InvalidResponse, Err: fmt.Errorf("upstream responded %s", response.Status)}
	}
	result := relayByKind(ctx, call, response, b)
	result.ErrorStatus = response.StatusCode >= http.StatusBadRequest
	return result
}

// relayByKind relays the response of a service, a stream or another response of an engine.
func relayByKind(ctx context.Context, call Call, response *http.Response, b *answer.Buffer) Result {
	if isBusy(call, response) {
		return Result{Status: Busy, RetryAfter: retryAfter(response), Err: fmt.Errorf("upstream responded %s", response.Status)}
	}
	head := answer.Head{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Upstream:    call.Address,
		Instance:    call.Instance,
		Revision:    call.Revision,
	}
	if call.Request.Kind == request.Service {
		head.Header = copyHeader(response.Header)
		head.EndUnstated = endsWithConnection(response)
		call.OnFirstOutput()
		b.Start(head)
		result := relayBody(ctx, response.Body, b)
		result.EndUnstated = result.Status == Done && head.EndUnstated
		return result
	}
	media, _, _ := mime.ParseMediaType(head.ContentType)
	isStream := media == contentTypeEvents && response.StatusCode == http.StatusOK
	switch {
	case call.Resume.StreamID != "" && !isStream:
		return Result{Status: NotResumed, Err: fmt.Errorf("engine responded %s with content type %q instead of the stream", response.Status, head.ContentType)}
	case isStream && call.Resume.StreamID != "" && !isSameStream(call, response):
		return Result{Status: NotResumed, Err: fmt.Errorf("engine responded with stream %q", response.Header.Get(HeaderStreamID))}
	case isStream:
		relayer := &eventRelay{call: call, buffer: b, head: head, position: startOf(call, response), reached: call.Resume}
		return relayer.run(ctx, response.Body)
	case media == contentTypeJSON:
		return relayJSON(ctx, response.Body, b, head)
	default:
		return Result{Status: InvalidResponse, Err: fmt.Errorf("engine responded with content type %q", head.ContentType)}
	}
}

// startOf returns the position before the first event of a stream. It has no StreamID if the stream can't be resumed.
func startOf(call Call, r *http.Response) ResumeToken {
	id := r.Header.Get(HeaderStreamID)
	if !isValidStreamID(id) {
		id = call.Resume.StreamID
	}
	return ResumeToken{Upstream: call.Address, StreamID: id}
}

// isSameStream reports whether the response to a resumption is of the stream asked for, as far as the engine names
// it.
func isSameStream(call Call, r *http.Response) bool {
	id := r.Header.Get(HeaderStreamID)
	return id == "" || id == call.Resume.StreamID
}

// endsWithConnection reports whether a response states neither the length nor the end of its body.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

func isBusy(call Call, response *http.Response) bool {
	if call.Request.Kind == request.Service || call.Request.NonIdempotent {
		return false
	}
	return response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
}

func retryAfter(response *http.Response) time.Duration {
	n, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

func copyHeader(from http.Header) map[string][]string {
	out := map[string][]string{}
	for _, field := range forwardedHeaders {
		if v := from.Values(field); len(v) > 0 {
			out[field] = v
		}
	}
	return out
}

func relayBody(ctx context.Context, body io.Reader, b *answer.Buffer) Result {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := body.Read(chunk)
		if n > 0 {
			if werr := b.Write(ctx, bytes.Clone(chunk[:n])); werr != nil {
				return Result{Status: statusOfError(ctx, true, Truncated), Err: werr}
			}
		}
		if errors.Is(err, io.EOF) {
			return Result{Status: Done}
		}
		if err != nil {
			return Result{Status: statusOfError(ctx, true, Truncated), Err: err}
		}
	}
}

// usage is the part of a JSON response that is decoded.
type usage struct {
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// relayJSON writes a response to the buffer once it is complete and valid JSON.
func relayJSON(ctx context.Context, body io.Reader, b *answer.Buffer, head answer.Head) Result {
	content, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return Result{Status: statusOfError(ctx, true, Lost), Err: err}
	}
	if len(content) > maxResponseBytes {
		return Result{Status: InvalidResponse, Err: fmt.Errorf("response is larger than %d bytes", maxResponseBytes)}
	}
	if !jsontext.Value(content).IsValid() {
		return Result{Status: InvalidResponse, Err: errors.New("response is not valid JSON")}
	}
	b.Start(head)
	if err := b.Write(ctx, content); err != nil {
		return Result{Status: statusOfError(ctx, true, Truncated), Err: err}
	}
	var u usage
	_ = json.Unmarshal(content, &u) // a response without usage counts as 0 tokens
	return Result{Status: Done, OutputTokens: u.Usage.CompletionTokens}
}

var (
	// errOtherRun means that the engine has another run under the ID of the stream.
	errOtherRun = errors.New("the events up to the last one received aren't those of the stream")
	// errNotCheckable means that the caller's position is without a checksum.
	errNotCheckable = errors.New("Last-Event-ID is of a version that can't be resumed any more")
)

// eventRelay relays a stream of server-sent events. It gives each event an ID with which any
// instance can resume the stream.
type eventRelay struct {
	call   Call
	buffer *answer.Buffer
	head   answer.Head
	// position is that in the run of the engine, reached the one that the caller has reached.
	position ResumeToken
	reached  ResumeToken
	tokens   int
	first    bool
}

func (e *eventRelay) run(ctx context.Context, body io.Reader) Result {
	e.reached.Upstream, e.reached.StreamID = e.position.Upstream, e.position.StreamID
	reader := bufio.NewReaderSize(body, chunkBytes)
	for {
		event, err := sse.Read(reader, maxEventBytes)
		if errors.Is(err, sse.ErrTooLarge) {
			return e.result(InvalidResponse, err)
		}
		if err != nil {
			return e.result(statusOfError(ctx, true, Truncated), unexpectedEnd(err))
		}
		event, hasData, ok := cleanEvent(event)
		if !ok {
			return e.result(InvalidResponse, errors.New("stream contains a line that isn't a field of an event"))
		}
		if !hasData {
			continue // a keep-alive comment
		}
		done := isLastEvent(event)
		if e.position.Events < e.reached.Events {
			e.position = e.position.next(event)
			if done || e.position.Events == e.reached.Events && !e.reached.isSame(e.position) {
				return Result{Status: NotResumed, Err: errOtherRun}
			}
			continue
		}
		if !e.first {
			e.first = true
			e.call.OnFirstOutput()
			e.buffer.Start(e.head)
		}
		if err := e.write(ctx, event, done); err != nil {
			return e.result(statusOfError(ctx, true, Truncated), err)
		}
		if done {
			return e.result(Done, nil)
		}
	}
}

// write relays an event, and counts it once it is in the buffer.
func (e *eventRelay) write(ctx context.Context, event []byte, done bool) error {
	if done {
		return e.buffer.Write(ctx, event)
	}
	next := e.position.next(event)
	if err := e.buffer.Write(ctx, append(eventID(next), event...)); err != nil {
		return err
	}
	e.position, e.reached = next, next
	e.tokens++
	return nil
}

// eventID returns the line with the ID of an event; nil if its stream can't be resumed.
func eventID(token ResumeToken) []byte {
	if token.StreamID == "" {
		return nil
	}
	return append(append([]byte("id: "), token.String()...), '\n')
}

func (e *eventRelay) result(s Status, err error) Result {
	return Result{Status: s, Err: err, OutputTokens: e.tokens, Position: e.reached}
}

// Fields with which a line of an event may begin; ":" is a comment. Lines with the field id are
// dropped, since eventRelay sets its own.
var (
	dataField   = []byte("data:")
	idField     = []byte("id:")
	otherFields = [][]byte{[]byte(":"), []byte("event:"), []byte("retry:")}
)

// cleanEvent checks the lines of an event and drops its id and the blank lines before it. HasData is false for an event that
// contains only comments.
func cleanEvent(event []byte) (clean []byte, hasData, ok bool) {
	for line := range bytes.Lines(event) {
		switch {
		case bytes.HasPrefix(line, dataField):
			hasData = true
		case bytes.HasPrefix(line, idField):
			continue
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			if len(clean) == 0 {
				continue // it would separate the event from the ID that is put before it
			}
		case hasAnyPrefix(line, otherFields):
		default:
			return nil, false, false
		}
		clean = append(clean, line...)
	}
	return clean, hasData, true
}

// isLastEvent reports whether the data of an event is that of the last one of a stream.
func isLastEvent(event []byte) bool {
	dataLines, isDone := 0, false
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataField)
		if ok {
			dataLines++
			isDone = string(bytes.TrimPrefix(value, []byte(" "))) == doneData
		}
	}
	return dataLines == 1 && isDone
}

func hasAnyPrefix(line []byte, prefixes [][]byte) bool {
	return slices.ContainsFunc(prefixes, func(p []byte) bool { return bytes.HasPrefix(line, p) })
}

// unexpectedEnd converts io.EOF before the last event to io.ErrUnexpectedEOF.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
