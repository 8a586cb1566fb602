package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	// maxBody bounds a request body, in bytes.
	maxBody = 16 << 20
	// defaultTokens is the length of an answer to a request without max_tokens.
	defaultTokens = 32
	// maxTokens bounds the length of an answer.
	maxTokens = 1 << 20
	// retryAfter is the Retry-After header of refused requests, in seconds.
	retryAfter = "1"
)

// chatRequest holds the fields of a chat completion request that the engine uses.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens *int      `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	// ContinueFinalMessage asks to continue the last message, a partial answer.
	ContinueFinalMessage bool `json:"continue_final_message"`
}

// splitContinuation returns the messages of the prompt and the number of tokens
// of the answer that the request already contains as its final message.
func (r chatRequest) splitContinuation() (prompt []Message, skip int) {
	last := len(r.Messages) - 1
	if !r.ContinueFinalMessage || last < 1 || r.Messages[last].Role != "assistant" {
		return r.Messages, 0
	}
	return r.Messages[:last], len(strings.Fields(r.Messages[last].Content))
}

// length returns the requested number of tokens.
func (r chatRequest) length() int {
	if r.MaxTokens == nil {
		return defaultTokens
	}
	return *r.MaxTokens
}

// valid reports whether the request can be run.
func (r chatRequest) valid() bool {
	return len(r.Messages) > 0 && r.length() >= 1 && r.length() <= maxTokens
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	e.updateStats(func(s *Stats) { s.Requests++ })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, "unreadable body")
		return
	}
	faults := e.batch.getFaults()
	if faults.Poison != "" && bytes.Contains(body, []byte(faults.Poison)) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if faults.Fail {
		e.updateStats(func(s *Stats) { s.Failed++ })
		writeError(w, http.StatusInternalServerError, "failed on order")
		return
	}
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil || !request.valid() {
		writeError(w, http.StatusBadRequest, "bad chat completion request")
		return
	}
	if last := r.Header.Get(headerLastEvent); last != "" {
		e.serveResume(w, r, request, last)
		return
	}
	e.serveNew(w, r, request)
}

// serveNew starts a stream for a new request and writes the answer.
func (e *Engine) serveNew(w http.ResponseWriter, r *http.Request, request chatRequest) {
	if e.leaving.Load() || e.batch.consumeNotRun() {
		e.refuse(w)
		return
	}
	prompt, skip := request.splitContinuation()
	s, woken := e.batch.start(job{
		id:         e.streamID(r),
		prompt:     Prompt(prompt),
		skipTokens: skip,
		model:      request.Model,
		length:     request.length(),
	})
	defer e.batch.detach(s, woken)
	answer := newAnswerWriter(e.batch, s, woken, 0)
	if request.Stream {
		answer.writeStream(w, r)
		return
	}
	answer.writeWhole(w, r)
}

// serveResume continues a stream after the event with the id last, which is the
// last one that the caller received.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request, request chatRequest, last string) {
	id, offset, ok := parseEventID(last)
	if !ok || !request.Stream {
		writeError(w, http.StatusBadRequest, "bad "+headerLastEvent)
		return
	}
	s, woken := e.batch.resume(id)
	if s == nil {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	defer e.batch.detach(s, woken)
	if offset > e.batch.progressOf(s).generated {
		writeError(w, http.StatusBadRequest, "offset is ahead of the stream")
		return
	}
	newAnswerWriter(e.batch, s, woken, offset).writeStream(w, r)
}

// refuse answers 503 with an outcome header that says that the request did not
// run.
func (e *Engine) refuse(w http.ResponseWriter) {
	e.updateStats(func(s *Stats) { s.Refused++ })
	if e.leaving.Load() {
		w.Header().Set(headerLeaving, "true")
	}
	w.Header().Set(headerOutcome, "not-run")
	w.Header().Set("Retry-After", retryAfter)
	writeError(w, http.StatusServiceUnavailable, "not run")
}

// eventID returns the id of the event with which a caller has received this number of
// tokens of a stream.
func eventID(stream string, tokens int) string { return stream + "/" + strconv.Itoa(tokens) }

// parseEventID splits an event id into the stream id and the number of tokens
// received.
func parseEventID(id string) (stream string, tokens int, ok bool) {
	slash := strings.LastIndexByte(id, '/')
	if slash < 0 {
		return "", 0, false
	}
	tokens, err := strconv.Atoi(id[slash+1:])
	return id[:slash], tokens, err == nil && tokens >= 0
}

// errorBody is the body of an error response of the API.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	var body errorBody
	body.Error.Message = message
	body.Error.Type = http.StatusText(status)
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: errorBody has only strings
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
