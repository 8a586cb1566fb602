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
func (rw *replyWriter) discard() { rw.discarding = true }

// begin takes the header of a committed answer.
func (rw *replyWriter) begin(a *upstream.Answer) {
	if rw.header != nil {
		return // a resumed stream goes on under the first header
	}
	rw.status, rw.header = a.Status, a.Header
	rw.streaming = strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
	if rw.streaming {
		rw.writeHeader(true)
	}
}

// writeHeader writes the header; trailer announces that the outcome comes last.
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
	// A caller that stops reading must not hold an upstream's slot for ever.
	_ = rw.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := rw.w.Write(data); err != nil {
		return err
	}
	return rw.controller.Flush()
}

// finish finishes a whole answer.
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

// encodeForReplay is the answer to keep for a replay, nil if there is none to keep.
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

func (rw *replyWriter) replay(e core.Replay) {
	var stored storedAnswer
	if err := json.Unmarshal(e.Answer, &stored); err != nil || stored.Status == 0 {
		// The operation ran, but its answer cannot be read any more.
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

func (rw *replyWriter) refuse(e core.Refuse) {
	if rw.discarding {
		return
	}
	if e.Reason == core.ReasonPoison {
		rw.w.Header().Set(HeaderFingerprint, hex.EncodeToString(rw.c.fingerprint[:]))
	}
	writeRefusal(rw.w, e)
}

// abort ends an answer that cannot be completed: as an error event in a stream,
// as a proper error if nothing was written, and else by breaking the connection.
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
