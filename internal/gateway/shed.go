package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jujubeford/jujubeford/internal/logs"
)

const (
	// shedTimeout bounds how long a caller that is refused unserved may take to send
	// its request, and after that to take the answer.
	shedTimeout = 2 * time.Second
	// shedBuffer is the size in which such a request is read, in bytes. A longer
	// header is answered before it has been read whole.
	shedBuffer = 4 << 10
	// shedLinger is how long a connection is read on after an answer that came before
	// the end of the request: closing it with unread bytes would reset the answer.
	shedLinger = 500 * time.Millisecond
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
	// taken are the connections to be served, and the end of the listener.
	taken chan taken
	// closed ends the handing over of connections.
	closed    chan struct{}
	closeOnce sync.Once
}

// taken is a connection to be served, or the end of the listener.
type taken struct {
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
	return newListener(ln, g, ln.Accept)
}

// newListener is newShedListener with another way to take connections.
func newListener(ln *net.TCPListener, g *Gateway, accept func() (net.Conn, error)) *shedListener {
	l := &shedListener{TCPListener: ln, accept: accept, g: g, taken: make(chan taken), closed: make(chan struct{})}
	go l.run()
	return l
}

// run takes connections until the listener ends. Other errors pass: the server waits
// for a while after one, and this with it.
func (l *shedListener) run() {
	for {
		c, err := l.accept()
		if err != nil {
			if !l.hand(taken{err: err}) || !passes(err) {
				return
			}
			logs.Info("accept", "Gateway: no connection taken.", "err", err)
			continue
		}
		// Charged now: many connections may be taken before the first is served.
		if l.g.pressure.intake.admit(time.Now()) {
			if !l.serve(c, payment{paid: true}) {
				c.Close()
			}
			continue
		}
		go l.refuse(c.(*net.TCPConn))
	}
}

// passes reports whether connections can be taken again after an error: once there are
// descriptors or memory, or with the next caller.
func passes(err error) bool {
	for _, e := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// hand passes a connection on to Accept; false means that the listener is closed.
func (l *shedListener) hand(t taken) bool {
	select {
	case l.taken <- t:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *shedListener) Accept() (net.Conn, error) {
	select {
	case t := <-l.taken:
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

// refuse answers the first request on a connection as not run, and closes it, unless
// its organisation has had less than its part of the processor time.
func (l *shedListener) refuse(c *net.TCPConn) {
	served := false
	defer func() {
		if !served {
			c.Close()
		}
	}()
	now := time.Now()
	if err := errors.Join(c.SetReadDeadline(now.Add(shedTimeout)), c.SetWriteDeadline(now.Add(2*shedTimeout))); err != nil {
		logs.Info("shed", "Gateway: no deadline for a refusal.", "err", err)
		return
	}
	in, _ := l.buffers.Get().(*bufio.Reader)
	if in == nil {
		in = bufio.NewReaderSize(c, shedBuffer)
	} else {
		in.Reset(c)
	}
	defer l.buffers.Put(in)
	head, whole, err := readHead(in)
	if err != nil {
		l.g.metrics.shed("left")
		return
	}
	caller, org := l.callerOf(head)
	if served = l.serveOwed(c, in, head, org); served {
		return
	}
	l.log(head, caller, org)
	length, known := contentLength(head)
	if whole = whole && known; whole {
		_, err = io.CopyN(io.Discard, in, int64(length))
		whole = err == nil
	}
	if _, err := c.Write(shedAnswer); err != nil {
		l.g.metrics.shed("left")
		return
	}
	l.g.metrics.shed("refused")
	if !whole {
		linger(c)
	}
}

// callerOf reads the caller and its organisation out of a request's header. What cannot
// be read is empty.
func (l *shedListener) callerOf(head []byte) (caller Caller, org string) {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return caller, ""
	}
	// The id and the key are there also if another header cannot be used.
	caller, _ = l.g.options.Protocol.Caller(r.Header)
	return caller, l.g.organisationOf(caller)
}

// serveOwed has a request served whose organisation has had less than its part of the
// processor time that goes to requests. It reports whether it did.
func (l *shedListener) serveOwed(c *net.TCPConn, in *bufio.Reader, head []byte, org string) bool {
	if org == "" || !l.g.pressure.intake.admitOwed(time.Now(), org) {
		return false
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		logs.Info("shed", "Gateway: deadline not taken back.", "err", err)
		return false
	}
	rest, err := in.Peek(in.Buffered())
	if err != nil {
		return false
	}
	ahead := &readAhead{TCPConn: c, ahead: append(bytes.Clone(head), rest...)}
	return l.serve(ahead, payment{paid: true, counted: true})
}

// serve hands a connection to the server; false means that there is none any more.
func (l *shedListener) serve(c net.Conn, p payment) bool {
	if tcp, ok := c.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		if err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true}); err != nil {
			logs.Info("keep-alive", "Gateway: no keep-alive probes.", "err", err)
		}
	}
	l.g.conns.pay(c, p)
	if !l.hand(taken{conn: c}) {
		l.g.conns.takePaid(c)
		return false
	}
	return true
}

// readAhead is a connection of which some bytes have been read already.
type readAhead struct {
	*net.TCPConn
	ahead []byte
}

// Read implements net.Conn.
func (c *readAhead) Read(p []byte) (int, error) {
	if len(c.ahead) == 0 {
		return c.TCPConn.Read(p)
	}
	n := copy(p, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n, nil
}

// log writes the line of a refusal, if its rate allows one.
func (l *shedListener) log(head []byte, caller Caller, org string) {
	logs.InfoFunc("refused", "Gateway: request refused.", func() []any {
		line, _, _ := bytes.Cut(head, []byte("\r\n"))
		return []any{"id", caller.ID, "org", org, "request", string(line),
			"status", http.StatusServiceUnavailable, "reason", reasonOverloaded, "config", l.g.version()}
	})
}

// shedAnswer is the refusal of a router without processor time.
var shedAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: " +
	strconv.FormatFloat(retryElsewhere.Seconds(), 'f', 3, 64) + "\r\n\r\n")

var endOfHead = []byte("\r\n\r\n")

// readHead takes a request's header off a reader. It is not whole if it is longer than
// the buffer; what was read of it is then returned.
func readHead(in *bufio.Reader) (head []byte, whole bool, err error) {
	for n := 1; ; n = in.Buffered() + 1 {
		_, err := in.Peek(min(n, in.Size()))
		have, _ := in.Peek(in.Buffered())
		if i := bytes.Index(have, endOfHead); i >= 0 {
			head = bytes.Clone(have[:i+len(endOfHead)])
			_, err := in.Discard(len(head))
			return head, true, err
		}
		if len(have) == in.Size() {
			return bytes.Clone(have), false, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// contentLength is the length of a request's body, not known if it is chunked or
// unreadable.
func contentLength(head []byte) (length int, known bool) {
	for line := range bytes.Lines(head) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return 0, false
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil || n < 0 {
				return 0, false
			}
			length = n
		}
	}
	return length, true
}

// linger reads on until the caller ends the connection, for a bounded time.
func linger(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.CloseWrite(); err != nil {
			return
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(shedLinger)); err != nil {
		return
	}
	// The end of the time is the expected end.
	_, _ = io.Copy(io.Discard, c)
}
