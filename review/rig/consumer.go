//go:build review

package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// NewID returns the id of a new attempt.
func NewID() string { return fmt.Sprintf("%016x", attempts.Add(1)) }

// Result is what a consumer saw of one attempt.
type Result struct {
	ID, Router string
	SentAt     time.Time
	Took       time.Duration
	Status     int
	Header     http.Header
	Body       string
	// Err says why there is no complete answer.
	Err error
}

// Attempt sends one request of the first tenant on a new channel and reads its answer.
func Attempt(r *Router, method, path, body string, limit time.Duration) Result {
	return AttemptAs("key-1", r, method, path, body, limit)
}

// AttemptAs is Attempt with a key and further headers, as names and values.
func AttemptAs(key string, r *Router, method, path, body string, limit time.Duration, headers ...string) (res Result) {
	res = Result{ID: NewID(), Router: r.Name, SentAt: time.Now()}
	defer func() { res.Took = time.Since(res.SentAt) }()
	conn, err := net.DialTimeout("tcp4", r.Front(), time.Second)
	if err != nil {
		res.Err = err
		return res
	}
	defer conn.Close()
	conn.SetDeadline(res.SentAt.Add(limit))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nJujubeford-Attempt-Id: %s\r\nJujubeford-Request-Deadline: %d\r\nAuthorization: Token %s\r\n", method, path, res.ID, limit.Milliseconds(), key)
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		res.Err = err
		return res
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		res.Err = err
		return res
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	res.Status, res.Header, res.Body, res.Err = resp.StatusCode, resp.Header, string(content), err
	return res
}

// Outcome is a short text of a result.
func (r Result) Outcome() string {
	if r.Err != nil {
		return fmt.Sprintf("%d %v", r.Status, r.Err)
	}
	return fmt.Sprint(r.Status)
}
