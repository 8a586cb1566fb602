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

const (
	// silentAfter is a value of Request.SilentAfter for tests in which the upstream
	// is silent; it is short, as these tests wait until it has passed.
	silentAfter = 80 * time.Millisecond
	// neverSilent is a value for tests that are not about silence; it is longer than
	// any pause of a busy machine.
	neverSilent = time.Minute
)

// serve starts an HTTP server and returns its address.
func serve(t *testing.T, h http.HandlerFunc) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// newClient returns a client that is closed at the end of the test.
func newClient(t *testing.T) *Client {
	c := New(DefaultOptions())
	t.Cleanup(c.Close)
	return c
}

// streamHandler responds with the given server-sent events.
func streamHandler(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, e := range events {
			_, _ = w.Write([]byte(e))
			w.(http.Flusher).Flush()
		}
	}
}

// tokenEvent returns an event with the given id that carries one token.
func tokenEvent(id, text string) string {
	return "id: " + id + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n"
}

const endEvent = "data: [DONE]\n\n"

// readAll reads a response to its end or failure, and closes it.
func readAll(a *Response) (data string, last Chunk, f *Failure) {
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

// modelRequest returns a streaming request to a model service.
func modelRequest(addr string) *Request {
	return &Request{
		Addr: addr, Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(`{"stream":true}`),
		Service: config.Model, RequestID: "r1", Attempt: 1, SilentAfter: neverSilent,
	}
}

// TestStreamChunks checks that late, repeated and foreign chunks are dropped,
// and that a response with missing chunks or without an end mark counts as
// truncated.
func TestStreamChunks(t *testing.T) {
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
		{name: "chunk before the first token", events: []string{tokenEvent("s/0", ""), one, endEvent}, want: tokenEvent("s/0", "") + one + endEvent, cost: 1},
		{name: "no ids", events: []string{content, "data: {\"choices\":[]}\n\n", content, endEvent}, want: content + "data: {\"choices\":[]}\n\n" + content + endEvent, cost: 2},
		{name: "usage", events: []string{one, usage, endEvent}, want: one + usage + endEvent, cost: 42},
		{name: "usage with the last offset", events: []string{one, "id: s/1\n" + usage, endEvent}, want: one + endEvent, cost: 1},
		{name: "repeated chunk", events: []string{one, one, two, one, endEvent}, want: one + two + endEvent, cost: 2},
		{name: "chunk of another stream", events: []string{one, tokenEvent("x/2", "no"), two, endEvent}, want: one + two + endEvent, cost: 2},
		{name: "end mark of another stream", events: []string{one, "id: x/9\n" + endEvent, two, endEvent}, want: one + two + endEvent, cost: 2},
		{name: "end mark with an id", events: []string{one, "id: s/1\n" + endEvent}, want: one + "id: s/1\n" + endEvent, cost: 1},
		{name: "end mark after missing chunks", events: []string{one, "id: s/3\n" + endEvent}, want: one, fail: core.FailTruncated},
		{name: "missing chunk", events: []string{one, three, endEvent}, want: one, fail: core.FailTruncated},
		{name: "missing first chunk", events: []string{two, endEvent}, fail: core.FailTruncated},
		{name: "no end mark", events: []string{one, two}, want: one + two, fail: core.FailTruncated},
		{name: "truncated event", events: []string{one, "data: {\"cho"}, want: one, fail: core.FailTruncated},
		{name: "malformed id", events: []string{"id: s\ndata: x\n\n", endEvent}, fail: core.FailTruncated},
		{name: "resumed", resume: &Resume{"s", 1}, events: []string{one, two, endEvent}, want: two + endEvent, cost: 2},
		{name: "resumed at the end", resume: &Resume{"s", 3}, events: []string{endEvent}, want: endEvent, cost: 3},
		{name: "resumed with another stream", resume: &Resume{"s", 1}, events: []string{tokenEvent("x/1", "no"), endEvent}, fail: core.FailTruncated},
		{name: "resumed with the opening of another stream", resume: &Resume{"s", 1}, events: []string{tokenEvent("x/0", ""), endEvent}, fail: core.FailTruncated},
		{name: "resumed with a missing chunk", resume: &Resume{"s", 1}, events: []string{three, endEvent}, fail: core.FailTruncated},
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

// TestSpoiledChunkIsNoPosition guards against a stream that is resumed after another chunk than the
// last one that its caller has, or that ends as complete without a chunk: the id of one chunk is
// spoiled.
func TestSpoiledChunkIsNoPosition(t *testing.T) {
	one, two, three := tokenEvent("s/1", "a"), tokenEvent("s/2", "b"), tokenEvent("s/3", "c")
	named := func(header string, events ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderStream, header)
			streamHandler(events...)(w, r)
		}
	}
	spoil := func(event, id string) string { return strings.Replace(event, "id: s", id, 1) }
	for _, tc := range []struct {
		name   string
		answer http.HandlerFunc
		want   string
		offset uint64
	}{
		{"no id", streamHandler(one, spoil(two, "xd: s"), three, endEvent), one, 1},
		{"no id, then the end", streamHandler(one, two, spoil(three, "xd: s"), endEvent), one + two, 2},
		{"no id at first", named("s", spoil(one, "xd: s"), two, three, endEvent), "", 0},
		{"no stream", streamHandler(one, spoil(two, "id: "), three, endEvent), one, 1},
		{"another stream", streamHandler(one, spoil(two, "id: x"), three, endEvent), one, 1},
		{"another stream at first", named("s", spoil(one, "id: x"), two, three, endEvent), "", 0},
		{"lower offset", streamHandler(one, tokenEvent("s/0", "b"), three, endEvent), one, 1},
		{"higher offset", streamHandler(one, tokenEvent("s/3", "b"), three, endEvent), one, 1},
		{"other number", streamHandler(one, tokenEvent("s/02", "b"), three, endEvent), one, 1},
		{"last of another stream", streamHandler(one, two, spoil(three, "id: x"), endEvent), one + two, 2},
		{"last with a lower offset", streamHandler(one, two, tokenEvent("s/1", "c"), endEvent), one + two, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			a, f := newClient(t).Do(context.Background(), modelRequest(serve(t, tc.answer)))
			g.Expect(f).To(BeNil())
			data, last, f := readAll(a)
			g.Expect(data).To(Equal(tc.want))
			g.Expect(f).NotTo(BeNil())
			g.Expect(f.Kind).To(Equal(core.FailTruncated))
			g.Expect(last.Offset).To(Equal(tc.offset))
		})
	}
}

// TestPlainAnswerIsWhole checks that the path and query reach the upstream
// unchanged and that a plain response is returned whole, with a cost.
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
