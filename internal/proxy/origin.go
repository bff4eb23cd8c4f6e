package proxy

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/scheduler"
)

const (
	// maxResumptionWait is how long a stream that its caller resumes waits for an upstream of its version. It
	// can't begin elsewhere, and its caller gives up after two seconds without an event.
	maxResumptionWait = time.Second
	// resumableTimeouts is the number of a route's timeouts for which a stream may be resumed after its first
	// event, and resumableSlack what is added for the caller's delays.
	resumableTimeouts = 2
	resumableSlack    = 10 * time.Second
)

// OriginLifetime returns how long after its first event a stream of a route may be resumed.
func OriginLifetime(r *routing.Route) time.Duration {
	return resumableTimeouts*r.Timeout + resumableSlack
}

// serviceDraw returns the random number that selects the service. For a stream that may be resumed it is that of its first
// request, since the service that began the stream isn't always known.
func (j *job) serviceDraw() float64 {
	if !j.route.Resumable {
		return rand.Float64()
	}
	first := j.info.ID
	if j.position.lastID != "" {
		first = j.info.OriginID
	}
	const bits = 53 // of the mantissa
	return float64(xxhash.Sum64String(first)>>(64-bits)) / (1 << bits)
}

// findOrigin restricts a request that resumes a stream to upstreams of the service and the version that began it. What two
// of them write doesn't fit together, so that nothing is assumed if they aren't known.
func (j *job) findOrigin() *api.Problem {
	if j.route.Kind != routing.Stream || !j.route.Resumable || j.position.lastID == "" { // any other run is new
		return nil
	}
	if j.info.OriginID == "" && j.route.IsSplit() {
		return api.Refuse(api.ReasonOriginUnknown, "which service began the stream isn't known, since its first request isn't named; send the request anew without the ID of an event").WithRetryAfter(fleet.ShortRetryAfter)
	}
	ctx, cancel := j.context()
	defer cancel()
	service, version, known := j.handler.o.Fleet.FindOrigin(ctx, fleet.ResumedStream{
		Request: j.info.OriginID, Service: j.service, Lifetime: OriginLifetime(j.route), OnlyService: j.isOnlyService,
		ConfigRevision: j.handler.o.View.Revision(), ListAge: j.handler.listAge, ConfigAge: j.handler.configAge,
	})
	if !known {
		return api.Refuse(api.ReasonOriginUnknown, "which version of the upstreams began the stream of request %q isn't known; retry after the given time, or send the request anew without the ID of an event", j.info.OriginID).WithRetryAfter(fleet.ShortRetryAfter)
	}
	if !j.route.HasService(service) {
		return api.Refuse(api.ReasonOriginUnknown, "the stream of request %q was begun by service %s, to which the route no longer leads; send the request anew without the ID of an event", j.info.OriginID, service).WithRetryAfter(fleet.ShortRetryAfter)
	}
	j.service = service
	j.origin = scheduler.VersionConstraint{Restricted: true, Version: version}
	return nil
}

// listAge returns the time since the read was sent that last confirmed the list. Without a list, no version is known.
func (h *Handler) listAge() time.Duration {
	age, _ := h.o.View.ListAge()
	return age
}

// configAge returns the time since the read was sent that last confirmed the configuration.
func (h *Handler) configAge() time.Duration {
	age, _ := h.o.View.Age()
	return age
}

// recordOrigin records the version of the upstream whose event was relayed as that which began the stream, once for
// each response. A resumed stream may be resumed again, by the ID of its first request or of one that went on with it; what was
// concluded of its origin isn't recorded before the stream has gone on by it.
func (j *job) recordOrigin() {
	if j.originRecorded {
		return
	}
	j.originRecorded = true
	resumes := j.origin.Restricted
	j.origin = scheduler.VersionConstraint{Restricted: true, Version: j.sentVersion}
	if !j.route.Resumable {
		return
	}
	begun := fleet.BegunStream{Request: j.info.ID, Service: j.service, Version: j.sentVersion, Lifetime: OriginLifetime(j.route), OnlyService: j.isOnlyService()}
	j.handler.o.Fleet.RecordOrigin(begun)
	if resumes {
		begun.Request = j.info.OriginID
		j.handler.o.Fleet.RecordOrigin(begun)
	}
}

// shareOrigin records the origin of a new stream before its first event is relayed, and blocks until others can learn of it. Its caller
// may break it off at that event, and turn to an instance that doesn't know the version yet.
func (j *job) shareOrigin() {
	if j.originRecorded || j.origin.Restricted || !j.route.Resumable {
		return
	}
	j.recordOrigin()
	ctx, cancel := j.context()
	defer cancel()
	j.handler.o.Fleet.AwaitShared(ctx, fleet.BegunStream{Request: j.info.ID, Service: j.service, Version: j.sentVersion, Lifetime: OriginLifetime(j.route)})
}

// isOnlyService reports whether no other service can have begun a stream of the request's path that may be resumed now. On
// a split route any may have: a resumption can name another request than the first, by whose ID the service was drawn.
func (j *job) isOnlyService() bool {
	path, _, _ := strings.Cut(j.target(), "?")
	lifetime := max(OriginLifetime(j.route), j.handler.o.Fleet.LongestLifetime(j.service))
	return !j.route.IsSplit() && j.handler.o.View.WasRoutedTo(j.request.Host, path, j.service, lifetime)
}
