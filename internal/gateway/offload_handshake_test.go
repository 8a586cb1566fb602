package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/sockets"
)

const offloadedHeader = "POST /book/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"

// offloadTest is a caller's connection that a router offloads to a peer, played by the test.
type offloadTest struct {
	*GomegaWithT
	o *offloader
	// caller is the caller's end, atRouter that of the router, reader its buffer.
	caller, atRouter *net.TCPConn
	reader           *bufio.Reader
	peers            *net.TCPListener
}

// connect returns both ends of a connection.
func connect(g *GomegaWithT, ln *net.TCPListener) (dialled, accepted *net.TCPConn) {
	conn, err := net.Dial("tcp4", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err = ln.AcceptTCP()
	g.Expect(err).NotTo(HaveOccurred())
	return conn.(*net.TCPConn), accepted
}

func newOffloadTest(t *testing.T) *offloadTest {
	g := NewWithT(t)
	listen := func() *net.TCPListener {
		ln, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { ln.Close() })
		return ln
	}
	gw := &Gateway{options: Options{Domain: "d"}, conns: newConns(0), pressure: pressure{admission: newAdmission(1)}}
	var err error
	gw.metrics, err = newMetrics(gw)
	g.Expect(err).NotTo(HaveOccurred())
	x := &offloadTest{GomegaWithT: g, o: newOffloader(gw), peers: listen()}
	x.caller, x.atRouter = connect(g, listen())
	t.Cleanup(func() { x.caller.Close(); x.atRouter.Close() })
	x.reader = bufio.NewReader(x.atRouter)
	_, err = io.WriteString(x.caller, "body")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = x.reader.Peek(4)
	g.Expect(err).NotTo(HaveOccurred())
	x.reportSpare()
	return x
}

// reportSpare gives the peer time to spare.
func (x *offloadTest) reportSpare() {
	x.o.mu.Lock()
	defer x.o.mu.Unlock()
	x.o.state.Report(time.Now().Add(-time.Second), x.peers.Addr().String(), 1)
	x.o.state.Report(time.Now(), x.peers.Addr().String(), 1)
}

// offload offloads the connection, with that much time left for the request.
func (x *offloadTest) offload(left time.Duration) bool {
	return x.o.offload(x.atRouter, x.reader, []byte(offloadedHeader), parsedRequest{expiresAt: time.Now().Add(left)})
}

// TestRequestIsNotSentToAPeerThatDoesNotTakeIt: a frozen peer, whose kernel accepts the
// connection, and one without processor time get no byte of the request, so the router may
// answer that it has not run. A silent one gets no other request until it reports again.
func TestRequestIsNotSentToAPeerThatDoesNotTakeIt(t *testing.T) {
	for name, answer := range map[string][]byte{"silent": nil, "busy": {handshakeBusy}, "another protocol": []byte("HTTP")} {
		t.Run(name, func(t *testing.T) {
			x := newOffloadTest(t)
			received := make(chan string, 1)
			go func() {
				c, err := x.peers.AcceptTCP()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				if _, err := c.Write(answer); err != nil {
					t.Error(err)
				}
				// The router closes the connection.
				b, _ := io.ReadAll(c)
				received <- string(b)
			}()
			x.Expect(x.offload(10 * time.Second)).To(BeFalse())
			x.Expect(<-received).To(BeEmpty())
			rest, err := x.reader.Peek(4)
			x.Expect(err).NotTo(HaveOccurred())
			x.Expect(string(rest)).To(Equal("body"), "the connection is as it was")
			x.Expect(x.o.available(time.Now())).To(BeFalse())
			if name == "silent" {
				x.Expect(x.o.available(time.Now().Add(time.Second))).To(BeFalse())
				x.reportSpare()
				x.Expect(x.o.available(time.Now())).To(BeTrue())
			}
		})
	}
}

// TestPeerThatFallsSilentDoesNotHoldTheCaller: once the request's time is over the caller is
// told that it may have run, within an answer its connection breaks.
func TestPeerThatFallsSilentDoesNotHoldTheCaller(t *testing.T) {
	for name, part := range map[string]string{"before the answer": "", "within the answer": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"} {
		t.Run(name, func(t *testing.T) {
			x := newOffloadTest(t)
			go func() {
				c, err := x.peers.AcceptTCP()
				if err != nil {
					t.Error(err)
					return
				}
				t.Cleanup(func() { c.Close() })
				if _, err := c.Write([]byte{handshakeTaken}); err != nil {
					t.Error(err)
				}
				left, err := readTimeLeft(c)
				if err != nil || left <= 0 || left > 300*time.Millisecond {
					t.Error(left, err)
				}
				b := make([]byte, len(offloadedHeader)+4)
				if _, err := io.ReadFull(c, b); err != nil || string(b) != offloadedHeader+"body" {
					t.Error(string(b), err)
				}
				if _, err := io.WriteString(c, part); err != nil {
					t.Error(err)
				}
			}()
			reported := time.Now()
			x.Expect(x.offload(300 * time.Millisecond)).To(BeTrue())
			x.atRouter.Close()
			got, err := io.ReadAll(x.caller)
			if part == "" {
				x.Expect(x.o.available(reported)).To(BeFalse())
				x.Expect(err).NotTo(HaveOccurred())
				x.Expect(string(got)).To(Equal(string(lateAnswer)))
				return
			}
			x.Expect(err).To(HaveOccurred(), "a part must not look whole")
			x.Expect(strings.HasPrefix(string(got), "HTTP/1.1 200") || len(got) == 0).To(BeTrue())
		})
	}
}

// TestCallerThatLeavesWhileAPeerIsAskedIsNotServed: its request reaches nobody.
func TestCallerThatLeavesWhileAPeerIsAskedIsNotServed(t *testing.T) {
	x := newOffloadTest(t)
	received := make(chan string, 1)
	go func() {
		c, err := x.peers.AcceptTCP()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		x.caller.Close()
		x.Eventually(func() error { _, err := x.atRouter.Write(nil); return err }).Should(Succeed())
		if _, err := c.Write([]byte{handshakeTaken}); err != nil {
			t.Error(err)
		}
		b, _ := io.ReadAll(c)
		received <- string(b)
	}()
	x.Expect(x.offload(10 * time.Second)).To(BeTrue())
	x.Expect(<-received).To(BeEmpty())
}

// TestTimeLeftOfAnOffloadedRequest: the peer gives a request no more time than its caller has
// left.
func TestTimeLeftOfAnOffloadedRequest(t *testing.T) {
	x := newOffloadTest(t)
	router, atPeer := connect(x.GomegaWithT, x.peers)
	defer router.Close()
	conn := x.o.g.conns.wrap(atPeer, nil)
	defer conn.Close()
	conn.offloaded = true
	_, err := router.Write(append(appendTimeLeft(nil, 1500*time.Millisecond), "GET"...))
	x.Expect(err).NotTo(HaveOccurred())
	b := make([]byte, 8)
	n, err := conn.Read(b)
	x.Expect(err).NotTo(HaveOccurred())
	x.Expect(string(b[:n])).To(Equal("GET"))
	x.Expect(conn.expiresAt).To(BeTemporally("~", time.Now().Add(1500*time.Millisecond), time.Second))
	x.Expect(readTimeLeft(strings.NewReader("\x00"))).Error().To(HaveOccurred())
	over := appendTimeLeft(nil, -time.Second)
	x.Expect(over).To(Equal([]byte{0, 0, 0, 0}))
}

// TestCallerThatDoesNotSendItsBodyIsNotItsPeersFault: the peer has nothing to answer yet, and
// gets other connections.
func TestCallerThatDoesNotSendItsBodyIsNotItsPeersFault(t *testing.T) {
	x := newOffloadTest(t)
	go func() {
		c, err := x.peers.AcceptTCP()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		if _, err := c.Write([]byte{handshakeTaken}); err != nil {
			t.Error(err)
		}
		_, _ = io.Copy(io.Discard, c) // the router closes the connection, also by a reset
	}()
	header := strings.Replace(offloadedHeader, "Length: 4", "Length: 5", 1)
	reported := time.Now()
	x.Expect(x.o.offload(x.atRouter, x.reader, []byte(header), parsedRequest{expiresAt: reported.Add(200 * time.Millisecond)})).To(BeTrue())
	x.Expect(x.o.available(reported)).To(BeTrue())
}

// partWriter writes a part and fails.
type partWriter struct{}

func (partWriter) Write([]byte) (int, error) { return 3, io.ErrShortWrite }

// TestPartOfAChunkCounts: nothing else may follow bytes of an answer.
func TestPartOfAChunkCounts(t *testing.T) {
	g := NewWithT(t)
	n, err := copyChunks(partWriter{}, bufio.NewReader(strings.NewReader("answer")))
	g.Expect(err).To(MatchError(io.ErrShortWrite))
	g.Expect(n).To(Equal(3))
}

// TestTakenConnectionIsServedAtAStop: a router that has said that it takes a connection waits
// for the request, and one whose server has ended says that it does not take it.
func TestTakenConnectionIsServedAtAStop(t *testing.T) {
	for name, stopped := range map[string]bool{"taken": false, "server ended": true} {
		t.Run(name, func(t *testing.T) {
			x := newOffloadTest(t)
			gw := x.o.g
			gw.pressure.admission = newAdmission(0)
			router, atPeer := connect(x.GomegaWithT, x.peers)
			defer router.Close()
			defer atPeer.Close()
			l := &shedListener{g: gw, accepted: make(chan acceptResult), closed: make(chan struct{})}
			taken := make(chan net.Conn, 1)
			if stopped {
				close(l.closed)
			} else {
				go func() { taken <- (<-l.accepted).conn }()
			}
			err := l.takeOrRefuse(atPeer)
			if stopped {
				x.Expect(err).To(HaveOccurred())
				x.Expect(awaitTaken(router)).To(MatchError(errPeerBusy))
				x.Expect(gw.conns.awaitNoPendingReads(t.Context())).To(Succeed())
				return
			}
			x.Expect(err).NotTo(HaveOccurred())
			x.Expect(awaitTaken(router)).To(Succeed())
			ctx, cancel := context.WithTimeout(t.Context(), 10*quietPolls*readPoll)
			defer cancel()
			x.Expect(gw.conns.awaitNoPendingReads(ctx)).To(MatchError(context.DeadlineExceeded))
			gw.conns.onConnState(<-taken, http.StateClosed)
			x.Expect(gw.conns.awaitNoPendingReads(t.Context())).To(Succeed())
		})
	}
}

// TestRefusalIsWaitedForAtAStop: a request that a peer does not take is answered before the
// router ends.
func TestRefusalIsWaitedForAtAStop(t *testing.T) {
	x := newOffloadTest(t)
	gw := x.o.g
	gw.offloader, gw.options.Protocol = x.o, anonymous{}
	gw.pressure.admission = newAdmission(1e-9)
	x.reportSpare()
	callers, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	x.Expect(err).NotTo(HaveOccurred())
	defer callers.Close()
	caller, atRouter := connect(x.GomegaWithT, callers)
	defer caller.Close()
	_, err = io.WriteString(caller, offloadedHeader+"body")
	x.Expect(err).NotTo(HaveOccurred())
	l := &shedListener{g: gw, accepted: make(chan acceptResult), closed: make(chan struct{})}
	close(l.closed)
	l.startRefusal(unadmitted{conn: atRouter, acceptedAt: time.Now(), offloadCharge: 1})
	silent, err := x.peers.AcceptTCP()
	x.Expect(err).NotTo(HaveOccurred())
	defer silent.Close()
	x.Expect(gw.conns.awaitRefused(t.Context())).To(Succeed())
	x.Expect(sockets.HasUnread(caller)).To(BeTrue(), "it has its answer")
}

// TestTimeBeforeARequestIsSentDoesNotCount: callers open connections before they need them.
func TestTimeBeforeARequestIsSentDoesNotCount(t *testing.T) {
	const pause = time.Second
	x := newOffloadTest(t)
	gw := x.o.g
	gw.offloader, gw.options.Protocol = x.o, anonymous{}
	callers, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	x.Expect(err).NotTo(HaveOccurred())
	defer callers.Close()
	caller, atRouter := connect(x.GomegaWithT, callers)
	defer caller.Close()
	l := &shedListener{g: gw}
	l.startRefusal(unadmitted{conn: atRouter, acceptedAt: time.Now(), offloadCharge: 1})
	time.Sleep(pause)
	x.reportSpare()
	sentAt := time.Now()
	_, err = io.WriteString(caller, offloadedHeader+"body")
	x.Expect(err).NotTo(HaveOccurred())
	atPeer, err := x.peers.AcceptTCP()
	x.Expect(err).NotTo(HaveOccurred())
	defer atPeer.Close()
	_, err = atPeer.Write([]byte{handshakeTaken})
	x.Expect(err).NotTo(HaveOccurred())
	left, err := readTimeLeft(atPeer)
	x.Expect(err).NotTo(HaveOccurred())
	x.Expect(left).To(BeNumerically(">", defaultTimeout-time.Since(sentAt)-pause/2))
}
