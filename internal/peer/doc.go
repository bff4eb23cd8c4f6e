// Package peer links the instances of a fleet with each other.
//
// In a full mesh each instance dials every other one that it knows, and sends its requests and
// heartbeats on the link that it dialled; the other side replies on that link. In a sparse mesh
// (Options.Sparse) package membership selects the peers to which links are kept, one link serves a
// pair of instances in both directions, and further links are dialled on use.
//
// A link is a WebSocket connection with one CBOR frame per message. Requests share it by stream
// number, with flow control per stream. A frame that is malformed, too large or of an unknown
// version closes the link with a typed error. The requests on it are sent again on a new link,
// which is safe because the instance that issued a request's idempotency key recognises retries.
package peer
