package upstream

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// listenFull returns the address of a listener whose accept queue is full, so that
// the kernel does not complete further connections.
func listenFull(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sockaddr, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", sockaddr.(*syscall.SockaddrInet4).Port)
	for range 8 {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("this kernel takes connections beyond the queue")
	return ""
}

// TestNoAnswerToDial checks that a request counts as not sent if its connection is
// not established in time, whichever timeout ends the wait.
func TestNoAnswerToDial(t *testing.T) {
	addr := listenFull(t)
	for _, tc := range []struct {
		name              string
		dial, silentAfter time.Duration
		kind              core.Failure
	}{
		{"dial timeout", 50 * time.Millisecond, time.Minute, core.FailDial},
		{"silence", time.Minute, 50 * time.Millisecond, core.FailIdle},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, o := NewWithT(t), DefaultOptions()
			o.DialTimeout = tc.dial
			_, f := sendAndRead(New(o), &Request{Addr: addr, Method: "POST", Path: "/", Body: []byte("x"), SilentAfter: tc.silentAfter})
			g.Expect(*f).To(And(HaveField("Kind", tc.kind), HaveField("Sent", false)))
		})
	}
}

// TestUnreadBody checks that an upstream that does not read a large body counts as
// silent, and that the request counts as sent.
func TestUnreadBody(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { ln.Close() })
	_, f := sendAndRead(newClient(t), &Request{
		Addr: ln.Addr().String(), Method: "POST", Path: "/", Body: make([]byte, 32<<20),
		Service: config.Plain, SilentAfter: silentAfter,
	})
	g.Expect(*f).To(And(HaveField("Kind", core.FailIdle), HaveField("Sent", true)))
}
