package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/standin/engine"
	"github.com/jujubeford/jujubeford/internal/standin/netfault"
)

// orderTimeout is how long the orders of these tests may take.
const orderTimeout = 20 * time.Second

// startEngine runs an engine stand-in behind a real HTTP server.
func startEngine(t *testing.T, checkFencing bool) (addr string, e *engine.Engine) {
	t.Helper()
	listener, err := netfault.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e = engine.New(engine.Options{Name: "e", Slots: 1, CheckFencing: checkFencing}, listener)
	web := &http.Server{Handler: e.Handler()}
	go func() { _ = web.Serve(listener) }()
	t.Cleanup(func() { _ = web.Close() })
	return listener.Addr().String(), e
}

// loadOrder returns an order to load a model.
func loadOrder(addr, body string, token uint64) core.Order {
	now := time.Now()
	return core.Order{
		Addr: addr, Name: "load", Body: body, FencingToken: token,
		SendBefore: now.Add(orderTimeout), Deadline: now.Add(orderTimeout),
	}
}

// TestOrdersAtBothKindsOfEngine checks the outcome of an outdated order at an
// engine that checks fencing tokens and at one that ignores them, and which orders
// they report afterwards.
func TestOrdersAtBothKindsOfEngine(t *testing.T) {
	for _, tc := range []struct {
		name   string
		checks bool
		old    core.OrderStatus
		seen   core.OrderQueryResult
	}{
		{"checks fencing tokens", true, core.OrderFenced, core.OrderQueryResult{Op: 9, Known: true, Body: `["B"]`, FencingToken: 7, HighestToken: 7}},
		{"ignores fencing tokens", false, core.OrderApplied, core.OrderQueryResult{Op: 9, Known: true, Body: `["C"]`, FencingToken: 6, HighestToken: 7}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, ctx, c := NewWithT(t), context.Background(), NewOrderClient()
			addr, _ := startEngine(t, tc.checks)
			read := core.OrderQuery{Op: 9, Addr: addr, Name: "load"}
			g.Expect(c.ReadOrders(ctx, read)).To(Equal(core.OrderQueryResult{Op: 9, Known: true}))
			g.Expect(c.Send(ctx, loadOrder(addr, `["A"]`, 5))).To(Equal(core.OrderApplied))
			g.Expect(c.Send(ctx, loadOrder(addr, `["B"]`, 7))).To(Equal(core.OrderApplied))
			g.Expect(c.Send(ctx, loadOrder(addr, `["C"]`, 6))).To(Equal(tc.old))
			g.Expect(c.ReadOrders(ctx, read)).To(Equal(tc.seen))
		})
	}
}

// TestOrderAfterSendBeforeIsNotWritten checks that an order is not written after its
// SendBefore, even if that time passed while the connection was being established.
func TestOrderAfterSendBeforeIsNotWritten(t *testing.T) {
	g, ctx, c := NewWithT(t), context.Background(), NewOrderClient()
	addr, _ := startEngine(t, false)
	read := core.OrderQuery{Addr: addr, Name: "load"}

	c.now = func() time.Time { return time.Now().Add(2 * orderTimeout) }
	g.Expect(c.Send(ctx, loadOrder(addr, `["A"]`, 5))).To(Equal(core.OrderNotSent))
	g.Expect(c.ReadOrders(ctx, read)).To(Equal(core.OrderQueryResult{Known: true}))

	c.now = time.Now
	g.Expect(c.Send(ctx, loadOrder(addr, `["A"]`, 5))).To(Equal(core.OrderApplied))
	g.Expect(c.ReadOrders(ctx, read).Body).To(Equal(`["A"]`))
}

// TestOrderEnds checks the outcome of an order that gets no proper response, and
// that reading the orders of such an engine returns no knowledge of them.
func TestOrderEnds(t *testing.T) {
	refusing, e := startEngine(t, true)
	if err := e.SetFaults(engine.Faults{Refuse: true}); err != nil {
		t.Fatal(err)
	}
	respond := func(status int, body string) string {
		return serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		})
	}
	for _, tc := range []struct {
		name string
		addr string
		want core.OrderStatus
	}{
		{"no connection", refusing, core.OrderNotSent},
		{"no answer", listenWithoutReply(t), core.OrderUnknown},
		{"server error", respond(http.StatusInternalServerError, ""), core.OrderUnknown},
		{"unknown order", respond(http.StatusNotFound, ""), core.OrderRefused},
		{"redirect", respond(http.StatusFound, ""), core.OrderRefused},
		{"no list", respond(http.StatusOK, "<html>"), core.OrderApplied},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, c := NewWithT(t), NewOrderClient()
			o := loadOrder(tc.addr, `["A"]`, 5)
			o.Deadline = time.Now().Add(200 * time.Millisecond)
			g.Expect(c.Send(context.Background(), o)).To(Equal(tc.want))
			ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(200*time.Millisecond))
			defer cancel()
			g.Expect(c.ReadOrders(ctx, core.OrderQuery{Op: 3, Addr: tc.addr, Name: "load"})).To(Equal(core.OrderQueryResult{Op: 3}))
		})
	}
}

// TestRestartedEngineHasNoOrders checks that a restarted engine reports no orders,
// so that the sender can tell that it must repeat them.
func TestRestartedEngineHasNoOrders(t *testing.T) {
	g, ctx, c := NewWithT(t), context.Background(), NewOrderClient()
	addr, e := startEngine(t, true)
	g.Expect(c.Send(ctx, loadOrder(addr, `["A"]`, 5))).To(Equal(core.OrderApplied))
	g.Expect(e.SetFaults(engine.Faults{Poison: "doom"})).To(Succeed())
	body := `{"model":"m","messages":[{"role":"user","content":"doom"}]}`
	_, f := newClient(t).Do(ctx, &Request{
		Addr: addr, Method: "POST", Path: "/v1/chat/completions", Body: []byte(body), NewConn: true,
	})
	g.Expect(f).NotTo(BeNil())
	g.Eventually(func() core.OrderQueryResult {
		return c.ReadOrders(ctx, core.OrderQuery{Addr: addr, Name: "load"})
	}, orderTimeout, time.Millisecond).Should(Equal(core.OrderQueryResult{Known: true}))
}

// listenWithoutReply returns the address of a listener that never responds.
func listenWithoutReply(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}
