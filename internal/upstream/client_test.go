package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// TestHeaders checks which headers reach the upstream and which the caller.
func TestHeaders(t *testing.T) {
	g := NewWithT(t)
	var got http.Header
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set(HeaderLeaving, LeavingTrue)
		w.Header().Set("X-Kiosk", "7")
	})
	a, f := newClient(t).Do(context.Background(), &Request{
		Addr: addr, Method: "GET", Path: "/", Service: config.Plain, RequestID: "r9", Attempt: 3,
		Header: http.Header{
			"Authorization": {"Bearer secret"}, "Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"},
			"Upgrade": {"websocket"}, HeaderOutcome: {"complete"}, "X-Request-Id": {"forged"}, "X-Keep": {"1"},
		},
	})
	g.Expect(f).To(BeNil())
	defer a.Close()
	g.Expect(got).To(Equal(http.Header{"X-Request-Id": {"r9"}, "X-Attempt": {"3"}, "X-Keep": {"1"}}))
	g.Expect(a.Leaving).To(BeTrue())
	g.Expect(a.Header.Get("X-Kiosk")).To(Equal("7"))
	g.Expect(a.Header).NotTo(HaveKey("Keep-Alive"))
	g.Expect(a.Header).NotTo(HaveKey(HeaderLeaving))
}

// TestStatuses checks which statuses are returned as responses and which as
// failures.
func TestStatuses(t *testing.T) {
	for _, tc := range []struct {
		name   string
		kind   config.Kind
		status int
		notRun bool
		fail   core.Failure
		sent   bool
	}{
		{name: "server error of a plain service", kind: config.Plain, status: 500},
		{name: "503 of a plain service", kind: config.Plain, status: 503},
		{name: "plain service did not run the request", kind: config.Plain, status: 503, notRun: true, fail: core.FailRefused},
		{name: "not-run without status 503", kind: config.Plain, status: 502, notRun: true},
		{name: "server error of an engine", kind: config.Model, status: 500, fail: core.FailStatus, sent: true},
		{name: "engine did not run the request", kind: config.Model, status: 503, notRun: true, fail: core.FailRefused},
		{name: "engine rejects the request", kind: config.Model, status: 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
				if tc.notRun {
					w.Header().Set(HeaderOutcome, OutcomeNotRun)
				}
				w.Header().Set("Retry-After", "2")
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, "text")
			})
			a, f := newClient(t).Do(context.Background(), &Request{Addr: addr, Method: "POST", Path: "/", Service: tc.kind})
			if tc.fail != 0 {
				g.Expect(a).To(BeNil())
				g.Expect(*f).To(And(HaveField("Kind", tc.fail), HaveField("Sent", tc.sent), HaveField("RetryAfter", 2*time.Second)))
				return
			}
			g.Expect(f).To(BeNil())
			g.Expect(a.Status).To(Equal(tc.status))
			data, _, f := readAll(a)
			g.Expect(f).To(BeNil())
			g.Expect(data).To(Equal("text"))
		})
	}
}

// writeAndHang returns a cut that writes a part of a response and then keeps the
// connection open in silence until the test ends.
func writeAndHang(t *testing.T, part string) func(net.Conn, *bufio.Reader, *http.Request) {
	testDone := make(chan struct{})
	t.Cleanup(func() { close(testDone) })
	return func(c net.Conn, _ *bufio.Reader, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, part)
		<-testDone
	}
}

// TestSilence checks that a request on an open but silent connection fails after
// SilentAfter, and that no idle connection to the same address is reused after
// that.
func TestSilence(t *testing.T) {
	for name, part := range map[string]string{
		"no answer":          "",
		"in the header":      "HTTP/1.1 200 OK\r\nConte",
		"in a stated length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal",
		"in a stream":        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + tokenEvent("s/1", "a"),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, c := newCutServer(t, writeAndHang(t, part)), newClient(t)
			r := modelRequest(s.ln.Addr().String())
			_, f := sendAndRead(c, r)
			g.Expect(f).To(BeNil())
			r.RequestID, r.SilentAfter = cutID, silentAfter
			_, f = sendAndRead(c, r)
			g.Expect(*f).To(And(HaveField("Kind", core.FailIdle), HaveField("Sent", true)))
			g.Expect(c.tracker.connsTo(r.Addr)).To(BeEmpty())
			r.RequestID, r.SilentAfter = "after", neverSilent
			data, f := sendAndRead(c, r)
			g.Expect(f).To(BeNil())
			g.Expect(data).To(Equal("ok"))
			g.Expect(s.connections()).To(Equal(2))
			g.Expect(s.requestCount(cutID)).To(Equal(1))
		})
	}
}

// TestSlowCallerIsNoSilence checks that the time in which the caller reads nothing
// does not count as silence of the upstream.
func TestSlowCallerIsNoSilence(t *testing.T) {
	g := NewWithT(t)
	r := modelRequest(serve(t, streamHandler(tokenEvent("s/1", "a"), tokenEvent("s/2", "b"), endEvent)))
	r.SilentAfter = 10 * silentAfter
	a, f := newClient(t).Do(context.Background(), r)
	g.Expect(f).To(BeNil())
	_, f = a.Next(context.Background())
	g.Expect(f).To(BeNil())
	time.Sleep(2 * r.SilentAfter)
	_, _, f = readAll(a)
	g.Expect(f).To(BeNil())
}

// TestConnectionsAreReused checks that a connection is reused after a complete
// response, and that a request with NewConn set gets a new one.
func TestConnectionsAreReused(t *testing.T) {
	g := NewWithT(t)
	s, c := newCutServer(t, nil), newClient(t)
	r := &Request{Addr: s.ln.Addr().String(), Method: "GET", Path: "/", Service: config.Plain}
	for i := range 3 {
		r.RequestID = core.RequestID(fmt.Sprint(i))
		_, f := sendAndRead(c, r)
		g.Expect(f).To(BeNil())
	}
	g.Expect(s.connections()).To(Equal(1))
	r.NewConn = true
	_, f := sendAndRead(c, r)
	g.Expect(f).To(BeNil())
	g.Expect(s.connections()).To(Equal(2))
}

// TestStreamsReuseConnections checks that a connection is reused after a stream
// that ended with its end mark.
func TestStreamsReuseConnections(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	clients := map[string]bool{}
	handler := streamHandler(tokenEvent("s/1", "a"), endEvent)
	r := modelRequest(serve(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		clients[r.RemoteAddr] = true
		mu.Unlock()
		handler(w, r)
	}))
	c := newClient(t)
	for range 3 {
		_, f := sendAndRead(c, r)
		g.Expect(f).To(BeNil())
	}
	g.Expect(clients).To(HaveLen(1))
}

// TestRefusalsReuseConnections checks that a connection is reused after the
// upstream refused a request on it.
func TestRefusalsReuseConnections(t *testing.T) {
	g := NewWithT(t)
	refuse := "HTTP/1.1 503 Busy\r\nJujubeford-Outcome: not-run\r\nContent-Length: 4\r\n\r\nbusy"
	var s *cutServer
	s = newCutServer(t, func(c net.Conn, _ *bufio.Reader, req *http.Request) {
		_, _ = io.WriteString(c, refuse)
		s.serve(c)
	})
	c, r := newClient(t), &Request{Addr: s.ln.Addr().String(), Method: "GET", Path: "/", Service: config.Plain, RequestID: cutID}
	_, f := sendAndRead(c, r)
	g.Expect(f.Kind).To(Equal(core.FailRefused))
	r.RequestID = "after"
	_, f = sendAndRead(c, r)
	g.Expect(f).To(BeNil())
	g.Expect(s.connections()).To(Equal(1))
}

// TestResumeOnANewConnection checks that a broken stream is resumed after the
// offset up to which it had arrived.
func TestResumeOnANewConnection(t *testing.T) {
	g := NewWithT(t)
	var ids []string
	r := modelRequest(serve(t, func(w http.ResponseWriter, r *http.Request) {
		ids = append(ids, r.Header.Get(HeaderLastEventID))
		if len(ids) == 1 {
			streamHandler(tokenEvent("s/1", "a"))(w, r)
			return
		}
		streamHandler(tokenEvent("s/2", "b"), endEvent)(w, r)
	}))
	c := newClient(t)
	a, f := c.Do(context.Background(), r)
	g.Expect(f).To(BeNil())
	data, last, f := readAll(a)
	g.Expect(f.Kind).To(Equal(core.FailTruncated))
	g.Expect(a.StreamID()).To(Equal("s"))
	r.Resume = &Resume{StreamID: a.StreamID(), Offset: last.Offset}
	rest, f := sendAndRead(c, r)
	g.Expect(f).To(BeNil())
	g.Expect(data + rest).To(Equal(tokenEvent("s/1", "a") + tokenEvent("s/2", "b") + endEvent))
	g.Expect(ids).To(Equal([]string{"", "s/1"}))
}

// TestCancelStream checks the request that cancels a stream, and that an error
// status is returned as an error.
func TestCancelStream(t *testing.T) {
	g := NewWithT(t)
	var got string
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) { got = r.Method + " " + r.URL.Path })
	c := newClient(t)
	g.Expect(c.CancelStream(context.Background(), addr, "s1")).To(Succeed())
	g.Expect(got).To(Equal("DELETE /v1/streams/s1"))
	notFound := serve(t, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusNotFound) })
	g.Expect(c.CancelStream(context.Background(), notFound, "s1")).NotTo(Succeed())
}

// TestWholeModelAnswer checks that the cost of a model response that is not a
// stream is its stated usage.
func TestWholeModelAnswer(t *testing.T) {
	g := NewWithT(t)
	body := `{"choices":[],"usage":{"total_tokens":17}}`
	r := modelRequest(serve(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, body) }))
	a, f := newClient(t).Do(context.Background(), r)
	g.Expect(f).To(BeNil())
	data, last, f := readAll(a)
	g.Expect(f).To(BeNil())
	g.Expect(data).To(Equal(body))
	g.Expect(last.Cost).To(BeEquivalentTo(17))
}

// TestHeaderIsBounded checks that a response header above the limit is a failure,
// so that it cannot take up memory without bound.
func TestHeaderIsBounded(t *testing.T) {
	g := NewWithT(t)
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Big", strings.Repeat("x", 1<<20)) })
	_, f := sendAndRead(newClient(t), &Request{Addr: addr, Method: "GET", Path: "/"})
	g.Expect(*f).To(And(HaveField("Kind", core.FailReset), HaveField("Sent", true)))
}

// TestBadRequests checks that a malformed request is never sent and is not counted
// as a failure of the upstream.
func TestBadRequests(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) { t.Errorf("saw %s", r.RequestURI) })
	for name, r := range map[string]*Request{
		"path":          {Method: "GET", Path: "http://other/"},
		"escape":        {Method: "GET", Path: "/%zz"},
		"control bytes": {Method: "GET", Path: "/?a\r\nX: y"},
		"method":        {Method: "GE T", Path: "/"},
		"header":        {Method: "GET", Path: "/", Header: http.Header{"X": {"a\r\nY: z"}}},
	} {
		t.Run(name, func(t *testing.T) {
			r.Addr = addr
			_, f := sendAndRead(newClient(t), r)
			NewWithT(t).Expect(*f).To(And(HaveField("Sent", false), HaveField("Kind", core.FailCancelled)))
		})
	}
}

// TestUnsentRequestIsNeverSeen cancels requests after random delays. The server must
// never see a request that was reported as not sent, not even later.
func TestUnsentRequestIsNeverSeen(t *testing.T) {
	const seed, attempts = 7, 300
	t.Logf("seed %d", seed)
	g, random := NewWithT(t), rand.New(rand.NewPCG(seed, seed))
	s, c := newCutServer(t, nil), newClient(t)
	var unsent []string
	for i := range attempts {
		ctx, cancel := context.WithCancel(context.Background())
		delay := time.Duration(random.IntN(200)) * time.Microsecond
		stop := time.AfterFunc(delay, cancel)
		id := fmt.Sprint("r", i)
		a, f := c.Do(ctx, &Request{Addr: s.ln.Addr().String(), Method: "POST", Path: "/", Body: []byte("x"), Service: config.Plain, RequestID: core.RequestID(id)})
		if f == nil {
			_, _, f = readAll(a)
		}
		if f != nil && !f.Sent {
			unsent = append(unsent, id)
		}
		stop.Stop()
		cancel()
	}
	g.Consistently(func() int {
		seen := 0
		for _, id := range unsent {
			seen += s.requestCount(id)
		}
		return seen
	}, "100ms").Should(BeZero())
	t.Logf("%d of %d reported as not sent", len(unsent), attempts)
}
