package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// versionedEvents responds with events up to the last, after the one that the request has. Their data is the
// upstream's version. A response without the last event breaks off.
func versionedEvents(version string, upTo, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		from, err := strconv.Atoi(q.Header.Get("After"))
		if err != nil {
			from = 0 // from the start
		}
		for n := from + 1; n <= upTo; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version)
			w.(http.Flusher).Flush()
		}
		if upTo < last {
			panic(http.ErrAbortHandler)
		}
	}
}

// versionedBody returns the events from one to another, of one version.
func versionedBody(version string, from, to int) (out string) {
	for n := from; n <= to; n++ {
		out += fmt.Sprintf("id: %d\ndata: %s\n\n", n, version)
	}
	return out
}

// A stream that breaks off must go on only at an upstream of the version that began it, within its response.
func TestStreamIsResumedAtTheVersionThatBeganIt(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addVersion("a", "v1", versionedEvents("v1", 2, 4))
	r.addVersion("b", "v2", versionedEvents("v2", 4, 4))
	r.addVersion("c", "v1", versionedEvents("v1", 4, 4))
	got := r.get("resumable")
	is.NoErr(got.err)
	is.Equal(got.body, versionedBody("v1", 1, 4))
	is.Equal(r.arrivedIDs(), "a c")
}

// Without another upstream of its version, the stream must end as broken.
func TestStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addVersion("a", "v1", versionedEvents("v1", 2, 4))
	r.addVersion("b", "v2", versionedEvents("v2", 4, 4))
	got := r.get("resumable")
	is.True(got.err != nil)
	is.Equal(got.body, versionedBody("v1", 1, 2))
	is.True(r.arrivedIDs() == "a" || r.arrivedIDs() == "a a") // again, once its connection has failed
}

// A stream that its caller takes up must go on at the version that began it, however often it is taken up.
func TestCallersResumptionStaysAtTheVersionThatBeganTheStream(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	for i := range r.document.Routes {
		r.document.Routes[i].MaxAttempts = 1
	}
	r.publish(0)
	r.addVersion("a", "v1", versionedEvents("v1", 2, 6))
	first := r.get("resumable", "Id", "1")
	is.Equal(first.body, versionedBody("v1", 1, 2))
	r.addVersion("b", "v2", versionedEvents("v2", 6, 6))
	r.addVersion("c", "v1", versionedEvents("v1", 4, 6))
	r.removeUpstream("a")
	second := r.get("resumable", "Id", "2", "After", "2", "Origin-Id", "1")
	is.Equal(second.body, versionedBody("v1", 3, 4))
	third := r.get("resumable", "Id", "3", "After", "4", "Origin-Id", "1")
	is.Equal(third.body, "") // c has nothing more
	is.Equal(r.arrivedIDs(), "a c c")
}

// A stream of which nobody knows the version that began it must not go on, since several serve.
func TestResumptionOfAnUnknownStreamIsRefused(t *testing.T) {
	for name, header := range map[string][]string{
		"unknown first request": {"Id", "2", "After", "2", "Origin-Id", "1"},
		"no first request":      {"Id", "2", "After", "2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addVersion("a", "v1", versionedEvents("v1", 4, 4))
			r.addVersion("b", "v2", versionedEvents("v2", 4, 4))
			got := r.get("resumable", header...)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(got.header.Get("Outcome"), "not-run")
			is.True(got.header.Get("Retry-After") != "")
			is.Equal(r.arrivedIDs(), "")
		})
	}
}

// While all upstreams have one version, a stream goes on whoever began it.
func TestResumptionOfAnUnknownStreamAtTheOnlyVersion(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addVersion("a", "v1", versionedEvents("v1", 4, 4))
	got := r.get("resumable", "Id", "2", "After", "2")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, versionedBody("v1", 3, 4))
}

// Guards against streams joined from two versions: an instance that has started since the stream began, like all others,
// took the only version on the list for the one that had begun it.
func TestResumptionAtAnInstanceThatHasJustStartedIsRefused(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.followed = 0
	r.publish(0)
	r.addVersion("b", "v2", versionedEvents("v2", 4, 4))
	got := r.get("resumable", "Id", "2", "After", "2", "Origin-Id", "1")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.header.Get("Outcome"), "not-run")
	is.Equal(r.arrivedIDs(), "")
}

// Guards against a conclusion that others take for an observation: the version by which a stream went on nowhere was
// recorded as the one that had begun it.
func TestConcludedVersionIsRecordedOnceTheStreamGoesOn(t *testing.T) {
	for _, c := range []struct {
		name string
		goOn bool
	}{
		{"no event was relayed", false},
		{"an event was relayed", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			for i := range r.document.Routes {
				r.document.Routes[i].MaxAttempts = 1
			}
			r.publish(0)
			if c.goOn {
				r.addVersion("a", "v1", versionedEvents("v1", 3, 5))
			} else {
				r.addVersion("a", "v1", refusesRequest)
			}
			first := r.get("resumable", "Id", "2", "After", "2", "Origin-Id", "1")
			is.Equal(first.status == http.StatusOK, c.goOn)
			r.addVersion("b", "v1", versionedEvents("v1", 5, 5))
			r.addVersion("c", "v2", versionedEvents("v2", 5, 5))
			r.removeUpstream("a")
			second := r.get("resumable", "Id", "3", "After", "3", "Origin-Id", "1")
			is.Equal(second.status == http.StatusOK, c.goOn)
			if c.goOn {
				is.Equal(second.body, versionedBody("v1", 4, 5))
			}
		})
	}
}

// Guards against refusals of streams that are resumed twice: a caller may name the request that brought its last events.
func TestStreamIsResumedByTheIDOfAnyOfItsRequests(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	for i := range r.document.Routes {
		r.document.Routes[i].MaxAttempts = 1
	}
	r.publish(0)
	r.addVersion("a", "v1", versionedEvents("v1", 2, 6))
	is.Equal(r.get("resumable", "Id", "1").body, versionedBody("v1", 1, 2))
	r.addVersion("b", "v2", versionedEvents("v2", 6, 6))
	r.addVersion("c", "v1", versionedEvents("v1", 4, 6))
	r.removeUpstream("a")
	is.Equal(r.get("resumable", "Id", "2", "After", "2", "Origin-Id", "1").body, versionedBody("v1", 3, 4))
	r.addVersion("d", "v1", versionedEvents("v1", 6, 6))
	r.removeUpstream("c")
	is.Equal(r.get("resumable", "Id", "3", "After", "4", "Origin-Id", "2").body, versionedBody("v1", 5, 6))
}

// grantOf is a grant of an upstream by an owner that doesn't know of versions.
type grantOf struct {
	fleet.Grant
	upstream string
}

func (g grantOf) Upstream() string { return g.upstream }
func (grantOf) Limited() bool      { return false }

// An owner of an earlier version, or with another list, may grant an upstream of another version than the one
// that began the stream.
func TestGrantOfAnotherVersionIsNotUsed(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addVersion("a", "v1", respondsWith("never"))
	r.addVersion("b", "v2", respondsWith("never"))
	j := &job{handler: r.handler, origin: scheduler.VersionConstraint{Restricted: true, Version: "v1"}}
	is.NoErr(j.beforeSend(grantOf{upstream: "a"}, "a"))
	err := j.beforeSend(grantOf{upstream: "b"}, "b")
	is.True(errors.Is(err, fleet.ErrOtherVersion))
	is.True(errors.Is(err, fleet.ErrNotUsable)) // nothing is recorded against it
	is.True(errors.Is(j.beforeSend(grantOf{upstream: "unknown"}, ""), fleet.ErrOtherVersion))
}
