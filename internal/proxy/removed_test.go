package proxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/routing"
)

// takeAway publishes a configuration without the routes, the service and the API keys of the document, removes an upstream
// from the list, and closes connections that aren't used.
func (r *harness) takeAway(upstream string) {
	other := r.document.Routes[4]
	other.Split = []routing.WeightedService{{Service: "t", Weight: 1}}
	r.document.Version++
	r.document.Services = []routing.Service{{Name: "t"}}
	r.document.Routes = []routing.Route{other}
	r.document.Organisations = []routing.Organisation{{Name: "desks", Keys: []string{"l"}}}
	r.publish(0)
	r.removeUpstream(upstream)
	r.fleet.CloseExpired(time.Now().Add(time.Hour))
}

// Guards against requests that are cut, or that no other upstream may take over, since the configuration or the list has
// lost what they began with: the route, the service, the API key or the upstream.
func TestRequestsOutlastWhatTheyBeganWith(t *testing.T) {
	const first, second = "id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n"
	for name, c := range map[string]struct {
		route, began, then string
		broken             bool // the upstream breaks off
		arrived            string
	}{
		"stream":                               {"resumable", first, second, false, "a"},
		"stream that is resumed":               {"resumable", first, second, true, "a b"},
		"stream that can't be resumed":         {"stream", first, second, false, "a"},
		"idempotent, before the head":          {"safe", "", "ok", false, "a"},
		"idempotent, lost before the head":     {"safe", "", "ok", true, "a b"},
		"idempotent, within the body":          {"safe", "o", "k", false, "a"},
		"not idempotent, before the head":      {"once", "", "ok", false, "a"},
		"not idempotent, within the body":      {"once", "o", "k", false, "a"},
		"without a key, lost before the head":  {"open", "", "ok", true, "a b"},
		"without a key, within a running body": {"open", "o", "k", false, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", func(w http.ResponseWriter, _ *http.Request) {
				if c.began != "" {
					_, _ = io.WriteString(w, c.began)
					_ = http.NewResponseController(w).Flush()
				}
				r.takeAway("a")
				if c.broken {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, c.then)
			})
			r.addUpstream("b", respondsWith(c.then))
			got := r.get(c.route)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, c.began+c.then)
			is.Equal(r.arrivedIDs(), c.arrived)
			if c.route != "open" {
				is.Equal(r.get(c.route).status, http.StatusNotFound) // from now on
			}
		})
	}
}

// Guards against requests that are refused since the configuration has lost their route, service and API key while they
// waited for a slot.
func TestWaitingRequestsOutlastWhatTheyBeganWith(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	release := r.fillSlots("a")
	got := make(chan callerResponse)
	go func() { got <- r.get("once") }()
	r.waitForInFlight(9)
	r.takeAway("")
	release()
	response := <-got
	is.NoErr(response.err)
	is.Equal(response.status, http.StatusOK)
	is.Equal(r.get("once").status, http.StatusNotFound) // from now on
}
