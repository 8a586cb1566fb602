package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// cutServer responds to requests on raw connections and cuts the connection of the
// request with id cutID at a given stage. It counts how often it saw each request.
type cutServer struct {
	ln  net.Listener
	cut func(c net.Conn, r *bufio.Reader, req *http.Request)

	mu            sync.Mutex
	requestCounts map[string]int
	conns         int
}

// cutID is the id of the request whose connection is cut.
const cutID = "cut"

func newCutServer(t *testing.T, cut func(net.Conn, *bufio.Reader, *http.Request)) *cutServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &cutServer{ln: ln, cut: cut, requestCounts: map[string]int{}}
	t.Cleanup(func() { ln.Close() })
	go s.accept()
	return s
}

func (s *cutServer) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve responds to the requests on a connection until one is cut.
func (s *cutServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get(HeaderRequestID)
		if s.recordRequest(id) == 1 && id == cutID {
			s.cut(c, r, req)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// recordRequest counts a request and returns how often it was seen.
func (s *cutServer) recordRequest(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestCounts[id]++
	return s.requestCounts[id]
}

func (s *cutServer) requestCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCounts[id]
}

func (s *cutServer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// writeAndClose returns a cut that reads the request body, writes a part of a
// response and closes the connection.
func writeAndClose(part string) func(net.Conn, *bufio.Reader, *http.Request) {
	return func(c net.Conn, _ *bufio.Reader, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, part)
	}
}

// cutStages are the stages at which a connection is cut, all after the request
// header was read.
var cutStages = []struct {
	name string
	cut  func(net.Conn, *bufio.Reader, *http.Request)
	kind core.Failure
}{
	{"after the request's header", func(net.Conn, *bufio.Reader, *http.Request) {}, core.FailReset},
	{"after the request's header, by reset", func(c net.Conn, _ *bufio.Reader, _ *http.Request) { _ = c.(*net.TCPConn).SetLinger(0) }, core.FailReset},
	{"after the request's body", writeAndClose(""), core.FailReset},
	{"in the status line", writeAndClose("HTTP/1.1 20"), core.FailReset},
	{"in the answer's header", writeAndClose("HTTP/1.1 200 OK\r\nContent-Le"), core.FailReset},
	{"in a body of stated length", writeAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"), core.FailTruncated},
	{"in a chunked body", writeAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n"), core.FailTruncated},
	{"in a body without an end", writeAndClose("HTTP/1.1 200 OK\r\n\r\nhal"), core.FailTruncated},
}

// cutRequests are requests that the transport treats differently when it decides
// whether to retry.
var cutRequests = []struct {
	name, method, body string
	header             http.Header
}{
	{"GET", "GET", "", nil},
	{"POST", "POST", "charge", nil},
	{"POST with Idempotency-Key", "POST", "charge", http.Header{"Idempotency-Key": {"k"}}},
	{"POST with X-Idempotency-Key", "POST", "charge", http.Header{"X-Idempotency-Key": {"k"}}},
	{"POST with Idempotency-Key, no body", "POST", "", http.Header{"Idempotency-Key": {"k"}}},
	{"DELETE with Idempotency-Key", "DELETE", "", http.Header{"Idempotency-Key": {"k"}}},
}

// sendAndRead sends a request and reads its response.
func sendAndRead(c *Client, r *Request) (data string, f *Failure) {
	a, f := c.Do(context.Background(), r)
	if f != nil {
		return "", f
	}
	data, _, f = readAll(a)
	return data, f
}

// TestCutConnections cuts a new or reused connection at each stage and for each
// kind of request. The server must never see a request twice, and Sent must be true
// whenever it saw one.
func TestCutConnections(t *testing.T) {
	for _, stage := range cutStages {
		for _, rq := range cutRequests {
			for _, reused := range []bool{false, true} {
				t.Run(caseName(stage.name, rq.name, reused), func(t *testing.T) {
					g := NewWithT(t)
					s, c := newCutServer(t, stage.cut), newClient(t)
					r := Request{
						Addr: s.ln.Addr().String(), Method: rq.method, Path: "/charge", Header: rq.header,
						Body: []byte(rq.body), Service: config.Plain, RequestID: "first", Attempt: 1,
					}
					if reused {
						data, f := sendAndRead(c, &r)
						g.Expect(f).To(BeNil())
						g.Expect(data).To(Equal("ok"))
					}
					r.RequestID = cutID
					_, f := sendAndRead(c, &r)
					g.Expect(f).NotTo(BeNil())
					g.Expect(f.Kind).To(Equal(stage.kind))
					g.Expect(f.Sent).To(BeTrue())
					g.Expect(s.requestCount(cutID)).To(Equal(1))
					g.Expect(s.connections()).To(Equal(1))
				})
			}
		}
	}
}

func caseName(stage, request string, reused bool) string {
	if reused {
		return stage + "/" + request + "/reused connection"
	}
	return stage + "/" + request + "/new connection"
}

// TestDisabledGuardRepeats shows that TestCutConnections can fail: without the
// guard the transport retries the request by itself.
func TestDisabledGuardRepeats(t *testing.T) {
	for _, rq := range cutRequests {
		if rq.body != "" || rq.name == "POST" {
			continue
		}
		t.Run(rq.name, func(t *testing.T) {
			g := NewWithT(t)
			s, c := newCutServer(t, writeAndClose("")), newClient(t)
			c.disableGuard = true
			r := Request{
				Addr: s.ln.Addr().String(), Method: rq.method, Path: "/charge", Header: rq.header,
				Service: config.Plain, RequestID: "first", Attempt: 1,
			}
			_, f := sendAndRead(c, &r)
			g.Expect(f).To(BeNil())
			r.RequestID = cutID
			_, _ = sendAndRead(c, &r)
			g.Expect(s.requestCount(cutID)).To(Equal(2))
		})
	}
}

// TestNothingListens checks that a request counts as not sent if the dial failed.
func TestNothingListens(t *testing.T) {
	g := NewWithT(t)
	s := newCutServer(t, writeAndClose(""))
	addr := s.ln.Addr().String()
	s.ln.Close()
	_, f := sendAndRead(newClient(t), &Request{Addr: addr, Method: "POST", Path: "/", Body: []byte("x"), RequestID: cutID})
	g.Expect(f.Kind).To(Equal(core.FailDial))
	g.Expect(f.Sent).To(BeFalse())
}

// TestClosedBeforeAccept closes the listener after the kernel has established the
// connection and before the server accepts it. The client cannot tell this from a
// server that read the request, so the request counts as sent.
func TestClosedBeforeAccept(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	c := newClient(t)
	sent := make(chan *Failure, 1)
	go func() {
		_, f := sendAndRead(c, &Request{Addr: ln.Addr().String(), Method: "GET", Path: "/", RequestID: cutID})
		sent <- f
	}()
	g.Eventually(func() int { return len(c.tracker.connsTo(ln.Addr().String())) }).Should(Equal(1))
	g.Eventually(func() bool {
		conns := c.tracker.connsTo(ln.Addr().String())
		return len(conns) == 1 && conns[0].hasWritten()
	}).Should(BeTrue())
	ln.Close()
	f := <-sent
	g.Expect(f.Kind).To(Equal(core.FailReset))
	g.Expect(f.Sent).To(BeTrue())
}

func (c *conn) hasWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote
}

// TestClosedAfterAccept checks that a request is not repeated if the server closes
// the connection without reading.
func TestClosedAfterAccept(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	accepted := make(chan struct{}, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			c.Close()
		}
	}()
	header := http.Header{"Idempotency-Key": {"k"}}
	_, f := sendAndRead(newClient(t), &Request{Addr: ln.Addr().String(), Method: "POST", Path: "/", Header: header, RequestID: cutID})
	g.Expect(f.Kind).To(Equal(core.FailReset))
	g.Expect(accepted).To(HaveLen(1))
}

// TestIdleConnectionClosed closes idle connections. Either this is noticed before
// the next request uses one, or the request fails without being repeated.
func TestIdleConnectionClosed(t *testing.T) {
	g := NewWithT(t)
	for range 50 {
		s, c := newCutServer(t, writeAndClose("")), newClient(t)
		r := Request{Addr: s.ln.Addr().String(), Method: "GET", Path: "/", Service: config.Plain, RequestID: "first"}
		_, f := sendAndRead(c, &r)
		g.Expect(f).To(BeNil())
		for _, idle := range c.tracker.connsTo(r.Addr) {
			_ = idle.Conn.(*net.TCPConn).CloseRead()
		}
		r.RequestID = "second"
		_, f = sendAndRead(c, &r)
		g.Expect(s.requestCount("second")).To(BeNumerically("<=", 1))
		if f != nil && !f.Sent {
			g.Expect(s.requestCount("second")).To(BeZero())
		}
	}
}
