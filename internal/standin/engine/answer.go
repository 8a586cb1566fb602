package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

const doneEvent = "data: [DONE]\n\n"

// usage holds the token counts of an answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type choice struct {
	Index int `json:"index"`
	// Delta is the empty delta in the last chunk of a stream.
	Delta        *struct{} `json:"delta,omitempty"`
	Message      *Message  `json:"message,omitempty"`
	FinishReason string    `json:"finish_reason"`
}

// completion is the body of an answer that is not streamed, or the last chunk of
// a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// answerWriter writes the tokens of one stream to one connection.
type answerWriter struct {
	batch  *batch
	stream *stream
	woken  chan struct{}
	// sent is the number of tokens written so far, including those that the
	// caller received before a resume.
	sent int
	// prefix is the JSON of each chunk up to the text of the token.
	prefix string
	buffer []byte
}

func newAnswerWriter(b *batch, s *stream, woken chan struct{}, sent int) *answerWriter {
	return &answerWriter{batch: b, stream: s, woken: woken, sent: sent, prefix: chunkPrefix(s)}
}

func chunkPrefix(s *stream) string {
	return `{"id":` + quote(s.id) + `,"object":"chat.completion.chunk","model":` + quote(s.model) +
		`,"choices":[{"index":0,"delta":{"content":"`
}

// chunkSuffix is the JSON of each chunk after the text of the token. The text
// consists of ASCII letters and spaces and needs no escaping.
const chunkSuffix = `"},"finish_reason":null}]}`

func quote(text string) string {
	quoted, err := json.Marshal(text)
	if err != nil {
		panic(err) // cannot happen: every string can be encoded
	}
	return string(quoted)
}

// writeStream writes a server-sent event for each token as it is generated,
// followed by the final chunk and the [DONE] event.
func (a *answerWriter) writeStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set(HeaderStream, a.stream.id)
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for {
		current := a.batch.progressOf(a.stream)
		if !a.writeTokens(w, r, current.generated) {
			return
		}
		switch current.phase {
		case phaseCancelled:
			panic(http.ErrAbortHandler)
		case phaseDone:
			a.writeEnd(w)
			return
		}
		if flusher.Flush() != nil || !a.awaitTokens(r) {
			return
		}
	}
}

// awaitTokens blocks until the stream changes. It returns false if the caller has
// disconnected.
func (a *answerWriter) awaitTokens(r *http.Request) bool {
	select {
	case <-a.woken:
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeTokens writes the tokens that are generated and not sent yet. It returns
// false if nothing more can be written to the connection.
func (a *answerWriter) writeTokens(w http.ResponseWriter, r *http.Request, generated int) bool {
	for a.sent < generated {
		if !a.applyFaults(w, r) {
			return false
		}
		if _, err := w.Write(a.nextChunk()); err != nil {
			return false
		}
	}
	return true
}

// applyFaults injects a stall or cut if one is due. A stall blocks until the
// caller disconnects and then returns false; a cut aborts the handler.
func (a *answerWriter) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	switch a.batch.consumeConnFault(a.sent) {
	case connFaultStall:
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return false
	case connFaultCut:
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	return true
}

// nextChunk returns the event of the next token; it is valid until the next call.
func (a *answerWriter) nextChunk() []byte {
	text := delta(a.stream.seed, a.stream.skipTokens+a.sent)
	a.sent++
	a.buffer = append(a.buffer[:0], "id: "...)
	a.buffer = append(a.buffer, eventID(a.stream.id, a.sent)...)
	a.buffer = append(a.buffer, "\ndata: "...)
	a.buffer = append(a.buffer, a.prefix...)
	a.buffer = append(a.buffer, text...)
	a.buffer = append(a.buffer, chunkSuffix...)
	a.buffer = append(a.buffer, "\n\n"...)
	return a.buffer
}

// writeEnd writes the last chunk, which carries the usage, and the [DONE] event.
func (a *answerWriter) writeEnd(w http.ResponseWriter) {
	last := a.completion("chat.completion.chunk")
	last.Choices = []choice{{Delta: &struct{}{}, FinishReason: "length"}}
	event := "id: " + eventID(a.stream.id, a.sent) + "\ndata: " + encode(last) + "\n\n" + doneEvent
	_, _ = w.Write([]byte(event))
}

// writeWhole waits until the stream is complete and writes it as one JSON body.
func (a *answerWriter) writeWhole(w http.ResponseWriter, r *http.Request) {
	current := a.batch.progressOf(a.stream)
	for current.phase == phaseRunning {
		if !a.awaitTokens(r) {
			return
		}
		current = a.batch.progressOf(a.stream)
	}
	if current.phase == phaseCancelled {
		panic(http.ErrAbortHandler)
	}
	message := Message{Role: "assistant", Content: a.text()}
	body := a.completion("chat.completion")
	body.Choices = []choice{{Message: &message, FinishReason: "length"}}
	encoded := encode(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.Header().Set(HeaderStream, a.stream.id)
	switch a.batch.consumeConnFault(a.stream.length) {
	case connFaultStall:
		<-r.Context().Done()
		return
	case connFaultCut:
		_, _ = w.Write([]byte(encoded[:len(encoded)/2]))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(encoded))
}

func (a *answerWriter) text() string {
	var text strings.Builder
	for i := range a.stream.length {
		text.WriteString(delta(a.stream.seed, a.stream.skipTokens+i))
	}
	return text.String()
}

func (a *answerWriter) completion(object string) completion {
	c := completion{ID: a.stream.id, Object: object, Model: a.stream.model}
	c.Usage.PromptTokens = a.stream.promptTokens
	c.Usage.CompletionTokens = a.stream.length
	c.Usage.TotalTokens = a.stream.promptTokens + a.stream.length
	c.Usage.Details.CachedTokens = a.stream.cachedTokens
	return c
}

func encode(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: callers pass only types that can be encoded
	}
	return string(encoded)
}
