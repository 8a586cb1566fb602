package sockets

import (
	"net"
	"os"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// acceptPause is the pause after all waiting connections have been accepted. It is short
// beside a round trip to a caller, and bounds how often a flood wakes the process.
const acceptPause = 2 * time.Millisecond

// acceptBatch is how many connections are accepted before other goroutines may run.
const acceptBatch = 16

// AcceptUnpolled accepts connections as long as wanted reports true, and passes each one's
// descriptor to handle, which owns it. The descriptors do not block and are not registered
// with the runtime's poller: a connection that ends at once needs neither a goroutine nor
// the system calls of the registration. It returns nil once wanted reports false, also
// without a connection.
func AcceptUnpolled(listener syscall.RawConn, wanted func() bool, handle func(fd int)) error {
	for wanted() {
		more, err := acceptWaiting(listener, wanted, handle)
		if err != nil {
			return err
		}
		if more {
			runtime.Gosched()
		} else {
			time.Sleep(acceptPause)
		}
	}
	return nil
}

// acceptWaiting accepts up to acceptBatch of the connections that are waiting. more means
// that there may be further ones.
func acceptWaiting(listener syscall.RawConn, wanted func() bool, handle func(fd int)) (more bool, err error) {
	controlErr := listener.Control(func(ln uintptr) {
		for i := 0; i < acceptBatch && wanted(); i++ {
			var fd int
			fd, _, err = unix.Accept4(int(ln), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case err == nil:
				handle(fd)
			case errors.Is(err, unix.EAGAIN):
				err = nil
				return
			case errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED):
			default:
				err = os.NewSyscallError("accept4", err)
				return
			}
		}
		more, err = true, nil
	})
	if controlErr != nil {
		return false, controlErr
	}
	return more, err
}

// PeekUnpolled copies what has arrived on a descriptor of AcceptUnpolled to b without
// consuming it. It returns 0 without an error if nothing has arrived yet or the peer has
// closed the connection.
func PeekUnpolled(fd int, b []byte) (int, error) {
	return receiveUnpolled(fd, b, unix.MSG_PEEK)
}

// AnswerUnpolled consumes what PeekUnpolled returned in b and answers. The answer must fit
// into the socket's buffer.
func AnswerUnpolled(fd int, b, answer []byte) error {
	if _, err := receiveUnpolled(fd, b, 0); err != nil {
		return err
	}
	if _, err := unix.Write(fd, answer); err != nil {
		return os.NewSyscallError("write", err)
	}
	return nil
}

// CloseUnpolled closes a descriptor of AcceptUnpolled.
func CloseUnpolled(fd int) error { return os.NewSyscallError("close", unix.Close(fd)) }

// Lingerer closes connections whose peer still sends a request that has been answered:
// closing them at once would reset them and lose the answer. The zero value is ready to
// use; it is safe for concurrent use.
type Lingerer struct {
	mu      sync.Mutex
	entries []lingering
	running bool
}

// lingering is a descriptor that is closed once its peer has closed its side, at until at
// the latest.
type lingering struct {
	fd    int
	until time.Time
}

// lingerInterval is the time between two looks at the connections of a Lingerer.
const lingerInterval = 50 * time.Millisecond

// Close closes the sending side of a descriptor of AcceptUnpolled at once, and the
// descriptor when the peer has closed its side, or after the timeout.
func (l *Lingerer) Close(fd int, timeout time.Duration) error {
	if err := unix.Shutdown(fd, unix.SHUT_WR); err != nil {
		_ = unix.Close(fd) // the error of the shutdown is returned
		return os.NewSyscallError("shutdown", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, lingering{fd: fd, until: time.Now().Add(timeout)})
	if !l.running {
		l.running = true
		go l.run()
	}
	return nil
}

// run looks at the connections at intervals until there are none.
func (l *Lingerer) run() {
	buffer := make([]byte, 16<<10)
	for {
		time.Sleep(lingerInterval)
		now := time.Now()
		l.mu.Lock()
		l.entries = slices.DeleteFunc(l.entries, func(e lingering) bool {
			if now.Before(e.until) && !drained(e.fd, buffer) {
				return false
			}
			_ = unix.Close(e.fd) // the answer has been sent, or cannot be
			return true
		})
		l.running = len(l.entries) > 0
		ended := !l.running
		l.mu.Unlock()
		if ended {
			return
		}
	}
}

// drained discards what has arrived and reports whether the peer has closed its side or
// broken the connection.
func drained(fd int, buffer []byte) bool {
	for {
		n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			return false
		case errors.Is(err, unix.EINTR):
		case err != nil || n == 0:
			return true
		}
	}
}

func receiveUnpolled(fd int, b []byte, flags int) (int, error) {
	for {
		n, _, err := unix.Recvfrom(fd, b, flags|unix.MSG_DONTWAIT)
		switch {
		case err == nil:
			return n, nil
		case errors.Is(err, unix.EAGAIN):
			return 0, nil
		case !errors.Is(err, unix.EINTR):
			return 0, os.NewSyscallError("recvfrom", err)
		}
	}
}

// Polled registers a descriptor of AcceptUnpolled with the runtime's poller. It closes the
// descriptor, also on an error.
func Polled(fd int) (*net.TCPConn, error) {
	f := os.NewFile(uintptr(fd), "connection")
	if f == nil {
		return nil, errors.Errorf("descriptor %d cannot be used", fd)
	}
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, errors.Wrap(err, "register connection")
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		c.Close()
		return nil, errors.New("register connection: not a TCP connection")
	}
	// net.FileConn leaves the option as it is; accepted connections have it set.
	if err := tcp.SetNoDelay(true); err != nil {
		tcp.Close()
		return nil, errors.Wrap(err, "register connection")
	}
	return tcp, nil
}
