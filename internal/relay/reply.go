package relay

import (
	"errors"
	"net/http"
	"syscall"
)

// Reply is how a peer replied to a request to relay a connection.
type Reply string

// The replies. All but Established and NoReply are refusals.
const (
	// Established: the connection is open.
	Established Reply = "established"
	// Isolated: the peer reaches no upstream itself.
	Isolated Reply = "isolated"
	// NoPath: the peer doesn't reach this upstream, and can't tell whether the upstream is down.
	NoPath Reply = "no_path"
	// Unreachable: the peer reaches other upstreams, but not this one.
	Unreachable Reply = "unreachable"
	// Refused: the peer reaches other upstreams, and this one refuses connections.
	Refused Reply = "refused"
	// Unknown: the peer doesn't know the upstream, or may not send to it.
	Unknown Reply = "unknown"
	// Busy: the peer relays as many connections as it may.
	Busy Reply = "busy"
	// Draining: the peer is shutting down.
	Draining Reply = "draining"
	// NoReply: the peer didn't reply in time, or no connection to it could be opened.
	NoReply Reply = "none"
	// unspecified: the peer is of a version that states no reason.
	unspecified Reply = "unspecified"
)

// refusalHeader is the response header with the Reply of a refusal.
const refusalHeader = "Tacktally-Relay-Refusal"

// refusalOf returns the refusal for an error of ServerOptions.Dial.
func refusalOf(err error) Reply {
	switch {
	case errors.Is(err, ErrUnknownUpstream):
		return Unknown
	case errors.Is(err, ErrIsolated):
		return Isolated
	case errors.Is(err, ErrNoPath):
		return NoPath
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	default:
		return Unreachable
	}
}

// status returns the HTTP status of a refusal. By it an instance of an earlier version takes Refused for Unreachable.
func (r Reply) status() int {
	switch r {
	case Unknown:
		return http.StatusNotFound
	case Unreachable, Refused:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// replyOf returns the refusal that a response states.
func replyOf(response *http.Response) Reply {
	switch stated := Reply(response.Header.Get(refusalHeader)); stated {
	case Isolated, NoPath, Unreachable, Refused, Unknown, Busy, Draining:
		return stated
	}
	switch response.StatusCode {
	case http.StatusBadGateway:
		return Unreachable
	case http.StatusNotFound:
		return Unknown
	default:
		return unspecified
	}
}

func refuse(w http.ResponseWriter, r Reply) {
	w.Header().Set(refusalHeader, string(r))
	w.WriteHeader(r.status())
}
