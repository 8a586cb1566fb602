package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// emptyPollInterval is how often a listener is looked at that has connections left: often
// enough that the moment after the last accept is met while callers keep dialling.
const emptyPollInterval = 200 * time.Microsecond

// StopListening ends a listener at a moment when its owner has accepted all
// connections that are established. Closing it at any other moment resets those
// that wait in it, though their callers may have sent requests. The context bounds
// the wait; the listener is still open if an error is returned.
func StopListening(ctx context.Context, ln *net.TCPListener) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "stop listening")
	}
	for {
		stopped, err := stopIfEmpty(raw)
		if err != nil {
			return errors.Wrap(err, "stop listening")
		}
		if stopped {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "stop listening")
		case <-time.After(emptyPollInterval):
		}
	}
}

// stopIfEmpty shuts a listener down unless a connection waits in it. The two calls
// follow each other at once: a connection made between them is reset.
func stopIfEmpty(raw syscall.RawConn) (stopped bool, err error) {
	var callErr error
	err = raw.Control(func(fd uintptr) {
		var ready int
		ready, callErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		switch {
		case errors.Is(callErr, unix.EINTR):
			callErr = nil
		case callErr == nil && ready == 0:
			callErr = unix.Shutdown(int(fd), unix.SHUT_RD)
			stopped = callErr == nil
		}
	})
	if err != nil {
		return false, err
	}
	return stopped, callErr
}
