package listen

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// A response that ends with its connection must not look complete when it is given up, also over TLS, where
// closing the connection sends an orderly end.
func TestResetIsNoOrderlyEnd(t *testing.T) {
	inOrder := func(c CallerConn) {
		c.ResetOnClose()
		c.CloseInOrder()
	}
	for name, c := range map[string]struct {
		secure bool
		end    func(CallerConn)
		broken bool
	}{
		"reset":              {false, CallerConn.Reset, true},
		"reset on close":     {false, CallerConn.ResetOnClose, true},
		"in order":           {false, inOrder, false},
		"TLS, reset":         {true, CallerConn.Reset, true},
		"TLS, in order":      {true, inOrder, false},
		"unknown connection": {false, func(CallerConn) { CallerConn{}.Reset() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			received := make(chan struct{})
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Transfer-Encoding", "identity")
				_, _ = io.WriteString(w, "part")
				w.(http.Flusher).Flush()
				<-received
				c.end(CallerConnOf(r.Context()))
			}))
			s.Config.ConnContext = ConnContext
			if c.secure {
				s.StartTLS()
			} else {
				s.Start()
			}
			defer s.Close()
			response, err := s.Client().Get(s.URL)
			is.NoErr(err)
			defer response.Body.Close()
			_, err = io.ReadFull(response.Body, make([]byte, len("part")))
			is.NoErr(err)
			close(received)
			_, err = io.ReadAll(response.Body)
			is.Equal(err != nil, c.broken)
		})
	}
}
