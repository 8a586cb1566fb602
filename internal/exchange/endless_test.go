package exchange

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endlessServer writes a prefix and then the same bytes repeatedly until the peer
// closes the connection. It counts the bytes written after the prefix.
type endlessServer struct {
	addr    string
	written atomic.Int64
	closed  chan struct{}
}

func startEndlessServer(t *testing.T, prefix, repeated string) *endlessServer {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { ln.Close() })
	e := &endlessServer{addr: ln.Addr().String(), closed: make(chan struct{})}
	go func() {
		defer close(e.closed)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			return
		}
		text := []byte(strings.Repeat(repeated, 1+1000/len(repeated)))
		for _, err = io.WriteString(c, prefix); err == nil; {
			var n int
			n, err = c.Write(text)
			e.written.Add(int64(n))
		}
	}()
	return e
}

func (e *endlessServer) request() (*Response, *Failure) {
	return New(0).Begin(&Request{
		Addr: e.addr, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		OwnsResponse: func(_ int, h http.Header) Ownership {
			if h.Get("X-Other") != "" {
				return Foreign
			}
			return Owned
		},
		Deadline: time.Now().Add(time.Minute),
	}).Run()
}

// maxSocketBuffers is more than the buffers of both sockets can hold.
const maxSocketBuffers = 16 << 20

// expectClosed waits until the server sees its connection closed and checks that
// the client stopped reading early.
func (e *endlessServer) expectClosed(g Gomega) {
	g.Eventually(e.closed, 30*time.Second).Should(BeClosed())
	g.Expect(e.written.Load()).To(BeNumerically("<", maxSocketBuffers))
}

// TestEndlessHead checks that the client gives up on a response header without an
// end after a bounded number of bytes, whatever the header consists of.
func TestEndlessHead(t *testing.T) {
	for name, c := range map[string]struct{ prefix, repeated string }{
		"header lines":  {"HTTP/1.1 200 OK\r\n", "X-Line: value\r\n"},
		"one line":      {"HTTP/1.1 200 OK\r\nX-Line: ", "x"},
		"no line end":   {"", "x"},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"foreign":       {"", "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 0\r\n\r\n"},
		"foreign body":  {"HTTP/1.1 200 OK\r\nX-Other: 1\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			e := startEndlessServer(t, c.prefix, c.repeated)
			_, failure := e.request()
			g.Expect(failure).NotTo(BeNil())
			g.Expect(failure.Sent).To(BeTrue(), "it may have run")
			e.expectClosed(g)
		})
	}
}

// TestEndlessBody checks that reading a body without an end fails at the limit, and
// that Close does not wait for the rest of the body.
func TestEndlessBody(t *testing.T) {
	for name, prefix := range map[string]string{
		"no length":            "HTTP/1.1 200 OK\r\n\r\n",
		"huge length":          "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
		"huge chunk":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
		"endless chunk header": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
		"endless trailer":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Line: ",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			e := startEndlessServer(t, prefix, "x")
			a, failure := e.request()
			g.Expect(failure).To(BeNil())
			_, failure = a.ReadAll(1 << 20)
			g.Expect(failure).NotTo(BeNil())
			a.Close()
			e.expectClosed(g)
		})
	}
}

// TestHeldBodiesAreBounded checks that the bodies of open responses share one memory
// limit, and that closing the responses releases the memory.
func TestHeldBodiesAreBounded(t *testing.T) {
	g := NewWithT(t)
	const size, memory = 1000, 2500
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})}
	t.Cleanup(func() { web.Close() })
	go func() { _ = web.Serve(ln) }()
	client := New(memory)
	request := func() (*Response, *Failure) {
		a, failure := client.Begin(&Request{
			Addr: ln.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
			OwnsResponse: func(int, http.Header) Ownership { return Owned }, Deadline: time.Now().Add(time.Minute),
		}).Run()
		g.Expect(failure).To(BeNil())
		_, failure = a.ReadAll(1 << 20)
		return a, failure
	}
	for range 3 {
		var open []*Response
		for range 2 {
			a, failure := request()
			g.Expect(failure).To(BeNil())
			open = append(open, a)
		}
		overLimit, failure := request()
		g.Expect(failure).NotTo(BeNil())
		g.Expect(failure.OutOfResources()).To(BeTrue())
		for _, a := range append(open, overLimit) {
			a.Close()
		}
	}
	g.Expect(client.memory.total).To(BeZero())
}

// TestBodyThatNeverComes checks that Discard does not wait for a body whose end
// never arrives.
func TestBodyThatNeverComes(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	e := &endlessServer{addr: ln.Addr().String(), closed: make(chan struct{})}
	go func() {
		defer close(e.closed)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 10\r\n\r\nx"); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
	}()
	a, failure := e.request()
	g.Expect(failure).To(BeNil())
	g.Expect(a.Discard()).NotTo(Succeed())
	a.Close()
	e.expectClosed(g)
}
