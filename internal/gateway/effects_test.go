package gateway

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// TestNothingIsSentAfterCallerDisconnects: on a router short of processor time, the end
// of a caller's connection and its next attempt may both be pending. The attempt must
// not be sent. Sending would panic here, since the gateway has no protocol.
func TestNothingIsSentAfterCallerDisconnects(t *testing.T) {
	for _, x := range []struct {
		name string
		// disconnect closes the caller's side and returns the request's context.
		disconnect func(far net.Conn, ctx context.Context) context.Context
	}{
		{"context cancelled", func(_ net.Conn, ctx context.Context) context.Context {
			ctx, cancel := context.WithCancel(ctx)
			cancel()
			return ctx
		}},
		{"end of connection unread in the socket", func(far net.Conn, ctx context.Context) context.Context {
			far.Close()
			return ctx
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			g := NewWithT(t)
			gateway := &Gateway{dispatcher: dispatch.New(dispatch.DefaultOptions()), calls: make(map[string]*call)}
			var err error
			gateway.metrics, err = newMetrics(gateway)
			g.Expect(err).NotTo(HaveOccurred())
			// select chooses randomly among ready cases, so several runs are needed.
			for range 20 {
				near, far := tcpPair(t)
				r := httptest.NewRequest("POST", "/", nil)
				r = r.WithContext(x.disconnect(far, withConn(r.Context(), near)))
				c := &call{
					key: "id", request: &dispatch.Request{ID: "id", Route: &routing.Route{Name: "draft"}},
					effects: make(chan dispatch.Effect, effectQueueSize),
				}
				c.deliver(dispatch.Send{ID: "id", Attempt: 1})
				g.Eventually(func() bool { return callerDisconnected(r) }).Should(BeTrue())
				gateway.executeEffects(httptest.NewRecorder(), r, c)
			}
		})
	}
}

// An organisation over its share is told so; other refusals say that there is no room.
func TestRefusalStatus(t *testing.T) {
	g := NewWithT(t)
	for reason, want := range map[dispatch.Reason]int{
		dispatch.ReasonOverShare: 429, dispatch.ReasonOverloaded: 503, dispatch.ReasonNoUpstream: 503, dispatch.ReasonCrashes: 503,
	} {
		near, _ := tcpPair(t)
		gateway := &Gateway{dispatcher: dispatch.New(dispatch.DefaultOptions()), calls: make(map[string]*call)}
		var err error
		gateway.metrics, err = newMetrics(gateway)
		g.Expect(err).NotTo(HaveOccurred())
		c := &call{
			key: "id", request: &dispatch.Request{ID: "id", Route: &routing.Route{Name: "draft"}},
			effects: make(chan dispatch.Effect, effectQueueSize),
		}
		c.deliver(dispatch.Refuse{ID: "id", Reason: reason, RetryAfter: time.Second})
		r := httptest.NewRequest("POST", "/", nil)
		w := httptest.NewRecorder()
		gateway.executeEffects(w, r.WithContext(withConn(r.Context(), near)), c)
		g.Expect(w.Code).To(Equal(want), string(reason))
		g.Expect(w.Header().Get("Retry-After")).To(Equal("1.000"))
	}
}

// tcpPair returns both ends of a TCP connection over loopback.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if far, err = net.Dial("tcp4", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if near, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}
