package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/listen"
	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/membudget"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/sse"
)

const (
	// maxBufferedBytes is the size up to which a response that is not a stream is buffered until it
	// is complete, so that a request whose response breaks off can still be retried.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is the size of the chunks in which a larger response is relayed.
	copyBufferBytes = 32 << 10
	// eventBufferBytes is the size of the read buffer for events.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// idleTimeoutFactor is how many times the route's maximum pause between events an upstream may
	// be silent within a stream that another upstream can resume.
	idleTimeoutFactor = 4
	// minIdleTimeout is the least of these times: a sound upstream may fall silent for a second and go on.
	minIdleTimeout = 1500 * time.Millisecond
)

// listVersions are the versions of the owner's and this instance's list of upstreams at the time of
// an attempt, and the age of this instance's list, for logs.
type listVersions struct {
	owner, own int64
	age        time.Duration
}

// Errors of streams that end with their connection.
var (
	// errPartialEvent means that the stream ended inside an event.
	errPartialEvent = fmt.Errorf("%w: the stream ended inside an event", exchange.ErrTruncated)
	// errNoEvent means that the stream ended before its first event.
	errNoEvent = fmt.Errorf("%w: the stream ended before its first event", exchange.ErrTruncated)
	// errNoStatedEnd means that the end of a resumed stream isn't stated, while its caller was promised that
	// it would be.
	errNoStatedEnd = fmt.Errorf("%w: whether the resumed stream is complete isn't stated", exchange.ErrTruncated)
)

// errUnsigned means that a success lacks the upstream's signature.
var errUnsigned = errors.New("successful response without the upstream's signature")

// errNotOfUpstream means that nothing in a client error says that it comes from an upstream. Callers don't retry such an
// error, and another process may have the address of an entry.
var errNotOfUpstream = errors.New("client error without a signature and the request's ID")

// attempt sends the request to the granted upstream and relays the response.
func (j *job) attempt(ctx context.Context, g fleet.Grant) (result attemptResult) {
	j.position.beginRun()
	j.lastPartAt = time.Now()
	j.versions = listVersions{owner: g.ListVersion(), own: j.handler.o.View.ListVersion(), age: j.handler.listAge()}
	if err := j.handler.o.Fleet.CheckUsable(g.Upstream()); err != nil {
		return attemptResult{status: notUsable, err: err}
	}
	process := j.handler.o.Fleet.ProcessOf(g.Upstream()) // before its connections, which a newer process may have
	connections := j.handler.o.Fleet.ConnectionsTo(g.Upstream())
	if connections == nil {
		return attemptResult{status: notUsable, err: fleet.ErrNotListed}
	}
	remaining := time.Until(j.deadline) - (boottime.Suspended() - j.suspended) // the caller's clock ran on while this machine was suspended
	if remaining <= 0 {
		return attemptResult{status: deadlineExceeded, err: context.DeadlineExceeded}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	silence := j.watchSilence(ctx, g, process, cancel)
	defer func() { result.replacement, result.silent = silence.close() }()
	j.attempts++
	j.events, j.framing, j.reused, j.viaPeer = 0, exchange.NoResponse, false, false
	j.upstream = g.Upstream()
	j.owner = g.Owner()
	j.sentAfter = time.Since(j.arrived)
	defer j.handler.running.start(j.handler.o.Fleet.ZoneOf(g.Upstream()))()
	response, err := connections.Do(ctx, j.exchangeRequest(g, process, remaining))
	if err != nil {
		status, err := statusOf(ctx, err)
		if status != notUsable {
			j.handler.o.Fleet.RecordNoResponse(g.Upstream(), process)
		}
		if status == notSent || status == notUsable {
			j.attempts--
		} else {
			j.mayHaveRun = true
		}
		return attemptResult{status: status, err: err, process: process}
	}
	defer response.Close()
	j.respondedAt = time.Now()
	j.lastPartAt = j.respondedAt
	j.framing, j.reused, j.viaPeer = response.Framing, response.Reused, fleet.IsThroughPeer(response.Conn())
	j.handler.o.Metrics.Count(fmt.Sprintf("tacktally_upstream_responses_total{framing=%q}", j.framing))
	g.RecordActivity()
	r := &relay{job: j, process: process, ctx: ctx, response: response, silence: silence, onLoad: g.RecordLoad, onData: g.RecordActivity, onFirst: func() {
		g.RecordFirstToken()
		j.firstAfter = time.Since(j.arrived)
		j.handler.o.Metrics.FirstToken(j.route.Kind.String(), j.firstAfter)
	}}
	result = r.run()
	result.process = process
	return result
}

func (j *job) exchangeRequest(g fleet.Grant, process string, remaining time.Duration) *exchange.Request {
	header := j.header.Clone()
	p := j.handler.o.Protocol
	p.SetAttemptHeaders(header, Attempt{Upstream: g.Upstream(), Organisation: j.organisationName(), Remaining: remaining, LastEventID: j.position.lastID})
	return &exchange.Request{
		Method:     j.request.Method,
		Target:     j.target(),
		Host:       j.request.Host,
		Header:     header,
		Body:       j.body,
		IsResponse: func(h http.Header) bool { return p.IsResponseTo(h, j.info.ID) },
		BeforeSend: func() error { return j.beforeSend(g, process) },
	}
}

// relay relays one response to the caller.
type relay struct {
	job      *job
	process  string // of the upstream, when the request was sent
	leaving  bool   // the response announced that the process is leaving
	ctx      context.Context
	response *exchange.Response
	silence  *silenceWatch
	onLoad   func(loadreport.Report) // called with a valid load report, before onFirst
	onFirst  func()                  // called when a successful response begins
	onData   func()                  // called for each event
}

func (r *relay) run() attemptResult {
	head := r.job.handler.o.Protocol.ParseResponse(r.response.Status, r.response.Header)
	success := r.response.Status >= 200 && r.response.Status < 300
	trusted := !head.Misdirected && (head.Signed || !success)
	switch {
	case trusted && head.Leaving:
		r.leaving = true
		r.job.handler.recordLeaving(r.process)
	case r.response.Closing:
		r.job.handler.o.OnClosing(r.job.upstream)
	}
	r.recordBackoff(head)
	if trusted {
		r.recordLimit(head)
		r.recordLoad(head)
	}
	switch {
	case head.Misdirected:
		r.readRefusal()
		return attemptResult{status: misdirected, err: errors.New("another upstream has the address")}
	case head.NotRun:
		return attemptResult{status: notRun, err: r.readRefusal()}
	}
	r.job.mayHaveRun = true
	switch {
	case success && !head.Signed:
		return attemptResult{status: invalidResponse, err: errUnsigned}
	case isClientError(r.response.Status) && !head.Signed && !head.Identified:
		return attemptResult{status: invalidResponse, err: fmt.Errorf("%w: status %d", errNotOfUpstream, r.response.Status)}
	case r.job.responseStarted && !success:
		return attemptResult{status: truncated, err: fmt.Errorf("status %d in response to a resumed stream", r.response.Status)}
	case head.ImpliesNotRun:
		return r.readAmbiguousRefusal()
	case success && r.job.route.Kind == routing.Stream:
		return r.relayStream()
	default:
		return r.relayWhole()
	}
}

func isClientError(status int) bool { return status >= 400 && status < 500 }

// recordLeaving records the leaving notice of an upstream's process.
func (h *Handler) recordLeaving(process string) {
	if h.o.Fleet.RecordLeavingNotice(process) {
		h.o.Announce()
	}
}

const (
	// maxRefusalBytes bounds how much of a refusal's body is kept as its cause.
	maxRefusalBytes = 200
	// refusalBodyTimeout bounds the reading of a refusal's body: the request waits for its next attempt.
	refusalBodyTimeout = 50 * time.Millisecond
)

// readRefusal counts a refusal of an upstream and returns its cause.
func (r *relay) readRefusal() error {
	r.job.handler.o.Metrics.Count(fmt.Sprintf("tacktally_upstream_refusals_total{status=\"%d\"}", r.response.Status))
	cause, _ := r.readCause() // a read error only shortens the cause
	return cause
}

// readAmbiguousRefusal returns the result of a response with a status that callers take for a refusal, while the upstream
// doesn't say that it hasn't run the request. Such a response is never relayed.
func (r *relay) readAmbiguousRefusal() attemptResult {
	r.job.handler.o.Metrics.Count(fmt.Sprintf("tacktally_upstream_refusals_ambiguous_total{status=\"%d\"}", r.response.Status))
	cause, err := r.readCause()
	if err != nil && !isTimeout(err) {
		return r.brokenResult(err)
	}
	return attemptResult{status: upstreamFailed, err: fmt.Errorf("%w, without a statement that the request was not run", cause)}
}

// isTimeout reports whether a read failed since its time was over.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// readCause returns the cause that a response which isn't relayed states by its status and body, and the error that ended the
// body early. It reads a short body to its end, so that the connection can be reused, and blocks for refusalBodyTimeout at most.
func (r *relay) readCause() (cause, broken error) {
	defer r.response.AbortAfter(refusalBodyTimeout)()
	body, err := io.ReadAll(io.LimitReader(r.response, maxRefusalBytes))
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(r.response, copyBufferBytes)) // unread bytes would close the connection
	}
	return fmt.Errorf("status %d %s", r.response.Status, strings.TrimSpace(string(body))), err
}

// relayWhole relays a response that isn't a stream. A small one is buffered until it is complete, if there is memory
// for it.
func (r *relay) relayWhole() (result attemptResult) {
	r.silence.partReceived()
	body := watchedBody{relay: r}
	buffered := membudget.Buffer{Budget: r.job.handler.memory}
	defer func() {
		if result.failure == nil {
			buffered.Release()
		}
	}()
	err := buffered.ReadAtMost(body, maxBufferedBytes+1)
	whole := err == nil && buffered.Len() <= maxBufferedBytes
	if errors.Is(err, membudget.ErrExhausted) {
		err = nil
	}
	if whole {
		err = r.checkUnstatedEnd(quarantine.DiagnoseNow) // the caller has nothing yet
	}
	if err != nil {
		return r.brokenResult(err)
	}
	if r.response.Status < http.StatusInternalServerError {
		r.onFirst() // not for a failure, which comes sooner than a successful response
	}
	if whole {
		complete := &bufferedResponse{status: r.response.Status, header: r.response.Header, framing: r.response.Framing, length: int64(buffered.Len()), body: &buffered}
		if r.job.request.Method == http.MethodHead {
			complete.length = r.response.ContentLength // that of the body which GET would have
		}
		if r.job.mayRetryFailure(complete) {
			return attemptResult{status: upstreamFailed, err: fmt.Errorf("status %d", complete.status), failure: complete}
		}
		return r.job.writeResponse(complete)
	}
	r.job.writeHead(r.response.Status, r.response.Header, r.response.Framing, r.response.ContentLength)
	if result := r.job.write(buffered.Bytes()); result.status != completed {
		return result
	}
	chunk := make([]byte, min(max(buffered.Len(), membudget.FreeBytes), copyBufferBytes)) // small while memory is short
	buffered.Release()
	pace := newPace(r.job.route.Kind, r.response.Framing)
	for {
		n, err := body.Read(chunk)
		if err := r.awaitPace(pace, n); err != nil {
			return r.brokenResult(err)
		}
		if result := r.job.write(chunk[:n]); result.status != completed {
			return result
		}
		if errors.Is(err, io.EOF) {
			if err := r.checkUnstatedEnd(quarantine.Diagnose); err != nil {
				return r.brokenResult(err)
			}
			return attemptResult{status: completed}
		}
		if err != nil {
			return r.brokenResult(err)
		}
	}
}

// relayStream relays a stream, each event as soon as it is complete.
func (r *relay) relayStream() attemptResult {
	buffer := membudget.Buffer{Budget: r.job.handler.memory}
	defer buffer.Release()
	reader := bufio.NewReaderSize(eventReader{relay: r, event: &buffer}, eventBufferBytes)
	control := http.NewResponseController(r.job.w)
	r.job.events = 0
	started := false
	pace := newPace(r.job.route.Kind, r.response.Framing)
	for {
		r.silence.awaitPart()
		buffer.Reset()
		event, err := sse.ReadInto(&buffer, reader, maxEventBytes)
		if len(event) > 0 && !r.recordPart() {
			return r.brokenResult(errSilent)
		}
		if err := r.awaitPace(pace, len(event)); err != nil {
			return r.brokenResult(err)
		}
		if err := r.streamError(event, err, started); err != nil {
			if r.job.position.lacks(event) {
				r.job.endConfirmation()
			}
			return r.brokenResult(err)
		}
		if len(event) > 0 {
			if !started {
				started = true
				r.job.softwareVersions = append(r.job.softwareVersions, r.job.sentVersion)
				r.onFirst()
			}
			r.job.events++
			r.onData()
			if result := r.relayEvent(event); result.status != completed {
				return result
			}
		}
		if err != nil { // end of the stream
			ended := time.Now()
			err := r.checkUnstatedEnd(quarantine.Diagnose)
			if err != nil && !errors.Is(err, errUnconfirmed) {
				return r.brokenResult(err)
			}
			if r.response.Framing == exchange.UntilClose && r.job.responseStarted && !r.job.endsByClose {
				return r.brokenResult(errNoStatedEnd)
			}
			if result := r.relayRest(); result.status != completed {
				return result
			}
			r.writeHeadOnce()
			if err != nil && r.mayConfirm() {
				if err := control.Flush(); err != nil {
					return attemptResult{status: callerDisconnected, err: err}
				}
				r.awaitConfirmation(ended)
				return attemptResult{status: unconfirmed, err: err}
			}
			return attemptResult{status: completed}
		}
		if r.job.responseStarted && !sse.HasBufferedEvent(reader) { // a flush without a head would send status 200
			if err := control.Flush(); err != nil {
				return attemptResult{status: callerDisconnected, err: err}
			}
		}
	}
}

// streamError returns why a stream has broken off, given the result of sse.Read and whether an event came
// before; nil if it goes on or may be complete.
func (r *relay) streamError(event []byte, err error, started bool) error {
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, io.EOF):
		return outOfMemory(err)
	case r.response.Framing != exchange.UntilClose:
		return nil
	case sse.IsPartial(event):
		return errPartialEvent
	case !started && !r.job.position.mayBeComplete():
		return errNoEvent
	default:
		return nil
	}
}

// relayEvent relays one event, unless the caller has received it already.
func (r *relay) relayEvent(event []byte) attemptResult {
	return r.relayIfPlaced(r.job.position.place(event))
}

// relayRest relays what is left at the end of a run.
func (r *relay) relayRest() attemptResult { return r.relayIfPlaced(r.job.position.endRun()) }

// relayIfPlaced relays what the position has placed in the stream, unless the run doesn't fit there.
func (r *relay) relayIfPlaced(placed []byte, err error) attemptResult {
	if errors.Is(err, errGap) || sse.HasData(placed) {
		r.job.endConfirmation()
	}
	if err != nil {
		r.job.handler.o.Metrics.Count("tacktally_stream_runs_misplaced_total")
		return r.brokenResult(err)
	}
	return r.relayPlaced(placed)
}

// relayPlaced relays what the position has placed in the stream, if anything.
func (r *relay) relayPlaced(placed []byte) attemptResult {
	if len(placed) == 0 {
		return attemptResult{status: completed}
	}
	r.job.shareOrigin()
	r.writeHeadOnce()
	if result := r.job.write(placed); result.status != completed {
		return result
	}
	r.job.recordOrigin()
	return attemptResult{status: completed}
}

// writeHeadOnce relays the head of a stream, unless a head was relayed before.
func (r *relay) writeHeadOnce() {
	if !r.job.responseStarted {
		r.job.writeHead(r.response.Status, r.response.Header, r.response.Framing, -1)
	}
}

// bufferedResponse is a complete response that wasn't relayed yet.
type bufferedResponse struct {
	status  int
	header  http.Header
	framing exchange.Framing
	length  int64 // of the body, -1 if unknown
	body    *membudget.Buffer
}

// keepFailure keeps a failure response in place of the one before.
func (j *job) keepFailure(a *bufferedResponse) {
	if j.failure != nil {
		j.failure.body.Release()
	}
	j.failure = a
}

// mayRetryFailure reports whether a response is a failure of the upstream, and the request may be
// retried at another one.
func (j *job) mayRetryFailure(a *bufferedResponse) bool {
	return a.status >= http.StatusInternalServerError && j.route.MayRetry() && j.mayAttemptAgain()
}

// writeResponse relays a complete response.
func (j *job) writeResponse(a *bufferedResponse) attemptResult {
	j.writeHead(a.status, a.header, a.framing, a.length)
	return j.write(a.body.Bytes())
}

// writeUpstreamFailure relays the failure that was kept while another upstream was tried.
func (j *job) writeUpstreamFailure() *api.Problem {
	if r := j.writeResponse(j.failure); r.status != completed {
		return api.UnknownOutcome(api.ReasonCallerGone, "the caller closed the connection")
	}
	return nil
}

// writeHead relays a response's head. Length is that of the body, -1 if unknown. A response without a
// stated end is relayed as one, and the caller's connection is reset unless the response completes.
func (j *job) writeHead(status int, header http.Header, framing exchange.Framing, length int64) {
	out := j.w.Header()
	closing := out.Get("Connection")
	for name, values := range exchange.EndToEndHeaders(header) {
		out[name] = values
	}
	if closing != "" {
		out.Set("Connection", closing)
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // otherwise net/http sniffs one
	}
	if _, ok := out["Date"]; !ok {
		out["Date"] = nil
	}
	statesLength := length >= 0 && framing != exchange.UntilClose
	if statesLength {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if framing == exchange.UntilClose {
		out.Set("Transfer-Encoding", "identity") // makes net/http end the body with the connection; it isn't sent
	}
	if framing == exchange.UntilClose || (!statesLength && !j.request.ProtoAtLeast(1, 1)) {
		j.endsByClose = true
		listen.CallerConnOf(j.request.Context()).ResetOnClose()
	}
	j.responseStarted = true
	j.status = status
	j.w.WriteHeader(status)
}

func (j *job) write(chunk []byte) attemptResult {
	if _, err := j.w.Write(chunk); err != nil {
		return attemptResult{status: callerDisconnected, err: err}
	}
	return attemptResult{status: completed}
}

// brokenResult returns the result of a response that broke off.
func (r *relay) brokenResult(err error) attemptResult {
	status, cause := statusOf(r.ctx, err)
	if r.job.responseStarted && (status == lost || status == invalidResponse) {
		status = truncated
	}
	return attemptResult{status: status, err: cause}
}
