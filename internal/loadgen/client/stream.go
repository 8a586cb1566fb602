package client

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

const (
	dataPrefix = "data: "
	endMark    = "[DONE]"
	maxLine    = 64 << 10
)

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
	var words []string
	var failure error
	ended := false
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if !ok {
			continue
		}
		if data == endMark {
			ended = true
			continue
		}
		event, err := decode(data)
		if err != nil {
			failure = err
			continue
		}
		words = c.take(&result, words, event)
	}
	result.takeHeader(response.Trailer)
	if failure == nil {
		failure = lines.Err()
	}
	if failure != nil {
		return c.fail(result, brokenEnd(ctx), failure)
	}
	return c.judge(result, prompt, words, ended)
}

// decode reads one event; an error event is an error.
func decode(data string) (chunk, error) {
	var event chunk
	if err := json.Unmarshal([]byte(data), &event); err != nil {
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
