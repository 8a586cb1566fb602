package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/sockets"
)

// shedListener returns connections from Accept while there is processor time for their
// requests. It refuses the rest itself with a minimal HTTP answer: a router may get
// thousands of connections a second, and a refusal by an http.Server takes more
// processor time than it has for them (docs/MEASURES.md, constants).
type shedListener struct {
	*net.TCPListener
	// accept accepts the next connection.
	accept func() (net.Conn, error)
	g      *Gateway
	// raw is the listener's socket; nil if connections come from elsewhere.
	raw syscall.RawConn
	// buffers is a pool of *bufio.Reader.
	buffers sync.Pool
	// unpolledBuffer holds what has arrived on a connection that is refused unpolled.
	unpolledBuffer []byte
	lingerer       sockets.Lingerer
	// accepted passes connections to be served, and errors of accept, to Accept.
	accepted chan acceptResult
	// closed is closed when the listener is.
	closed    chan struct{}
	closeOnce sync.Once
}

// acceptResult is a connection to be served, or an error of accept.
type acceptResult struct {
	conn net.Conn
	err  error
}

// listenForCallers listens without keep-alive probes: enabling them takes four of the
// system calls of a refusal, so only connections that will be served get them. Connections
// inherit the sizes of the listener's buffers.
func listenForCallers(ctx context.Context, addr string) (*net.TCPListener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: false}, KeepAlive: -1,
		Control: sockets.Buffers(receiveBuffer, sendBuffer)}
	ln, err := config.Listen(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

func newShedListener(ln *net.TCPListener, g *Gateway) *shedListener {
	raw, err := ln.SyscallConn()
	if err != nil {
		logs.Info("accept", "Gateway: the listener does not expose its socket, refusals take more processor time.", "err", err)
		raw = nil
	}
	return newShedListenerFunc(ln, g, ln.Accept, raw)
}

// newShedListenerFunc is newShedListener with a custom accept function. raw is nil if that
// does not accept from the listener's socket.
func newShedListenerFunc(ln *net.TCPListener, g *Gateway, accept func() (net.Conn, error), raw syscall.RawConn) *shedListener {
	l := &shedListener{
		TCPListener: ln, accept: accept, raw: raw, g: g, accepted: make(chan acceptResult), closed: make(chan struct{}),
		unpolledBuffer: make([]byte, unpolledRequestBytes),
	}
	go l.acceptLoop()
	return l
}

// acceptLoop accepts connections until the listener is closed. It goes on after a
// temporary error: the server pauses after one, and the loop waits for it with the next
// hand-over.
func (l *shedListener) acceptLoop() {
	for {
		if l.raw != nil {
			if err := sockets.AcceptUnpolled(l.raw, l.mustRefuse, l.refuseUnpolled); isTemporary(err) {
				logs.Info("accept", "Gateway: accepting a connection to refuse failed.", "err", err)
			}
			// The accept below fails with any other error as well.
		}
		c, err := l.accept()
		if err != nil {
			if !l.handOver(acceptResult{err: err}) || !isTemporary(err) {
				return
			}
			logs.Info("accept", "Gateway: accepting a connection failed, retrying.", "err", err)
			continue
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			c.Close()
			continue
		}
		if !l.hasRoom() {
			c.Close()
			continue
		}
		// Charged here, since many connections may be accepted before the first is
		// served.
		now := time.Now()
		canOffload := l.g.offloader.available(now)
		if l.g.pressure.admission.admit(now, canOffload) {
			if !l.handToServer(l.g.conns.wrap(tcp, nil), charge{admitted: true}) {
				tcp.Close()
			}
			continue
		}
		pending := unadmitted{conn: tcp, acceptedAt: now}
		if canOffload {
			pending.offloadCharge, _ = l.g.pressure.admission.chargeOffload()
		}
		l.startRefusal(pending)
	}
}

// hasRoom reports whether there is room for a new connection. If there is none, it is to be
// closed: its request has not been read, so its caller may come again.
func (l *shedListener) hasRoom() bool {
	if l.g.conns.makeRoom() {
		return true
	}
	logs.Info("accept-full", "Gateway: too many connections, a new one was closed.")
	l.g.metrics.recordShed("left")
	return false
}

// isTemporary reports whether accepting can succeed again after an error: once
// descriptors or memory are available, or with the next caller.
func isTemporary(err error) bool {
	for _, e := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// handOver passes a connection or an error to Accept. It reports false if the listener
// is closed.
func (l *shedListener) handOver(r acceptResult) bool {
	select {
	case l.accepted <- r:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *shedListener) Accept() (net.Conn, error) {
	select {
	case r := <-l.accepted:
		return r.conn, r.err
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *shedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// handToServer enables keep-alive probes and hands a connection to the server. It
// reports false if the listener is closed.
func (l *shedListener) handToServer(c *callerConn, ch charge) bool {
	if err := c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true}); err != nil {
		logs.Info("keep-alive", "Gateway: enabling keep-alive probes failed.", "err", err)
	}
	l.g.conns.setCharge(c, ch)
	if !l.handOver(acceptResult{conn: c}) {
		l.g.conns.takeCharge(c)
		c.clearReadPending()
		return false
	}
	return true
}
