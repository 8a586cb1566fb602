package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// silentAfter is short for tests that wait it out.
const silentAfter = 80 * time.Millisecond

// serve starts an HTTP server and returns its address.
func serve(t *testing.T, h http.HandlerFunc) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// newClient returns a client that is closed with the test.
func newClient(t *testing.T) *Client {
	c := New(DefaultOptions())
	t.Cleanup(c.Close)
	return c
}

// streamHandler answers with the given server-sent events and then returns.
func streamHandler(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, e := range events {
			_, _ = w.Write([]byte(e))
			w.(http.Flusher).Flush()
		}
	}
}

// tokenEvent is an event with one token of stream s at an offset.
func tokenEvent(id, text string) string {
	return "id: " + id + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n"
}

const endEvent = "data: [DONE]\n\n"

// readAll reads an answer to its end or failure.
func readAll(a *Answer) (data string, last Chunk, f *Failure) {
	defer a.Close()
	for {
		c, f := a.Next(context.Background())
		if f != nil {
			return data, last, f
		}
		data, last = data+string(c.Data), c
		if c.End {
			return data, last, nil
		}
	}
}

// modelRequest is a streaming request to a model service.
func modelRequest(addr string) *Request {
	return &Request{
		Addr: addr, Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(`{"stream":true}`),
		Service: config.Model, RequestID: "r1", Attempt: 1, SilentAfter: silentAfter,
	}
}

func TestStreamIsPutInOrder(t *testing.T) {
	one, two, three := tokenEvent("s/1", "a"), tokenEvent("s/2", "b"), tokenEvent("s/3", "c")
	const content = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	const usage = "data: {\"choices\":[],\"usage\":{\"total_tokens\":42}}\n\n"
	for _, tc := range []struct {
		name   string
		events []string
		resume *Resume
		want   string
		cost   uint64
		fail   core.Failure
	}{
		{name: "whole", events: []string{one, two, three, endEvent}, want: one + two + three + endEvent, cost: 3},
		{name: "head chunk", events: []string{tokenEvent("s/0", ""), one, endEvent}, want: tokenEvent("s/0", "") + one + endEvent, cost: 1},
		{name: "no ids", events: []string{content, "data: {\"choices\":[]}\n\n", content, endEvent}, want: content + "data: {\"choices\":[]}\n\n" + content + endEvent, cost: 2},
		{name: "usage", events: []string{one, usage, endEvent}, want: one + usage + endEvent, cost: 42},
		{name: "doubled chunk", events: []string{one, one, two, one, endEvent}, want: one + two + endEvent, cost: 2},
		{name: "crossed chunk", events: []string{one, tokenEvent("x/2", "no"), two, endEvent}, want: one + two + endEvent, cost: 2},
		{name: "crossed end", events: []string{one, "id: x/9\n" + endEvent, two, endEvent}, want: one + two + endEvent, cost: 2},
		{name: "identified end", events: []string{one, "id: s/1\n" + endEvent}, want: one + "id: s/1\n" + endEvent, cost: 1},
		{name: "end after a gap", events: []string{one, "id: s/3\n" + endEvent}, want: one, fail: core.FailTruncated},
		{name: "missing chunk", events: []string{one, three, endEvent}, want: one, fail: core.FailTruncated},
		{name: "missing first", events: []string{two, endEvent}, fail: core.FailTruncated},
		{name: "no end mark", events: []string{one, two}, want: one + two, fail: core.FailTruncated},
		{name: "cut event", events: []string{one, "data: {\"cho"}, want: one, fail: core.FailTruncated},
		{name: "bad id", events: []string{"id: s\ndata: x\n\n", endEvent}, fail: core.FailTruncated},
		{name: "resumed", resume: &Resume{"s", 1}, events: []string{one, two, endEvent}, want: two + endEvent, cost: 2},
		{name: "resumed at the end", resume: &Resume{"s", 3}, events: []string{endEvent}, want: endEvent, cost: 3},
		{name: "resumed as another", resume: &Resume{"s", 1}, events: []string{tokenEvent("x/1", "no"), endEvent}, fail: core.FailTruncated},
		{name: "resumed with a gap", resume: &Resume{"s", 1}, events: []string{three, endEvent}, fail: core.FailTruncated},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			r := modelRequest(serve(t, streamHandler(tc.events...)))
			r.Resume = tc.resume
			a, f := newClient(t).Do(context.Background(), r)
			g.Expect(f).To(BeNil())
			data, last, f := readAll(a)
			g.Expect(data).To(Equal(tc.want))
			if tc.fail != 0 {
				g.Expect(f).NotTo(BeNil())
				g.Expect(f.Kind).To(Equal(tc.fail))
				g.Expect(f.Sent).To(BeTrue())
				return
			}
			g.Expect(f).To(BeNil())
			g.Expect(last.Cost).To(Equal(tc.cost))
		})
	}
}

func TestPlainAnswerIsWhole(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte("booked " + r.RequestURI)) })
	for _, path := range []string{"/", "/kiosk?a=1%2F2", "/a%2Fb/%20", "//double/slash?", "/a?x=//y?z"} {
		g := NewWithT(t)
		a, f := newClient(t).Do(context.Background(), &Request{Addr: addr, Method: "GET", Path: path, Service: config.Plain})
		g.Expect(f).To(BeNil())
		data, last, f := readAll(a)
		g.Expect(f).To(BeNil())
		g.Expect(data).To(Equal("booked " + path))
		g.Expect(last.Cost).To(BeNumerically(">=", 1))
	}
}
