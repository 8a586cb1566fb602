package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/sockets"
)

const (
	// maxInlineBody is the size up to which a body is written before the answer is
	// read, in bytes; a longer one is written meanwhile, since an upstream may
	// answer before it has read it.
	maxInlineBody = 2 << 10
	// maxForeignResponses is how many answers to other requests are skipped.
	maxForeignResponses = 2
	// maxSkippedBody bounds the body of an answer that is skipped, in bytes, and skipTime
	// how long its end is waited for: a new connection takes less.
	maxSkippedBody = 1 << 20
	skipTimeout    = 200 * time.Millisecond
	// maxHeaderBytes bounds the header of an answer, with those that only announce it.
	maxHeaderBytes = 64 << 10
)

// Request is a request as it goes to the upstream.
type Request struct {
	Addr   string
	Method string
	// Target is the path and query, as the caller sent it.
	Target string
	Host   string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	// Repeatable requests may go over a connection that has been idle for long;
	// others only over one whose end would have been seen.
	Repeatable bool
	// Mine reports whether an answer belongs to this request.
	Mine func(status int, h http.Header) bool
	// Deadline is when the whole exchange has to be over.
	Deadline time.Time
}

// maxIdleNonRepeatable is how long a connection may have been idle for a request that
// must not run twice: a reset would leave it open whether it ran.
const maxIdleNonRepeatable = 300 * time.Millisecond

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	pool *pool
	// memoryLimit bounds the bodies that are held whole, in bytes, 0 if they are not
	// bounded, and held is their size.
	memoryLimit int64
	held        atomic.Int64
}

// New returns a client without connections. The bodies that All returns may have a
// number of bytes together until their answers are closed; 0 for any.
func New(memoryLimit int64) *Client { return &Client{pool: newPool(), memoryLimit: memoryLimit} }

// Sweep closes connections that have been idle for too long.
func (c *Client) Sweep(now time.Time) { c.pool.closeExpired(now) }

// Forget closes the idle connections to an address.
func (c *Client) Forget(addr string) { c.pool.closeIdle(addr) }

// Answer is an upstream's answer whose header has arrived. Its body is read by
// one goroutine; Abort may be called from any.
type Answer struct {
	Status int
	Header http.Header
	// Closing means that the upstream wants no further request on this
	// connection.
	Closing bool

	exchange *Exchange
	body     io.ReadCloser
	ended    bool
	// held is what All has read, in bytes.
	held int64
}

// Exchange is one request under way.
type Exchange struct {
	client *Client
	req    *Request
	cancel context.CancelFunc
	ctx    context.Context

	mu      sync.Mutex
	conn    *conn
	aborted bool
	// writeResult reports the end of writing, nil if it was done inline.
	writeResult chan error
	reusable    bool
}

// Begin prepares an exchange. Run sends the request.
func (c *Client) Begin(req *Request) *Exchange {
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	return &Exchange{client: c, req: req, ctx: ctx, cancel: cancel, reusable: true}
}

// Abort breaks the exchange off; what is read or written fails.
func (e *Exchange) Abort() {
	e.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.aborted = true
	if e.conn != nil {
		e.conn.Close()
	}
}

// AbortIfSilent is Abort unless part of the answer waits to be read, or its end. It
// reports whether it broke the exchange off.
func (e *Exchange) AbortIfSilent() bool {
	e.mu.Lock()
	c := e.conn
	e.mu.Unlock()
	if c != nil && !sockets.Quiet(c.Conn) {
		return false
	}
	e.Abort()
	return true
}

// attach makes the connection known to Abort; false means that it came first.
func (e *Exchange) attach(c *conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = c
	return !e.aborted
}

// Run sends the request and waits for the header of its answer.
func (e *Exchange) Run() (*Answer, *Failure) {
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
	if err := c.SetDeadline(e.req.Deadline); err != nil {
		return nil, e.fail(err, false)
	}
	if sent, err := e.write(c); err != nil {
		return nil, e.fail(err, sent)
	}
	a, err := e.awaitResponse(c)
	if err != nil {
		return nil, e.fail(err, true)
	}
	return a, nil
}

func (e *Exchange) dialFailureKind() core.Failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.aborted {
		return core.FailCancelled
	}
	return core.FailDial
}

// write sends the request, long bodies in the background. It reports whether any
// byte may have gone out.
func (e *Exchange) write(c *conn) (sent bool, err error) {
	head := e.encodeHead()
	if len(e.req.Body) <= maxInlineBody {
		n, err := c.Write(append(head, e.req.Body...))
		return n > 0, err
	}
	e.writeResult = make(chan error, 1)
	go func() {
		_, err := c.Write(append(head, e.req.Body...))
		e.writeResult <- err
	}()
	return true, nil
}

// encodeHead is the request line and the header.
func (e *Exchange) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(e.req.Body))
	b.WriteString(e.req.Method + " " + e.req.Target + " HTTP/1.1\r\nHost: " + e.req.Host + "\r\n")
	for name, values := range e.req.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(e.req.Body) > 0 || e.req.Method != http.MethodGet && e.req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(e.req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// awaitResponse reads up to the header of this request's own answer.
func (e *Exchange) awaitResponse(c *conn) (*Answer, error) {
	for range maxForeignResponses + 1 {
		c.limiter.setLimit(maxHeaderBytes)
		resp, err := e.readFinalResponse(c)
		if err != nil {
			return nil, err
		}
		if e.req.Mine(resp.StatusCode, resp.Header) {
			c.limiter.clearLimit()
			return &Answer{
				Status: resp.StatusCode, Header: resp.Header, Closing: resp.Close,
				exchange: e, body: resp.Body,
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

// readFinalResponse reads one answer, without those that only announce another.
func (e *Exchange) readFinalResponse(c *conn) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: e.req.Method})
		if err != nil {
			if err == io.ErrUnexpectedEOF && !c.reused {
				err = errors.Wrap(io.ErrUnexpectedEOF, "read header")
			}
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
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
	if f.Kind == core.FailSilent || f.Kind == core.FailReset {
		// What broke this connection has broken the idle ones as well.
		e.client.pool.closeIdle(e.req.Addr)
	}
	return f
}

// Read reads the body. io.EOF means that the answer is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// memoryReader counts what it reads as held in memory.
type memoryReader struct{ *Answer }

// Read implements io.Reader.
func (r memoryReader) Read(p []byte) (int, error) {
	n, err := r.Answer.Read(p)
	c := r.exchange.client
	r.held += int64(n)
	if total := c.held.Add(int64(n)); err == nil && c.memoryLimit > 0 && total > c.memoryLimit {
		err = errMemoryLimit
	}
	return n, err
}

// All reads the whole body, of at most limit bytes.
func (a *Answer) All(limit int64) ([]byte, *Failure) {
	body, err := io.ReadAll(io.LimitReader(memoryReader{a}, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errBodyTooLarge
	}
	if err == nil && !a.ended {
		err = errBodyTruncated
	}
	if err != nil {
		return nil, a.Fail(err)
	}
	return body, nil
}

// Discard skips the body of an answer that is not needed. An error means that its end
// has not come; the connection is then closed with the answer.
func (a *Answer) Discard() error {
	e := a.exchange
	e.mu.Lock()
	c := e.conn
	e.mu.Unlock()
	if c == nil {
		return errAborted
	}
	if deadline := time.Now().Add(skipTimeout); deadline.Before(e.req.Deadline) {
		if err := c.SetReadDeadline(deadline); err != nil {
			return errors.Wrap(err, "discard")
		}
	}
	if _, err := io.CopyN(io.Discard, a, maxSkippedBody); err != io.EOF {
		return errors.Wrap(errBodyTruncated, "discard")
	}
	return nil
}

// Fail ends the exchange after an error of Read.
func (a *Answer) Fail(err error) *Failure { return a.exchange.fail(err, true) }

// Close ends the exchange; the connection is kept if it may be used again.
func (a *Answer) Close() {
	e := a.exchange
	e.client.held.Add(-a.held)
	a.held = 0
	if !a.ended || a.Closing || !e.reusable || !e.requestWritten() {
		e.Abort()
		return
	}
	e.mu.Lock()
	c, aborted := e.conn, e.aborted
	e.conn = nil
	e.mu.Unlock()
	e.cancel()
	if aborted || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.idleTimeout = idleTimeout(a.Header)
	e.client.pool.putIdle(e.req.Addr, c)
}

// requestWritten reports whether the upstream was given the whole request.
func (e *Exchange) requestWritten() bool {
	if e.writeResult == nil {
		return true
	}
	select {
	case err := <-e.writeResult:
		return err == nil
	default:
		return false
	}
}

// idleTimeout is how long the upstream keeps an idle connection, less a margin.
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
