package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// TestStopServesAcceptedConnections: a connection that the listener has accepted but
// not yet handed to the server when the router stops is answered.
func TestStopServesAcceptedConnections(t *testing.T) {
	g := NewWithT(t)
	tcpListener, err := listenForCallers(t.Context(), "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	gw := &Gateway{
		options: Options{Grace: time.Minute}, pressure: pressure{admission: newAdmission(0)}, conns: newConns(0),
		dispatcher: dispatch.New(dispatch.DefaultOptions()),
	}
	listener := newShedListener(tcpListener, gw)
	callers := &http.Server{
		ConnState: gw.conns.onConnState, ConnContext: withConn,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer connOf(r).(*callerConn).enterHandler()()
			w.WriteHeader(http.StatusNoContent)
		}),
	}
	c, err := net.Dial("tcp4", tcpListener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	served, drained := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(drained)
		gw.beginStop(time.Now())
		gw.drain(callers, tcpListener, nil, served)
	}()
	// The listener has stopped by then; the server gets the connection late.
	time.Sleep(rotationDelay + 300*time.Millisecond)
	go func() {
		if err := callers.Serve(listener); err == nil {
			t.Error("the server ended without a reason")
		}
		close(served)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
	g.Eventually(drained, 30*time.Second).Should(BeClosed())
}

// TestAwaitNoPendingReadsWaitsForTheHandler: it returns only once the handler of a
// request that has been read runs, the connection is idle or it is closed.
func TestAwaitNoPendingReadsWaitsForTheHandler(t *testing.T) {
	g := NewWithT(t)
	ln, err := listenForCallers(t.Context(), "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	gw := &Gateway{conns: newConns(0)}
	for _, end := range []func(*callerConn){
		func(c *callerConn) { c.enterHandler()() },
		func(c *callerConn) { gw.conns.onConnState(c, http.StateIdle) },
		func(c *callerConn) { gw.conns.onConnState(c, http.StateClosed) },
	} {
		far, err := net.Dial("tcp4", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer far.Close()
		near, err := ln.AcceptTCP()
		g.Expect(err).NotTo(HaveOccurred())
		defer near.Close()
		c := gw.conns.wrap(near, nil)
		gw.conns.onConnState(c, http.StateNew)
		_, err = io.WriteString(far, "GET")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = c.Read(make([]byte, 3))
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(t.Context(), 10*quietPolls*readPoll)
		defer cancel()
		g.Expect(gw.conns.awaitNoPendingReads(ctx)).To(MatchError(context.DeadlineExceeded))
		end(c)
		g.Expect(gw.conns.awaitNoPendingReads(t.Context())).To(Succeed())
	}
}

func TestStoppingRouterTakesWhatItCanFinish(t *testing.T) {
	const grace = 8 * time.Second
	for _, x := range []struct {
		name                  string
		after, route, timeout time.Duration
		taken                 bool
	}{
		{"in rotation still", rotationDelay - 1, 0, time.Minute, true},
		{"long", rotationDelay, 0, time.Minute, false},
		{"short", rotationDelay, 0, time.Second, true},
		{"short by its route", rotationDelay, time.Second, time.Minute, true},
		{"short, at the end", grace - graceMargin - endMargin - time.Second, 0, time.Second, false},
	} {
		gw := &Gateway{options: Options{Grace: grace}}
		start := time.Unix(1000, 0)
		route := &routing.Route{Timeout: x.route}
		g := NewWithT(t)
		g.Expect(gw.hasTimeFor(start, route, x.timeout)).To(BeTrue(), "not stopping")
		gw.beginStop(start)
		g.Expect(gw.hasTimeFor(start.Add(x.after), route, x.timeout)).To(Equal(x.taken), x.name)
	}
}
