package request

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/config"
)

const maxBody = 4096

func snapshot(t testing.TB) *config.Snapshot {
	t.Helper()
	content, err := os.ReadFile("../../examples/document.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := config.Accept(1, content, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newRequest(method, path, body string, header ...string) *http.Request {
	h := httptest.NewRequest(method, path, strings.NewReader(body))
	h.Header.Set("Authorization", "Bearer foo")
	for i := 0; i+1 < len(header); i += 2 {
		h.Header.Set(header[i], header[i+1])
	}
	return h
}

const chat = "/v1/chat/completions"

func TestDecodeReadsHeadersBodyAndPath(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r, problem := Decode(now, newRequest("POST", chat, `{"model":"move-planner","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"sofa"}]}`,
		api.HeaderTier, "live", api.HeaderTimeout, "2s"), snapshot(t), maxBody)
	is.True(problem == nil)
	is.Equal(r.Organisation, "gebremedhin")
	is.Equal(r.Tier, "live")
	is.Equal(r.Deadline, now.Add(2*time.Second))
	is.Equal(r.MaxOutputTokens, 9)
	is.True(r.Stream && r.PromptTokens > 0 && !r.NonIdempotent)
	r, problem = Decode(now, newRequest("POST", "/services/bookings/confirm?lorry=3", "x"), snapshot(t), maxBody)
	is.True(problem == nil)
	is.True(r.NonIdempotent) // declared by the operator
	is.Equal(r.Path+"?"+r.Query, "/confirm?lorry=3")
	is.Equal(r.Tier, "desk") // the organisation's default
	r, problem = Decode(now, newRequest("POST", "/services/bookings/%63onfirm%2F7", "x"), snapshot(t), maxBody)
	is.True(problem == nil)
	is.True(r.NonIdempotent) // however it is escaped
	is.Equal(r.RawPath, "/%63onfirm%2F7")
}

// Invalid input gets a reason and a remedy.
func TestInvalidRequestsGetAReasonAndARemedy(t *testing.T) {
	good := `{"model":"move-planner","messages":[]}`
	for name, c := range map[string]struct {
		request *http.Request
		reason  api.Reason
		remedy  string
	}{
		"no API key":       {newRequest("POST", chat, good, "Authorization", ""), api.ReasonUnknownAPIKey, "send the header"},
		"unknown API key":  {newRequest("POST", chat, good, "Authorization", "Bearer bar"), api.ReasonUnknownAPIKey, "ask your operator"},
		"tier not allowed": {newRequest("POST", chat, good, api.HeaderTier, "gold"), api.ReasonTierNotAllowed, "leave out"},
		"invalid timeout":  {newRequest("POST", chat, good, api.HeaderTimeout, "soon"), api.ReasonInvalidRequest, "such as 1.5s"},
		"deadline past":    {newRequest("POST", chat, good, api.HeaderTimeout, "-1s"), api.ReasonDeadlinePast, "allow at least"},
		"invalid mark":     {newRequest("POST", chat, good, api.HeaderNonIdempotent, "yes"), api.ReasonInvalidRequest, "true or false"},
		"invalid attempt":  {newRequest("POST", chat, good, api.HeaderAttempt, "first"), api.ReasonInvalidRequest, "whole number"},
		"key too long":     {newRequest("POST", chat, good, api.HeaderIdempotencyKey, strings.Repeat("k", 600)), api.ReasonKeyInvalid, "at most"},
		"unknown model":    {newRequest("POST", chat, `{"model":"x","messages":[]}`), api.ReasonUnknownModel, "GET /v1/models"},
		"unknown service":  {newRequest("POST", "/services/x/y", ""), api.ReasonUnknownService, "ask your operator"},
		"no prompt":        {newRequest("POST", chat, `{"model":"move-planner"}`), api.ReasonInvalidRequest, "send messages"},
		"invalid JSON":     {newRequest("POST", chat, `{"model":`), api.ReasonInvalidRequest, "correct its syntax"},
		"invalid UTF-8":    {newRequest("POST", chat, "{\"model\":\"a\xff\"}"), api.ReasonInvalidRequest, "UTF-8"},
		"wrong type":       {newRequest("POST", chat, `{"model":7,"messages":[]}`), api.ReasonInvalidRequest, "wrong type"},
		"no output":        {newRequest("POST", chat, `{"model":"move-planner","max_tokens":0,"messages":[]}`), api.ReasonInvalidRequest, "at least 1"},
		"method":           {newRequest("OPTIONS", "/services/bookings/confirm", ""), api.ReasonInvalidRequest, "use GET"},
		"body too large":   {newRequest("POST", chat, `"`+strings.Repeat("x", maxBody)), api.ReasonBodyTooLarge, "send less"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, problem := Decode(time.Now(), c.request, snapshot(t), maxBody)
			is.True(problem != nil)
			is.Equal(problem.Reason, c.reason)
			is.Equal(problem.Outcome, api.NotRun)
			is.True(strings.Contains(problem.Detail, c.remedy))
		})
	}
}

func TestPromptBeyondTheModelsLimitIsRefused(t *testing.T) {
	is := is.New(t)
	body := `{"model":"move-planner","prompt":"` + strings.Repeat("x", 200_000) + `"}`
	_, problem := Decode(time.Now(), newRequest("POST", "/v1/completions", body), snapshot(t), 1<<20)
	is.Equal(problem.Reason, api.ReasonPromptTooLong)
}

// The fingerprint depends on everything that affects what an upstream does, and on nothing else.
func TestFingerprintDependsOnContentOnly(t *testing.T) {
	is := is.New(t)
	sum := func(path, body string, header ...string) string {
		r, problem := Decode(time.Now(), newRequest("POST", path, body, header...), snapshot(t), maxBody)
		is.True(problem == nil)
		return r.Fingerprint.String()
	}
	base := sum("/services/bookings/confirm", "x")
	is.Equal(base, sum("/services/bookings/confirm", "x", api.HeaderTier, "live", api.HeaderTimeout, "3s"))
	is.True(base != sum("/services/bookings/confirm", "y"))
	is.True(base != sum("/services/bookings/confirm/y", "x"))
	is.True(base != sum("/services/bookings/confirm?y", "x"))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"move-planner","max_tokens":9,"messages":[{"role":"user","content":"sofa"}]}`), "2s", "1")
	f.Add([]byte(`{"model":"move-planner","prompt":["a"]}`), "", "")
	s := snapshot(f)
	f.Fuzz(func(t *testing.T, body []byte, timeout, attempt string) {
		h := httptest.NewRequest("POST", chat, bytes.NewReader(body))
		h.Header.Set("Authorization", "Bearer foo")
		h.Header.Set(api.HeaderTimeout, timeout)
		h.Header.Set(api.HeaderAttempt, attempt)
		r, problem := Decode(time.Now(), h, s, maxBody)
		if problem == nil && (r.PromptTokens < 1 || r.MaxOutputTokens < 1 || r.Tier == "" || len(r.Body) > maxBody) {
			t.Errorf("accepted an incomplete request: %v", r)
		}
		if problem != nil && problem.Detail == "" {
			t.Error("refused without a remedy")
		}
	})
}
