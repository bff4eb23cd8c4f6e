package engine

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/prefix"
	"github.com/tacktally/tacktally/internal/upstream"
)

const (
	defaultOutputTokens = 16
	tagDigits           = 8
	// maxKeptRuns bounds the runs that are kept for resumption and for Runs.
	maxKeptRuns = 4096
)

// Faults are the faults that an engine injects. The zero value injects none.
type Faults struct {
	// Refuse makes the engine respond with 503 before a request runs.
	Refuse bool
	// TruncateAfter aborts the connection once, after the given number of events of a stream.
	TruncateAfter int
	// Garbage makes the engine respond with malformed JSON.
	Garbage bool
	// Hold is received from before each response begins.
	Hold <-chan struct{}
	// HoldHead is received from after a stream has begun to run, before the head of its response.
	HoldHead <-chan struct{}
	// HoldToken is received from before each token after the first.
	HoldToken <-chan struct{}
	// Leaving adds the leaving notice to each response.
	Leaving bool
}

// Server is an engine behind HTTP. Safe for concurrent use.
type Server struct {
	// Orders holds the state that results from the orders of instances.
	Orders Orders

	mux *http.ServeMux

	mu        sync.Mutex
	model     *Model
	faults    Faults
	streams   map[string]*run
	order     []string // IDs of streams, oldest first
	wake      chan struct{}
	runs      []Run
	cancelled []string
	abandoned int
	stop      chan struct{}
	once      sync.Once
}

// run is one request at the engine.
type run struct {
	id       string
	owner    string
	tag      string
	sequence *Sequence
	buffer   *answer.Buffer
}

// NewServer returns a running engine. Close stops it.
func NewServer(s Spec) *Server {
	e := &Server{
		mux:     http.NewServeMux(),
		model:   NewModel(s),
		streams: map[string]*run{},
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
	}
	events := newEventLog()
	e.model.OnCacheChange(events.add)
	e.mux.Handle("GET /v1/cache-events", events)
	e.Orders.register(e.mux)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	go e.loop()
	return e
}

// Close stops the engine. It may be called repeatedly.
func (e *Server) Close() { e.once.Do(func() { close(e.stop) }) }

// SetFaults sets the faults from now on.
func (e *Server) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetSlow multiplies the time of each step by factor.
func (e *Server) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.SetSlow(factor)
}

// Run is a request that the engine started to run.
type Run struct {
	Body string
	At   time.Time
}

// Runs returns the latest runs, oldest first.
func (e *Server) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Cancelled returns the IDs of the streams that were cancelled by ID.
func (e *Server) Cancelled() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.cancelled)
}

// Abandoned returns the number of streams that ended because their connection was closed before the head
// of the response, which names the stream.
func (e *Server) Abandoned() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.abandoned
}

// PrefilledTokens returns the number of prompt tokens that were prefilled.
func (e *Server) PrefilledTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.PrefilledTokens
}

// ServeHTTP implements http.Handler.
func (e *Server) ServeHTTP(w http.ResponseWriter, h *http.Request) { e.mux.ServeHTTP(w, h) }

// loop steps the model in real time while there is work.
func (e *Server) loop() {
	for {
		e.mu.Lock()
		idle := e.model.Idle()
		var took time.Duration
		var emitted []*Sequence
		if !idle {
			took, emitted = e.model.Step()
		}
		e.mu.Unlock()
		if idle {
			select {
			case <-e.wake:
			case <-e.stop:
				return
			}
			continue
		}
		t := time.NewTimer(took)
		select {
		case <-t.C:
		case <-e.stop:
			t.Stop()
			return
		}
		for _, s := range emitted {
			s.Value.(*run).emit()
		}
	}
}

// emit writes the event of the latest token to the buffer, and finishes the buffer after the final one.
func (r *run) emit() {
	n := r.sequence.Emitted()
	content, _ := json.Marshal(chunk(r, n))
	_ = r.buffer.Write(context.Background(), fmt.Appendf(nil, "data: %s\n\n", content))
	if n >= r.sequence.Output {
		r.buffer.Finish(answer.End{})
	}
}

// Token returns the text of token n of the response to a body. Tests use it to check that a caller
// received the complete response to its own request.
func Token(body []byte, n int) string { return tagOf(body) + "." + strconv.Itoa(n) + " " }

func tagOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])[:tagDigits]
}

type completionChunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func chunk(r *run, n int) completionChunk {
	text := r.tag + "." + strconv.Itoa(n) + " "
	return completionChunk{
		ID:      r.id,
		Object:  "chat.completion.chunk",
		Choices: []choice{{Text: text, Delta: &message{Role: "assistant", Content: text}}},
	}
}

type body struct {
	Model     string         `json:"model"`
	Messages  jsontext.Value `json:"messages"`
	Prompt    jsontext.Value `json:"prompt"`
	Stream    bool           `json:"stream"`
	MaxTokens int            `json:"max_tokens"`
}

func (e *Server) complete(w http.ResponseWriter, h *http.Request) {
	content, err := io.ReadAll(h.Body)
	if err != nil {
		return
	}
	var b body
	if err := json.Unmarshal(content, &b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := e.currentFaults()
	if faults.Hold != nil {
		select {
		case <-faults.Hold:
		case <-h.Context().Done():
			return
		}
	}
	if faults.Leaving {
		w.Header().Set(upstream.HeaderLeaving, "true")
	}
	switch {
	case faults.Refuse:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	case faults.Garbage:
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, "{\"choices\": [}")
		return
	}
	r := e.start(content, b, h.Header.Get(upstream.HeaderOwner))
	if b.Stream {
		if !awaitFirstToken(h.Context(), r, faults.HoldHead) {
			e.abandon(r)
			return
		}
		e.stream(w, h, r, 0)
		return
	}
	e.writeCompletion(w, h, r, b)
}

func (e *Server) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Server) start(content []byte, b body, owner string) *run {
	prompt := b.Prompt
	if len(b.Messages) > 0 {
		prompt = b.Messages
	}
	output := b.MaxTokens
	if output <= 0 {
		output = defaultOutputTokens
	}
	r := &run{id: rand.Text(), owner: owner, tag: tagOf(content), buffer: answer.New(true)}
	r.sequence = &Sequence{
		Prompt:       max(len(prompt)/prefix.BytesPerToken, 1),
		Output:       output,
		PrefixHashes: prefix.Hashes(prompt),
		Value:        r,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remember(string(content), r)
	e.model.Add(r.sequence)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r
}

// remember records a run and drops the oldest one above maxKeptRuns. The caller holds the lock.
func (e *Server) remember(body string, r *run) {
	e.runs = append(e.runs, Run{Body: body, At: time.Now()})
	e.order = append(e.order, r.id)
	e.streams[r.id] = r
	if len(e.order) > maxKeptRuns {
		delete(e.streams, e.order[0])
		e.order = e.order[1:]
		e.runs = e.runs[1:]
	}
}

func (e *Server) writeCompletion(w http.ResponseWriter, h *http.Request, r *run, b body) {
	if _, err := r.buffer.Wait(h.Context()); err != nil {
		return
	}
	text := ""
	for n := 1; n <= r.sequence.Output; n++ {
		text += r.tag + "." + strconv.Itoa(n) + " "
	}
	stop := "stop"
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, completionChunk{
		ID:      r.id,
		Object:  "chat.completion",
		Model:   b.Model,
		Choices: []choice{{Text: text, Message: &message{Role: "assistant", Content: text}, FinishReason: &stop}},
		Usage:   &usage{PromptTokens: r.sequence.Prompt, CompletionTokens: r.sequence.Output, TotalTokens: r.sequence.Prompt + r.sequence.Output},
	})
}

// stream writes the events of a run, without the first offset ones.
func (e *Server) stream(w http.ResponseWriter, h *http.Request, r *run, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(upstream.HeaderStreamID, r.id)
	control := http.NewResponseController(w)
	reader := r.buffer.Reader()
	for n := 0; ; {
		event, err := reader.Next(h.Context())
		if err != nil {
			return
		}
		if event.End != nil {
			if event.End.Unstated {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			return
		}
		n++
		if n <= offset {
			continue
		}
		if n > 1 && !e.holdToken(h.Context()) {
			return
		}
		if e.truncateNow(n) {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(event.Chunk); err != nil {
			return
		}
		_ = control.Flush()
	}
}

// awaitFirstToken blocks until the first token of a stream, and until hold is received from if it isn't nil. It reports
// whether the connection is still open.
func awaitFirstToken(ctx context.Context, r *run, hold <-chan struct{}) bool {
	if _, err := r.buffer.Reader().Next(ctx); err != nil {
		return false
	}
	if hold == nil {
		return true
	}
	select {
	case <-hold:
		return true
	case <-ctx.Done():
		return false
	}
}

// holdToken blocks while Faults.HoldToken does. It reports whether the stream continues.
func (e *Server) holdToken(ctx context.Context) bool {
	hold := e.currentFaults().HoldToken
	if hold == nil {
		return true
	}
	select {
	case <-hold:
		return true
	case <-ctx.Done():
		return false
	}
}

// truncateNow reports whether the stream has to be truncated before event number events. It resets the
// fault if so.
func (e *Server) truncateNow(events int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.TruncateAfter == 0 || events <= e.faults.TruncateAfter {
		return false
	}
	e.faults.TruncateAfter = 0
	return true
}

// find returns the run of a request for a stream, or nil if there is none of the same owner.
func (e *Server) find(h *http.Request) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.streams[h.PathValue("id")]
	if r == nil || r.owner != h.Header.Get(upstream.HeaderOwner) {
		return nil
	}
	return r
}

func (e *Server) resume(w http.ResponseWriter, h *http.Request) {
	r := e.find(h)
	offset, err := strconv.Atoi(h.URL.Query().Get("offset"))
	if r == nil || err != nil {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, `{"error":{"message":"no such stream"}}`)
		return
	}
	e.stream(w, h, r, offset)
}

func (e *Server) cancel(w http.ResponseWriter, h *http.Request) {
	if r := e.find(h); r != nil {
		e.mu.Lock()
		e.model.Cancel(r.sequence)
		delete(e.streams, r.id)
		e.cancelled = append(e.cancelled, r.id)
		e.mu.Unlock()
		r.buffer.Finish(answer.End{Unstated: true}) // other readers must not take it for complete
	}
	w.WriteHeader(http.StatusNoContent)
}

// abandon ends a run whose stream nobody can resume or cancel, since its ID was never sent.
func (e *Server) abandon(r *run) {
	e.mu.Lock()
	e.model.Cancel(r.sequence)
	delete(e.streams, r.id)
	e.abandoned++
	e.mu.Unlock()
	r.buffer.Finish(answer.End{})
}
