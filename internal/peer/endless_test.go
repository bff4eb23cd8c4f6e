package peer

import (
	"testing"

	"github.com/coder/websocket"
	"github.com/matryer/is"
)

// Guards against a peer whose message has no end: the instance keeps it until it has no memory left.
func TestEndlessMessageClosesItsLink(t *testing.T) {
	is := is.New(t)
	_, address := newMesh(t, &handler{})
	conn, _, err := websocket.Dial(t.Context(), "ws://"+address+Path, nil)
	is.NoErr(err)
	defer conn.CloseNow()
	w, err := conn.Writer(t.Context(), websocket.MessageBinary)
	is.NoErr(err)
	sent, block := 0, make([]byte, 64<<10)
	for err == nil && sent < 4*MaxFrameBytes {
		var n int
		n, err = w.Write(block)
		sent += n
	}
	is.True(err != nil && sent < 4*MaxFrameBytes) // what sockets hold is part of it
}
