package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
)

// startEndless serves connections on which it writes a prefix and then the same bytes until
// the peer closes. written counts the bytes after the prefix; ended counts connections that
// the peer has closed.
func startEndless(t *testing.T, prefix, repeated string) (addr string, written, ended *atomic.Int64) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { ln.Close() })
	written, ended = new(atomic.Int64), new(atomic.Int64)
	text := []byte(strings.Repeat(repeated, 1+1000/len(repeated)))
	serve := func(c net.Conn) {
		defer c.Close()
		defer ended.Add(1)
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			return
		}
		for _, err := io.WriteString(c, prefix); err == nil; {
			var n int
			n, err = c.Write(text)
			written.Add(int64(n))
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String(), written, ended
}

// maxSocketBuffers is more than the buffers of both sockets of a connection can hold.
const maxSocketBuffers = 16 << 20

// TestEndlessAnswerFailsWithinBounds: an answer whose header, chunk header, trailer or event
// has no end fails after a bounded number of bytes, and its connection is closed.
func TestEndlessAnswerFailsWithinBounds(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, c := range map[string]struct{ prefix, repeated string }{
		"header lines":  {"HTTP/1.1 200 OK\r\n", "X-Line: value\r\n"},
		"one line":      {"HTTP/1.1 200 OK\r\nX-Line: ", "x"},
		"no line end":   {"", "x"},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunk header":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Line: ", "x"},
		"trailer lines": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Line: value\r\n"},
		"event line":    {stream + "data: ", "x"},
		"event":         {stream, "data: x\n"},
		"refusal":       {"HTTP/1.1 503 Service Unavailable\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			addr, written, ended := startEndless(t, c.prefix, c.repeated)
			client := New(DefaultOptions())
			defer client.Close()
			a, f := client.Do(t.Context(), &Request{Addr: addr, Service: config.Model, Method: http.MethodPost, Path: "/", RequestID: "r", Attempt: 1})
			if f == nil {
				for f == nil {
					var chunk Chunk
					chunk, f = a.Next(t.Context())
					g.Expect(chunk.End).To(BeFalse(), "it must not look complete")
				}
				a.Close()
			}
			g.Eventually(ended.Load, 30*time.Second).Should(BeNumerically(">=", 1))
			g.Expect(written.Load()).To(BeNumerically("<", maxSocketBuffers))
		})
	}
}

// TestEndlessBodyIsNotKept: a body without an end is passed on in pieces of which none is
// kept, and its connection is closed with the request.
func TestEndlessBodyIsNotKept(t *testing.T) {
	for name, prefix := range map[string]string{
		"plain":  "HTTP/1.1 200 OK\r\n\r\n",
		"events": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const passed, kept = 32 << 20, 8 << 20
			addr, _, ended := startEndless(t, prefix, "data: "+strings.Repeat("x", 1000)+"\n\n")
			client := New(DefaultOptions())
			defer client.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			a, f := client.Do(ctx, &Request{Addr: addr, Service: config.Model, Method: http.MethodPost, Path: "/", RequestID: "r", Attempt: 1})
			g.Expect(f).To(BeNil())
			before := heapInUse()
			for n := 0; n < passed; {
				chunk, f := a.Next(ctx)
				g.Expect(f).To(BeNil())
				n += len(chunk.Data)
			}
			g.Expect(heapInUse()).To(BeNumerically("<", before+kept))
			cancel()
			a.Close()
			g.Eventually(ended.Load, 30*time.Second).Should(BeEquivalentTo(1))
		})
	}
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// TestOrderAnswersHaveBoundedHeaders: bytes that an engine sends as a header are not kept
// beyond the limit.
func TestOrderAnswersHaveBoundedHeaders(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 4096)); err != nil {
					return
				}
				long := strings.Repeat("X-Line: "+strings.Repeat("x", 1000)+"\r\n", 1000)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+long+"Content-Length: 2\r\n\r\n[]")
			}()
		}
	}()
	_, err = NewOrderClient().fetchOrders(t.Context(), ln.Addr().String())
	g.Expect(err).To(HaveOccurred())
}
