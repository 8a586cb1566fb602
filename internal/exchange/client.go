package exchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/holding"
	"github.com/jujubeford/jujubeford/internal/sockets"
)

const (
	// maxInlineBody is the size, in bytes, up to which a request body is written
	// before the response is read. A longer body is written concurrently, since an
	// upstream may respond before it has read it.
	maxInlineBody = 2 << 10
	// maxForeignResponses is how many responses to other requests are skipped on a
	// connection.
	maxForeignResponses = 2
	// maxSkippedBody bounds the body of a response that is skipped or discarded, in
	// bytes. skipTimeout bounds how long Discard waits for the end of a body;
	// opening a new connection takes less time.
	maxSkippedBody = 1 << 20
	skipTimeout    = 200 * time.Millisecond
	// sendBuffer bounds what the kernel holds of a body that its upstream reads slowly, in
	// bytes; it is set for bodies that are longer.
	sendBuffer = 64 << 10
	// maxHeaderBytes bounds a response header together with the informational (1xx)
	// responses before it.
	maxHeaderBytes = 64 << 10
)

// Request is a request as it is sent to the upstream.
type Request struct {
	Addr   string
	Method string
	// Target is the path and query, as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   holding.Body
	// Repeatable means that the request may use a connection that has been idle for
	// long. Other requests use an idle connection only if its end would have been
	// noticed; see maxIdleNonRepeatable.
	Repeatable bool
	// MaySend reports, once there is a connection, whether the upstream still takes the
	// request. If it is nil, it does.
	MaySend func() bool
	// OwnsResponse tells whether a response belongs to this request.
	OwnsResponse func(status int, h http.Header) Ownership
	// Deadline is when the whole exchange must be over.
	Deadline time.Time
}

// Ownership tells whether a response belongs to a request.
type Ownership int

const (
	// Foreign responses belong to another request.
	Foreign Ownership = iota
	// Owned responses name this request.
	Owned
	// Anonymous responses name no request and are taken for this one's. Their
	// connection carries no other request: a late copy of such a response could not be
	// told from the next one's.
	Anonymous
)

// maxIdleNonRepeatable is how long a connection may have been idle to be used for a
// request that must not run twice: after a reset it would be unknown whether the
// request ran.
const maxIdleNonRepeatable = 300 * time.Millisecond

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	pool   *pool
	memory memory
}

// New returns a client without connections. The bodies that ReadAll has read may take
// up memoryLimit bytes in total until their responses are closed; 0 means no bound.
func New(memoryLimit int64) *Client {
	return &Client{pool: newPool(), memory: memory{limit: memoryLimit, note: func(int64) {}, readers: make(map[*Response]struct{})}}
}

// OnHeld makes note get each change of the total size of these bodies. It is called before the
// first request.
func (c *Client) OnHeld(note func(change int64)) { c.memory.note = note }

// CloseExpired closes the connections whose idle timeout has expired.
func (c *Client) CloseExpired(now time.Time) { c.pool.closeExpired(now) }

// Probe opens a connection to an address and keeps it for a later request. The failure
// tells why there is none.
func (c *Client) Probe(ctx context.Context, addr string) *Failure {
	conn, err := c.pool.dial(ctx, addr)
	if err != nil {
		return &Failure{Kind: core.FailDial, Err: err}
	}
	conn.idleTimeout = defaultIdleTimeout
	c.pool.putIdle(addr, conn)
	return nil
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(addr string) { c.pool.closeIdle(addr) }

// Response is an upstream's response whose header has arrived. Its body is read by
// one goroutine; Exchange.Abort may be called from any.
type Response struct {
	Status int
	Header http.Header
	// Closing means that the upstream accepts no further request on this
	// connection.
	Closing bool

	exchange *Exchange
	body     io.ReadCloser
	// ended means that the body was read to its end, and unframed that only the end of the
	// connection marks it.
	ended, unframed bool
	// held is the number of bytes that ReadAll has read, evicted is not nil if they had to
	// give way, and whole means that the body has been read whole. They are guarded by the
	// client's memory.
	held    int64
	evicted error
	whole   bool
}

// Exchange is one request in flight.
type Exchange struct {
	client *Client
	req    *Request
	cancel context.CancelFunc
	ctx    context.Context

	mu      sync.Mutex
	conn    *conn
	aborted bool
	// broken is the error of the connection that another one than the reader was told of.
	broken error
	// writeResult receives the result of a background write; it is nil if the
	// request is written inline.
	writeResult chan error
	// reusable is false once the connection has carried a response that does not name
	// this request.
	reusable bool
}

// Begin prepares an exchange; Run sends the request.
func (c *Client) Begin(req *Request) *Exchange {
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	return &Exchange{client: c, req: req, ctx: ctx, cancel: cancel, reusable: true}
}

// Abort ends the exchange and closes its connection, so that pending reads and
// writes fail.
func (e *Exchange) Abort() {
	e.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.aborted = true
	if e.conn != nil {
		e.conn.Close()
	}
}

// interrupt closes the connection, so that the reader fails with its own error.
func (e *Exchange) interrupt() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.conn.Close()
	}
}

// AbortIfSilent aborts the exchange unless a part of the response, or its end, is
// waiting to be read. It reports whether it aborted the exchange.
func (e *Exchange) AbortIfSilent() bool {
	e.mu.Lock()
	c := e.conn
	e.mu.Unlock()
	if c == nil {
		e.Abort()
		return true
	}
	idle, err := sockets.CheckIdle(c.Conn)
	if err != nil {
		e.mu.Lock()
		e.broken = err
		e.mu.Unlock()
	}
	if idle {
		e.Abort()
	}
	return idle
}

// attach makes the connection known to Abort. It returns false if the exchange was
// aborted before.
func (e *Exchange) attach(c *conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = c
	return !e.aborted
}

// Run sends the request and waits for the header of its response.
func (e *Exchange) Run() (*Response, *Failure) {
	maxIdle := maxIdleNonRepeatable
	if e.req.Repeatable {
		maxIdle = time.Hour
	}
	c, err := e.client.pool.get(e.ctx, e.req.Addr, maxIdle)
	if err != nil {
		e.cancel()
		return nil, &Failure{Kind: e.dialFailureKind(), Err: err}
	}
	if !e.attach(c) {
		c.Close()
		e.cancel()
		return nil, &Failure{Kind: core.FailCancelled, Err: errAborted}
	}
	if e.req.MaySend != nil && !e.req.MaySend() {
		e.Abort()
		return nil, &Failure{Kind: core.FailDial, Err: errUpstreamLeft}
	}
	if err := c.SetDeadline(e.req.Deadline); err != nil {
		return nil, e.fail(err, false)
	}
	if sent, err := e.write(c); err != nil {
		return nil, e.fail(err, sent)
	}
	resp, err := e.awaitResponse(c)
	if err != nil {
		return nil, e.fail(err, true)
	}
	return resp, nil
}

func (e *Exchange) dialFailureKind() core.Failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.aborted {
		return core.FailCancelled
	}
	return core.FailDial
}

// write sends the request, with a long body in the background. It reports whether
// any byte may have been sent.
func (e *Exchange) write(c *conn) (sent bool, err error) {
	head := e.encodeHead()
	size := e.req.Body.Len()
	if size <= maxInlineBody {
		for _, part := range e.req.Body {
			head = append(head, part...)
		}
		n, err := c.Write(head)
		return n > 0, err
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && size > sendBuffer {
		if err := tcp.SetWriteBuffer(sendBuffer); err != nil {
			return false, errors.Wrap(err, "bound the send buffer")
		}
	}
	e.writeResult = make(chan error, 1)
	go func() {
		// The segments are shared with later attempts; WriteTo consumes the list only.
		parts := append(net.Buffers{head}, e.req.Body...)
		_, err := parts.WriteTo(c.Conn)
		e.writeResult <- err
	}()
	return true, nil
}

// encodeHead returns the request line and the header, with capacity for a short body.
func (e *Exchange) encodeHead() []byte {
	var b bytes.Buffer
	size := e.req.Body.Len()
	b.Grow(512 + min(size, maxInlineBody))
	b.WriteString(e.req.Method + " " + e.req.Target + " HTTP/1.1\r\nHost: " + e.req.Host + "\r\n")
	for name, values := range e.req.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if size > 0 || e.req.Method != http.MethodGet && e.req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// awaitResponse reads up to the header of the response that belongs to this
// request.
func (e *Exchange) awaitResponse(c *conn) (*Response, error) {
	for range maxForeignResponses + 1 {
		c.limiter.setLimit(maxHeaderBytes)
		resp, err := e.readFinalResponse(c)
		if err != nil {
			return nil, err
		}
		if owner := e.req.OwnsResponse(resp.StatusCode, resp.Header); owner != Foreign {
			e.reusable = e.reusable && owner == Owned
			c.limiter.clearLimit()
			return &Response{
				Status: resp.StatusCode, Header: resp.Header, Closing: resp.Close,
				exchange: e, body: resp.Body, unframed: isUnframed(resp),
			}, nil
		}
		e.reusable = false
		c.limiter.clearLimit()
		if _, err := io.CopyN(io.Discard, resp.Body, maxSkippedBody); err != io.EOF {
			return nil, errForeignResponse
		}
	}
	return nil, errForeignResponse
}

// maxStatus is the highest status that a response may have.
const maxStatus = 599

// readFinalResponse reads the header of one response and skips informational (1xx)
// ones.
func (e *Exchange) readFinalResponse(c *conn) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: e.req.Method})
		if err != nil {
			if err == io.ErrUnexpectedEOF && !c.reused {
				err = errors.Wrap(io.ErrUnexpectedEOF, "read response header")
			}
			return nil, err
		}
		switch status := resp.StatusCode; {
		case status < http.StatusContinue || status > maxStatus:
			return nil, errors.Wrapf(errMalformed, "status %03d", status)
		case status >= http.StatusOK:
			return resp, nil
		case resp.Header.Get("Content-Length") != "" || resp.Header.Get("Transfer-Encoding") != "" || len(resp.TransferEncoding) > 0:
			// What follows could be the body or the next response.
			return nil, errors.Wrapf(errMalformed, "status %d with a body", status)
		}
	}
}

// fail ends the exchange after an error.
func (e *Exchange) fail(err error, sent bool) *Failure {
	e.mu.Lock()
	aborted := e.aborted
	e.mu.Unlock()
	e.Abort()
	f := &Failure{Kind: failureKind(err), Sent: sent, Err: err}
	if aborted {
		f.Kind = core.FailCancelled
	}
	if f.Kind == core.FailIdle || f.Kind == core.FailReset {
		// The cause is assumed to have broken the idle connections as well.
		e.client.pool.closeIdle(e.req.Addr)
	}
	return f
}

// idleTimeout returns how long to keep an idle connection: the upstream's announced
// timeout less a margin, or defaultIdleTimeout.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.ParseUint(text, 10, 16); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}
