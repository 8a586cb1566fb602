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
	// writeTimeout is how long a caller may take to read what was sent.
	writeTimeout = 15 * time.Second
	// maxHeldBytes is how much of an answer is held back so that its outcome can
	// stand in the header, in bytes.
	maxHeldBytes = 256 << 10
	// maxStoredBytes is the largest answer that is kept to be replayed, in bytes.
	maxStoredBytes = 64 << 10
)

// replyWriter writes one call's answer. Streams are forwarded as they come, with the
// outcome in a trailer; other answers are held until their end is proven, with
// the outcome in the header, unless they grow too large.
type replyWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	c          *call
	status     int
	header     http.Header
	streaming  bool
	// headerWritten means that the header was written.
	headerWritten bool
	buffered      bytes.Buffer
	bodyBytes     int
	discarding    bool
}

// storedAnswer is the kept answer of work that must run at most once.
type storedAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

func newReplyWriter(w http.ResponseWriter, c *call) *replyWriter {
	return &replyWriter{w: w, controller: http.NewResponseController(w), c: c}
}

// discard stops writing to the caller, who has gone.
func (o *replyWriter) discard() { o.discarding = true }

// begin takes the header of a committed answer.
func (o *replyWriter) begin(a *upstream.Answer) {
	if o.header != nil {
		return // a resumed stream goes on under the first header
	}
	o.status, o.header = a.Status, a.Header
	o.streaming = strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
	if o.streaming {
		o.writeHeader(true)
	}
}

// writeHeader writes the header; trailer announces that the outcome comes last.
func (o *replyWriter) writeHeader(trailer bool) {
	o.headerWritten = true
	if o.discarding {
		return
	}
	h := o.w.Header()
	for name, values := range o.header {
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
		h.Set("Content-Length", strconv.Itoa(o.buffered.Len()))
	}
	o.w.WriteHeader(o.status)
}

func (o *replyWriter) write(data []byte) error {
	o.bodyBytes += len(data)
	if !o.headerWritten {
		o.buffered.Write(data)
		if o.buffered.Len() <= maxHeldBytes {
			return nil
		}
		o.writeHeader(true)
		data = o.buffered.Bytes()
	}
	if o.discarding || len(data) == 0 {
		return nil
	}
	// A caller that stops reading must not hold an upstream's slot for ever.
	_ = o.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := o.w.Write(data); err != nil {
		return err
	}
	return o.controller.Flush()
}

// finish finishes a whole answer.
func (o *replyWriter) finish() {
	if !o.headerWritten {
		o.writeHeader(false)
		if !o.discarding {
			_, _ = o.w.Write(o.buffered.Bytes())
		}
		return
	}
	if !o.discarding {
		o.w.Header().Set(HeaderOutcome, string(core.Complete))
	}
}

// encodeForReplay is the answer to keep for a replay, nil if there is none to keep.
func (o *replyWriter) encodeForReplay() []byte {
	if !o.c.atMostOnce || o.bodyBytes > maxStoredBytes {
		return nil
	}
	data, err := json.Marshal(storedAnswer{Status: o.status, Header: o.header, Body: o.buffered.Bytes()})
	if err != nil {
		return nil
	}
	return data
}

func (o *replyWriter) replay(e core.Replay) {
	var stored storedAnswer
	if err := json.Unmarshal(e.Answer, &stored); err != nil || stored.Status == 0 {
		// The operation ran, but its answer cannot be read any more.
		o.refuse(core.Refuse{Status: http.StatusConflict, Outcome: core.MayHaveRun, Reason: core.ReasonClaimUnknown})
		return
	}
	if o.discarding {
		return
	}
	h := o.w.Header()
	for name, values := range stored.Header {
		h[name] = values
	}
	h.Set(HeaderOutcome, string(core.Complete))
	h.Set("Jujubeford-Replayed", "true")
	h.Set("Content-Length", strconv.Itoa(len(stored.Body)))
	o.w.WriteHeader(stored.Status)
	_, _ = o.w.Write(stored.Body)
}

func (o *replyWriter) refuse(e core.Refuse) {
	if o.discarding {
		return
	}
	if e.Reason == core.ReasonPoison {
		o.w.Header().Set(HeaderFingerprint, hex.EncodeToString(o.c.fingerprint[:]))
	}
	writeRefusal(o.w, e)
}

// abort ends an answer that cannot be completed: as an error event in a stream,
// as a proper error if nothing was written, and else by breaking the connection.
func (o *replyWriter) abort(e core.Abort) {
	switch {
	case o.discarding:
	case !o.headerWritten:
		writeRefusal(o.w, core.Refuse{Status: http.StatusBadGateway, Outcome: e.Outcome, Reason: e.Reason})
	case o.streaming:
		fmt.Fprintf(o.w, "data: %s\n\n", errorBody(e.Outcome, e.Reason))
		o.w.Header().Set(HeaderOutcome, string(e.Outcome))
		o.w.Header().Set(HeaderReason, string(e.Reason))
	default:
		panic(http.ErrAbortHandler)
	}
}

// writeRefusal writes a refusal: final, at once, with when to come back.
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

func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// errorBody is an error in the form of the OpenAI-style API.
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
