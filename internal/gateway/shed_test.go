package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/dispatch"
)

// anonymous finds nothing in a caller's header.
type anonymous struct{ Protocol }

func (anonymous) Caller(http.Header) (Caller, error) { return Caller{}, nil }

// shedding listens for a router with a number of cores, and hands out the connections
// that it accepts.
func shedding(t testing.TB, cores float64) (addr string, accepted chan net.Conn) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { ln.Close() })
	gw := &Gateway{
		options: Options{Protocol: anonymous{}}, pressure: pressure{intake: newIntake(cores)},
		dispatcher: dispatch.New(dispatch.DefaultOptions()),
	}
	gw.metrics, err = newMetrics(gw)
	g.Expect(err).NotTo(HaveOccurred())
	gw.conns = newConns(0)
	l := &shedListener{TCPListener: ln.(*net.TCPListener), g: gw}
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
	return ln.Addr().String(), accepted
}

// TestNoProcessorTimeRefusesAtOnce whole requests, long ones, chunked ones and those
// whose header is longer than the buffer, or whose body never comes: as not run, with a time to come back, and
// without a reset that would take the answer away.
func TestNoProcessorTimeRefusesAtOnce(t *testing.T) {
	g := NewWithT(t)
	addr, accepted := shedding(t, 1e-9)
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

// TestConnectionsAreChargedAsTheyAreTaken: those that come at once are bounded by the
// processor time saved up, also before the first of them is served.
func TestConnectionsAreChargedAsTheyAreTaken(t *testing.T) {
	g := NewWithT(t)
	const cores, dials = 0.01, 100
	started := time.Now()
	addr, accepted := shedding(t, cores)
	taken := 0
	for range dials {
		c, err := net.Dial("tcp4", addr)
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
	}
	for settled := false; !settled; {
		select {
		case <-accepted:
			taken++
		case <-time.After(100 * time.Millisecond):
			settled = true
		}
	}
	time := intakeBurst + time.Since(started)
	g.Expect(taken).To(BeNumerically(">", 0))
	g.Expect(float64(taken)).To(BeNumerically("<=", 1+intakeShare*cores*time.Seconds()/costFirst.Seconds()))
}

// TestPaidConnectionServesItsFirstRequest without being charged again.
func TestPaidConnectionServesItsFirstRequest(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := newConns(0)
	c.pay(near)
	g.Expect(c.takePaid(near)).To(BeTrue())
	g.Expect(c.takePaid(near)).To(BeFalse())
	c.pay(near)
	c.changed(near, http.StateNew)
	c.changed(near, http.StateClosed)
	g.Expect(c.takePaid(near)).To(BeFalse())
}

func TestProcessorTimeLetsConnectionsIn(t *testing.T) {
	g := NewWithT(t)
	addr, accepted := shedding(t, 0)
	c, err := net.Dial("tcp4", addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	g.Eventually(accepted, 30*time.Second).Should(Receive())
}

// BenchmarkRefusal is the cost of a refusal without a server, the caller's part
// included.
func BenchmarkRefusal(b *testing.B) {
	addr, _ := shedding(b, 1e-9)
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
