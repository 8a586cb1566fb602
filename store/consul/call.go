package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/store"
)

const (
	indexHeader = "X-Consul-Index"
	// maxErrorText bounds the text of an error answer that is kept, in bytes.
	maxErrorText = 512
	// maxResponseBody bounds an answer that is read, in bytes: a list of values.
	maxResponseBody = 64 << 20
	// maxResponseHeader is the same for its header.
	maxResponseHeader = 64 << 10
)

// request is one call.
type request struct {
	kind   Kind
	method string
	path   string
	query  url.Values
	body   []byte
	// wait is how long the service may hold the answer back.
	wait time.Duration
}

// response is what the service said.
type response struct {
	status int
	index  uint64
	body   []byte
}

// call carries out one request under the client's own deadline. An error is
// store.ErrUnavailable or store.ErrUnknown with its cause in the text.
func (c *Client) call(ctx context.Context, r request) (response, error) {
	timeout := c.options.Timeout
	if r.wait > 0 {
		timeout = r.wait + r.wait/waitJitterDivisor + c.options.Grace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	c.counters[r.kind].calls.Add(1)
	resp, sent, err := c.roundTrip(ctx, r)
	if err != nil {
		// What made this connection silent may have hit the idle ones too.
		c.transport.CloseIdleConnections()
		return response{}, c.callError(r.kind, sent, err.Error())
	}
	return resp, c.statusError(r.kind, resp)
}

// roundTrip sends a request and reads its whole answer. sent means that a
// byte of the request may have left.
func (c *Client) roundTrip(ctx context.Context, r request) (resp response, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := c.newRequest(ctx, r)
	if err != nil {
		return response{}, false, err
	}
	httpResponse, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		return response{}, connected.Load(), err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBody))
	if err != nil {
		return response{}, true, err
	}
	index, _ := strconv.ParseUint(httpResponse.Header.Get(indexHeader), 10, 64)
	return response{status: httpResponse.StatusCode, index: index, body: body}, true, nil
}

// newRequest makes the HTTP request. A write has no GetBody and no idempotency
// key, so that the transport never sends it twice by itself.
func (c *Client) newRequest(ctx context.Context, r request) (*http.Request, error) {
	target := "http://" + c.options.Addr + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, target, nil)
	if err != nil {
		return nil, err
	}
	if r.body != nil {
		httpRequest.Body = io.NopCloser(bytes.NewReader(r.body))
		httpRequest.ContentLength = int64(len(r.body))
	}
	return httpRequest, nil
}

// callError counts and makes the error of a call without a proper answer. done
// reports whether the service may have carried it out.
func (c *Client) callError(kind Kind, mayHaveRun bool, cause string) error {
	counter := &c.counters[kind]
	if mayHaveRun && kind.isWrite() {
		counter.unknown.Add(1)
		return errors.WithMessage(store.ErrUnknown, kind.String()+": "+cause)
	}
	counter.unavailable.Add(1)
	return errors.WithMessage(store.ErrUnavailable, kind.String()+": "+cause)
}

// notExecutedTexts are the texts of server errors that tell that nothing was done.
var notExecutedTexts = []string{"No cluster leader", "rate limit exceeded"}

// statusError maps an answer's status; nil for what the caller handles.
func (c *Client) statusError(kind Kind, resp response) error {
	switch {
	case resp.status == http.StatusOK || resp.status == http.StatusNotFound:
		return nil
	case resp.status == http.StatusRequestEntityTooLarge:
		return store.ErrTooLarge
	case resp.status < http.StatusInternalServerError:
		return c.callError(kind, false, resp.errorText())
	case strings.Contains(resp.errorText(), "invalid session"):
		return store.ErrLeaseLost
	}
	for _, text := range notExecutedTexts {
		if strings.Contains(resp.errorText(), text) {
			return c.callError(kind, false, resp.errorText())
		}
	}
	return c.callError(kind, true, resp.errorText())
}

// errorText is a short form of the answer for errors.
func (r response) errorText() string {
	body := r.body[:min(len(r.body), maxErrorText)]
	return strconv.Itoa(r.status) + " " + strings.TrimSpace(string(body))
}

// decode reads an answer's JSON body.
func (c *Client) decode(kind Kind, resp response, target any) error {
	if err := json.Unmarshal(resp.body, target); err != nil {
		return c.callError(kind, true, err.Error())
	}
	return nil
}
