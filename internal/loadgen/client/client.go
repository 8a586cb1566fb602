package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
	"github.com/jujubeford/jujubeford/internal/loadgen/trace"
)

// The headers of the routers' answers.
const (
	headerOutcome   = "Jujubeford-Outcome"
	headerReason    = "Jujubeford-Reason"
	headerRequestID = "Jujubeford-Request-Id"
	// headerCallerID is the caller's own name of a request; routers pass it on.
	headerCallerID = "X-Request-Id"
)

// Limits of one answer and of the connections to one router.
const (
	maxBody      = 1 << 20
	maxIdleConns = 1024
	dialTimeout  = 2 * time.Second
	idleTimeout  = 30 * time.Second
	maxErrorText = 200
)

// ExpectedTokens returns the words of the whole answer to a prompt.
type ExpectedTokens func(prompt string, n int) []string

// Client sends requests to routers.
type Client struct {
	http           *http.Client
	expectedTokens ExpectedTokens
	start          time.Time
}

// New returns a client whose times count from began. If tokens is nil, only the
// number of words of an answer is checked.
func New(start time.Time, tokens ExpectedTokens) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}, expectedTokens: tokens, start: start}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request to the router at addr and reads its answer.
func (c *Client) Do(ctx context.Context, addr string, t *trace.Trace, r trace.Request) Result {
	result := Result{
		ID:             r.ID,
		Organisation:   r.Organisation,
		Kind:           r.Kind,
		Phase:          r.Phase,
		Router:         r.Router,
		IntendedSend:   r.SendAt,
		ExpectedTokens: r.Tokens,
		Name:           r.Name,
		Key:            r.Key,
		Model:          r.Prompt != "",
	}
	request, err := c.newRequest(ctx, addr, t, r)
	if err != nil {
		return c.finishWithError(result, Failed, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.finishWithError(result, endAfterError(ctx), err)
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	result.RetryAfter = response.Header.Get("Retry-After") != ""
	result.readOutcomeHeaders(response.Header)
	switch {
	case response.StatusCode >= http.StatusBadRequest:
		return c.readRefusal(ctx, result, response)
	case r.Prompt != "":
		return c.readStream(ctx, result, r.Prompt, response)
	default:
		return c.readPlainAnswer(ctx, result, response)
	}
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *Client) newRequest(ctx context.Context, addr string, t *trace.Trace, r trace.Request) (*http.Request, error) {
	path, body, err := encodeRequest(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// Without GetBody, and with an idempotency key that the transport does not
	// recognise as such, net/http never sends a request twice.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+t.Tenants[r.Organisation].Key())
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerCallerID, r.Name)
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	return request, nil
}

// encodeRequest is the path and the body of a request. The body of a plain request is
// its name.
func encodeRequest(r trace.Request) (path string, body []byte, err error) {
	switch {
	case r.Prompt != "":
		body, err = json.Marshal(chatRequest{
			Model:     scenario.ModelName,
			Stream:    true,
			MaxTokens: r.Tokens,
			Messages:  []chatMessage{{Role: "user", Content: r.Prompt}},
		})
		return "/v1/chat/completions", body, err
	case r.Key != "":
		return scenario.AtMostOncePath, []byte(r.Name), nil
	default:
		return scenario.IdempotentPath, []byte(r.Name), nil
	}
}

func (c *Client) readRefusal(ctx context.Context, result Result, response *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	result.readOutcomeHeaders(response.Trailer)
	if err != nil {
		return c.finishWithError(result, endAfterError(ctx), err)
	}
	result.EndedAt = c.elapsed()
	result.End = Refused
	result.Error = strings.TrimSpace(string(body[:min(len(body), maxErrorText)]))
	return result
}

func (c *Client) readPlainAnswer(ctx context.Context, result Result, response *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	result.readOutcomeHeaders(response.Trailer)
	if err != nil {
		return c.finishWithError(result, endAfterError(ctx), err)
	}
	result.FirstByteAt = c.elapsed()
	result.EndedAt = result.FirstByteAt
	result.End = Whole
	var answer plainAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return c.finishWithError(result, Cut, errors.Wrap(err, "decode answer"))
	}
	if answer.Body != result.Name {
		return c.finishWithError(result, Foreign, errors.Errorf("answer to %q", answer.Body))
	}
	return result
}

// plainAnswer is the part of a plain stand-in's answer that is checked.
type plainAnswer struct {
	Body string `json:"body"`
}

func (c *Client) elapsed() time.Duration { return time.Since(c.start) }

func (c *Client) finishWithError(result Result, end End, err error) Result {
	result.End = end
	result.Error = err.Error()
	result.EndedAt = c.elapsed()
	return result
}

// endAfterError tells a broken connection from the end of the run.
func endAfterError(ctx context.Context) End {
	if ctx.Err() != nil {
		return Unanswered
	}
	return Failed
}

func (r *Result) readOutcomeHeaders(h http.Header) {
	copyIfSet := func(name string, field *string) {
		if v := h.Get(name); v != "" {
			*field = v
		}
	}
	copyIfSet(headerOutcome, &r.Outcome)
	copyIfSet(headerReason, &r.Reason)
	copyIfSet(headerRequestID, &r.RequestID)
}
