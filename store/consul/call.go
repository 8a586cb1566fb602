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
	// maxError bounds the text of an error answer that is kept, in bytes.
	maxError = 512
	// maxAnswer bounds an answer that is read, in bytes: a list of values.
	maxAnswer = 64 << 20
	// maxHeader is the same for its header.
	maxHeader = 64 << 10
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

// answer is what the service said.
type answer struct {
	status int
	index  uint64
	body   []byte
}

// call carries out one request under the client's own deadline. An error is
// store.ErrUnavailable or store.ErrUnknown with its cause in the text.
func (c *Client) call(ctx context.Context, r request) (answer, error) {
	limit := c.options.Timeout
	if r.wait > 0 {
		limit = r.wait + r.wait/jitterPart + c.options.Grace
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	c.counters[r.kind].calls.Add(1)
	a, sent, err := c.roundTrip(ctx, r)
	if err != nil {
		// What made this connection silent may have hit the idle ones too.
		c.transport.CloseIdleConnections()
		return answer{}, c.failure(r.kind, sent, err.Error())
	}
	return a, c.statusError(r.kind, a)
}

// roundTrip sends a request and reads its whole answer. sent means that a
// byte of the request may have left.
func (c *Client) roundTrip(ctx context.Context, r request) (a answer, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.newRequest(ctx, r)
	if err != nil {
		return answer{}, false, err
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return answer{}, connected.Load(), err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return answer{}, true, err
	}
	index, _ := strconv.ParseUint(response.Header.Get(indexHeader), 10, 64)
	return answer{status: response.StatusCode, index: index, body: body}, true, nil
}

// newRequest makes the HTTP request. A write has no GetBody and no idempotency
// key, so that the transport never sends it twice by itself.
func (c *Client) newRequest(ctx context.Context, r request) (*http.Request, error) {
	target := "http://" + c.options.Addr + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, r.method, target, nil)
	if err != nil {
		return nil, err
	}
	if r.body != nil {
		request.Body = io.NopCloser(bytes.NewReader(r.body))
		request.ContentLength = int64(len(r.body))
	}
	return request, nil
}

// failure counts and makes the error of a call without a proper answer. done
// reports whether the service may have carried it out.
func (c *Client) failure(kind Kind, done bool, cause string) error {
	counter := &c.counters[kind]
	if done && kind.isWrite() {
		counter.unknown.Add(1)
		return errors.WithMessage(store.ErrUnknown, kind.String()+": "+cause)
	}
	counter.unavailable.Add(1)
	return errors.WithMessage(store.ErrUnavailable, kind.String()+": "+cause)
}

// certain are the texts of server errors that tell that nothing was done.
var certain = []string{"No cluster leader", "rate limit exceeded"}

// statusError maps an answer's status; nil for what the caller handles.
func (c *Client) statusError(kind Kind, a answer) error {
	switch {
	case a.status == http.StatusOK || a.status == http.StatusNotFound:
		return nil
	case a.status == http.StatusRequestEntityTooLarge:
		return store.ErrTooLarge
	case a.status < http.StatusInternalServerError:
		return c.failure(kind, false, a.text())
	case strings.Contains(a.text(), "invalid session"):
		return store.ErrLeaseLost
	}
	for _, text := range certain {
		if strings.Contains(a.text(), text) {
			return c.failure(kind, false, a.text())
		}
	}
	return c.failure(kind, true, a.text())
}

// text is a short form of the answer for errors.
func (a answer) text() string {
	body := a.body[:min(len(a.body), maxError)]
	return strconv.Itoa(a.status) + " " + strings.TrimSpace(string(body))
}

// decode reads an answer's JSON body.
func (c *Client) decode(kind Kind, a answer, into any) error {
	if err := json.Unmarshal(a.body, into); err != nil {
		return c.failure(kind, true, err.Error())
	}
	return nil
}
