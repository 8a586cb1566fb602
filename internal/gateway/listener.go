package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jujubeford/jujubeford/internal/logs"
)

// shedListener hands out connections while there is processor time for their
// requests, and refuses the rest itself, with what little an HTTP answer needs: one
// router may get thousands of connections a second, and a refusal by an http.Server
// takes more processor time than it has for them (docs/MEASURES.md, constants).
type shedListener struct {
	*net.TCPListener
	// accept takes the next connection.
	accept func() (net.Conn, error)
	g      *Gateway
	// buffers hold *bufio.Reader.
	buffers sync.Pool
	// accepted are the connections to be served, and the end of the listener.
	accepted chan acceptResult
	// closed ends the handing over of connections.
	closed    chan struct{}
	closeOnce sync.Once
}

// acceptResult is a connection to be served, or the end of the listener.
type acceptResult struct {
	conn net.Conn
	err  error
}

// listenForCallers listens without keep-alive probes: setting them takes four of the
// system calls of a refusal, so connections get them once they are to be served.
func listenForCallers(ctx context.Context, addr string) (*net.TCPListener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: false}, KeepAlive: -1}
	ln, err := config.Listen(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

func newShedListener(ln *net.TCPListener, g *Gateway) *shedListener {
	return newShedListenerFunc(ln, g, ln.Accept)
}

// newShedListenerFunc is newShedListener with another way to take connections.
func newShedListenerFunc(ln *net.TCPListener, g *Gateway, accept func() (net.Conn, error)) *shedListener {
	l := &shedListener{TCPListener: ln, accept: accept, g: g, accepted: make(chan acceptResult), closed: make(chan struct{})}
	go l.acceptLoop()
	return l
}

// acceptLoop takes connections until the listener ends. Other errors pass: the server waits
// for a while after one, and this with it.
func (l *shedListener) acceptLoop() {
	for {
		c, err := l.accept()
		if err != nil {
			if !l.handOver(acceptResult{err: err}) || !isTemporary(err) {
				return
			}
			logs.Info("accept", "Gateway: no connection taken.", "err", err)
			continue
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			c.Close()
			continue
		}
		// Charged now: many connections may be taken before the first is served.
		if l.g.pressure.admission.admit(time.Now()) {
			if !l.handToServer(l.g.conns.wrap(tcp, nil), charge{admitted: true}) {
				tcp.Close()
			}
			continue
		}
		go l.refuse(tcp)
	}
}

// isTemporary reports whether connections can be taken again after an error: once there are
// descriptors or memory, or with the next caller.
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

// handOver passes a connection on to Accept; false means that the listener is closed.
func (l *shedListener) handOver(t acceptResult) bool {
	select {
	case l.accepted <- t:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *shedListener) Accept() (net.Conn, error) {
	select {
	case t := <-l.accepted:
		return t.conn, t.err
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *shedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// handToServer hands a connection to the server; false means that there is none any more.
func (l *shedListener) handToServer(c *callerConn, p charge) bool {
	if err := c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true}); err != nil {
		logs.Info("keep-alive", "Gateway: no keep-alive probes.", "err", err)
	}
	l.g.conns.setCharge(c, p)
	if !l.handOver(acceptResult{conn: c}) {
		l.g.conns.takeCharge(c)
		c.clearReadPending()
		return false
	}
	return true
}
