package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// eventTimeout is how long a test waits for an expected event.
const eventTimeout = 20 * time.Second

var testKey = []byte("the fleet's key")

// node is a transport on a loopback port that records its events.
type node struct {
	*Transport
	id   core.RouterID
	addr string

	mu       sync.Mutex
	events   []string
	messages []*wire.Envelope
	// onMessage, if set, is called for each message before it is recorded.
	onMessage func()
}

func (n *node) recordEvent(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, fmt.Sprintf(format, args...))
}

func (n *node) PeerUp(m *wire.Member)     { n.recordEvent("up %s", m.Id) }
func (n *node) PeerDown(id core.RouterID) { n.recordEvent("down %s", id) }
func (n *node) DialFailed(addr string)    { n.recordEvent("failed") }
func (n *node) Message(_ core.RouterID, env *wire.Envelope) {
	if n.onMessage != nil {
		n.onMessage()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages = append(n.messages, env)
}

func (n *node) recordedEvents() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.events...)
}

func (n *node) received() []*wire.Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*wire.Envelope(nil), n.messages...)
}

// startNode runs a node until the end of the test.
func startNode(t *testing.T, name string, configure func(*Options)) *node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{id: core.RouterID(name + ".1"), addr: ln.Addr().String()}
	member := &wire.Member{Id: string(n.id), Name: name, Domain: "a", PeerAddr: n.addr, Version: 1}
	opts := Options{Self: func() *wire.Member { return member }, Key: testKey, Handler: n}
	if configure != nil {
		configure(&opts)
	}
	n.Transport = New(opts)
	go n.Serve(ln)
	t.Cleanup(func() { n.shutdown() })
	return n
}

func (n *node) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	n.Close(ctx)
}

func pingMessage(seq uint64) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Ping{Ping: &wire.Ping{Seq: seq}}}
}

func TestConnectAndExchange(t *testing.T) {
	g := NewWithT(t)
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.Dial(b.addr)
	g.Eventually(a.recordedEvents, eventTimeout).Should(Equal([]string{"up b.1"}))
	g.Eventually(b.recordedEvents, eventTimeout).Should(Equal([]string{"up a.1"}))
	const count = 1000
	for i := range count {
		g.Expect(a.Send(b.id, pingMessage(uint64(i)))).To(BeTrue())
		g.Expect(b.Send(a.id, pingMessage(uint64(i)))).To(BeTrue())
	}
	for _, n := range []*node{a, b} {
		g.Eventually(n.received, eventTimeout).Should(HaveLen(count))
		for i, env := range n.received() {
			g.Expect(env.GetPing().GetSeq()).To(Equal(uint64(i)))
		}
	}
	stats := a.Stats()
	g.Expect(stats.Connections).To(Equal(1))
	g.Expect(stats.Kinds["ping"].SentMessages).To(Equal(uint64(count)))
	g.Expect(stats.Kinds["ping"].ReceivedMessages).To(Equal(uint64(count)))
	g.Expect(stats.SentBytes).To(BeNumerically(">", stats.Kinds["ping"].SentBytes))
	g.Expect(a.Send("nobody.1", pingMessage(1))).To(BeFalse())
}

// TestQueuedMessagesShareAWrite checks that control messages queued together are
// returned as one buffer, so that a burst does not cost a frame header per message.
func TestQueuedMessagesShareAWrite(t *testing.T) {
	g := NewWithT(t)
	q := newSendQueue()
	var frames []byte
	for i := range 100 {
		frame := []byte{byte(i)}
		ok, err := q.addControl(frame)
		g.Expect(ok, err).To(BeTrue())
		frames = appendFrame(frames, frame)
	}
	taken, done := q.takeControl(nil)
	g.Expect(taken).To(Equal(frames))
	g.Expect(done).To(BeFalse())
	_, err := q.addControl(make([]byte, maxControlQueue+1))
	g.Expect(err).To(MatchError(errQueueFull))
	q.close()
	taken, done = q.takeControl(nil)
	g.Expect(taken).To(BeEmpty())
	g.Expect(done).To(BeTrue())
}

// recordingConn records the data of each write.
type recordingConn struct {
	net.Conn
	writes [][]byte
}

func (w *recordingConn) Write(b []byte) (int, error) {
	w.writes = append(w.writes, append([]byte(nil), b...))
	return len(b), nil
}

func TestHeaderAndBodyShareAWrite(t *testing.T) {
	g := NewWithT(t)
	log := &recordingConn{}
	c := &coalescingConn{Conn: log}
	data := []byte{0, yamuxTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3}
	empty := []byte{0, yamuxTypeData, 0, 4, 0, 0, 0, 1, 0, 0, 0, 0}
	ping := []byte{0, 2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 9}
	for _, b := range [][]byte{ping, data, []byte("abc"), empty, ping} {
		n, err := c.Write(b)
		g.Expect(n, err).To(Equal(len(b)))
	}
	g.Expect(log.writes).To(Equal([][]byte{ping, append(data, "abc"...), empty, ping}))
}
