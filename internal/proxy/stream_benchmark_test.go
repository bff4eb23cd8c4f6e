package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tacktally/tacktally/internal/exchange"
)

// BenchmarkStream relays a stream of 100 events, by how its upstream states the end.
func BenchmarkStream(b *testing.B) {
	var body strings.Builder
	for n := range 100 {
		fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", 50))
	}
	for name, respond := range map[string]http.HandlerFunc{
		"stated end":   ended(body.String()),
		"unstated end": writesRaw(untilCloseHead + body.String()),
	} {
		b.Run(name, func(b *testing.B) {
			r := newHarness(b)
			r.addUpstream("a", respond)
			p := exchange.NewPool(exchange.Options{Address: r.server.Listener.Addr().String(), ConnectTimeout: time.Second})
			defer p.Close()
			for b.Loop() {
				r.publish(0) // the lease would end
				response, err := p.Do(b.Context(), &exchange.Request{Method: "GET", Target: "/resumable/x", Host: "h.example", Header: http.Header{"Id": {"1"}, "Key": {"k"}}})
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, response); err != nil || int(n) != body.Len() {
					b.Fatalf("%d of %d bytes: %v", n, body.Len(), err)
				}
				response.Close()
			}
		})
	}
}
