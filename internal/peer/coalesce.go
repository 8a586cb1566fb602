package peer

import (
	"encoding/binary"
	"net"
)

// The parts of yamux's published frame header that coalescing needs.
const (
	yamuxHeaderSize   = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// coalescingConn joins the header of a data frame with the body that yamux
// writes next, so that a frame costs one write and one packet. It relies on
// yamux writing from a single goroutine.
type coalescingConn struct {
	net.Conn
	pendingHeader []byte
}

// Write implements io.Writer.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.pendingHeader) == 0 && isHeaderWithBody(b) {
		c.pendingHeader = append(c.pendingHeader, b...)
		return len(b), nil
	}
	if len(c.pendingHeader) == 0 {
		return c.Conn.Write(b)
	}
	frame := append(c.pendingHeader, b...)
	c.pendingHeader = frame[:0]
	if _, err := c.Conn.Write(frame); err != nil {
		return 0, err
	}
	if cap(c.pendingHeader) > maxIdleBuffer {
		c.pendingHeader = nil
	}
	return len(b), nil
}

// isHeaderWithBody reports whether b is a header that a body follows.
func isHeaderWithBody(b []byte) bool {
	return len(b) == yamuxHeaderSize &&
		b[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(b[yamuxLengthOffset:]) > 0
}
