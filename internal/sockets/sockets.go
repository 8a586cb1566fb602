// Package sockets sets and reads what net does not offer of TCP connections.
package sockets

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// tcpUserTimeout is the socket option of that name.
const tcpUserTimeout = 0x12

// UserTimeout returns a Control function for a net.Dialer that bounds how long
// sent bytes may stay unacknowledged before a connection counts as dead.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var callErr error
		err := raw.Control(func(fd uintptr) {
			callErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return callErr
	}
}

// Ended reports whether the other side has ended a connection, without reading from
// it. Unread bytes before the end hide it.
func Ended(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
}

// Quiet reports whether a connection is open and nothing waits to be read from it.
func Quiet(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// Unread reports whether bytes wait to be read from a connection.
func Unread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// peek looks at the next byte.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.New("no system socket")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, callErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, callErr
}
