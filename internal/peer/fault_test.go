package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// shortTimeouts shortens the timeouts that the tests wait for.
func shortTimeouts(o *Options) {
	o.HandshakeTimeout = 300 * time.Millisecond
	o.WriteTimeout = 300 * time.Millisecond
	o.ProbeTimeout = 300 * time.Millisecond
	o.KeepAlive = 100 * time.Millisecond
}

func TestWrongKeyIsRejected(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, "a", nil)
	b := startNode(t, "b", func(o *Options) { o.Key = []byte("another key") })
	b.Dial(a.addr)
	g.Eventually(b.recordedEvents, eventTimeout).Should(Equal([]string{"failed"}))
	a.Dial(b.addr)
	g.Eventually(a.recordedEvents, eventTimeout).Should(Equal([]string{"failed"}))
	g.Expect(b.recordedEvents()).To(Equal([]string{"failed"}))
	g.Expect(a.Stats().Connections).To(BeZero())
	g.Expect(a.Send(b.id, pingMessage(1))).To(BeFalse())
}

func TestUnauthenticatedInput(t *testing.T) {
	oversize := binary.AppendUvarint(nil, maxHelloSize+1)
	for _, row := range []struct {
		name  string
		input []byte
	}{
		{"nothing", nil},
		{"garbage", bytes.Repeat([]byte{0xff}, 100)},
		{"a web request", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")},
		{"oversize hello", oversize},
		{"empty hello", []byte{0}},
		{"half a hello", []byte{100, 1, 2, 3}},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			n := startNode(t, "a", shortTimeouts)
			conn, err := net.Dial("tcp", n.addr)
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = conn.Write(row.input)
			g.Expect(err).NotTo(HaveOccurred())
			conn.SetReadDeadline(time.Now().Add(eventTimeout))
			_, err = io.Copy(io.Discard, conn)
			netErr, isNet := err.(net.Error)
			g.Expect(isNet && netErr.Timeout()).To(BeFalse(), "the router closes the connection")
			g.Expect(n.recordedEvents()).To(BeEmpty())
		})
	}
}

func TestReflectedProofIsRejected(t *testing.T) {
	g := NewWithT(t)
	n := startNode(t, "a", shortTimeouts)
	conn, err := net.Dial("tcp", n.addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(eventTimeout))
	// An attacker without the key can at best reflect the router's own proof, which
	// covers the same hellos.
	member := &wire.Member{Id: "z.1", Name: "z", PeerAddr: "127.0.0.1:1"}
	hello, err := proto.Marshal(&wire.Hello{Member: member, Nonce: make([]byte, nonceSize), Version: protocolVersion})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = exchange(conn, hello)
	g.Expect(err).NotTo(HaveOccurred())
	proof, err := readFrame(unbufferedReader{conn}, maxHelloSize)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write(appendFrame(nil, proof))
	g.Expect(err).NotTo(HaveOccurred())
	rest, _ := io.ReadAll(conn)
	g.Expect(rest).To(BeEmpty(), "no connection decision is sent")
	g.Expect(n.recordedEvents()).To(BeEmpty())
}

func TestDialFailed(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, "a", shortTimeouts)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	a.Dial(ln.Addr().String())
	a.Dial(ln.Addr().String())
	g.Eventually(a.recordedEvents, eventTimeout).Should(Equal([]string{"failed"}), "the listener never answers")
	a.Dial(a.addr)
	g.Eventually(a.recordedEvents, eventTimeout).Should(Equal([]string{"failed", "failed"}), "the router dials itself")
}

func TestSimultaneousDial(t *testing.T) {
	for range 20 {
		g := NewWithT(t)
		a, b := startNode(t, "a", nil), startNode(t, "b", nil)
		a.Dial(b.addr)
		b.Dial(a.addr)
		g.Eventually(func() bool {
			return a.Send(b.id, pingMessage(1)) && b.Send(a.id, pingMessage(1))
		}, eventTimeout).Should(BeTrue())
		g.Eventually(b.received, eventTimeout).ShouldNot(BeEmpty())
		g.Eventually(a.received, eventTimeout).ShouldNot(BeEmpty())
		countEvents := func(n *node) (ups, downs int) {
			for _, event := range n.recordedEvents() {
				switch event[:2] {
				case "up":
					ups++
				case "do":
					downs++
				}
			}
			return ups, downs
		}
		for _, n := range []*node{a, b} {
			up, down := countEvents(n)
			g.Expect([]int{up, down}).To(Equal([]int{1, 0}), "events %v", n.recordedEvents())
			g.Expect(n.Stats().Connections).To(Equal(1))
		}
		a.shutdown()
		b.shutdown()
	}
}

func TestRestart(t *testing.T) {
	g := NewWithT(t)
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.Dial(b.addr)
	g.Eventually(a.recordedEvents, eventTimeout).Should(Equal([]string{"up b.1"}))
	b.shutdown()
	g.Eventually(a.recordedEvents, eventTimeout).Should(Equal([]string{"up b.1", "down b.1"}))
	g.Expect(a.Send(b.id, pingMessage(1))).To(BeFalse())
	restarted := startNode(t, "b", func(o *Options) {
		member := &wire.Member{Id: "b.2", Name: "b", Domain: "a", PeerAddr: b.addr, Version: 1}
		o.Self = func() *wire.Member { return member }
	})
	restarted.Dial(a.addr)
	g.Eventually(a.recordedEvents, eventTimeout).Should(Equal([]string{"up b.1", "down b.1", "up b.2"}))
}

func TestCloseFlushes(t *testing.T) {
	g := NewWithT(t)
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.Dial(b.addr)
	g.Eventually(a.recordedEvents, eventTimeout).Should(HaveLen(1))
	const count = 500
	for i := range count {
		g.Expect(a.Send(b.id, pingMessage(uint64(i)))).To(BeTrue())
	}
	g.Expect(a.Send(b.id, bulkMessage(3<<20))).To(BeTrue())
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	g.Expect(a.Close(ctx)).To(Succeed())
	g.Eventually(b.received, eventTimeout).Should(HaveLen(count + 1))
	g.Eventually(b.recordedEvents, eventTimeout).Should(Equal([]string{"up a.1", "down a.1"}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Serve(ln)).To(MatchError(ErrClosed))
}

// bulkMessage returns a message that is sent on its own stream if size is at least
// bulkThreshold.
func bulkMessage(size int) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ConfigParts{ConfigParts: &wire.ConfigParts{Parts: [][]byte{make([]byte, size)}}}}
}

func TestMessageSizeLimits(t *testing.T) {
	g := NewWithT(t)
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.Dial(b.addr)
	g.Eventually(a.recordedEvents, eventTimeout).Should(HaveLen(1))
	g.Expect(a.Send(b.id, bulkMessage(maxBulkSize))).To(BeFalse(), "bulk message over the limit")
	large := &wire.Envelope{Body: &wire.Envelope_CrashNotice{CrashNotice: &wire.CrashNotice{Fingerprint: make([]byte, maxControlSize)}}}
	g.Expect(a.Send(b.id, large)).To(BeFalse(), "control message over the limit")
	g.Expect(a.Send(b.id, bulkMessage(8<<20))).To(BeTrue())
	g.Expect(a.Send(b.id, pingMessage(1))).To(BeTrue())
	g.Eventually(b.received, eventTimeout).Should(HaveLen(2))
	g.Expect(a.recordedEvents()).To(Equal([]string{"up b.1"}), "the connection is kept")
}

// connectNode starts a node z that connects to n, and returns it with its link to n.
func connectNode(t *testing.T, n *node, configure func(*Options)) (*node, *link) {
	t.Helper()
	g := NewWithT(t)
	z := startNode(t, "z", configure)
	z.Dial(n.addr)
	g.Eventually(z.recordedEvents, eventTimeout).Should(Equal([]string{"up a.1"}))
	g.Eventually(n.recordedEvents, eventTimeout).Should(Equal([]string{"up z.1"}))
	z.Transport.mu.Lock()
	defer z.Transport.mu.Unlock()
	return z, z.links[n.id]
}

func TestBadFramesCloseTheConnection(t *testing.T) {
	for _, row := range []struct {
		name  string
		input []byte
	}{
		{"unknown stream kind", []byte{9}},
		{"second control stream", []byte{byte(streamControl)}},
		{"oversize bulk", binary.AppendUvarint([]byte{byte(streamBulk)}, maxBulkSize+1)},
		{"bad length", append([]byte{byte(streamBulk)}, bytes.Repeat([]byte{0xff}, 11)...)},
		{"garbage message", []byte{byte(streamBulk), 3, 0xff, 0xff, 0xff}},
		{"empty message", []byte{byte(streamBulk), 0}},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			n := startNode(t, "a", nil)
			z, l := connectNode(t, n, nil)
			// Once a message has arrived, z's own control stream is the first one.
			g.Expect(z.Send(n.id, pingMessage(1))).To(BeTrue())
			g.Eventually(n.received, eventTimeout).Should(HaveLen(1))
			stream, err := l.session.OpenStream()
			g.Expect(err).NotTo(HaveOccurred())
			// The write may fail, since the router may close the connection before it
			// returns.
			_, _ = stream.Write(row.input)
			g.Eventually(n.recordedEvents, eventTimeout).Should(Equal([]string{"up z.1", "down z.1"}))
			g.Eventually(l.isClosed, eventTimeout).Should(BeTrue())
			g.Expect(n.received()).To(HaveLen(1))
		})
	}
}

func TestSlowReaderIsDropped(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, "a", shortTimeouts)
	unblock := make(chan struct{})
	b := startNode(t, "b", shortTimeouts)
	b.onMessage = func() { <-unblock }
	a.Dial(b.addr)
	g.Eventually(a.recordedEvents, eventTimeout).Should(HaveLen(1))
	notice := &wire.Envelope{Body: &wire.Envelope_CrashNotice{CrashNotice: &wire.CrashNotice{Fingerprint: make([]byte, 64<<10)}}}
	g.Eventually(func() bool { return a.Send(b.id, notice) }, eventTimeout, time.Millisecond).Should(BeFalse())
	g.Eventually(a.recordedEvents, eventTimeout).Should(Equal([]string{"up b.1", "down b.1"}))
	close(unblock)
}

// blackholeRelay forwards connections to a target. When blackhole is closed, it
// drops all data on the connections that are open by then.
type blackholeRelay struct {
	net.Listener
	target    string
	blackhole chan struct{}
}

// relay accepts and forwards connections until the listener is closed. Connections
// accepted after blackhole was closed are forwarded without loss.
func (s *blackholeRelay) relay() {
	for {
		in, err := s.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", s.target)
		if err != nil {
			in.Close()
			continue
		}
		var blackhole <-chan struct{} = s.blackhole
		select {
		case <-blackhole:
			blackhole = nil
		default:
		}
		go pump(in, out, blackhole)
		go pump(out, in, blackhole)
	}
}

// pump copies data until blackhole is closed; then it reads and drops data.
func pump(from, to net.Conn, blackhole <-chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		select {
		case <-blackhole:
			// The close is not forwarded, either.
			if err != nil {
				return
			}
			continue
		default:
		}
		if err != nil {
			to.Close()
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			from.Close()
			return
		}
	}
}

func TestBlackholedConnection(t *testing.T) {
	for _, row := range []struct{ dialler, target string }{{"a", "b"}, {"b", "a"}} {
		t.Run(row.dialler+" dials", func(t *testing.T) {
			g := NewWithT(t)
			slowKeepAlive := func(o *Options) { shortTimeouts(o); o.KeepAlive = time.Hour }
			// The dialler detects the loss by its keepalive; the target detects it
			// only when the dialler connects again.
			a, b := startNode(t, row.dialler, shortTimeouts), startNode(t, row.target, slowKeepAlive)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer ln.Close()
			relay := &blackholeRelay{ln, b.addr, make(chan struct{})}
			go relay.relay()
			a.Dial(ln.Addr().String())
			g.Eventually(b.recordedEvents, eventTimeout).Should(HaveLen(1))
			close(relay.blackhole)
			up, down := "up "+string(b.id), "down "+string(b.id)
			g.Eventually(a.recordedEvents, eventTimeout).Should(Equal([]string{up, down}))
			g.Eventually(func() core.RouterID {
				a.Dial(ln.Addr().String())
				if a.Send(b.id, pingMessage(1)) {
					return b.id
				}
				return ""
			}, eventTimeout, 50*time.Millisecond).Should(Equal(b.id))
			g.Eventually(b.received, eventTimeout).ShouldNot(BeEmpty())
			g.Eventually(b.recordedEvents, eventTimeout).Should(Equal([]string{
				"up " + string(a.id), "down " + string(a.id), "up " + string(a.id),
			}))
		})
	}
}
