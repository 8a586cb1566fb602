package upstream

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Bounds for reading the rest of a body in Close, after the end mark of a stream or
// the header of a failed attempt, so that the connection can be reused.
const (
	drainTimeout  = 50 * time.Millisecond
	maxDrainBytes = 4 << 10
)

// Chunk is a part of a response body.
type Chunk struct {
	// Data is forwarded unchanged. It is valid until the following call of Next.
	Data []byte
	// Tokens is the number of tokens in Data, for model services.
	Tokens int
	// Offset is the stream's offset after this chunk, 0 if the response is not a
	// stream.
	Offset uint64
	// End means that the response is known to be complete with this chunk.
	End bool
	// Cost is the final cost, set together with End: tokens for model services,
	// milliseconds for plain ones.
	Cost uint64
}

// Response is an upstream's response whose header has arrived. Only Close is safe for
// concurrent use.
type Response struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Leaving means that the response carries HeaderLeaving.
	Leaving bool

	client   *Client
	addr     string
	resp     *http.Response
	ctx      context.Context
	cancel   context.CancelCauseFunc
	guard    *guard
	watchdog *watchdog
	started  time.Time
	body     body
	// bodyDone means that the rest of the body is not needed: the last chunk was
	// returned, or the header already decided that the attempt failed.
	bodyDone atomic.Bool
	// failed is the failure that ended the response; Next keeps returning it.
	failed *Failure
}

// body splits a response body into chunks. Its errors become the causes of a
// Failure.
type body interface {
	next() (Chunk, error)
	// streamID returns the id of the stream, empty if there is none.
	streamID() string
}

// StreamID returns the id of the stream in the response. It is empty if the
// response is not a stream or nothing has named the stream yet.
func (a *Response) StreamID() string { return a.body.streamID() }

// Next returns the next chunk. There are no more after a chunk with End or a
// failure. If ctx ends, the attempt fails with core.FailCancelled.
func (a *Response) Next(ctx context.Context) (Chunk, *Failure) {
	if a.failed != nil {
		return Chunk{}, a.failed
	}
	detach := context.AfterFunc(ctx, func() { a.cancel(errClosed) })
	defer detach()
	a.watchdog.start()
	c, err := a.body.next()
	a.watchdog.stop()
	if err != nil {
		a.failed = a.failAfterHeader(err)
		return Chunk{}, a.failed
	}
	if c.End {
		a.bodyDone.Store(true)
	}
	return c, nil
}

// failAfterHeader turns an error of reading the body into the attempt's Failure and
// breaks the connection.
func (a *Response) failAfterHeader(err error) *Failure {
	f := &Failure{Kind: bodyFailureKind(err), Sent: true, Status: a.Status, Leaving: a.Leaving, Err: err}
	if kind, ok := contextFailureKind(a.ctx); ok {
		f.Kind = kind
	}
	a.abort()
	a.client.sealIdleOnFailure(a.addr, a.guard, f)
	return f
}

// read reads from the body and restarts the watchdog whenever data arrives.
func (a *Response) read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if n > 0 {
		a.watchdog.start()
	}
	return n, err
}

// Close ends the response. It breaks the connection unless the response is complete
// and its body can be drained.
func (a *Response) Close() {
	if a.bodyDone.Load() && a.drain() {
		a.resp.Body.Close()
		a.guard.release()
		a.cancel(errClosed)
		return
	}
	a.abort()
}

// drain reads the rest of the body and reports whether it ended within drainTimeout
// and maxDrainBytes.
func (a *Response) drain() bool {
	timer := time.AfterFunc(drainTimeout, func() { a.cancel(errClosed) })
	defer timer.Stop()
	_, err := io.CopyN(io.Discard, a.resp.Body, maxDrainBytes)
	return err == io.EOF
}

// abort cancels the request and breaks its connection.
func (a *Response) abort() {
	a.cancel(errClosed)
	a.guard.abort()
	a.resp.Body.Close()
}

// serviceTime returns how long the request has been running, in milliseconds, at
// least 1.
func (a *Response) serviceTime() uint64 {
	return max(1, uint64(time.Since(a.started).Milliseconds()))
}

// bodyFailureKind maps an error of reading a body to a failure kind.
func bodyFailureKind(err error) core.Failure {
	if isTruncated(err) {
		return core.FailTruncated
	}
	return core.FailReset
}
