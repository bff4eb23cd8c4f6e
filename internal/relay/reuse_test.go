package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coder/websocket"
	"github.com/matryer/is"
)

// connKey is the context key of a connection that a test's server has accepted.
type connKey struct{}

// dialRaw returns a relayed connection whose peer sends the given frames at once, and then ends the connection or not.
func dialRaw(t *testing.T, frames string, ends bool) *relayedConn {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := websocket.Accept(w, r, nil); err != nil {
			t.Error(err)
			return
		}
		conn := r.Context().Value(connKey{}).(net.Conn)
		_, _ = io.WriteString(conn, frames)
		if ends {
			_ = conn.Close()
		}
	}))
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.Start()
	t.Cleanup(server.Close)
	client := NewClient(ClientOptions{
		Peers:  func(string) []string { return []string{strings.TrimPrefix(server.URL, "http://")} },
		Usable: func(string) bool { return true }, Dialer: &net.Dialer{},
	})
	c, err := client.Dial(t.Context(), "i-1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*relayedConn)
}

// frame returns a WebSocket frame of up to 125 bytes, or of up to 65,535 bytes, as servers send them.
func frame(opcode byte, payload string) string {
	head := []byte{0x80 | opcode, byte(len(payload))}
	if len(payload) > 125 {
		head = []byte{0x80 | opcode, 126, byte(len(payload) >> 8), byte(len(payload))}
	}
	return string(head) + payload
}

// The opcodes of frames.
const (
	opBinary = 2
	opClose  = 8
	inOrder  = "\x03\xe8" // status 1000
	response = "response"
)

// Guards against a request that is sent on a connection through a peer although its upstream has ended it, or has sent
// more than its last response: the request would get bytes that belong to none, or no response.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	long := strings.Repeat("r", 9000)
	for name, test := range map[string]struct {
		frames string
		read   int // bytes of the response
		usable bool
	}{
		"nothing follows":                     {frame(opBinary, response), len(response), true},
		"nothing follows a long one":          {frame(opBinary, long), len(long), true},
		"nothing follows one of two messages": {frame(opBinary, "resp") + frame(opBinary, "onse"), len(response), true},
		"another message":                     {frame(opBinary, response) + frame(opBinary, "late"), len(response), false},
		"a part of a message":                 {frame(opBinary, response) + frame(opBinary, "late")[:1], len(response), false},
		"the rest of a short message":         {frame(opBinary, response+"late"), len(response), false},
		"the rest of a long message":          {frame(opBinary, long), 4096, false},
		"the end of the connection":           {frame(opBinary, response) + frame(opClose, inOrder), len(response), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := dialRaw(t, test.frames, false)
			_, err := io.ReadFull(c, make([]byte, test.read))
			is.NoErr(err)
			is.Equal(c.IsUsable(), test.usable)
		})
	}
}

// Guards against bytes that are lost, repeated or reordered between messages, whatever the sizes of messages and reads, and
// against a broken connection that looks as if the upstream had ended it in order.
func TestMessagesAreReadInOrder(t *testing.T) {
	var whole, frames strings.Builder
	for i := range 60 {
		payload := strings.Repeat(string(rune('a'+i%26)), i*97%1000+1)
		whole.WriteString(payload)
		frames.WriteString(frame(opBinary, payload))
	}
	for name, test := range map[string]struct {
		frames string
		want   error
	}{
		"ended in order":               {frames.String() + frame(opClose, inOrder), io.EOF},
		"broken by the upstream":       {frames.String() + frame(opClose, "\x0f\xa0"), errUpstreamBroken},
		"ended without a status":       {frames.String() + frame(opClose, ""), ErrLost},
		"ended for an error":           {frames.String() + frame(opClose, "\x03\xf3"), ErrLost},
		"ended between messages":       {frames.String(), ErrLost},
		"ended in a message's header":  {frames.String() + "\x82", ErrLost},
		"ended in the end's header":    {frames.String() + "\x88", ErrLost},
		"ended in the end's status":    {frames.String() + "\x88\x02\x03", ErrLost},
		"no byte of a message came":    {frames.String() + "\x82\x05", ErrLost},
		"something else in the middle": {frames.String() + frame(1, "text"), ErrLost},
	} {
		for _, size := range []int{1, 100, 4096, 1 << 20} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				c := dialRaw(t, test.frames, true)
				var got strings.Builder
				var err error
				for err == nil {
					var n int
					b := make([]byte, size)
					n, err = c.Read(b)
					got.Write(b[:n])
				}
				is.Equal(got.String(), whole.String())
				is.True(errors.Is(err, test.want))
				is.Equal(errors.Is(err, io.EOF), test.want == io.EOF)
			})
		}
	}
}
