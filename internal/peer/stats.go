package peer

import (
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/jujubeford/jujubeford/internal/wire"
)

// KindStats counts the messages of one kind and their encoded bytes.
type KindStats struct {
	SentMessages     uint64
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
}

// Stats counts what a transport has sent and received since it was made. The
// totals are bytes on the TCP connections, with handshakes and framing; the
// kinds are by field name of the envelope.
type Stats struct {
	SentBytes     uint64
	ReceivedBytes uint64
	Connections   int
	Kinds         map[string]KindStats
}

// maxKinds is over the highest field number of the envelope's body.
const maxKinds = 64

type kindCounter struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes atomic.Uint64
}

type counters struct {
	sent, received atomic.Uint64
	kinds          [maxKinds]kindCounter
}

var bodyFields = (&wire.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()

// kindNumber is the field number of an envelope's body, 0 if it has none.
func kindNumber(env *wire.Envelope) protoreflect.FieldNumber {
	m := env.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("body"))
	if field == nil || field.Number() >= maxKinds {
		return 0
	}
	return field.Number()
}

func (c *counters) countSent(env *wire.Envelope, size int) {
	k := &c.kinds[kindNumber(env)]
	k.sentMessages.Add(1)
	k.sentBytes.Add(uint64(size))
}

func (c *counters) countReceived(env *wire.Envelope, size int) {
	k := &c.kinds[kindNumber(env)]
	k.receivedMessages.Add(1)
	k.receivedBytes.Add(uint64(size))
}

func (c *counters) snapshot() Stats {
	s := Stats{SentBytes: c.sent.Load(), ReceivedBytes: c.received.Load(), Kinds: map[string]KindStats{}}
	for i := range bodyFields.Len() {
		field := bodyFields.Get(i)
		k := &c.kinds[field.Number()]
		ks := KindStats{
			SentMessages:     k.sentMessages.Load(),
			SentBytes:        k.sentBytes.Load(),
			ReceivedMessages: k.receivedMessages.Load(),
			ReceivedBytes:    k.receivedBytes.Load(),
		}
		if ks != (KindStats{}) {
			s.Kinds[string(field.Name())] = ks
		}
	}
	return s
}

// countingConn counts the bytes on a connection, bounds each write by a
// deadline, and notes when something was last read.
type countingConn struct {
	net.Conn
	counters     *counters
	writeTimeout time.Duration
	reads        atomic.Uint64
}

// Read implements io.Reader.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.reads.Add(1)
		c.counters.received.Add(uint64(n))
	}
	return n, err
}

// Write implements io.Writer.
func (c *countingConn) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.counters.sent.Add(uint64(n))
	return n, err
}
