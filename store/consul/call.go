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
	// maxErrorText limits how much of an error response's body goes into an error
	// text, in bytes.
	maxErrorText = 512
	// maxResponseBody limits the body of a response, in bytes. The largest ones are
	// lists of keys with their values.
	maxResponseBody = 64 << 20
	// maxResponseHeader limits the header of a response, in bytes.
	maxResponseHeader = 64 << 10
)

// request describes one call to the service.
type request struct {
	kind   Kind
	method string
	path   string
	query  url.Values
	body   []byte
	// wait is how long a blocking query waits for a change; 0 for other calls.
	wait time.Duration
}

// response is an HTTP response whose body has been read. index is 0 if the
// response has no valid index header.
type response struct {
	status int
	index  uint64
	body   []byte
}

// call sends one request with a deadline of the client's own and counts it. Its
// errors are those of package store; ErrUnavailable and ErrUnknown have the cause
// in their text.
func (c *Client) call(ctx context.Context, r request) (response, error) {
	timeout := c.options.Timeout
	if r.wait > 0 {
		timeout = r.wait + r.wait/waitJitterDivisor + c.options.WaitMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	c.counters[r.kind].calls.Add(1)
	resp, sent, err := c.roundTrip(ctx, r)
	if err != nil {
		// The idle connections may be broken by the same network failure.
		c.transport.CloseIdleConnections()
		return response{}, c.callError(r.kind, sent, err.Error())
	}
	return resp, c.statusError(r.kind, resp)
}

// roundTrip sends a request and reads the whole response. sent reports whether
// any part of the request may have been sent.
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

// newRequest builds the HTTP request. It sets neither GetBody nor an idempotency
// key, so that the transport never resends a write on its own.
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

// callError counts a failed call and returns its error. mayHaveRun reports whether
// the service may have executed the call; a write is then ErrUnknown, everything
// else ErrUnavailable.
func (c *Client) callError(kind Kind, mayHaveRun bool, cause string) error {
	counter := &c.counters[kind]
	if mayHaveRun && kind.isWrite() {
		counter.unknown.Add(1)
		return errors.WithMessage(store.ErrUnknown, kind.String()+": "+cause)
	}
	counter.unavailable.Add(1)
	return errors.WithMessage(store.ErrUnavailable, kind.String()+": "+cause)
}

// notExecutedTexts are texts in responses with a 5xx status which mean that the
// service did not execute the call.
var notExecutedTexts = []string{"No cluster leader", "rate limit exceeded"}

// statusError maps the status of a response to an error. It returns nil for 200
// and 404, which the callers of call interpret.
func (c *Client) statusError(kind Kind, resp response) error {
	switch {
	case resp.status == http.StatusOK || resp.status == http.StatusNotFound:
		return nil
	case resp.status == http.StatusRequestEntityTooLarge:
		return store.ErrTooLarge
	case resp.status >= http.StatusOK && resp.status < http.StatusInternalServerError:
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

// errorText returns the status and the beginning of the body for use in error
// texts.
func (r response) errorText() string {
	body := r.body[:min(len(r.body), maxErrorText)]
	return strconv.Itoa(r.status) + " " + strings.TrimSpace(string(body))
}

// decode decodes the JSON body of a response.
func (c *Client) decode(kind Kind, resp response, target any) error {
	if err := json.Unmarshal(resp.body, target); err != nil {
		return c.callError(kind, true, err.Error())
	}
	return nil
}
