package peer

import (
	"encoding/binary"
	"net"
)

// Layout of the yamux frame header, as far as coalescing needs it.
const (
	yamuxHeaderSize   = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// coalescingConn combines the header of a data frame with the body that yamux
// writes next, so that a frame takes one write and one packet. It relies on
// yamux writing from a single goroutine.
type coalescingConn struct {
	net.Conn
	// pendingHeader is a header whose body has not been written yet.
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

// isHeaderWithBody reports whether b is the header of a data frame with a
// non-empty body.
func isHeaderWithBody(b []byte) bool {
	return len(b) == yamuxHeaderSize &&
		b[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(b[yamuxLengthOffset:]) > 0
}
