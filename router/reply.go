package router

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/upstream"
)

const (
	// writeTimeout bounds each write to a caller that reads slowly.
	writeTimeout = 15 * time.Second
	// maxHeldBytes bounds the part of an answer that is buffered so that its outcome
	// can be sent in the header.
	maxHeldBytes = 256 << 10
	// maxStoredBytes is the size of the largest answer that is stored for replay.
	maxStoredBytes = 64 << 10
)

// replyWriter writes the answer of one call. Event streams are forwarded as they
// arrive, with the outcome in a trailer. Other answers are buffered until they are
// complete and carry the outcome in the header; one that exceeds maxHeldBytes is
// forwarded like a stream from there on.
type replyWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	c          *call
	status     int
	header     http.Header
	streaming  bool
	// headerWritten is set once the header was written, or discarded.
	headerWritten bool
	buffered      bytes.Buffer
	bodyBytes     int
	discarding    bool
}

// storedAnswer is the answer of an at-most-once request, as stored for replay.
type storedAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

func newReplyWriter(w http.ResponseWriter, c *call) *replyWriter {
	return &replyWriter{w: w, controller: http.NewResponseController(w), c: c}
}

// discard stops writing to the caller, which has disconnected.
func (rw *replyWriter) discard() { rw.discarding = true }

// begin sets the status and header of a committed answer; the header of an event
// stream is written at once.
func (rw *replyWriter) begin(a *upstream.Response) {
	if rw.header != nil {
		return // a resumed or continued stream keeps its first header
	}
	rw.status, rw.header = a.Status, a.Header
	rw.streaming = strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
	if rw.streaming {
		rw.writeHeader(true)
	}
}

// writeHeader writes the header. If trailer is set it announces the outcome as a
// trailer; otherwise the buffered answer is complete.
func (rw *replyWriter) writeHeader(trailer bool) {
	rw.headerWritten = true
	if rw.discarding {
		return
	}
	h := rw.w.Header()
	for name, values := range rw.header {
		if name != "Trailer" && name != "Content-Length" {
			h[name] = values
		}
	}
	h.Del(HeaderOutcome)
	if trailer {
		h.Add("Trailer", HeaderOutcome)
		h.Add("Trailer", HeaderReason)
	} else {
		h.Set(HeaderOutcome, string(core.Complete))
		h.Set("Content-Length", strconv.Itoa(rw.buffered.Len()))
	}
	rw.w.WriteHeader(rw.status)
}

// write forwards a part of the answer, or buffers it while the header is held back.
func (rw *replyWriter) write(data []byte) error {
	rw.bodyBytes += len(data)
	if !rw.headerWritten {
		rw.buffered.Write(data)
		if rw.buffered.Len() <= maxHeldBytes {
			return nil
		}
		rw.writeHeader(true)
		data = rw.buffered.Bytes()
	}
	if rw.discarding || len(data) == 0 {
		return nil
	}
	// Without a deadline, a caller that stops reading would occupy the upstream's
	// slot indefinitely.
	_ = rw.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := rw.w.Write(data); err != nil {
		return err
	}
	return rw.controller.Flush()
}

// finish ends a complete answer and sets its outcome.
func (rw *replyWriter) finish() {
	if !rw.headerWritten {
		rw.writeHeader(false)
		if !rw.discarding {
			_, _ = rw.w.Write(rw.buffered.Bytes())
		}
		return
	}
	if !rw.discarding {
		rw.w.Header().Set(HeaderOutcome, string(core.Complete))
	}
}

// encodeForReplay returns the answer in the form stored for replay. It returns nil if
// the request is not at-most-once or the answer is too large.
func (rw *replyWriter) encodeForReplay() []byte {
	if !rw.c.atMostOnce || rw.bodyBytes > maxStoredBytes {
		return nil
	}
	data, err := json.Marshal(storedAnswer{Status: rw.status, Header: rw.header, Body: rw.buffered.Bytes()})
	if err != nil {
		return nil
	}
	return data
}

// replay writes the stored answer of an earlier request with the same idempotency key.
func (rw *replyWriter) replay(e core.Replay) {
	var stored storedAnswer
	if err := json.Unmarshal(e.Answer, &stored); err != nil || stored.Status == 0 {
		// The operation ran, but its stored answer is missing or cannot be decoded.
		rw.refuse(core.Refuse{Status: http.StatusConflict, Outcome: core.MayHaveRun, Reason: core.ReasonClaimUnknown})
		return
	}
	if rw.discarding {
		return
	}
	h := rw.w.Header()
	for name, values := range stored.Header {
		h[name] = values
	}
	h.Set(HeaderOutcome, string(core.Complete))
	h.Set("Jujubeford-Replayed", "true")
	h.Set("Content-Length", strconv.Itoa(len(stored.Body)))
	rw.w.WriteHeader(stored.Status)
	_, _ = rw.w.Write(stored.Body)
}

// refuse writes a refusal; one of a poison request carries its fingerprint.
func (rw *replyWriter) refuse(e core.Refuse) {
	if rw.discarding {
		return
	}
	if e.Reason == core.ReasonQuarantined {
		rw.w.Header().Set(HeaderFingerprint, hex.EncodeToString(rw.c.fingerprint[:]))
	}
	writeRefusal(rw.w, e)
}

// abort ends an answer that cannot be completed: with an error response if nothing was
// written yet, with an error event in an event stream, and otherwise by closing the
// connection.
func (rw *replyWriter) abort(e core.Abort) {
	switch {
	case rw.discarding:
	case !rw.headerWritten:
		writeRefusal(rw.w, core.Refuse{Status: http.StatusBadGateway, Outcome: e.Outcome, Reason: e.Reason})
	case rw.streaming:
		fmt.Fprintf(rw.w, "data: %s\n\n", errorBody(e.Outcome, e.Reason))
		rw.w.Header().Set(HeaderOutcome, string(e.Outcome))
		rw.w.Header().Set(HeaderReason, string(e.Reason))
	default:
		panic(http.ErrAbortHandler)
	}
}

// writeRefusal writes a refusal as the final answer, with Retry-After if the caller may
// retry.
func writeRefusal(w http.ResponseWriter, e core.Refuse) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(e.Outcome))
	h.Set(HeaderReason, string(e.Reason))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(append(errorBody(e.Outcome, e.Reason), '\n'))
}

// ceilSeconds rounds up to whole seconds.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// errorBody returns an error body in the format of the OpenAI API.
func errorBody(outcome core.Outcome, reason core.Reason) []byte {
	body, _ := json.Marshal(map[string]any{"error": struct {
		Message string       `json:"message"`
		Type    string       `json:"type"`
		Code    core.Reason  `json:"code"`
		Outcome core.Outcome `json:"outcome"`
	}{
		Message: fmt.Sprintf("%s (%s)", reason, outcome), Type: "jujubeford_error", Code: reason, Outcome: outcome,
	}})
	return body
}
