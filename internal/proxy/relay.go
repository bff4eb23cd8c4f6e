package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/sse"
)

const (
	// heldBytes is the size up to which an answer that is no stream is held until it
	// is whole, so that one that breaks off can still be had elsewhere.
	heldBytes = 256 << 10
	// copyBytes is the size of the pieces in which a larger one is passed on.
	copyBytes = 32 << 10
	// eventBuffer is the size of the buffer that events are read from.
	eventBuffer = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// pauseFactor is how many times the longest pause in time an upstream may be
	// silent within a stream that another may go on with.
	pauseFactor = 4
)

// lists are the versions of the owner's and this instance's list of upstreams by which a
// request is sent, and how old this one is, for logs.
type lists struct {
	owner, own int64
	age        time.Duration
}

// errUnsigned: a success that no upstream has signed.
var errUnsigned = errors.New("a success without the upstream's signature")

// send makes one attempt and relays its answer.
func (j *job) send(ctx context.Context, l fleet.Lease) result {
	age, _ := j.handler.o.View.ListAge()
	j.sentBy = lists{owner: l.ListVersion(), own: j.handler.o.View.ListVersion(), age: age}
	if err := j.handler.o.Fleet.MayBeSent(l.Upstream()); err != nil {
		return result{status: notUsable, err: err}
	}
	connections := j.handler.o.Fleet.ConnectionsTo(l.Upstream())
	if connections == nil {
		return result{status: notUsable, err: fleet.ErrNotListed}
	}
	left := time.Until(j.deadline) - (boottime.Suspended() - j.suspended) // its caller's clock went on
	if left <= 0 {
		return result{status: outOfTime, err: context.DeadlineExceeded}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	silence := j.watchSilence(l, cancel)
	defer silence.stop()
	j.attempts++
	j.events = 0
	process := j.handler.o.Fleet.ProcessOf(l.Upstream())
	j.upstream = l.Upstream()
	j.owner = l.Owner()
	j.granted = time.Since(j.arrived)
	defer j.handler.running.begin(j.handler.o.Fleet.ZoneOf(l.Upstream()))()
	answer, err := connections.Do(ctx, j.exchangeRequest(l, left))
	if err != nil {
		status, err := statusOf(ctx, err)
		if status != notUsable {
			j.handler.o.Fleet.Unheard(l.Upstream())
		}
		if status == notSent || status == notUsable {
			j.attempts--
		} else {
			j.mayHaveRun = true
		}
		return result{status: status, err: err, process: process}
	}
	defer answer.Close()
	l.Heard()
	r := &relay{job: j, ctx: ctx, answer: answer, silence: silence, heard: l.Heard, first: func() {
		l.FirstToken()
		j.first = time.Since(j.arrived)
		j.handler.o.Metrics.FirstToken(j.route.Kind.String(), j.first)
	}}
	ended := r.run()
	ended.process = process
	return ended
}

func (j *job) exchangeRequest(l fleet.Lease, left time.Duration) *exchange.Request {
	header := j.header.Clone()
	p := j.handler.o.Protocol
	p.Prepare(header, Attempt{Upstream: l.Upstream(), Organisation: j.organisationName(), Left: left, After: j.after})
	return &exchange.Request{
		Method:  j.http.Method,
		Target:  j.target(),
		Host:    j.http.Host,
		Header:  header,
		Body:    j.body,
		Answers: func(h http.Header) bool { return p.Answers(h, j.call.ID) },
		MaySend: func() error { return j.mayBeSent(l) },
	}
}

// silence ends an attempt when nothing comes for too long. Only requests that may be
// had elsewhere are watched.
type silence struct {
	timer *time.Timer // nil where it isn't watched
	pause time.Duration
}

func (j *job) watchSilence(l fleet.Lease, cancel context.CancelCauseFunc) silence {
	if !j.route.MayRetry() || j.attempts+1 >= j.route.MaxAttempts || j.route.LatencyObjective == 0 {
		return silence{}
	}
	first := max(time.Duration(silenceFactor*float64(j.route.LatencyObjective)), predictedFactor*l.Predicted())
	return silence{
		timer: time.AfterFunc(first, func() { cancel(errSilent) }),
		pause: pauseFactor * j.route.MaxEventInterval,
	}
}

func (s silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// heard starts the time anew after an event.
func (s silence) heard() {
	switch {
	case s.timer == nil:
	case s.pause == 0:
		s.timer.Stop()
	default:
		s.timer.Reset(s.pause)
	}
}

// relay passes one answer on.
type relay struct {
	job     *job
	ctx     context.Context
	answer  *exchange.Answer
	silence silence
	first   func() // called when a success begins
	heard   func() // called when something of it has come
}

func (r *relay) run() result {
	head := r.job.handler.o.Protocol.ReadHead(r.answer.Status, r.answer.Header)
	success := r.answer.Status >= 200 && r.answer.Status < 300
	isWord := !head.Misdirected && (head.Signed || !success)
	switch {
	case isWord && head.Leaving:
		r.job.handler.saysLeaving(r.job.upstream)
	case r.answer.Closing:
		r.job.handler.o.Closing(r.job.upstream)
	}
	r.noteRest(head)
	if isWord {
		r.noteLimit(head)
	}
	switch {
	case head.Misdirected:
		r.refusal()
		return result{status: misdirected, err: errors.New("another upstream has the address")}
	case head.NotRun:
		return result{status: notRun, err: r.refusal()}
	}
	r.job.mayHaveRun = true
	switch {
	case success && !head.Signed:
		return result{status: garbage, err: errUnsigned}
	case r.job.passed && !success:
		return result{status: cut, err: fmt.Errorf("status %d to a resumed stream", r.answer.Status)}
	case success && r.job.route.Kind == routing.Stream:
		return r.events()
	default:
		return r.whole()
	}
}

// saysLeaving takes an upstream's own word that it leaves.
func (h *Handler) saysLeaving(upstream string) {
	if h.o.Fleet.SaysLeaving(upstream) {
		h.o.Announce()
	}
}

// refusalBytes is how much of a refusal's body is noted: its cause, if it names one.
const refusalBytes = 200

// refusal counts an upstream's refusal and returns its cause, by status and body. It reads
// the short body to its end, so that the connection can be kept.
func (r *relay) refusal() error {
	r.job.handler.o.Metrics.Count(fmt.Sprintf("tacktally_upstream_refusals_total{status=\"%d\"}", r.answer.Status))
	body, _ := io.ReadAll(io.LimitReader(r.answer, refusalBytes))   // one cut short names the cause less well
	_, _ = io.Copy(io.Discard, io.LimitReader(r.answer, copyBytes)) // what isn't read closes the connection
	return fmt.Errorf("status %d %s", r.answer.Status, strings.TrimSpace(string(body)))
}

// whole passes on an answer that is no stream, held until it is whole if it is small.
func (r *relay) whole() result {
	held, err := io.ReadAll(io.LimitReader(r.answer, heldBytes+1))
	if err != nil {
		return r.broke(err)
	}
	if r.answer.Status < http.StatusInternalServerError {
		r.first() // a failure comes sooner than an answer does
	}
	if len(held) <= heldBytes {
		whole := &heldAnswer{status: r.answer.Status, header: r.answer.Header, body: held}
		if r.job.mayBeMended(whole) {
			return result{status: failed, err: fmt.Errorf("status %d", whole.status), failure: whole}
		}
		return r.job.passOn(whole)
	}
	r.job.writeHead(r.answer.Status, r.answer.Header, r.answer.Length)
	if w := r.job.write(held); w.status != done {
		return w
	}
	piece := make([]byte, copyBytes)
	for {
		n, err := r.answer.Read(piece)
		if w := r.job.write(piece[:n]); w.status != done {
			return w
		}
		if errors.Is(err, io.EOF) {
			return result{status: done}
		}
		if err != nil {
			return r.broke(err)
		}
	}
}

// events passes on a stream, each event as soon as it is whole.
func (r *relay) events() result {
	reader := bufio.NewReaderSize(r.answer, eventBuffer)
	control := http.NewResponseController(r.job.w)
	r.job.events = 0
	begun := false
	for {
		event, err := sse.Read(reader, maxEventBytes)
		if err != nil && !errors.Is(err, io.EOF) {
			return r.broke(err)
		}
		if len(event) > 0 {
			if !begun {
				begun = true
				r.first()
			}
			r.job.events++
			r.silence.heard()
			r.heard()
			if w := r.event(event); w.status != done {
				return w
			}
		}
		if err != nil { // its end
			r.begin()
			return result{status: done}
		}
		if !sse.Buffered(reader) {
			if err := control.Flush(); err != nil {
				return result{status: callerGone, err: err}
			}
		}
	}
}

// event passes one event on, unless the caller has had it.
func (r *relay) event(event []byte) result {
	id, numbered := sse.ID(event)
	if numbered && r.hasHad(id) {
		return result{status: done}
	}
	r.begin()
	if w := r.job.write(event); w.status != done {
		return w
	}
	if numbered {
		r.job.after = strconv.FormatInt(id, 10)
	}
	return result{status: done}
}

func (r *relay) hasHad(id int64) bool {
	last, err := strconv.ParseInt(r.job.after, 10, 64)
	return err == nil && id <= last // no number: nothing was passed on yet
}

// begin passes the head of a stream on, once.
func (r *relay) begin() {
	if !r.job.passed {
		r.job.writeHead(r.answer.Status, r.answer.Header, -1)
	}
}

// heldAnswer is a whole answer that wasn't passed on yet.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// mayBeMended tells whether an answer is a failure of the upstream's own, and the request
// may be had at another one.
func (j *job) mayBeMended(a *heldAnswer) bool {
	return a.status >= http.StatusInternalServerError && j.route.MayRetry() && j.mayGoOn()
}

// passOn passes a whole answer on.
func (j *job) passOn(a *heldAnswer) result {
	j.writeHead(a.status, a.header, int64(len(a.body)))
	return j.write(a.body)
}

// passFailure passes on the failure that was held while another upstream was tried.
func (j *job) passFailure() *api.Problem {
	if r := j.passOn(j.failure); r.status != done {
		return api.LeaveUnknown(api.ReasonCallerGone, "the caller closed the connection")
	}
	return nil
}

// writeHead passes a head on. Length is that of the body, -1 where it isn't known.
func (j *job) writeHead(status int, header http.Header, length int64) {
	out := j.w.Header()
	closing := out.Get("Connection")
	for name, values := range exchange.EndToEnd(header) {
		out[name] = values
	}
	if closing != "" {
		out.Set("Connection", closing)
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // or net/http would guess one
	}
	if _, ok := out["Date"]; !ok {
		out["Date"] = nil
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	j.passed = true
	j.status = status
	j.w.WriteHeader(status)
}

func (j *job) write(piece []byte) result {
	if _, err := j.w.Write(piece); err != nil {
		return result{status: callerGone, err: err}
	}
	return result{status: done}
}

// broke tells how an answer that broke off ended.
func (r *relay) broke(err error) result {
	status, cause := statusOf(r.ctx, err)
	if r.job.passed && (status == lost || status == garbage) {
		status = cut
	}
	return result{status: status, err: cause}
}
