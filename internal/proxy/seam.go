// Package proxy serves routed requests: it matches each with its route, checks its
// key and its organisation's quota, waits for an upstream with room, sends it, and
// relays the answer.
//
// A request that may have run is sent again only if its route says that it may be
// repeated, within the route's attempts and the service's budget; a stream is gone on
// with at another upstream from the last event that was passed on. What is given up
// is answered at once.
//
// What callers and upstreams put on the wire beyond plain HTTP is behind Protocol.
package proxy

import (
	"net/http"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/prefix"
	"github.com/tacktally/tacktally/internal/ratelimit"
)

// Protocol translates what stands in headers and events, for callers and upstreams.
// Its methods must not block and may be called by several goroutines.
type Protocol interface {
	// ParseRequest reads what a caller says of its request. An error means that the
	// request is malformed.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// ForwardHeaders returns, as a new header, what of a caller's headers an upstream may get:
	// not what concerns one connection, and nothing that only Prepare may set.
	ForwardHeaders(h http.Header) http.Header
	// SetAttemptHeaders adds to h, a copy of what Forward returned, what one attempt carries.
	SetAttemptHeaders(h http.Header, a Attempt)
	// IsResponseTo tells whether a head answers the request of the ID.
	IsResponseTo(h http.Header, id string) bool
	// ParseResponse reads what an upstream says with an answer.
	ParseResponse(status int, h http.Header) ResponseInfo
	// WriteProblem answers a caller whose request was given up.
	WriteProblem(w http.ResponseWriter, p *api.Problem)
}

// RequestInfo is what a caller says of its request.
type RequestInfo struct {
	// ID names the request; no two requests have the same.
	ID string
	// APIKey is the API key, empty where there is none.
	APIKey string
	// Timeout is the time the caller waits; 0 where it doesn't say.
	Timeout time.Duration
	// HasTokenCounts tells whether the caller gave the length of its Prompt and of the
	// longest Output, in tokens.
	HasTokenCounts  bool
	PromptTokens int
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the output's length; 0 where there is none.
	ExpectedOutputTokens int
	// PromptSegments of the prompt in order. Requests share the first ones.
	PromptSegments []prefix.Part
	// LastEventID is the ID of the last event that the caller has of a stream; empty from
	// the start.
	LastEventID string
}

// Attempt is what an upstream is told beside the caller's headers.
type Attempt struct {
	// Upstream that is meant; any other one is to refuse it.
	Upstream string
	// Organisation whose request it is; empty on public routes.
	Organisation string
	// Remaining is the time in which the answer is still wanted.
	Remaining time.Duration
	// LastEventID is the ID of the last event at hand; empty from the start.
	LastEventID string
}

// ResponseInfo is what an upstream says with an answer.
type ResponseInfo struct {
	// Signed answers come from the upstream itself.
	Signed bool
	// NotRun: the upstream says that it didn't run the request and won't.
	NotRun bool
	// Misdirected: another upstream has the address now.
	Misdirected bool
	// Leaving: the upstream says that it leaves.
	Leaving bool
	// RetryAfter is for how long it wants nothing, 0 where it doesn't say.
	RetryAfter time.Duration
	// Limit is what it says of the requests a second that it takes.
	Limit ratelimit.Observation
}
