package peer

import (
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/jujubeford/jujubeford/internal/wire"
)

// KindStats contains the number of messages of one kind and their encoded bytes.
type KindStats struct {
	SentMessages     uint64
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
}

// Stats contains the traffic of a transport since its creation.
type Stats struct {
	// SentBytes and ReceivedBytes are totals over the TCP connections, including
	// handshakes and framing.
	SentBytes     uint64
	ReceivedBytes uint64
	// Connections is the current number of connections.
	Connections int
	// Kinds is keyed by the field name of the envelope's body.
	Kinds map[string]KindStats
}

// maxKinds must exceed the highest field number of the envelope's body.
const maxKinds = 64

// kindCounter contains the counters behind one KindStats.
type kindCounter struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes atomic.Uint64
}

// counters contains the counters behind Stats.
type counters struct {
	// sent and received are in bytes.
	sent, received atomic.Uint64
	// kinds is indexed by the field number of the envelope's body.
	kinds [maxKinds]kindCounter
}

// bodyFields are the message kinds of an envelope.
var bodyFields = (&wire.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()

// kindNumber returns the field number of an envelope's body, which is an index of
// counters.kinds, or 0 if the envelope has no body or the number is too high for that.
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

// countingConn counts the bytes and reads of a connection and sets a deadline for
// each write.
type countingConn struct {
	net.Conn
	counters     *counters
	writeTimeout time.Duration
	// reads is the number of reads that returned data.
	reads atomic.Uint64
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
