package router

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/upstream"
)

// maxPartialBytes is the longest text that another upstream is asked to go on from,
// in bytes.
const maxPartialBytes = 256 << 10

// partialAnswer is the text that a caller has of a stream.
type partialAnswer struct {
	text   strings.Builder
	tokens uint64
	// unusable means that the text is not known any more: too long, or in a form
	// that is not understood.
	unusable bool
}

// streamDelta is the part of a chunk that holds text.
type streamDelta struct {
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content   *string         `json:"content"`
			ToolCalls json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
	} `json:"choices"`
}

// add takes a chunk as it goes to the caller.
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

// callerData is what of a chunk goes to the caller. A stream that goes on with
// another does not open with a head of its own.
func (c *call) callerData(a *attempt, chunk upstream.Chunk) []byte {
	if a.continues && chunk.Tokens == 0 && chunk.Offset == 0 && !chunk.End {
		return nil
	}
	if c.service.Continues {
		c.partial.add(chunk)
	}
	return chunk.Data
}

// requestBody is the body to send; false if a stream cannot be gone on with.
func (c *call) requestBody(e core.Send) ([]byte, bool) {
	if !e.Continue {
		return c.body, true
	}
	// The attempt before has been cancelled; its forwarding ends soon.
	c.forwardMu.Lock()
	defer c.forwardMu.Unlock()
	return c.partial.continuation(c.body)
}

// continuation turns a request into one for the rest of its answer: the partial
// answer is its last message, which the engine goes on with.
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

// reduceLimit takes the tokens that the caller has off a limit; false if none are
// left.
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
