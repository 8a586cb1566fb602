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
	maxIdle      = 1024
	dialTimeout  = 2 * time.Second
	idleTimeout  = 30 * time.Second
	maxErrorText = 200
)

// Tokens returns the words of the whole answer to a prompt.
type Tokens func(prompt string, n int) []string

// Client sends requests to routers.
type Client struct {
	http   *http.Client
	tokens Tokens
	began  time.Time
}

// New returns a client whose times count from began. If tokens is nil, only the
// number of words of an answer is checked.
func New(began time.Time, tokens Tokens) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}, tokens: tokens, began: began}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request to the router at addr and reads its answer.
func (c *Client) Do(ctx context.Context, addr string, t *trace.Trace, r trace.Request) Result {
	result := Result{
		ID:           r.ID,
		Organisation: r.Organisation,
		Kind:         r.Kind,
		Phase:        r.Phase,
		Router:       r.Router,
		Intended:     r.At,
		Want:         r.Tokens,
		Name:         r.Name,
		Key:          r.Key,
		Model:        r.Prompt != "",
	}
	request, err := c.request(ctx, addr, t, r)
	if err != nil {
		return c.fail(result, Failed, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.fail(result, brokenEnd(ctx), err)
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	result.RetryAfter = response.Header.Get("Retry-After") != ""
	result.takeHeader(response.Header)
	switch {
	case response.StatusCode >= http.StatusBadRequest:
		return c.refused(ctx, result, response)
	case r.Prompt != "":
		return c.stream(ctx, result, r.Prompt, response)
	default:
		return c.plain(ctx, result, response)
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

func (c *Client) request(ctx context.Context, addr string, t *trace.Trace, r trace.Request) (*http.Request, error) {
	path, body, err := content(r)
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

// content is the path and the body of a request. The body of a plain request is
// its name.
func content(r trace.Request) (path string, body []byte, err error) {
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
		return scenario.OncePath, []byte(r.Name), nil
	default:
		return scenario.RepeatPath, []byte(r.Name), nil
	}
}

func (c *Client) refused(ctx context.Context, result Result, response *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	result.takeHeader(response.Trailer)
	if err != nil {
		return c.fail(result, brokenEnd(ctx), err)
	}
	result.Last = c.since()
	result.End = Refused
	result.Error = strings.TrimSpace(string(body[:min(len(body), maxErrorText)]))
	return result
}

func (c *Client) plain(ctx context.Context, result Result, response *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	result.takeHeader(response.Trailer)
	if err != nil {
		return c.fail(result, brokenEnd(ctx), err)
	}
	result.First = c.since()
	result.Last = result.First
	result.End = Whole
	var answer echo
	if err := json.Unmarshal(body, &answer); err != nil {
		return c.fail(result, Cut, errors.Wrap(err, "decode answer"))
	}
	if answer.Body != result.Name {
		return c.fail(result, Foreign, errors.Errorf("answer to %q", answer.Body))
	}
	return result
}

// echo is the part of a plain stand-in's answer that is checked.
type echo struct {
	Body string `json:"body"`
}

func (c *Client) since() time.Duration { return time.Since(c.began) }

func (c *Client) fail(result Result, end End, err error) Result {
	result.End = end
	result.Error = err.Error()
	result.Last = c.since()
	return result
}

// brokenEnd tells a broken connection from the end of the run.
func brokenEnd(ctx context.Context) End {
	if ctx.Err() != nil {
		return Unanswered
	}
	return Failed
}

func (r *Result) takeHeader(h http.Header) {
	take := func(name string, into *string) {
		if v := h.Get(name); v != "" {
			*into = v
		}
	}
	take(headerOutcome, &r.Outcome)
	take(headerReason, &r.Reason)
	take(headerRequestID, &r.RequestID)
}
