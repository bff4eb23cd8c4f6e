// Package relay carries connections to upstreams through another instance.
//
// An instance that can't reach an upstream over its own network path asks a peer that can: a Client
// opens a WebSocket to the peer's Server, which dials the upstream and then copies bytes in both
// directions. Whatever decides stays with the instance that accepted the request: the relaying
// instance neither reads nor changes what it carries, and never uses another relay itself.
//
// A relayed connection ends as the connection to the upstream does: in order, with StatusNormalClosure,
// or broken, with statusUpstreamBroken. If the relaying instance or the path to it fails, it ends with
// ErrLost, which says nothing about the upstream.
package relay
