package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/exchange"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/resumption"
)

var (
	errNotRun       = errors.New("the upstream did not run the request")
	errNotContinued = errors.New("the answer does not continue the stream: its status or its type differs")
	errEventSize    = errors.New("an event, or the events since the last id, exceed the size limit")
	errCallerWrite  = errors.New("writing to the caller failed")
)

func statusError(status int) error {
	return errors.Errorf("the upstream answered with status %d", status)
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// streamBuffer is the size of the buffer with which a stream is read, in bytes.
const streamBuffer = 4 << 10

// forwardStream forwards the complete events of a stream as they arrive. An incomplete
// event is not forwarded, nor is one that the position does not allow, so that another
// upstream can continue after the last event that the caller has.
func (g *Gateway) forwardStream(w http.ResponseWriter, c *call, e dispatch.Send, a *exchange.Response, sentAt time.Time) *exchange.Failure {
	c.conn.keepAhead()
	var pending []byte
	buf := make([]byte, streamBuffer)
	first := true
	c.pace = eventPace{}
	if c.wroteHeader {
		c.position = c.position.Continued()
	}
	for {
		n, err := a.Read(buf)
		pending = append(pending, buf[:n]...)
		next, sound, invalid := c.position.Advance(pending[:resumption.CompleteSize(pending)])
		if next.Unnumbered() > eventBytes {
			return a.Fail(errEventSize)
		}
		if sound > 0 {
			c.pace.add(time.Now(), pending[:sound])
			if first {
				first = false
				g.step(dispatch.FirstByteReceived{ID: c.key, Attempt: e.Attempt})
				g.metrics.recordFirstByte(c.request.Route.Kind.String(), time.Since(sentAt))
			}
			if failed := c.forwardEvents(w, a, pending[:sound]); failed != nil {
				// How much of the events the caller has is unknown.
				c.position = resumption.Position{}
				return a.Fail(failed)
			}
			c.position = next
			pending = append(pending[:0], pending[sound:]...)
		}
		switch {
		case invalid != nil:
			return a.Fail(invalid)
		case err == io.EOF && len(bytes.TrimSpace(pending)) == 0:
			c.writeHeader(w, a)
			return nil
		case err == io.EOF:
			return &exchange.Failure{Kind: core.FailTruncated, Sent: true, Err: io.ErrUnexpectedEOF}
		case err != nil:
			return a.Fail(err)
		case len(pending) > eventBytes:
			return a.Fail(errEventSize)
		}
	}
}

// writeHeader writes the header of a stream: that of the first upstream whose events
// are forwarded.
func (c *call) writeHeader(w http.ResponseWriter, a *exchange.Response) {
	if c.wroteHeader {
		return
	}
	c.wroteHeader, c.streamStatus, c.streamType = true, a.Status, a.Header.Get("Content-Type")
	copyHeader(w.Header(), a.Header)
	w.WriteHeader(a.Status)
}

// continuedBy reports whether an answer may continue the stream that the caller has the
// beginning of: it has the same status, and its type, if it names one, is that of the
// beginning or that of a stream of events.
func (c *call) continuedBy(a *exchange.Response) bool {
	got := a.Header.Get("Content-Type")
	mediaType, _, _ := strings.Cut(got, ";")
	return a.Status == c.streamStatus && (got == "" || got == c.streamType || strings.EqualFold(strings.TrimSpace(mediaType), eventStreamType))
}

// forwardEvents writes complete events to the caller.
func (c *call) forwardEvents(w http.ResponseWriter, a *exchange.Response, events []byte) error {
	c.writeHeader(w, a)
	c.recordChunk(time.Now())
	if _, err := w.Write(events); err != nil {
		logs.Info("caller-write", "Gateway: writing the answer to the caller failed.", "id", c.caller.ID, "err", err)
		return errCallerWrite
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		logs.Info("caller-write", "Gateway: writing the answer to the caller failed.", "id", c.caller.ID, "err", err)
		return errCallerWrite
	}
	return nil
}

// copyHeader copies the end-to-end headers of an answer.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !exchange.HopByHop(name) {
			to[name] = values
		}
	}
	if from.Get("Content-Type") == "" {
		// Otherwise net/http would guess a type that the upstream did not send.
		to["Content-Type"] = nil
	}
}
