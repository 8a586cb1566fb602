package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
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
// requests, and refuses the rest itself, with what little an HTTP answer needs: at
// the crests of the users' days one router gets thousands of connections a second,
// and the 92 us that a refusal takes in an http.Server (profile of 20,000) are more than
// 0.192 cores have for 2,200 of them.
type shedListener struct {
	*net.TCPListener
	g *Gateway
	// buffers hold *bufio.Reader.
	buffers sync.Pool
}

// Accept implements net.Listener.
func (l *shedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.TCPListener.Accept()
		if err != nil {
			return nil, err
		}
		// Charged now: many connections may be taken before the first is served.
		if l.g.pressure.intake.admit(time.Now()) {
			l.g.conns.pay(c)
			return c, nil
		}
		go l.refuse(c)
	}
}

// refuse answers the first request on a connection as not run, and closes it.
func (l *shedListener) refuse(c net.Conn) {
	defer c.Close()
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
	l.log(head)
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

// log writes the line of a refusal, if its rate allows one.
func (l *shedListener) log(head []byte) {
	logs.InfoFunc("refused", "Gateway: request refused.", func() []any {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			return []any{"id", "", "err", err, "status", http.StatusServiceUnavailable, "reason", reasonOverloaded}
		}
		// The id is there also if another header cannot be used.
		caller, _ := l.g.options.Protocol.Caller(r.Header)
		return []any{"id", caller.ID, "org", l.g.organisationOf(caller), "host", r.Host, "path", r.URL.Path,
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
