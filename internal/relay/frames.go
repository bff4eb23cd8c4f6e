package relay

import (
	"bufio"
	"encoding/binary"
	"net"
)

// The head of a frame as servers send them (RFC 6455, section 5.2): two bytes, of which the second one has the length of
// the payload, unless it is shortLength or longLength. Then the length follows.
const (
	frameHeadBytes = 2
	lengthBits     = 0x7f

	shortLength      = 126
	shortLengthBytes = 2

	longLength      = 127
	longLengthBytes = 8
)

const (
	// frameBufferBytes is the size of a connection's read buffer.
	frameBufferBytes = 4 << 10
	// maxPayloadBytes bounds the length of a payload, so that it can be added to others.
	maxPayloadBytes = 1 << 48
)

// frameConn is the connection under the WebSocket to a peer. A read returns no bytes beyond one frame, so that what has
// arrived after it isn't hidden in the buffer of the WebSocket. It is to be read by one goroutine at a time.
type frameConn struct {
	net.Conn
	reader *bufio.Reader // of Conn
	// framed reports whether the WebSocket is open.
	framed bool
	// left are the bytes of the frame that is being read that weren't returned yet.
	left int64
	// payload are the bytes of all frames so far, without their heads.
	payload int64
}

func newFrameConn(c net.Conn) *frameConn {
	return &frameConn{Conn: c, reader: bufio.NewReaderSize(c, frameBufferBytes)}
}

// Read implements net.Conn.
func (c *frameConn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if !c.framed {
		return c.reader.Read(b[:1]) // the first frame may follow the head of the response at once
	}
	if c.left == 0 {
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	return n, err
}

// readHead reads the length of the next frame. It consumes nothing.
func (c *frameConn) readHead() error {
	head, err := c.reader.Peek(frameHeadBytes)
	if err != nil {
		return err
	}
	size, length := frameHeadBytes, int64(head[1]&lengthBits)
	switch length {
	case shortLength:
		size += shortLengthBytes
		if head, err = c.reader.Peek(size); err != nil {
			return err
		}
		length = int64(binary.BigEndian.Uint16(head[frameHeadBytes:]))
	case longLength:
		size += longLengthBytes
		if head, err = c.reader.Peek(size); err != nil {
			return err
		}
		length = int64(min(binary.BigEndian.Uint64(head[frameHeadBytes:]), maxPayloadBytes))
	}
	c.left = int64(size) + length
	c.payload += length
	return nil
}

// hasUnread reports whether more has been received than the given number of bytes of messages, which were read from
// the WebSocket. What the kernel holds isn't counted.
func (c *frameConn) hasUnread(read int64) bool { return c.reader.Buffered() > 0 || c.payload != read }
