package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/wait"
)

// events returns a raw response with whole events of the given IDs, followed by rest. It ends with its
// connection.
func events(rest string, ids ...string) string {
	return "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: a\r\nContent-Type: text/event-stream\r\n\r\n" + eventLines(rest, ids...)
}

// eventLines returns the body of such a response.
func eventLines(rest string, ids ...string) string {
	out := ""
	for _, id := range ids {
		out += "id: " + id + "\ndata: " + id + "\n\n"
	}
	return out + rest
}

// truncatesAfter writes raw bytes and resets the connection once relayed is closed.
func truncatesAfter(raw string, relayed <-chan struct{}) http.HandlerFunc {
	return hijack(func(c net.Conn) {
		_, _ = io.WriteString(c, raw)
		<-relayed
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

func TestStreamResumesElsewhereAfterTheLastWholeEvent(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	relayed := make(chan struct{})
	r.addUpstream("a", truncatesAfter(events("id: 3\nda", "1", "2"), relayed))
	r.addUpstream("b", func(w http.ResponseWriter, q *http.Request) {
		is.Equal(q.Header.Get("After"), "2")
		_, _ = io.WriteString(w, "id: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n")
	})
	response, err := http.DefaultClient.Do(r.request("GET", "/resumable/x", ""))
	is.NoErr(err)
	defer response.Body.Close()
	first := make([]byte, len("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"))
	_, err = io.ReadFull(response.Body, first)
	is.NoErr(err)
	close(relayed)
	rest, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(response.Header.Get("Signed"), "a") // the first upstream's head stays
	is.Equal(string(rest), "id: 3\ndata: 3\n\nid: 4\ndata: 4\n\n")
}

func TestTruncatedStreamDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	relayed := make(chan struct{})
	r.addUpstream("a", truncatesAfter(events("id: 2\nda", "1"), relayed))
	r.addUpstream("b", respondsWith("never"))
	response, err := http.DefaultClient.Do(r.request("GET", "/stream/x", ""))
	is.NoErr(err)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, len("id: 1\ndata: 1\n\n")))
	is.NoErr(err)
	close(relayed)
	rest, err := io.ReadAll(response.Body)
	is.True(err != nil) // the connection ends before the body does
	is.Equal(string(rest), "")
	is.Equal(r.arrivedIDs(), "a")
}

// An upstream that has received the request and sends nothing is abandoned if the request can be
// retried at another one.
func TestSilentUpstreamIsAbandonedForAnother(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	for i := range r.document.Routes {
		r.document.Routes[i].LatencyObjective = 20 * time.Millisecond
	}
	r.publish(0)
	left := make(chan struct{})
	r.addUpstream("a", hijack(func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1)) // blocks until the other side closes
		close(left)
	}))
	r.addUpstream("b", respondsWith("ok"))
	a := r.get("safe")
	is.Equal(a.status, 200)
	is.Equal(r.arrivedIDs(), "a b")
	<-left
}

// A sound upstream may fall silent for a second and go on. Its stream was cut after four times the longest
// pause of the route.
func TestStreamOutlastsSilenceOfASecond(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	for i := range r.document.Routes {
		r.document.Routes[i].MaxEventInterval = 20 * time.Millisecond
	}
	r.publish(0)
	r.addUpstream("a", func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		wait.For(q.Context(), time.Second)
		_, _ = io.WriteString(w, "id: 2\ndata: 2\n\n")
	})
	r.addUpstream("b", respondsWith("id: 2\ndata: 2\n\n"))
	got := r.get("resumable")
	is.NoErr(got.err)
	is.Equal(got.body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.Equal(r.arrivedIDs(), "a")
}
