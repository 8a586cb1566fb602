package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

const doneEvent = "data: [DONE]\n\n"

// usage is the cost of an answer.
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
	// Delta is the empty text of a stream's last chunk.
	Delta        *struct{} `json:"delta,omitempty"`
	Message      *Message  `json:"message,omitempty"`
	FinishReason string    `json:"finish_reason"`
}

// completion is a whole answer, or the last chunk of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// answer writes one stream to one connection.
type answer struct {
	batch *batch
	s     *stream
	woken chan struct{}
	// sent is the number of tokens that the caller has.
	sent int
	// prefix is what each chunk starts with, up to the token's text.
	prefix string
	buffer []byte
}

func newAnswer(b *batch, s *stream, woken chan struct{}, sent int) *answer {
	return &answer{batch: b, s: s, woken: woken, sent: sent, prefix: chunkPrefix(s)}
}

func chunkPrefix(s *stream) string {
	return `{"id":` + quote(s.id) + `,"object":"chat.completion.chunk","model":` + quote(s.model) +
		`,"choices":[{"index":0,"delta":{"content":"`
}

// chunkSuffix follows the text of a token, which needs no quoting.
const chunkSuffix = `"},"finish_reason":null}]}`

func quote(text string) string {
	quoted, err := json.Marshal(text)
	if err != nil {
		panic(err) // a string
	}
	return string(quoted)
}

// stream writes server-sent events as tokens come, then the end mark.
func (a *answer) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set(HeaderStream, a.s.id)
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for {
		at := a.batch.read(a.s)
		if !a.tokens(w, r, at.generated) {
			return
		}
		switch at.phase {
		case phaseCancelled:
			panic(http.ErrAbortHandler)
		case phaseDone:
			a.end(w)
			return
		}
		if flusher.Flush() != nil || !a.wait(r) {
			return
		}
	}
}

// wait waits for more tokens; false if the caller has gone.
func (a *answer) wait(r *http.Request) bool {
	select {
	case <-a.woken:
		return true
	case <-r.Context().Done():
		return false
	}
}

// tokens writes the tokens up to a number; false if the connection is over.
func (a *answer) tokens(w http.ResponseWriter, r *http.Request, generated int) bool {
	for a.sent < generated {
		if !a.survives(w, r) {
			return false
		}
		if _, err := w.Write(a.chunk()); err != nil {
			return false
		}
	}
	return true
}

// survives applies the stream faults; false if the connection stalled until its
// end.
func (a *answer) survives(w http.ResponseWriter, r *http.Request) bool {
	switch a.batch.strike(a.sent) {
	case blowStall:
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return false
	case blowCut:
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	return true
}

// chunk is the event of the next token.
func (a *answer) chunk() []byte {
	text := delta(a.s.seed, a.s.skip+a.sent)
	a.sent++
	a.buffer = append(a.buffer[:0], "id: "...)
	a.buffer = append(a.buffer, eventID(a.s.id, a.sent)...)
	a.buffer = append(a.buffer, "\ndata: "...)
	a.buffer = append(a.buffer, a.prefix...)
	a.buffer = append(a.buffer, text...)
	a.buffer = append(a.buffer, chunkSuffix...)
	a.buffer = append(a.buffer, "\n\n"...)
	return a.buffer
}

// end writes the last chunk, which has the usage, and the end mark.
func (a *answer) end(w http.ResponseWriter) {
	last := a.completion("chat.completion.chunk")
	last.Choices = []choice{{Delta: &struct{}{}, FinishReason: "length"}}
	event := "id: " + eventID(a.s.id, a.sent) + "\ndata: " + encode(last) + "\n\n" + doneEvent
	_, _ = w.Write([]byte(event))
}

// whole waits for all tokens and writes them as one answer.
func (a *answer) whole(w http.ResponseWriter, r *http.Request) {
	at := a.batch.read(a.s)
	for at.phase == phaseRunning {
		if !a.wait(r) {
			return
		}
		at = a.batch.read(a.s)
	}
	if at.phase == phaseCancelled {
		panic(http.ErrAbortHandler)
	}
	message := Message{Role: "assistant", Content: a.text()}
	body := a.completion("chat.completion")
	body.Choices = []choice{{Message: &message, FinishReason: "length"}}
	encoded := encode(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.Header().Set(HeaderStream, a.s.id)
	switch a.batch.strike(a.s.length) {
	case blowStall:
		<-r.Context().Done()
		return
	case blowCut:
		_, _ = w.Write([]byte(encoded[:len(encoded)/2]))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(encoded))
}

func (a *answer) text() string {
	var text strings.Builder
	for i := range a.s.length {
		text.WriteString(delta(a.s.seed, a.s.skip+i))
	}
	return text.String()
}

func (a *answer) completion(object string) completion {
	c := completion{ID: a.s.id, Object: object, Model: a.s.model}
	c.Usage.PromptTokens = a.s.promptTokens
	c.Usage.CompletionTokens = a.s.length
	c.Usage.TotalTokens = a.s.promptTokens + a.s.length
	c.Usage.Details.CachedTokens = a.s.cachedTokens
	return c
}

func encode(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // this package's own types
	}
	return string(encoded)
}
