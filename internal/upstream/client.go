package upstream

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// Options bounds the connections, waits and response headers of a Client.
type Options struct {
	// DialTimeout bounds connection establishment.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxIdlePerUpstream and MaxIdle bound the number of idle connections, per
	// upstream and in total.
	MaxIdlePerUpstream int
	MaxIdle            int
	// MaxHeaderBytes bounds the size of a response header.
	MaxHeaderBytes int64
}

// DefaultOptions returns the options that a router runs with.
func DefaultOptions() Options {
	return Options{
		DialTimeout:        time.Second,
		IdleTimeout:        30 * time.Second,
		MaxIdlePerUpstream: 16,
		MaxIdle:            512,
		MaxHeaderBytes:     64 << 10,
	}
}

// keepAliveInterval is the interval of TCP keep-alive probes.
const keepAliveInterval = 15 * time.Second

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	tracker *connTracker
	// pooled reuses connections; fresh opens one for each request.
	pooled *http.Transport
	fresh  *http.Transport
	// disableGuard lets the transport retry requests by itself, for tests that show
	// that the checks notice it. It is never set outside tests.
	disableGuard bool
}

// New returns a client with the given options.
func New(o Options) *Client {
	c := &Client{tracker: newConnTracker()}
	c.pooled = newTransport(o, c.tracker)
	c.fresh = newTransport(o, c.tracker)
	c.fresh.DisableKeepAlives = true
	return c
}

func newTransport(o Options, tracker *connTracker) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: keepAliveInterval}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if !mayDial(ctx) {
			return nil, errSecondConn
		}
		raw, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return tracker.add(addr, raw), nil
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConns:           o.MaxIdle,
		MaxIdleConnsPerHost:    o.MaxIdlePerUpstream,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: o.MaxHeaderBytes,
		Protocols:              protocols,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Do sends the request at most once and returns when the header of its response has
// arrived. Exactly one of the response and the failure is nil. The caller closes the
// response. If ctx ends or the request is malformed, the attempt fails with
// core.FailCancelled.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &Response{
		client: c, addr: r.Addr, ctx: ctx, cancel: cancel, started: time.Now(),
		guard:    &guard{cancel: cancel, disabled: c.disableGuard},
		watchdog: newWatchdog(r.SilentAfter, func() { cancel(errSilent) }),
	}
	if f := a.send(r); f != nil {
		cancel(errClosed)
		c.sealIdleOnFailure(r.Addr, a.guard, f)
		return nil, f
	}
	if f := a.failureFromHeader(r); f != nil {
		a.bodyDone.Store(true)
		a.Close()
		return nil, f
	}
	a.body = newBody(r, a)
	return a, nil
}

// send passes the request to the transport and waits for the response header.
func (a *Response) send(r *Request) *Failure {
	req, err := newHTTPRequest(a.guard.attach(a.ctx), r)
	if err != nil {
		return &Failure{Kind: core.FailCancelled, Err: err}
	}
	a.watchdog.start()
	resp, err := a.client.transport(r).RoundTrip(req)
	a.watchdog.stop()
	if err != nil {
		return a.failBeforeHeader(err)
	}
	a.resp, a.Status, a.Header, a.Leaving = resp, resp.StatusCode, endToEnd(resp.Header), isLeaving(resp.Header)
	return nil
}

// transport returns the transport that the request needs: fresh if it must have a
// new connection, else pooled.
func (c *Client) transport(r *Request) *http.Transport {
	if r.NewConn || r.Resume != nil {
		return c.fresh
	}
	return c.pooled
}

// sealIdleOnFailure seals the idle connections to an address if the upstream was
// silent or a reused connection broke: the cause is assumed to have broken the idle
// ones as well.
func (c *Client) sealIdleOnFailure(addr string, g *guard, f *Failure) {
	_, reused := g.connected()
	if f.Kind == core.FailIdle || f.Kind == core.FailReset && reused {
		c.tracker.sealIdle(addr)
	}
}

// failBeforeHeader turns an error of the transport into the attempt's Failure. It
// stops the request first, so that no byte is written after Sent was determined.
func (a *Response) failBeforeHeader(err error) *Failure {
	f := &Failure{Kind: core.FailReset, Sent: a.guard.abort(), Err: err}
	connected, _ := a.guard.connected()
	kind, cancelled := contextFailureKind(a.ctx)
	switch {
	case cancelled:
		f.Kind = kind
	case !connected && isDialError(err):
		f.Kind = core.FailDial
	case !connected:
		// The transport found the request malformed.
		f.Kind = core.FailCancelled
	}
	return f
}

// isDialError reports whether a connection could not be made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// contextFailureKind returns the failure kind if the attempt ended because the
// upstream was silent or because it was cancelled. A refused second connection
// counts as neither.
func contextFailureKind(ctx context.Context) (core.Failure, bool) {
	switch cause := context.Cause(ctx); {
	case cause == nil || errors.Is(cause, errSecondConn):
		return 0, false
	case errors.Is(cause, errSilent):
		return core.FailIdle, true
	default:
		return core.FailCancelled, true
	}
}

// maxStatus is the highest status that a response may have.
const maxStatus = 599

// failureFromHeader returns a Failure if the response is not an answer of the
// service: its status is none of a final answer, the upstream did not run the request,
// an engine reported a server error, or the stream cannot be continued. Otherwise it
// returns nil.
func (a *Response) failureFromHeader(r *Request) *Failure {
	f := &Failure{
		Sent: true, Status: a.Status, Leaving: a.Leaving, RetryAfter: retryAfter(a.Header),
		Err: errors.Errorf("upstream answered with status %d", a.Status),
	}
	switch {
	case a.Status < http.StatusOK || a.Status > maxStatus:
		f.Kind = core.FailStatus
	case isNotRun(a.resp):
		f.Kind, f.Sent = core.FailRefused, false
	case r.Service == config.Model && a.Status >= http.StatusInternalServerError:
		f.Kind = core.FailStatus
	case r.Resume != nil && a.Status != http.StatusOK:
		f.Kind = core.FailStatus
	default:
		return nil
	}
	return f
}

// retryAfter parses Retry-After if it is given in seconds; otherwise it returns 0.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// CancelStream asks an engine to drop a stream. It is best effort: the engine may
// have finished the stream or never have received it.
func (c *Client) CancelStream(ctx context.Context, addr, streamID string) error {
	r := &Request{Addr: addr, Method: http.MethodDelete, Path: "/v1/streams/" + streamID, Attempt: 1, SilentAfter: cancelTimeout}
	a, f := c.Do(ctx, r)
	if f != nil {
		return f
	}
	a.Close()
	if a.Status >= http.StatusBadRequest {
		return errors.Errorf("engine answered the stream cancellation with status %d", a.Status)
	}
	return nil
}

// cancelTimeout bounds the wait for the response to a stream cancellation.
const cancelTimeout = time.Second
