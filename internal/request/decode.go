package request

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/idempotency"
)

const (
	// minTimeout and maxTimeout bound the timeout that a caller may set.
	minTimeout = time.Millisecond
	maxTimeout = time.Hour
	idBytes    = 12
	// ServicePrefix is the path prefix of calls to services.
	ServicePrefix = "/services/"
)

// modelBody contains the fields of an OpenAI request that the scheduler uses. The body is forwarded
// unchanged.
type modelBody struct {
	Model               string         `json:"model"`
	Messages            jsontext.Value `json:"messages"`
	Prompt              jsontext.Value `json:"prompt"`
	Stream              bool           `json:"stream"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
}

// NewID returns a random request ID.
func NewID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return "req-" + hex.EncodeToString(b[:])
}

// Decode decodes a caller's request and checks it against the snapshot. If it returns a Problem,
// the returned Request may be partly filled.
func Decode(now time.Time, h *http.Request, s *config.Snapshot, maxBody int64) (*Request, *api.Problem) {
	r := &Request{ID: NewID(), Method: h.Method}
	org, problem := authenticate(h, s)
	if problem != nil {
		return r, problem
	}
	r.Organisation = org.Name
	if problem := r.decodeHeaders(now, h, org); problem != nil {
		return r, problem
	}
	if strings.HasPrefix(h.URL.Path, ServicePrefix) {
		problem = r.decodeService(h, s)
	} else {
		problem = r.decodeModel(h, s, maxBody)
	}
	if problem != nil {
		return r, problem
	}
	r.computeFingerprint()
	return r, nil
}

func authenticate(h *http.Request, s *config.Snapshot) (*config.Organisation, *api.Problem) {
	key, ok := strings.CutPrefix(h.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, api.Refuse(api.ReasonUnknownAPIKey, "no API key; send the header Authorization: Bearer KEY")
	}
	org, ok := s.OrganisationByAPIKey(key)
	if !ok {
		return nil, api.Refuse(api.ReasonUnknownAPIKey, "the API key belongs to no organisation; ask your operator for one")
	}
	return org, nil
}

// Authenticate returns the organisation of an HTTP request that isn't dispatched.
func Authenticate(h *http.Request, s *config.Snapshot) (*config.Organisation, *api.Problem) {
	return authenticate(h, s)
}

// decodeHeaders decodes the headers that set tier, timeout and idempotency.
func (r *Request) decodeHeaders(now time.Time, h *http.Request, org *config.Organisation) *api.Problem {
	tier := org.DefaultTier
	if name := h.Header.Get(api.HeaderTier); name != "" {
		allowed, ok := org.Tier(name)
		if !ok {
			return api.Refuse(api.ReasonTierNotAllowed, "organisation %s may not use tier %q; leave out %s or ask your operator", org.Name, name, api.HeaderTier)
		}
		tier = allowed
	}
	r.Tier = tier.Name
	r.Timeout = tier.Timeout
	if text := h.Header.Get(api.HeaderTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return api.Refuse(api.ReasonInvalidRequest, "%s is %q; write a number and a unit, such as 1.5s", api.HeaderTimeout, text)
		}
		if d < minTimeout {
			return api.Refuse(api.ReasonDeadlinePast, "%s is %v, so the deadline has passed; allow at least %v", api.HeaderTimeout, d, minTimeout)
		}
		r.Timeout = min(d, maxTimeout)
	}
	r.SetTimes(now)
	return r.decodeKey(h)
}

func (r *Request) decodeKey(h *http.Request) *api.Problem {
	switch text := h.Header.Get(api.HeaderNonIdempotent); text {
	case "", "false":
	case "true":
		r.NonIdempotent = true
	default:
		return api.Refuse(api.ReasonInvalidRequest, "%s is %q; write true or false", api.HeaderNonIdempotent, text)
	}
	r.Key = h.Header.Get(api.HeaderIdempotencyKey)
	if len(r.Key) > idempotency.MaxKeyLength {
		return api.Refuse(api.ReasonKeyInvalid, "%s has %d bytes; use at most %d", api.HeaderIdempotencyKey, len(r.Key), idempotency.MaxKeyLength)
	}
	attempt, problem := decodeAttempt(h)
	r.Attempt = attempt
	if _, err := idempotency.Parse(r.Key); err == nil {
		r.NonIdempotent = true // a request under an issued key runs at most once
	}
	return problem
}

// decodeAttempt decodes the number of the attempt from api.HeaderAttempt or from the header that
// OpenAI's clients send.
func decodeAttempt(h *http.Request) (Attempt, *api.Problem) {
	first := 1
	name := api.HeaderAttempt
	text := h.Header.Get(name)
	if text == "" {
		first = 0
		name = api.HeaderRetryCount
		text = h.Header.Get(name)
	}
	if text == "" {
		return AttemptUnmarked, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < first {
		return AttemptUnmarked, api.Refuse(api.ReasonInvalidRequest, "%s is %q; write a whole number from %d", name, text, first)
	}
	if n == first {
		return AttemptFirst, nil
	}
	return AttemptRetry, nil
}

func (r *Request) decodeModel(h *http.Request, s *config.Snapshot, maxBody int64) *api.Problem {
	r.Kind = Completion
	if strings.HasSuffix(h.URL.Path, "/chat/completions") {
		r.Kind = Chat
	}
	body, problem := readBody(h.Body, maxBody)
	if problem != nil {
		return problem
	}
	r.Body = body
	var m modelBody
	if err := json.Unmarshal(body, &m); err != nil {
		return invalidBody(err)
	}
	set, ok := s.EngineSetByModel(m.Model)
	if !ok {
		return api.Refuse(api.ReasonUnknownModel, "no engine set serves model %q; GET /v1/models lists those that are served", m.Model)
	}
	prompt := m.Prompt
	if r.Kind == Chat {
		prompt = m.Messages
	}
	if len(prompt) == 0 || string(prompt) == "null" {
		return api.Refuse(api.ReasonInvalidRequest, "the prompt is missing; send messages for a chat completion, prompt for a completion")
	}
	r.Model = m.Model
	r.Stream = m.Stream
	r.LastEventID = h.Header.Get(api.HeaderLastEventID)
	r.hashPrompt(prompt)
	if r.Kind == Chat {
		r.hashMessages(prompt)
	}
	if r.PromptTokens > set.MaxPromptTokens {
		return api.Refuse(api.ReasonPromptTooLong, "the prompt has about %d tokens; model %s takes %d, so shorten it", r.PromptTokens, m.Model, set.MaxPromptTokens)
	}
	return r.limitOutput(m, set)
}

func (r *Request) limitOutput(m modelBody, set *config.EngineSet) *api.Problem {
	limit := cmp.Or(m.MaxCompletionTokens, m.MaxTokens)
	if limit == nil {
		r.MaxOutputTokens = set.MaxOutputTokens
		return nil
	}
	if *limit < 1 {
		return api.Refuse(api.ReasonInvalidRequest, "the output limit is %d tokens; allow at least 1", *limit)
	}
	r.MaxOutputTokens = min(*limit, set.MaxOutputTokens)
	return nil
}

func invalidBody(err error) *api.Problem {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return api.Refuse(api.ReasonInvalidRequest, "the body's field %q has the wrong type; see the OpenAI API", semantic.JSONPointer)
	}
	return api.Refuse(api.ReasonInvalidRequest, "the body is not valid JSON in UTF-8 (%v); correct its syntax", err)
}

// forwardedHeaders are the header fields of a service request that are forwarded to the service.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "User-Agent"}

// serviceMethods are the methods that are forwarded to services.
var serviceMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true,
	http.MethodPut: true, http.MethodPatch: true, http.MethodDelete: true,
}

func (r *Request) decodeService(h *http.Request, s *config.Snapshot) *api.Problem {
	r.Kind = Service
	name, path, _ := strings.Cut(strings.TrimPrefix(h.URL.Path, ServicePrefix), "/")
	svc, ok := s.Service(name)
	if !ok {
		return api.Refuse(api.ReasonUnknownService, "no service named %q is declared; ask your operator which services are available", name)
	}
	if !serviceMethods[r.Method] {
		return api.Refuse(api.ReasonInvalidRequest, "method %s isn't forwarded to services; use GET, HEAD, POST, PUT, PATCH or DELETE", r.Method)
	}
	_, rawPath, _ := strings.Cut(strings.TrimPrefix(h.URL.EscapedPath(), ServicePrefix), "/")
	r.Service = name
	r.Path = "/" + path
	r.RawPath = "/" + rawPath
	r.Query = h.URL.RawQuery
	r.PromptTokens = svc.CostTokens
	r.NonIdempotent = r.NonIdempotent || svc.NonIdempotent(r.Method, r.Path)
	r.Header = map[string][]string{}
	for _, field := range forwardedHeaders {
		if v := h.Header.Values(field); len(v) > 0 {
			r.Header[field] = v
		}
	}
	body, problem := readBody(h.Body, int64(svc.MaxBodyBytes))
	r.Body = body
	return problem
}

func readBody(body io.Reader, limit int64) ([]byte, *api.Problem) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, api.Refuse(api.ReasonInvalidRequest, "the body could not be read completely (%v); send it again", err)
	}
	if int64(len(content)) > limit {
		return nil, api.Refuse(api.ReasonBodyTooLarge, "the body is larger than %d bytes; send less", limit)
	}
	return content, nil
}

// String identifies the request in errors.
func (r *Request) String() string {
	if r.Kind == Service {
		return fmt.Sprintf("%s %s %s%s", r.ID, r.Method, r.Service, r.Path)
	}
	return fmt.Sprintf("%s model %s", r.ID, r.Model)
}
