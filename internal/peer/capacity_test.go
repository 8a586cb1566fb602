package peer

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// benchNode is a transport that sends the received messages to a channel.
type benchNode struct {
	*Transport
	id       core.RouterID
	addr     string
	up       chan struct{}
	received chan *wire.Envelope
}

func (n *benchNode) PeerUp(*wire.Member)    { n.up <- struct{}{} }
func (n *benchNode) PeerDown(core.RouterID) {}
func (n *benchNode) DialFailed(string)      {}

func (n *benchNode) Message(_ core.RouterID, env *wire.Envelope) { n.received <- env }

func startBenchNode(b *testing.B, name string) *benchNode {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	n := &benchNode{
		id: core.RouterID(name + ".1"), addr: listener.Addr().String(),
		up: make(chan struct{}, 1), received: make(chan *wire.Envelope, 1),
	}
	member := &wire.Member{Id: string(n.id), Name: name, Domain: "a", PeerAddr: n.addr, Version: 1}
	n.Transport = New(Options{Self: func() *wire.Member { return member }, Key: testKey, Handler: n})
	go n.Serve(listener)
	b.Cleanup(func() { n.Close(b.Context()) })
	return n
}

// cpuTime returns the user and system time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkMessage measures small messages between two routers with only one in
// flight, as between routers with little traffic. One operation is a message and its
// reply; cpu-ns/message is the CPU time of sending and receiving one of them.
func BenchmarkMessage(b *testing.B) {
	from, to := startBenchNode(b, "a"), startBenchNode(b, "b")
	from.Dial(to.addr)
	<-from.up
	<-to.up
	demand := &wire.Envelope{Body: &wire.Envelope_Demand{Demand: &wire.Demand{Services: []*wire.ServiceDemand{{
		Service: "model-0", Queues: []*wire.Queue{{Organisation: "org-0001", Class: core.ClassShort, Waiting: 4, OldestMs: 500, Cost: 274}},
	}}}}}
	before := from.Stats().SentBytes
	b.ResetTimer()
	start := cpuTime(b)
	for range b.N {
		from.Send(to.id, demand)
		to.Send(from.id, <-to.received)
		<-from.received
	}
	const messages = 2
	b.ReportMetric(float64(cpuTime(b)-start)/float64(b.N)/messages, "cpu-ns/message")
	b.ReportMetric(float64(from.Stats().SentBytes-before)/float64(b.N), "B/message")
}
