package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/loadgen/fleet"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	return listener
}

// echo sends the bytes that it receives on each connection back.
func echo(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			_, _ = io.Copy(conn, conn)
		}()
	}
}

func TestRelayHoldsBytesBackWhilePartitioned(t *testing.T) {
	g := NewWithT(t)
	targetListener, relayListener := listen(t), listen(t)
	go echo(targetListener)
	partition := NewPartition()
	r := &Relay{Partition: partition, Target: targetListener.Addr().String(), CallerDomain: fixedDomain("a"), TargetDomain: "b"}
	go func() { _ = r.Serve(t.Context(), relayListener) }()
	conn, err := net.Dial("tcp", relayListener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	answers := bufio.NewReader(conn)

	fmt.Fprintln(conn, "before")
	g.Expect(answers.ReadString('\n')).To(Equal("before\n"))

	partition.Isolate([]string{"b"})
	fmt.Fprintln(conn, "during")
	_, reachable := partition.state("a", "b")
	g.Expect(reachable).To(BeFalse())
	_, reachable = partition.state("a", "c")
	g.Expect(reachable).To(BeTrue())
	_, reachable = partition.state("b", "b")
	g.Expect(reachable).To(BeTrue())

	partition.Isolate(nil)
	g.Expect(answers.ReadString('\n')).To(Equal("during\n"))
}

func TestWaitReachableReturnsWhenDone(t *testing.T) {
	partition := NewPartition()
	partition.Isolate([]string{"a"})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	NewWithT(t).Expect(partition.WaitReachable("a", "", ctx.Done())).To(BeFalse())
}

func TestDomainOfRouterFindsTheProcess(t *testing.T) {
	g := NewWithT(t)
	pidFile := filepath.Join(t.TempDir(), "r1.pid")
	g.Expect(os.WriteFile(pidFile, fmt.Appendln(nil, os.Getpid()), 0o600)).To(Succeed())
	f := &fleet.Fleet{Routers: []fleet.Router{
		{Domain: "other", PIDFile: pidFile + ".missing"},
		{Domain: "ga-east/a", PIDFile: pidFile},
	}}
	server := listen(t)
	client, err := net.Dial("tcp", server.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	conn, err := server.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Expect(DomainOfRouter(f)(conn)).To(Equal("ga-east/a"))
}
