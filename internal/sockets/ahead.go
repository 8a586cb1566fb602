package sockets

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// drainPiece is how much of a backlog is written between two deadlines, in bytes.
const drainPiece = 16 << 10

var (
	errBacklogFull = errors.New("the peer has not read what was written to it, and there is no room for more")
	// ErrStalled means that the peer has read nothing for the stall time.
	ErrStalled = errors.New("the peer has read nothing for too long")
)

// Backlog bounds what a Writer keeps for a peer that reads slowly.
type Backlog struct {
	// Limit is in bytes. Writes wait for room for at most Wait.
	Limit int
	Wait  time.Duration
	// Stall is how long a peer may read nothing while something is written to it.
	Stall time.Duration
}

// Account accounts for the memory of a backlog. It must not call the Writer.
type Account interface {
	// GrowBacklog takes room for n more bytes and reports whether there is any.
	GrowBacklog(n int) bool
	// ReleaseBacklog gives back all that was taken.
	ReleaseBacklog()
	// EndedUnread tells that the connection was closed because its peer did not read.
	EndedUnread(err error)
}

// Writer writes to a connection. With a backlog, what the socket does not take at once is kept
// and written as the peer reads it, in order; a write then neither waits nor takes a goroutine
// unless the peer is slow. Without one a write waits for the peer. It is used by one goroutine,
// except for Close and Abort.
type Writer struct {
	conn    *net.TCPConn
	raw     syscall.RawConn
	account Account
	// attempt writes pending once; taken and err are its results. It is made once, so that a
	// write allocates nothing.
	attempt func(fd uintptr) bool
	pending []byte
	taken   int
	err     error

	mu sync.Mutex
	// change is signalled when some of the backlog has been written.
	change  sync.Cond
	backlog *Backlog
	// kept are the bytes that have not been handed to drain, and unsent is the size of all that
	// the socket has not taken. draining is set while a goroutine writes them.
	kept     []byte
	unsent   int
	grown    int
	draining bool
	// closing closes the connection once the backlog is written; failed is why nothing more can
	// be written.
	closing bool
	failed  error
}

// NewWriter returns a writer to a connection.
func NewWriter(conn *net.TCPConn, account Account) (*Writer, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "writer")
	}
	w := &Writer{conn: conn, raw: raw, account: account}
	w.change.L = &w.mu
	w.attempt = func(fd uintptr) bool {
		for {
			w.taken, w.err = unix.Write(int(fd), w.pending)
			if !errors.Is(w.err, unix.EINTR) {
				return true
			}
		}
	}
	return w, nil
}

// writeNow writes what the socket takes at once.
func (w *Writer) writeNow(p []byte) (int, error) {
	w.pending, w.taken, w.err = p, 0, nil
	err := w.raw.Write(w.attempt)
	w.pending = nil
	switch {
	case err != nil:
		return 0, err
	case errors.Is(w.err, unix.EAGAIN):
		return 0, nil
	case w.err != nil:
		return max(0, w.taken), os.NewSyscallError("write", w.err)
	}
	return w.taken, nil
}

// WriteAhead writes p, and keeps what the socket does not take within the bounds of b.
func (w *Writer) WriteAhead(p []byte, b *Backlog) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed != nil {
		return 0, w.failed
	}
	n := 0
	if !w.draining {
		var err error
		if n, err = w.writeNow(p); err != nil || n == len(p) {
			return n, err
		}
		w.backlog = b
	}
	rest := p[n:]
	if !w.awaitRoom(len(rest)) {
		if w.failed == nil {
			w.end(errBacklogFull)
		}
		return n, w.failed
	}
	w.kept = append(w.kept, rest...)
	w.unsent += len(rest)
	if !w.draining {
		w.draining = true
		go w.drain()
	}
	return len(p), nil
}

// awaitRoom waits until n bytes fit into the backlog, and takes room for them. The caller holds
// mu.
func (w *Writer) awaitRoom(n int) bool {
	fits := func() bool { return w.unsent == 0 || w.unsent+n <= w.backlog.Limit }
	if !fits() {
		late := false
		timer := time.AfterFunc(w.backlog.Wait, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			late = true
			w.change.Broadcast()
		})
		defer timer.Stop()
		for !fits() && !late && w.failed == nil {
			w.change.Wait()
		}
	}
	if w.failed != nil || !fits() {
		return false
	}
	if more := w.unsent + n - w.grown; more > 0 {
		if !w.account.GrowBacklog(more) {
			return false
		}
		w.grown += more
	}
	return true
}

// end resets the connection because its peer did not read. The caller holds mu.
func (w *Writer) end(err error) {
	w.failed = err
	w.kept = nil
	w.resetOnClose()
	w.conn.Close()
	w.change.Broadcast()
	w.account.EndedUnread(err)
}

// drain writes the backlog as the peer reads it.
func (w *Writer) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.kept) > 0 && w.failed == nil {
		batch := w.kept
		w.kept = nil
		for len(batch) > 0 && w.failed == nil {
			piece := batch[:min(len(batch), drainPiece)]
			stall := w.backlog.Stall
			w.mu.Unlock()
			n, err := writeBy(w.conn, piece, time.Now().Add(stall))
			w.mu.Lock()
			batch, w.unsent = batch[n:], w.unsent-n
			w.change.Broadcast()
			if err != nil && n == 0 && w.failed == nil {
				w.end(stalled(err))
			}
		}
	}
	w.draining, w.unsent = false, 0
	if w.grown > 0 {
		w.grown = 0
		w.account.ReleaseBacklog()
	}
	if w.closing || w.failed != nil {
		w.conn.Close()
	} else if err := w.conn.SetWriteDeadline(time.Time{}); err != nil {
		w.failed = err
	}
	w.change.Broadcast()
}

func writeBy(conn *net.TCPConn, p []byte, deadline time.Time) (int, error) {
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	return conn.Write(p)
}

func stalled(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrStalled
	}
	return err
}

// Write writes p at the peer's pace, as long as that reads something within each stall time.
func (w *Writer) Write(p []byte, stall time.Duration) (n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.draining {
		w.change.Wait()
	}
	if w.failed != nil {
		return 0, w.failed
	}
	if n, err = w.writeNow(p); err != nil || n == len(p) {
		return n, err
	}
	w.mu.Unlock()
	for n < len(p) {
		var wrote int
		wrote, err = writeBy(w.conn, p[n:min(len(p), n+drainPiece)], time.Now().Add(stall))
		n += wrote
		if err != nil && (wrote == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			break
		}
		err = nil
	}
	w.mu.Lock()
	if err != nil {
		w.failed = stalled(err)
		w.resetOnClose()
		return n, w.failed
	}
	return n, w.conn.SetWriteDeadline(time.Time{})
}

// Close closes the connection, once the backlog is written if there is one.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining && w.failed == nil {
		w.closing = true
		return nil
	}
	return w.conn.Close()
}

// CloseWrite ends the sending side, once the backlog is written if there is one.
func (w *Writer) CloseWrite() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining && w.failed == nil {
		// Close follows.
		return nil
	}
	return w.conn.CloseWrite()
}

// resetOnClose makes Close reset the connection: the kernel keeps nothing for a peer that does
// not read, and the end does not look like that of an answer that ends with its connection.
func (w *Writer) resetOnClose() {
	_ = w.conn.SetLinger(0) // fails only on a closed connection
}

// Reset is Abort, and drops what the kernel has not sent.
func (w *Writer) Reset() { w.abort(true) }

// Abort closes the connection and drops the backlog: what the peer has got is not all.
func (w *Writer) Abort() { w.abort(false) }

func (w *Writer) abort(reset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reset {
		w.resetOnClose()
	}
	if w.failed == nil {
		w.failed = net.ErrClosed
	}
	w.conn.Close()
	w.change.Broadcast()
}
