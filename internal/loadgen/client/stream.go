package client

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/sse"
)

// doneMarker is the data of the event that ends a complete answer.
const doneMarker = "[DONE]"

// chunk is one event of a streamed answer in the OpenAI format.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

// readStream reads a streamed answer and checks its tokens. The trailer is available
// once the body has been read to its end.
func (c *Client) readStream(ctx context.Context, result Result, prompt string, response *http.Response) Result {
	words, done, failure := c.readEvents(&result, response.Body)
	result.readOutcomeHeaders(response.Trailer)
	if failure != nil {
		return c.finishWithError(result, endAfterError(ctx), failure)
	}
	return c.checkTokens(result, prompt, words, done)
}

// readEvents reads all events. It returns the words of the answer, whether the done
// marker was seen, and the failure: an error event, an invalid event or a broken
// connection. A body that ends early without an error isn't a failure here;
// checkTokens detects it.
func (c *Client) readEvents(result *Result, body io.Reader) (words []string, done bool, failure error) {
	events := sse.NewReader(body)
	for {
		event, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) || errors.Is(err, sse.ErrTruncated):
			return words, done, failure
		case err != nil:
			return words, done, cmp.Or(failure, err)
		case string(event.Data) == doneMarker:
			done = true
			continue
		}
		parsed, err := decodeChunk(event.Data)
		if err != nil {
			failure = err
			continue
		}
		words = c.appendTokens(result, words, parsed)
	}
}

// decodeChunk decodes one event. It returns an error event as an error.
func decodeChunk(data []byte) (chunk, error) {
	var event chunk
	if err := json.Unmarshal(data, &event); err != nil {
		return chunk{}, errors.Wrap(err, "decode streamed event")
	}
	if event.Error != nil {
		return chunk{}, errors.New(event.Error.Message)
	}
	return event, nil
}

// appendTokens appends the words of a chunk and records the time of each. A word of
// the content is one token.
func (c *Client) appendTokens(result *Result, words []string, event chunk) []string {
	for _, choice := range event.Choices {
		fields := strings.Fields(choice.Delta.Content)
		for range fields {
			result.TokenTimes = append(result.TokenTimes, c.elapsed())
		}
		words = append(words, fields...)
	}
	if result.FirstByteAt == 0 && len(words) > 0 {
		result.FirstByteAt = result.TokenTimes[0]
	}
	return words
}

// checkTokens compares the words of a stream that ended without an error with the
// complete answer, and sets the result's end.
func (c *Client) checkTokens(result Result, prompt string, words []string, done bool) Result {
	result.EndedAt = c.elapsed()
	want := result.ExpectedTokens
	switch {
	case !done:
		result.End = Truncated
		result.Error = "answer has no done marker"
	case len(words) < want:
		result.End = Truncated
		result.Error = errors.Errorf("answer has %d of %d tokens", len(words), want).Error()
	case len(words) > want || !c.matchesPrompt(prompt, words):
		result.End = Mismatched
		result.Error = "answer contains tokens of another answer or repeated tokens"
	default:
		result.End = Complete
	}
	return result
}

// matchesPrompt reports whether the words are the answer to the prompt; always true
// if the client doesn't know the expected tokens.
func (c *Client) matchesPrompt(prompt string, words []string) bool {
	if c.expectedTokens == nil {
		return true
	}
	want := c.expectedTokens(prompt, len(words))
	if len(want) != len(words) {
		return false
	}
	for i := range want {
		if strings.TrimSpace(want[i]) != words[i] {
			return false
		}
	}
	return true
}
