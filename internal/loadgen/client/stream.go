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

// endMark is the data of the last event of a whole answer.
const endMark = "[DONE]"

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

// stream reads server-sent events up to the end of the body, which brings the
// trailer.
func (c *Client) stream(ctx context.Context, result Result, prompt string, response *http.Response) Result {
	words, ended, failure := c.events(&result, response.Body)
	result.takeHeader(response.Trailer)
	if failure != nil {
		return c.fail(result, brokenEnd(ctx), failure)
	}
	return c.judge(result, prompt, words, ended)
}

// events reads all events. An explicit error or a broken connection is the
// failure; a body that just ends is none, and is judged by its words.
func (c *Client) events(result *Result, body io.Reader) (words []string, ended bool, failure error) {
	events := sse.NewReader(body)
	for {
		event, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) || errors.Is(err, sse.ErrTruncated):
			return words, ended, failure
		case err != nil:
			return words, ended, cmp.Or(failure, err)
		case string(event.Data) == endMark:
			ended = true
			continue
		}
		piece, err := decode(event.Data)
		if err != nil {
			failure = err
			continue
		}
		words = c.take(result, words, piece)
	}
}

// decode reads one event; an error event is an error.
func decode(data []byte) (chunk, error) {
	var event chunk
	if err := json.Unmarshal(data, &event); err != nil {
		return chunk{}, errors.Wrap(err, "decode event")
	}
	if event.Error != nil {
		return chunk{}, errors.New(event.Error.Message)
	}
	return event, nil
}

func (c *Client) take(result *Result, words []string, event chunk) []string {
	for _, choice := range event.Choices {
		fields := strings.Fields(choice.Delta.Content)
		for range fields {
			result.Tokens = append(result.Tokens, c.since())
		}
		words = append(words, fields...)
	}
	if result.First == 0 && len(words) > 0 {
		result.First = result.Tokens[0]
	}
	return words
}

// judge compares a stream that ended without an error with the whole answer.
func (c *Client) judge(result Result, prompt string, words []string, ended bool) Result {
	result.Last = c.since()
	want := result.Want
	switch {
	case !ended:
		result.End = Cut
		result.Error = "no end mark"
	case len(words) < want:
		result.End = Cut
		result.Error = errors.Errorf("%d of %d tokens", len(words), want).Error()
	case len(words) > want || !c.own(prompt, words):
		result.End = Foreign
		result.Error = "tokens of another answer or repeated tokens"
	default:
		result.End = Whole
	}
	return result
}

func (c *Client) own(prompt string, words []string) bool {
	if c.tokens == nil {
		return true
	}
	want := c.tokens(prompt, len(words))
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
