package dispatch

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/pause"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/upstream"
)

// step is one response of a scripted engine.
type step struct {
	status      int    // default 200
	contentType string // default that of a stream
	stream      string // ID of the stream; default "s1", none if "-"
	body        string
	whole       bool // the response states its end; otherwise its connection breaks
}

// scriptedEngine responds to each request with the next step. The last one is repeated.
type scriptedEngine struct {
	steps   []step
	targets []string // of the requests received
}

func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	s := e.steps[min(len(e.targets), len(e.steps)-1)]
	e.targets = append(e.targets, h.URL.RequestURI())
	switch s.stream {
	case "":
		w.Header().Set(upstream.HeaderStreamID, "s1")
	case "-":
	default:
		w.Header().Set(upstream.HeaderStreamID, s.stream)
	}
	if s.contentType == "" {
		s.contentType = "text/event-stream"
	}
	w.Header().Set("Content-Type", s.contentType)
	w.WriteHeader(max(s.status, http.StatusOK))
	_, _ = io.WriteString(w, s.body)
	if !s.whole {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// events returns a body with the events from first to last.
func events(first, last int) string {
	body := ""
	for n := first; n <= last; n++ {
		body += fmt.Sprintf("data: %d\n\n", n)
	}
	return body
}

const done = "data: [DONE]\n\n"

// newScriptedAttempts returns the attempts of a request, and the address of an engine behind a handler.
func newScriptedAttempts(t *testing.T, e http.Handler, r *request.Request) (a *attempts, address string) {
	t.Helper()
	server := httptest.NewUnstartedServer(e)
	server.Config.ErrorLog = nil
	server.Start()
	t.Cleanup(server.Close)
	client := upstream.NewClient(time.Second)
	t.Cleanup(client.Close)
	address = server.Listener.Addr().String()
	logger := telemetry.NewLogger(io.Discard, "error", "test")
	r.Deadline = time.Now().Add(time.Minute)
	return &attempts{
		dispatcher: &Dispatcher{
			serving: t.Context(),
			o: Options{
				Client: client, Metrics: telemetry.NewMetrics(), Log: logger,
				Gate: &pause.Gate{Detector: pause.NewDetector()}, Quarantine: quarantine.New(logger, nil),
			},
			listed: map[setMember]bool{{"readers", address}: true},
		},
		snapshot: &config.Snapshot{}, request: r, buffer: answer.New(true), set: "readers",
	}, address
}

func newStreamRequest(nonIdempotent bool) *request.Request {
	return &request.Request{ID: "r1", Kind: request.Chat, Model: "m", Stream: true, Body: []byte(`{}`), NonIdempotent: nonIdempotent}
}

// serve sends a request, and resumes its stream as run does.
func (a *attempts) serve(t *testing.T, address string) answer.End {
	t.Helper()
	call := upstream.Call{Address: address, Request: a.request, BeforeWrite: func() error { return nil }, OnFirstOutput: func() {}}
	result := a.dispatcher.o.Client.Do(t.Context(), call, a.buffer)
	if result.Status == upstream.Truncated && a.mayResume(result) {
		return a.resume(t.Context(), address, result)
	}
	return a.endOf(result)
}

// textOf returns the body in a buffer.
func textOf(t *testing.T, b *answer.Buffer) string {
	t.Helper()
	b.Finish(answer.End{})
	reader := b.Reader()
	body := ""
	for {
		event, err := reader.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if event.End != nil {
			return body
		}
		body += string(event.Chunk)
	}
}

// dataOf returns the data of the events in a buffer, separated by spaces. Lines that are no field have a question
// mark.
func dataOf(t *testing.T, b *answer.Buffer) string {
	t.Helper()
	var data []string
	for line := range strings.Lines(textOf(t, b)) {
		if value, ok := strings.CutPrefix(line, "data:"); ok {
			data = append(data, strings.TrimSpace(value))
		} else if !strings.HasPrefix(line, "id:") && strings.TrimSpace(line) != "" {
			data = append(data, "?"+strings.TrimSpace(line))
		}
	}
	return strings.Join(data, " ")
}

// Guards against a response that isn't the stream, such as an error in JSON, being written into the
// middle of a stream, which then ended as complete.
func TestResponseThatIsNoStreamDoesNotContinueAStream(t *testing.T) {
	first := step{body: events(1, 3)}
	for name, c := range map[string]struct {
		second step
		want   string
		whole  bool
	}{
		"the stream":           {step{body: events(1, 5) + done, whole: true}, "1 2 3 4 5 [DONE]", true},
		"not found, as JSON":   {step{status: 404, contentType: "application/json", body: `{"error":{}}`, whole: true}, "1 2 3", false},
		"failed, as JSON":      {step{status: 500, contentType: "application/json", body: `{"error":{}}`, whole: true}, "1 2 3", false},
		"busy, as JSON":        {step{status: 503, contentType: "application/json", body: `{"error":{}}`, whole: true}, "1 2 3", false},
		"whole, as JSON":       {step{contentType: "application/json", body: `{"choices":[]}`, whole: true}, "1 2 3", false},
		"failed, as text":      {step{status: 500, contentType: "text/plain", body: "failed", whole: true}, "1 2 3", false},
		"failed, as a stream":  {step{status: 500, body: events(1, 5) + done, whole: true}, "1 2 3", false},
		"nothing":              {step{whole: true}, "1 2 3", false},
		"closed between two":   {step{body: events(1, 4), whole: true}, "1 2 3 4", false},
		"closed inside an ID":  {step{body: events(1, 4) + "id", whole: true}, "1 2 3 4", false},
		"closed before a line": {step{body: events(1, 4) + "data: [DONE]", whole: true}, "1 2 3 4", false},
	} {
		for _, nonIdempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%t", name, nonIdempotent), func(t *testing.T) {
				is := is.New(t)
				e := &scriptedEngine{steps: []step{first, c.second, {status: 404, contentType: "text/plain", whole: true}}}
				a, address := newScriptedAttempts(t, e, newStreamRequest(nonIdempotent))
				end := a.serve(t, address)
				is.Equal(dataOf(t, a.buffer), c.want)
				is.Equal(end.Problem == nil, c.whole)
				is.True(c.whole || end.Problem.Outcome == api.Unknown)
			})
		}
	}
}

// Guards against events being repeated: a resumed run that ended as invalid after some events was
// resumed from where it had begun.
func TestEventsOfAnInvalidRunAreNotRepeated(t *testing.T) {
	for name, invalid := range map[string]string{
		"a line that is no field": "hello\n\n",
		"too large":               "data: " + strings.Repeat("x", 1<<20) + "\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &scriptedEngine{steps: []step{
				{body: events(1, 3)},
				{body: events(1, 5) + invalid, whole: true},
				{body: events(1, 7) + done, whole: true},
			}}
			a, address := newScriptedAttempts(t, e, newStreamRequest(false))
			end := a.serve(t, address)
			is.Equal(e.targets[1:], []string{"/v1/streams/s1?offset=0", "/v1/streams/s1?offset=0"})
			is.Equal(dataOf(t, a.buffer), "1 2 3 4 5 6 7 [DONE]")
			is.Equal(end.Problem, nil)
		})
	}
}

// Guards against pieces of two runs being joined: an engine that resumes another stream than the one
// asked for.
func TestAnotherStreamDoesNotContinueAStream(t *testing.T) {
	is := is.New(t)
	e := &scriptedEngine{steps: []step{
		{body: events(1, 3)},
		{stream: "s2", body: events(1, 5) + done, whole: true},
	}}
	a, address := newScriptedAttempts(t, e, newStreamRequest(false))
	end := a.serve(t, address)
	is.Equal(dataOf(t, a.buffer), "1 2 3")
	is.True(end.Problem != nil)
}

// Guards against a missing event: one that didn't fit into a retained response was counted, and the
// stream went on after it with events that fit.
func TestEventThatDoesNotFitIsNotLeftOut(t *testing.T) {
	is := is.New(t)
	large := "data: " + strings.Repeat("x", 900<<10) + "\n\n"
	e := &scriptedEngine{steps: []step{
		{body: strings.Repeat(large, 37), whole: true},
		{body: events(38, 38) + done, whole: true},
	}}
	a, address := newScriptedAttempts(t, e, newStreamRequest(true))
	end := a.serve(t, address)
	is.True(end.Problem != nil)
	is.True(!strings.Contains(dataOf(t, a.buffer), "[DONE]"))
	is.Equal(len(e.targets), 1)
}

// Guards against another response, such as an error in JSON, being taken for the rest of a stream.
func TestCallersResumptionIsAnsweredByTheStreamOrAProblem(t *testing.T) {
	for name, c := range map[string]struct {
		step  step
		want  string
		whole bool
	}{
		"the stream":     {step{body: events(1, 5) + done, whole: true}, "4 5 [DONE]", true},
		"at its end":     {step{body: events(1, 3) + done, whole: true}, "[DONE]", true},
		"not found":      {step{status: 404, contentType: "application/json", body: `{"error":{}}`, whole: true}, "", false},
		"whole, as JSON": {step{contentType: "application/json", body: `{"choices":[]}`, whole: true}, "", false},
		"another stream": {step{stream: "s2", body: events(1, 5) + done, whole: true}, "", false},
		"without an ID":  {step{stream: "-", body: events(1, 5) + done, whole: true}, "4 5 [DONE]", true},
		"no stated end":  {step{body: events(1, 5), whole: true}, "4 5", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newStreamRequest(false)
			e := &scriptedEngine{steps: []step{c.step, {status: 404, contentType: "text/plain", whole: true}}}
			a, address := newScriptedAttempts(t, e, r)
			r.LastEventID = lastEventID(t, address, events(1, 3))
			end := a.run(t.Context())
			is.Equal(dataOf(t, a.buffer), c.want)
			is.Equal(end.Problem == nil, c.whole)
			is.True(c.whole || end.Problem.Outcome == api.Unknown)
			is.Equal(e.targets[0], "/v1/streams/s1?offset=0")
		})
	}
}

// lastEventID returns the ID of the last of the events that an engine at an address has sent in stream s1.
func lastEventID(t *testing.T, address, sent string) (id string) {
	t.Helper()
	a, engine := newScriptedAttempts(t, &scriptedEngine{steps: []step{{body: sent}}}, newStreamRequest(false))
	call := upstream.Call{Address: engine, Request: a.request, BeforeWrite: func() error { return nil }, OnFirstOutput: func() {}}
	position := a.dispatcher.o.Client.Do(t.Context(), call, a.buffer).Position
	position.Upstream = address
	return position.String()
}

// Guards against events that are missing or come twice: an engine that sends other events than those from the start,
// or that has another run under the ID of the stream, as after a restart at the same address.
func TestResumptionAtAnotherEventIsNotRelayed(t *testing.T) {
	for name, c := range map[string]struct {
		body  string // of the resumed run
		want  string // after events 1 to 3
		whole bool
	}{
		"from its start":               {events(1, 5) + done, "4 5 [DONE]", true},
		"with comments and names":      {": alive\n\n" + events(1, 2) + "event: x\nid: 3\ndata: 3\n\n: alive\n\n" + events(4, 5) + done, "4 5 [DONE]", true},
		"with CR LF":                   {strings.ReplaceAll(events(1, 5)+done, "\n", "\r\n"), "4 5 [DONE]", true},
		"at the end":                   {events(1, 3) + done, "[DONE]", true},
		"too late":                     {events(5, 6) + done, "", false},
		"from the next event":          {events(4, 6) + done, "", false},
		"from the last event":          {events(3, 6) + done, "", false},
		"one too late":                 {events(2, 6) + done, "", false},
		"one too early":                {events(0, 6) + done, "", false},
		"without the second event":     {events(1, 1) + events(3, 6) + done, "", false},
		"with the last event alone":    {done, "", false},
		"ended before the last event":  {events(1, 2) + done + events(3, 5) + done, "", false},
		"another run":                  {"data: a\n\ndata: b\n\n" + done, "", false},
		"another run that is longer":   {"data: a\n\ndata: b\n\ndata: c\n\ndata: d\n\n" + done, "", false},
		"broken before the next event": {events(1, 3), "", false},
		"broken inside the last event": {events(1, 2) + "data: 3", "", false},
		"an event without data first":  {"event: x\n\n" + events(1, 5) + done, "4 5 [DONE]", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gone := step{status: 404, contentType: "text/plain", whole: true}
			e := &scriptedEngine{steps: []step{{body: events(1, 3)}, {body: c.body, whole: true}, gone}}
			a, address := newScriptedAttempts(t, e, newStreamRequest(false))
			end := a.serve(t, address)
			is.Equal(end.Problem == nil, c.whole)
			is.Equal(dataOf(t, a.buffer), strings.TrimSpace("1 2 3 "+c.want))
			is.Equal(e.targets[1], "/v1/streams/s1?offset=0")

			// The caller resumes with the ID of the third event.
			var ids []string
			for line := range strings.Lines(textOf(t, a.buffer)) {
				if id, ok := strings.CutPrefix(line, "id: "); ok {
					ids = append(ids, strings.TrimSpace(id))
				}
			}
			r := newStreamRequest(false)
			r.LastEventID = ids[2]
			e.steps, e.targets = []step{{body: c.body, whole: true}, gone}, nil
			again := &attempts{dispatcher: a.dispatcher, snapshot: a.snapshot, request: r, buffer: answer.New(true), set: a.set}
			r.Deadline = time.Now().Add(time.Minute)
			end = again.run(t.Context())
			is.Equal(end.Problem == nil, c.whole)
			is.Equal(dataOf(t, again.buffer), c.want)
			is.Equal(e.targets[0], "/v1/streams/s1?offset=0")
		})
	}
}

// upgradedEngine has a run under the ID of stream s1 for each of its processes. The first process ends after its events.
type upgradedEngine struct {
	first, second []string // data of the events
	restarted     bool
}

func (e *upgradedEngine) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	w.Header().Set(upstream.HeaderStreamID, "s1")
	w.Header().Set("Content-Type", "text/event-stream")
	write := func(run []string) {
		for _, data := range run {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		}
	}
	if !e.restarted {
		e.restarted = true
		write(e.first)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	offset, err := strconv.Atoi(h.URL.Query().Get("offset"))
	if err != nil || offset > len(e.second) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	write(append(slices.Clone(e.second[offset:]), "[DONE]"))
}

// Guards against streams that are joined from two versions: an engine that was upgraded at its address has another run
// under the ID of a stream, whose event at the place of the caller's last one has the same data.
func TestRunOfAnotherProcessDoesNotContinueAStream(t *testing.T) {
	for name, c := range map[string]struct {
		first, second []string
		want          string // after the events of the first process
		whole         bool
	}{
		"the same run":               {[]string{"a", "b", "the"}, []string{"a", "b", "the", "d"}, "d [DONE]", true},
		"a common token":             {[]string{"a", "b", "the"}, []string{"x", "y", "the", "z"}, "", false},
		"an event more before it":    {[]string{"a", "the", "the"}, []string{"a", "b", "the", "the", "d"}, "", false},
		"an event less before it":    {[]string{"a", "b", "the", "the"}, []string{"a", "the", "the", "the", "d"}, "", false},
		"other pieces of one text":   {[]string{"a", "bc", "the"}, []string{"ab", "c", "the", "d"}, "", false},
		"its end at the same length": {[]string{"a", "b", "the"}, []string{"x", "b", "the"}, "", false},
	} {
		for _, byCaller := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, by the caller %t", name, byCaller), func(t *testing.T) {
				is := is.New(t)
				r := newStreamRequest(true)
				a, address := newScriptedAttempts(t, &upgradedEngine{first: c.first, second: c.second, restarted: byCaller}, r)
				has := strings.Join(c.first, " ") + " "
				var end answer.End
				if byCaller {
					r.LastEventID = lastEventID(t, address, "data: "+strings.Join(c.first, "\n\ndata: ")+"\n\n")
					end, has = a.run(t.Context()), ""
				} else {
					end = a.serve(t, address)
				}
				is.Equal(dataOf(t, a.buffer), strings.TrimSpace(has+c.want))
				is.Equal(end.Problem == nil, c.whole)
				is.True(c.whole || end.Problem.Outcome == api.Unknown)
			})
		}
	}
}

// Guards against streams that are joined from two runs: an event ID without any checksum says nothing of the events that
// the caller has.
func TestEventIDWithoutChecksumIsNotResumed(t *testing.T) {
	is := is.New(t)
	r := newStreamRequest(false)
	a, address := newScriptedAttempts(t, &upgradedEngine{second: []string{"x", "y", "z"}, restarted: true}, r)
	r.LastEventID = upstream.ResumeToken{Upstream: address, StreamID: "s1", Events: 2}.String()
	end := a.run(t.Context())
	is.Equal(dataOf(t, a.buffer), "")
	is.Equal(end.Problem.Outcome, api.Unknown)
	is.Equal(end.Problem.Reason, api.ReasonUpstreamLost)
}

// Guards against a request that has run and is told that it didn't: the resumption of its stream was refused.
func TestRefusedResumptionDoesNotTellThatTheRequestDidNotRun(t *testing.T) {
	for _, c := range []struct {
		nonIdempotent, resumed bool
		outcome                api.Outcome
	}{{true, true, api.Unknown}, {true, false, api.NotRun}, {false, true, api.NotRun}} {
		is := is.New(t)
		r := newStreamRequest(c.nonIdempotent)
		a, address := newScriptedAttempts(t, &scriptedEngine{}, r)
		if c.resumed {
			r.LastEventID = lastEventID(t, address, events(1, 3))
		}
		a.dispatcher.Serve(t.Context(), a.snapshot, r, a.buffer) // which has no models
		p := a.buffer.Ended().Problem
		is.Equal(p.Reason, api.ReasonUnknownModel)
		is.Equal(p.Outcome, c.outcome)
		is.Equal(p.AttemptOutcome == api.NotRun, c.outcome == api.Unknown)
	}
}

// Event IDs that an instance of the previous version has written have the checksum of their event alone.
func TestEventIDOfThePreviousVersionIsResumed(t *testing.T) {
	for want, second := range map[string][]string{"c [DONE]": {"a", "b", "c"}, "": {"a", "x", "c"}} {
		is := is.New(t)
		r := newStreamRequest(false)
		a, address := newScriptedAttempts(t, &upgradedEngine{second: second, restarted: true}, r)
		token, err := upstream.ParseResumeToken(lastEventID(t, address, "data: a\n\ndata: b\n\n"))
		is.NoErr(err)
		token.Content = 0
		r.LastEventID = token.String()
		a.run(t.Context())
		is.Equal(dataOf(t, a.buffer), want)
	}
}

// Guards against a stream that looks complete after its engine's process was killed: the kernel closes the connections of
// such a process in order, and a response without length or chunks states no end.
func TestStreamOfAKilledEngineDoesNotLookComplete(t *testing.T) {
	for name, sent := range map[string]string{
		"before the first event":       "",
		"between two events":           events(1, 3),
		"inside an event":              events(1, 3) + "data: 4",
		"before its blank line":        events(1, 3) + "data: 4\n",
		"inside the last event":        events(1, 3) + "data: [DONE]",
		"before the last event's end":  events(1, 3) + "data: [DONE]\n",
		"inside the ID of an event":    events(1, 3) + "id: 4",
		"after a comment":              events(1, 3) + ": alive\n\n",
		"after an event without data":  events(1, 3) + "event: x\n\n",
		"between two events in chunks": "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEngine-Stream-Id: s1\r\n"
			response := head + "\r\n" + sent
			if name == "between two events in chunks" {
				response = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(events(1, 3)), events(1, 3))
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if h, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, h.Body)
					l.Close()
					_, _ = io.WriteString(c, response)
				}
			}()
			a, _ := newScriptedAttempts(t, &scriptedEngine{}, newStreamRequest(false))
			end := a.serve(t, l.Addr().String())
			is.True(end.Problem != nil)
			is.Equal(end.Problem.Outcome, api.Unknown)
			if name != "before the first event" {
				is.Equal(dataOf(t, a.buffer), "1 2 3")
				is.Equal(end.Problem.Reason, api.ReasonUpstreamCut)
			}
		})
	}
}

// Guards against pieces that are missing, split or repeated where the connection to an engine breaks, at any byte.
func TestStreamCutAnywhereIsResumedWhole(t *testing.T) {
	pieces := []string{
		"data: a\n\n", ": alive\n\ndata: b\r\n\r\n", "event: x\nid: 7\ndata: c\ndata: d\n\n", "\n\ndata: e\n\n", "event: y\n\ndata: e\n\n",
		"data:f\n: alive\n\n", `data: {"text":"data: [DONE]"}` + "\n\n",
	}
	const want = `a b c d e e f {"text":"data: [DONE]"} [DONE]`
	whole := strings.Join(pieces, "") + done
	for _, inOrder := range []bool{false, true} {
		for cut := range len(whole) {
			is := is.New(t)
			first := true
			engine := http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set(upstream.HeaderStreamID, "s1")
				if !first {
					offset, err := strconv.Atoi(h.URL.Query().Get("offset"))
					if err != nil {
						t.Error(err)
						return
					}
					_, _ = io.WriteString(w, strings.Join(pieces[offset:], "")+done)
					return
				}
				first = false
				_, _ = io.WriteString(w, whole[:cut])
				if !inOrder {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			})
			a, address := newScriptedAttempts(t, engine, newStreamRequest(false))
			end := a.serve(t, address)
			is.Equal(end.Problem, nil)
			got := strings.ReplaceAll(dataOf(t, a.buffer), "?: alive ", "")
			got = strings.NewReplacer("?event: x ", "", "?event: y ", "").Replace(got)
			is.Equal(got, want) // cut at a byte
		}
	}
}
