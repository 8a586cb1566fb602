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

// hurried shortens the timeouts that a test waits for.
func hurried(o *Options) {
	o.HandshakeTimeout = 300 * time.Millisecond
	o.WriteTimeout = 300 * time.Millisecond
	o.ProbeTimeout = 300 * time.Millisecond
	o.KeepAlive = 100 * time.Millisecond
}

func TestWrongKeyChangesNothing(t *testing.T) {
	g := NewWithT(t)
	a := start(t, "a", nil)
	b := start(t, "b", func(o *Options) { o.Key = []byte("another key") })
	b.Dial(a.addr)
	g.Eventually(b.seen, patience).Should(Equal([]string{"failed"}))
	a.Dial(b.addr)
	g.Eventually(a.seen, patience).Should(Equal([]string{"failed"}))
	g.Expect(b.seen()).To(Equal([]string{"failed"}))
	g.Expect(a.Stats().Connections).To(BeZero())
	g.Expect(a.Send(b.id, seqMessage(1))).To(BeFalse())
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
			n := start(t, "a", hurried)
			conn, err := net.Dial("tcp", n.addr)
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = conn.Write(row.input)
			g.Expect(err).NotTo(HaveOccurred())
			conn.SetReadDeadline(time.Now().Add(patience))
			_, err = io.Copy(io.Discard, conn)
			netErr, isNet := err.(net.Error)
			g.Expect(isNet && netErr.Timeout()).To(BeFalse(), "the router closes the connection")
			g.Expect(n.seen()).To(BeEmpty())
		})
	}
}

func TestReflectedProofIsRefused(t *testing.T) {
	g := NewWithT(t)
	n := start(t, "a", hurried)
	conn, err := net.Dial("tcp", n.addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	// Without the key, the best that can be done is to send the proof back that
	// came over the same greetings.
	member := &wire.Member{Id: "z.1", Name: "z", PeerAddr: "127.0.0.1:1"}
	hello, err := proto.Marshal(&wire.Hello{Member: member, Nonce: make([]byte, nonceSize), Version: protocolVersion})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = exchange(conn, hello)
	g.Expect(err).NotTo(HaveOccurred())
	proof, err := readFrame(oneByteReader{conn}, maxHelloSize)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write(appendFrame(nil, proof))
	g.Expect(err).NotTo(HaveOccurred())
	rest, _ := io.ReadAll(conn)
	g.Expect(rest).To(BeEmpty(), "no verdict is given")
	g.Expect(n.seen()).To(BeEmpty())
}

func TestDialReachesNobody(t *testing.T) {
	g := NewWithT(t)
	a := start(t, "a", hurried)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	a.Dial(ln.Addr().String())
	a.Dial(ln.Addr().String())
	g.Eventually(a.seen, patience).Should(Equal([]string{"failed"}), "a listener that never answers")
	a.Dial(a.addr)
	g.Eventually(a.seen, patience).Should(Equal([]string{"failed", "failed"}), "itself")
}

func TestSimultaneousDial(t *testing.T) {
	for range 20 {
		g := NewWithT(t)
		a, b := start(t, "a", nil), start(t, "b", nil)
		a.Dial(b.addr)
		b.Dial(a.addr)
		g.Eventually(func() bool {
			return a.Send(b.id, seqMessage(1)) && b.Send(a.id, seqMessage(1))
		}, patience).Should(BeTrue())
		g.Eventually(b.received, patience).ShouldNot(BeEmpty())
		g.Eventually(a.received, patience).ShouldNot(BeEmpty())
		ups := func(n *node) (ups, downs int) {
			for _, event := range n.seen() {
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
			up, down := ups(n)
			g.Expect([]int{up, down}).To(Equal([]int{1, 0}), "events %v", n.seen())
			g.Expect(n.Stats().Connections).To(Equal(1))
		}
		a.stopNow()
		b.stopNow()
	}
}

func TestRestart(t *testing.T) {
	g := NewWithT(t)
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.Dial(b.addr)
	g.Eventually(a.seen, patience).Should(Equal([]string{"up b.1"}))
	b.stopNow()
	g.Eventually(a.seen, patience).Should(Equal([]string{"up b.1", "down b.1"}))
	g.Expect(a.Send(b.id, seqMessage(1))).To(BeFalse())
	again := start(t, "b", func(o *Options) {
		member := &wire.Member{Id: "b.2", Name: "b", Domain: "a", PeerAddr: b.addr, Version: 1}
		o.Self = func() *wire.Member { return member }
	})
	again.Dial(a.addr)
	g.Eventually(a.seen, patience).Should(Equal([]string{"up b.1", "down b.1", "up b.2"}))
}

func TestCloseFlushes(t *testing.T) {
	g := NewWithT(t)
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.Dial(b.addr)
	g.Eventually(a.seen, patience).Should(HaveLen(1))
	const count = 500
	for i := range count {
		g.Expect(a.Send(b.id, seqMessage(uint64(i)))).To(BeTrue())
	}
	g.Expect(a.Send(b.id, partsOf(3<<20))).To(BeTrue())
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	g.Expect(a.Close(ctx)).To(Succeed())
	g.Eventually(b.received, patience).Should(HaveLen(count + 1))
	g.Eventually(b.seen, patience).Should(Equal([]string{"up a.1", "down a.1"}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Serve(ln)).To(MatchError(ErrClosed))
}

// partsOf is a message that travels on a stream of its own.
func partsOf(size int) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ConfigParts{ConfigParts: &wire.ConfigParts{Parts: [][]byte{make([]byte, size)}}}}
}

func TestSizes(t *testing.T) {
	g := NewWithT(t)
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.Dial(b.addr)
	g.Eventually(a.seen, patience).Should(HaveLen(1))
	g.Expect(a.Send(b.id, partsOf(maxBulkSize))).To(BeFalse(), "bulk over the limit")
	large := &wire.Envelope{Body: &wire.Envelope_CrashNotice{CrashNotice: &wire.CrashNotice{Fingerprint: make([]byte, maxControlSize)}}}
	g.Expect(a.Send(b.id, large)).To(BeFalse(), "control over the limit")
	g.Expect(a.Send(b.id, partsOf(8<<20))).To(BeTrue())
	g.Expect(a.Send(b.id, seqMessage(1))).To(BeTrue())
	g.Eventually(b.received, patience).Should(HaveLen(2))
	g.Expect(a.seen()).To(Equal([]string{"up b.1"}), "the connection stands")
}

// breakIn connects to a node as an authenticated router and hands its link over.
func breakIn(t *testing.T, n *node, change func(*Options)) (*node, *link) {
	t.Helper()
	g := NewWithT(t)
	z := start(t, "z", change)
	z.Dial(n.addr)
	g.Eventually(z.seen, patience).Should(Equal([]string{"up a.1"}))
	g.Eventually(n.seen, patience).Should(Equal([]string{"up z.1"}))
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
			n := start(t, "a", nil)
			z, l := breakIn(t, n, nil)
			// A message on the control stream makes it the first one.
			g.Expect(z.Send(n.id, seqMessage(1))).To(BeTrue())
			g.Eventually(n.received, patience).Should(HaveLen(1))
			stream, err := l.session.OpenStream()
			g.Expect(err).NotTo(HaveOccurred())
			// The router may close the connection before the write returns, which
			// is then an error; what counts is that it closes.
			_, _ = stream.Write(row.input)
			g.Eventually(n.seen, patience).Should(Equal([]string{"up z.1", "down z.1"}))
			g.Eventually(l.isBroken, patience).Should(BeTrue())
			g.Expect(n.received()).To(HaveLen(1))
		})
	}
}

func TestSlowReaderIsDropped(t *testing.T) {
	g := NewWithT(t)
	a := start(t, "a", hurried)
	stuck := make(chan struct{})
	b := start(t, "b", hurried)
	b.onMessage = func() { <-stuck }
	a.Dial(b.addr)
	g.Eventually(a.seen, patience).Should(HaveLen(1))
	notice := &wire.Envelope{Body: &wire.Envelope_CrashNotice{CrashNotice: &wire.CrashNotice{Fingerprint: make([]byte, 64<<10)}}}
	g.Eventually(func() bool { return a.Send(b.id, notice) }, patience, time.Millisecond).Should(BeFalse())
	g.Eventually(a.seen, patience).Should(Equal([]string{"up b.1", "down b.1"}))
	close(stuck)
}

// silentConn stops passing anything on once it is told to.
type silentListener struct {
	net.Listener
	target string
	mute   chan struct{}
}

// relay passes connections on to the target until mute is closed; then it keeps
// those it has open and loses everything on them, but passes on new ones.
func (s *silentListener) relay() {
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
		var mute <-chan struct{} = s.mute
		select {
		case <-mute:
			mute = nil
		default:
		}
		go pump(in, out, mute)
		go pump(out, in, mute)
	}
}

func pump(from, to net.Conn, mute <-chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		select {
		case <-mute:
			// The other end is not told of the close, either.
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

func TestSilentConnection(t *testing.T) {
	for _, row := range []struct{ dialler, target string }{{"a", "b"}, {"b", "a"}} {
		t.Run(row.dialler+" dials", func(t *testing.T) {
			g := NewWithT(t)
			slow := func(o *Options) { hurried(o); o.KeepAlive = time.Hour }
			// The dialler finds out by its keepalive, the other only when it is
			// dialled anew.
			a, b := start(t, row.dialler, hurried), start(t, row.target, slow)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer ln.Close()
			relay := &silentListener{ln, b.addr, make(chan struct{})}
			go relay.relay()
			a.Dial(ln.Addr().String())
			g.Eventually(b.seen, patience).Should(HaveLen(1))
			close(relay.mute)
			up, down := "up "+string(b.id), "down "+string(b.id)
			g.Eventually(a.seen, patience).Should(Equal([]string{up, down}))
			g.Eventually(func() core.RouterID {
				a.Dial(ln.Addr().String())
				if a.Send(b.id, seqMessage(1)) {
					return b.id
				}
				return ""
			}, patience, 50*time.Millisecond).Should(Equal(b.id))
			g.Eventually(b.received, patience).ShouldNot(BeEmpty())
			g.Eventually(b.seen, patience).Should(Equal([]string{
				"up " + string(a.id), "down " + string(a.id), "up " + string(a.id),
			}))
		})
	}
}
