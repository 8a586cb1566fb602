package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// emptyPollInterval is how often StopListening polls a listener that has connections
// left to accept. It is short, so that a poll falls into the moment after an accept
// in which the queue is empty although callers keep dialling.
const emptyPollInterval = 200 * time.Microsecond

// StopListening shuts down a listener as soon as its owner has accepted all
// established connections. Closing a listener earlier resets the connections in its
// accept queue, whose callers may already have sent requests. The context bounds the
// wait; if an error is returned, the listener is still open.
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

// stopIfEmpty shuts down a listener if its accept queue is empty. The poll and the
// shutdown follow each other immediately, since a connection established between them
// is reset.
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
