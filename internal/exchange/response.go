package exchange

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/holding"
)

// Read reads the body. io.EOF means that the response is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF && r.unframed && !r.ended {
		if broken := r.exchange.connectionError(); broken != nil {
			return n, broken
		}
	}
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// isUnframed reports whether only the end of the connection marks the end of a response's body.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// connectionError returns the error with which the connection ended, nil if it ended in order. The
// system tells of a reset once, and the reader sees an ordinary end if the writer of the request's
// body was told. While that is being written the outcome is not known yet.
func (e *Exchange) connectionError() error {
	if e.writeResult != nil {
		err := <-e.writeResult
		e.writeResult <- err
		if err != nil {
			return errors.Wrap(err, "write the request, whose response has no length")
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken
}

// memoryReader counts what it reads towards the client's memory limit.
type memoryReader struct{ *Response }

// Read implements io.Reader.
func (r memoryReader) Read(p []byte) (int, error) {
	n, err := r.Response.Read(p)
	if evicted := r.exchange.client.memory.take(r.Response, int64(n)); evicted != nil && (n > 0 || err != io.EOF) {
		err = evicted
	}
	return n, err
}

// addr is the address of the upstream.
func (r *Response) addr() string { return r.exchange.req.Addr }

// ReadAll reads the whole body, which may have at most limit bytes.
func (r *Response) ReadAll(limit int64) (holding.Body, *Failure) {
	var body holding.Body
	err := body.Fill(memoryReader{r}, limit+1)
	switch {
	case err == nil:
		err = errBodyTooLarge
	case err == io.EOF && int64(body.Len()) > limit:
		err = errBodyTooLarge
	case err == io.EOF && !r.ended:
		err = errBodyTruncated
	case err == io.EOF:
		r.exchange.client.memory.finish(r)
		return body, nil
	}
	return nil, r.Fail(err)
}

// Discard reads and drops the body of a response that is not needed. An error means
// that the end of the body did not arrive within the bounds; Close then closes the
// connection.
func (r *Response) Discard() error {
	e := r.exchange
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
	if _, err := io.CopyN(io.Discard, r, maxSkippedBody); err != io.EOF {
		return errors.Wrap(errBodyTruncated, "discard")
	}
	return nil
}

// Fail ends the exchange after an error of Read.
func (r *Response) Fail(err error) *Failure { return r.exchange.fail(err, true) }

// Close ends the exchange. The connection is kept for another request if it can be
// reused.
func (r *Response) Close() {
	e := r.exchange
	evicted := e.client.memory.release(r)
	if evicted || !r.ended || r.Closing || !e.reusable || !e.requestWritten() {
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
	c.idleTimeout = idleTimeout(r.Header)
	e.client.pool.putIdle(e.req.Addr, c)
}

// requestWritten reports whether the whole request has been written.
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
