package upstream

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// What Close reads on after the end mark of a stream or the header of a refusal,
// so that the connection can be used again.
const (
	drainTimeout  = 50 * time.Millisecond
	maxDrainBytes = 4 << 10
)

// Chunk is a part of an answer.
type Chunk struct {
	// Data is to be forwarded as it is. It is valid until the following Next.
	Data []byte
	// Tokens is how many tokens Data holds, for model services.
	Tokens int
	// Offset is the stream's offset after this chunk, 0 outside streams.
	Offset uint64
	// End means that the answer is proven whole with this chunk.
	End bool
	// Cost is the final cost in the service's unit, with End: tokens for model
	// services, milliseconds for plain ones.
	Cost uint64
}

// Answer is an upstream's answer whose header has arrived. It is not safe for
// concurrent use, but for Close.
type Answer struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Leaving means that the upstream said it is leaving.
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
	// bodyDone means that nothing more is wanted of the body.
	bodyDone atomic.Bool
	failed   *Failure
}

// body cuts an answer's body into chunks; its errors are causes of a Failure.
type body interface {
	next() (Chunk, error)
	// streamID names the stream, empty if there is none.
	streamID() string
}

// StreamID names the stream that the answer is, empty if it is none or its
// first chunk has not arrived.
func (a *Answer) StreamID() string { return a.body.streamID() }

// Next returns the next chunk. After a chunk with End or a failure there are no
// more. When ctx ends the attempt fails as cancelled.
func (a *Answer) Next(ctx context.Context) (Chunk, *Failure) {
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

// failAfterHeader classifies an error after the header.
func (a *Answer) failAfterHeader(err error) *Failure {
	f := &Failure{Kind: bodyFailureKind(err), Sent: true, Status: a.Status, Leaving: a.Leaving, Err: err}
	if kind, ok := contextFailureKind(a.ctx); ok {
		f.Kind = kind
	}
	a.abort()
	a.client.sealIdleOnFailure(a.addr, a.guard, f)
	return f
}

// read reads the body and counts each piece as a sign of life.
func (a *Answer) read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if n > 0 {
		a.watchdog.start()
	}
	return n, err
}

// Close ends the answer. Before the end was proven it breaks the connection.
func (a *Answer) Close() {
	if a.bodyDone.Load() && a.drain() {
		a.resp.Body.Close()
		a.guard.release()
		a.cancel(errClosed)
		return
	}
	a.abort()
}

// drain reports whether the body ends within the bounds.
func (a *Answer) drain() bool {
	timer := time.AfterFunc(drainTimeout, func() { a.cancel(errClosed) })
	defer timer.Stop()
	_, err := io.CopyN(io.Discard, a.resp.Body, maxDrainBytes)
	return err == io.EOF
}

// abort breaks the connection.
func (a *Answer) abort() {
	a.cancel(errClosed)
	a.guard.abort()
	a.resp.Body.Close()
}

// serviceTime is how long the request has run, in milliseconds, at least 1.
func (a *Answer) serviceTime() uint64 {
	return max(1, uint64(time.Since(a.started).Milliseconds()))
}

// bodyFailureKind maps an error of a body to a failure.
func bodyFailureKind(err error) core.Failure {
	if isTruncated(err) {
		return core.FailTruncated
	}
	return core.FailReset
}
