package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/routing"
	"github.com/jujubeford/jujubeford/internal/sockets"
)

// anonymous is a Protocol that finds nothing in a caller's header.
type anonymous struct{ Protocol }

func (anonymous) Caller(http.Header) (Caller, error) { return Caller{}, nil }

// startShedListener starts a shedListener for a router with a number of cores. It
// returns the listener's address and the connections returned by Accept.
func startShedListener(t testing.TB, cores float64, protocol Protocol) (addr string, accepted chan net.Conn, gw *Gateway) {
	return startPreparedShedListener(t, cores, protocol, func(*Gateway) {})
}

// startPreparedShedListener is startShedListener with a router that is prepared before.
func startPreparedShedListener(t testing.TB, cores float64, protocol Protocol, prepare func(*Gateway)) (addr string, accepted chan net.Conn, gw *Gateway) {
	g := NewWithT(t)
	ln, err := listenForCallers(t.Context(), "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	gw = &Gateway{
		options: Options{Protocol: protocol}, pressure: pressure{admission: newAdmission(cores)},
		dispatcher: dispatch.New(dispatch.DefaultOptions()),
	}
	gw.metrics, err = newMetrics(gw)
	g.Expect(err).NotTo(HaveOccurred())
	gw.conns = newConns(0)
	prepare(gw)
	l := newShedListener(ln, gw)
	t.Cleanup(func() { l.Close() })
	accepted = make(chan net.Conn, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	return ln.Addr().String(), accepted, gw
}

// TestNoProcessorTimeRefusesAtOnce: requests are refused as not run, with a Retry-After
// time and without a reset that would lose the answer, also if they are long or chunked,
// their header is longer than the buffer, or their body never arrives.
func TestNoProcessorTimeRefusesAtOnce(t *testing.T) {
	g := NewWithT(t)
	addr, accepted, _ := startShedListener(t, 1e-9, anonymous{})
	for _, request := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\ncontent-length: 100000\r\n\r\n" + strings.Repeat("x", 100_000),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: none\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*shedBuffer) + "\r\n\r\n",
	} {
		c, err := net.Dial("tcp4", addr)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(c, request)
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		g.Expect(err).NotTo(HaveOccurred(), "%.60q", request)
		g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(resp.Close).To(BeTrue())
		g.Expect(resp.Header.Get("Retry-After")).To(Equal("1.000"))
		g.Expect(c.Close()).To(Succeed())
	}
	g.Expect(accepted).To(BeEmpty())
}

// TestConnectionsAreChargedWhenAccepted: connections that arrive at once are bounded by
// the accumulated budget even before the first of them is served.
func TestConnectionsAreChargedWhenAccepted(t *testing.T) {
	g := NewWithT(t)
	const cores, dials = 0.01, 100
	started := time.Now()
	addr, accepted, _ := startShedListener(t, cores, anonymous{})
	acceptedCount := 0
	for range dials {
		c, err := net.Dial("tcp4", addr)
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
	}
	for quiet := false; !quiet; {
		select {
		case <-accepted:
			acceptedCount++
		case <-time.After(100 * time.Millisecond):
			quiet = true
		}
	}
	elapsed := admissionBurst + time.Since(started)
	g.Expect(acceptedCount).To(BeNumerically(">", 0))
	g.Expect(float64(acceptedCount)).To(BeNumerically("<=", 1+admissionShare*cores*elapsed.Seconds()/initialCost.Seconds()))
}

// TestOffloadsAreChargedWhenAccepted: connections that are to be offloaded are bounded by
// the budget even before the first of them has sent its request.
func TestOffloadsAreChargedWhenAccepted(t *testing.T) {
	g := NewWithT(t)
	const cores, dials = 0.01, 100
	addr, accepted, gw := startPreparedShedListener(t, cores, anonymous{}, func(gw *Gateway) {
		gw.offloader = newOffloader(gw)
		gw.options.Domain = "d"
		report := datagram{addr: "127.0.0.1:1", domain: "d", spare: 100, offloadPort: 2}
		gw.offloader.handleReport(time.Now(), &report)
	})
	time.Sleep(20 * time.Millisecond)
	started := time.Now()
	for range dials {
		c, err := net.Dial("tcp4", addr)
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
	}
	budget := admissionShare * cores * (admissionBurst + time.Since(started) + time.Second).Seconds()
	time.Sleep(50 * time.Millisecond)
	g.Expect(accepted).To(BeEmpty(), "what is above the reserve is kept for offloading")
	offloaded := gw.pressure.admission.stats().offloaded
	g.Expect(offloaded).To(BeNumerically(">", 0))
	g.Expect(float64(offloaded)).To(BeNumerically("<=", budget/(offloadCostShare*initialCost.Seconds())))
}

// TestCallerThatHasLeftIsNotOffloaded: in a flood connections wait for longer than their
// callers do. Neither is a request whose header is longer than the buffer: when it has to end
// is not known.
func TestCallerThatHasLeftIsNotOffloaded(t *testing.T) {
	g := NewWithT(t)
	peer, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer peer.Close()
	offloaded := make(chan struct{}, 2)
	go func() {
		for {
			c, err := peer.Accept()
			if err != nil {
				return
			}
			c.Close()
			offloaded <- struct{}{}
		}
	}()
	ln, err := listenForCallers(t.Context(), "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	gw := &Gateway{options: Options{Protocol: anonymous{}, Domain: "d"}, pressure: pressure{admission: newAdmission(1e-6)}, conns: newConns(0), dispatcher: dispatch.New(dispatch.DefaultOptions())}
	gw.metrics, err = newMetrics(gw)
	g.Expect(err).NotTo(HaveOccurred())
	gw.offloader = newOffloader(gw)
	port := uint16(peer.Addr().(*net.TCPAddr).Port)
	gw.offloader.handleReport(time.Now(), &datagram{addr: "127.0.0.1:1", domain: "d", spare: 100, offloadPort: port})
	time.Sleep(20 * time.Millisecond)
	l := &shedListener{TCPListener: ln, g: gw}
	refuse := func(leaves bool, field string) {
		c, err := net.Dial("tcp4", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+field+"Content-Length: 4\r\n\r\nbody")
		g.Expect(err).NotTo(HaveOccurred())
		if leaves {
			c.Close()
		}
		accepted, err := ln.AcceptTCP()
		g.Expect(err).NotTo(HaveOccurred())
		l.refuse(unadmitted{conn: accepted, offloadCharge: 1})
	}
	refuse(true, "")
	g.Consistently(offloaded, 100*time.Millisecond).ShouldNot(Receive())
	refuse(false, "X: "+strings.Repeat("x", 2*shedBuffer)+"\r\n")
	g.Consistently(offloaded, 100*time.Millisecond).ShouldNot(Receive())
	refuse(false, "")
	g.Eventually(offloaded, 30*time.Second).Should(Receive())
}

// keyed is a Protocol that finds the id and the key in a caller's header.
type keyed struct{ Protocol }

func (keyed) Caller(h http.Header) (Caller, error) {
	return Caller{ID: h.Get("Id"), Key: h.Get("Key")}, nil
}

// TestUnderservedOrganisationIsServed: an underserved organisation's request is served
// whole while others are refused.
func TestUnderservedOrganisationIsServed(t *testing.T) {
	g := NewWithT(t)
	addr, accepted, gw := startShedListener(t, 1e-3, keyed{})
	gw.table.Store(routing.NewTable(1, routing.Limits{}, nil, nil, []routing.Organisation{
		{Name: "underserved", Keys: []string{"underserved"}}, {Name: "served", Keys: []string{"served"}},
	}))
	admissionControl := gw.pressure.admission
	admissionControl.admit(time.Now(), false)
	for range 100 {
		admissionControl.attribute(time.Now(), "served")
	}
	ask := func(key string) net.Conn {
		c, err := net.Dial("tcp4", addr)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { c.Close() })
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nKey: "+key+"\r\nContent-Length: 4\r\n\r\nbody")
		g.Expect(err).NotTo(HaveOccurred())
		return c
	}
	resp, err := http.ReadResponse(bufio.NewReader(ask("served")), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	ask("underserved")
	var c net.Conn
	g.Eventually(accepted, 30*time.Second).Should(Receive(&c))
	defer c.Close()
	g.Expect(gw.conns.takeCharge(c)).To(Equal(charge{admitted: true, attributed: true}))
	req, err := http.ReadRequest(bufio.NewReader(c))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(req.Header.Get("Key")).To(Equal("underserved"))
	body, err := io.ReadAll(req.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("body"))
	g.Expect(sockets.ClosedByPeer(c)).To(BeFalse())
}

// TestChargeIsTakenOnce: the first request on an admitted connection is not charged
// again, and later ones are; closing the connection drops the charge.
func TestChargeIsTakenOnce(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := newConns(0)
	c.setCharge(near, charge{admitted: true})
	g.Expect(c.takeCharge(near).admitted).To(BeTrue())
	g.Expect(c.takeCharge(near).admitted).To(BeFalse())
	c.setCharge(near, charge{admitted: true})
	c.onConnState(near, http.StateNew)
	c.onConnState(near, http.StateClosed)
	g.Expect(c.takeCharge(near).admitted).To(BeFalse())
}

func TestUnlimitedProcessorTimeAcceptsConnections(t *testing.T) {
	g := NewWithT(t)
	addr, accepted, _ := startShedListener(t, 0, anonymous{})
	c, err := net.Dial("tcp4", addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	g.Eventually(accepted, 30*time.Second).Should(Receive())
}

// BenchmarkRefusal measures a refusal without an http.Server, including the caller's
// part.
func BenchmarkRefusal(b *testing.B) {
	addr, _, _ := startShedListener(b, 1e-9, anonymous{})
	request := []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2400\r\n\r\n" + strings.Repeat("x", 2400))
	for b.Loop() {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, c); err != nil {
			b.Fatal(err)
		}
		if err := c.Close(); err != nil {
			b.Fatal(err)
		}
	}
}

// TestListenerSurvivesDescriptorExhaustion: the server goes on with connections that
// arrive once descriptors are available again.
func TestListenerSurvivesDescriptorExhaustion(t *testing.T) {
	g := NewWithT(t)
	ln, err := listenForCallers(t.Context(), "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	gw := &Gateway{pressure: pressure{admission: newAdmission(0)}, conns: newConns(0)}
	acceptFailures := 3
	l := newShedListenerFunc(ln, gw, func() (net.Conn, error) {
		if acceptFailures--; acceptFailures >= 0 {
			return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
		}
		return ln.Accept()
	}, nil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	resp, err := http.Get("http://" + ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
	g.Expect(server.Close()).To(Succeed())
	g.Eventually(ended, 30*time.Second).Should(Receive(MatchError(http.ErrServerClosed)))
}

// TestSilentConnectionsAreBoundedInAFlood: with no processor time, connections that send nothing
// take no more descriptors than there are.
func TestSilentConnectionsAreBoundedInAFlood(t *testing.T) {
	g := NewWithT(t)
	const limit, silent = 10, 40
	addr, _, gw := startPreparedShedListener(t, 1e-9, anonymous{}, func(gw *Gateway) { gw.conns = newConns(limit) })
	var open []net.Conn
	for range silent {
		c, err := net.Dial("tcp4", addr)
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		open = append(open, c)
	}
	var most int64
	g.Eventually(func() []net.Conn {
		most = max(most, gw.conns.refusals.Load())
		open = slices.DeleteFunc(open, sockets.ClosedByPeer)
		return open
	}, 30*time.Second, time.Millisecond).Should(BeEmpty())
	g.Expect(most).To(BeNumerically("<=", limit))
}

// BenchmarkFlood measures refusals of requests that have arrived by the time their
// connections are accepted, without the callers' part: with a goroutine each and without.
func BenchmarkFlood(b *testing.B) {
	const batch = 100
	request := []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2400\r\n\r\n" + strings.Repeat("x", 2400))
	for name, unpolled := range map[string]bool{"polled": false, "unpolled": true} {
		b.Run(name, func(b *testing.B) {
			ln, err := listenForCallers(b.Context(), "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer ln.Close()
			gw := &Gateway{options: Options{Protocol: anonymous{}}, pressure: pressure{admission: newAdmission(1e-9)}, conns: newConns(0), dispatcher: dispatch.New(dispatch.DefaultOptions())}
			if gw.metrics, err = newMetrics(gw); err != nil {
				b.Fatal(err)
			}
			raw, err := ln.SyscallConn()
			if err != nil {
				b.Fatal(err)
			}
			l := &shedListener{TCPListener: ln, g: gw, unpolledBuffer: make([]byte, unpolledRequestBytes)}
			var callers [batch]net.Conn
			for i := 0; b.Loop(); i++ {
				if i%batch == 0 {
					b.StopTimer()
					for j := range callers {
						if callers[j] != nil {
							callers[j].Close()
						}
						if callers[j], err = net.Dial("tcp4", ln.Addr().String()); err != nil {
							b.Fatal(err)
						}
						if _, err := callers[j].Write(request); err != nil {
							b.Fatal(err)
						}
					}
					b.StartTimer()
				}
				left := 1
				if unpolled {
					err = sockets.AcceptUnpolled(raw, func() bool { return left > 0 }, func(fd int) {
						left--
						l.refuseUnpolled(fd)
					})
				} else {
					var c *net.TCPConn
					if c, err = ln.AcceptTCP(); err == nil {
						l.refuse(unadmitted{conn: c})
					}
				}
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
