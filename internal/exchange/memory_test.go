package exchange

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
)

// startSlowServer serves a body in parts with a pause before each.
func startSlowServer(t *testing.T, parts int, part string, pause time.Duration) (addr string) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range parts {
			time.Sleep(pause)
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	})}
	t.Cleanup(func() { web.Close() })
	go func() { _ = web.Serve(ln) }()
	return ln.Addr().String()
}

// TestEndlessBodiesLeaveMemoryForOtherUpstreams: the bodies of an upstream that sends
// without an end give way to those of a sound one, however many there are.
func TestEndlessBodiesLeaveMemoryForOtherUpstreams(t *testing.T) {
	g := NewWithT(t)
	const memory, endless, sound, limit = 8 << 20, 6, 20, 8 << 20
	client := New(memory)
	read := func(addr string) (n int, f *Failure) {
		a, f := client.Begin(&Request{
			Addr: addr, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
			OwnsResponse: func(int, http.Header) Ownership { return Owned }, Deadline: time.Now().Add(time.Minute),
		}).Run()
		if f != nil {
			return 0, f
		}
		defer a.Close()
		body, f := a.ReadAll(limit)
		return body.Len(), f
	}
	var wg sync.WaitGroup
	done := make(chan struct{})
	for range endless {
		// Each server takes one connection, so every read needs one of its own.
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				e := startEndlessServer(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
				_, f := read(e.addr)
				if f == nil || f.Kind != core.FailReset {
					t.Error("a body without an end did not fail as one:", f)
				}
			}
		})
	}
	addr := startSlowServer(t, 4, strings.Repeat("y", 16<<10), 10*time.Millisecond)
	for range sound {
		n, f := read(addr)
		if f != nil {
			t.Error(f)
			continue
		}
		g.Expect(n).To(Equal(64 << 10))
	}
	close(done)
	wg.Wait()
	g.Expect(client.memory.total).To(BeZero())
}
