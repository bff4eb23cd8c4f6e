package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/settings"
)

// A watch whose connection went silent times out, and the next one delivers the change that it
// missed.
func TestWatchContinuesAfterASilentConnection(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch calls.Add(1) {
		case 1:
			w.Header().Set(HeaderRevision, "1")
		case 2:
			<-r.Context().Done()
			return
		default:
			w.Header().Set(HeaderRevision, "2")
		}
		_, _ = w.Write([]byte("[]"))
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := NewClient(server.URL, time.Millisecond)
	defer c.Close()
	versions, failed := make(chan int64, 9), make(chan error, 9)
	go c.WatchInstances(ctx, func(l List) { versions <- l.Version }, func(err error) { failed <- err })
	is.Equal(<-versions, int64(1))
	is.Equal(<-versions, int64(2))
	is.Equal(len(failed), 1) // the silent connection
}

// A published change must be in force within 4 s, also if a watch went silent and no peer has the
// change.
func TestDefaultWatchTimeoutIsWithinTheBound(t *testing.T) {
	var s settings.Settings
	s.Provision()
	if bound := time.Duration(s.Platform.Wait) + watchTimeoutMargin; bound > 4*time.Second {
		t.Errorf("a silent watch times out only after %v", bound)
	}
}
