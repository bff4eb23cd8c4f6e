package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/proxy"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/view"
)

// nothing is a source and a protocol without any data.
type nothing struct{}

func (nothing) BytesRead() int64 { return 0 }

func (nothing) ReadEntry(_ context.Context, id string) (view.Change, error) {
	return view.Change{Removed: true, Upstream: view.Upstream{ID: id}}, nil
}
func (nothing) Run(ctx context.Context, _ view.Sink)     { <-ctx.Done() }
func (nothing) Decode([]byte) (*routing.Document, error) { return nil, errors.New("nothing") }
func (nothing) ParseRequest(*http.Request) (proxy.RequestInfo, error) {
	return proxy.RequestInfo{}, errors.New("nothing")
}
func (nothing) ForwardHeaders(h http.Header) http.Header           { return h.Clone() }
func (nothing) SetAttemptHeaders(http.Header, proxy.Attempt)       {}
func (nothing) IsResponseTo(http.Header, string) bool              { return false }
func (nothing) ParseResponse(int, http.Header) proxy.ResponseInfo  { return proxy.ResponseInfo{} }
func (nothing) WriteProblem(w http.ResponseWriter, _ *api.Problem) { w.WriteHeader(http.StatusTeapot) }

// newInstance returns an instance that doesn't serve.
func newInstance(t *testing.T, o settings.Overload) *Instance {
	s := &settings.Settings{
		Zone:    "bole",
		Callers: settings.Callers{Address: "127.0.0.1:0"},
		Peers:   settings.Peers{Address: "127.0.0.1:0", Advertise: "127.0.0.1:9"},
		Routed:  &settings.Routed{Store: "127.0.0.1:9", Ready: "127.0.0.1:0", Metrics: "127.0.0.1:0", Overload: o},
	}
	s.Provision()
	i, err := New(Options{Settings: s, Source: nothing{}, Protocol: nothing{}, LogWriter: io.Discard})
	is.New(t).NoErr(err)
	t.Cleanup(i.mesh.Close)
	return i
}

// An instance that has just started must not consider itself the whole fleet from its first request
// on: 87 instances that had just started each granted an organisation a whole rate and more.
func TestInstanceIsNotSettledAtStart(t *testing.T) {
	is := is.New(t)
	is.True(!newInstance(t, settings.Overload{}).fleet.Settled())
}
