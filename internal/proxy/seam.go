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
	// ReadCall reads what a caller says of its request. An error means that the
	// request is malformed.
	ReadCall(r *http.Request) (Call, error)
	// Forward returns, as a new header, what of a caller's headers an upstream may get:
	// not what concerns one connection, and nothing that only Prepare may set.
	Forward(h http.Header) http.Header
	// Prepare adds to h, a copy of what Forward returned, what one attempt carries.
	Prepare(h http.Header, a Attempt)
	// Answers tells whether a head answers the request of the ID.
	Answers(h http.Header, id string) bool
	// ReadHead reads what an upstream says with an answer.
	ReadHead(status int, h http.Header) Head
	// WriteProblem answers a caller whose request was given up.
	WriteProblem(w http.ResponseWriter, p *api.Problem)
}

// Call is what a caller says of its request.
type Call struct {
	// ID names the request; no two requests have the same.
	ID string
	// Key is the API key, empty where there is none.
	Key string
	// Timeout is the time the caller waits; 0 where it doesn't say.
	Timeout time.Duration
	// Sized tells whether the caller gave the length of its Prompt and of the
	// longest Output, in tokens.
	Sized  bool
	Prompt int
	Output int
	// Expected is the caller's estimate of the output's length; 0 where there is none.
	Expected int
	// Parts of the prompt in order. Requests share the first ones.
	Parts []prefix.Segment
	// After is the ID of the last event that the caller has of a stream; empty from
	// the start.
	After string
}

// Attempt is what an upstream is told beside the caller's headers.
type Attempt struct {
	// Upstream that is meant; any other one is to refuse it.
	Upstream string
	// Organisation whose request it is; empty on public routes.
	Organisation string
	// Left is the time in which the answer is still wanted.
	Left time.Duration
	// After is the ID of the last event at hand; empty from the start.
	After string
}

// Head is what an upstream says with an answer.
type Head struct {
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
