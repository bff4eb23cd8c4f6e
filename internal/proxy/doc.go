// Package proxy serves routed requests. It matches each request with a route, checks its API key
// and its organisation's quota, waits for an upstream with a free slot, sends the request and
// relays the response.
//
// A request that may have run is retried only if its route allows retries, and within the route's
// attempt limit and the service's retry budget. A broken stream is resumed at another upstream
// after the last event that was relayed to the caller. A request that can't be completed is
// answered at once with a problem.
//
// Protocol covers everything that callers and upstreams exchange beyond plain HTTP.
package proxy
