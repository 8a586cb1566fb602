package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/sockets"
)

const (
	// shedTimeout bounds how long a caller that is refused without a server may take to
	// send its request, and then to read the answer.
	shedTimeout = 2 * time.Second
	// shedBuffer is the size of the buffer for such a request, in bytes. A longer
	// header is answered before it has been read whole.
	shedBuffer = 4 << 10
	// unpolledRequestBytes is how much is read of a request that is refused without a
	// goroutine, in bytes.
	unpolledRequestBytes = 64 << 10
	// shedLinger is how long a connection is read from after an answer that was sent
	// before the end of the request: closing it with unread bytes would reset it and
	// lose the answer.
	shedLinger = 500 * time.Millisecond
)

// mustRefuse reports whether the next connection can only be refused.
func (l *shedListener) mustRefuse() bool {
	now := time.Now()
	return l.g.pressure.admission.mustRefuse(now, l.g.offloader.available(now))
}

// refuseUnpolled refuses the request on a new connection as refuse does. In a flood the
// requests have arrived by the time their connections are accepted: such a one is read,
// answered and closed at once. Others are left to refuse.
func (l *shedListener) refuseUnpolled(fd int) {
	control := l.g.pressure.admission
	n, err := sockets.PeekUnpolled(fd, l.unpolledBuffer)
	request := l.unpolledBuffer[:n]
	header, whole := splitRequest(request)
	if err == nil && header != nil {
		p := l.parseRequest(time.Now(), header)
		if !control.wouldServe(time.Now(), p.org) {
			control.recordUnpolledRefusal()
			l.recordRefusal(header, p.caller, p.org, l.answerUnpolled(fd, request, whole))
			return
		}
	}
	if !l.hasRoom() {
		_ = sockets.CloseUnpolled(fd) // the connection is gone in any case
		return
	}
	c, err := sockets.Polled(fd)
	if err != nil {
		logs.Info("shed", "Gateway: a connection to refuse cannot be used, closed.", "err", err)
		return
	}
	l.startRefusal(unadmitted{conn: c, acceptedAt: time.Now()})
}

// answerUnpolled sends the refusal and closes the connection, at once if the whole request
// has been read.
func (l *shedListener) answerUnpolled(fd int, request []byte, whole bool) error {
	err := sockets.AnswerUnpolled(fd, request, shedAnswer)
	if err == nil && !whole {
		return l.lingerer.Close(fd, shedLinger)
	}
	return errors.Join(err, sockets.CloseUnpolled(fd))
}

// splitRequest returns the header of what has been read of a request, nil if that is not
// complete, and whether it is the whole request.
func splitRequest(b []byte) (header []byte, whole bool) {
	i := bytes.Index(b, endOfHeader)
	if i < 0 {
		return nil, false
	}
	header = b[:i+len(endOfHeader)]
	length, known := contentLength(header)
	return header, known && len(b) == len(header)+length
}

// recordRefusal counts and logs a refusal; err is the error of the answer.
func (l *shedListener) recordRefusal(header []byte, caller Caller, org string, err error) {
	l.g.pressure.admission.countRefusal(org)
	l.logRefusal(header, caller, org)
	if err != nil {
		l.g.metrics.recordShed("left")
		return
	}
	l.g.metrics.recordShed("refused")
}

// unadmitted is a connection that admission control has not admitted.
type unadmitted struct {
	conn       *net.TCPConn
	acceptedAt time.Time
	// offloadCharge is what has been charged for offloading it; 0 if it is not to be.
	offloadCharge time.Duration
}

// startRefusal runs refuse in a goroutine, which a stop waits for.
func (l *shedListener) startRefusal(u unadmitted) {
	l.g.conns.refusals.Add(1)
	l.g.conns.refusing.Add(1)
	go func() {
		defer l.g.conns.refusals.Add(-1)
		defer l.g.conns.refusing.Add(-1)
		l.refuse(u)
	}()
}

// refuse refuses the first request on a connection as not run and closes the
// connection, unless it can be offloaded to another router, or there is time for it after
// all, as for the request of an underserved organisation; then it hands the connection to
// the server.
func (l *shedListener) refuse(u unadmitted) {
	c, served := u.conn, false
	defer func() {
		if !served {
			c.Close()
		}
	}()
	now := time.Now()
	if err := errors.Join(c.SetReadDeadline(now.Add(shedTimeout)), c.SetWriteDeadline(now.Add(2*shedTimeout))); err != nil {
		logs.Info("shed", "Gateway: setting the deadlines of a refusal failed, connection closed.", "err", err)
		return
	}
	reader := l.bufferFor(c)
	defer l.buffers.Put(reader)
	header, complete, err := readHeader(reader)
	if err != nil {
		l.g.pressure.admission.refundOffload(u.offloadCharge)
		l.g.pressure.admission.recordRefusal()
		l.g.metrics.recordShed("left")
		return
	}
	// The time in which the router waited for the header is the caller's own.
	p := l.parseRequest(u.acceptedAt.Add(time.Since(now)), header)
	if hasWholeRequest(reader, header) && sockets.ClosedByPeer(c) {
		// It has waited for longer than its caller.
		l.g.pressure.admission.refundOffload(u.offloadCharge)
		l.g.pressure.admission.recordRefusal()
		l.g.metrics.recordShed("left")
		return
	}
	// When a request has to end is known from its whole header only.
	if complete && u.offloadCharge > 0 && l.g.offloader.offload(c, reader, header, p) {
		return
	}
	l.g.pressure.admission.refundOffload(u.offloadCharge)
	if served = l.serveAfterAll(c, reader, header, p.org); served {
		return
	}
	l.g.pressure.admission.recordRefusal()
	length, known := contentLength(header)
	if complete = complete && known; complete {
		_, err = io.CopyN(io.Discard, reader, int64(length))
		complete = err == nil
	}
	_, err = c.Write(shedAnswer)
	l.recordRefusal(header, p.caller, p.org, err)
	if err == nil && !complete {
		lingerClose(c)
	}
}

// hasWholeRequest reports whether the body of the request whose header has been read is
// buffered whole, so that the end of the connection would be next.
func hasWholeRequest(reader *bufio.Reader, header []byte) bool {
	length, known := contentLength(header)
	return known && reader.Buffered() == length
}

// bufferFor returns a buffer of the pool that reads from r.
func (l *shedListener) bufferFor(r io.Reader) *bufio.Reader {
	reader, _ := l.buffers.Get().(*bufio.Reader)
	if reader == nil {
		return bufio.NewReaderSize(r, shedBuffer)
	}
	reader.Reset(r)
	return reader
}

// parsedRequest is what is known of a request from its header. Fields that cannot be parsed
// are empty.
type parsedRequest struct {
	caller Caller
	org    string
	// expiresAt is when the request has to end: its caller leaves or its route ends it.
	expiresAt time.Time
}

// parseRequest parses the header of a request that its caller sent at a time.
func (l *shedListener) parseRequest(sentAt time.Time, header []byte) parsedRequest {
	reader := l.bufferFor(bytes.NewReader(header))
	defer l.buffers.Put(reader)
	p := parsedRequest{expiresAt: sentAt.Add(defaultTimeout)}
	r, err := http.ReadRequest(reader)
	if err != nil {
		return p
	}
	// Caller returns the id and the key even if another header is invalid.
	p.caller, _ = l.g.options.Protocol.Caller(r.Header)
	p.org = l.g.organisationOf(p.caller)
	timeout := callerTimeout(p.caller)
	if table := l.g.table.Load(); table != nil {
		if route := table.Match(r.Host, r.URL.EscapedPath()); route != nil {
			timeout = boundedBy(route, timeout)
		}
	}
	p.expiresAt = sentAt.Add(timeout)
	return p
}

// serveAfterAll hands a request to the server if the reserve has time for it, or if its
// organisation has used less than its share of the processor time (see admitUnderserved).
// It reports whether it did.
func (l *shedListener) serveAfterAll(c *net.TCPConn, reader *bufio.Reader, header []byte, org string) bool {
	ch := charge{admitted: true}
	switch control := l.g.pressure.admission; {
	case control.admitLate():
	case org != "" && control.admitUnderserved(time.Now(), org):
		ch.attributed = true
	default:
		return false
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		logs.Info("shed", "Gateway: clearing the deadlines of a connection failed.", "err", err)
		return false
	}
	rest, err := reader.Peek(reader.Buffered())
	if err != nil {
		return false
	}
	conn := l.g.conns.wrap(c, append(bytes.Clone(header), rest...))
	return l.handToServer(conn, ch)
}

// logRefusal logs a refusal, subject to the rate limit of the log.
func (l *shedListener) logRefusal(header []byte, caller Caller, org string) {
	logs.InfoFunc("refused", "Gateway: request refused.", func() []any {
		line, _, _ := bytes.Cut(header, []byte("\r\n"))
		return []any{"id", caller.ID, "org", org, "request", string(line),
			"status", http.StatusServiceUnavailable, "reason", reasonOverloaded, "config", l.g.configVersion()}
	})
}

// shedAnswer is the refusal for lack of processor time, as bytes on the wire.
var shedAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: " +
	strconv.FormatFloat(retryAfterOverload.Seconds(), 'f', 3, 64) + "\r\n\r\n")

var endOfHeader = []byte("\r\n\r\n")

// readHeader reads a request's header. If the header is longer than the buffer, it
// returns the part that fits, and complete is false.
func readHeader(reader *bufio.Reader) (header []byte, complete bool, err error) {
	for n := 1; ; n = reader.Buffered() + 1 {
		_, err := reader.Peek(min(n, reader.Size()))
		buffered, _ := reader.Peek(reader.Buffered())
		if i := bytes.Index(buffered, endOfHeader); i >= 0 {
			header = bytes.Clone(buffered[:i+len(endOfHeader)])
			_, err := reader.Discard(len(header))
			return header, true, err
		}
		if len(buffered) == reader.Size() {
			return bytes.Clone(buffered), false, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// contentLength is the length of a request's body; known is false if the body is
// chunked or its length cannot be parsed.
func contentLength(header []byte) (length int, known bool) {
	for line := range bytes.Lines(header) {
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

// lingerClose closes the write side and discards what the caller sends until it closes
// the connection or shedLinger is over.
func lingerClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.CloseWrite(); err != nil {
			return
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(shedLinger)); err != nil {
		return
	}
	// Reaching the deadline is the normal end.
	_, _ = io.Copy(io.Discard, c)
}
