package faults

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	releasePath = "/services/" + claimsService + "/release" // declared non-idempotent
	lookupPath  = "/services/" + claimsService + "/lookup"
	chatPath    = "/v1/chat/completions"
)

// prompt returns the body of a chat completion request for four tokens.
func prompt(text string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":4,"messages":[{"role":"user","content":%q}]}`, modelName, stream, text)
}

// metric returns the value of a daemon's metric; 0 if it is absent or the daemon doesn't respond.
func (p *process) metric(name string) float64 {
	r, err := p.fleet.client.Get("http://" + p.ip + ":7002/metrics")
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	var text strings.Builder
	buffer := make([]byte, 1<<16)
	for {
		n, err := r.Body.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	for line := range strings.Lines(text.String()) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			return v
		}
	}
	return 0
}

// runCount returns how often the service received a call with the given body.
func (f *fleet) runCount(body string) int {
	n := 0
	for _, c := range f.service.Calls() {
		if c.Body == body {
			n++
		}
	}
	return n
}
