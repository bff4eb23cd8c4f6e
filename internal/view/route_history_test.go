package view

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/virtualtime"
	"github.com/tacktally/tacktally/internal/wait"
)

// routeSource decodes a content such as "/a/=s /a/b/=t" as routes of the host h.
type routeSource struct{ source }

func (routeSource) Decode(content []byte) (*routing.Document, error) {
	d := &routing.Document{Services: []routing.Service{{Name: "s"}, {Name: "t"}}}
	for _, text := range strings.Fields(string(content)) {
		prefix, service, _ := strings.Cut(text, "=")
		d.Routes = append(d.Routes, routing.Route{Name: prefix, Host: "h", Prefix: prefix, Kind: routing.Stream, Timeout: time.Second, MaxAttempts: 1,
			Split: []routing.WeightedService{{Service: service, Weight: 1}}})
	}
	return d, nil
}

// newRouteView returns a view of routes with a first configuration.
func newRouteView(routes string) *View {
	v := New(Options{Source: routeSource{}, Lease: time.Second, Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test")})
	v.SetEvacuations(nil, 1)
	v.SetConfiguration(1, []byte(routes), time.Now())
	return v
}

const routeLifetime = time.Minute

// Guards against streams of two services: a request may have gone where its route led before.
func TestFormerServicesOfARouteAreRemembered(t *testing.T) {
	for _, c := range []struct {
		name     string
		changes  []string
		path     string
		service  string
		expected bool
	}{
		{"unchanged", []string{"/a/=s"}, "/a/x", "s", true},
		{"moved", []string{"/a/=s", "/a/=t"}, "/a/x", "t", false},
		{"moved and back", []string{"/a/=s", "/a/=t", "/a/=s"}, "/a/x", "s", false},
		{"another path moved", []string{"/a/=s /b/=s", "/a/=s /b/=t"}, "/a/x", "s", true},
		{"added below another", []string{"/a/=s", "/a/=s /a/b/=t"}, "/a/b/x", "t", false},
		{"added below one that was moved", []string{"/a/=s", "/a/=t", "/a/=t /a/b/=t"}, "/a/b/x", "t", false},
		{"added where nothing was routed", []string{"/a/=s", "/a/=s /b/=t"}, "/b/x", "t", true},
		{"removed below another", []string{"/a/=s /a/b/=t", "/a/=s"}, "/a/b/x", "s", false},
		{"removed and added again", []string{"/a/=s", "/b/=s", "/a/=t"}, "/a/x", "t", false},
		{"several moved", []string{"/a/=s /b/=t", "/a/=t /b/=s"}, "/b/x", "s", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newRouteView(c.changes[0])
				is.True(!v.WasRoutedTo("h:80", c.path, c.service, routeLifetime)) // it has just started
				wait.For(t.Context(), routeLifetime)
				v.ConfirmConfiguration(1, time.Now())
				for n, routes := range c.changes[1:] {
					v.SetConfiguration(int64(n+2), []byte(routes), time.Now())
				}
				is.Equal(v.WasRoutedTo("h:80", c.path, c.service, routeLifetime), c.expected)
				wait.For(t.Context(), routeLifetime)
				is.True(v.WasRoutedTo("h:80", c.path, c.service, routeLifetime))
			})
		})
	}
}

// An instance that starts learns from a peer where routes led, if nothing is missing between the two.
func TestRouteHistoryOfAPeerIsUsedUnlessItHasAGap(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := newRouteView("/a/=s /b/=s")
		wait.For(t.Context(), routeLifetime)
		peer.ConfirmConfiguration(1, time.Now())
		peer.SetConfiguration(2, []byte("/a/=t /b/=s"), time.Now())
		fresh := newRouteView("/a/=t /b/=s") // revision 1
		fresh.MergeRouteHistory(peer.RouteHistory(), "peer")
		is.Equal(fresh.RoutesFollowed(), time.Duration(0)) // of another configuration
		fresh.SetConfiguration(2, []byte("/a/=t /b/=s"), time.Now())
		fresh.MergeRouteHistory(peer.RouteHistory(), "peer")
		is.Equal(fresh.RoutesFollowed(), routeLifetime)
		is.True(fresh.WasRoutedTo("h", "/b/x", "s", routeLifetime))
		is.True(!fresh.WasRoutedTo("h", "/a/x", "t", routeLifetime))
		wait.For(t.Context(), routeLifetime)
		is.True(fresh.WasRoutedTo("h", "/a/x", "t", routeLifetime))
		none := New(peer.o)
		none.MergeRouteHistory(peer.RouteHistory(), "peer")
		is.Equal(none.RoutesFollowed(), time.Duration(0))
	})
}

// Guards against streams of two services: an instance that was cut off may have missed where a route led meanwhile, and
// must not take a history for its own that ends before that.
func TestRouteHistoryBeginsAnewAfterAGap(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		v, peer := newRouteView("/a/=s"), newRouteView("/a/=s")
		wait.For(t.Context(), routeLifetime)
		peer.ConfirmConfiguration(1, time.Now())
		peer.SetConfiguration(2, []byte("/a/=t"), time.Now())
		peer.SetConfiguration(3, []byte("/a/=s"), time.Now())
		v.SetConfiguration(3, []byte("/a/=s"), time.Now())
		is.Equal(v.RoutesFollowed(), time.Duration(0))
		is.True(!v.WasRoutedTo("h", "/a/x", "s", routeLifetime))
		v.MergeRouteHistory(peer.RouteHistory(), "peer")
		is.Equal(v.RoutesFollowed(), routeLifetime)
		is.True(!v.WasRoutedTo("h", "/a/x", "s", routeLifetime))
	})
}

// Guards against streams of two services: what a peer knows of former routes counts, also if it has followed them for less.
func TestFormerRoutesOfAPeerCountHoweverLongItFollowed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newRouteView("/a/=s")
		wait.For(t.Context(), routeLifetime)
		v.MergeRouteHistory(&RouteHistory{Revision: 1, Former: []FormerRoute{{Host: "h", Prefix: "/a/", Service: "t", Ended: time.Second}}}, "peer")
		is.Equal(v.RoutesFollowed(), routeLifetime)
		is.True(!v.WasRoutedTo("h", "/a/x", "s", routeLifetime))
	})
}

// Many changes must not fill the memory; what is forgotten isn't known.
func TestRouteHistoryIsBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newRouteView("/a/=s")
		wait.For(t.Context(), 2*routeMemory)
		is.Equal(v.RoutesFollowed(), routeMemory)
		v.ConfirmConfiguration(1, time.Now())
		var many strings.Builder
		for n := range maxFormerRoutes + 1 {
			fmt.Fprintf(&many, "/%d/=s ", n)
		}
		v.SetConfiguration(2, []byte(many.String()), time.Now())
		v.SetConfiguration(3, []byte("/a/=s"), time.Now())
		is.Equal(len(v.RouteHistory().Former), 0)
		is.Equal(v.RoutesFollowed(), time.Duration(0))
	})
}

// A history with durations out of range would make an instance know what nobody does.
func TestRouteHistoryOutOfRangeIsInvalid(t *testing.T) {
	is := is.New(t)
	is.True((*RouteHistory)(nil).IsValid())
	is.True((&RouteHistory{Followed: routeMemory, Former: []FormerRoute{{Ended: time.Second}}}).IsValid())
	is.True(!(&RouteHistory{Followed: routeMemory + 1}).IsValid())
	is.True(!(&RouteHistory{Followed: -1}).IsValid())
	is.True(!(&RouteHistory{Former: []FormerRoute{{Ended: -time.Second}}}).IsValid())
}
