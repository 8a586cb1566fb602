// Package sockets provides socket operations on TCP connections and listeners that
// package net does not offer.
package sockets

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 0x12

// UserTimeout returns a Control function for a net.Dialer that sets TCP_USER_TIMEOUT:
// the kernel closes a connection whose sent data stays unacknowledged for d.
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

// Buffers returns a control function that sets the sizes of a socket's buffers, in bytes.
// Connections accepted by a listener inherit them.
func Buffers(receive, send int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var callErr error
		err := raw.Control(func(fd uintptr) {
			if callErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive); callErr == nil {
				callErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, send)
			}
		})
		if err != nil {
			return err
		}
		return callErr
	}
}

// ClosedByPeer reports whether the peer has closed or reset a connection, without
// reading from it. A close is not detected while there is unread data before it.
func ClosedByPeer(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
}

// IsIdle reports whether a connection is open and has no unread data.
func IsIdle(c net.Conn) bool {
	idle, _ := CheckIdle(c)
	return idle
}

// CheckIdle is IsIdle. The error is the one with which the connection has ended: the system tells
// of it once, so that the next read sees an ordinary end.
func CheckIdle(c net.Conn) (idle bool, err error) {
	_, err = peek(c)
	if errors.Is(err, syscall.EAGAIN) {
		return true, nil
	}
	return false, err
}

// HasUnread reports whether a connection has unread data.
func HasUnread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// peek reads the next byte without blocking or consuming it. It returns n = 0 without
// an error at the end of the stream, and EAGAIN if there is no data yet.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.New("connection does not expose its socket")
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
