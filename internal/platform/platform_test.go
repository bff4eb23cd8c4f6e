package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
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

// Guards against an instance list that isn't followed any more because of one invalid entry.
func TestInvalidEntryCostsNoOtherEntry(t *testing.T) {
	const valid = `{"address":"10.0.0.1:80","zone":"bole","set":"app","state":"live"}`
	for name, entry := range map[string]string{
		"null":                    `null`,
		"a number":                `1e999`,
		"no address":              `{"zone":"bole","set":"app","state":"live"}`,
		"port beyond the range":   strings.Replace(valid, ":80", ":99999", 1),
		"port 0":                  strings.Replace(valid, ":80", ":0", 1),
		"a number for an address": strings.Replace(valid, `"10.0.0.1:80"`, "1e400", 1),
		"a field twice":           strings.Replace(valid, "{", `{"zone":"other",`, 1),
		"deeply nested":           strings.Replace(valid, "{", `{"x":`+strings.Repeat("[", 50_000)+strings.Repeat("]", 50_000)+",", 1),
		"not UTF-8":               strings.Replace(valid, "bole", "\xff", 1),
		"a lone surrogate":        strings.Replace(valid, "bole", `\udc80`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := decodeList(7, []byte(" ["+valid+","+entry+", "+strings.Replace(valid, "bole", `\"],[`, 1)+"]\n"))
			is.NoErr(err)
			is.Equal(l.Instances, []Instance{{Address: "10.0.0.1:80", Zone: "bole", Set: "app", State: Live}, {Address: "10.0.0.1:80", Zone: `"],[`, Set: "app", State: Live}})
			is.True(l.Invalid != nil)
			is.True(strings.Contains(l.Invalid.Error(), "entry 1"))
		})
	}
}

// Guards against an empty list that counts as an error, and a truncated one that counts as empty.
func TestDecodeList(t *testing.T) {
	is := is.New(t)
	for _, content := range []string{"[]", " [ ]\n", "null"} {
		l, err := decodeList(7, []byte(content))
		is.NoErr(err)
		is.NoErr(l.Invalid)
		is.Equal(len(l.Instances), 0)
	}
	for _, content := range []string{"", "[", "{}", `[{"address":"10.0.0.1:80"]`, `["]`} {
		_, err := decodeList(7, []byte(content))
		is.True(err != nil)
	}
}
