package router

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/upstream"
)

// maxPartialBytes bounds the partial answer that another upstream is asked to
// continue.
const maxPartialBytes = 256 << 10

// partialAnswer is the text of a stream that the caller has received.
type partialAnswer struct {
	text   strings.Builder
	tokens uint64
	// unusable means that the stream cannot be continued from text: it is too long,
	// or a chunk had an unsupported form.
	unusable bool
}

// streamDelta holds the fields of a stream's chunk that are needed to collect text.
type streamDelta struct {
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content   *string         `json:"content"`
			ToolCalls json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
	} `json:"choices"`
}

// add appends the text of a chunk that is forwarded to the caller. Tool calls, several
// choices and unknown forms make the partial answer unusable.
func (p *partialAnswer) add(chunk upstream.Chunk) {
	if p.unusable || chunk.Tokens == 0 {
		return
	}
	p.tokens += uint64(chunk.Tokens)
	_, data, found := bytes.Cut(chunk.Data, []byte("data:"))
	var d streamDelta
	if !found || json.Unmarshal(bytes.TrimSpace(data), &d) != nil || len(d.Choices) != 1 {
		p.unusable = true
		return
	}
	choice := d.Choices[0]
	if choice.Index != 0 || choice.Delta.ToolCalls != nil || choice.Delta.Content == nil {
		p.unusable = true
		return
	}
	p.text.WriteString(*choice.Delta.Content)
	p.unusable = p.text.Len() > maxPartialBytes
}

// callerData returns the part of a chunk to forward to the caller, and adds the chunk
// to the partial answer if the service can continue streams. When an attempt continues
// the stream of another upstream, chunks before its first token are dropped: the
// caller already has the opening of the stream.
func (c *call) callerData(a *attempt, chunk upstream.Chunk) []byte {
	if a.continues && chunk.Tokens == 0 && chunk.Offset == 0 && !chunk.End {
		return nil
	}
	if c.service.Continues {
		c.partial.add(chunk)
	}
	return chunk.Data
}

// requestBody returns the body to send: the caller's or, if send.Continue is set, one
// that asks for the rest of the answer. It returns false if the stream cannot be
// continued.
func (c *call) requestBody(send core.Send) ([]byte, bool) {
	if !send.Continue {
		return c.body, true
	}
	// The previous attempt was cancelled, so its handler will release the lock soon.
	c.forwardMu.Lock()
	defer c.forwardMu.Unlock()
	return c.partial.continuation(c.body)
}

// continuation turns a request into a request for the rest of its answer. The partial
// answer becomes the last message, which the engine continues, and the token limits
// shrink by the tokens that the caller has. It returns false if that is not possible.
func (p *partialAnswer) continuation(body []byte) ([]byte, bool) {
	if p.unusable {
		return nil, false
	}
	var fields map[string]json.RawMessage
	var messages []json.RawMessage
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["messages"], &messages) != nil {
		return nil, false
	}
	last, err := json.Marshal(map[string]string{"role": "assistant", "content": p.text.String()})
	if err != nil {
		return nil, false
	}
	if fields["messages"], err = json.Marshal(append(messages, last)); err != nil {
		return nil, false
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if !reduceLimit(fields, name, p.tokens) {
			return nil, false
		}
	}
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	out, err := json.Marshal(fields)
	return out, err == nil
}

// reduceLimit subtracts tokens from the token limit in the field name, if the request
// has it. It returns false if no tokens are left or the field is not a number.
func reduceLimit(fields map[string]json.RawMessage, name string, tokens uint64) bool {
	raw, ok := fields[name]
	if !ok {
		return true
	}
	var limit uint64
	if json.Unmarshal(raw, &limit) != nil || limit <= tokens {
		return false
	}
	short, err := json.Marshal(limit - tokens)
	fields[name] = short
	return err == nil
}
