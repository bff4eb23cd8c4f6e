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

func ask(method, path, body string, header ...string) *http.Request {
	h := httptest.NewRequest(method, path, strings.NewReader(body))
	h.Header.Set("Authorization", "Bearer foo")
	for i := 0; i+1 < len(header); i += 2 {
		h.Header.Set(header[i], header[i+1])
	}
	return h
}

const chat = "/v1/chat/completions"

func TestDecode(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r, problem := Decode(now, ask("POST", chat, `{"model":"move-planner","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"sofa"}]}`,
		api.HeaderTier, "live", api.HeaderTimeout, "2s"), snapshot(t), maxBody)
	is.True(problem == nil)
	is.Equal(r.Organisation, "gebremedhin")
	is.Equal(r.Tier, "live")
	is.Equal(r.Deadline, now.Add(2*time.Second))
	is.Equal(r.MaxOutputTokens, 9)
	is.True(r.Stream && r.PromptTokens > 0 && !r.NonIdempotent)
	r, problem = Decode(now, ask("POST", "/services/bookings/confirm?lorry=3", "x"), snapshot(t), maxBody)
	is.True(problem == nil)
	is.True(r.NonIdempotent) // by the operator's word
	is.Equal(r.Path+"?"+r.Query, "/confirm?lorry=3")
	is.Equal(r.Tier, "desk") // the organisation's default
	r, problem = Decode(now, ask("POST", "/services/bookings/%63onfirm%2F7", "x"), snapshot(t), maxBody)
	is.True(problem == nil)
	is.True(r.NonIdempotent) // however it is escaped
	is.Equal(r.RawPath, "/%63onfirm%2F7")
}

// Bad input gets a typed reason and a remedy.
func TestDecodeRefuses(t *testing.T) {
	good := `{"model":"move-planner","messages":[]}`
	for name, c := range map[string]struct {
		request *http.Request
		reason  api.Reason
		remedy  string
	}{
		"no API key":        {ask("POST", chat, good, "Authorization", ""), api.ReasonUnknownAPIKey, "send the header"},
		"unknown API key":   {ask("POST", chat, good, "Authorization", "Bearer bar"), api.ReasonUnknownAPIKey, "ask your operator"},
		"tier not allowed":  {ask("POST", chat, good, api.HeaderTier, "gold"), api.ReasonTierNotAllowed, "leave out"},
		"timeout no time":   {ask("POST", chat, good, api.HeaderTimeout, "soon"), api.ReasonInvalidRequest, "such as 1.5s"},
		"deadline past":     {ask("POST", chat, good, api.HeaderTimeout, "-1s"), api.ReasonDeadlinePast, "allow at least"},
		"mark no bool":      {ask("POST", chat, good, api.HeaderNonIdempotent, "yes"), api.ReasonInvalidRequest, "true or false"},
		"attempt no number": {ask("POST", chat, good, api.HeaderAttempt, "first"), api.ReasonInvalidRequest, "whole number"},
		"key too long":      {ask("POST", chat, good, api.HeaderIdempotencyKey, strings.Repeat("k", 600)), api.ReasonKeyInvalid, "at most"},
		"unknown model":     {ask("POST", chat, `{"model":"x","messages":[]}`), api.ReasonUnknownModel, "GET /v1/models"},
		"unknown service":   {ask("POST", "/services/x/y", ""), api.ReasonUnknownService, "ask your operator"},
		"no prompt":         {ask("POST", chat, `{"model":"move-planner"}`), api.ReasonInvalidRequest, "send messages"},
		"broken JSON":       {ask("POST", chat, `{"model":`), api.ReasonInvalidRequest, "mend its syntax"},
		"invalid UTF-8":     {ask("POST", chat, "{\"model\":\"a\xff\"}"), api.ReasonInvalidRequest, "UTF-8"},
		"wrong type":        {ask("POST", chat, `{"model":7,"messages":[]}`), api.ReasonInvalidRequest, "wrong type"},
		"no output":         {ask("POST", chat, `{"model":"move-planner","max_tokens":0,"messages":[]}`), api.ReasonInvalidRequest, "at least 1"},
		"method":            {ask("OPTIONS", "/services/bookings/confirm", ""), api.ReasonInvalidRequest, "use GET"},
		"body too large":    {ask("POST", chat, `"`+strings.Repeat("x", maxBody)), api.ReasonBodyTooLarge, "send less"},
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

func TestPromptTooLong(t *testing.T) {
	is := is.New(t)
	body := `{"model":"move-planner","prompt":"` + strings.Repeat("x", 200_000) + `"}`
	_, problem := Decode(time.Now(), ask("POST", "/v1/completions", body), snapshot(t), 1<<20)
	is.Equal(problem.Reason, api.ReasonPromptTooLong)
}

// The fingerprint tells apart what is asked, and nothing else.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	sum := func(path, body string, header ...string) string {
		r, problem := Decode(time.Now(), ask("POST", path, body, header...), snapshot(t), maxBody)
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
			t.Errorf("accepted without its terms: %v", r)
		}
		if problem != nil && problem.Detail == "" {
			t.Error("refused without a remedy")
		}
	})
}
