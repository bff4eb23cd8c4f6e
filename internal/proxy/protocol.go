package proxy

import (
	"net/http"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/prefix"
	"github.com/tacktally/tacktally/internal/ratelimit"
)

// Protocol translates headers and events for callers and upstreams. Its methods must not block and
// must be safe for concurrent use.
type Protocol interface {
	// ParseRequest returns the caller's description of its request. It returns an error if the
	// request is malformed.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// ForwardHeaders returns a new header with those of the caller's headers that an upstream may
	// receive. It leaves out hop-by-hop headers and those that only SetAttemptHeaders may set.
	ForwardHeaders(h http.Header) http.Header
	// SetAttemptHeaders adds the headers of one attempt to h, a copy of the result of
	// ForwardHeaders.
	SetAttemptHeaders(h http.Header, a Attempt)
	// IsResponseTo reports whether a response header belongs to the request with the given ID.
	IsResponseTo(h http.Header, id string) bool
	// ParseResponse returns what an upstream announces in a response's status and header.
	ParseResponse(status int, h http.Header) ResponseInfo
	// WriteProblem writes the response to a caller whose request was given up.
	WriteProblem(w http.ResponseWriter, p *api.Problem)
}

// RequestInfo is a caller's description of its request.
type RequestInfo struct {
	// ID identifies the request; it is unique.
	ID string
	// APIKey is empty if the caller sent none.
	APIKey string
	// Timeout is how long the caller waits; 0 if it isn't given.
	Timeout time.Duration
	// HasTokenCounts reports whether the caller gave PromptTokens and MaxOutputTokens.
	HasTokenCounts  bool
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the output's length; 0 if it isn't given.
	ExpectedOutputTokens int
	// PromptSegments are the segments of the prompt in order. Requests can share leading segments.
	PromptSegments []prefix.Segment
	// LastEventID is the ID of the last event of a stream that the caller has received; empty if it
	// wants the stream from its start.
	LastEventID string
	// OriginID is the ID of the request that brought the first event of that stream; empty if it isn't given.
	OriginID string
}

// Attempt is what an upstream receives in addition to the caller's headers.
type Attempt struct {
	// Upstream is the intended upstream; any other one refuses the request.
	Upstream string
	// Organisation is the organisation that sent the request; empty on public routes.
	Organisation string
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// LastEventID is the ID of the last event that the caller has received; empty from the start.
	LastEventID string
}

// ResponseInfo is what an upstream announces with a response.
type ResponseInfo struct {
	// Signed reports whether the response carries the upstream's own signature.
	Signed bool
	// Identified reports whether the response carries the ID of the request.
	Identified bool
	// NotRun reports that the upstream didn't run the request and won't run it.
	NotRun bool
	// ImpliesNotRun reports that callers take the status to mean that the request hasn't run and won't run. Unless
	// NotRun or Misdirected is set, the upstream doesn't say so.
	ImpliesNotRun bool
	// Misdirected reports that another upstream now has the address.
	Misdirected bool
	// Leaving reports that the upstream announces that it is leaving.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests; 0 if it doesn't say.
	RetryAfter time.Duration
	// Limit is the advertised limit, in requests per second.
	Limit ratelimit.Observation
	// Load is the load of the upstream, the zero value if the response has no valid report and doesn't say
	// that the upstream is brittle.
	Load loadreport.Report
	// LoadError is why the load report of the response is invalid; nil if there is none.
	LoadError error
}
