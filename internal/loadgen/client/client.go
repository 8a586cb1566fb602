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

// Headers of the routers' responses, unless noted otherwise.
const (
	headerOutcome   = "Jujubeford-Outcome"
	headerReason    = "Jujubeford-Reason"
	headerRequestID = "Jujubeford-Request-Id"
	// headerCallerID is the request header with the caller's id of the request,
	// which routers pass on to the upstream.
	headerCallerID = "X-Request-Id"
)

// Limits of the size of an answer and of the connections to one router.
const (
	maxBody      = 1 << 20
	maxIdleConns = 1024
	dialTimeout  = 2 * time.Second
	idleTimeout  = 30 * time.Second
	maxErrorText = 200
)

// ExpectedTokens returns the first n tokens of the complete answer to a prompt.
type ExpectedTokens func(prompt string, n int) []string

// Client sends requests to routers. It is safe for concurrent use.
type Client struct {
	http           *http.Client
	expectedTokens ExpectedTokens
	start          time.Time
}

// New returns a client that reports times since start. If tokens is nil, it checks
// only the number of tokens of a model answer.
func New(start time.Time, tokens ExpectedTokens) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}, expectedTokens: tokens, start: start}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request to the router at addr, reads the answer and checks it.
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

// newRequest returns the HTTP request for r.
func (c *Client) newRequest(ctx context.Context, addr string, t *trace.Trace, r trace.Request) (*http.Request, error) {
	path, body, err := encodeRequest(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	// Without GetBody, net/http never retries a request that has a body, also if
	// the request has an idempotency key.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+t.Organisations[r.Organisation].Key())
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerCallerID, r.Name)
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	return request, nil
}

// encodeRequest returns the path and the body of a request. The body of a plain
// request is its name.
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

// readRefusal reads a response with an error status.
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

// readPlainAnswer reads the answer to a plain request and checks that it contains
// the request's own body.
func (c *Client) readPlainAnswer(ctx context.Context, result Result, response *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	result.readOutcomeHeaders(response.Trailer)
	if err != nil {
		return c.finishWithError(result, endAfterError(ctx), err)
	}
	result.FirstByteAt = c.elapsed()
	result.EndedAt = result.FirstByteAt
	result.End = Complete
	var answer plainAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return c.finishWithError(result, Truncated, errors.Wrap(err, "decode plain answer"))
	}
	if answer.Body != result.Name {
		return c.finishWithError(result, Mismatched, errors.Errorf("answer belongs to request %q", answer.Body))
	}
	return result
}

// plainAnswer is the part of the plain upstream's answer that is checked: the body
// of the request, which it sends back.
type plainAnswer struct {
	Body string `json:"body"`
}

// elapsed returns the time since the start of the run.
func (c *Client) elapsed() time.Duration { return time.Since(c.start) }

// finishWithError ends a result with an error, at the current time.
func (c *Client) finishWithError(result Result, end End, err error) Result {
	result.End = end
	result.Error = err.Error()
	result.EndedAt = c.elapsed()
	return result
}

// endAfterError returns how a request ended that failed with a transport error:
// Unanswered if the run is over, else Failed.
func endAfterError(ctx context.Context) End {
	if ctx.Err() != nil {
		return Unanswered
	}
	return Failed
}

// readOutcomeHeaders copies the outcome, reason and request id from a response's
// header or trailer. Fields that are missing there are left unchanged.
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
